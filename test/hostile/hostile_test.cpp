#include "hostile/cell_process.hpp"
#include "hostile/crowd.hpp"

#include <chrono>
#include <fstream>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

/// Clients of a crowd; their bodies together exceed `MemoryMb`.
constexpr std::size_t CrowdSize = 160;
/// Connections that together exceed `MaxDescriptors`.
constexpr std::size_t IdleCrowdSize = 600;
/// Size of a body just under the limit of 1 MiB.
constexpr std::size_t LargeBodyBytes = 1048000;
constexpr std::size_t HeldBackBytes = 100;
constexpr std::size_t MiB = std::size_t{1} << 20U;
/// What a client may send of a body that will not be accepted, until its
/// connection is closed or its request answered.
constexpr std::size_t EndlessBytes = 16 * MiB;
constexpr const char *Submission = "POST /q/00000000000000aa HTTP/1.1\r\n";
constexpr const char *Configuration = "PUT /api/config HTTP/1.1\r\n";

std::string headers(const std::string &RequestLine, const std::string &More) {
  return RequestLine + "Host: " + CellProcess::Host +
         "\r\nContent-Type: application/json\r\n" + More + "\r\n\r\n";
}

std::string withLength(const std::string &RequestLine, std::size_t Length) {
  return headers(RequestLine, "Content-Length: " + std::to_string(Length));
}

std::string chunked(const std::string &RequestLine) {
  return headers(RequestLine, "Transfer-Encoding: chunked");
}

std::string chunk(std::size_t Size) {
  char Line[32];
  std::snprintf(Line, sizeof(Line), "%zx\r\n", Size);
  return Line + std::string(Size, 'x') + "\r\n";
}

/// A body with a length of which the last bytes are held back.
ClientScript heldBody(const std::string &RequestLine) {
  return {withLength(RequestLine, LargeBodyBytes) + "{\"spec\":\"", "x",
          LargeBodyBytes - HeldBackBytes};
}

ClientScript wholeBody(const std::string &Begin, const std::string &Unit,
                       const std::string &End) {
  const std::size_t Units =
      (LargeBodyBytes - Begin.size() - End.size()) / Unit.size();
  const std::size_t Length = Begin.size() + Unit.size() * Units + End.size();
  return {withLength(Submission, Length) + Begin, Unit, Units, End};
}

/// Sends the bodies to a listener of a cell and checks what has to hold while
/// the connections are open.
void checkCrowd(const Endpoint &Address, const CellProcess &Cell,
                const ClientScript &Script) {
  const Crowd Clients{Address, CrowdSize, Script};
  Cell.checkServes();
}

/// Returns the statuses that say of a submission that it was not accepted and
/// never runs, or that it was refused.
bool isDenial(int Status) {
  return Status == 413 || Status == 429 || Status == 503;
}

} // namespace

TEST_GROUP(Hostile){};

TEST(Hostile, HeldBodiesOnCallers) {
  const CellProcess Cell;
  checkCrowd(Cell.callers(), Cell, heldBody(Submission));
}

TEST(Hostile, HeldBodiesOnControl) {
  const CellProcess Cell;
  checkCrowd(Cell.control(), Cell, heldBody(Configuration));
}

TEST(Hostile, HeldBodiesOnReadiness) {
  const CellProcess Cell;
  checkCrowd(Cell.readiness(), Cell, heldBody("POST /api/ready HTTP/1.1\r\n"));
}

TEST(Hostile, HeldBodiesOnMetrics) {
  const CellProcess Cell;
  checkCrowd(Cell.metrics(), Cell, heldBody("POST /metrics HTTP/1.1\r\n"));
}

TEST(Hostile, HeldBodiesOnAnEntryNode) {
  const CellProcess Cell;
  const EntryProcess Entry{Cell};
  const Crowd Clients{Entry.callers(), CrowdSize, heldBody(Submission)};
  checkStatus(200, sendRequest(Entry.callers(), "POST", "/q/0ddba11000000002",
                               makeJob())
                       .Status);
  checkStatus(200, sendRequest(Entry.readiness(), "GET", "/api/ready").Status);
  checkWithinLimits(Entry.process(), {Entry.callers(), Entry.readiness()});
}

