#pragma once

#include "mulberryramp/system/runtime.hpp"

#include <vector>

namespace mulberryramp {

/// @brief Chooses running tasks to preempt for blocked requests of higher
/// priority.
///
/// Only tasks of idempotent requests of lower priority that are no gangs are
/// preempted, on the worker where the least processor time is lost.
/// @param Input Ledger, rules and time.
/// @param Runtime State of the data centre; receives the preempted attempts
/// and reserves their workers.
/// @param Blocked Requests that could not be placed, in queue order.
void preempt(const DecisionInput &Input, CentreRuntime &Runtime,
             const std::vector<RequestId> &Blocked);

} // namespace mulberryramp
