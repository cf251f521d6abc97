#include "daemon/daemon.hpp"

#include "daemon/state_log.hpp"
#include "mulberryramp/admin/api.hpp"
#include "mulberryramp/core/random.hpp"
#include "mulberryramp/core/time.hpp"
#include "mulberryramp/http/server.hpp"
#include "mulberryramp/net/peer_links.hpp"
#include "mulberryramp/net/readable_handler.hpp"
#include "mulberryramp/node/node.hpp"
#include "mulberryramp/storage/identity.hpp"
#include "mulberryramp/telemetry/metrics.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>

#include <glog/logging.h>

#include <csignal>

namespace mulberryramp {

namespace internal {

/// Longest wait for an event before the node runs its timers.
constexpr long TickMicroseconds = 10000;
constexpr Millis ShutdownTimeout{10000};
/// The settings name neither memory nor descriptors. The smallest VMs have
/// 160 MB, and 1,024 descriptors are the usual limit of a process.
constexpr HttpLimits ClientLimits{512, std::uint64_t{20} << 20U};
/// Batches of events that are handled before the next step of the node.
constexpr int MaxBatchesPerStep = 64;
/// Exit status after a failure of the storage.
constexpr int ExitStorage = 3;

volatile std::sig_atomic_t StopRequested = 0;

} // namespace internal

struct Daemon::Impl {
  explicit Impl(const Settings &Deployment) : Deployment{Deployment} {}

  Settings Deployment;
  ACE_Reactor Loop{new ACE_Dev_Poll_Reactor, true};
  std::unique_ptr<FileSystem> Files;
  std::unique_ptr<Node> Core;
  std::unique_ptr<PeerLinks> Links;
  std::unique_ptr<HttpServer> Http;
  std::unique_ptr<ReadableHandler> HttpEvents; ///< Runs `Http`.
  Metrics Telemetry;
  StateLog StateChanges;
  bool IsShuttingDown = false;
  Instant ShutdownDeadline;

