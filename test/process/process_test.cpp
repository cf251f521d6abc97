#include "process/deployment.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using mulberryramp::test::Deployment;
using nlohmann::json;

namespace {

constexpr Millis ShortTimeout{15000};
constexpr Millis LongTimeout{40000};

std::vector<Deployment::DaemonSpec> oneCentre() {
  return {{"a", "r", true}, {"a", "r", true}, {"a", "r", false}};
}

std::vector<Deployment::DaemonSpec> twoCentres() {
  return {{"a", "r1", true}, {"a", "r1", false}, {"a", "r1", false},
          {"b", "r2", true}, {"b", "r2", false}, {"b", "r2", false}};
}

/// Fields of a non-idempotent request, by default issued now.
json once(std::int64_t IssuedAt = 0) {
  const auto WallNow = std::chrono::duration_cast<Millis>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  return {{"idempotent", false},
          {"issued_at_ms", IssuedAt == 0 ? WallNow : IssuedAt}};
}

void startWithWorkers(Deployment &Cluster, int Workers) {
  Cluster.startAll();
  for (int Index = 0; Index < Workers; ++Index) {
    Cluster.startWorker("w" + std::to_string(Index), "a");
  }
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    return Cluster.votersOf("a") == 3 &&
           Cluster.readyWorkers("a") == static_cast<std::size_t>(Workers);
  }));
}

bool isAccepted(const json &Answer) {
  return Answer.is_object() && Answer["http"] == 200;
}

/// Submits a request to one daemon after another until one accepts it.
bool submitSomewhere(Deployment &Cluster, const std::string &Key,
                     const json &More) {
  int Id = 0;
  return Deployment::eventually(ShortTimeout, [&] {
    Id = Id % Cluster.count() + 1;
    return isAccepted(Cluster.submit(Id, Key, More));
  });
}

} // namespace

TEST_GROUP(Process){};

TEST(Process, AnyDaemonServesAllKindsOfRequests) {
  Deployment Cluster{oneCentre()};
  startWithWorkers(Cluster, 3);
  CHECK(isAccepted(Cluster.submit(1, "batch", {{"tasks", 3}})));
  CHECK(
      isAccepted(Cluster.submit(2, "gang", {{"kind", "gang"}, {"tasks", 4}})));
  CHECK(isAccepted(Cluster.submit(3, "bill", once())));
  CHECK(isAccepted(Cluster.submit(1, "watch", {{"kind", "service"}})));
  for (const char *Key : {"batch", "gang", "bill"}) {
    const json Answer = Cluster.request(2, Key, 10000);
    STRCMP_EQUAL("done",
                 Answer["request"]["outcome"].get<std::string>().c_str());
    const std::string Expected =
        std::string{"answer to franchise/"} + Key + "#0: run-ms=50 " + Key;
    STRCMP_EQUAL(
        Expected.c_str(),
        Answer["request"]["tasks"][0]["answer"].get<std::string>().c_str());
  }
  CHECK(Cluster.request(3, "watch", 10000)["request"]["tasks"][0]["state"] ==
        "assigned");
  CHECK_EQUAL(1U, Cluster.runsOf("bill"));
}

TEST(Process, KillOfLeaderLosesNoRequestAndRunsNoneTwice) {
  Deployment Cluster{oneCentre()};
  startWithWorkers(Cluster, 3);
  for (int Index = 0; Index < 10; ++Index) {
    const json Bill = once();
    CHECK(submitSomewhere(Cluster, "early" + std::to_string(Index), Bill));
  }
  Cluster.killDaemon(Cluster.leaderOf("a"));
  for (int Index = 0; Index < 10; ++Index) {
    const json Bill = once();
    CHECK(submitSomewhere(Cluster, "late" + std::to_string(Index), Bill));
  }
  for (int Index = 0; Index < 10; ++Index) {
    for (const char *Name : {"early", "late"}) {
      const std::string Key = Name + std::to_string(Index);
      STRCMP_EQUAL("done", Cluster.awaitOutcome(Key, ShortTimeout).c_str());
      CHECK_EQUAL(1U, Cluster.runsOf(Key));
    }
  }
}

TEST(Process, LeaderPausedBeyondItsLeaseRunsNothingTwiceAfterResuming) {
  Deployment Cluster{oneCentre()};
  startWithWorkers(Cluster, 2);
  const int Paused = Cluster.leaderOf("a");
  Cluster.signalDaemon(Paused, SIGSTOP);
  const int Other = Paused % 3 + 1;
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    const json Status = Cluster.get(Other, "/v1/status");
    return Status["groups"][0]["leader"] != Paused &&
           Status["groups"][0]["leader"] != 0;
  }));
  const json Bill = once();
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    return isAccepted(Cluster.submit(Other, "bill", Bill));
  }));
  Cluster.signalDaemon(Paused, SIGCONT);
  STRCMP_EQUAL("done", Cluster.awaitOutcome("bill", ShortTimeout).c_str());
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    return isAccepted(Cluster.submit(Paused, "bill", Bill));
  }));
  CHECK_EQUAL(1U, Cluster.runsOf("bill"));
}

