#include "mulberryramp/cell/start_planner.hpp"

#include "mulberryramp/cell/advice.hpp"
#include "mulberryramp/cell/crash_attribution.hpp"
#include "mulberryramp/cell/orders.hpp"
#include "mulberryramp/cell/pending_steps.hpp"
#include "mulberryramp/cell/preemption.hpp"
#include "mulberryramp/cell/query_candidates.hpp"
#include "mulberryramp/cell/reservation.hpp"
#include "mulberryramp/cell/run_time.hpp"
#include "mulberryramp/cell/schedulable_workers.hpp"
#include "mulberryramp/cell/step_order.hpp"
#include "mulberryramp/cell/trial_holds.hpp"
#include "mulberryramp/cell/trials.hpp"
#include "mulberryramp/cell/worker_choice.hpp"

#include <algorithm>
#include <optional>

namespace mulberryramp {

namespace {

/// Shortest time between two choices of tasks to stop; their cost grows with
/// the number of workers.
constexpr Millis PreemptionInterval{40};
/// A step waits for this part of the latency target of its queue before tasks
/// are stopped for it: tasks that end meanwhile may leave enough room.
constexpr int PreemptionDelayDivisor = 6;
/// Pause of queries for a step after no candidate was found.
constexpr Millis NoCandidateBackoff{60};
/// A reservation is planned again after this time.
constexpr Millis ReservationInterval{100};
/// Slots on admitted workers that the planner looks for before it reserves, as
/// a multiple of the unplaced tasks.
constexpr std::size_t ReservationSlotFactor = 2;
/// Tickets of reserved workers are renewed this long before the step is
/// expected to have room, in addition to the answer time of the advisor.
constexpr Millis TicketRenewalLead{100};
/// At most one in this many workers of a pool is reserved, so that later steps
/// still progress.
constexpr std::size_t WorkersPerReservedWorker = 2;

/// One planning pass.
class StartPlanner {
public:
  StartPlanner(DispatchState &Dispatch, const CellState &State, Instant Now,
               WallTime WallNow)
      : Dispatch{Dispatch}, State{State}, Now{Now}, WallNow{WallNow} {}

  std::vector<TaskAssignment> plan() {
    Schedulable = snapshotWorkers(Dispatch, State, Now);
    Unresolved = collectUnresolvedTasks(Dispatch, Now);
    Dispatch.Backlog.clear();
    const PendingSteps Steps =
        collectPendingSteps(Dispatch, State, Now, WallNow);
    Holds.begin(Steps.Ready);
    forEachInOrder(Dispatch, State, Schedulable, Steps.Ready, Now,
                   [this](const PendingStep &Pending, OrganisationUse *Used) {
                     Use = Used;
                     Holds.enter(Pending.Key);
                     planStep(Pending);
                     Holds.leave();
                   });
    beginDeferredHolds();
    for (const PendingStep &Pending : Steps.SoonReady) {
      prefetchAdvice(Pending.Key);
    }
    if (!Blocked.empty() && Now >= Dispatch.NextPreemptionAt) {
      Dispatch.NextPreemptionAt = Now + PreemptionInterval;
      Dispatch.Preemptions =
          choosePreemptions(Dispatch, State, Schedulable, Blocked, Now);
    }
    return std::move(Assignments);
  }

private:
  void reserveWorker(WorkerSnapshot &Snapshot, const StepSpec &Step,
                     const TaskKey &Key, std::uint32_t Attempt) {
    Snapshot.Available -= requiredResources(Step);
    Snapshot.LongRunningTasks += Step.IsLongRunning ? 1 : 0;
    Assignments.push_back({Key, Attempt, Snapshot.Worker});
    if (Use != nullptr) {
      addTasks(*Use, Step.Need, 1);
      Use->WaitingTasks -= 1;
    }
  }

