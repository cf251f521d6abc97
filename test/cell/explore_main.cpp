#include "cell/cell_world.hpp"
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

struct Totals {
  std::uint64_t Violations = 0;
  std::uint64_t Submitted = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Starts = 0;
  std::uint64_t LeaderChanges = 0;
  std::uint64_t TaskCrashes = 0;
  std::uint64_t FailedBystanders = 0;
  std::uint64_t BystandersFailedByCrashes = 0;
  std::uint64_t KeyChecks = 0;
  Millis LongestRunGap{0};
};

std::set<CellFault> readFaults(const std::string &Text) {
  if (Text.empty()) {
    return allCellFaults();
  }
  std::set<CellFault> Chosen;
  std::istringstream Stream{Text};
  for (std::string Name; std::getline(Stream, Name, ',');) {
    const auto Value = parseName<CellFault>(Name);
    if (!Value) {
      throw std::invalid_argument("unknown fault " + Name);
    }
    Chosen.insert(*Value);
  }
  return Chosen;
}

void addResult(Totals &Total, const CellScheduleOptions &Options,
               const CellScheduleResult &Result) {
  Total.Violations += Result.Violations.empty() ? 0 : 1;
  Total.Submitted += Result.Submitted;
  Total.Completed += Result.Completed;
  Total.Starts += Result.Starts;
  Total.LeaderChanges += Result.LeaderChanges;
  Total.TaskCrashes += Result.TaskCrashes;
  Total.FailedBystanders += Result.FailedBystanders;
  Total.BystandersFailedByCrashes += Result.BystandersFailedByCrashes;
  Total.KeyChecks += Result.KeyChecks;
  Total.LongestRunGap = std::max(Total.LongestRunGap, Result.LongestRunGap);
  if (Result.TaskCrashes != 0) {
    std::cout << "seed " << Options.Seed << ": workers crashed by tasks "
              << Result.TaskCrashes << ", by tasks of one job at most "
              << Result.MaxTaskCrashesOfJob
              << ", failed jobs without a crashing task "
              << Result.FailedBystanders << '\n';
  }
  if (Result.Violations.empty()) {
    return;
  }
  std::cout << "seed " << Options.Seed << '\n';
  constexpr std::size_t MaxShown = 6;
  for (std::size_t Index = 0;
       Index < std::min(MaxShown, Result.Violations.size()); ++Index) {
    std::cout << "  " << Result.Violations[Index] << '\n';
  }
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options{
      "mulberryramp_cell_explore",
      "Runs seeded schedules of faults against a simulated cell"};
  Options.add_options()("first-seed", "seed of the first schedule",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "count", "schedules",
      cxxopts::value<std::uint64_t>()->default_value("100"))(
      "faults", "comma-separated kinds of faults; all if empty",
      cxxopts::value<std::string>()->default_value(""))(
      "trap-cap", "give the cell higher caps than the invariant assumes")(
      "trace", "print the log lines of the nodes and the worker events")(
      "h,help", "print this help");
  try {
    const auto Args = Options.parse(Argc, Argv);
    if (Args.count("help") != 0) {
      std::cout << Options.help();
      return 0;
    }
    const auto FirstSeed = Args["first-seed"].as<std::uint64_t>();
    const auto EndSeed = FirstSeed + Args["count"].as<std::uint64_t>();
    const auto Faults = readFaults(Args["faults"].as<std::string>());
    const bool IsCapTrap = Args.count("trap-cap") != 0;
    const bool IsTraced = Args.count("trace") != 0;
    Totals Total;
    std::mutex Mutex;
    std::atomic<std::uint64_t> NextSeed{FirstSeed};
    std::vector<std::thread> Threads;
    for (unsigned Index = 0;
         Index < std::max(1U, std::thread::hardware_concurrency()); ++Index) {
      Threads.emplace_back([&] {
        for (std::uint64_t Seed = NextSeed++; Seed < EndSeed;
             Seed = NextSeed++) {
          const CellScheduleOptions Schedule{Seed, Faults, IsTraced, IsCapTrap};
          const CellScheduleResult Result = runCellSchedule(Schedule);
          const std::lock_guard Lock{Mutex};
          addResult(Total, Schedule, Result);
        }
      });
    }
    for (std::thread &Thread : Threads) {
      Thread.join();
    }
    std::cout << "submitted " << Total.Submitted << ", completed "
              << Total.Completed << ", starts " << Total.Starts
              << ", leader changes " << Total.LeaderChanges << '\n'
              << "answers with a checked key " << Total.KeyChecks << '\n'
              << "workers crashed by tasks " << Total.TaskCrashes
              << ", failed jobs without a crashing task "
              << Total.FailedBystanders << ", of these by crashes "
              << Total.BystandersFailedByCrashes << '\n'
              << "longest gap of a long-running task "
              << Total.LongestRunGap.count() << " ms\n"
              << "schedules " << (EndSeed - FirstSeed) << ", violations "
              << Total.Violations << '\n';
    return Total.Violations == 0 ? 0 : 1;
  } catch (const std::exception &Error) {
    std::cerr << "mulberryramp_cell_explore: " << Error.what() << '\n';
    return 2;
  }
}
