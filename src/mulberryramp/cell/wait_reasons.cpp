#include "mulberryramp/cell/wait_reasons.hpp"

#include "mulberryramp/cell/advice.hpp"
#include "mulberryramp/cell/leases.hpp"

#include <algorithm>
#include <array>

namespace mulberryramp {

namespace {

/// A proposed assignment that is older is the reason of a wait; a healthy group
/// of voters commits sooner.
constexpr Millis SlowCommitTime{500};

/// Explains the waiting tasks of one step.
class StepExplainer {
public:
  StepExplainer(const WaitContext &Context, const StepKey &Key)
      : Context{Context}, Dispatch{Context.Dispatch}, Key{Key},
        Owner{Context.State.Jobs[Key.Job]}, Spec{Owner.Spec.Steps[Key.Step]},
        Step{findRun(Owner, Key.Run)->Steps[Key.Step]}, Counts{
                                                            countTasks(Step)} {
    const auto AdviceIt = Dispatch.Advice.find(Key);
    Advice = AdviceIt == Dispatch.Advice.end() ? nullptr : &AdviceIt->second;
    const auto OwnIt = Dispatch.Reservations.find(Key);
    OwnReservation =
        OwnIt == Dispatch.Reservations.end() ? nullptr : &OwnIt->second;
    const auto WaitIt = Dispatch.TrialWaits.find(Key);
    OwnWait = WaitIt == Dispatch.TrialWaits.end() ? nullptr : &WaitIt->second;
  }

  std::vector<TaskWait> explain(std::size_t MaxTasks) {
    const std::optional<WaitExplanation> Common = explainAll();
    std::vector<TaskWait> Waits;
    for (std::uint32_t Index = 0;
         Index < Step.Tasks.size() && Waits.size() < MaxTasks; ++Index) {
      if (Step.Tasks[Index].State == JobTaskState::Waiting) {
        Waits.push_back({Index, Common ? *Common : explainTask(Index)});
      }
    }
    return Waits;
  }

private:
  /// Explains what holds back all tasks of the step, if anything does.
  std::optional<WaitExplanation> explainAll() const {
    WaitExplanation Why;
    if (Dispatch.HasUncommittedStarts &&
        Context.Now - Dispatch.LastPlanAt >= SlowCommitTime) {
      Why.Reason = WaitReason::AssignmentsUncommitted;
      Why.Since = Dispatch.LastPlanAt;
      return Why;
    }
    if (Spec.IsGang && Step.Assigned != 0) {
      Why.Reason = WaitReason::GangIncomplete;
      return Why;
    }
    if (Spec.IsGang &&
        !isGangTrialDue(Dispatch, Key, Step, Spec, Context.Now)) {
      return explainGangBackoff();
    }
    return std::nullopt;
  }

  /// Explains the backoff of the member that holds back the gang for longest.
  WaitExplanation explainGangBackoff() const {
    WaitExplanation Longest;
    for (std::uint32_t Index = 0; Index < Step.Tasks.size(); ++Index) {
      const std::optional<WaitExplanation> Why = explainBackoff(Index);
      if (Why && (!Longest.EndsAt || *Why->EndsAt > *Longest.EndsAt)) {
        Longest = *Why;
      }
    }
    return Longest;
  }

  std::optional<WaitExplanation> explainBackoff(std::uint32_t Index) const {
    const TaskKey Task{Key.Job, Key.Run, Key.Step, Index};
    const std::optional<Instant> DueAt =
        trialDueAt(Dispatch, Task, Step.Tasks[Index], Spec);
    if (!DueAt || Context.Now >= *DueAt) {
      return std::nullopt;
    }
    WaitExplanation Why;
    Why.Reason = WaitReason::CrashBackoff;
    Why.Since = lastCrashAt(Dispatch, Task);
    Why.EndsAt = *DueAt;
    return Why;
  }

  WaitExplanation explainTask(std::uint32_t Index) {
    if (const std::optional<WaitExplanation> Why = explainBackoff(Index)) {
      return *Why;
    }
    const TaskKey Task{Key.Job, Key.Run, Key.Step, Index};
    const CrashRisk Risk =
        Spec.IsGang ? gangCrashRiskOf(Context.Unresolved, Key, Step)
                    : crashRiskOf(Context.Unresolved, Task, Step.Tasks[Index]);
    auto &Known = ByRisk[static_cast<std::size_t>(Risk)];
    if (!Known) {
      Known = explainPlacement(Risk);
    }
    return *Known;
  }

