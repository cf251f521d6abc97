#include "mulberryramp/system/eligibility.hpp"

#include <limits>

namespace mulberryramp {

namespace internal {

/// A worker with less of its lease left gets no new tasks.
constexpr Millis MinRemainingLease{1000};

} // namespace internal

bool isEligible(const DecisionInput &Input, const CentreRuntime &Runtime,
                WorkerId Id) {
  const Worker &Row = Input.State.Workers[Id];
  const auto It = Runtime.Workers.find(Id);
  if (It == Runtime.Workers.end() || Row.IsDraining) {
    return false;
  }
  const WorkerRuntime &WorkerStatus = It->second;
  const bool IsAlive =
      WorkerStatus.IsConfirmed && !WorkerStatus.HasOrphans &&
      WorkerStatus.LeaseEnd - Input.Now > internal::MinRemainingLease;
  const bool IsTrusted = WorkerStatus.QuarantineEnd <= Input.Now &&
                         (!WorkerStatus.IsOnProbation || Row.Tasks.empty());
  return IsAlive && IsTrusted &&
         !isDrained(Input.ActiveRules, Row.Name, Row.Rack, Runtime.Centre);
}

Resources quotaOf(const Rules &ActiveRules, const CentreRuntime &Runtime,
                  const std::string &Team) {
  const QuotaRule *Rule = findQuota(ActiveRules, Team);
  if (Rule == nullptr) {
    constexpr auto Unlimited = std::numeric_limits<std::int64_t>::max();
    return {Unlimited, Unlimited, Unlimited, Unlimited, Unlimited};
  }
  return quotaShare(Rule->Limit, Runtime.CentreCount, Runtime.CentreIndex);
}

bool hasQuotaFor(const DecisionInput &Input, const CentreRuntime &Runtime,
                 const RequestSpec &Spec, const Resources &Additional) {
  const auto It = Input.State.AssignedByTeam.find(Spec.Team);
  const Resources AssignedResources =
      It == Input.State.AssignedByTeam.end() ? Resources{} : It->second;
  return fitsIn(AssignedResources + Additional,
                quotaOf(Input.ActiveRules, Runtime, Spec.Team));
}

} // namespace mulberryramp
