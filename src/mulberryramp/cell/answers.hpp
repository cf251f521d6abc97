#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

/// @file
/// @brief What the leader learns from the answers of workers.

namespace mulberryramp {

/// @brief Takes the answer of a worker in.
void onOrderResult(DispatchState &Dispatch, const CellState &State,
                   const OrderResult &Result, Instant Now, WallTime WallNow);

} // namespace mulberryramp
