#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

/// @file
/// @brief When and where tasks that may crash their worker are started again.

namespace mulberryramp {

/// @brief Longest backoff of a suspect.
inline constexpr Millis MaxTrialBackoff{30000};

/// @brief Collects the tasks with an attempt that was presumed lost while its
/// lease still runs and its worker does not answer. The worker may have crashed
/// under it.
[[nodiscard]] std::set<TaskKey>
collectUnresolvedTasks(const DispatchState &Dispatch, Instant Now);

/// @brief Tells whether a task may crash the worker that starts it.
/// @param Unresolved Result of `collectUnresolvedTasks`.
[[nodiscard]] bool maySuspectCrash(const std::set<TaskKey> &Unresolved,
                                   const TaskKey &Key, const JobTask &Task);

/// @brief Risk that a task crashes the worker that starts it; each value
/// restricts the workers further.
enum class CrashRisk : std::uint8_t {
  None,
  Suspect, ///< It needs a worker without a recent start.
  Trial    ///< A worker has crashed under it; it needs a rack for its trial.
};

/// @brief Returns the risk of a task.
/// @param Unresolved Result of `collectUnresolvedTasks`.
[[nodiscard]] CrashRisk crashRiskOf(const std::set<TaskKey> &Unresolved,
                                    const TaskKey &Key, const JobTask &Task);

/// @brief Returns the risk of a gang. Members crash several workers at the same
/// time anyway, so that a gang needs no rack without other trials.
/// @param Unresolved Result of `collectUnresolvedTasks`.
[[nodiscard]] CrashRisk gangCrashRiskOf(const std::set<TaskKey> &Unresolved,
                                        const StepKey &Key,
                                        const JobStep &Step);

/// @brief Computes how long after a crash a suspect is started again: 1 s after
/// the second crash, twice as long after each further one, at most 30 s; at
/// most 4 s for a long-running task.
[[nodiscard]] Millis trialBackoff(const JobTask &Task,
                                  const StepSpec &Spec) noexcept;

/// @brief Returns when the last worker crashed under a task. A crash counts
/// from there under any leader; on a node that restarted, from its start. One
/// that a former build recorded counts from the begin of this term.
[[nodiscard]] Instant lastCrashAt(const DispatchState &Dispatch,
                                  const TaskKey &Key);

/// @brief Computes when the backoff of a task after its last crash is over,
/// with up to half of it added, which differs from task to task.
/// @return The time, which may be past, or nothing if the task has no backoff.
[[nodiscard]] std::optional<Instant> trialDueAt(const DispatchState &Dispatch,
                                                const TaskKey &Key,
                                                const JobTask &Task,
                                                const StepSpec &Spec);

/// @brief Tells whether the backoff of a task is over, see `trialDueAt`.
[[nodiscard]] bool isTrialDue(const DispatchState &Dispatch, const TaskKey &Key,
                              const JobTask &Task, const StepSpec &Spec,
                              Instant Now);

/// @brief Tells whether `isTrialDue` holds for all members of a gang.
[[nodiscard]] bool isGangTrialDue(const DispatchState &Dispatch,
                                  const StepKey &Key, const JobStep &Step,
                                  const StepSpec &Spec, Instant Now);

/// @brief Computes how many suspects of a step may be started now. They are
/// tried a few at a time, and none while one of them may have crashed its
/// worker, unless the step is long-running.
[[nodiscard]] std::size_t countTrials(const DispatchState &Dispatch,
                                      const StepKey &Key, const JobStep &Step,
                                      const StepSpec &Spec, Instant Now);

/// @brief Workers of a rack, and those among them that may crash, or crashed,
/// at about the same time as one that begins a trial now: they began a trial
/// within `SuspectWindow`, or stopped to answer within `CommonCauseWindow`.
struct RackTrials {
  std::size_t Workers = 0;
  std::size_t Affected = 0;
};

/// @brief Collects the trials of suspects and the recent crashes by rack.
[[nodiscard]] std::map<std::string, RackTrials>
collectRackTrials(const DispatchState &Dispatch, const CellState &State,
                  Instant Now);

/// @brief Tells whether one more trial may begin in a rack: the crashes that it
/// and the others may cause still show a single task as the cause of each.
[[nodiscard]] bool canBeginTrial(const RackTrials &Rack) noexcept;

} // namespace mulberryramp
