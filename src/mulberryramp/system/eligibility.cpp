#include "mulberryramp/system/eligibility.hpp"

#include <limits>

namespace mulberryramp {

namespace internal {

/// A worker whose lease is nearly over gets no new work.
constexpr Millis MinRemainingLease{1000};

} // namespace internal

bool isEligible(const DecisionInput &Input, const CentreRuntime &Runtime,
                WorkerId Id) {
  const Worker &Row = Input.State.Workers[Id];
  const auto Found = Runtime.Workers.find(Id);
  if (Found == Runtime.Workers.end() || Row.IsDraining) {
    return false;
  }
  const WorkerRuntime &WorkerStatus = Found->second;
  const bool Alive =
      WorkerStatus.IsConfirmed && !WorkerStatus.HasOrphans &&
      WorkerStatus.LeaseEnd - Input.Now > internal::MinRemainingLease;
  const bool Trusted = WorkerStatus.QuarantineEnd <= Input.Now &&
                       (!WorkerStatus.IsOnProbation || Row.Tasks.empty());
  return Alive && Trusted &&
         !isDrained(Input.ActiveRules, Row.Name, Row.Rack, Runtime.Centre);
}

Resources quotaOf(const Rules &ActiveRules, const CentreRuntime &Runtime,
                  const std::string &Team) {
  const QuotaRule *Rule = findQuota(ActiveRules, Team);
  if (Rule == nullptr) {
    constexpr auto Any = std::numeric_limits<std::int64_t>::max();
    return {Any, Any, Any, Any, Any};
  }
  return quotaShare(Rule->Limit, Runtime.CentreCount, Runtime.CentreIndex);
}

bool hasQuotaFor(const DecisionInput &Input, const CentreRuntime &Runtime,
                 const RequestSpec &Spec, const Resources &More) {
  const auto Held = Input.State.GrantedByTeam.find(Spec.Team);
  const Resources Granted =
      Held == Input.State.GrantedByTeam.end() ? Resources{} : Held->second;
  return fitsIn(Granted + More, quotaOf(Input.ActiveRules, Runtime, Spec.Team));
}

} // namespace mulberryramp
