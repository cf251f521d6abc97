// Callers submit jobs to a route while configurations remove it and add it
// again.

#include "worker.h"

using namespace review;

namespace {

constexpr const char *Prefix = "/plans/";
constexpr int Callers = 12;
constexpr int SubmitsPerSecond = 120; // Of all callers.
constexpr int Changes = 60;
constexpr std::int64_t ChangeIntervalMs = 1000;
constexpr std::int64_t FinishMs = 14000; // `finish_s`.
constexpr std::int64_t StatusMs = 120000; // `status_s`.

struct Submission {
  std::string Name;
  int Status = 0;
  std::int64_t AnsweredAt = 0;
};

std::string jobBody() {
  return Json{{"spec", "work 200 review"},
              {"phases",
               {{{"count", 1},
                 {"cpu", 500},
                 {"mem_mb", 256},
                 {"estimate_ms", 200}}}}}
      .dump();
}

void submit(Cell &Nodes, int Caller, std::int64_t Begin, std::int64_t End,
            std::vector<Submission> &Result) {
  Client Http{Nodes.host(3 + static_cast<std::size_t>(Caller) % 2),
              Nodes.callersPort()};
  const std::string Body = jobBody();
  for (int Turn = 0;; ++Turn) {
    const std::int64_t At =
        Begin + (Turn * Callers + Caller) * 1000LL / SubmitsPerSecond;
    if (At >= End) {
      return;
    }
    sleepMs(std::max<std::int64_t>(At - steadyMs(), 0));
    char Name[17];
    std::snprintf(Name, sizeof(Name), "%08x%08x", 0xca000000u + Caller, Turn);
    Submission New;
    New.Name = Name;
    // A request without a clear answer is sent again with the same name.
    for (int Try = 0; Try < 4; ++Try) {
      New.Status = Http.request("POST", Prefix + New.Name, QueueHost, Body,
                                RequestTimeoutMs)
                       .Status;
      if (New.Status == 200 || New.Status == 404 || New.Status == 429 ||
          New.Status == 503) {
        break;
      }
    }
    New.AnsweredAt = steadyMs();
    Result.push_back(New);
  }
}

int run(Record &Log) {
  Cell Nodes{Log, 3, 2};
  std::vector<std::unique_ptr<Worker>> Workers;
  Nodes.startAll();
  const Json Kept = makeRoute("quotes", "/quotes/", 3);
  const Json Removed = makeRoute("plans", Prefix, 4);
  int Version = 1;
  if (sendConfiguration(Nodes, Log, Version, {Kept, Removed}, 15000) != 200) {
    return 2;
  }
  for (int Index = 0; Index < 4; ++Index) {
    Workers.push_back(std::make_unique<Worker>(
        Nodes, Log, "i-00000" + std::to_string(Index),
        Nodes.net() + ".3." + std::to_string(Index + 1)));
    Workers.back()->IsVerbose = false;
    if (!Workers.back()->start({}, 10)) {
      return 2;
    }
  }
  sleepMs(2000);
  const std::int64_t Begin = steadyMs();
  const std::int64_t End = Begin + (Changes + 1) * ChangeIntervalMs;
  std::vector<std::vector<Submission>> Results(Callers);
  std::vector<std::thread> Threads;
  for (int Caller = 0; Caller < Callers; ++Caller) {
    Threads.emplace_back(
        [&, Caller] { submit(Nodes, Caller, Begin, End, Results[Caller]); });
  }
  for (int Change = 1; hasTrouble() && Change <= Changes; ++Change) {
    sleepMs(
        std::max<std::int64_t>(Begin + Change * ChangeIntervalMs - steadyMs(), 0));
    Version += 3;
    const Json Routes =
        Change % 2 == 1 ? Json::array({Kept}) : Json::array({Kept, Removed});
    if (sendConfiguration(Nodes, Log, Version, Routes, 4000) != 200) {
      return 2;
    }
  }
  for (std::thread &Each : Threads) {
    Each.join();
  }
  // The last version has the route again.
  sleepMs(FinishMs);
  std::set<std::string> Begun;
  for (const auto &Each : Workers) {
    for (const SeenStart &Start : Each->starts()) {
      Begun.insert(Start.Task.substr(0, 16));
    }
  }
  int Accepted = 0;
  int NotFound = 0;
  int Unclear = 0;
  int Gone = 0;
  int NotRun = 0;
  for (const auto &Result : Results) {
    for (const Submission &Each : Result) {
      NotFound += Each.Status == 404 ? 1 : 0;
      Unclear += Each.Status != 404 && Each.Status != 200 ? 1 : 0;
      if (Each.Status != 200) {
        continue;
      }
      Accepted += 1;
      const Message Answer = requestAt(Nodes, 3, "GET", Prefix + Each.Name, "",
                                       RequestTimeoutMs);
      const bool HasRun = Begun.contains(Each.Name);
      NotRun += HasRun ? 0 : 1;
      if (Answer.Status == 410) {
        Gone += 1;
        Log.line("caller: POST %s -> 200 at %.3f s after the first submission; "
                 "GET now -> 410; started by a worker: %s",
                 Each.Name.c_str(), (Each.AnsweredAt - Begin) / 1000.0,
                 HasRun ? "yes" : "never");
      }
    }
  }
  if (steadyMs() - Begin > StatusMs) {
    Log.line("result: the case took too long; states are kept for `status_s`");
    return 2;
  }
  Log.line("callers: %d accepted with 200, %d answered 404, %d others; of the "
           "accepted: %d answered 410, %d never started",
           Accepted, NotFound, Unclear, Gone, NotRun);
  if (Accepted < 500) {
    Log.line("result: too few jobs were accepted");
    return 2;
  }
  Log.line("result: %s", Gone != 0 ? "LOST is broken" : "the rule held");
  return Gone != 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  Record Log{Count > 1 ? Arguments[1] : "record.txt"};
  return run(Log);
}