TEST(Process, LossOfSecondDaemonRightAfterRepairLosesNoRequest) {
  Deployment Cluster{oneCentre()};
  startWithWorkers(Cluster, 2);
  CHECK(submitSomewhere(Cluster, "kept", once()));
  STRCMP_EQUAL("done", Cluster.awaitOutcome("kept", ShortTimeout).c_str());
  Cluster.killDaemon(1);
  Cluster.loseDisk(1);
  Cluster.startDaemon(1);
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    const int Leader = Cluster.leaderOf("a");
    if (Leader == 0) {
      return false;
    }
    const json Status = Cluster.get(Leader, "/v1/status");
    for (const json &Group : Status["groups"]) {
      if (Group["group"] != "a") {
        continue;
      }
      for (const json &Voter : Group["voters"]) {
        if (Voter["node"] == 1 && Voter["incarnation"] != 1) {
          return true;
        }
      }
    }
    return false;
  }));
  // Without the repair, this second loss would leave no quorum.
  Cluster.killDaemon(2);
  STRCMP_EQUAL("done", Cluster.awaitOutcome("kept", ShortTimeout).c_str());
  CHECK_EQUAL(1U, Cluster.runsOf("kept"));
  CHECK(submitSomewhere(Cluster, "after", json::object()));
  STRCMP_EQUAL("done", Cluster.awaitOutcome("after", ShortTimeout).c_str());
}

TEST(Process, RestartOfWholeDataCentreKeepsStateOnDisk) {
  Deployment Cluster{oneCentre()};
  startWithWorkers(Cluster, 2);
  CHECK(submitSomewhere(Cluster, "kept", once()));
  STRCMP_EQUAL("done", Cluster.awaitOutcome("kept", ShortTimeout).c_str());
  for (int Id = 1; Id <= 3; ++Id) {
    Cluster.killDaemon(Id);
  }
  for (int Id = 1; Id <= 3; ++Id) {
    Cluster.startDaemon(Id);
  }
  STRCMP_EQUAL("done", Cluster.awaitOutcome("kept", LongTimeout).c_str());
  CHECK_EQUAL(1U, Cluster.runsOf("kept"));
}

TEST(Process, IsolatedDaemonAnswersUnknownAndOthersContinue) {
  Deployment Cluster{oneCentre(), true};
  startWithWorkers(Cluster, 2);
  const int Leader = Cluster.leaderOf("a");
  Cluster.isolate(Leader, true);
  const int Other = Leader % 3 + 1;
  const json Bill = once();
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    return isAccepted(Cluster.submit(Other, "bill", Bill));
  }));
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    return Cluster.get(Leader, "/readyz")["http"] == 503;
  }));
  const json Refused = Cluster.submit(Leader, "cut-off", once());
  CHECK(Refused["http"] == 503);
  STRCMP_EQUAL("unknown", Refused["outcome"].get<std::string>().c_str());
  Cluster.isolate(Leader, false);
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    return isAccepted(Cluster.submit(Leader, "bill", Bill));
  }));
  STRCMP_EQUAL("done", Cluster.awaitOutcome("bill", ShortTimeout).c_str());
  CHECK_EQUAL(1U, Cluster.runsOf("bill"));
}

