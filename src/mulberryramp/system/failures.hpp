#pragma once

#include "mulberryramp/system/view.hpp"

namespace mulberryramp {

/// @brief Learns from the end of an attempt whether the worker or the job is
/// bad; to be called before the end is applied to the ledger.
/// @param Input Ledger, rules and time.
/// @param View The data centre.
/// @param Item The end of the attempt.
void recordAttemptEnd(const DecisionInput &Input, CentreRuntime &Runtime,
                      const AttemptResult &Result);

/// @brief Tells whether the retry budget is used up.
/// @param InForce The rules.
/// @param View The data centre.
/// @return True if no more retries are due for now.
[[nodiscard]] bool isRetryBudgetSpent(const Rules &ActiveRules,
                                      const CentreRuntime &Runtime) noexcept;

} // namespace mulberryramp
