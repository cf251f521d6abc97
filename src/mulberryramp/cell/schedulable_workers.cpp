#include "mulberryramp/cell/schedulable_workers.hpp"

#include "mulberryramp/cell/crash_attribution.hpp"
#include "mulberryramp/cell/orders.hpp"

#include <algorithm>
#include <limits>

namespace mulberryramp {

namespace {

/// Expected run times are extended by this percentage before a task is
/// backfilled, as estimates are often too short.
constexpr int BackfillMarginPercent = 50;
/// Weight of the runtime ratio of a worker in its score.
constexpr double RuntimeRatioWeight = 0.8;
/// Score penalties. On the same scale the fraction of CPUs that a worker has
/// left counts up to 1. The lowest score is chosen.
constexpr double DataLocalityPenalty = 4;
constexpr double PriorFailurePenalty = 3;
constexpr double ServiceColocationPenalty = 0.6;
constexpr double RecentMissPenalty = 2;
/// A long-running task whose worker is lost waits for the former leases there.
constexpr double FormerLeasePenalty = 2;
constexpr std::size_t NoIndex = std::numeric_limits<std::size_t>::max();

/// Tells whether a worker is reserved by a step that was planned before and
/// a task of the current step would delay that step.
bool isReserved(const WorkerSnapshot &Snapshot, const StepSpec &Step,
                Instant Now) {
  return Snapshot.ReservedFrom &&
         (Step.IsLongRunning ||
          Now + Step.Estimate * (100 + BackfillMarginPercent) / 100 >
              *Snapshot.ReservedFrom);
}

/// Returns when a start of that time is no longer recent; zero if there is
/// none.
Instant endOfSuspectWindow(Instant StartedAt) {
  return StartedAt == Instant{} ? StartedAt : StartedAt + SuspectWindow;
}

void addToPool(SchedulableWorkers &Workers, const WorkerReport &Report) {
  PoolSummary &Pool = Workers.Pools[Report.Pool];
  Pool.Workers += 1;
  Pool.MilliCpus += Report.Capacity.MilliCpus;
  Pool.Largest.MilliCpus =
      std::max(Pool.Largest.MilliCpus, Report.Capacity.MilliCpus);
  Pool.Largest.MemoryMb =
      std::max(Pool.Largest.MemoryMb, Report.Capacity.MemoryMb);
  Pool.Largest.Accelerators =
      std::max(Pool.Largest.Accelerators, Report.Capacity.Accelerators);
}

} // namespace

SchedulableWorkers snapshotWorkers(const DispatchState &Dispatch,
                                   const CellState &State, Instant Now) {
  SchedulableWorkers Workers;
  for (const WorkerInstanceId Id : State.Workers.ids()) {
    if (!isSchedulable(Dispatch, State, Id, Now)) {
      continue;
    }
    WorkerSnapshot Snapshot;
    Snapshot.Worker = Id;
    Snapshot.Instance = &State.Workers[Id];
    Snapshot.Available = availableResources(*Snapshot.Instance);
    const WorkerSession &Session = Dispatch.Sessions.at(Id);
    Snapshot.RuntimeRatio = Session.RuntimeRatio;
    Snapshot.HasLatencyViolation = Session.HasLatencyViolation;
    Snapshot.HadRecentMiss = Session.LastMissAt != Instant{} &&
                             Now - Session.LastMissAt < OrderLossWindow;
    Snapshot.QuietAt = endOfSuspectWindow(Session.LastStartAt);
    Snapshot.HasRecentSuspect =
        Now < endOfSuspectWindow(Session.SuspectStartedAt);
    for (const TaskKey &Key : Session.Tasks) {
      const StepSpec *Spec = findStepSpec(State, Key);
      Snapshot.LongRunningTasks +=
          Spec != nullptr && Spec->IsLongRunning ? 1 : 0;
    }
    if (Workers.IndexBySlot.size() <= Id.Slot) {
      Workers.IndexBySlot.resize(Id.Slot + 1, NoIndex);
    }
    Workers.IndexBySlot[Id.Slot] = Workers.Rows.size();
    Workers.Rows.push_back(Snapshot);
    addToPool(Workers, Snapshot.Instance->Report);
  }
  return Workers;
}

WorkerSnapshot *findSnapshot(SchedulableWorkers &Workers,
                             WorkerInstanceId Worker) {
  if (Worker.Slot >= Workers.IndexBySlot.size() ||
      Workers.IndexBySlot[Worker.Slot] == NoIndex) {
    return nullptr;
  }
  WorkerSnapshot &Snapshot = Workers.Rows[Workers.IndexBySlot[Worker.Slot]];
  return Snapshot.Worker == Worker ? &Snapshot : nullptr;
}

Infeasibility findInfeasibility(const WorkerSnapshot &Snapshot,
                                const Job &Owner, const StepSpec &Step,
                                Instant Now) {
  const auto &Labels = Snapshot.Instance->Report.Labels;
  if (Snapshot.Instance->Report.Pool != Owner.Queue.Pool) {
    return Infeasibility::OtherPool;
  }
  if (!Step.Label.empty() &&
      std::find(Labels.begin(), Labels.end(), Step.Label) == Labels.end()) {
    return Infeasibility::MissingLabel;
  }
  if (isReserved(Snapshot, Step, Now)) {
    return Infeasibility::Reserved;
  }
  if (Snapshot.Hold == TrialHoldState::ForOtherStep) {
    return Infeasibility::Held;
  }
  if (Snapshot.HasRecentSuspect) {
    return Infeasibility::RecentSuspect;
  }
  if (!Step.IsLongRunning && Snapshot.HasLatencyViolation) {
    return Infeasibility::LatencyViolation;
  }
  return Infeasibility::None;
}

bool isFeasible(const WorkerSnapshot &Snapshot, const Job &Owner,
                const StepSpec &Step, Instant Now) {
  return findInfeasibility(Snapshot, Owner, Step, Now) == Infeasibility::None;
}

bool isFeasibleWhenOpen(WorkerSnapshot Snapshot, const Job &Owner,
                        const StepSpec &Step, Instant Now) {
  Snapshot.Hold = TrialHoldState::None;
  Snapshot.HasRecentSuspect = false;
  return isFeasible(Snapshot, Owner, Step, Now);
}

bool isCandidate(const WorkerSnapshot &Snapshot, const Job &Owner,
                 const StepSpec &Step, const StepAdvice *Advice, Instant Now) {
  return isFeasible(Snapshot, Owner, Step, Now) &&
         (Advice == nullptr || !Advice->Denied.contains(Snapshot.Worker));
}

TaskCounts countTasks(const JobStep &Step) {
  TaskCounts Counts;
  for (const JobTask &Task : Step.Tasks) {
    if (Task.State == JobTaskState::Assigned) {
      Counts[Task.Worker] += 1;
    }
  }
  return Counts;
}

bool isAtMaxPerWorker(const StepSpec &Step, const WorkerSnapshot &Snapshot,
                      const TaskCounts &Counts) {
  if (Step.MaxPerWorker == 0) {
    return false;
  }
  const auto Count = Counts.find(Snapshot.Worker);
  return Count != Counts.end() && Count->second >= Step.MaxPerWorker;
}

double scoreWorker(const WorkerSnapshot &Snapshot, const StepSpec &Step,
                   const Resources &Need, const JobTask *Task) {
  const Resources Remaining = Snapshot.Available - Need;
  const auto Share = [](std::int64_t Part, std::int64_t Total) {
    return Total == 0 ? 0.0
                      : static_cast<double>(Part) / static_cast<double>(Total);
  };
  const Resources &Capacity = Snapshot.Instance->Report.Capacity;
  double Score = Share(Remaining.MilliCpus, Capacity.MilliCpus) +
                 Share(Remaining.MemoryMb, Capacity.MemoryMb) / 2 +
                 Share(Remaining.Accelerators, Capacity.Accelerators);
  if (!Step.DataRack.empty() &&
      Step.DataRack != Snapshot.Instance->Report.Rack) {
    Score += DataLocalityPenalty;
  }
  if (Task != nullptr && Task->Failures != 0 &&
      Task->Worker == Snapshot.Worker) {
    Score += PriorFailurePenalty;
  }
  Score += Snapshot.RuntimeRatio * RuntimeRatioWeight;
  if (Snapshot.HadRecentMiss) {
    Score += RecentMissPenalty;
  }
  if (!Step.IsLongRunning && Snapshot.LongRunningTasks != 0) {
    Score += ServiceColocationPenalty;
  }
  if (Step.IsLongRunning && Snapshot.Instance->MayHoldFormerLease) {
    Score += FormerLeasePenalty;
  }
  return Score;
}

double taskCapacity(const WorkerSnapshot &Snapshot, const StepSpec &Spec) {
  const Resources Need = requiredResources(Spec);
  std::int64_t Count = Spec.Tasks;
  const auto Limit = [&Count](std::int64_t Available, std::int64_t Required) {
    Count = Required == 0 ? Count : std::min(Count, Available / Required);
  };
  Limit(Snapshot.Available.MilliCpus, Need.MilliCpus);
  Limit(Snapshot.Available.MemoryMb, Need.MemoryMb);
  Limit(Snapshot.Available.Accelerators, Need.Accelerators);
  if (Spec.MaxPerWorker != 0) {
    Count = std::min<std::int64_t>(Count, Spec.MaxPerWorker);
  }
  return static_cast<double>(Count);
}

} // namespace mulberryramp