  /// Tells whether tasks of the current step may start together under the cap
  /// of its organisation.
  bool fitsInOwnCap(const StepSpec &Spec, std::size_t Tasks) const {
    return Use == nullptr || fitsInCap(*Use, Spec.Need, Tasks);
  }

  void planStep(const PendingStep &Pending) {
    const StepKey &Key = Pending.Key;
    const Job &Owner = State.Jobs[Key.Job];
    const StepSpec &Spec = Owner.Spec.Steps[Key.Step];
    const JobStep &Step = findRun(Owner, Key.Run)->Steps[Key.Step];
    const StepAdvice *Advice = nullptr;
    if (Owner.Queue.Advice) {
      Advice = &Dispatch.Advice[Key];
    }
    const std::size_t Unplaced =
        Spec.IsGang ? planGang(Key, Owner, Spec, Step, Advice)
                    : planTasks(Key, Owner, Spec, Step, Advice);
    if (Unplaced != 0 && !Holds.isWaiting()) {
      Holds.noteAwaited(Owner, Spec, countTasks(Step), false);
    }
    if (Unplaced == 0) {
      Dispatch.Reservations.erase(Key);
      Dispatch.BlockedSince.erase(Key);
      return;
    }
    if (Use != nullptr && holdForStep(*Use, Spec)) {
      // The first such step of an organisation keeps its tickets. Queries for
      // the others would delay those of steps that may start.
      if (Advice != nullptr && !Use->IsHeldByCap) {
        queryWorkers(Key, Owner, Spec, Step, Unplaced);
      }
      Use->IsHeldByCap = true;
      return;
    }
    if (Dispatch.Options.HasPreemption) {
      noteBlocked(Pending, Owner, Spec, Unplaced);
    }
    if (Dispatch.Options.HasAdmissionControl && !Owner.IsExcess &&
        !Spec.IsLongRunning) {
      addBacklog(Key, Owner, Spec, Unplaced);
    }
    if (!Pending.IsFarOverdue &&
        needsReservation(Spec, Schedulable.Pools[Owner.Queue.Pool].Largest) &&
        reserveWorkers(Key, Owner, Spec, Advice, Unplaced)) {
      return;
    }
    if (Advice != nullptr) {
      const std::set<WorkerInstanceId> Held = Holds.heldWorkers();
      if (!Held.empty()) {
        renewTickets(Key, Owner, *Advice, Held, Holds.quietAt());
      }
      queryWorkers(Key, Owner, Spec, Step, Unplaced);
    }
  }

  /// Adds the tasks of a step that wait for room to the backlog of its pool.
  void addBacklog(const StepKey &Key, const Job &Owner, const StepSpec &Spec,
                  std::size_t Unplaced) {
    const std::int64_t Capacity = Schedulable.Pools[Owner.Queue.Pool].MilliCpus;
    if (Capacity != 0) {
      Dispatch.Backlog[{Owner.Queue.Pool, Owner.Queue.Priority}] +=
          expectedStepTime(Dispatch, Key, Spec) *
          (requiredResources(Spec).MilliCpus *
           static_cast<std::int64_t>(Unplaced)) /
          Capacity;
    }
  }

  /// Requests room for a step that can still be in time, once it has waited
  /// for a part of its latency target.
  void noteBlocked(const PendingStep &Pending, const Job &Owner,
                   const StepSpec &Spec, std::size_t Unplaced) {
    const Instant Since =
        Dispatch.BlockedSince.try_emplace(Pending.Key, Now).first->second;
    if (!Pending.IsFarOverdue && !Pending.IsLate && !Owner.IsExcess &&
        !Spec.IsGang &&
        Now - Since >= Owner.Queue.LatencyTarget / PreemptionDelayDivisor) {
      Blocked.push_back({Pending.Key, Unplaced});
    }
  }

