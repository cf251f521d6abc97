#include "platform/gateway.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::platform;

namespace {

const PlatformGateway Protocol;

/// @brief Returns arrays or objects that are nested this deeply.
std::string makeNested(std::size_t Depth, const std::string &Open,
                       const std::string &Close) {
  std::string Text;
  for (std::size_t Level = 0; Level < Depth; ++Level) {
    Text += Open;
  }
  Text += "1";
  for (std::size_t Level = 0; Level < Depth; ++Level) {
    Text += Close;
  }
  return Text;
}

constexpr std::size_t DeepNesting = 500000;

int statusOf(Listener Source, const std::string &Method,
             const std::string &Path, const std::string &Body) {
  HttpRequest Request;
  Request.Method = Method;
  Request.Path = Path;
  Request.Body = Body;
  Request.Host = "host.example";
  const auto Call = Protocol.decodeCall(Source, Request);
  return Call ? 200 : Call.error().Status;
}

/// @brief A valid report in which one part of the text is replaced.
std::string makeReport(const std::string &From = "",
                       const std::string &To = "") {
  std::string Text =
      R"({"service":"s","address":"10.1.0.9:80","zone":"z","state":"ready",)"
      R"("remaining_ms":5,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},)"
      R"("labels":["a","r1-3"],"clock_ms":4821,"seq":4,"born":99})";
  return From.empty() ? Text : Text.replace(Text.find(From), From.size(), To);
}

int reportStatus(const std::string &Body,
                 const std::string &Path = "/api/instances/i-1") {
  return statusOf(Listener::Control, "PUT", Path, Body);
}

int jobStatus(const std::string &Fields, const std::string &Path = "/p/5c0e") {
  return statusOf(Listener::Callers, "POST", Path,
                  R"({"spec":"x","phases":[{"count":1}],)" + Fields + "}");
}

int configurationStatus(const std::string &Field) {
  return statusOf(Listener::Control, "PUT", "/api/config",
                  R"({"version":7,"services":[{"name":"s"}],"routes":[)"
                  R"({"host":"h","path_prefix":"/p/","timeout_ms":3000,)"
                  R"("service":"s",)" +
                      Field + "}]}");
}

OrderResult decodeRenewal(const std::string &Clock, const std::string &Running,
                          const std::string &Finished) {
  return Protocol.decodeOrderResult(
      5, WorkerOrderKind::Renew,
      {200, false,
       R"({"clock_ms":)" + Clock + R"(,"born":99,"running":[)" + Running +
           R"(],"finished":[)" + Finished + "]}"});
}

} // namespace

TEST_GROUP(MalformedInput){};

/// A report with a number that no machine can have must not register a worker.
TEST(MalformedInput, ReportsWithNumbersOutOfRangeAreRejected) {
  CHECK_EQUAL(200, reportStatus(makeReport()));
  for (const char *Number :
       {"1e308", "-1e308", "1e999", "9223372036854775807",
        "9223372036854775808", "-9223372036854775808", "18446744073709551615",
        "99999999999999999999999"}) {
    for (const char *Field :
         {R"("cpu":16000)", R"("mem_mb":32768)", R"("gpu":1)",
          R"("clock_ms":4821)", R"("born":99)", R"("remaining_ms":5)"}) {
      const std::string Name{Field, std::string{Field}.find(':') + 1};
      const int Status = reportStatus(makeReport(Field, Name + Number));
      CHECK_EQUAL_TEXT(400, Status, (Name + Number).c_str());
    }
  }
  CHECK_EQUAL(400, reportStatus(makeReport(R"("cpu":16000)", R"("cpu":-1)")));
  CHECK_EQUAL(400, reportStatus(makeReport(R"("seq":4)", R"("seq":1e308)")));
  CHECK_EQUAL(400, reportStatus(makeReport(R"("seq":4)",
                                           R"("seq":18446744073709551615)")));
}

/// Orders to such an address can never arrive, or need a name lookup.
TEST(MalformedInput, ReportsWithUnusableAddressesAreRejected) {
  for (const char *Address :
       {"", ":", "10.1.0.9", "10.1.0.9:", "10.1.0.9:0", "10.1.0.9:65536",
        "10.1.0.9:99999999999999999999", "10.1.0.9:-1", "10.1.0.9:80/x",
        "10.1.0.9:8 0", "[::1]:80", "::1:80", "host:80", "a@10.1.0.9:80",
        "10.1.0.256:80", "10.1.0.9:80\\r\\nX: y", "10.1.0.9\\u0000:80"}) {
    const int Status = reportStatus(makeReport("10.1.0.9:80", Address));
    CHECK_EQUAL_TEXT(400, Status, Address);
  }
  CHECK_EQUAL(
      400, reportStatus(makeReport("10.1.0.9:80", std::string(100000, '1'))));
}

/// A name becomes part of headers, of JSON bodies and of log lines. A name that
/// is not UTF-8 ended each process that sent it.
TEST(MalformedInput, WorkerNamesThatAreNotVisibleAsciiAreRejected) {
  const std::string Prefix = "/api/instances/";
  for (const std::string &Name :
       {std::string{}, std::string{"\xff\xfe"}, std::string{"a\r\nX: y"},
        std::string{"a b"}, std::string{"a\nevent=x"}, std::string{"\xc3\xa9"},
        std::string(100000, 'a')}) {
    CHECK_EQUAL(400, reportStatus(makeReport(), Prefix + Name));
    CHECK_EQUAL(400, statusOf(Listener::Control, "DELETE", Prefix + Name, ""));
  }
  CHECK_EQUAL(200, reportStatus(makeReport(), Prefix + "i-7f3a91c2_x.y"));
}

