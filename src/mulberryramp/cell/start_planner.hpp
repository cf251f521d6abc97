#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

/// @file
/// @brief Chooses workers for the tasks of ready steps. A plan is computed from
/// the replicated state and the dispatch state; of both it changes only the
/// advice and its queries.

namespace mulberryramp {

/// @brief Plans starts of pending tasks by priority and soft deadline, and
/// queries the advisor where advice is missing.
/// @param Dispatch The dispatch state; receives the queries.
/// @param State The replicated state.
/// @param Now Current monotonic time.
/// @param WallNow Current wall clock time.
/// @return Assignments that fit the available resources together.
[[nodiscard]] std::vector<TaskAssignment> planStarts(DispatchState &Dispatch,
                                                     const CellState &State,
                                                     Instant Now,
                                                     WallTime WallNow);

} // namespace mulberryramp
