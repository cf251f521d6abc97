#include "platform/gateway.hpp"

#include <nlohmann/json.hpp>

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::platform;

namespace {

const PlatformGateway Protocol;

HttpRequest makeRequest(const std::string &Method, const std::string &Path,
                        const std::string &Body = "") {
  HttpRequest Request;
  Request.Method = Method;
  Request.Path = Path;
  Request.Body = Body;
  Request.Host = "host.example:80";
  return Request;
}

constexpr const char *RouteJson =
    R"({"name":"r","host":"h","path_prefix":"/p/","timeout_ms":3000,)"
    R"("target_latency_ms":400,"priority":1,"service":"s","max_attempts":3,)"
    R"("slack_factor":1.5,"advisor":{"decision_ms":21.0,"per_worker_ms":0.3,)"
    R"("valid_ms":2500}})";
constexpr const char *ServiceJson = R"({"name":"s"})";

std::string makeConfiguration(const std::string &Routes,
                              const std::string &Services = ServiceJson) {
  return R"({"version":7,"routes":[)" + Routes + R"(],"services":[)" +
         Services + "]}";
}

/// @brief Returns the HTTP status of the answer to a configuration.
int configurationStatus(const std::string &Body) {
  const auto Call = Protocol.decodeCall(
      Listener::Control, makeRequest("PUT", "/api/config", Body));
  return Call ? 200 : Call.error().Status;
}

/// @brief Replaces the first occurrence of a part that the text contains.
std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  Text.replace(Text.find(From), From.size(), To);
  return Text;
}

constexpr const char *ReportJson =
    R"({"service":"s","address":"10.1.0.9:80","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","capacity":{"cpu":16000,"mem_mb":32768,)"
    R"("gpu":1},"labels":["a","r1-3"],"clock_ms":4821,"seq":4,"born":99})";

tl::expected<CellCall, HttpResponse> decodeReport(const std::string &Body) {
  return Protocol.decodeCall(Listener::Control,
                             makeRequest("PUT", "/api/instances/i-1", Body));
}

WorkerOrder makeOrder(WorkerOrderKind Kind) {
  WorkerOrder Order;
  Order.Id = 5;
  Order.Kind = Kind;
  Order.Address = "10.1.0.9:80";
  Order.Worker = "i-1";
  Order.FencingToken = 7;
  Order.Task = {"5c0e", 2, 1, 17};
  Order.Attempt = 3;
  return Order;
}

OrderResult decodeAnswer(WorkerOrderKind Kind, int Status,
                         const std::string &Body) {
  return Protocol.decodeOrderResult(makeOrder(Kind).Id, Kind,
                                    {Status, false, Body});
}

} // namespace

TEST_GROUP(PlatformGateway){};

TEST(PlatformGateway, DecodesAJobWithItsSteps) {
  const auto Call = Protocol.decodeCall(
      Listener::Callers,
      makeRequest(
          "POST", "/p/5c0e",
          R"({"spec":"text","phases":[{"count":4,"cpu":500,"mem_mb":256,)"
          R"("estimate_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,)"
          R"("after":[0],"checkpointed":true,"gang":true,"same_rack":true,)"
          R"("anti_affinity":2,"constraints":"b","speculative":true,)"
          R"("utilization":true}]})"));
  CHECK(Call.has_value());
  const auto &Job = std::get<JobCall>(*Call);
  STRCMP_EQUAL("host.example", Job.Host.c_str());
  CHECK(JobVerb::Submit == Job.Verb);
  CHECK_EQUAL(2, Job.Spec.Steps.size());
  CHECK_EQUAL(500, Job.Spec.Steps[0].Need.MilliCpus);
  STRCMP_EQUAL("r1-3", Job.Spec.Steps[0].DataRack.c_str());
  const StepSpec &Second = Job.Spec.Steps[1];
  CHECK_EQUAL(0, Second.DependsOn.front());
  CHECK(Second.IsCheckpointed && Second.IsGang && Second.PrefersSameRack);
  CHECK(Second.IsSpeculative && Second.IsBestEffortCpu);
  CHECK_EQUAL(2, Second.MaxPerWorker);
  STRCMP_EQUAL("b", Second.Label.c_str());
}

TEST(PlatformGateway, RejectsMalformedJobs) {
  for (const char *Body :
       {"", "{", "[]", R"({"spec":"x"})", R"({"spec":"x","phases":[]})",
        R"({"spec":"x","phases":[{"count":0}]})",
        R"({"spec":"x","phases":[{"count":1,"after":[0]}]})",
        R"({"spec":1,"phases":[{"count":"a"}]})"}) {
    const auto Call = Protocol.decodeCall(Listener::Callers,
                                          makeRequest("POST", "/p/1", Body));
    CHECK(!Call.has_value());
    CHECK_EQUAL(400, Call.error().Status);
  }
}