TEST(Hostile, HeldBodiesOnADaemonWithPollingWorkers) {
  LimitedProcess Daemon;
  const CellProcess Ports; // Only keeps its ports from other processes.
  const Endpoint Http{"127.0.0.73", Ports.port(0)};
  const std::string File = Daemon.folder() + "/settings.ini";
  std::ofstream{File} << "[daemon]\nid = 1\n[node.1]\ncentre = c\nregion = r\n"
                      << "peer = 127.0.0.73:" << Ports.port(1)
                      << "\nhttp = " << render(Http) << "\ndisk = yes\n";
  const std::vector<std::string> Argv = {
      DAEMON_PROGRAM,  "--settings",    File,
      "--data-folder", Daemon.folder(), "--init"};
  Daemon.start(Argv);
  Daemon.waitForExit();
  Daemon.start({Argv.begin(), Argv.end() - 1});
  for (int Try = 0;
       Try < 300 && sendRequest(Http, "GET", "/healthz").Status != 200; ++Try) {
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
  }
  const Crowd Clients{Http, CrowdSize,
                      heldBody("POST /v1/requests HTTP/1.1\r\n")};
  checkStatus(200, sendRequest(Http, "GET", "/healthz").Status);
  checkWithinLimits(Daemon, {Http});
}

TEST(Hostile, HeldBodiesOfSlowSenders) {
  const CellProcess Cell;
  Crowd Clients{Cell.callers(), CrowdSize, heldBody(Submission)};
  for (int Byte = 0; Byte < 3; ++Byte) {
    std::this_thread::sleep_for(std::chrono::seconds{2});
    Clients.sendByte('x');
  }
  Cell.checkServes();
}

TEST(Hostile, OneLargeChunkWithoutItsEnd) {
  const CellProcess Cell;
  const std::string Chunk = chunk(LargeBodyBytes);
  checkCrowd(Cell.callers(), Cell,
             {chunked(Submission) + Chunk.substr(0, Chunk.size() - 10)});
}

TEST(Hostile, ChunksOfOneByteWithoutTheLast) {
  const CellProcess Cell;
  checkCrowd(Cell.callers(), Cell,
             {chunked(Submission), chunk(1), LargeBodyBytes - HeldBackBytes});
}

TEST(Hostile, ChunksWithoutEnd) {
  const CellProcess Cell;
  constexpr std::size_t ChunkBytes = 65536;
  Crowd Clients{
      Cell.callers(),
      CrowdSize,
      {chunked(Submission), chunk(ChunkBytes), EndlessBytes / ChunkBytes}};
  const std::size_t Unanswered = Clients.unansweredClients();
  CHECK_EQUAL(0U, Unanswered);
  Cell.checkServes();
}

TEST(Hostile, ABodyOf1TiBAnnouncedAndSent) {
  const CellProcess Cell;
  Crowd Clients{Cell.callers(),
                CrowdSize,
                {withLength(Submission, std::size_t{1} << 40U),
                 std::string(65536, 'x'), EndlessBytes / 65536}};
  const std::size_t Unanswered = Clients.unansweredClients();
  CHECK_EQUAL(0U, Unanswered);
  Cell.checkServes();
}

TEST(Hostile, ABodyOf1TiBAnnouncedAndHeldBack) {
  const CellProcess Cell;
  Crowd Clients{
      Cell.callers(),
      CrowdSize,
      {withLength(Submission, std::size_t{1} << 40U), "x", LargeBodyBytes}};
  Cell.checkServes();
}

TEST(Hostile, WholeBodiesOfOneText) {
  const CellProcess Cell;
  checkCrowd(Cell.callers(), Cell, wholeBody("{\"spec\":\"", "x", "\"}"));
}

TEST(Hostile, WholeBodiesOfEmptyLists) {
  const CellProcess Cell;
  checkCrowd(Cell.callers(), Cell, wholeBody("[[]", ",[]", "]"));
}

