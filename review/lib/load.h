// Load of jobs with specs of the largest size, at a constant rate.
#pragma once

#include "worker.h"

namespace review {

constexpr int JobsPerSecond = 60;
constexpr int SubmitSeconds = 60;
constexpr std::size_t SpecBytes = 4000; // The most that a spec may have.
constexpr const char *Prefix = "/plans/";
constexpr int LoadCallers = 12;
constexpr int LoadWorkers = 4;

struct LoadCaller {
  std::vector<std::string> Accepted;
  int NotAccepted = 0;
};

inline std::string jobName(int Number) {
  char Name[17];
  std::snprintf(Name, sizeof(Name), "%016x", 0x5a000000u + Number);
  return Name;
}

inline std::string jobBody() {
  std::string Spec = "work 300 ";
  Spec.resize(SpecBytes, 'x');
  return Json{{"spec", Spec},
              {"phases",
               {{{"count", 1},
                 {"cpu", 500},
                 {"mem_mb", 256},
                 {"estimate_ms", 300}}}}}
      .dump();
}

// Submits every `Step`-th job, at its time.
inline void submitJobs(Cell &Nodes, std::size_t Frontend, int First, int Step,
            std::int64_t Begin, LoadCaller &Result) {
  Client Http{Nodes.host(Frontend), Nodes.callersPort()};
  const std::string Body = jobBody();
  for (int Number = First; Number < JobsPerSecond * SubmitSeconds;
       Number += Step) {
    const std::int64_t At = Begin + Number * 1000LL / JobsPerSecond;
    sleepMs(std::max<std::int64_t>(At - steadyMs(), 0));
    const std::string Name = jobName(Number);
    const Message Answer = Http.request("POST", Prefix + Name, QueueHost, Body,
                                        RequestTimeoutMs);
    if (Answer.Status == 200) {
      Result.Accepted.push_back(Name);
    } else {
      Result.NotAccepted += 1;
    }
  }
}

// A cell with workers that has accepted the jobs of the load.
struct LoadedCell {
  LoadedCell(Record &Log) : Nodes{Log, 3, 2} {}

  Cell Nodes;
  std::vector<std::unique_ptr<Worker>> Workers;
  std::vector<std::string> Accepted;

  // Starts all and submits the jobs; false if the cell does not start.
  bool load(Record &Log) {
    Nodes.startAll();
    const Json Routes = Json::array({makeRoute("plans", Prefix, 4)});
    if (sendConfiguration(Nodes, Log, 1, Routes, 15000) != 200) {
      return false;
    }
    for (int Index = 0; Index < LoadWorkers; ++Index) {
      Workers.push_back(std::make_unique<Worker>(
          Nodes, Log, "i-00000" + std::to_string(Index),
          Nodes.net() + ".3." + std::to_string(Index + 1)));
      Workers.back()->IsVerbose = false;
      if (!Workers.back()->start({}, 10)) {
        return false;
      }
    }
    sleepMs(2000);
    const std::int64_t Begin = steadyMs();
    std::vector<LoadCaller> Callers(LoadCallers);
    std::vector<std::thread> Threads;
    for (int Index = 0; Index < LoadCallers; ++Index) {
      Threads.emplace_back([&, Index] {
        submitJobs(Nodes, 3 + static_cast<std::size_t>(Index) % 2, Index,
                   LoadCallers, Begin, Callers[Index]);
      });
    }
    for (std::thread &Each : Threads) {
      Each.join();
    }
    int NotAccepted = 0;
    for (const LoadCaller &Each : Callers) {
      Accepted.insert(Accepted.end(), Each.Accepted.begin(),
                      Each.Accepted.end());
      NotAccepted += Each.NotAccepted;
    }
    Log.line("callers: %zu jobs accepted with 200, %d not; specs of %zu bytes",
             Accepted.size(), NotAccepted, SpecBytes);
    for (std::size_t Index = 0; Index < Nodes.voters(); ++Index) {
      Log.line("voter %zu: %ld MB resident", Index, Nodes.residentMb(Index));
    }
    return true;
  }

  // Restarts processes that end, as the platform does, and waits.
  void superviseFor(std::int64_t Ms) {
    const std::int64_t Until = steadyMs() + Ms;
    while (steadyMs() < Until) {
      for (std::size_t Index = 0; Index < Nodes.voters(); ++Index) {
        Nodes.restartIfEnded(Index);
      }
      sleepMs(1500);
    }
  }

  // Reads the configuration and a sample of the jobs back.
  // Returns whether something that was acknowledged is gone.
  bool isLost(Record &Log) {
    int OwnEnds = 0;
    int Configured = 0;
    for (std::size_t Index = 0; Index < Nodes.voters(); ++Index) {
      OwnEnds += Nodes.ownEnds(Index);
      Client Control{Nodes.host(Index), Nodes.controlPort()};
      const Message Answer =
          Control.request("GET", "/api/config", Nodes.host(Index), "", 1500);
      Log.line("operator: GET /api/config at voter %zu -> %d", Index,
               Answer.Status);
      Configured += Answer.Status == 200 ? 1 : 0;
    }
    int Known = 0;
    int Lost = 0;
    for (std::size_t Index = 0; Index < Accepted.size();
         Index += Accepted.size() / 6) {
      const Message Answer = requestAt(
          Nodes, 3, "GET", Prefix + Accepted[Index], "", RequestTimeoutMs);
      Log.line("caller: GET %s -> %d %s", Accepted[Index].c_str(),
               Answer.Status, Answer.Body.c_str());
      (stateOf(Answer).empty() ? Lost : Known) += 1;
    }
    Log.line("sample of accepted jobs: %d known, %d not; processes that ended "
             "by themselves: %d",
             Known, Lost, OwnEnds);
    return Lost != 0 || Configured == 0;
  }
};

} // namespace review
