#include "mulberryramp/cell/review.hpp"

#include "mulberryramp/cell/orders.hpp"
#include "mulberryramp/cell/run_time.hpp"

#include <algorithm>
#include <optional>

namespace mulberryramp {

namespace {

/// A running task whose listed progress does not change for longer than this,
/// plus 5 % of its expected run time, has stalled.
constexpr Millis StallTimeout{2500};
/// The timeout of an attempt without any progress doubles with each attempt
/// that was stopped before, at most this many times. Its speed is unknown, so
/// that a healthy task of more than 250 s may need longer for its first
/// percent.
constexpr std::uint32_t MaxStallDoublings = 6;
/// Backoff of a worker after one of its tasks stalled or was too slow.
constexpr Millis StalledBackoff{3000};
/// Migration threshold: minimum remaining time of the task on its worker.
constexpr Millis MinRemainingToMigrate{1500};
/// Migration threshold: minimum ratio of the remaining time on the worker to
/// the time that a restart elsewhere takes.
constexpr double MigrateFactor = 2.5;
/// Minimum number of peer times for a median.
constexpr std::size_t MinSampleTasks = 3;
/// Time until a migrated task runs again.
constexpr Millis MigrationDelay{400};
/// While orders get lost, a probe is sent if an end is this much overdue, since
/// the renewal that waits for it may be lost.
constexpr Millis ProbeSlack{100};
/// Progress listed sooner after the start is not used to estimate run times, as
/// the estimate would be too inaccurate.
constexpr Millis MinSampleRuntime{600};
/// A tail latency above its limit for this long is a latency violation.
constexpr Millis ViolationDelay{600};
/// Shortest interval between two changes of the pace of a batch task.
constexpr Millis MinPaceInterval{1000};
/// CPU share in percent of batch tasks after the first reduction. If the
/// violation persists, their share is reduced to 0.
constexpr std::uint32_t ReducedPacePercent = 30;
/// Paces that are set again in one review. A new leader that finds thousands of
/// running tasks spreads these orders over time.
constexpr std::size_t MaxPaceResets = 20;
/// Percentage of its limit below which a tail latency counts as recovered, so
/// that the pace of batch tasks is raised again.
constexpr std::int64_t RecoveredTailPercent = 70;

using LaunchIterator = std::map<TaskKey, TaskLaunch>::iterator;

const StepSpec &specOf(const CellState &State, const TaskKey &Key) {
  return State.Jobs[Key.Job].Spec.Steps[Key.Step];
}

/// Tells whether a task was listed and is not paced.
bool isListedAtFullPace(const TaskLaunch &Launch) {
  return Launch.Phase == LaunchPhase::Confirmed &&
         Launch.ListedAt != Instant{} && Launch.PacePercent == 100 &&
         Launch.IsPaceKnown;
}

/// Tells whether the progress of a task can be compared with that of its peers:
/// it does not depend on other members of a gang either.
bool hasComparableProgress(const TaskLaunch &Launch, const StepSpec &Spec) {
  return isListedAtFullPace(Launch) && !Spec.IsGang;
}

/// Tells whether the CPU share of a task may differ from its pace.
bool isPaceInDoubt(const TaskLaunch &Launch, Instant Now) {
  return !Launch.IsPaceKnown || (Launch.PaceDoubtfulUntil != Instant{} &&
                                 Now >= Launch.PaceDoubtfulUntil);
}

Millis estimateRemainingTime(const TaskLaunch &Launch, Instant Now) {
  return estimateEnd(Launch) - Now;
}

bool hasSpeedSample(const TaskLaunch &Launch, const StepSpec &Spec) {
  return hasComparableProgress(Launch, Spec) && !Spec.IsLongRunning &&
         measuredTime(Launch) >= MinSampleRuntime;
}

/// The launches of one step. The tasks of a step are expected to have similar
/// run times.
struct StepLaunches {
  const Job &Owner;
  const StepSpec &Spec;
  const JobStep &Step;
  std::vector<TaskLaunch *> Launches;
  /// Median run time, if there are enough samples.
  std::optional<Millis> MedianTime;
  Millis Expected{0}; ///< Mean run time of finished tasks, or the estimate.
  /// Member of a stalled gang that was the first to make no progress.
  const TaskLaunch *StalledMember = nullptr;
};

bool isGangBroken(const StepLaunches &Gang) {
  return Gang.Spec.IsGang && Gang.Step.Assigned != Gang.Step.Tasks.size();
}

/// Computes the median run time of a step from the estimates for its running
/// tasks and the times of its finished tasks.
/// @return The median, or nothing if there are too few times or no estimate.
std::optional<Millis> medianTime(const DispatchState &Dispatch,
                                 const StepKey &Key,
                                 const StepLaunches &Siblings) {
  std::vector<Millis> Times;
  for (const TaskLaunch *Launch : Siblings.Launches) {
    if (hasSpeedSample(*Launch, Siblings.Spec)) {
      Times.push_back(estimateTotalTime(*Launch));
    }
  }
  if (Times.empty()) {
    return std::nullopt;
  }
  const auto TimesIt = Dispatch.Times.find(Key);
  if (TimesIt != Dispatch.Times.end()) {
    Times.insert(Times.end(), TimesIt->second.Count, TimesIt->second.mean());
  }
  if (Times.size() < MinSampleTasks) {
    return std::nullopt;
  }
  const auto MedianIt =
      Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::nth_element(Times.begin(), MedianIt, Times.end());
  return *MedianIt;
}

/// Returns the key under which stalls of a task are counted.
TaskKey stallKeyOf(const TaskLaunch &Launch, const StepSpec &Spec) {
  TaskKey Key = Launch.Assignment.Key;
  Key.Task = Spec.IsGang ? 0 : Key.Task;
  return Key;
}

/// Computes how long the listed progress of a healthy task may stay the same.
/// Progress is listed in whole percent, so the time follows the observed speed
/// of the task and of its peers; an estimate may be far too low.
Millis stallTimeout(const DispatchState &Dispatch, const TaskLaunch &Launch,
                    const StepLaunches &Siblings) {
  Millis RunTime = std::max({Siblings.Spec.Estimate, Siblings.Expected,
                             Siblings.MedianTime.value_or(Millis{0})});
  if (measuredProgress(Launch) != 0) {
    RunTime = std::max(RunTime, estimateTotalTime(Launch));
    return StallTimeout + RunTime / 20;
  }
  const auto StallsIt =
      Dispatch.StallsAtStart.find(stallKeyOf(Launch, Siblings.Spec));
  const std::uint32_t Doublings =
      StallsIt == Dispatch.StallsAtStart.end()
          ? 0
          : std::min(StallsIt->second, MaxStallDoublings);
  return StallTimeout * (1U << Doublings) + RunTime / 20;
}

/// Returns when the task last made progress. While it was paced it could not.
Instant progressSince(const TaskLaunch &Launch) {
  return std::max(Launch.ProgressAt, Launch.PaceAt);
}

bool hasStartedUp(const TaskLaunch &Launch, const StepSpec &Spec) {
  return Spec.IsLongRunning && Launch.ProgressPercent >= 100;
}

bool hasStalled(const DispatchState &Dispatch, const TaskLaunch &Launch,
                const StepLaunches &Siblings, Instant Now) {
  return hasComparableProgress(Launch, Siblings.Spec) &&
         !hasStartedUp(Launch, Siblings.Spec) &&
         Now - progressSince(Launch) > stallTimeout(Dispatch, Launch, Siblings);
}

/// Finds the member of a stalled gang that was the first to make no progress.
/// The members wait for each other, so a gang has stalled only if all members
/// run, are listed at full pace and make no progress.
/// @return The member, or null if the gang has not stalled.
const TaskLaunch *findStalledMember(const DispatchState &Dispatch,
                                    const StepLaunches &Gang, Instant Now) {
  if (!Gang.Spec.IsGang || isGangBroken(Gang) || Gang.Launches.empty() ||
      Gang.Launches.size() != Gang.Step.Tasks.size()) {
    return nullptr;
  }
  const TaskLaunch *First = nullptr;
  bool HaveStartedUp = true;
  for (const TaskLaunch *Launch : Gang.Launches) {
    const auto SessionIt = Dispatch.Sessions.find(Launch->Assignment.Worker);
    const bool IsWorkerSilent = SessionIt == Dispatch.Sessions.end() ||
                                SessionIt->second.ConsecutiveMisses != 0;
    if (IsWorkerSilent || Launch->IsEndProposed ||
        !isListedAtFullPace(*Launch) ||
        Now - progressSince(*Launch) <= stallTimeout(Dispatch, *Launch, Gang)) {
      return nullptr;
    }
    HaveStartedUp = HaveStartedUp && hasStartedUp(*Launch, Gang.Spec);
    if (First == nullptr || progressSince(*Launch) < progressSince(*First)) {
      First = Launch;
    }
  }
  return HaveStartedUp ? nullptr : First;
}

/// Tells whether a slow task would finish much sooner if it was restarted on
/// another worker.
bool shouldMigrate(const TaskLaunch &Launch, const StepLaunches &Siblings,
                   Instant Now) {
  if (!Siblings.MedianTime || !hasSpeedSample(Launch, Siblings.Spec) ||
      estimateRemainingTime(Launch, Now) < MinRemainingToMigrate) {
    return false;
  }
  const Millis RestartTime =
      (Siblings.Spec.IsCheckpointed
           ? *Siblings.MedianTime * (100 - Launch.ProgressPercent) / 100
           : *Siblings.MedianTime) +
      MigrationDelay;
  return static_cast<double>(estimateRemainingTime(Launch, Now).count()) >
         static_cast<double>(RestartTime.count()) * MigrateFactor;
}

/// Tells whether a task is to be evicted from a draining worker: it is
/// long-running, or will not finish before the worker exits.
bool mustEvict(const CellState &State, const TaskLaunch &Launch,
               const StepSpec &Spec, const WorkerSession &Session,
               Instant Now) {
  const WorkerInstance *Worker = State.Workers.find(Launch.Assignment.Worker);
  if (Worker == nullptr || !Worker->Report.IsDraining ||
      Launch.Phase != LaunchPhase::Confirmed || Spec.IsGang) {
    return false;
  }
  if (Spec.IsLongRunning) {
    return true;
  }
  if (Session.Sequence == 0) {
    return false; // The time until the exit is known from the next report.
  }
  const Millis TimeToExit = Session.Remaining - (Now - Session.ReportedAt);
  const Millis Needed = hasSpeedSample(Launch, Spec)
                            ? estimateRemainingTime(Launch, Now)
                            : Launch.StartedAt + Spec.Estimate - Now;
  return Needed > std::max(TimeToExit, Millis{0});
}

/// Tells whether the end of a task is overdue and the renewal that should
/// report it may be lost.
bool needsProbe(const DispatchState &Dispatch, const TaskLaunch &Launch,
                const StepLaunches &Siblings, const WorkerSession &Session,
                Instant Now) {
  return Dispatch.LastMissAt != Instant{} &&
         Now - Dispatch.LastMissAt < OrderLossWindow &&
         !Siblings.Spec.IsLongRunning && !Launch.IsProbed &&
         !Launch.IsEndProposed && Launch.Phase == LaunchPhase::Confirmed &&
         Session.RenewalOrder != 0 &&
         Now - Session.RenewalSentAt >= ProbeSlack &&
         Now - Launch.StartedAt >= Siblings.Expected + ProbeSlack;
}

/// Logs the times that decided about the migration of a task.
void logMigration(DispatchState &Dispatch, const CellState &State,
                  const TaskLaunch &Launch, const StepLaunches &Siblings,
                  Instant Now) {
  const TaskAssignment &Slow = Launch.Assignment;
  Dispatch.Events.push_back(
      "event=slow " + describeStart(nameTask(State, Slow.Key), Slow.Attempt) +
      " worker=" + workerName(State, Slow.Worker) +
      " percent=" + std::to_string(Launch.ProgressPercent) + " remaining_ms=" +
      std::to_string(estimateRemainingTime(Launch, Now).count()) +
      " median_ms=" + std::to_string(Siblings.MedianTime->count()) +
      " expected_ms=" + std::to_string(Siblings.Expected.count()));
}

/// Stops a stalled attempt.
/// @param IsFirst The attempt is the cause as far as is known, so that its
/// worker is backed off.
void stopStalled(DispatchState &Dispatch, const CellState &State,
                 TaskLaunch &Launch, const StepLaunches &Siblings, bool IsFirst,
                 Instant Now) {
  if (IsFirst) {
    Dispatch.Sessions[Launch.Assignment.Worker].BackoffUntil =
        Now + StalledBackoff;
  }
  if (IsFirst && Launch.StopSentAt == Instant{}) {
    const TaskAssignment &Stalled = Launch.Assignment;
    Dispatch.Events.push_back(
        "event=stalled " +
        describeStart(nameTask(State, Stalled.Key), Stalled.Attempt) +
        " worker=" + workerName(State, Stalled.Worker) +
        " percent=" + std::to_string(Launch.ProgressPercent) + " since_ms=" +
        std::to_string((Now - progressSince(Launch)).count()) + " timeout_ms=" +
        std::to_string(stallTimeout(Dispatch, Launch, Siblings).count()));
    if (measuredProgress(Launch) == 0) {
      Dispatch.StallsAtStart[stallKeyOf(Launch, Siblings.Spec)] += 1;
    }
  }
  sendStop(Dispatch, State, Launch, "no-progress", Now);
}

void reviewLaunch(DispatchState &Dispatch, const CellState &State,
                  TaskLaunch &Launch, const StepLaunches &Siblings,
                  Instant Now) {
  const JobPhase Phase = Siblings.Owner.Phase;
  WorkerSession &Session = Dispatch.Sessions[Launch.Assignment.Worker];
  if (isTerminal(Phase)) {
    sendStop(Dispatch, State, Launch, nameOf(Phase), Now);
  } else if (isGangBroken(Siblings)) {
    sendStop(Dispatch, State, Launch, "gang-broken", Now);
  } else if (mustEvict(State, Launch, Siblings.Spec, Session, Now)) {
    sendStop(Dispatch, State, Launch, "worker-drains", Now);
  } else if (Siblings.StalledMember != nullptr) {
    stopStalled(Dispatch, State, Launch, Siblings,
                &Launch == Siblings.StalledMember, Now);
  } else if (hasStalled(Dispatch, Launch, Siblings, Now)) {
    stopStalled(Dispatch, State, Launch, Siblings, true, Now);
  } else if (shouldMigrate(Launch, Siblings, Now)) {
    Session.BackoffUntil = Now + StalledBackoff;
    if (Launch.StopSentAt == Instant{}) {
      logMigration(Dispatch, State, Launch, Siblings, Now);
    }
    sendStop(Dispatch, State, Launch, "slow", Now);
  } else if (needsProbe(Dispatch, Launch, Siblings, Session, Now)) {
    Launch.IsProbed = true;
    Session.NeedsProbe = true;
    Dispatch.TouchedWorkers.insert(Launch.Assignment.Worker);
  }
}

/// Reviews the launches of one step.
/// @param First Launch of the step with the lowest key.
/// @param NeedsPacing Receives workers with services that have a tail latency
/// limit, or with paced tasks.
/// @return The first launch after the step.
LaunchIterator reviewStep(DispatchState &Dispatch, const CellState &State,
                          LaunchIterator First,
                          std::set<WorkerInstanceId> &NeedsPacing,
                          Instant Now) {
  const StepKey Key{First->first.Job, First->first.Run, First->first.Step};
  const Job *Owner = State.Jobs.find(Key.Job);
  const JobRun *Run = Owner == nullptr ? nullptr : findRun(*Owner, Key.Run);
  std::vector<TaskLaunch *> Launches;
  LaunchIterator LaunchIt = First;
  for (; LaunchIt != Dispatch.Launches.end(); ++LaunchIt) {
    const TaskKey &Task = LaunchIt->first;
    if (StepKey{Task.Job, Task.Run, Task.Step} != Key) {
      break;
    }
    Launches.push_back(&LaunchIt->second);
  }
  if (Run == nullptr) {
    return LaunchIt;
  }
  StepLaunches Siblings{*Owner,
                        Owner->Spec.Steps[Key.Step],
                        Run->Steps[Key.Step],
                        std::move(Launches),
                        std::nullopt,
                        {},
                        nullptr};
  Siblings.MedianTime = medianTime(Dispatch, Key, Siblings);
  Siblings.Expected = expectedStepTime(Dispatch, Key, Siblings.Spec);
  Siblings.StalledMember = findStalledMember(Dispatch, Siblings, Now);
  const bool HasTailLimit = Siblings.Spec.IsLongRunning &&
                            Siblings.Spec.TailLatencyLimit.count() != 0;
  for (TaskLaunch *Launch : Siblings.Launches) {
    reviewLaunch(Dispatch, State, *Launch, Siblings, Now);
    if (HasTailLimit || Launch->PacePercent < 100 ||
        isPaceInDoubt(*Launch, Now)) {
      NeedsPacing.insert(Launch->Assignment.Worker);
    }
  }
  return LaunchIt;
}

/// Checks the tail latencies of the services on a worker.
/// @param IsOverLimit Receives whether a tail latency has exceeded its limit
/// for `ViolationDelay`.
/// @param IsTailRecovered Receives whether all tail latencies are below
/// `RecoveredTailPercent` of their limits.
void checkTailLatency(DispatchState &Dispatch, const CellState &State,
                      WorkerSession &Session, Instant Now, bool &IsOverLimit,
                      bool &IsTailRecovered) {
  IsOverLimit = false;
  IsTailRecovered = true;
  for (const TaskKey &Key : Session.Tasks) {
    TaskLaunch &Launch = Dispatch.Launches.at(Key);
    const StepSpec &Spec = specOf(State, Key);
    if (!Spec.IsLongRunning || Spec.TailLatencyLimit.count() == 0) {
      continue;
    }
    const std::int64_t Limit = Spec.TailLatencyLimit.count();
    // A new leader does not know the tail latency before the first list.
    IsTailRecovered = IsTailRecovered &&
                      Launch.Phase != LaunchPhase::Recovered &&
                      Launch.Gauge * 100 < Limit * RecoveredTailPercent;
    if (Launch.Gauge <= Limit) {
      Launch.OverLimitSince = Instant{};
    } else if (Launch.OverLimitSince == Instant{}) {
      Launch.OverLimitSince = Now;
    }
    IsOverLimit =
        IsOverLimit || (Launch.OverLimitSince != Instant{} &&
                        Now - Launch.OverLimitSince >= ViolationDelay);
  }
}

/// Limits the CPU share of batch tasks on a worker until the tail latencies of
/// its services have recovered.
/// @param Resets Number of paces that may still be set again in this review.
void paceBatchTasks(DispatchState &Dispatch, const CellState &State,
                    WorkerSession &Session, std::size_t &Resets, Instant Now) {
  bool IsOverLimit = false;
  bool IsTailRecovered = true;
  checkTailLatency(Dispatch, State, Session, Now, IsOverLimit, IsTailRecovered);
  Session.HasLatencyViolation =
      IsOverLimit || (Session.HasLatencyViolation && !IsTailRecovered);
  for (const TaskKey &Key : Session.Tasks) {
    TaskLaunch &Launch = Dispatch.Launches.at(Key);
    const bool IsBatchTask = !specOf(State, Key).IsLongRunning &&
                             Launch.Phase == LaunchPhase::Confirmed;
    if (!IsBatchTask ||
        (Launch.PaceAt != Instant{} && Now - Launch.PaceAt < MinPaceInterval)) {
      continue;
    }
    std::uint32_t Percent = Launch.PacePercent;
    if (IsOverLimit) {
      Percent = Percent > ReducedPacePercent ? ReducedPacePercent : 0;
    } else if (IsTailRecovered) {
      Percent = Percent < ReducedPacePercent ? ReducedPacePercent : 100;
    }
    const bool IsReset = Percent == Launch.PacePercent &&
                         isPaceInDoubt(Launch, Now) &&
                         (Percent < 100 || IsTailRecovered) && Resets != 0;
    if (IsReset) {
      Resets -= 1;
      Launch.IsPaceKnown = false;
      if (Now >= Launch.PaceDoubtfulUntil) {
        Launch.PaceDoubtfulUntil = Instant{};
      }
    }
    if (IsReset || Percent != Launch.PacePercent) {
      sendPace(Dispatch, State, Launch, Percent, Now);
    }
  }
}

} // namespace

void reviewLaunches(DispatchState &Dispatch, const CellState &State,
                    Instant Now) {
  std::set<WorkerInstanceId> NeedsPacing;
  for (auto LaunchIt = Dispatch.Launches.begin();
       LaunchIt != Dispatch.Launches.end();) {
    LaunchIt = reviewStep(Dispatch, State, LaunchIt, NeedsPacing, Now);
  }
  std::size_t Resets = MaxPaceResets;
  for (auto &[Id, Session] : Dispatch.Sessions) {
    if (Session.HasLatencyViolation || NeedsPacing.contains(Id)) {
      paceBatchTasks(Dispatch, State, Session, Resets, Now);
    }
  }
}

} // namespace mulberryramp
