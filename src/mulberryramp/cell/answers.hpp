#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

/// @file
/// @brief What the leader learns from the answers of workers.

namespace mulberryramp {

/// @brief Takes the answer of a worker in.
void noteOrderResult(Dispatcher &Lead, const CellState &State,
                     const OrderResult &Result, Instant Now, WallTime Wall);

} // namespace mulberryramp
