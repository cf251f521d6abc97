#include "mulberryramp/system/preemption.hpp"

#include "mulberryramp/system/eligibility.hpp"

#include <algorithm>
#include <limits>
#include <optional>

namespace mulberryramp {

namespace internal {

/// Requests that may start to push others out in one run.
constexpr std::size_t MaxPreemptorsPerRun = 16;

struct Victim {
  AttemptId Attempt = 0;
  double LostCpuMs = 0; ///< Processor time since the start, in CPU ms.
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
    const Millis Ran = Input.WallNow - TaskRow.AssignedAt;
    const double Lost = static_cast<double>(Ran.count()) *
                        static_cast<double>(Owner.Spec.Need.MilliCpus) / 1000;
    Victims.push_back({TaskRow.Attempt, Lost, Owner.Spec.Need});
  }
  std::sort(Victims.begin(), Victims.end(),
            [](const Victim &Left, const Victim &Right) {
              return Left.LostCpuMs < Right.LostCpuMs;
            });
  return Victims;
}

/// Tasks that were not needed in the end are spared.
void reprieveVictims(const Resources &Need, Resources Room,
                     std::vector<Victim> &Chosen) {
  for (auto Item = Chosen.rbegin(); Item != Chosen.rend(); ++Item) {
    if (fitsIn(Need, Room - Item->Need)) {
      Room -= Item->Need;
      Item->Attempt = 0;
    }
  }
  std::erase_if(Chosen, [](const Victim &Item) { return Item.Attempt == 0; });
}

std::optional<Eviction> evictionOn(const DecisionInput &Input,
                                   const CentreRuntime &Runtime, WorkerId Id,
                                   const RequestSpec &Spec) {
  const Worker &Row = Input.State.Workers[Id];
  Resources Room = freeResources(Row);
  Eviction Plan;
  Plan.TargetWorker = Id;
  for (const Victim &Item : victimsOn(Input, Runtime, Row, Spec)) {
    if (fitsIn(Spec.Need, Room)) {
      break;
    }
    Room += Item.Need;
    Plan.Victims.push_back(Item);
  }
  if (!fitsIn(Spec.Need, Room) || Plan.Victims.empty()) {
    return std::nullopt;
  }
  reprieveVictims(Spec.Need, Room, Plan.Victims);
  Plan.LostCpuMs = 0;
  for (const Victim &Item : Plan.Victims) {
    Plan.LostCpuMs += Item.LostCpuMs;
  }
  return Plan;
}

bool hasReservation(const CentreRuntime &Runtime, RequestId Owner) {
  return std::any_of(
      Runtime.ReservedWorkers.begin(), Runtime.ReservedWorkers.end(),
      [Owner](const auto &Item) { return Item.second == Owner; });
}

std::optional<Eviction> cheapestEviction(const DecisionInput &Input,
                                         const CentreRuntime &Runtime,
                                         const RequestSpec &Spec) {
  std::optional<Eviction> Best;
  for (const WorkerId Id : Input.State.Workers.ids()) {
    const bool Held = Runtime.ReservedWorkers.contains(Id);
    if (Held || !isEligible(Input, Runtime, Id)) {
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
  for (const TaskId Item : Row.Tasks) {
    if (Input.State.Tasks[Item].State != TaskState::Queued) {
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
  std::erase_if(Runtime.Preempted, [&Input](const auto &Item) {
    return !Input.State.ByAttempt.contains(Item);
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
