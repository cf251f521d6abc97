#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

/// @file
/// @brief Handles the answers of workers to orders: it updates sessions and
/// launches and proposes the ends of tasks. The replicated state is only read.

namespace mulberryramp {

/// @brief Handles the answer to an order, or its failure. Answers to unknown
/// orders, for instance of an earlier term, are ignored.
/// @param Result The answer, or the verdict if none arrived.
void onOrderResult(DispatchState &Dispatch, const CellState &State,
                   const OrderResult &Result, Instant Now, WallTime WallNow);

} // namespace mulberryramp
