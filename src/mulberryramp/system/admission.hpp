#pragma once

#include "mulberryramp/system/view.hpp"

#include <optional>
#include <string>

namespace mulberryramp {

/// @brief Decides whether a new request may be taken in.
/// @param Input Ledger, rules and time.
/// @param View The data centre.
/// @param Spec The request.
/// @return Why it is refused, so that it is not run; or nothing.
[[nodiscard]] std::optional<std::string>
admissionError(const DecisionInput &Input, const CentreRuntime &Runtime,
               const RequestSpec &Spec);

/// @brief Fills in what the rules say of a request.
/// @param InForce The rules; the class of the request has to be there.
/// @param Spec The request.
/// @param Wall Present time.
void applyRules(const Rules &ActiveRules, RequestSpec &Spec, WallTime WallNow);

/// @brief Says why a queued request has no place yet.
/// @param Input Ledger, rules and time.
/// @param View The data centre.
/// @param Owner The request.
/// @return A sentence for the caller.
[[nodiscard]] std::string waitReason(const DecisionInput &Input,
                                     const CentreRuntime &Runtime,
                                     const Request &Owner);

} // namespace mulberryramp
