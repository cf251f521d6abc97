#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

#include <span>

/// @file
/// @brief Reservations for steps that need several large parts of workers at
/// once, such as a gang of tasks that each take all accelerators of a worker.
///
/// Small tasks of steps that are planned later would otherwise fill each part
/// as soon as it is free, and the step would starve (external fragmentation).
/// A reserved worker is left to the step, but tasks that end before the step
/// can start may still use it (backfilling).

namespace mulberryramp {

/// @brief Time at which a worker is expected to have room for one more task.
struct ExpectedSlot {
  Instant FreeAt;
  WorkerInstanceId Worker;

  constexpr auto operator<=>(const ExpectedSlot &) const = default;
};

/// @brief Expected end of a task, and the resources that it then frees.
struct ExpectedRelease {
  Instant At;
  Resources Freed;
};

/// @brief Computes when a worker has room for further tasks of one kind.
/// @param Worker The worker.
/// @param Available Its unused resources.
/// @param Releases Expected ends of its tasks, in the order of time.
/// @param Need Resources of one further task.
/// @param MaxTasks Maximum number of slots.
/// @param Now Current time.
/// @return One slot for each task that fits, the earliest first.
[[nodiscard]] std::vector<ExpectedSlot>
expectedSlots(WorkerInstanceId Worker, Resources Available,
              std::span<const ExpectedRelease> Releases, const Resources &Need,
              std::size_t MaxTasks, Instant Now);

/// @brief Chooses the slots that a step reserves: the earliest ones, with a
/// preference for workers that it has reserved before.
/// @param Slots All slots that the step may use; their order is lost.
/// @param Tasks Number of tasks of the step without a worker.
/// @param Former Workers that the step has reserved so far.
/// @return The reservation; it has no workers if there are too few slots.
[[nodiscard]] StepReservation
chooseReservation(std::vector<ExpectedSlot> Slots, std::size_t Tasks,
                  const std::set<WorkerInstanceId> &Former);

/// @brief Tells whether a step needs a reservation if it cannot be placed: all
/// its tasks have to start together, or one task takes more than half of a
/// worker.
/// @param Capacity Capacity of a worker of its pool.
[[nodiscard]] bool needsReservation(const StepSpec &Step,
                                    const Resources &Capacity) noexcept;

/// @brief Returns the expected ends of the tasks on a worker in the order of
/// time. Long-running tasks are left out, as their end is not known.
[[nodiscard]] std::vector<ExpectedRelease>
expectedReleases(const DispatchState &Dispatch, const CellState &State,
                 const WorkerSession &Session, Instant Now);

} // namespace mulberryramp
