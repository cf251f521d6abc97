#include "mulberryramp/system/admission.hpp"

#include "mulberryramp/system/eligibility.hpp"

#include <algorithm>

namespace mulberryramp {

namespace internal {

std::size_t countQueuedRequests(const Ledger &State, const std::string &Team) {
  return static_cast<std::size_t>(std::count_if(
      State.QueuedRequests.begin(), State.QueuedRequests.end(),
      [&](RequestId Id) { return State.Requests[Id].Spec.Team == Team; }));
}

/// Computes the resources that must be free at the same time for a start: those
/// of all tasks of a gang, otherwise those of one task.
Resources gangNeed(const RequestSpec &Spec) {
  Resources Sum;
  const std::uint32_t Count = Spec.Kind == WorkKind::Gang ? Spec.TaskCount : 1;
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    Sum += Spec.Need;
  }
  return Sum;
}

} // namespace internal

std::optional<std::string> admissionError(const DecisionInput &Input,
                                          const CentreRuntime &Runtime,
                                          const RequestSpec &Spec) {
  const Rules &ActiveRules = Input.ActiveRules;
  if (!findClass(ActiveRules, Spec.ClassName)) {
    return "no rule for class " + Spec.ClassName;
  }
  if (!ActiveRules.Quotas.empty() &&
      findQuota(ActiveRules, Spec.Team) == nullptr) {
    return "team " + Spec.Team + " has no quota";
  }
  if (!fitsIn(internal::gangNeed(Spec),
              quotaOf(ActiveRules, Runtime, Spec.Team))) {
    return "can never run: needs more than the quota of team " + Spec.Team +
           " in " + Runtime.Centre;
  }
  if (ActiveRules.MaxWorkerSize &&
      !fitsIn(Spec.Need, ActiveRules.MaxWorkerSize->MaxCapacity)) {
    return "can never run: a task needs more than the largest worker has";
  }
  if (Spec.StartBy != WallTime{} && Spec.StartBy <= Input.WallNow) {
    return "its latest start is past";
  }
  if (internal::countQueuedRequests(Input.State, Spec.Team) >=
      queueLimit(ActiveRules, Spec.Team)) {
    return "the queue of team " + Spec.Team + " is full";
  }
  return std::nullopt;
}

void applyRules(const Rules &ActiveRules, RequestSpec &Spec, WallTime WallNow) {
  const ClassRule Rule =
      findClass(ActiveRules, Spec.ClassName).value_or(ClassRule{});
  Spec.Priority = Rule.Priority;
  Spec.MaxAttempts = Spec.IsIdempotent ? Rule.MaxAttempts : 1;
  Spec.RetryBackoff = Rule.Backoff;
  if (Spec.StartBy == WallTime{} && Rule.StartDeadline > Millis{0}) {
    Spec.StartBy = WallNow + Rule.StartDeadline;
  }
  if (Spec.MaxPerRack == 0) {
    Spec.MaxPerRack = maxPerRack(ActiveRules, Spec.Kind);
  }
}

std::string waitReason(const DecisionInput &Input, const CentreRuntime &Runtime,
                       const Request &Owner) {
  const RequestSpec &Spec = Owner.Spec;
  const auto &Workers = Input.State.Workers.rows();
  const bool HasLargeEnoughWorker =
      std::any_of(Workers.begin(), Workers.end(), [&](const Worker &Row) {
        return fitsIn(Spec.Need, Row.Capacity);
      });
  if (!HasLargeEnoughWorker) {
    return "no worker in " + Runtime.Centre +
           " is large enough; it waits for one to announce itself";
  }
  if (!hasQuotaFor(Input, Runtime, Spec, internal::gangNeed(Spec))) {
    return "team " + Spec.Team + " has used its quota";
  }
  return "waits for a free place";
}

} // namespace mulberryramp
