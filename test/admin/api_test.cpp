#include "mulberryramp/admin/api.hpp"
#include "mulberryramp/config/rules.hpp"
#include "mulberryramp/config/settings.hpp"
#include "mulberryramp/core/random.hpp"
#include "mulberryramp/ledger/ledger.hpp"
#include "mulberryramp/storage/record_codec.hpp"
#include "mulberryramp/wire/frame.hpp"
#include "standin/worker_json.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

constexpr WallTime Now{Millis{1'700'000'000'000}};

const std::string ValidSubmit =
    R"({"customer":"c","team":"t","key":"k","need":{"milli_cpus":1000}})";

HttpRequest post(const std::string &Path, const std::string &Body) {
  return {"POST", Path, {}, Body};
}

/// @brief Renders the findings in a request; empty if it is valid.
std::string renderFindings(const HttpRequest &Request) {
  const auto Action = parseApiRequest(Request, Now);
  return Action ? "" : Action.error().Report.render();
}

/// @brief Applies one to four random changes: a byte replaced, bytes erased,
/// bytes duplicated or the end cut off.
std::string mutate(std::string Bytes, Random &Rng) {
  const std::uint64_t MutationCount = 1 + Rng.below(4);
  for (std::uint64_t Index = 0; Index < MutationCount && !Bytes.empty();
       ++Index) {
    const std::size_t Position = Rng.below(Bytes.size());
    switch (Rng.below(4)) {
    case 0:
      Bytes[Position] = static_cast<char>(Rng.below(256));
      break;
    case 1:
      Bytes.erase(Position, 1 + Rng.below(8));
      break;
    case 2:
      Bytes.insert(Position, Bytes.substr(Rng.below(Bytes.size()), 6));
      break;
    default:
      Bytes.resize(Position);
      break;
    }
  }
  return Bytes;
}

} // namespace

TEST_GROUP(AdminApi){};

TEST(AdminApi, ParsesASubmission) {
  const auto Action = parseApiRequest(post("/v1/requests", ValidSubmit), Now);
  CHECK(Action.has_value());
  const auto &Call = std::get<SubmitCall>(std::get<CallRequest>(*Action));
  STRCMP_EQUAL("k", Call.Spec.Key.c_str());
  CHECK_EQUAL(1000, Call.Spec.Need.MilliCpus);
  CHECK_EQUAL(1, Call.Spec.Need.Slots);
}

TEST(AdminApi, ReportsAllFindingsWithTheirPaths) {
  const std::string Report = renderFindings(post(
      "/v1/requests",
      R"({"customer":1,"key":"","tasks":0,"need":{"milli_cpus":-1},"x":2})"));
  CHECK(Report.find("/customer: expected a string") != std::string::npos);
  CHECK(Report.find("/team: is missing") != std::string::npos);
  CHECK(Report.find("/key: expected 1 to") != std::string::npos);
  CHECK(Report.find("/tasks: expected a whole number from 1") !=
        std::string::npos);
  CHECK(Report.find("/need/milli_cpus: expected") != std::string::npos);
  CHECK(Report.find("/x: is not known") != std::string::npos);
}

TEST(AdminApi, NonIdempotentRequestNeedsAnIssueTime) {
  std::string Body = ValidSubmit;
  Body.insert(Body.size() - 1, R"(,"idempotent":false)");
  CHECK(renderFindings(post("/v1/requests", Body))
            .find("/issued_at_ms: is needed") != std::string::npos);
}

TEST(AdminApi, OutOfRangeAndNonNumericSizesAreFindings) {
  const auto FindingsOf = [](const std::string &Number) {
    return renderFindings(
        post("/v1/requests",
             R"({"customer":"c","team":"t","key":"k","need":{"memory_mb":)" +
                 Number + "}}"));
  };
  CHECK_FALSE(FindingsOf("-1").empty());
  CHECK_FALSE(FindingsOf("18446744073709551615").empty());
  CHECK_FALSE(FindingsOf("1e99").empty());
  CHECK_FALSE(FindingsOf("\"7\"").empty());
}

TEST(AdminApi, UnknownPathsAndMethodsAreRejected) {
  CHECK_EQUAL(404,
              parseApiRequest({"GET", "/nothing", {}, ""}, Now).error().Status);
  CHECK_EQUAL(
      405, parseApiRequest({"PUT", "/v1/rules", {}, ""}, Now).error().Status);
  CHECK_EQUAL(400,
              parseApiRequest(post("/v1/requests", "{"), Now).error().Status);
}

TEST(AdminApi, ParsesThePollOfTheStandinWorker) {
  WorkerPoll Poll;
  Poll.Name = "w";
  Poll.Centre = "c";
  Poll.Rack = "r";
  Poll.Incarnation = 3;
  Poll.Reports.push_back(
      {7, AttemptPhase::Done, "", AnswerPart{1, 2, "half"}, 0, 0});
  const auto Action =
      parseApiRequest(post("/v1/worker/poll", test::renderPoll(Poll)), Now);
  CHECK(Action.has_value());
  const auto &Read = std::get<WorkerPoll>(*Action);
  CHECK_EQUAL(1U, Read.Reports.size());
  STRCMP_EQUAL("half", Read.Reports[0].Part->Data.c_str());
}

