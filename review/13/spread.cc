// A worker crashes shortly after it has started a service. Short jobs, one task
// on each worker, go on all the time and leave most of the room free. The
// service has to run again within 9 s.
#include "../11/standin.h"

using namespace standin;

int main(int, char **Argv) {
  Record Log{Argv[2]};
  processStart();
  Cell Deployment{Argv[1], Log};
  History Seen;
  if (!Deployment.start()) {
    return 2;
  }
  const std::string ServiceId = jobId(1);
  constexpr int WorkerCount = 7;
  std::vector<std::unique_ptr<Worker>> Workers;
  for (int Index = 0; Index < WorkerCount; ++Index) {
    WorkerOptions Options;
    Options.Id = "i-" + std::to_string(1000 + Index);
    Options.Ip = Deployment.ip(100 + Index);
    Options.Control = Deployment.control();
    Workers.push_back(std::make_unique<Worker>(
        Options,
        [&](const std::string &Task, int) {
          return Task.substr(0, 16) == ServiceId ? Behaviour{-1, "done", 2000}
                                                 : Behaviour{300, "done", 1000};
        },
        Seen, Log));
  }
  if (!Deployment.configure(makeConfiguration(
          1, Json::array({makeRoute("/service/", 1, 4), makeRoute("/quick/", 0, 4)}))) ||
      !Deployment.awaitReady()) {
    Log.line("the cell isn't ready");
    return 2;
  }
  for (auto &Row : Workers) {
    if (!Row->start()) {
      return 2;
    }
  }
  sleepMs(3000);
  constexpr std::int64_t GapMs = 250;
  std::atomic<bool> IsOver{false};
  std::thread Traffic{[&] {
    const Json Quick{{"spec", "s"},
                     {"phases", Json::array({{{"count", WorkerCount},
                                              {"cpu", 1000},
                                              {"mem_mb", 500},
                                              {"estimate_ms", 300},
                                              {"anti_affinity", 1}}})}};
    std::vector<std::thread> Callers;
    for (int Number = 100; !IsOver; ++Number) {
      Callers.emplace_back([&, Number] { Deployment.submit("/quick/" + jobId(Number), Quick, Number); });
      sleepMs(GapMs);
    }
    for (std::thread &Caller : Callers) {
      Caller.join();
    }
  }};
  sleepMs(3000);
  const Json Service{{"spec", "s"},
                     {"phases", Json::array({{{"count", 1},
                                              {"cpu", 2000},
                                              {"mem_mb", 1000},
                                              {"estimate_ms", 400},
                                              {"long_running", true}}})}};
  const bool IsAccepted = Deployment.submit("/service/" + ServiceId, Service) == 200;
  std::string Host;
  for (int Wait = 0; Wait < 400 && Host.empty(); ++Wait) {
    sleepMs(5);
    const std::lock_guard Lock{Seen.Mutex};
    for (const Start &Row : Seen.Starts) {
      Host = Row.Task.rfind(ServiceId, 0) == 0 ? Row.Worker : Host;
    }
  }
  bool IsBroken = false;
  std::int64_t LastRunAt = 0, CalmSince = 0;
  if (IsAccepted && !Host.empty()) {
    if (hasTrouble()) {
      sleepMs(300);
      for (auto &Row : Workers) {
        if (Row->options().Id == Host) {
          Row->crash();
          LastRunAt = nowMs();
          sleepMs(1000);
          Row->start();
          CalmSince = nowMs();
        }
      }
    }
    const std::int64_t End = nowMs() + 40000;
    while (nowMs() < End) {
      std::int64_t StartedAt = 0;
      {
        const std::lock_guard Lock{Seen.Mutex};
        for (const Start &Row : Seen.Starts) {
          StartedAt = Row.Task.rfind(ServiceId, 0) == 0 ? Row.At : StartedAt;
        }
      }
      if (LastRunAt != 0 && StartedAt > LastRunAt) {
        Log.line("the service runs again after %lld ms", static_cast<long long>(StartedAt - LastRunAt));
        LastRunAt = 0;
      }
      if (!IsBroken && LastRunAt != 0 && nowMs() >= std::max(LastRunAt + 9000, CalmSince + 7000)) {
        IsBroken = true;
        Log.line("BROKEN nothing of the service has run for %lld ms", static_cast<long long>(nowMs() - LastRunAt));
        for (auto &Row : Workers) {
          Log.line("worker %s: %lld of %lld thousandths of a core are in use", Row->options().Id.c_str(),
                   static_cast<long long>(Row->cpuInUse()), static_cast<long long>(Row->options().Cpu));
        }
      }
      sleepMs(20);
    }
    Log.line("state %s", Deployment.stateOf("/service/" + ServiceId).c_str());
  }
  IsOver = true;
  Traffic.join();
  return Host.empty() ? 2 : IsBroken ? 1 : 0;
}