  /// Tells whether the workers that may run a step are expected to have room
  /// for its unplaced tasks now.
  bool hasRoom(const Job &Owner, const StepSpec &Spec, const StepAdvice *Advice,
               std::size_t Unplaced) const {
    const Resources Need = requiredResources(Spec);
    double Room = 0;
    for (const WorkerSnapshot &Snapshot : Schedulable.Rows) {
      if (!fitsIn(Need, Snapshot.Available) ||
          !isCandidate(Snapshot, Owner, Spec, Advice, Now)) {
        continue;
      }
      Room +=
          (isUnknown(Advice, Snapshot.Worker) ? ExpectedAdmissionRate : 1.0) *
          taskCapacity(Snapshot, Spec);
      if (Room >= static_cast<double>(Unplaced)) {
        return true;
      }
    }
    return false;
  }

  /// Returns the slots of a worker for tasks of a step.
  std::vector<ExpectedSlot> slotsOn(const WorkerSnapshot &Snapshot,
                                    const StepSpec &Spec,
                                    std::size_t MaxTasks) {
    const auto [ReleasesIt, IsNew] = Releases.try_emplace(Snapshot.Worker);
    if (IsNew) {
      ReleasesIt->second = expectedReleases(
          Dispatch, State, Dispatch.Sessions.at(Snapshot.Worker), Now);
    }
    if (Spec.MaxPerWorker != 0) {
      MaxTasks = std::min<std::size_t>(MaxTasks, Spec.MaxPerWorker);
    }
    return expectedSlots(Snapshot.Worker, Snapshot.Available,
                         ReleasesIt->second, requiredResources(Spec), MaxTasks,
                         Now);
  }

  /// Keeps workers for a step that has no room now, and queries the advisor
  /// about them.
  /// @param Advice Advice on the step, or null if it needs none.
  /// @return False if the step has room, so that only advice is missing.
  bool reserveWorkers(const StepKey &Key, const Job &Owner,
                      const StepSpec &Spec, const StepAdvice *Advice,
                      std::size_t Unplaced) {
    StepReservation &Reservation = Dispatch.Reservations[Key];
    if (Now - Reservation.PlannedAt >= ReservationInterval) {
      Reservation.PlannedAt = Now;
      Reservation.IsNeeded = !hasRoom(Owner, Spec, Advice, Unplaced);
      if (Reservation.IsNeeded) {
        planReservation(Reservation, Key, Owner, Spec, Advice, Unplaced);
      }
    }
    if (!Reservation.IsNeeded) {
      return false;
    }
    PoolSummary &Pool = Schedulable.Pools[Owner.Queue.Pool];
    const std::size_t Limit = Pool.Workers / WorkersPerReservedWorker;
    if (Pool.Reserved + Reservation.Workers.size() <= Limit) {
      Pool.Reserved += Reservation.Workers.size();
      for (const WorkerInstanceId Worker : Reservation.Workers) {
        if (WorkerSnapshot *Snapshot = findSnapshot(Schedulable, Worker)) {
          Snapshot->ReservedFrom = Reservation.StartsAt;
        }
      }
    }
    if (Advice != nullptr) {
      renewTickets(Key, Owner, *Advice, Reservation.Workers,
                   Reservation.StartsAt);
    }
    return true;
  }

  void planReservation(StepReservation &Reservation, const StepKey &Key,
                       const Job &Owner, const StepSpec &Spec,
                       const StepAdvice *Advice, std::size_t Unplaced) {
    std::vector<ExpectedSlot> Slots;
    std::vector<ExpectedSlot> UnknownSlots;
    for (const WorkerSnapshot &Snapshot : Schedulable.Rows) {
      if (!isCandidate(Snapshot, Owner, Spec, Advice, Now)) {
        continue;
      }
      const auto OnWorker = slotsOn(Snapshot, Spec, Unplaced);
      auto &Target = isUnknown(Advice, Snapshot.Worker) ? UnknownSlots : Slots;
      Target.insert(Target.end(), OnWorker.begin(), OnWorker.end());
    }
    if (Advice != nullptr && Slots.size() < Unplaced * ReservationSlotFactor) {
      queryUnknown(Key, Owner, std::move(UnknownSlots),
                   Unplaced * ReservationSlotFactor - Slots.size());
    }
    // The tasks of a gang need their slots at the same time. Other steps take
    // what there is.
    const std::size_t Tasks =
        Spec.IsGang ? Unplaced : std::min(Unplaced, Slots.size());
    StepReservation Chosen =
        chooseReservation(std::move(Slots), Tasks, Reservation.Workers);
    Reservation.Workers = std::move(Chosen.Workers);
    Reservation.StartsAt = Chosen.StartsAt;
  }

