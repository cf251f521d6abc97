#include "celld/client_calls.hpp"

#include "mulberryramp/config/cell_settings.hpp"
#include "mulberryramp/core/time.hpp"

#include <utility>

namespace mulberryramp {

namespace {

/// Reads of the configuration that are answered at the same time. A response
/// exists in several copies until it is handed to its server.
constexpr std::size_t MaxOpenReads = 4;

} // namespace

void ClientCalls::onRequest(Listener Source, HttpServer &Http,
                            std::uint64_t ExchangeId,
                            const HttpRequest &Request) {
  if (Request.RefusedBy) {
    onRefusedBody(Source, Http, ExchangeId, Request);
    return;
  }
  OpenRequest Pending;
  Pending.Http = &Http;
  Pending.ExchangeId = ExchangeId;
  Pending.Path = Request.Path;
  auto Call = Protocol.decodeCall(Source, Request);
  if (!Call) {
    OnEvent("event=rejected method=" + Request.Method + " path=" +
            Request.Path + " status=" + std::to_string(Call.error().Status) +
            " reason=" + Call.error().Body);
    auto Check = Protocol.decodeCheck(Source, Request);
    if (!Check) {
      Http.respond(ExchangeId, std::move(Call.error()));
      return;
    }
    Pending.Rejection = std::move(Call.error());
    Call = std::move(*Check);
  }
  if (std::holds_alternative<ReadConfigurationCall>(*Call)) {
    WaitingReads.push_back(std::move(Pending));
    startWaitingReads();
    return;
  }
  start(std::move(Pending), std::move(*Call));
}

/// Answers a request whose body was discarded.
void ClientCalls::onRefusedBody(Listener Source, HttpServer &Http,
                                std::uint64_t ExchangeId,
                                const HttpRequest &Request) {
  RefusedBodyAnswer Answer = Protocol.answerRefusedBody(Source, Request);
  if (!Answer.Check) {
    Http.respond(ExchangeId, std::move(Answer.Response));
    return;
  }
  OpenRequest Pending;
  Pending.Http = &Http;
  Pending.ExchangeId = ExchangeId;
  Pending.Path = Request.Path;
  Pending.Rejection = std::move(Answer.Response);
  Pending.IsSubmissionCheck = true;
  start(std::move(Pending), std::move(*Answer.Check));
}

void ClientCalls::start(OpenRequest Pending, CellCall Call) {
  Pending.Type.VariantIndex = Call.index();
  Pending.ReceivedAt = SuspendAwareClock::now();
  if (const auto *JobRequest = std::get_if<JobCall>(&Call)) {
    Pending.Type.Verb =
        Pending.IsSubmissionCheck ? JobVerb::Submit : JobRequest->Verb;
    Pending.IsOfCaller = true;
  }
  const std::uint64_t Id = NextCall;
  NextCall += 1;
  const Instant ReceivedAt = Pending.ReceivedAt;
  OpenRequests[Id] = std::move(Pending);
  Node.call(Id, std::move(Call), ReceivedAt);
}

/// Starts reads of the configuration as far as there is room for the responses.
void ClientCalls::startWaitingReads() {
  while (!WaitingReads.empty() && OpenReads < MaxOpenReads &&
         WaitingReads.front().Http->makeRoomForResponse((OpenReads + 1) *
                                                        MaxBodyBytes)) {
    OpenRequest Pending = std::move(WaitingReads.front());
    WaitingReads.pop_front();
    OpenReads += 1;
    start(std::move(Pending), ReadConfigurationCall{});
  }
}

std::string ClientCalls::controlAddress() const {
  const NodeId Leader = Node.leader();
  return Leader == 0 ? std::string{}
                     : render(Endpoint{hostOf(Leader), ControlPort});
}

void ClientCalls::answer(const LocalReply &Done) {
  const auto It = OpenRequests.find(Done.CallId);
  if (It == OpenRequests.end()) {
    return;
  }
  const OpenRequest Pending = It->second;
  OpenRequests.erase(It);
  const auto Duration = SuspendAwareClock::now() - Pending.ReceivedAt;
  Telemetry.observeCall(std::chrono::duration<double>(Duration).count());
  if (Pending.IsOfCaller) {
    Telemetry.countCall(Done.Reply.Verdict);
  }
  if (Done.Reply.Verdict == CellVerdict::Refused ||
      Done.Reply.Verdict == CellVerdict::Overloaded ||
      Done.Reply.Verdict == CellVerdict::Unknown) {
    OnEvent("event=not-served path=" + Pending.Path +
            " verdict=" + std::string{nameOf(Done.Reply.Verdict)} +
            " after_ms=" + std::to_string(Duration.count()) +
            " reason=" + Done.Reply.Text);
  }
  OpenReads -=
      Pending.Type.VariantIndex == CellCall{ReadConfigurationCall{}}.index()
          ? 1
          : 0;
  Pending.Http->respond(Pending.ExchangeId, makeResponse(Pending, Done.Reply));
}

HttpResponse ClientCalls::makeResponse(const OpenRequest &Pending,
                                       const CellReply &Reply) const {
  const bool IsServed = Reply.Verdict == CellVerdict::Done;
  if (!Pending.IsSubmissionCheck) {
    return Pending.Rejection && IsServed
               ? *Pending.Rejection
               : Protocol.encodeReply(Pending.Type, Reply, controlAddress());
  }
  // A read of a queue has no job.
  if (Reply.Verdict == CellVerdict::Gone || (IsServed && Reply.IsQueue)) {
    return *Pending.Rejection;
  }
  CellReply Answer = Reply;
  if (Answer.Verdict == CellVerdict::Refused ||
      Answer.Verdict == CellVerdict::Overloaded) {
    // The check was refused, which says nothing about an earlier submission.
    Answer.Verdict = CellVerdict::Unknown;
  }
  return Protocol.encodeReply(Pending.Type, Answer, controlAddress());
}

} // namespace mulberryramp
