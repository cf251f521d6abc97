#pragma once

// Deterministic simulation of a whole deployment. It runs the state machines of
// daemons and workers on virtual time, injects faults from a seed and checks
// invariants. It may not use real clocks, sockets or files.

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

/// @brief Kinds of faults that a schedule may inject.
enum class Fault : std::uint8_t {
  KillDaemon,      ///< A daemon crashes and restarts.
  LoseDisk,        ///< A daemon crashes and restarts with an empty disk.
  PauseDaemon,     ///< A daemon stops executing and resumes later.
  Partition,       ///< Links of a daemon or a data centre fail, maybe one way.
  MessageLoss,     ///< A share of the messages is lost.
  ClockDrift,      ///< Clocks of daemons and workers drift throughout.
  DiskError,       ///< Writes to the disk of a daemon fail.
  KillWorker,      ///< A worker crashes and restarts.
  PauseWorker,     ///< A worker stops executing and resumes later.
  CancelWave,      ///< Clients cancel many requests at once.
  KillAfterRepair, ///< A daemon crashes, and one more after it restarted.
  RestartCentre    ///< All daemons of a data centre crash and restart.
};

/// @brief Returns the names of the faults, as the --faults flag takes them.
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

/// @brief Invariants that a schedule checks.
enum class Invariant : std::uint8_t {
  Capacity,   ///< The tasks of a worker fit its capacity.
  OnePlace,   ///< No task runs on two workers at once.
  AtMostOnce, ///< A non-idempotent task runs at most once.
  NotRun,     ///< A request reported as not run never ran.
  Answer,     ///< Answers are complete and of the right task.
  Stable,     ///< A reported outcome stays, except unknown.
  OneLeader,  ///< A data centre has at most one leader.
  Agreement,  ///< Replicas agree on committed entries.
  Rules,      ///< One accepted change per revision, no
              ///< revert, the same answer to a resend.
  Ledger,     ///< The ledger passes its consistency check.
  Progress    ///< After healing every group has a leader, every
              ///< accepted request gets an outcome and none is lost.
};

constexpr std::array<std::string_view, 11>
nameTable(Invariant /*Kind*/) noexcept {
  return {"capacity", "one-place", "at-most-once", "not-run",
          "answer",   "stable",    "one-leader",   "agreement",
          "rules",    "ledger",    "progress"};
}

/// @brief Parameters of one schedule.
struct ScheduleOptions {
  std::uint64_t Seed = 1;
  std::set<Fault> Faults;
  std::set<Invariant> Checked;
  bool IsTraced = false; ///< Records a line for each fault and event.
};

/// @brief A violation of an invariant.
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
  std::uint64_t Finished = 0;
  std::uint64_t RulesAccepted = 0;
  std::uint64_t Recoveries = 0;
  std::uint64_t LostGroups = 0; ///< Groups that lost their quorum to injected
                                ///< faults.
};

/// @brief Simulates one seeded schedule of faults; the same options give the
/// same result.
/// @param Options Seed, faults and invariants.
/// @return Violations, counts and, if requested, the trace.
[[nodiscard]] ScheduleResult runSchedule(const ScheduleOptions &Options);

/// @brief Returns the set of all kinds of faults.
[[nodiscard]] std::set<Fault> allFaults();
/// @brief Returns the set of all invariants.
[[nodiscard]] std::set<Invariant> allInvariants();

} // namespace mulberryramp::test