  /// Explains why the planner finds no worker for a task of a risk.
  WaitExplanation explainPlacement(CrashRisk Risk) const {
    WaitExplanation Why;
    const auto PoolIt = Context.Schedulable.Pools.find(Owner.Queue.Pool);
    if (PoolIt == Context.Schedulable.Pools.end()) {
      Why.Reason = WaitReason::NoSchedulableWorker;
      Why.Detail = describeExclusions();
      return Why;
    }
    if (!fitsInOwnCap()) {
      Why.Reason = WaitReason::OrganisationCap;
      Why.Detail = " organisation=" + Owner.Organisation;
      return Why;
    }
    if (Risk == CrashRisk::Trial && !Spec.IsGang &&
        countTrials(Dispatch, Key, Step, Spec, Context.Now) == 0) {
      Why.Reason = WaitReason::TrialLimit;
      return Why;
    }
    Why.Reason = Spec.IsGang ? closestForGang(Risk) : closestForTask(Risk);
    if (Why.Reason == WaitReason::NotPlanned &&
        Dispatch.HeldByCapAt.contains(Owner.Organisation)) {
      Why.Reason = WaitReason::OrganisationCap;
      Why.Detail = " organisation=" + Owner.Organisation;
    }
    if (Why.Reason == WaitReason::NoAdmission) {
      describeAdvice(Why);
    }
    if (Risk != CrashRisk::None && OwnWait != nullptr &&
        (Why.Reason == WaitReason::RecentStart ||
         Why.Reason == WaitReason::WorkersHeld)) {
      describeHolds(Why);
    }
    return Why;
  }

  bool fitsInOwnCap() const {
    const auto It = Context.Shares.Rows.find(Owner.Organisation);
    return It == Context.Shares.Rows.end() ||
           fitsInCap(It->second, Spec.Need,
                     Spec.IsGang ? Step.Tasks.size() : 1);
  }

  /// Describes what keeps the workers of the pool from getting starts.
  std::string describeExclusions() const {
    std::array<std::size_t, enumeratorCount<WorkerExclusion>()> Excluded{};
    std::size_t Workers = 0;
    for (const WorkerInstanceId Id : Context.State.Workers.ids()) {
      if (Context.State.Workers[Id].Report.Pool == Owner.Queue.Pool) {
        Workers += 1;
        Excluded[static_cast<std::size_t>(
            findExclusion(Dispatch, Context.State, Id, Context.Now))] += 1;
      }
    }
    std::string Text = " workers=" + std::to_string(Workers);
    for (std::size_t Index = 0; Index < Excluded.size(); ++Index) {
      if (Excluded[Index] != 0) {
        Text += " " + std::string{nameOf(static_cast<WorkerExclusion>(Index))} +
                "=" + std::to_string(Excluded[Index]);
      }
    }
    return Text;
  }

  void describeAdvice(WaitExplanation &Why) const {
    const bool IsOpen = Advice != nullptr && Advice->QueryId != 0;
    Why.Detail = " denied=" +
                 std::to_string(Advice == nullptr ? 0 : Advice->Denied.size()) +
                 " query=" + (IsOpen ? "open" : "none");
    if (Advice != nullptr && !IsOpen && Advice->RetryAt > Context.Now) {
      Why.EndsAt = Advice->RetryAt;
    }
  }

  /// Names the held worker that is the first without a recent start.
  void describeHolds(WaitExplanation &Why) const {
    Why.Since = OwnWait->Since;
    Why.Detail = " held=" + std::to_string(OwnWait->Held.size());
    for (const WorkerSnapshot &Snapshot : Context.Schedulable.Rows) {
      if (OwnWait->Held.contains(Snapshot.Worker) &&
          (!Why.EndsAt || Snapshot.QuietAt < *Why.EndsAt)) {
        Why.Worker = Snapshot.Worker;
        Why.EndsAt = Snapshot.QuietAt;
      }
    }
  }

