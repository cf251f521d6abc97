#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief The workers that a planning pass may use, with their resources as the
/// pass reserves them, and their ranking for a step.

namespace mulberryramp {

/// @brief Whether a worker is held for suspects, see `trial_holds.hpp`.
enum class TrialHoldState : std::uint8_t {
  None,
  ForThisStep, ///< For suspects of the step that is being planned.
  ForOtherStep
};

/// @brief Resources and state of a schedulable worker during one planning pass.
struct WorkerSnapshot {
  WorkerInstanceId Worker;
  const WorkerInstance *Instance = nullptr;
  Resources Available;
  std::uint32_t LongRunningTasks = 0;
  /// Average ratio of run times to those of peer tasks.
  double RuntimeRatio = 1;
  /// A service there exceeds its tail latency limit.
  bool HasLatencyViolation = false;
  bool HadRecentMiss = false; ///< An order went unanswered recently.
  /// When `SuspectWindow` has passed since the last start.
  Instant QuietAt;
  /// A task that may crash workers was started within `SuspectWindow`.
  bool HasRecentSuspect = false;
  TrialHoldState Hold = TrialHoldState::None;
  /// A step that was planned before would use it if it were not closed for a
  /// suspect.
  bool IsAwaited = false;
  /// When a step that was planned before needs the worker, if one reserved it.
  std::optional<Instant> ReservedFrom;
};

/// @brief Summary of the schedulable workers of a pool.
struct PoolSummary {
  std::size_t Workers = 0;
  std::size_t Reserved = 0;   ///< Workers that steps have reserved.
  std::size_t Held = 0;       ///< Workers that are held for suspects.
  std::int64_t MilliCpus = 0; ///< Sum of the processors of its workers.
  Resources Largest;          ///< Largest amount of each resource of a worker.
};

/// @brief All schedulable workers.
struct SchedulableWorkers {
  std::vector<WorkerSnapshot> Rows;
  std::vector<std::size_t> IndexBySlot; ///< Index in `Rows` by worker slot.
  std::map<std::string, PoolSummary> Pools;
};

/// @brief Collects the workers to which starts may be sent now.
[[nodiscard]] SchedulableWorkers snapshotWorkers(const DispatchState &Dispatch,
                                                 const CellState &State,
                                                 Instant Now);

/// @brief Finds the snapshot of a worker instance.
/// @return The snapshot, or null if the worker is not schedulable.
[[nodiscard]] WorkerSnapshot *findSnapshot(SchedulableWorkers &Workers,
                                           WorkerInstanceId Worker);

/// @brief Why a worker may not run a step, apart from its free resources.
enum class Infeasibility : std::uint8_t {
  None,
  OtherPool,
  MissingLabel,
  Reserved,        ///< A step that was planned before needs it.
  Held,            ///< It is held for a suspect of another step.
  RecentSuspect,   ///< It just started a task that may crash it.
  LatencyViolation ///< A service there exceeds its tail latency limit.
};

/// @brief Finds the first reason for which a worker may not run a step.
[[nodiscard]] Infeasibility findInfeasibility(const WorkerSnapshot &Snapshot,
                                              const Job &Owner,
                                              const StepSpec &Step,
                                              Instant Now);

/// @brief Tells whether a worker may run a step, apart from its free resources.
/// A worker that a step planned before has reserved may only run tasks that end
/// before that step needs it, and one that is held for a suspect of another
/// step, or just started a task that may crash it, may run none.
[[nodiscard]] bool isFeasible(const WorkerSnapshot &Snapshot, const Job &Owner,
                              const StepSpec &Step, Instant Now);

/// @brief Tells whether a worker may run a step, apart from its free resources,
/// once no suspect keeps it closed.
[[nodiscard]] bool isFeasibleWhenOpen(WorkerSnapshot Snapshot, const Job &Owner,
                                      const StepSpec &Step, Instant Now);

/// @brief Tells whether a worker may run a step, as far as the advisor has
/// decided.
/// @param Advice Advice on the step, or null if it needs none.
[[nodiscard]] bool isCandidate(const WorkerSnapshot &Snapshot, const Job &Owner,
                               const StepSpec &Step, const StepAdvice *Advice,
                               Instant Now);

/// @brief Tasks of a step on each worker.
using TaskCounts = std::map<WorkerInstanceId, std::uint32_t>;

/// @brief Counts the assigned tasks of a step by worker.
[[nodiscard]] TaskCounts countTasks(const JobStep &Step);

/// @brief Tells whether a worker has as many tasks of a step as it may have.
[[nodiscard]] bool isAtMaxPerWorker(const StepSpec &Step,
                                    const WorkerSnapshot &Snapshot,
                                    const TaskCounts &Counts);

/// @brief Computes the score of a worker for a step; lower is better.
/// @param Need Resources of a task of the step.
/// @param Task The task, or null if it is not yet chosen.
[[nodiscard]] double scoreWorker(const WorkerSnapshot &Snapshot,
                                 const StepSpec &Step, const Resources &Need,
                                 const JobTask *Task);

/// @brief Computes how many tasks of a step fit on a worker.
[[nodiscard]] double taskCapacity(const WorkerSnapshot &Snapshot,
                                  const StepSpec &Spec);

} // namespace mulberryramp
