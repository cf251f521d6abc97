#pragma once

#include "mulberryramp/system/runtime.hpp"

#include <optional>
#include <string>

namespace mulberryramp {

/// @brief Decides whether a new request may be accepted.
/// @param Input Ledger, rules and time.
/// @param Runtime State of the data centre.
/// @param Spec The request.
/// @return Reason of the refusal, or nothing if the request is admitted.
[[nodiscard]] std::optional<std::string>
admissionError(const DecisionInput &Input, const CentreRuntime &Runtime,
               const RequestSpec &Spec);

/// @brief Fills in the fields of a request that its class and the rules set.
/// @param ActiveRules The rules; an unknown class gets the default class rule.
/// @param Spec The request.
/// @param WallNow Current wall clock time.
void applyRules(const Rules &ActiveRules, RequestSpec &Spec, WallTime WallNow);

/// @brief Explains why a queued request is not placed yet.
/// @param Input Ledger, rules and time.
/// @param Runtime State of the data centre.
/// @param Owner The request.
/// @return A sentence for the caller.
[[nodiscard]] std::string waitReason(const DecisionInput &Input,
                                     const CentreRuntime &Runtime,
                                     const Request &Owner);

} // namespace mulberryramp
