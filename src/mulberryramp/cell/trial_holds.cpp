#include "mulberryramp/cell/trial_holds.hpp"

#include "mulberryramp/cell/advice.hpp"
#include "mulberryramp/cell/orders.hpp"

#include <algorithm>

namespace mulberryramp {

namespace {

/// At most one in this many workers of a pool is held for single tasks, so that
/// the others still start.
constexpr std::size_t WorkersPerHeldWorker = 2;

Millis maxHoldOf(const JobQueue &Queue) {
  // The ticket may have to be renewed while the worker is held.
  return Queue.Advice ? MaxTrialHold + expectedAnswerTime(*Queue.Advice, 1)
                      : MaxTrialHold;
}

} // namespace

TrialHolds::TrialHolds(DispatchState &Dispatch, const CellState &State,
                       SchedulableWorkers &Workers, Instant Now)
    : Dispatch{Dispatch}, State{State}, Workers{Workers}, Now{Now} {}

void TrialHolds::begin(const std::vector<PendingStep> &Ready) {
  if (Dispatch.TrialWaits.empty()) {
    return;
  }
  std::set<StepKey> Pending;
  for (const PendingStep &Step : Ready) {
    Pending.insert(Step.Key);
  }
  std::erase_if(Dispatch.TrialWaits, [&](const auto &Row) {
    for (const auto &[Worker, Since] : Row.second.Held) {
      if (!Pending.contains(Row.first)) {
        logEnd(Row.first, Worker, Since, "released");
      }
    }
    return !Pending.contains(Row.first);
  });
  for (auto &Row : Dispatch.TrialWaits) {
    std::erase_if(Row.second.Held, [&](const auto &Held) {
      WorkerSnapshot *Snapshot = findSnapshot(Workers, Held.first);
      if (Snapshot == nullptr) {
        Dispatch.Counters.TrialHoldsAbandoned += 1;
        logEnd(Row.first, Held.first, Held.second, "worker-unavailable");
        return true;
      }
      setHold(*Snapshot, TrialHoldState::ForOtherStep);
      return false;
    });
  }
}

void TrialHolds::enter(const StepKey &Key) {
  Current = Key;
  IsWaiting = false;
  Next.clear();
  const auto It = Dispatch.TrialWaits.find(Key);
  Wait = It == Dispatch.TrialWaits.end() ? nullptr : &It->second;
  if (Wait == nullptr) {
    return;
  }
  MaxHold = maxHoldOf(State.Jobs[Key.Job].Queue);
  for (const auto &[Worker, Since] : Wait->Held) {
    setHold(*findSnapshot(Workers, Worker), TrialHoldState::ForThisStep);
  }
}

bool TrialHolds::noteWaiting() {
  IsWaiting = true;
  if (Wait == nullptr) {
    Wait = &Dispatch.TrialWaits[Current];
    Wait->Since = Now;
    MaxHold = maxHoldOf(State.Jobs[Current.Job].Queue);
  }
  return Now - Wait->Since >= MinWaitForHold;
}

bool TrialHolds::canHold(const WorkerSnapshot &Snapshot, bool IsGang) const {
  if (Next.contains(Snapshot.Worker)) {
    return false;
  }
  if (Snapshot.Hold == TrialHoldState::ForThisStep) {
    return !isExpired(Wait->Held.at(Snapshot.Worker));
  }
  const PoolSummary &Pool = Workers.Pools.at(Snapshot.Instance->Report.Pool);
  const std::size_t Limit =
      std::max<std::size_t>(Pool.Workers / WorkersPerHeldWorker, 1);
  return !IsDeferring && Snapshot.Hold == TrialHoldState::None &&
         !Snapshot.IsAwaited && (IsGang || Pool.Held < Limit);
}

void TrialHolds::hold(WorkerSnapshot &Snapshot) {
  if (Snapshot.Hold == TrialHoldState::ForThisStep) {
    Next[Snapshot.Worker] = Wait->Held.at(Snapshot.Worker);
    return;
  }
  setHold(Snapshot, TrialHoldState::ForThisStep);
  Next[Snapshot.Worker] = Now;
  Dispatch.Counters.TrialHolds += 1;
  const Millis Remaining = std::max(Millis{0}, Snapshot.QuietAt - Now);
  logHold("trial-hold", Current, Snapshot.Worker,
          " quiet_ms=" + std::to_string(Remaining.count()) +
              " waited_ms=" + std::to_string((Now - Wait->Since).count()));
}

void TrialHolds::keep() {
  if (Wait != nullptr) {
    Next = Wait->Held;
  }
}

void TrialHolds::use(WorkerSnapshot &Snapshot) {
  setHold(Snapshot, TrialHoldState::None);
}

std::set<WorkerInstanceId> TrialHolds::heldWorkers() const {
  std::set<WorkerInstanceId> Held;
  for (const auto &[Worker, Since] : Next) {
    Held.insert(Worker);
  }
  return Held;
}

bool TrialHolds::hasFormer() const noexcept {
  return Wait != nullptr && !Wait->Held.empty();
}

Instant TrialHolds::quietAt() const {
  Instant At;
  for (const auto &[Worker, Since] : Next) {
    At = std::max(At, findSnapshot(Workers, Worker)->QuietAt);
  }
  return At;
}

void TrialHolds::noteAwaited(const Job &Owner, const StepSpec &Spec,
                             const TaskCounts &Counts, bool IncludesOpen) {
  if (Dispatch.TrialWaits.empty()) {
    return;
  }
  const Resources Need = requiredResources(Spec);
  for (WorkerSnapshot &Snapshot : Workers.Rows) {
    const bool IsClosed = Snapshot.Hold == TrialHoldState::ForOtherStep ||
                          Snapshot.HasRecentSuspect;
    if ((IsClosed || IncludesOpen) && fitsIn(Need, Snapshot.Available) &&
        isFeasibleWhenOpen(Snapshot, Owner, Spec, Now) &&
        !isAtMaxPerWorker(Spec, Snapshot, Counts)) {
      Snapshot.IsAwaited = true;
    }
  }
}

void TrialHolds::leave() {
  if (Wait == nullptr) {
    return;
  }
  for (const auto &[Worker, Since] : Wait->Held) {
    WorkerSnapshot &Snapshot = *findSnapshot(Workers, Worker);
    if (Next.contains(Worker)) {
      continue;
    }
    const bool IsUsed = Snapshot.Hold == TrialHoldState::None;
    const bool IsOver = !IsUsed && IsWaiting && isExpired(Since);
    Dispatch.Counters.TrialHoldsAbandoned += IsOver ? 1 : 0;
    logEnd(Current, Worker, Since,
           IsUsed   ? "used"
           : IsOver ? "expired"
                    : "released");
    setHold(Snapshot, TrialHoldState::None);
  }
  for (const auto &[Worker, Since] : Next) {
    setHold(*findSnapshot(Workers, Worker), TrialHoldState::ForOtherStep);
  }
  if (IsWaiting) {
    Wait->Held = std::move(Next);
  } else {
    Dispatch.TrialWaits.erase(Current);
  }
  Wait = nullptr;
  Next.clear();
}

std::size_t TrialHolds::heldBeside(const WorkerSnapshot &Snapshot,
                                   bool WithOwn) const {
  const auto It = ByRack.find(Snapshot.Instance->Report.Rack);
  if (It == ByRack.end()) {
    return 0;
  }
  const bool IsCounted =
      Snapshot.Hold == TrialHoldState::ForOtherStep ||
      (WithOwn && Snapshot.Hold == TrialHoldState::ForThisStep);
  return It->second.Others + (WithOwn ? It->second.Own : 0) -
         (IsCounted ? 1 : 0);
}

void TrialHolds::setHold(WorkerSnapshot &Snapshot, TrialHoldState Hold) {
  if (Snapshot.Hold == Hold) {
    return;
  }
  std::size_t &Pool = Workers.Pools[Snapshot.Instance->Report.Pool].Held;
  RackHolds &Rack = ByRack[Snapshot.Instance->Report.Rack];
  Pool -= Snapshot.Hold != TrialHoldState::None ? 1 : 0;
  Rack.Own -= Snapshot.Hold == TrialHoldState::ForThisStep ? 1 : 0;
  Rack.Others -= Snapshot.Hold == TrialHoldState::ForOtherStep ? 1 : 0;
  Snapshot.Hold = Hold;
  Pool += Hold != TrialHoldState::None ? 1 : 0;
  Rack.Own += Hold == TrialHoldState::ForThisStep ? 1 : 0;
  Rack.Others += Hold == TrialHoldState::ForOtherStep ? 1 : 0;
}

bool TrialHolds::isExpired(Instant Since) const {
  return Now - Since >= MaxHold;
}

void TrialHolds::logHold(std::string_view Event, const StepKey &Key,
                         WorkerInstanceId Worker, const std::string &Detail) {
  Dispatch.Events.push_back(
      "event=" + std::string{Event} +
      " job=" + nameTask(State, {Key.Job, Key.Run, Key.Step, 0}).Job +
      " run=" + std::to_string(Key.Run) + " step=" + std::to_string(Key.Step) +
      " worker=" + workerName(State, Worker) + Detail);
}

void TrialHolds::logEnd(const StepKey &Key, WorkerInstanceId Worker,
                        Instant Since, std::string_view Outcome) {
  logHold("trial-hold-over", Key, Worker,
          " outcome=" + std::string{Outcome} +
              " held_ms=" + std::to_string((Now - Since).count()));
}

} // namespace mulberryramp