  void onRequest(std::uint64_t Id, const HttpRequest &Request);
  void answerCall(const LocalResult &Local);
  void answerPoll(const CompletedPoll &Poll);
  void beginShutdown();
  [[nodiscard]] bool step();
};

Daemon::Daemon(std::unique_ptr<Impl> Pimpl) : Pimpl{std::move(Pimpl)} {}
Daemon::~Daemon() = default;

void Daemon::requestStop() noexcept { internal::StopRequested = 1; }

tl::expected<std::unique_ptr<Daemon>, std::string>
Daemon::start(const Settings &Deployment) {
  auto Pimpl = std::make_unique<Impl>(Deployment);
  Impl &Self = *Pimpl;
  std::uint64_t Incarnation = newIncarnation(wallNow());
  if (!Deployment.DataFolder.empty()) {
    auto Files = openDiskFiles(Deployment.DataFolder);
    if (!Files) {
      return tl::make_unexpected(Files.error().Text);
    }
    Self.Files = std::move(*Files);
    const auto Identity = openIdentity(*Self.Files, wallNow());
    if (!Identity) {
      return tl::make_unexpected(Identity.error().Text);
    }
    Incarnation = *Identity;
  }
  auto Core = Node::start(Deployment, Self.Files.get(), Incarnation,
                          randomSeed(), SuspendAwareClock::now());
  if (!Core) {
    return tl::make_unexpected(Core.error().Text);
  }
  Self.Core = std::move(*Core);
  const NodeSettings &OwnNode = *findNode(Deployment, Deployment.Self);
  auto Links = PeerLinks::open(
      OwnNode.Peer, Self.Loop, [&Self](std::string_view Payload) {
        const auto Message = decodeMessage(Payload);
        if (Message) {
          Self.Core->receive(*Message, SuspendAwareClock::now(), wallNow());
        }
        return Message.has_value();
      });
  if (!Links) {
    return tl::make_unexpected(Links.error());
  }
  Self.Links = std::move(*Links);
  for (const NodeSettings &Node : Deployment.Nodes) {
    if (Node.Id != OwnNode.Id) {
      Self.Links->setPeerAddress(Node.Id, Node.Peer,
                                 Node.Region != OwnNode.Region);
    }
  }
  auto Http = HttpServer::listen(
      OwnNode.Http,
      [&Self](std::uint64_t Id, const HttpRequest &Request) {
        Self.onRequest(Id, Request);
      },
      [&Self](std::uint64_t Id) { Self.Core->cancelPoll(Id); },
      internal::ClientLimits);
  if (!Http) {
    return tl::make_unexpected(Http.error());
  }
  Self.Http = std::move(*Http);
  Self.HttpEvents = std::make_unique<ReadableHandler>(
      Self.Loop, Self.Http->descriptor(), [&Self] { Self.Http->run(); });
  LOG(INFO) << "daemon " << Deployment.Self << " started, incarnation "
            << Incarnation;
  return std::unique_ptr<Daemon>{new Daemon{std::move(Pimpl)}};
}

void Daemon::Impl::onRequest(std::uint64_t Id, const HttpRequest &Request) {
  if (Request.RefusedBy) {
    // 503 would say that the request was not accepted, while an earlier one
    // with the same key may have been.
    const bool IsTooLarge = Request.RefusedBy == HttpLimit::BodySize;
    Http->respond(
        Id,
        {IsTooLarge ? 413 : 504, "application/json",
         IsTooLarge ? R"({"status":"invalid","reason":"the body is too large"})"
                    : R"({"status":"unknown","reason":"no memory"})",
         IsTooLarge ? 0U : 1U});
    return;
  }
  const Instant Now = SuspendAwareClock::now();
  const WallTime WallNow = wallNow();
  auto Action = parseApiRequest(Request, WallNow);
  if (!Action) {
    Http->respond(Id, {Action.error().Status, "application/json",
                       renderFindings(Action.error().Report)});
    return;
  }
  if (auto *Call = std::get_if<CallRequest>(&*Action)) {
    Core->call(Id, std::move(*Call), Now, WallNow);
  } else if (const auto *Poll = std::get_if<WorkerPoll>(&*Action)) {
    Core->poll(Id, *Poll, Now, WallNow);
  } else if (std::holds_alternative<HealthQuery>(*Action)) {
    Http->respond(Id, {200, "application/json", R"({"health":"ok"})"});
  } else if (std::holds_alternative<ReadyQuery>(*Action)) {
    const bool IsReady = Core->isReadyForCallers(Now);
    Http->respond(Id, {IsReady ? 200 : 503, "application/json",
                       IsReady ? R"({"ready":true})" : R"({"ready":false})"});
  } else {
    Http->respond(Id,
                  {200, "text/plain; version=0.0.4",
                   Telemetry.render({*Core, Links->counters(), Now,
                                     Http->openRequests(), Http->bytes()})});
  }
}

void Daemon::Impl::answerCall(const LocalResult &Local) {
  Http->respond(Local.CallId, {httpStatusOf(Local.Result), "application/json",
                               renderResult(Local.Result)});
}

void Daemon::Impl::answerPoll(const CompletedPoll &Poll) {
  const CompletedPoll Sent =
      checkLeaseBeforeSend(Poll, SuspendAwareClock::now());
  const bool IsAccepted = Sent.Reply.Verdict != PollVerdict::Refused;
  Http->respond(Sent.PollId, {IsAccepted ? 200 : 409, "application/json",
                              renderReply(Sent.Reply)});
}

bool Daemon::Impl::step() {
  const Instant Begin = SuspendAwareClock::now();
  auto Output = Core->step(Begin, wallNow());
  if (!Output) {
    LOG(ERROR) << "storage failed: " << Output.error().Text;
    return false;
  }
  for (const PeerMessage &Message : Output->Messages) {
    Links->send(Message.To, encodeMessage(Message));
  }
  for (const CompletedPoll &Poll : Output->Polls) {
    answerPoll(Poll);
  }
  for (const LocalResult &Local : Output->Results) {
    answerCall(Local);
  }
  Http->tick(Begin);
  Http->run();
  const Instant End = SuspendAwareClock::now();
  Telemetry.observeStep(std::chrono::duration<double>(End - Begin).count());
  Links->tick(End);
  StateChanges.logChanges(*Core, End);
  return true;
}

void Daemon::Impl::beginShutdown() {
  IsShuttingDown = true;
  const Instant Now = SuspendAwareClock::now();
  ShutdownDeadline = Now + internal::ShutdownTimeout;
  LOG(INFO)
      << "shutting down: transferring leadership, answering open requests";
  Core->beginShutdown(Now);
  Http->stopListening();
}

int Daemon::run() {
  Impl &Self = *Pimpl;
  while (true) {
    ACE_Time_Value Wait{0, internal::TickMicroseconds};
    for (int Batch = 0; Batch < internal::MaxBatchesPerStep; ++Batch) {
      if (Self.Loop.handle_events(Wait) <= 0) {
        break;
      }
      Wait = ACE_Time_Value::zero;
    }
    Self.Http->run();
    if (internal::StopRequested != 0 && !Self.IsShuttingDown) {
      Self.beginShutdown();
    }
    if (!Self.step()) {
      return internal::ExitStorage;
    }
    const bool IsComplete =
        Self.Core->isShutdownComplete() && Self.Http->openRequests() == 0;
    if (Self.IsShuttingDown &&
        (IsComplete || SuspendAwareClock::now() >= Self.ShutdownDeadline)) {
      LOG(INFO) << "shutdown "
                << (IsComplete ? "complete" : "timed out with open requests");
      return IsComplete ? 0 : 1;
    }
  }
}

} // namespace mulberryramp
