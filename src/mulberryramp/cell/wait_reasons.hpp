#pragma once

#include "mulberryramp/cell/dispatcher.hpp"
#include "mulberryramp/cell/organisation_shares.hpp"
#include "mulberryramp/cell/schedulable_workers.hpp"
#include "mulberryramp/cell/trials.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// @file
/// @brief Explains why tasks of ready steps have nothing running. Nothing here
/// changes any state.

namespace mulberryramp {

/// @brief Why a task has nothing running.
struct WaitExplanation {
  WaitReason Reason = WaitReason::NotPlanned;
  /// Worker that holds the task, or is held for it; null if there is none.
  WorkerInstanceId Worker;
  std::optional<Instant> Since;  ///< When the reason began, if recorded.
  std::optional<Instant> EndsAt; ///< When it ends at the latest, if known.
  std::string Detail; ///< Further log keys with a leading space, or empty.
};

/// @brief An unassigned task with its explanation.
struct TaskWait {
  std::uint32_t Task = 0; ///< Index in its step.
  WaitExplanation Why;
};

/// @brief What the explanations of all unassigned tasks share. It holds
/// references to both states.
struct WaitContext {
  const DispatchState &Dispatch;
  const CellState &State;
  Instant Now;
  SchedulableWorkers Schedulable;
  std::set<TaskKey> Unresolved; ///< See `collectUnresolvedTasks`.
  std::map<std::string, RackTrials> Racks;
  OrganisationShares Shares; ///< Empty without organisations.
};

/// @brief Collects what explanations share, at about the cost of the begin of
/// a planning pass.
[[nodiscard]] WaitContext makeWaitContext(const DispatchState &Dispatch,
                                          const CellState &State, Instant Now);

/// @brief Explains why an assigned task has nothing running.
/// @return The explanation, or nothing if the task runs as far as is known.
[[nodiscard]] std::optional<WaitExplanation>
explainAssigned(const DispatchState &Dispatch, const TaskLaunch &Launch);

/// @brief Explains why the unassigned tasks of a ready step are not started.
///
/// Reservations count as if they were made before the step is planned, and the
/// part of a cap that is kept for waiting gangs is not known.
/// @param Key A step of an unfinished job.
/// @param MaxTasks Maximum number of explained tasks.
[[nodiscard]] std::vector<TaskWait> explainWaiting(const WaitContext &Context,
                                                   const StepKey &Key,
                                                   std::size_t MaxTasks);

} // namespace mulberryramp