  /// Queries the advisor about workers that it has not decided on, those with
  /// the earliest slots first.
  /// @param Wanted Number of slots that the step lacks.
  void queryUnknown(const StepKey &Key, const Job &Owner,
                    std::vector<ExpectedSlot> Slots, std::size_t Wanted) {
    std::sort(Slots.begin(), Slots.end());
    std::vector<WorkerInstanceId> Workers;
    double ExpectedSlots = 0;
    for (const ExpectedSlot &Slot : Slots) {
      const bool IsEnough = ExpectedSlots >= static_cast<double>(Wanted) &&
                            Workers.size() >= MinUnknownWorkers;
      if (IsEnough || Workers.size() >= MaxQueryWorkers) {
        break;
      }
      ExpectedSlots += ExpectedAdmissionRate;
      if (std::find(Workers.begin(), Workers.end(), Slot.Worker) ==
          Workers.end()) {
        Workers.push_back(Slot.Worker);
      }
    }
    queryAdvisor(Dispatch, State, Key, *Owner.Queue.Advice, Workers, Now);
  }

  /// Renews the tickets of reserved or held workers shortly before the step is
  /// expected to start there, so that all of them are valid then.
  void renewTickets(const StepKey &Key, const Job &Owner,
                    const StepAdvice &Advice,
                    const std::set<WorkerInstanceId> &Kept, Instant StartsAt) {
    const Instant AnswerAt =
        Now + expectedAnswerTime(*Owner.Queue.Advice, Kept.size());
    if (StartsAt > AnswerAt + TicketRenewalLead) {
      return;
    }
    std::vector<WorkerInstanceId> Workers;
    for (const WorkerInstanceId Worker : Kept) {
      if (!isAdmitted(Advice, Worker, std::max(AnswerAt, StartsAt))) {
        Workers.push_back(Worker);
      }
    }
    queryAdvisor(Dispatch, State, Key, *Owner.Queue.Advice, Workers, Now);
  }

  /// Assigns as many tasks of a step as possible.
  /// @return Number of unplaced tasks.
  std::size_t planTasks(const StepKey &Key, const Job &Owner,
                        const StepSpec &Spec, const JobStep &Step,
                        const StepAdvice *Advice) {
    auto Counts = countTasks(Step);
    std::size_t Unplaced = 0;
    // The tasks of a step need the same, so that no further one of the same or
    // a higher risk has room either.
    std::optional<CrashRisk> LowestWithoutRoom;
    std::size_t Trials = countTrials(Dispatch, Key, Step, Spec, Now);
    WaitingSuspects Waiting;
    for (std::uint32_t Index = 0; Index < Step.Tasks.size(); ++Index) {
      const JobTask &Task = Step.Tasks[Index];
      const TaskKey Candidate{Key.Job, Key.Run, Key.Step, Index};
      if (Task.State != JobTaskState::Waiting) {
        continue;
      }
      const CrashRisk Risk = crashRiskOf(Unresolved, Candidate, Task);
      const bool IsTrial = Risk == CrashRisk::Trial;
      if (!isTrialDue(Dispatch, Candidate, Task, Spec, Now)) {
        if (isTrialDue(Dispatch, Candidate, Task, Spec, Now + SuspectWindow)) {
          Waiting.add(Risk);
        }
        continue;
      }
      // Only suspects may use the workers that are held for the step.
      const bool IsFull = LowestWithoutRoom && Risk >= *LowestWithoutRoom &&
                          (*LowestWithoutRoom != CrashRisk::None ||
                           Risk == CrashRisk::None || !Holds.hasFormer());
      const bool MayFit =
          !IsFull && (Trials != 0 || !IsTrial) && fitsInOwnCap(Spec, 1);
      WorkerSnapshot *Chosen =
          MayFit ? Choice.pickBest({Owner, Spec, Advice, Counts}, &Task, Risk,
                                   PickPurpose::Start)
                 : nullptr;
      if (Chosen == nullptr) {
        if (MayFit) {
          LowestWithoutRoom = std::min(Risk, LowestWithoutRoom.value_or(Risk));
        }
        Waiting.add(Risk);
        Unplaced += 1;
        continue;
      }
      Trials -= IsTrial ? 1 : 0;
      Counts[Chosen->Worker] += 1;
      reserveWorker(*Chosen, Spec, Candidate, Task.Attempt + 1);
      noteStart(*Chosen, Risk);
      if (IsTrial) {
        Choice.noteTrial(*Chosen);
      }
    }
    Waiting.Trials =
        std::min(Waiting.Trials,
                 countTrials(Dispatch, Key, Step, Spec, Now + SuspectWindow));
    holdWorkers(Key, {Owner, Spec, Advice, Counts}, Waiting);
    return Unplaced;
  }

