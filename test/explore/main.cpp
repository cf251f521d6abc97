#include "explore/world.hpp"
#include "mulberryramp/core/names.hpp"

#include <cxxopts.hpp>

#include <atomic>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

namespace {

using namespace mulberryramp;
using namespace mulberryramp::test;

template <typename Enum> std::set<Enum> readNames(const std::string &Text) {
  std::set<Enum> Chosen;
  std::istringstream Source{Text};
  for (std::string Name; std::getline(Source, Name, ',');) {
    const auto Value = parseName<Enum>(Name);
    if (!Value) {
      throw std::invalid_argument("unknown name " + Name);
    }
    Chosen.insert(*Value);
  }
  return Chosen;
}

struct Totals {
  std::uint64_t Schedules = 0;
  std::uint64_t Violations = 0;
  std::uint64_t Steps = 0;
  std::uint64_t Accepted = 0;
  std::uint64_t Finished = 0;
  std::uint64_t RulesAccepted = 0;
  std::uint64_t Recoveries = 0;
  std::uint64_t LostGroups = 0;
};

void report(const ScheduleOptions &Options, const ScheduleResult &Result) {
  std::cout << "seed " << Options.Seed << '\n';
  for (const Violation &Broken : Result.Violations) {
    std::cout << "  " << nameOf(Broken.Violated) << " at " << Broken.AtMs
              << " ms: " << Broken.Text << '\n';
  }
}

/// Removes one kind of fault after another as long as the schedule fails
/// without it. Reruns the schedule once for each kind.
ScheduleOptions shrinkFaults(ScheduleOptions Options) {
  for (const Fault Kind : allFaults()) {
    ScheduleOptions Fewer = Options;
    if (Fewer.Faults.erase(Kind) != 0 &&
        !runSchedule(Fewer).Violations.empty()) {
      Options = Fewer;
    }
  }
  return Options;
}

void printTrace(ScheduleOptions Options) {
  Options.IsTraced = true;
  for (const std::string &Line : runSchedule(Options).Trace) {
    std::cout << "    " << Line << '\n';
  }
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Parser{
      "mulberryramp_explore",
      "Simulates deployments under seeded schedules of faults"};
  Parser.add_options()("first-seed", "",
                       cxxopts::value<std::uint64_t>()->default_value("1"))(
      "count", "", cxxopts::value<std::uint64_t>()->default_value("100"))(
      "jobs", "", cxxopts::value<unsigned>()->default_value("0"))(
      "only", "", cxxopts::value<std::string>()->default_value(""))(
      "faults", "", cxxopts::value<std::string>()->default_value(""))(
      "trace",
      "print a trace of the first failing seed with the fewest faults")(
      "trace-all",
      "print the trace of the first seed, whether it fails or not");
  try {
    const auto Args = Parser.parse(Argc, Argv);
    ScheduleOptions Base;
    Base.Faults = allFaults();
    Base.Checked = allInvariants();
    if (Args.count("only") != 0) {
      Base.Checked = readNames<Invariant>(Args["only"].as<std::string>());
    }
    if (Args.count("faults") != 0) {
      Base.Faults = readNames<Fault>(Args["faults"].as<std::string>());
    }
    const auto FirstSeed = Args["first-seed"].as<std::uint64_t>();
    const auto Count = Args["count"].as<std::uint64_t>();
    unsigned ThreadCount = Args["jobs"].as<unsigned>();
    ThreadCount = ThreadCount == 0
                      ? std::max(1U, std::thread::hardware_concurrency())
                      : ThreadCount;
    if (Args.count("trace-all") != 0) {
      Base.Seed = FirstSeed;
      printTrace(Base);
      return 0;
    }
    std::atomic<std::uint64_t> NextSeed{FirstSeed};
    std::mutex Mutex;
    Totals Sum;
    std::optional<ScheduleOptions> Failing;
    const auto RunSchedules = [&] {
      for (std::uint64_t Seed = NextSeed++; Seed < FirstSeed + Count;
           Seed = NextSeed++) {
        ScheduleOptions Options = Base;
        Options.Seed = Seed;
        const ScheduleResult Result = runSchedule(Options);
        const std::lock_guard Guard{Mutex};
        Sum.Schedules += 1;
        Sum.Violations += Result.Violations.size();
        Sum.Steps += Result.Steps;
        Sum.Accepted += Result.Accepted;
        Sum.Finished += Result.Finished;
        Sum.RulesAccepted += Result.RulesAccepted;
        Sum.Recoveries += Result.Recoveries;
        Sum.LostGroups += Result.LostGroups;
        if (!Result.Violations.empty()) {
          report(Options, Result);
          if (!Failing || Seed < Failing->Seed) {
            Failing = Options;
          }
        }
      }
    };
    std::vector<std::thread> Threads;
    for (unsigned Index = 0; Index < ThreadCount; ++Index) {
      Threads.emplace_back(RunSchedules);
    }
    for (std::thread &Thread : Threads) {
      Thread.join();
    }
    if (Failing && Args.count("trace") != 0) {
      const ScheduleOptions Reduced = shrinkFaults(*Failing);
      std::cout << "shortest trace, seed " << Reduced.Seed << '\n';
      printTrace(Reduced);
    }
    std::cout << "steps " << Sum.Steps << ", accepted " << Sum.Accepted
              << ", settled " << Sum.Finished << ", rules " << Sum.RulesAccepted
              << ", recoveries " << Sum.Recoveries << ", groups lost "
              << Sum.LostGroups << '\n';
    std::cout << "schedules " << Sum.Schedules << ", violations "
              << Sum.Violations << '\n';
    return Sum.Violations == 0 ? 0 : 1;
  } catch (const std::exception &Error) {
    std::cerr << "mulberryramp_explore: " << Error.what() << '\n';
    return 2;
  }
}
