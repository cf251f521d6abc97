#include "mulberryramp/core/time.hpp"
#include "process/deployment.hpp"

#include <algorithm>
#include <iostream>
#include <thread>

namespace {

using namespace mulberryramp;
using mulberryramp::test::Deployment;
using nlohmann::json;

constexpr Millis MaxWait{20000};

std::int64_t measureMs(const std::function<bool()> &Condition) {
  const Instant Begin = SuspendAwareClock::now();
  if (!Deployment::eventually(MaxWait, Condition)) {
    return -1;
  }
  return (SuspendAwareClock::now() - Begin).count();
}

void print(const std::string &Name, std::vector<std::int64_t> Values) {
  std::sort(Values.begin(), Values.end());
  std::cout << Name << ": n " << Values.size() << ", min " << Values.front()
            << " ms, median " << Values[Values.size() / 2] << " ms, max "
            << Values.back() << " ms\n";
}

bool isAssigned(Deployment &Cluster, int Id, const std::string &Key) {
  const json Answer =
      Cluster.get(Id, "/v1/requests/franchise/" + Key, Millis{1000});
  return Answer.is_object() && Answer.contains("request") &&
         Answer["request"]["tasks"][0]["state"] != "queued";
}

/// Measures the rate of sequential submissions by one caller through a
/// follower, which forwards them to the leader.
void printRate(Deployment &Cluster) {
  constexpr int Requests = 500;
  const int Entry = Cluster.leaderOf("a") % 3 + 1;
  const Instant Begin = SuspendAwareClock::now();
  int Accepted = 0;
  for (int Index = 0; Index < Requests; ++Index) {
    const json Answer = Cluster.submit(Entry, "rate" + std::to_string(Index));
    Accepted += Answer.is_object() && Answer["http"] == 200 ? 1 : 0;
  }
  const auto ElapsedMs = (SuspendAwareClock::now() - Begin).count();
  std::cout << Accepted << " of " << Requests << " submissions accepted in "
            << ElapsedMs << " ms by one caller\n";
}

/// Measures the time from the kill of the leader until a new task is assigned
/// to a worker.
/// @return The time in ms, -1 on timeout.
std::int64_t timeOneKill(Deployment &Cluster, int Round) {
  const int Leader = Cluster.leaderOf("a");
  const int Other = Leader % 3 + 1;
  const std::string Key = "kill" + std::to_string(Round);
  Cluster.killDaemon(Leader);
  bool IsAccepted = false;
  const std::int64_t ElapsedMs = measureMs([&] {
    if (!IsAccepted) {
      const json Answer = Cluster.submit(Other, Key);
      IsAccepted = Answer.is_object() && Answer["http"] == 200;
    }
    return IsAccepted && isAssigned(Cluster, Other, Key);
  });
  Cluster.startDaemon(Leader);
  (void)Deployment::eventually(MaxWait, [&] {
    return Cluster.votersOf("a") == 3 && Cluster.readyWorkers("a") == 3;
  });
  std::this_thread::sleep_for(Millis{1000});
  return ElapsedMs;
}

/// Measures the time from the acceptance of a rule change until it is active on
/// all daemons.
/// @return The time in ms, -1 on timeout.
std::int64_t timeOneChange(Deployment &Cluster, int Base) {
  json Answer;
  (void)Deployment::eventually(MaxWait, [&] {
    Answer =
        Cluster.post(1, "/v1/rules",
                     {{"change_key", "c" + std::to_string(Base)},
                      {"operator", "op"},
                      {"base", Base},
                      {"text", "limit team=t queue=" + std::to_string(Base) +
                                   " # asked by op\n"}});
    return Answer.is_object() && Answer["http"] == 200;
  });
  return measureMs([&] {
    for (int Id = 1; Id <= Cluster.count(); ++Id) {
      const json Rules = Cluster.get(Id, "/v1/rules", Millis{1000});
      if (!Rules.is_object() || Rules["rules"]["revision"] < Base + 1) {
        return false;
      }
    }
    return true;
  });
}

} // namespace

int main(int Argc, char **Argv) {
  const int Rounds = Argc > 1 ? std::atoi(Argv[1]) : 20;
  {
    Deployment Cluster{{{"a", "r", true}, {"a", "r", true}, {"a", "r", true}}};
    Cluster.startAll();
    for (int Index = 0; Index < 3; ++Index) {
      Cluster.startWorker("w" + std::to_string(Index), "a", {"--slots", "200"});
    }
    (void)Deployment::eventually(MaxWait, [&] {
      return Cluster.votersOf("a") == 3 && Cluster.readyWorkers("a") == 3;
    });
    printRate(Cluster);
    std::vector<std::int64_t> Kills;
    Kills.reserve(static_cast<std::size_t>(Rounds));
    for (int Round = 0; Round < Rounds; ++Round) {
      Kills.push_back(timeOneKill(Cluster, Round));
    }
    print("kill -9 of the leader until new work is placed", Kills);
  }
  {
    Deployment Cluster{{{"a", "r1", true},
                        {"a", "r1", false},
                        {"b", "r2", true},
                        {"b", "r2", false},
                        {"c", "r3", true},
                        {"c", "r3", false}}};
    Cluster.startAll();
    (void)Deployment::eventually(
        MaxWait, [&] { return Cluster.leaderOf("config") != 0; });
    std::vector<std::int64_t> Changes;
    Changes.reserve(static_cast<std::size_t>(Rounds));
    for (int Base = 0; Base < Rounds; ++Base) {
      Changes.push_back(timeOneChange(Cluster, Base));
    }
    print("accepted change until in force on six daemons", Changes);
  }
  return 0;
}