TEST(Process, PartitionedDataCentreServesItsOwnRequests) {
  Deployment Cluster{twoCentres(), true};
  Cluster.startAll();
  Cluster.startWorker("wa", "a");
  Cluster.startWorker("wb", "b");
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    return Cluster.votersOf("a") == 3 && Cluster.votersOf("b") == 3 &&
           Cluster.readyWorkers("a") == 1 && Cluster.readyWorkers("b") == 1;
  }));
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    return isAccepted(Cluster.submit(1, "across", {{"home", "b"}}));
  }));
  // Daemons 1 to 3 reach each other, but not the other data centre.
  for (int Id : {1, 2, 3}) {
    Cluster.isolate(Id, true);
  }
  for (int From : {1, 2, 3}) {
    for (int To : {1, 2, 3}) {
      Cluster.healLink(From, To);
    }
  }
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    return isAccepted(Cluster.submit(2, "own-a", {{"home", "a"}}));
  }));
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    return isAccepted(Cluster.submit(5, "own-b", {{"home", "b"}}));
  }));
  const json Refused = Cluster.submit(2, "other", {{"home", "b"}});
  CHECK_TEXT(Refused["http"] == 503 || Refused["http"] == 504,
             Refused.dump().c_str());
  const auto Done = [&](int Id, const std::string &Key,
                        const std::string &Home) {
    return Deployment::eventually(ShortTimeout, [&] {
      const json Answer =
          Cluster.get(Id, "/v1/requests/franchise/" + Key + "?home=" + Home);
      return Answer.is_object() && Answer.contains("request") &&
             Answer["request"]["outcome"] == "done";
    });
  };
  CHECK(Done(2, "own-a", "a"));
  CHECK(Done(5, "own-b", "b"));
  for (int Id : {1, 2, 3}) {
    Cluster.isolate(Id, false);
  }
  CHECK(Done(2, "own-b", "b"));
  CHECK(Done(5, "own-a", "a"));
  CHECK_EQUAL(1U, Cluster.runsOf("own-a"));
  CHECK_EQUAL(1U, Cluster.runsOf("own-b"));
}

TEST(Process, ConcurrentRuleChangesHaveOneWinnerAndResendsGetFirstAnswer) {
  Deployment Cluster{oneCentre()};
  Cluster.startAll();
  const auto Change = [&](int Id, const std::string &Key, int Base) {
    return Cluster.post(
        Id, "/v1/rules",
        {{"change_key", Key},
         {"operator", "op-" + Key},
         {"base", Base},
         {"text", "drain worker=" + Key + " # asked by " + Key + "\n"}});
  };
  json First;
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    First = Change(1, "zero", 0);
    return First["http"] == 200;
  }));
  std::vector<json> Answers(3);
  std::vector<std::thread> Operators;
  Operators.reserve(Answers.size());
  for (int Index = 0; Index < 3; ++Index) {
    Operators.emplace_back([&, Index] {
      HttpClient Client;
      const auto Response = Client.post(
          "http://127.0.0.1:" + std::to_string(Cluster.httpPort(Index + 1)) +
              "/v1/rules",
          json{{"change_key", "race" + std::to_string(Index)},
               {"operator", "op" + std::to_string(Index)},
               {"base", 1},
               {"text",
                "drain worker=x" + std::to_string(Index) + " # asked by op\n"}}
              .dump(),
          Millis{10000});
      Answers[static_cast<std::size_t>(Index)] =
          json::parse(Response ? Response->Body : "{}");
    });
  }
  for (std::thread &Operator : Operators) {
    Operator.join();
  }
  int Accepted = 0;
  for (const json &Answer : Answers) {
    Accepted += Answer["change"]["verdict"] == "accepted" ? 1 : 0;
  }
  CHECK_EQUAL(1, Accepted);
  CHECK(Change(3, "zero", 0)["change"] == First["change"]);
}

TEST(Process, RestartedDaemonCatchesUpWithHundredsOfRuleChanges) {
  Deployment Cluster{oneCentre()};
  Cluster.startAll();
  const auto Apply = [&](int Base) {
    const std::string Key = "c" + std::to_string(Base);
    return Cluster.post(1, "/v1/rules",
                        {{"change_key", Key},
                         {"operator", "op"},
                         {"base", Base},
                         {"text", "limit team=t queue=" + std::to_string(Base) +
                                      " # asked by op\n"}})["http"] == 200;
  };
  CHECK(Deployment::eventually(ShortTimeout, [&] { return Apply(0); }));
  const json First = Cluster.get(1, "/v1/rules/history?most=1")["history"][0];
  Cluster.killDaemon(3);
  for (int Base = 1; Base < 700; ++Base) {
    CHECK(Apply(Base));
  }
  Cluster.startDaemon(3);
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    return Cluster.get(3, "/v1/rules")["rules"]["revision"] == 700;
  }));
  Cluster.killDaemon(1);
  Cluster.startDaemon(1);
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    const json Status = Cluster.get(1, "/v1/rules/status");
    if (!Status.is_object() || !Status.contains("in_force")) {
      return false;
    }
    std::size_t Current = 0;
    for (const json &Node : Status["in_force"]) {
      Current += Node["current"].get<bool>() ? 1 : 0;
    }
    return Current == 3 && Status["rules"]["revision"] == 700;
  }));
  const json Again = Cluster.post(2, "/v1/rules",
                                  {{"change_key", "c0"},
                                   {"operator", "op"},
                                   {"base", 0},
                                   {"text", "# other\n"}});
  CHECK(Again["change"] == First);
}

