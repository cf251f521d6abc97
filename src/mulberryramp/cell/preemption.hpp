#pragma once

#include "mulberryramp/cell/schedulable_workers.hpp"

#include <vector>

/// @file
/// @brief Preemption under overload: when urgent jobs wait for room that tasks
/// of queues with a lower priority take, some of those tasks are stopped.
///
/// It answers a burst of short urgent jobs on a pool that is full of long
/// tasks. The tasks that are stopped are those that lose the least work: a
/// checkpointed task continues later from where it was stopped.

namespace mulberryramp {

/// @brief An urgent step that has no room for some of its tasks.
struct BlockedStep {
  StepKey Key;
  std::size_t Unplaced = 0; ///< Tasks without a worker.
};

/// @brief Chooses the tasks to stop for blocked steps.
/// @param Workers The schedulable workers, with what the current pass has
/// assigned.
/// @param Blocked Blocked steps in planning order.
/// @return Launches to stop, each at most once. None is long-running, part of a
/// gang, or of a queue with the priority of the step that it makes room for.
[[nodiscard]] std::vector<TaskKey>
choosePreemptions(const DispatchState &Dispatch, const CellState &State,
                  const SchedulableWorkers &Workers,
                  const std::vector<BlockedStep> &Blocked, Instant Now);

} // namespace mulberryramp
