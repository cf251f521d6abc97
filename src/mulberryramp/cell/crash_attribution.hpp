#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

/// @file
/// @brief Attributes the crash of a worker to the tasks that may have caused
/// it. A task can crash each worker that starts it, while the others that ran
/// there are victims, and workers also crash for reasons of their own.

namespace mulberryramp {

/// @brief A worker that crashes this soon after a start was probably crashed by
/// the started task.
inline constexpr Millis CrashWindow{500};

/// @brief A start this soon before a crash keeps another task from being blamed
/// alone. A crash is dated to the first order that fails, which is later than
/// the crash if no order was open, as between two renewals. A task that may
/// crash workers shares no worker with tasks that were started within this
/// time, so that a crash shows its cause.
inline constexpr Millis SuspectWindow = CrashWindow + Millis{100};

/// @brief Workers of a rack that stop to answer within this time may have
/// crashed for the same reason.
inline constexpr Millis CommonCauseWindow{1000};

/// @brief Tells whether the workers of a rack that crashed at about the same
/// time are so many that no single task is blamed.
[[nodiscard]] constexpr bool isCommonCause(std::size_t Crashed,
                                           std::size_t Workers) noexcept {
  return Crashed > 1 && Crashed * 2 >= Workers;
}

/// @brief Builds the command that registers a worker instance, with the crashes
/// of the instances that it replaces, attributed to their launches and orphans.
/// @param Report Report of the next worker at the address.
[[nodiscard]] RegisterWorkerCommand
makeRegistration(DispatchState &Dispatch, const CellState &State,
                 const WorkerReport &Report, Instant Now, WallTime WallNow);

/// @brief Notes crashes that took effect, before the sessions of their
/// instances are removed.
void onWorkersCrashed(DispatchState &Dispatch, const CellState &State,
                      const std::vector<InstanceCrash> &Crashes, Instant Now);

} // namespace mulberryramp
