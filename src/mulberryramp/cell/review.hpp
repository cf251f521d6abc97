#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

/// @file
/// @brief Looks over all that runs: what must be stopped, what stands still,
/// and what disturbs tasks that serve.

namespace mulberryramp {

/// @brief Stops what may not go on and paces what disturbs.
void reviewLaunches(DispatchState &Dispatch, const CellState &State,
                    Instant Now);

} // namespace mulberryramp