  /// Returns why a worker may not run a task of the step, in spite of room if
  /// it has any; `NotPlanned` if it may. Workers of other pools are unsuitable.
  WaitReason hindranceOf(const WorkerSnapshot &Snapshot, CrashRisk Risk) const {
    const Infeasibility Found = infeasibilityOf(Snapshot);
    if (Found == Infeasibility::OtherPool ||
        Found == Infeasibility::MissingLabel) {
      return WaitReason::UnsuitableWorkers;
    }
    if (!fitsIn(Need, Snapshot.Available)) {
      return WaitReason::NoRoom;
    }
    switch (Found) {
    case Infeasibility::Reserved:
      return WaitReason::WorkersReserved;
    case Infeasibility::LatencyViolation:
      return WaitReason::LatencyLimit;
    case Infeasibility::Held:
      return WaitReason::WorkersHeld;
    case Infeasibility::RecentSuspect:
      return WaitReason::RecentStart;
    default:
      break;
    }
    if (Risk != CrashRisk::None && Context.Now < Snapshot.QuietAt) {
      return WaitReason::RecentStart;
    }
    if (Risk == CrashRisk::Trial && !canBeginTrialOn(Snapshot)) {
      return WaitReason::NoRackForTrial;
    }
    if (isAtMaxPerWorker(Spec, Snapshot, Counts)) {
      return WaitReason::MaxPerWorker;
    }
    const bool IsAdmitted = !Owner.Queue.Advice ||
                            (Advice != nullptr &&
                             isAdmitted(*Advice, Snapshot.Worker, Context.Now));
    return IsAdmitted ? WaitReason::NotPlanned : WaitReason::NoAdmission;
  }

  /// A step may use the workers that it has reserved itself, or that are held
  /// for it.
  Infeasibility infeasibilityOf(const WorkerSnapshot &Snapshot) const {
    WorkerSnapshot Own = Snapshot;
    if (OwnReservation != nullptr &&
        OwnReservation->Workers.contains(Snapshot.Worker)) {
      Own.ReservedFrom.reset();
    }
    if (isHeldForOwn(Snapshot)) {
      Own.Hold = TrialHoldState::ForThisStep;
    }
    return findInfeasibility(Own, Owner, Spec, Context.Now);
  }

  bool isHeldForOwn(const WorkerSnapshot &Snapshot) const {
    return OwnWait != nullptr && OwnWait->Held.contains(Snapshot.Worker);
  }

  bool canBeginTrialOn(const WorkerSnapshot &Snapshot) const {
    const std::string &Rack = Snapshot.Instance->Report.Rack;
    const auto It = Context.Racks.find(Rack);
    RackTrials Trials = It == Context.Racks.end() ? RackTrials{} : It->second;
    Trials.Affected += static_cast<std::size_t>(std::count_if(
        Context.Schedulable.Rows.begin(), Context.Schedulable.Rows.end(),
        [&](const WorkerSnapshot &Other) {
          return Other.Hold == TrialHoldState::ForOtherStep &&
                 !isHeldForOwn(Other) && Other.Worker != Snapshot.Worker &&
                 Other.Instance->Report.Rack == Rack;
        }));
    return canBeginTrial(Trials);
  }

  WaitReason closestForTask(CrashRisk Risk) const {
    WaitReason Closest = WaitReason::UnsuitableWorkers;
    for (const WorkerSnapshot &Snapshot : Context.Schedulable.Rows) {
      // Under load most workers are full, and need no closer look.
      if (Closest >= WaitReason::NoRoom && !fitsIn(Need, Snapshot.Available)) {
        continue;
      }
      Closest = std::max(Closest, hindranceOf(Snapshot, Risk));
    }
    return Closest;
  }

  /// A gang needs room for all members. Its reason is that of the workers
  /// without which the closer ones have too little.
  WaitReason closestForGang(CrashRisk Risk) const {
    std::array<double, enumeratorCount<WaitReason>()> Capacities{};
    for (const WorkerSnapshot &Snapshot : Context.Schedulable.Rows) {
      if (!fitsIn(Need, Snapshot.Available)) {
        continue;
      }
      const auto Reason = static_cast<std::size_t>(hindranceOf(Snapshot, Risk));
      Capacities[Reason] += taskCapacity(Snapshot, Spec);
    }
    double Room = 0;
    for (auto Reason = static_cast<std::size_t>(WaitReason::NotPlanned);
         Reason > static_cast<std::size_t>(WaitReason::NoRoom); --Reason) {
      Room += Capacities[Reason];
      if (Room >= static_cast<double>(Step.Tasks.size())) {
        return static_cast<WaitReason>(Reason);
      }
    }
    return WaitReason::NoRoom;
  }