/// The leader ended whenever it sent a start of such a job, and so did the next
/// leader.
TEST(MalformedInput, JobNamesThatAreNotVisibleAsciiAreRejected) {
  for (const char *Path : {"/p/\xff\xfe", "/p/a\nevent=x", "/p/a b"}) {
    CHECK_EQUAL(400, jobStatus(R"("start_ms":0)", Path));
  }
}

/// State that an earlier version has stored may still hold such a name.
TEST(MalformedInput, OrdersWithTextsThatAreNotUtf8AreEncoded) {
  WorkerOrder Order;
  Order.Kind = WorkerOrderKind::Start;
  Order.Task.Job = "\xff";
  Order.Payload = "\xc3";
  CHECK(!Protocol.encodeOrder(Order).Body.empty());
  AdviceQuery Query;
  Query.Workers = {"\xff"};
  CHECK(!Protocol.encodeAdviceQuery(Query, {"10.0.0.1", 80}).Body.empty());
  CellReply Reply;
  Reply.Verdict = CellVerdict::Refused;
  Reply.Text = "\xff";
  CHECK_EQUAL(503, Protocol.encodeReply({}, Reply, "").Status);
}

/// The leader stalled for longer than an election timeout on such an answer,
/// and a report with such a field was accepted.
TEST(MalformedInput, DeeplyNestedBodiesAreRejected) {
  CHECK_EQUAL(200, reportStatus(
                       makeReport(R"("seq":4)", R"("x":"\"[\\","seq":4,"y":)" +
                                                    makeNested(30, "[", "]"))));
  const std::string Arrays = makeNested(DeepNesting, "[", "]");
  const std::string Objects = makeNested(DeepNesting, R"({"a":)", "}");
  for (const std::string &Nested :
       {Arrays, Objects, std::string(DeepNesting, '['),
        makeNested(40, R"([{"a":)", "}]")}) {
    CHECK_EQUAL(400, reportStatus(Nested));
    CHECK_EQUAL(400,
                reportStatus(makeReport(R"("gpu":1)", R"("gpu":)" + Nested)));
    CHECK_EQUAL(400, reportStatus(
                         makeReport(R"("seq":4)", R"("seq":4,"x":)" + Nested)));
    CHECK(OrderVerdict::Unanswered == decodeRenewal("1", Nested, "").Verdict);
    CHECK(OrderVerdict::Unanswered == decodeRenewal(Nested, "", "").Verdict);
    const AdviceQuery Query;
    CHECK(Protocol
              .decodeAdvice(Query,
                            {200, false, R"({"eligible":[)" + Nested + "]}"})
              .Admitted.empty());
  }
}

/// One such value in the list of a worker made later sums overflow.
TEST(MalformedInput, AnswersWithNumbersOutOfRangeAreUnusable) {
  const std::string Row = R"(["a.0.0.0",1,"",0,7])";
  const std::string End = R"([1,"a.0.0.0",1,"done",""])";
  CHECK(OrderVerdict::Done == decodeRenewal("1", Row, End).Verdict);
  for (const char *Number :
       {"1e308", "-1e308", "9223372036854775807", "18446744073709551615",
        "-9223372036854775808", "1.5", "true"}) {
    CHECK_TEXT(OrderVerdict::Unanswered ==
                   decodeRenewal(Number, Row, End).Verdict,
               Number);
    CHECK_TEXT(
        OrderVerdict::Unanswered ==
            decodeRenewal(
                "1", std::string{R"(["a.0.0.0",)"} + Number + R"(,"",0])", End)
                .Verdict,
        Number);
    CHECK_TEXT(OrderVerdict::Unanswered ==
                   decodeRenewal("1", Row,
                                 std::string{"["} + Number +
                                     R"(,"a.0.0.0",1,"done",""])")
                       .Verdict,
               Number);
  }
  for (const char *Number : {"1e308", "-1e308", "-5"}) {
    const OrderResult Result = decodeRenewal(
        "1", std::string{R"(["a.0.0.0",1,"",)"} + Number + "," + Number + "]",
        "");
    CHECK(Result.Running.empty() || Result.Running[0].Percent <= 100);
  }
}

TEST(MalformedInput, JobsAndConfigurationsWithNumbersOutOfRangeAreRejected) {
  CHECK_EQUAL(200, jobStatus(R"("repeat_count":2,"interval_ms":1000)"));
  CHECK_EQUAL(200, configurationStatus(R"("target_latency_ms":300)"));
  for (const char *Number :
       {"1e308", "9223372036854775807", "18446744073709551615"}) {
    CHECK_EQUAL(400, jobStatus(R"("start_ms":)" + std::string{Number}));
    CHECK_EQUAL(400, jobStatus(R"("repeat_count":2,"interval_ms":)" +
                               std::string{Number}));
    CHECK_EQUAL(400, configurationStatus(R"("target_latency_ms":)" +
                                         std::string{Number}));
    CHECK_EQUAL(
        400, configurationStatus(R"("slack_factor":)" + std::string{Number}));
    CHECK_EQUAL(400, configurationStatus(R"("advisor":{"decision_ms":)" +
                                         std::string{Number} + "}"));
  }
  CHECK_EQUAL(400, jobStatus(R"("repeat_count":2147483647,)"
                             R"("interval_ms":99999999999999)"));
}