  /// Notes that this pass starts tasks on a worker.
  void noteStart(WorkerSnapshot &Snapshot, CrashRisk Risk) {
    Snapshot.QuietAt = Now + SuspectWindow;
    Snapshot.HasRecentSuspect = Risk != CrashRisk::None;
    Holds.use(Snapshot);
  }

  /// Holds workers for suspects of the current step that have none.
  void holdWorkers(const StepKey &Key, const PlacedStep &Placed,
                   const WaitingSuspects &Waiting) {
    if (Waiting.Trials + Waiting.Suspects == 0 ||
        !fitsInOwnCap(Placed.Spec, 1) || !Holds.noteWaiting() ||
        beginHolds(Placed, Waiting)) {
      return;
    }
    const CrashRisk Risk =
        Waiting.Trials != 0 ? CrashRisk::Trial : CrashRisk::Suspect;
    if (Holds.isDeferring() ||
        Choice.pickBest(Placed, nullptr, Risk,
                        PickPurpose::HoldUnlessContended) != nullptr) {
      Holds.setDeferring(true);
      Deferred.push_back({Key, Placed.Counts, Waiting});
    }
  }

  /// Holds a worker for each waiting suspect of the current step.
  /// @return Whether there are enough workers.
  bool beginHolds(const PlacedStep &Placed, const WaitingSuspects &Waiting) {
    const std::size_t Former = Holds.heldWorkers().size();
    const std::size_t FormerTrials = std::min(Former, Waiting.Trials);
    const bool HasTrials =
        beginHolds(Placed, CrashRisk::Trial, Waiting.Trials - FormerTrials);
    const std::size_t FormerOthers =
        std::min(Former - FormerTrials, Waiting.Suspects);
    return beginHolds(Placed, CrashRisk::Suspect,
                      Waiting.Suspects - FormerOthers) &&
           HasTrials;
  }

  bool beginHolds(const PlacedStep &Placed, CrashRisk Risk, std::size_t Count) {
    for (std::size_t Begun = 0; Begun < Count; ++Begun) {
      WorkerSnapshot *Chosen =
          Choice.pickBest(Placed, nullptr, Risk, PickPurpose::Hold);
      if (Chosen == nullptr) {
        return false;
      }
      Holds.hold(*Chosen);
    }
    return true;
  }