  const WaitContext &Context;
  const DispatchState &Dispatch;
  StepKey Key;
  const Job &Owner;
  const StepSpec &Spec;
  const JobStep &Step;
  TaskCounts Counts;
  Resources Need = requiredResources(Spec);
  const StepAdvice *Advice = nullptr;
  const StepReservation *OwnReservation = nullptr;
  const TrialWait *OwnWait = nullptr;
  std::array<std::optional<WaitExplanation>, 3> ByRisk; ///< By `CrashRisk`.
};

/// Marks the workers that steps have reserved, or that are held for suspects.
void markKeptWorkers(const DispatchState &Dispatch,
                     SchedulableWorkers &Workers) {
  for (const auto &[Key, Wait] : Dispatch.TrialWaits) {
    for (const auto &[Worker, Since] : Wait.Held) {
      if (WorkerSnapshot *Snapshot = findSnapshot(Workers, Worker)) {
        Snapshot->Hold = TrialHoldState::ForOtherStep;
      }
    }
  }
  for (const auto &[Key, Reservation] : Dispatch.Reservations) {
    if (!Reservation.IsNeeded) {
      continue;
    }
    for (const WorkerInstanceId Worker : Reservation.Workers) {
      if (WorkerSnapshot *Snapshot = findSnapshot(Workers, Worker)) {
        Snapshot->ReservedFrom = Reservation.StartsAt;
      }
    }
  }
}

} // namespace

WaitContext makeWaitContext(const DispatchState &Dispatch,
                            const CellState &State, Instant Now) {
  WaitContext Context{Dispatch,
                      State,
                      Now,
                      snapshotWorkers(Dispatch, State, Now),
                      collectUnresolvedTasks(Dispatch, Now),
                      collectRackTrials(Dispatch, State, Now),
                      {}};
  markKeptWorkers(Dispatch, Context.Schedulable);
  if (!State.Configuration.Organisations.empty()) {
    Resources Total;
    for (const WorkerSnapshot &Snapshot : Context.Schedulable.Rows) {
      Total += Snapshot.Instance->Report.Capacity;
    }
    Context.Shares = collectShares(Dispatch, State, Total, Now);
  }
  return Context;
}

std::optional<WaitExplanation> explainAssigned(const DispatchState &Dispatch,
                                               const TaskLaunch &Launch) {
  const auto SessionIt = Dispatch.Sessions.find(Launch.Assignment.Worker);
  if (SessionIt == Dispatch.Sessions.end()) {
    return std::nullopt;
  }
  const WorkerSession &Session = SessionIt->second;
  WaitExplanation Why;
  Why.Worker = Launch.Assignment.Worker;
  if (Launch.IsEndProposed) {
    Why.Reason = WaitReason::EndUncommitted;
  } else if (Session.ConsecutiveMisses != 0) {
    Why.Reason = WaitReason::WorkerUnresponsive;
    Why.Since = Session.SilentSince;
    Why.EndsAt = runBound(Session, Launch);
  } else if (Launch.Phase == LaunchPhase::Sending) {
    Why.Reason = WaitReason::StartUnanswered;
    Why.Since = Launch.PhaseSince;
  } else if (!Session.IsReconciled) {
    Why.Reason = WaitReason::WorkerNotReconciled;
    Why.EndsAt = runBound(Session, Launch);
    if (Launch.Phase == LaunchPhase::Recovered) {
      Why.Since = Launch.PhaseSince;
    }
  } else if (Launch.Phase == LaunchPhase::Unacknowledged) {
    Why.Reason = WaitReason::StartDoubtful;
    Why.Since = Launch.PhaseSince;
  } else if (Launch.Phase == LaunchPhase::Recovered) {
    Why.Reason = WaitReason::StartInherited;
    Why.Since = Launch.PhaseSince;
  } else {
    return std::nullopt;
  }
  return Why;
}

std::vector<TaskWait> explainWaiting(const WaitContext &Context,
                                     const StepKey &Key, std::size_t MaxTasks) {
  return StepExplainer{Context, Key}.explain(MaxTasks);
}

} // namespace mulberryramp
