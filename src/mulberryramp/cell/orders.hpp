#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

/// @file
/// @brief Orders of the leader to workers.

namespace mulberryramp {

/// @brief Answers of a worker that is well come within this time; links take
/// 20 ms.
inline constexpr Millis OrderAnswerTimeout{500};
/// An order without an answer tells so long that orders get lost: paths that
/// lose some do so for seconds.
inline constexpr Millis OrderLossWindow{3000};

/// @brief Answers to starts take less, unless they or the orders got lost.
inline constexpr Millis StartAnswerTimeout{150};

/// @brief Between holds of a worker that does not answer.
inline constexpr Millis RenewalRetryInterval{300};

/// @brief Names a worker for the log; "-" if it is not known any more.
[[nodiscard]] const std::string &workerName(const CellState &State,
                                            WorkerInstanceId Worker);

/// @brief Names a task as workers know it.
[[nodiscard]] TaskName nameTask(const CellState &State, const TaskKey &Key);

/// @brief Renders a start for the log.
[[nodiscard]] std::string describeStart(const TaskName &Task,
                                        std::uint32_t Attempt);

/// @brief Sends the order to begin a start that was agreed on.
void sendStart(DispatchState &Dispatch, const CellState &State,
               const TaskAssignment &Assigned, Instant Now);

/// @brief Sends the order to stop a start, unless one is on its way.
/// @param Why Reason for the log.
void sendStop(DispatchState &Dispatch, const CellState &State,
              TaskLaunch &Launch, std::string_view Why, Instant Now);

/// @brief Sends the order to stop a run that a worker lists and that is none of
/// the leader's.
void sendStopOfUnknownTask(DispatchState &Dispatch,
                           const WorkerInstance &Worker, WorkerInstanceId Id,
                           const RunningTask &Listed, Instant Now);

/// @brief Sends the order to let a task work at a share.
void sendPace(DispatchState &Dispatch, const CellState &State,
              TaskLaunch &Launch, std::uint32_t Percent, Instant Now);

/// @brief Sends the holds that are due: they renew leases, acknowledge ends
/// and wait for the next one.
void sendDueRenewals(DispatchState &Dispatch, const CellState &State,
                     Instant Now);

/// @brief Sends the holds of the workers that something happened to.
void renewTouched(DispatchState &Dispatch, const CellState &State, Instant Now);

/// @brief Asks for looks at workers whose answer to a start is overdue; a list
/// without the start makes it doubtful.
void probeOverdueStarts(DispatchState &Dispatch, Instant Now);

/// @brief Stops what was given up, until workers confirm it.
void stopOrphans(DispatchState &Dispatch, const CellState &State, Instant Now);

/// @brief Gives up what ran on workers whose lease has run out.
void expireLeases(DispatchState &Dispatch, const CellState &State, Instant Now,
                  WallTime WallNow);

/// @brief Proposes the end of a start that a worker has not listed.
void proposeEnd(DispatchState &Dispatch, TaskLaunch &Launch, EndKind Kind,
                WallTime WallNow);

} // namespace mulberryramp
