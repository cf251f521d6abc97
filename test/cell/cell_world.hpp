#pragma once

#include "cell/key_world.hpp"

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Deterministic simulation of a cell. A seeded schedule injects faults
/// into voters, a frontend and fake workers in virtual time, while invariants
/// check the guarantees about jobs. It uses no threads, sockets or real files.

namespace mulberryramp::test {

/// @brief Kinds of faults that a schedule can inject.
enum class CellFault : std::uint8_t {
  KillNode,         ///< A voter crashes and restarts with its disk.
  WipeNode,         ///< A voter crashes and restarts with an empty disk.
  ReplaceNode,      ///< A voter is removed; an empty one starts under a new ID.
  PauseNode,        ///< A voter stops executing and resumes later.
  PartitionNode,    ///< A voter exchanges no messages with other nodes.
  StallDisk,        ///< The writes of a voter do not complete for some time.
  PartitionWorker,  ///< A worker loses its orders, answers and reports.
  RestartWorker,    ///< A worker restarts under its name without any state.
  DelayOrders,      ///< Orders get no answer and are executed seconds later.
  LoseMessages,     ///< Some messages between nodes are lost.
  PowerLoss,        ///< All voters lose power at once.
  Cancel,           ///< Callers cancel jobs.
  ResetConnections, ///< Connections to a worker are reset: orders on them may
                    ///< be executed, but the answers are lost at once.
  PartitionPath,    ///< A worker exchanges nothing with one of the voters.
  FreezeNode, ///< A voter stops for longer than a lease. Its sockets keep what
              ///< arrives, and what it sent before may leave them afterwards.
  CrashingTask, ///< Callers submit jobs with tasks that crash workers.
  CrashRack,    ///< Half of the workers crash at once.
  ShrinkWorker, ///< The capacity of a worker shrinks and grows again.
  ChangeCap,    ///< Jobs belong to organisations, whose caps change.
  ChangeKeys,   ///< Configurations remove, move and add keys of organisations.
  DrainWorker,  ///< A worker drains and leaves, some right after a restart.
  HandOver,     ///< A voter hands over its leadership and stops later.
  LeaderSeries, ///< The leader is killed, frozen, partitioned or hands over
                ///< every 5 to 10 s.
  LoseWorker,   ///< Workers die for good, or for 60 s, shortly after they have
                ///< started a long-running task; new workers join.
  SteadyStarts  ///< Callers submit short jobs of a task for each worker every
                ///< 100 to 500 ms.
};

/// @brief Returns the names of the faults, as the --faults flag takes them.
constexpr std::array<std::string_view, 25>
nameTable(CellFault /*Kind*/) noexcept {
  return {
      "kill-node",         "wipe-node",     "replace-node",  "pause-node",
      "cut-node",          "stall-disk",    "cut-worker",    "restart-worker",
      "late-orders",       "lose-messages", "power-off",     "cancel",
      "reset-connections", "cut-path",      "freeze-node",   "crashing-task",
      "crash-rack",        "shrink-worker", "change-cap",    "change-keys",
      "drain-worker",      "hand-over",     "leader-series", "lose-worker",
      "steady-starts"};
}

/// @brief Seed and faults of a schedule.
struct CellScheduleOptions {
  std::uint64_t Seed = 1;
  std::set<CellFault> Faults; ///< Kinds of faults to inject.
  bool IsTraced =
      false; ///< Prints the log lines of the nodes and the worker events.
  /// The cell gets higher caps than the invariant assumes, which has to fail.
  bool IsCapTrap = false;
  KeyTrap Trap = KeyTrap::None; ///< Only for tests of the invariants.
};

/// @brief Violated invariants and counts of a schedule.
struct CellScheduleResult {
  std::vector<std::string> Violations; ///< Virtual time in ms and invariant.
  std::uint64_t Submitted = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Starts = 0;
  std::uint64_t LeaderChanges = 0;
  std::uint64_t TaskCrashes = 0; ///< Crashes of workers by tasks.
  /// Highest number of worker crashes by tasks of one job.
  std::uint64_t MaxTaskCrashesOfJob = 0;
  /// Jobs without a crashing task that ended as failed.
  std::uint64_t FailedBystanders = 0;
  /// Those of them of which no task ended as failed as often as it may.
  std::uint64_t BystandersFailedByCrashes = 0;
  std::uint64_t KeyChecks = 0; ///< Answers whose key was checked.
  /// Longest time for which a long-running task had no run although there was
  /// room and the cell could serve.
  Millis LongestRunGap{0};
};

/// @brief Lists the faults of a default schedule: all except `CrashingTask`,
/// `CrashRack`, `ChangeCap`, `DrainWorker`, `HandOver`, `LeaderSeries`,
/// `LoseWorker` and `SteadyStarts`.
[[nodiscard]] std::set<CellFault> allCellFaults();

/// @brief Runs a schedule. The same options give the same result.
[[nodiscard]] CellScheduleResult
runCellSchedule(const CellScheduleOptions &Options);

} // namespace mulberryramp::test
