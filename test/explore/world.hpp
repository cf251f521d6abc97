#pragma once

#include "mulberryramp/core/random.hpp"
#include "mulberryramp/node/node.hpp"
#include "standin/worker_core.hpp"
#include "support/memory_files.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace mulberryramp::test {

/// @brief Kinds of faults that a schedule may hold.
enum class Fault : std::uint8_t {
  KillDaemon,
  LoseDisk,
  PauseDaemon,
  Partition,
  MessageLoss,
  ClockDrift,
  DiskError,
  KillWorker,
  PauseWorker,
  CancelWave,
  KillAfterRepair,
  RestartCentre
};

constexpr std::array<std::string_view, 12> nameTable(Fault /*Kind*/) noexcept {
  return {"kill",
          "lose-disk",
          "pause",
          "cut",
          "loss",
          "drift",
          "disk-error",
          "worker-kill",
          "worker-pause",
          "cancel-wave",
          "kill-after-repair",
          "restart-centre"};
}

/// @brief What a schedule checks.
enum class Invariant : std::uint8_t {
  Capacity,   ///< No worker runs more than it has.
  OnePlace,   ///< No task runs in two places at once.
  AtMostOnce, ///< A non-idempotent task runs at most once.
  NotRun,     ///< What was told to be not run never ran.
  Answer,     ///< Answers are whole and their own.
  Stable,     ///< A told outcome stays, but for unknown.
  OneLeader,  ///< One daemon decides for a data centre.
  Agreement,  ///< Members agree on committed entries.
  Rules,      ///< One winner a revision, no revert, same answer to resends.
  Ledger,     ///< The ledger adds up.
  Progress    ///< After healing all goes on and nothing accepted is lost.
};

constexpr std::array<std::string_view, 11>
nameTable(Invariant /*Kind*/) noexcept {
  return {"capacity", "one-place", "at-most-once", "not-run",
          "answer",   "stable",    "one-leader",   "agreement",
          "rules",    "ledger",    "progress"};
}

/// @brief What a schedule is made of.
struct ScheduleOptions {
  std::uint64_t Seed = 1;
  std::set<Fault> Faults;
  std::set<Invariant> Checked;
  bool IsTraced = false; ///< Keep a line for each fault and event.
};

/// @brief A broken invariant.
struct Violation {
  Invariant Violated = Invariant::Capacity;
  std::int64_t AtMs = 0;
  std::string Text;
};

/// @brief Outcome of one schedule.
struct ScheduleResult {
  std::vector<Violation> Violations;
  std::vector<std::string> Trace;
  std::uint64_t Steps = 0;
  std::uint64_t Accepted = 0;
  std::uint64_t Settled = 0;
  std::uint64_t RulesAccepted = 0;
  std::uint64_t Recoveries = 0;
  std::uint64_t LostGroups = 0; ///< Groups whose memory was lost on purpose.
};

/// @brief Runs one seeded schedule over the pure cores of daemons and workers.
/// @param Options Seed, faults and invariants.
/// @return What happened.
[[nodiscard]] ScheduleResult runSchedule(const ScheduleOptions &Options);

/// @brief Lists all faults.
[[nodiscard]] std::set<Fault> allFaults();
/// @brief Lists all invariants.
[[nodiscard]] std::set<Invariant> allInvariants();

} // namespace mulberryramp::test