TEST(PlatformGateway, DecodesAConfigurationAndKeepsItsText) {
  const std::string Body = makeConfiguration(RouteJson);
  const auto Call = Protocol.decodeCall(
      Listener::Control, makeRequest("PUT", "/api/config", Body));
  CHECK(Call.has_value());
  const CellConfiguration &Configuration =
      std::get<ConfigureCall>(*Call).Configuration;
  CHECK_EQUAL(7, Configuration.Version);
  STRCMP_EQUAL(Body.c_str(), Configuration.SourceDocument.c_str());
  const JobQueue &Queue = Configuration.Queues.front();
  STRCMP_EQUAL("s", Queue.Pool.c_str());
  CHECK_EQUAL(3, Queue.MaxAttempts);
  CHECK(Queue.Advice.has_value());
  CHECK_EQUAL(2500, Queue.Advice->TicketTtl.count());
}

TEST(PlatformGateway, RejectsInvalidConfigurations) {
  const std::string Valid = makeConfiguration(RouteJson);
  CHECK_EQUAL(200, configurationStatus(Valid));
  CHECK_EQUAL(400, configurationStatus(Valid.substr(0, Valid.size() / 2)));
  CHECK_EQUAL(400, configurationStatus(makeConfiguration(
                       std::string{RouteJson} + "," + RouteJson)));
  CHECK_EQUAL(400, configurationStatus(
                       makeConfiguration(RouteJson, R"({"name":"other"})")));
  CHECK_EQUAL(400, configurationStatus(replaced(Valid, R"("timeout_ms":3000)",
                                                R"("timeout_ms":0)")));
  CHECK_EQUAL(400, configurationStatus(
                       replaced(Valid, R"("version":7)", R"("version":"7")")));
  CHECK_EQUAL(400, configurationStatus(replaced(Valid, R"("host":"h",)", "")));
}

TEST(PlatformGateway, DecodesAWorkerReport) {
  const auto Call = decodeReport(ReportJson);
  CHECK(Call.has_value());
  const WorkerReport &Worker = std::get<WorkerReportCall>(*Call).Report;
  STRCMP_EQUAL("i-1", Worker.Name.c_str());
  STRCMP_EQUAL("r1-3", Worker.Rack.c_str());
  CHECK_EQUAL(99, Worker.StartTimeMs);
  CHECK_EQUAL(16000, Worker.Capacity.MilliCpus);
  CHECK(!Worker.IsDraining);
}

TEST(PlatformGateway, RejectsMalformedWorkerReports) {
  for (const auto &[From, To] :
       {std::pair{R"("state":"ready")", R"("state":"asleep")"},
        std::pair{R"("born":99)", R"("born":"99")"},
        std::pair{R"("seq":4,)", ""}, std::pair{R"("clock_ms":4821,)", ""},
        std::pair{R"("address":"10.1.0.9:80",)", R"("address":5,)"}}) {
    const auto Call = decodeReport(replaced(ReportJson, From, To));
    CHECK(!Call.has_value());
    CHECK_EQUAL(400, Call.error().Status);
  }
}

TEST(PlatformGateway, EncodesAStartOrderWithAllItsFields) {
  WorkerOrder Order = makeOrder(WorkerOrderKind::Start);
  Order.Payload = "text";
  Order.Checkpoint = "half";
  Order.Ticket = "t";
  Order.Expires = 4860;
  const OutboundRequest Request = Protocol.encodeOrder(Order);
  STRCMP_EQUAL("http://10.1.0.9:80/api/run-start", Request.Url.c_str());
  const auto Body = nlohmann::json::parse(Request.Body);
  STRCMP_EQUAL("5c0e.2.1.17", Body["task"].get<std::string>().c_str());
  CHECK_EQUAL(3, Body["attempt"].get<int>());
  CHECK_EQUAL(7, Body["fencing_token"].get<int>());
  CHECK_EQUAL(4860, Body["expires_ms"].get<int>());
  STRCMP_EQUAL("half", Body["checkpoint"].get<std::string>().c_str());
  STRCMP_EQUAL("t", Body["ticket"].get<std::string>().c_str());
  CHECK_EQUAL(2, Request.Headers.size());
}

/// A renewal without a lease only lists the tasks of the worker.
TEST(PlatformGateway, ProbeContainsNeitherExpiryNorWait) {
  const auto Body = nlohmann::json::parse(
      Protocol.encodeOrder(makeOrder(WorkerOrderKind::Renew)).Body);
  CHECK(!Body.contains("expires_ms"));
  CHECK(!Body.contains("wait_ms"));
}

TEST(PlatformGateway, DecodesTheTaskListsOfARenewal) {
  const OrderResult Result = decodeAnswer(
      WorkerOrderKind::Renew, 200,
      R"({"clock_ms":4821,"born":99,"running":[["5c0e.0.1.17",2,"ab",41,7]],)"
      R"("finished":[[58,"5c0e.0.1.9",1,"done",""],[59,"5c0e.0.1.8",1,)"
      R"("lapsed","x"]]})");
  CHECK(OrderVerdict::Done == Result.Verdict);
  CHECK_EQUAL(99, Result.StartTimeMs);
  CHECK_EQUAL(17, Result.Running.front().Task.Task);
  CHECK_EQUAL(41, Result.Running.front().Percent);
  CHECK_EQUAL(7, Result.Running.front().Gauge);
  CHECK_EQUAL(58, Result.Ends[0].Number);
  CHECK(EndKind::LeaseExpired == Result.Ends[1].Kind);
}

