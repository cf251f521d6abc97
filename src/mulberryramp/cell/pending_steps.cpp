#include "mulberryramp/cell/pending_steps.hpp"

#include "mulberryramp/cell/advice.hpp"

#include <algorithm>
#include <cmath>

namespace mulberryramp {

namespace {

/// The advisor is queried this long before a step is expected to be ready, in
/// addition to its answer time.
constexpr Millis AdvicePrefetchTime{150};
/// A run is far overdue, and planned last, if it is late by this multiple of
/// the time from its due time to its soft deadline.
constexpr int FarOverdueFactor = 3;
/// A run is late if this percentage of its estimated remaining time does not
/// fit before its soft deadline; estimates may be twice too long.
constexpr int LateEstimatePercent = 70;

/// Collects the pending steps of all unfinished jobs.
class StepCollector {
public:
  StepCollector(const DispatchState &Dispatch, const CellState &State,
                Instant Now, WallTime WallNow)
      : Dispatch{Dispatch}, State{State}, Now{Now}, WallNow{WallNow} {}

  PendingSteps collect() {
    for (const JobId Id : State.UnfinishedJobs) {
      const Job &JobRow = State.Jobs[Id];
      for (const JobRun &Run : JobRow.Runs) {
        collectStepsOfRun(Id, JobRow, Run);
      }
    }
    std::sort(Steps.Ready.begin(), Steps.Ready.end());
    std::sort(Steps.SoonReady.begin(), Steps.SoonReady.end());
    return std::move(Steps);
  }

private:
  void collectStepsOfRun(JobId Id, const Job &JobRow, const JobRun &Run) {
    PendingStep Pending;
    Pending.Priority = JobRow.Queue.Priority;
    Pending.IsExcess = JobRow.IsExcess;
    Pending.SoftDeadline = softDeadlineOf(JobRow, Run.Number);
    const WallTime Due = dueTime(JobRow, Run.Number);
    Pending.IsFarOverdue =
        !JobRow.Spec.Steps.front().IsLongRunning &&
        WallNow > Due + (Pending.SoftDeadline - Due) * FarOverdueFactor;
    Pending.IsLate =
        !JobRow.Spec.Steps.front().IsLongRunning &&
        WallNow + remainingPathTime(JobRow, Run) * LateEstimatePercent / 100 >
            Pending.SoftDeadline;
    for (std::uint32_t Step = 0; Step < Run.Steps.size(); ++Step) {
      const JobStep &StepRow = Run.Steps[Step];
      if (StepRow.Assigned + StepRow.Done == StepRow.Tasks.size()) {
        continue;
      }
      Pending.Key = {Id, Run.Number, Step};
      if (isStepReady(JobRow, Run, Step)) {
        Steps.Ready.push_back(Pending);
      } else if (JobRow.Queue.Advice && isSoonReady(JobRow, Id, Run, Step)) {
        Steps.SoonReady.push_back(Pending);
      }
    }
  }

  /// Tells whether all steps that a step depends on are fully assigned and are
  /// expected to end soon.
  bool isSoonReady(const Job &JobRow, JobId Id, const JobRun &Run,
                   std::uint32_t Step) const {
    const Instant Soon =
        Now + expectedAnswerTime(*JobRow.Queue.Advice, MaxQueryWorkers) +
        AdvicePrefetchTime;
    for (const std::uint32_t Earlier : JobRow.Spec.Steps[Step].DependsOn) {
      const JobStep &EarlierStep = Run.Steps[Earlier];
      if (EarlierStep.Assigned + EarlierStep.Done != EarlierStep.Tasks.size()) {
        return false;
      }
      for (std::uint32_t Task = 0; Task < EarlierStep.Tasks.size(); ++Task) {
        const auto LaunchIt =
            Dispatch.Launches.find({Id, Run.Number, Earlier, Task});
        if (LaunchIt != Dispatch.Launches.end() &&
            LaunchIt->second.StartedAt + JobRow.Spec.Steps[Earlier].Estimate >
                Soon) {
          return false;
        }
      }
    }
    return true;
  }

  const DispatchState &Dispatch;
  const CellState &State;
  Instant Now;
  WallTime WallNow;
  PendingSteps Steps;
};

} // namespace

bool operator<(const PendingStep &Lhs, const PendingStep &Rhs) {
  return std::tie(Lhs.IsExcess, Lhs.IsFarOverdue, Lhs.Priority, Lhs.IsLate,
                  Lhs.SoftDeadline, Lhs.Key) <
         std::tie(Rhs.IsExcess, Rhs.IsFarOverdue, Rhs.Priority, Rhs.IsLate,
                  Rhs.SoftDeadline, Rhs.Key);
}

namespace {

/// Time from the due time of a run to its soft deadline.
Millis timeToSoftDeadline(const JobSpec &Spec, const JobQueue &Queue) {
  const auto CriticalPath = static_cast<double>(criticalPathTime(Spec).count());
  return Queue.LatencyTarget +
         Millis{std::llround(CriticalPath * Queue.SlackFactor)};
}

} // namespace

WallTime softDeadlineOf(const Job &JobRow, std::uint32_t Run) {
  return dueTime(JobRow, Run) + timeToSoftDeadline(JobRow.Spec, JobRow.Queue);
}

Millis usefulTimeOf(const JobSpec &Spec, const JobQueue &Queue) {
  return timeToSoftDeadline(Spec, Queue) * FarOverdueFactor;
}

PendingSteps collectPendingSteps(const DispatchState &Dispatch,
                                 const CellState &State, Instant Now,
                                 WallTime WallNow) {
  return StepCollector{Dispatch, State, Now, WallNow}.collect();
}

} // namespace mulberryramp