TEST(Hostile, WholeBodiesOfEmptyPhases) {
  const CellProcess Cell;
  checkCrowd(Cell.callers(), Cell,
             wholeBody("{\"spec\":\"a\",\"phases\":[0", ",0", "]}"));
}

TEST(Hostile, WholeBodiesOfManyKeys) {
  const CellProcess Cell;
  std::string Keys;
  for (int Key = 10000; Key < 95000 + 10000; ++Key) {
    Keys += ",\"" + std::to_string(Key) + "\":1";
  }
  checkCrowd(Cell.callers(), Cell,
             wholeBody("{\"spec\":\"a\"" + Keys, " ", "}"));
}

TEST(Hostile, WholeBodiesOfBrackets) {
  const CellProcess Cell;
  checkCrowd(Cell.callers(), Cell, wholeBody("[", "[", "["));
}

TEST(Hostile, WholeConfigurationsOnControl) {
  const CellProcess Cell;
  const std::string Document =
      makeConfiguration(1, ",\"unused\":\"" + std::string(900000, 'x') + "\"");
  checkCrowd(Cell.control(), Cell,
             {withLength(Configuration, Document.size()) + Document});
}

TEST(Hostile, ResponsesThatAreNeverRead) {
  CellProcess Cell;
  CHECK(Cell.configure(makeConfiguration(
      2, ",\"unused\":\"" + std::string(900000, 'x') + "\"")));
  ClientScript Script{headers("GET /api/config HTTP/1.1\r\n", "Accept: */*")};
  Script.Head += Script.Head + Script.Head;
  Script.ReceiveBufferBytes = 4096;
  Script.ReadsResponses = false;
  checkCrowd(Cell.control(), Cell, Script);
}

TEST(Hostile, SixCrowdsOneAfterAnother) {
  const CellProcess Cell;
  for (int Round = 0; Round < 6; ++Round) {
    const Crowd Clients{Cell.callers(), CrowdSize, heldBody(Submission)};
  }
  Cell.checkServes();
}

TEST(Hostile, IdleConnectionsOnCallers) {
  const CellProcess Cell;
  const Crowd Clients{Cell.callers(), IdleCrowdSize, {}};
  Cell.checkServes();
}

TEST(Hostile, IdleConnectionsOnAllListeners) {
  const CellProcess Cell;
  const Crowd OnCallers{Cell.callers(), IdleCrowdSize / 2, {}};
  const Crowd OnControl{Cell.control(), IdleCrowdSize / 2, {}};
  const Crowd OnReadiness{Cell.readiness(), IdleCrowdSize / 2, {}};
  const Crowd OnMetrics{Cell.metrics(), IdleCrowdSize / 2, {}};
  Cell.checkServes();
}

TEST(Hostile, UnfinishedHeaders) {
  const CellProcess Cell;
  const Crowd Clients{
      Cell.callers(),
      IdleCrowdSize,
      {std::string{Submission} + "Host: h\r\n", "A: b\r\n", 2000}};
  Cell.checkServes();
}

TEST(Hostile, RequestsBehindOneThatWaits) {
  const CellProcess Cell;
  const std::string Request =
      withLength(Submission, makeJob().size()) + makeJob();
  const Crowd Clients{Cell.callers(), CrowdSize, {"", Request, 5}};
  Cell.checkServes();
}

TEST(Hostile, UnfinishedFramesOnThePeerPort) {
  const CellProcess Cell;
  // Magic "MR", version 1, length 8 MiB.
  const std::string Header{"MR\0\1\0\x80\0\0", 8};
  const Crowd Clients{
      Cell.peers(), CrowdSize / 4, {Header, "x", 8 * MiB - HeldBackBytes}};
  Cell.checkServes();
}

TEST(Hostile, IdleConnectionsOnThePeerPort) {
  const CellProcess Cell;
  const Crowd Clients{Cell.peers(), IdleCrowdSize, {}};
  Cell.checkServes();
}

/// The body is over the limit, so that the response must not say anything
/// about the job that was accepted under the same ID.
TEST(Hostile, AnAcceptedJobIsNotDeniedForALargerBody) {
  const CellProcess Cell;
  checkStatus(200, Cell.submit("0ddba11000000003"));
  const int Status = sendRequest(Cell.callers(), "POST", "/q/0ddba11000000003",
                                 std::string(2 * MiB, 'x'))
                         .Status;
  CHECK(!isDenial(Status));
  checkStatus(200, Cell.read("0ddba11000000003").Status);
}