TEST(AdminApi, StandinWorkerParsesTheReply) {
  WorkerReply Reply;
  Reply.Epoch = 4;
  Reply.Sequence = 5;
  Reply.Starts.push_back(
      {9, "c", "k", 0, 1, WorkKind::Gang, true, {}, "p", ""});
  Reply.Stops.push_back({8, StopMode::Checkpoint});
  Reply.Discards.push_back(6);
  const auto Read = test::parseReply(renderReply(Reply));
  CHECK(Read.has_value());
  CHECK(Read->Starts[0].Kind == WorkKind::Gang);
  CHECK(Read->Stops[0].Mode == StopMode::Checkpoint);
  CHECK_EQUAL(6U, Read->Discards[0]);
}

TEST(AdminApi, MutatedBodiesDoNotCrashTheParser) {
  Random Rng{1};
  WorkerPoll Poll;
  Poll.Name = "w";
  Poll.Centre = "c";
  Poll.Rack = "r";
  Poll.Reports.push_back({7, AttemptPhase::Done, "", AnswerPart{}, 1, 1});
  const std::string Rules =
      R"({"change_key":"k","operator":"o","base":0,"text":"x"})";
  for (int Round = 0; Round < 20000; ++Round) {
    (void)parseApiRequest(post("/v1/requests", mutate(ValidSubmit, Rng)), Now);
    (void)parseApiRequest(
        post("/v1/worker/poll", mutate(test::renderPoll(Poll), Rng)), Now);
    (void)parseApiRequest(post("/v1/rules", mutate(Rules, Rng)), Now);
  }
}

TEST(AdminApi, MutatedFilesDoNotCrashTheirParsers) {
  Random Rng{3};
  const std::string Settings = "[daemon]\nid = 1\n[timing]\nheartbeat-ms = 9\n"
                               "[node.1]\ncentre = a\npeer = 127.0.0.1:7\n";
  const std::string Rules = "class name=x priority=1 # asked by A\n"
                            "quota team=t cpus=2 weight=3 # asked by B\n"
                            "drain rack=r # asked by C\n";
  std::string Records = makeRecord(encodeBatch({}));
  Records += makeRecord(encodeSnapshot({3, 1, {{{1, 1}}}, "state"}));
  for (int Round = 0; Round < 20000; ++Round) {
    (void)parseSettings("s", mutate(Settings, Rng), 1);
    (void)parseRules("r", mutate(Rules, Rng));
    const std::string Content = mutate(Records, Rng);
    const auto Scan = scanRecords(Content);
    for (const std::string_view Body :
         Scan ? Scan->Bodies : std::vector<std::string_view>{}) {
      (void)decodeBatch(mutate(std::string{Body}, Rng));
      (void)decodeSnapshot(mutate(std::string{Body}, Rng));
    }
    (void)decodeLedger(mutate(encodeLedger({}), Rng));
  }
}

TEST(AdminApi, MutatedFramesDoNotCrashTheReader) {
  Random Rng{2};
  SubmitCall Call;
  Call.Spec.Customer = "customer";
  Call.Spec.Payload = std::string(50, 'x');
  const PeerMessage Message{1, 2, ForwardCall{3, 1, Call}};
  const std::string Frame = makeFrame(encodeMessage(Message));
  for (int Round = 0; Round < 50000; ++Round) {
    FrameReader Reader;
    Reader.feed(mutate(Frame, Rng));
    const auto Next = Reader.next();
    if (Next && *Next) {
      (void)decodeMessage(**Next);
    }
  }
}

TEST(AdminApi, OversizedFramesAndUnknownVersionsAreRejected) {
  std::string Frame = makeFrame("payload");
  Frame[3] = 9;
  FrameReader Reader;
  Reader.feed(Frame);
  CHECK(Reader.next().error() == FrameError::UnknownVersion);
  std::string OversizedFrame = makeFrame("payload");
  OversizedFrame[4] = 0x7F;
  FrameReader Second;
  Second.feed(OversizedFrame);
  CHECK(Second.next().error() == FrameError::Oversized);
}

TEST(AdminApi, ReaderAssemblesAFrameFromSingleBytes) {
  const PeerMessage Message{1, 2, ForwardResult{3, {}}};
  FrameReader Reader;
  const std::string Frame = makeFrame(encodeMessage(Message));
  for (std::size_t Position = 0; Position + 1 < Frame.size(); ++Position) {
    Reader.feed(Frame.substr(Position, 1));
    CHECK_FALSE(Reader.next()->has_value());
  }
  Reader.feed(Frame.substr(Frame.size() - 1));
  CHECK(decodeMessage(**Reader.next())->To == 2);
}

TEST(AdminApi, MalformedMessagesAreRejected) {
  CHECK_FALSE(decodeMessage("").has_value());
  CHECK_FALSE(decodeMessage("\x93\x01\x02\xc0").has_value());
  CHECK_FALSE(
      decodeMessage(encodeMessage({1, 2, ForwardResult{}}) + "x").has_value());
}
