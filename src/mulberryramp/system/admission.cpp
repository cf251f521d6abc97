#include "mulberryramp/system/admission.hpp"

#include "mulberryramp/system/eligibility.hpp"

#include <algorithm>

namespace mulberryramp {

namespace internal {

std::size_t queuedRequests(const Ledger &State, const std::string &Team) {
  return static_cast<std::size_t>(std::count_if(
      State.Waiting.begin(), State.Waiting.end(),
      [&](RequestId Id) { return State.Requests[Id].Spec.Team == Team; }));
}

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
                                          const CentreRuntime &View,
                                          const RequestSpec &Spec) {
  const Rules &InForce = Input.InForce;
  if (!findClass(InForce, Spec.ClassName)) {
    return "no rule for class " + Spec.ClassName;
  }
  if (!InForce.Quotas.empty() && findQuota(InForce, Spec.Team) == nullptr) {
    return "team " + Spec.Team + " has no quota";
  }
  if (!fitsIn(internal::gangNeed(Spec), quotaOf(InForce, View, Spec.Team))) {
    return "can never run: needs more than the quota of team " + Spec.Team +
           " in " + View.Centre;
  }
  if (InForce.Shape && !fitsIn(Spec.Need, InForce.Shape->Largest)) {
    return "can never run: a task needs more than the largest worker has";
  }
  if (Spec.StartBy != WallTime{} && Spec.StartBy <= Input.WallNow) {
    return "its latest start is past";
  }
  if (internal::queuedRequests(Input.State, Spec.Team) >=
      queueLimit(InForce, Spec.Team)) {
    return "the queue of team " + Spec.Team + " is full";
  }
  return std::nullopt;
}

void applyRules(const Rules &InForce, RequestSpec &Spec, WallTime WallNow) {
  const ClassRule Rule =
      findClass(InForce, Spec.ClassName).value_or(ClassRule{});
  Spec.Priority = Rule.Priority;
  Spec.MaxAttempts = Spec.IsIdempotent ? Rule.Attempts : 1;
  Spec.RetryBackoff = Rule.Backoff;
  if (Spec.StartBy == WallTime{} && Rule.StartDeadline > Millis{0}) {
    Spec.StartBy = WallNow + Rule.StartDeadline;
  }
  if (Spec.MaxPerRack == 0) {
    Spec.MaxPerRack = maxPerRack(InForce, Spec.Kind);
  }
}

std::string waitReason(const DecisionInput &Input, const CentreRuntime &View,
                       const Request &Owner) {
  const RequestSpec &Spec = Owner.Spec;
  const auto &Workers = Input.State.Workers.rows();
  const bool Fits =
      std::any_of(Workers.begin(), Workers.end(), [&](const Worker &Row) {
        return fitsIn(Spec.Need, Row.Capacity);
      });
  if (!Fits) {
    return "no worker in " + View.Centre +
           " is large enough; it waits for one to announce itself";
  }
  if (!hasQuotaFor(Input, View, Spec, internal::gangNeed(Spec))) {
    return "team " + Spec.Team + " has used its quota";
  }
  return "waits for a free place";
}

} // namespace mulberryramp