  /// Begins the holds that were deferred, as far as the holds of other steps
  /// allow it now.
  void beginDeferredHolds() {
    Use = nullptr;
    Holds.setDeferring(false);
    for (const auto &[Key, Counts, Waiting] : Deferred) {
      const Job &Owner = State.Jobs[Key.Job];
      const StepSpec &Spec = Owner.Spec.Steps[Key.Step];
      const JobStep &Step = findRun(Owner, Key.Run)->Steps[Key.Step];
      const StepAdvice *Advice =
          Owner.Queue.Advice ? &Dispatch.Advice[Key] : nullptr;
      Holds.enter(Key);
      Holds.noteWaiting();
      bool IsHeld = false;
      if (Spec.IsGang) {
        IsHeld = placeGang(Key, Owner, Spec, Step, Advice, PickPurpose::Hold);
      } else {
        Holds.keep();
        IsHeld = beginHolds({Owner, Spec, Advice, Counts}, Waiting);
      }
      if (!IsHeld) {
        Holds.noteAwaited(Owner, Spec, Counts, true);
      }
      Holds.leave();
    }
  }

  /// Assigns all members of a gang or none, on one rack if the step prefers it
  /// and a rack has capacity. A gang with an assigned member is not planned.
  /// @return Number of unplaced tasks.
  std::size_t planGang(const StepKey &Key, const Job &Owner,
                       const StepSpec &Spec, const JobStep &Step,
                       const StepAdvice *Advice) {
    if (Step.Assigned != 0 || !isGangTrialDue(Dispatch, Key, Step, Spec, Now)) {
      return 0;
    }
    if (!fitsInOwnCap(Spec, Step.Tasks.size())) {
      return Step.Tasks.size();
    }
    if (placeGang(Key, Owner, Spec, Step, Advice, PickPurpose::Start)) {
      return 0;
    }
    if (gangCrashRiskOf(Unresolved, Key, Step) != CrashRisk::None &&
        Holds.noteWaiting() &&
        !placeGang(Key, Owner, Spec, Step, Advice, PickPurpose::Hold) &&
        (Holds.isDeferring() || placeGang(Key, Owner, Spec, Step, Advice,
                                          PickPurpose::HoldUnlessContended))) {
      Holds.setDeferring(true);
      Deferred.push_back({Key, {}, {}});
    }
    return Step.Tasks.size();
  }

  /// Finds workers for all members of a gang, on one rack if the step prefers
  /// it and a rack has capacity.
  /// @return Whether there are such workers.
  bool placeGang(const StepKey &Key, const Job &Owner, const StepSpec &Spec,
                 const JobStep &Step, const StepAdvice *Advice,
                 PickPurpose Purpose) {
    if (Spec.PrefersSameRack) {
      std::set<std::string> Racks;
      for (const WorkerSnapshot &Snapshot : Schedulable.Rows) {
        Racks.insert(Snapshot.Instance->Report.Rack);
      }
      for (const std::string &Rack : Racks) {
        if (tryPlaceGang(Key, Owner, Spec, Step, Advice, &Rack, Purpose)) {
          return true;
        }
      }
    }
    return tryPlaceGang(Key, Owner, Spec, Step, Advice, nullptr, Purpose);
  }

