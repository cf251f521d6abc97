#pragma once

#include "mulberryramp/system/runtime.hpp"

namespace mulberryramp {

/// @brief Attributes the failure of an attempt to its worker or its request,
/// and puts a suspect worker into quarantine.
///
/// It must be called before the result is applied to the ledger.
/// @param Input Ledger, rules and time.
/// @param Runtime State of the data centre.
/// @param Result Result of the attempt.
void recordAttemptEnd(const DecisionInput &Input, CentreRuntime &Runtime,
                      const AttemptResult &Result);

/// @brief Tells whether the retry budget is used up.
/// @param ActiveRules The rules, with the budget in percent of all attempts.
/// @param Runtime State of the data centre.
/// @return True if no task may be retried for now.
[[nodiscard]] bool isRetryBudgetSpent(const Rules &ActiveRules,
                                      const CentreRuntime &Runtime) noexcept;

} // namespace mulberryramp
