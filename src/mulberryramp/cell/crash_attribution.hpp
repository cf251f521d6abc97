#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

#include <set>

/// @file
/// @brief Attributes the crash of a worker to the tasks that may have caused
/// it. A task can crash each worker that starts it, while the others that ran
/// there are victims, and workers also crash for reasons of their own.

namespace mulberryramp {

/// @brief A worker that crashes this soon after a start was probably crashed by
/// the started task. A task that may crash workers shares no worker with tasks
/// that were started within this time, so that a crash shows its cause.
inline constexpr Millis CrashWindow{500};

/// @brief Attributes the crash of a worker instance to its launches and
/// orphans.
///
/// The ends of orphans and of deregistered launches are queued. A launch that
/// moves to the next instance of the worker may have reached that one; it gets
/// the end to record if that instance does not list it.
/// @param Session Session of the crashed instance.
/// @param Next Report of the next worker at its address.
/// @param IsSameWorker The next instance has the name of the crashed one and
/// takes over its launches.
void attributeCrash(DispatchState &Dispatch, const CellState &State,
                    const WorkerSession &Session, const WorkerReport &Next,
                    bool IsSameWorker, Instant Now);

/// @brief Collects the tasks with an attempt that was presumed lost while its
/// lease still runs and its worker does not answer. The worker may have crashed
/// under it.
[[nodiscard]] std::set<TaskKey>
collectUnresolvedTasks(const DispatchState &Dispatch, Instant Now);

/// @brief Tells whether a task may crash the worker that starts it.
/// @param Unresolved Result of `collectUnresolvedTasks`.
[[nodiscard]] bool maySuspectCrash(const std::set<TaskKey> &Unresolved,
                                   const TaskKey &Key, const JobTask &Task);

/// @brief Computes how long after a crash a suspect is started again: 1 s after
/// the second crash, twice as long after each further one, at most 30 s.
[[nodiscard]] Millis trialBackoff(const JobTask &Task) noexcept;

/// @brief Tells whether the backoff of a task after its last crash is over,
/// with up to half of it added, which differs from task to task. For a crash
/// that an earlier leader saw it begins with the term of this leader.
[[nodiscard]] bool isTrialDue(const DispatchState &Dispatch, const TaskKey &Key,
                              const JobTask &Task, Instant Now);

/// @brief Tells whether `isTrialDue` holds for all members of a gang.
[[nodiscard]] bool isGangTrialDue(const DispatchState &Dispatch,
                                  const StepKey &Key, const JobStep &Step,
                                  Instant Now);

/// @brief Proposes the queued ends of attempts whose worker crashed.
void proposeCrashEnds(DispatchState &Dispatch, WallTime WallNow);

} // namespace mulberryramp
