#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

/// @file
/// @brief Chooses workers for tasks whose turn has come.

namespace mulberryramp {

/// @brief Plans starts in order of priority and of the time that is left, and
/// asks for advice where it is missing.
/// @param Lead The dispatcher; receives the questions.
/// @param State The state.
/// @param Now The present moment.
/// @param Wall Civil time.
/// @return Grants that fit together.
[[nodiscard]] std::vector<TaskAssignment> planStarts(DispatchState &Dispatch,
                                                     const CellState &State,
                                                     Instant Now,
                                                     WallTime WallNow);

/// @brief Computes when a run of a job loses worth.
[[nodiscard]] WallTime softDeadlineOf(const Job &JobRow, std::uint32_t Run);

} // namespace mulberryramp
