#include "mulberryramp/system/eligibility.hpp"

#include <limits>

namespace mulberryramp {

namespace internal {

/// A worker whose lease is nearly over gets no new work.
constexpr Millis LeastLeaseLeft{1000};

} // namespace internal

bool isEligible(const DecisionInput &Input, const CentreRuntime &View,
                WorkerId Id) {
  const Worker &Row = Input.State.Workers[Id];
  const auto Found = View.Workers.find(Id);
  if (Found == View.Workers.end() || Row.IsLeaving) {
    return false;
  }
  const WorkerRuntime &Seen = Found->second;
  const bool Alive = Seen.IsConfirmed && !Seen.HasOrphans &&
                     Seen.LeaseEnd - Input.Now > internal::LeastLeaseLeft;
  const bool Trusted = Seen.QuarantineEnd <= Input.Now &&
                       (!Seen.IsOnProbation || Row.Tasks.empty());
  return Alive && Trusted &&
         !isDrained(Input.InForce, Row.Name, Row.Rack, View.Centre);
}

Resources quotaOf(const Rules &InForce, const CentreRuntime &View,
                  const std::string &Team) {
  const QuotaRule *Rule = findQuota(InForce, Team);
  if (Rule == nullptr) {
    constexpr auto Any = std::numeric_limits<std::int64_t>::max();
    return {Any, Any, Any, Any, Any};
  }
  return quotaShare(Rule->Most, View.CentreCount, View.CentreIndex);
}

bool hasQuotaFor(const DecisionInput &Input, const CentreRuntime &View,
                 const RequestSpec &Spec, const Resources &More) {
  const auto Held = Input.State.GrantedByTeam.find(Spec.Team);
  const Resources Granted =
      Held == Input.State.GrantedByTeam.end() ? Resources{} : Held->second;
  return fitsIn(Granted + More, quotaOf(Input.InForce, View, Spec.Team));
}

} // namespace mulberryramp
