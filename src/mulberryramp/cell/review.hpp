#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

/// @file
/// @brief Reviews all launches: it stops tasks that must end, stall or run too
/// slowly, and limits the CPU share of batch tasks on workers where a service
/// exceeds its tail latency limit. The replicated state is only read.

namespace mulberryramp {

/// @brief Reviews all launches and sends the resulting stop and pace orders.
void reviewLaunches(DispatchState &Dispatch, const CellState &State,
                    Instant Now);

} // namespace mulberryramp