  /// Assigns all members of a gang, or holds workers that have room for all of
  /// them. Restores the snapshots unless it assigns them.
  /// @return Whether there are workers for all members.
  bool tryPlaceGang(const StepKey &Key, const Job &Owner, const StepSpec &Spec,
                    const JobStep &Step, const StepAdvice *Advice,
                    const std::string *Rack, PickPurpose Purpose) {
    const std::vector<WorkerSnapshot> SavedSnapshots = Schedulable.Rows;
    const std::size_t AssignmentCount = Assignments.size();
    const OrganisationUse SavedUse = Use == nullptr ? OrganisationUse{} : *Use;
    std::uint32_t Attempt = 0;
    for (const JobTask &Task : Step.Tasks) {
      Attempt = std::max(Attempt, Task.Attempt + 1);
    }
    TaskCounts Counts;
    const CrashRisk Risk = gangCrashRiskOf(Unresolved, Key, Step);
    bool IsComplete = true;
    for (std::uint32_t Index = 0; IsComplete && Index < Step.Tasks.size();
         ++Index) {
      WorkerSnapshot *Chosen =
          Choice.pickBest({Owner, Spec, Advice, Counts, Rack},
                          &Step.Tasks[Index], Risk, Purpose);
      IsComplete = Chosen != nullptr;
      if (IsComplete) {
        Counts[Chosen->Worker] += 1;
        reserveWorker(*Chosen, Spec, {Key.Job, Key.Run, Key.Step, Index},
                      Attempt);
      }
    }
    const bool IsAssigned = IsComplete && Purpose == PickPurpose::Start;
    if (!IsAssigned) {
      Schedulable.Rows = SavedSnapshots;
      Assignments.resize(AssignmentCount);
      if (Use != nullptr) {
        *Use = SavedUse;
      }
    }
    // The members count as one cause and may share workers.
    for (const auto &[Worker, Count] : Counts) {
      WorkerSnapshot &Snapshot = *findSnapshot(Schedulable, Worker);
      if (IsAssigned) {
        noteStart(Snapshot, Risk);
      } else if (IsComplete && Purpose == PickPurpose::Hold) {
        Holds.hold(Snapshot);
      }
    }
    return IsComplete;
  }

  /// Queries the advisor about workers for the unplaced tasks of a step.
  void queryWorkers(const StepKey &Key, const Job &Owner, const StepSpec &Spec,
                    const JobStep &Step, std::size_t Unplaced) {
    StepAdvice &Advice = Dispatch.Advice[Key];
    if (!canQueryAdvisor(Dispatch, Advice, *Owner.Queue.Advice, Now)) {
      return;
    }
    const std::vector<WorkerInstanceId> Workers =
        chooseQueryWorkers({Key, Owner, Spec, Step, Advice}, Unplaced,
                           Schedulable, Dispatch.Options.HasPreemption, Now);
    if (Workers.empty()) {
      Advice.RetryAt = Now + NoCandidateBackoff;
      return;
    }
    queryAdvisor(Dispatch, State, Key, *Owner.Queue.Advice, Workers, Now);
  }

  /// Queries the advisor about a step that will be ready soon.
  void prefetchAdvice(const StepKey &Key) {
    const Job &Owner = State.Jobs[Key.Job];
    const StepSpec &Spec = Owner.Spec.Steps[Key.Step];
    const JobStep &Step = findRun(Owner, Key.Run)->Steps[Key.Step];
    const auto AdviceIt = Dispatch.Advice.find(Key);
    if (AdviceIt == Dispatch.Advice.end() ||
        AdviceIt->second.Admitted.empty()) {
      queryWorkers(Key, Owner, Spec, Step, Step.Tasks.size());
    }
  }

  DispatchState &Dispatch;
  const CellState &State;
  Instant Now;
  WallTime WallNow;
  SchedulableWorkers Schedulable;
  TrialHolds Holds{Dispatch, State, Schedulable, Now};
  std::vector<DeferredHolds> Deferred;
  WorkerChoice Choice{Dispatch, State, Schedulable, Holds, Now};
  /// Use of the organisation of the current step; null if the configuration has
  /// no organisations.
  OrganisationUse *Use = nullptr;
  std::set<TaskKey> Unresolved; ///< See `collectUnresolvedTasks`.
  /// Expected ends of the tasks on a worker; computed when first needed.
  std::map<WorkerInstanceId, std::vector<ExpectedRelease>> Releases;
  std::vector<TaskAssignment> Assignments;
  std::vector<BlockedStep> Blocked; ///< Steps that may preempt others.
};

} // namespace

std::vector<TaskAssignment> planStarts(DispatchState &Dispatch,
                                       const CellState &State, Instant Now,
                                       WallTime WallNow) {
  return StartPlanner{Dispatch, State, Now, WallNow}.plan();
}

} // namespace mulberryramp
