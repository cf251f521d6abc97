#include "mulberryramp/system/preemption.hpp"

#include "mulberryramp/system/eligibility.hpp"

#include <algorithm>
#include <limits>
#include <optional>

namespace mulberryramp {

namespace internal {

/// Requests for which tasks are preempted in one run.
constexpr std::size_t MaxPreemptorsPerRun = 16;

struct Victim {
  AttemptId Attempt = 0;
  double LostCpuMs = 0; ///< Processor time since the start, in ms.
  Resources Need;
};

struct Eviction {
  WorkerId TargetWorker;
  double LostCpuMs = std::numeric_limits<double>::infinity();
  std::vector<Victim> Victims;
};

bool isPreemptible(const Request &Victim, const RequestSpec &Preemptor) {
  return Victim.Spec.IsIdempotent && !needsStop(Victim) &&
         Victim.Spec.Kind != WorkKind::Gang &&
         Victim.Spec.Priority < Preemptor.Priority;
}

std::vector<Victim> victimsOn(const DecisionInput &Input,
                              const CentreRuntime &Runtime, const Worker &Row,
                              const RequestSpec &Preemptor) {
  std::vector<Victim> Victims;
  for (const TaskId Id : Row.Tasks) {
    const Task &TaskRow = Input.State.Tasks[Id];
    const Request &Owner = Input.State.Requests[TaskRow.Owner];
    if (!isPreemptible(Owner, Preemptor) ||
        Runtime.Preempted.contains(TaskRow.Attempt)) {
      continue;
    }
    const Millis RunTime = Input.WallNow - TaskRow.AssignedAt;
    const double LostCpuMs = static_cast<double>(RunTime.count()) *
                             static_cast<double>(Owner.Spec.Need.MilliCpus) /
                             1000;
    Victims.push_back({TaskRow.Attempt, LostCpuMs, Owner.Spec.Need});
  }
  std::sort(Victims.begin(), Victims.end(),
            [](const Victim &Lhs, const Victim &Rhs) {
              return Lhs.LostCpuMs < Rhs.LostCpuMs;
            });
  return Victims;
}

/// Reprieves victims whose resources turn out not to be needed.
void reprieveVictims(const Resources &Need, Resources Free,
                     std::vector<Victim> &Chosen) {
  for (auto It = Chosen.rbegin(); It != Chosen.rend(); ++It) {
    if (fitsIn(Need, Free - It->Need)) {
      Free -= It->Need;
      It->Attempt = 0;
    }
  }
  std::erase_if(Chosen,
                [](const Victim &Evicted) { return Evicted.Attempt == 0; });
}

std::optional<Eviction> evictionOn(const DecisionInput &Input,
                                   const CentreRuntime &Runtime, WorkerId Id,
                                   const RequestSpec &Spec) {
  const Worker &Row = Input.State.Workers[Id];
  Resources Free = freeResources(Row);
  Eviction Plan;
  Plan.TargetWorker = Id;
  for (const Victim &Evicted : victimsOn(Input, Runtime, Row, Spec)) {
    if (fitsIn(Spec.Need, Free)) {
      break;
    }
    Free += Evicted.Need;
    Plan.Victims.push_back(Evicted);
  }
  if (!fitsIn(Spec.Need, Free) || Plan.Victims.empty()) {
    return std::nullopt;
  }
  reprieveVictims(Spec.Need, Free, Plan.Victims);
  Plan.LostCpuMs = 0;
  for (const Victim &Evicted : Plan.Victims) {
    Plan.LostCpuMs += Evicted.LostCpuMs;
  }
  return Plan;
}

bool hasReservation(const CentreRuntime &Runtime, RequestId Owner) {
  return std::any_of(
      Runtime.ReservedWorkers.begin(), Runtime.ReservedWorkers.end(),
      [Owner](const auto &Reservation) { return Reservation.second == Owner; });
}

std::optional<Eviction> cheapestEviction(const DecisionInput &Input,
                                         const CentreRuntime &Runtime,
                                         const RequestSpec &Spec) {
  std::optional<Eviction> Best;
  for (const WorkerId Id : Input.State.Workers.ids()) {
    const bool IsReserved = Runtime.ReservedWorkers.contains(Id);
    if (IsReserved || !isEligible(Input, Runtime, Id)) {
      continue;
    }
    auto Plan = evictionOn(Input, Runtime, Id, Spec);
    if (Plan && (!Best || Plan->LostCpuMs < Best->LostCpuMs)) {
      Best = std::move(Plan);
    }
  }
  return Best;
}

void preemptFor(const DecisionInput &Input, CentreRuntime &Runtime,
                RequestId Id) {
  const Request &Row = Input.State.Requests[Id];
  for (const TaskId TaskRowId : Row.Tasks) {
    if (Input.State.Tasks[TaskRowId].State != TaskState::Queued) {
      continue;
    }
    const auto Plan = cheapestEviction(Input, Runtime, Row.Spec);
    if (!Plan) {
      return;
    }
    Runtime.ReservedWorkers[Plan->TargetWorker] = Id;
    for (const Victim &Victim : Plan->Victims) {
      Runtime.Preempted.insert(Victim.Attempt);
    }
  }
}

} // namespace internal

void preempt(const DecisionInput &Input, CentreRuntime &Runtime,
             const std::vector<RequestId> &Blocked) {
  std::erase_if(Runtime.Preempted, [&Input](const auto &Attempt) {
    return !Input.State.ByAttempt.contains(Attempt);
  });
  std::size_t Count = 0;
  for (const RequestId Id : Blocked) {
    const Request &Row = Input.State.Requests[Id];
    const auto Rule = findClass(Input.ActiveRules, Row.Spec.ClassName);
    if (!Rule || !Rule->MayPreempt || internal::hasReservation(Runtime, Id)) {
      continue;
    }
    internal::preemptFor(Input, Runtime, Id);
    Count += 1;
    if (Count >= internal::MaxPreemptorsPerRun) {
      return;
    }
  }
}

} // namespace mulberryramp
