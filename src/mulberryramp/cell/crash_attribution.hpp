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

/// @brief Proposes the queued ends of attempts whose worker crashed.
void proposeCrashEnds(DispatchState &Dispatch, WallTime WallNow);

} // namespace mulberryramp