TEST(Hostile, AnAcceptedJobIsNotDeniedInACrowd) {
  const CellProcess Cell;
  checkStatus(200, Cell.submit("0ddba11000000004"));
  const ClientScript Scripts[] = {
      heldBody(Submission),
      wholeBody("{\"spec\":\"", "x", "\"}"),
      {chunked(Submission), chunk(65536), EndlessBytes / 65536}};
  for (const ClientScript &Script : Scripts) {
    const Crowd Clients{Cell.callers(), CrowdSize, Script};
    for (int Resend = 0; Resend < 20; ++Resend) {
      CHECK(!isDenial(Cell.submit("0ddba11000000004")));
      CHECK(!isDenial(
          sendRequest(Cell.callers(), "POST", "/q/0ddba11000000004",
                      makeJob() + std::string(LargeBodyBytes / 2, ' '))
              .Status));
    }
  }
  checkStatus(200, Cell.read("0ddba11000000004").Status);
}

/// The largest requests of ordinary clients, one after the other.
TEST(Hostile, LargeLegalRequestsAreServedInCalm) {
  CellProcess Cell;
  std::string Tenants;
  for (int Tenant = 0; Tenant < 2000; ++Tenant) {
    const std::string Name = "tenant-" + std::to_string(Tenant);
    Tenants += Tenant == 0 ? "" : ",";
    Tenants += R"({"name":")";
    Tenants += Name;
    Tenants += R"(","keys":["key-of-)";
    Tenants += Name;
    Tenants += R"("],"weight":1,"cap":{"cpu":100000,"mem_mb":100000,"gpu":0}})";
  }
  std::string Routes;
  for (int Route = 0; Route < 1400; ++Route) {
    Routes += std::string{Route == 0 ? "" : ","} + R"({"name":"r-)" +
              std::to_string(Route) + R"(","host":"h","path_prefix":"/p)" +
              std::to_string(Route) +
              R"(/","kind":"non_idempotent","timeout_ms":3000,)"
              R"("target_latency_ms":300,"priority":0,"service":"s",)"
              R"("max_attempts":2,"slack_factor":1.5,)"
              R"("advisor":{"decision_ms":22.0,"per_worker_ms":0.32,)"
              R"("valid_ms":2000}})";
  }
  checkStatus(200, sendRequest(Cell.control(), "PUT", "/api/config",
                               R"({"version":2,"routes":[)" + Routes +
                                   R"(],"services":[{"name":"s"}]})")
                       .Status);
  checkStatus(
      200, sendRequest(Cell.control(), "PUT", "/api/config",
                       makeConfiguration(3, ",\"tenants\":[" + Tenants + "]"))
               .Status);
  checkStatus(200, sendRequest(Cell.control(), "PUT", "/api/config",
                               makeConfiguration(4))
                       .Status);
  std::string Phases;
  for (int Step = 0; Step < 256; ++Step) {
    Phases += std::string{Step == 0 ? "" : ","} +
              R"({"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900)" +
              (Step == 0 ? std::string{}
                         : ",\"after\":[" + std::to_string(Step - 1) + "]") +
              "}";
  }
  checkStatus(200, sendRequest(Cell.callers(), "POST", "/q/0ddba11000000005",
                               R"({"spec":")" + std::string(4000, 'x') +
                                   R"(","phases":[)" + Phases + "]}")
                       .Status);
  CHECK_EQUAL(
      200,
      sendRequest(
          Cell.control(), "PUT", "/api/instances/i-1",
          R"({"service":"s","address":"127.0.0.74:1","zone":"c","version":"v1",)"
          R"("slots":8,"state":"ready","warmup_left_ms":0,"capacity":)"
          R"({"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],)"
          R"("clock_ms":482113,"seq":4,"born":1700000000000})")
          .Status);
  checkWithinLimits(Cell.process(), {Cell.callers(), Cell.control()});
}
