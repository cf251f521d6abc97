#pragma once

#include "mulberryramp/system/runtime.hpp"

namespace mulberryramp {

/// @brief Tells whether a worker may be assigned new tasks.
/// @param Input Ledger, rules and time.
/// @param Runtime State of the data centre.
/// @param Id The worker.
/// @return False if its lease is about to end, it has not reported all its
/// attempts, runs orphans, is draining or drained, or is in quarantine; on
/// probation a worker gets tasks only while it has none.
[[nodiscard]] bool isEligible(const DecisionInput &Input,
                              const CentreRuntime &Runtime, WorkerId Id);

/// @brief Computes the quota of a team in a data centre.
/// @param ActiveRules The rules.
/// @param Runtime State of the data centre.
/// @param Team The team.
/// @return This data centre's share of the quota; unlimited if the rules have
/// no quota for the team.
[[nodiscard]] Resources quotaOf(const Rules &ActiveRules,
                                const CentreRuntime &Runtime,
                                const std::string &Team);

/// @brief Tells whether a team's quota allows additional resources.
/// @param Input Ledger, rules and time.
/// @param Runtime State of the data centre.
/// @param Spec Request of the team.
/// @param Additional Resources on top of those that the team already uses.
/// @return True if the sum is within the quota.
[[nodiscard]] bool hasQuotaFor(const DecisionInput &Input,
                               const CentreRuntime &Runtime,
                               const RequestSpec &Spec,
                               const Resources &Additional);

} // namespace mulberryramp
