#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

/// @file
/// @brief Builds the orders of the leader to workers, and ends the launches of
/// workers whose lease expired. It changes only the dispatch state: an order is
/// queued there, and the owner of the node sends it.

namespace mulberryramp {

/// @brief Timeout of an order other than a renewal; a healthy worker answers
/// within it, over links with a delay of 20 ms.
inline constexpr Millis OrderAnswerTimeout{500};
/// @brief After an unanswered order, its path is treated as lossy for this
/// long: paths that lose orders do so for seconds.
inline constexpr Millis OrderLossWindow{3000};

/// @brief A start without an answer for this long is overdue: the order or its
/// answer was probably lost.
inline constexpr Millis StartAnswerTimeout{150};

/// @brief Interval of renewals to a worker that does not answer.
inline constexpr Millis RenewalRetryInterval{300};

/// @brief Returns the name of a worker for the log, or "-" if it is no longer
/// registered.
[[nodiscard]] const std::string &workerName(const CellState &State,
                                            WorkerInstanceId Worker);

/// @brief Returns the name under which workers know a task. The job name is "-"
/// if the job no longer exists.
[[nodiscard]] TaskName nameTask(const CellState &State, const TaskKey &Key);

/// @brief Formats a task and its attempt as log keys.
[[nodiscard]] std::string describeStart(const TaskName &Task,
                                        std::uint32_t Attempt);

/// @brief Records the launches of committed assignments and sends their start
/// orders. Without a worker, its clock or the leader lease the order is not
/// sent and the launch counts as recovered.
void sendStarts(DispatchState &Dispatch, const CellState &State,
                const std::vector<TaskAssignment> &Assignments, Instant Now);

/// @brief Sends a stop order for a launch, unless one is open or was sent
/// recently, or the end of the launch is already proposed.
/// @param Reason Reason for the log.
void sendStop(DispatchState &Dispatch, const CellState &State,
              TaskLaunch &Launch, std::string_view Reason, Instant Now);

/// @brief Sends a stop order for a task that a worker lists but that is not
/// assigned to it.
void sendStopOfUnknownTask(DispatchState &Dispatch,
                           const WorkerInstance &Worker, WorkerInstanceId Id,
                           const RunningTask &Listed, Instant Now);

/// @brief Sends an order that limits a task to a CPU share, unless it already
/// has this share.
/// @param Percent CPU share in percent; 100 lifts the limit.
void sendPace(DispatchState &Dispatch, const CellState &State,
              TaskLaunch &Launch, std::uint32_t Percent, Instant Now);

/// @brief Sends the due renewals. A renewal extends the lease, acknowledges
/// ends and waits for the next end.
void sendDueRenewals(DispatchState &Dispatch, const CellState &State,
                     Instant Now);

/// @brief Sends the due renewals of the workers in `TouchedWorkers`, and clears
/// that set.
void renewTouched(DispatchState &Dispatch, const CellState &State, Instant Now);

/// @brief Requests probes of workers whose answer to a start is overdue. If the
/// list of the probe lacks the task, the start becomes unacknowledged.
void probeOverdueStarts(DispatchState &Dispatch, Instant Now);

/// @brief Sends stop orders for orphaned starts until the workers confirm them.
void stopOrphans(DispatchState &Dispatch, const CellState &State, Instant Now);

/// @brief Proposes an end of a launch that no worker reported, unless an end is
/// already proposed.
void proposeEnd(DispatchState &Dispatch, TaskLaunch &Launch, EndKind Kind,
                WallTime WallNow);

} // namespace mulberryramp
