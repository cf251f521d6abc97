#pragma once

#include "mulberryramp/system/view.hpp"

#include <vector>

namespace mulberryramp {

/// @brief Chooses tasks that give way to blocked work of higher priority.
/// @param Input Ledger, rules and time.
/// @param View The data centre; receives the attempts and the held workers.
/// @param Blocked Requests without a place, in order of the queue.
///
/// Only idempotent work of lower priority gives way; the worker is chosen
/// where the least work is lost.
void preempt(const DecisionInput &Input, CentreRuntime &Runtime,
             const std::vector<RequestId> &Blocked);

} // namespace mulberryramp
