#pragma once

#include "mulberryramp/system/view.hpp"

namespace mulberryramp {

/// @brief Decides whether a worker may be given new work.
/// @param Input Ledger, rules and time.
/// @param View The data centre.
/// @param Id The worker.
/// @return False if its lease, its reports, a drain, its leaving or its
/// failures speak against it.
[[nodiscard]] bool isEligible(const DecisionInput &Input,
                              const CentreRuntime &Runtime, WorkerId Id);

/// @brief Computes what a team may hold in a data centre.
/// @param InForce The rules.
/// @param View The data centre.
/// @param Team The team.
/// @return Its part of the quota; everything if there are no quotas.
[[nodiscard]] Resources quotaOf(const Rules &ActiveRules,
                                const CentreRuntime &Runtime,
                                const std::string &Team);

/// @brief Tells whether a team may be granted more.
/// @param Input Ledger, rules and time.
/// @param View The data centre.
/// @param Spec Request of the team.
/// @param More What would be granted.
/// @return True if its quota allows it.
[[nodiscard]] bool hasQuotaFor(const DecisionInput &Input,
                               const CentreRuntime &Runtime,
                               const RequestSpec &Spec, const Resources &More);

} // namespace mulberryramp