TEST(PlatformGateway, MalformedAnswerCountsAsUnanswered) {
  for (const char *Body :
       {"", "[]", R"({"clock_ms":"x"})", R"({"clock_ms":1})",
        R"({"clock_ms":1,"running":[["a.b",1,"",0]],"finished":[]})",
        R"({"clock_ms":1,"running":[],"finished":[[1,"a.0.0.0",1]]})"}) {
    CHECK(OrderVerdict::Unanswered ==
          decodeAnswer(WorkerOrderKind::Renew, 200, Body).Verdict);
  }
}

/// A refused start was not executed. Without a usable answer it may have been
/// executed, so that the attempt must not be treated as refused.
TEST(PlatformGateway, DistinguishesRefusedOrdersFromUnansweredOnes) {
  const auto Start = WorkerOrderKind::Start;
  CHECK(RefusalReason::NoCapacity ==
        decodeAnswer(Start, 409, R"({"clock_ms":1,"reason":"room"})").Reason);
  CHECK(RefusalReason::InvalidTicket ==
        decodeAnswer(Start, 409, R"({"clock_ms":1,"reason":"ticket"})").Reason);
  CHECK(RefusalReason::Unhealthy == decodeAnswer(Start, 503, "").Reason);
  CHECK(OrderVerdict::OtherInstance == decodeAnswer(Start, 421, "{}").Verdict);
  CHECK(OrderVerdict::Unanswered == decodeAnswer(Start, 500, "").Verdict);
  CHECK(OrderVerdict::Unanswered == decodeAnswer(Start, 0, "").Verdict);
}

/// Guards against two runs of one task: an attempt counts as not executed only
/// if the worker says so in words that are understood.
TEST(PlatformGateway, RefusalWithoutAKnownReasonCountsAsUnanswered) {
  const auto Start = WorkerOrderKind::Start;
  for (const char *Body : {"", "{", "[]", R"({"clock_ms":1})",
                           R"({"clock_ms":1,"reason":"running"})",
                           R"({"clock_ms":1,"reason":["room"]})"}) {
    CHECK(OrderVerdict::Unanswered == decodeAnswer(Start, 409, Body).Verdict);
  }
  for (const int Status : {202, 204, 302}) {
    CHECK(OrderVerdict::Unanswered == decodeAnswer(Start, Status, "").Verdict);
  }
  CHECK(OrderVerdict::Refused == decodeAnswer(Start, 400, "").Verdict);
  CHECK(OrderVerdict::Refused ==
        decodeAnswer(Start, 409, R"({"reason":"late"})").Verdict);
}

/// A caller may repeat a refused call as a new one. A call with an unknown
/// outcome may have acted.
TEST(PlatformGateway, UnknownOutcomeIsNeverEncodedAsARefusal) {
  CellReply Reply;
  const CallType Submit{0, JobVerb::Submit};
  Reply.Verdict = CellVerdict::Unknown;
  CHECK_EQUAL(504, Protocol.encodeReply(Submit, Reply, "").Status);
  Reply.Verdict = CellVerdict::Refused;
  const HttpResponse Refused = Protocol.encodeReply(Submit, Reply, "");
  CHECK_EQUAL(503, Refused.Status);
  CHECK(Refused.RetryAfterSeconds > 0);
  Reply.Verdict = CellVerdict::Gone;
  CHECK_EQUAL(410, Protocol.encodeReply(Submit, Reply, "").Status);
}

TEST(PlatformGateway, ReplyToAWorkerReportNamesTheLeader) {
  const CellCall Call = WorkerReportCall{};
  const HttpResponse Response =
      Protocol.encodeReply({Call.index(), JobVerb::Read}, {}, "10.1.0.4:8166");
  STRCMP_EQUAL(R"({"heartbeat_addr":"10.1.0.4:8166"})", Response.Body.c_str());
}

TEST(PlatformGateway, DecodesAdvice) {
  AdviceQuery Query;
  Query.Id = 4;
  Query.Step = {"5c0e", 0, 1};
  const AdviceAnswer Advice = Protocol.decodeAdvice(
      Query, {200, false,
              R"({"eligible":[["i-1","t1"],["i-2","t2"]],"valid_ms":2000})"});
  CHECK(Advice.IsAnswered);
  CHECK_EQUAL(2, Advice.Admitted.size());
  CHECK_EQUAL(2000, Advice.TicketTtl.count());
  CHECK(!Protocol.decodeAdvice(Query, {429, false, ""}).IsAnswered);
}