TEST(Process, GracefulShutdownAnswersOpenCalls) {
  Deployment Cluster{oneCentre()};
  startWithWorkers(Cluster, 2);
  CHECK(submitSomewhere(Cluster, "slow", {{"payload", "run-ms=3000 slow"}}));
  const int Leader = Cluster.leaderOf("a");
  json OpenAnswer;
  std::thread Caller{[&] {
    HttpClient Client;
    const auto Response = Client.get(
        "http://127.0.0.1:" + std::to_string(Cluster.httpPort(Leader)) +
            "/v1/requests/franchise/slow?wait_ms=20000",
        Millis{25000});
    OpenAnswer = json::parse(Response ? Response->Body : "null");
  }};
  std::this_thread::sleep_for(Millis{300});
  CHECK_EQUAL(0, Cluster.stopDaemon(Leader));
  Caller.join();
  CHECK(OpenAnswer.is_object());
  STRCMP_EQUAL("done", Cluster.awaitOutcome("slow", ShortTimeout).c_str());
  CHECK_EQUAL(1U, Cluster.runsOf("slow"));
}

TEST(Process, DrainingWorkerGetsNoNewTasksAndFinishesItsOwn) {
  Deployment Cluster{oneCentre()};
  startWithWorkers(Cluster, 2);
  CHECK(submitSomewhere(Cluster, "long",
                        {{"tasks", 16},
                         {"payload", "run-ms=2500 long"},
                         {"need", {{"milli_cpus", 1000}}}}));
  CHECK(Deployment::eventually(ShortTimeout,
                               [&] { return Cluster.runsOf("long") == 16; }));
  Cluster.signalWorker("w0", SIGTERM);
  std::this_thread::sleep_for(Millis{1000});
  for (int Index = 0; Index < 8; ++Index) {
    CHECK(submitSomewhere(Cluster, "later" + std::to_string(Index),
                          json::object()));
  }
  for (int Index = 0; Index < 8; ++Index) {
    STRCMP_EQUAL(
        "done",
        Cluster.awaitOutcome("later" + std::to_string(Index), ShortTimeout)
            .c_str());
  }
  STRCMP_EQUAL("done", Cluster.awaitOutcome("long", ShortTimeout).c_str());
  for (const std::string &Run : Cluster.runs()) {
    CHECK(Run.find("later") == std::string::npos ||
          Run.find(" w1") != std::string::npos);
  }
}

TEST(Process, LostWorkerEndsNonIdempotentTaskAsUnknownAndRerunsOthers) {
  Deployment Cluster{oneCentre()};
  startWithWorkers(Cluster, 1);
  json Bill = once();
  Bill["payload"] = "run-ms=60000 bill";
  CHECK(submitSomewhere(Cluster, "bill", Bill));
  CHECK(submitSomewhere(Cluster, "plan", {{"payload", "run-ms=8000 plan"}}));
  CHECK(Deployment::eventually(ShortTimeout, [&] {
    return Cluster.runsOf("bill") == 1 && Cluster.runsOf("plan") == 1;
  }));
  Cluster.killWorker("w0");
  Cluster.startWorker("w1", "a");
  STRCMP_EQUAL("unknown", Cluster.awaitOutcome("bill", LongTimeout).c_str());
  STRCMP_EQUAL("done", Cluster.awaitOutcome("plan", LongTimeout).c_str());
  CHECK_EQUAL(1U, Cluster.runsOf("bill"));
  CHECK_EQUAL(2U, Cluster.runsOf("plan"));
}

TEST(Process, InvalidInputIsRejectedWithoutEffect) {
  Deployment Cluster{oneCentre()};
  startWithWorkers(Cluster, 1);
  CHECK(Cluster.postText(1, "/v1/requests", "{")["http"] == 400);
  CHECK(Cluster.postText(1, "/v1/requests",
                         std::string(2'000'000, 'x'))["http"] == 413);
  CHECK(Cluster.submit(1, "k", {{"tasks", -1}})["http"] == 400);
  CHECK(Cluster.get(1, "/v1/requests/franchise/k")["http"] == 404);
  CHECK(Cluster.get(1, "/nothing")["http"] == 404);
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Cluster.peerPort(1)));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  CHECK_EQUAL(0, ::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                           sizeof(Address)));
  const std::string Garbage(4096, '\x7f');
  CHECK(::send(Socket, Garbage.data(), Garbage.size(), MSG_NOSIGNAL) > 0);
  char Byte = 0;
  CHECK(::recv(Socket, &Byte, 1, 0) <= 0);
  ::close(Socket);
  CHECK(submitSomewhere(Cluster, "good", json::object()));
  STRCMP_EQUAL("done", Cluster.awaitOutcome("good", ShortTimeout).c_str());
}
