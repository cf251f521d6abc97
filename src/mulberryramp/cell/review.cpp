#include "mulberryramp/cell/review.hpp"

#include "mulberryramp/cell/orders.hpp"

#include <algorithm>
#include <optional>

namespace mulberryramp {

namespace {

/// Progress of a task that works rises within this time.
constexpr Millis StallTimeout{2500};
/// How long a worker on which tasks stood still or crept is left alone.
constexpr Millis StalledBackoff{3000};
/// A task is moved only if it would take longer than this where it is,
constexpr Millis MinRemainingToMigrate{1500};
/// and this many times as long as anew elsewhere.
constexpr double MigrateFactor = 2.5;
/// Like tasks that a speed is compared with, at least.
constexpr std::size_t MinSampleTasks = 3;
/// Time until a moved task runs again.
constexpr Millis MigrationDelay{400};
/// While orders get lost, an end that has not come so long after it was due is
/// looked for, since the hold that waits for it may be lost.
constexpr Millis ProbeSlack{100};
/// Listings closer to the start tell too little.
constexpr Millis MinSampleRuntime{600};
/// A tail over its limit for this long is taken as lasting.
constexpr Millis OverLimitFor{600};
/// Between changes of the pace of what disturbs.
constexpr Millis PaceEvery{1000};
/// Pace of what disturbs, at first; it stops if that does not help.
constexpr std::uint32_t ReducedPacePercent = 30;
/// Share of its limit below which a tail lets others go on, in percent.
constexpr std::int64_t RecoveredTailPercent = 70;

using LaunchIterator = std::map<TaskKey, TaskLaunch>::iterator;

const StepSpec &specOf(const CellState &State, const TaskKey &Key) {
  return State.Jobs[Key.Job].Spec.Steps[Key.Step];
}

bool isWatched(const TaskLaunch &Launch, const StepSpec &Spec) {
  return Launch.Phase == LaunchPhase::Confirmed &&
         Launch.ListedAt != Instant{} && !Spec.IsGang &&
         Launch.PacePercent == 100;
}

bool hasStalled(const TaskLaunch &Launch, const StepSpec &Spec, Instant Now) {
  const bool IsAtWork = Spec.IsLongRunning && Launch.Percent >= 100;
  return isWatched(Launch, Spec) && !IsAtWork &&
         Now - Launch.ProgressAt > StallTimeout + Spec.Estimate / 20;
}

/// Computes how long a task takes in all at the speed that it showed.
Millis estimateTotalTime(const TaskLaunch &Launch) {
  return (Launch.ProgressAt - Launch.PhaseSince) * 100 /
         std::max<std::int64_t>(Launch.Percent, 1);
}

Millis timeLeft(const TaskLaunch &Launch, Instant Now) {
  return estimateTotalTime(Launch) - (Now - Launch.PhaseSince);
}

bool hasSpeedSample(const TaskLaunch &Launch, const StepSpec &Spec) {
  return isWatched(Launch, Spec) && !Spec.IsLongRunning &&
         Launch.ProgressAt - Launch.PhaseSince >= MinSampleRuntime;
}

/// The launches of one step, which are alike.
struct StepLaunches {
  const Job &Owner;
  const StepSpec &Spec;
  const JobStep &Step;
  std::vector<TaskLaunch *> Launches;
  std::optional<Millis> MedianTime; ///< Time that its tasks take, if it shows.
  Millis Expected{0}; ///< Time that its tasks took, or the estimate.
};

bool isGangBroken(const StepLaunches &Gang) {
  return Gang.Spec.IsGang && Gang.Step.Assigned != Gang.Step.Tasks.size();
}

/// Computes the usual time of a step from times that its tasks show and from
/// those that they took; too few tell nothing.
std::optional<Millis> medianTime(const DispatchState &Dispatch,
                                 const StepKey &Key,
                                 const StepLaunches &Siblings) {
  std::vector<Millis> Times;
  for (const TaskLaunch *Item : Siblings.Launches) {
    if (hasSpeedSample(*Item, Siblings.Spec)) {
      Times.push_back(estimateTotalTime(*Item));
    }
  }
  if (Times.empty()) {
    return std::nullopt;
  }
  const auto Done = Dispatch.Times.find(Key);
  if (Done != Dispatch.Times.end()) {
    Times.insert(Times.end(), Done->second.Count, Done->second.mean());
  }
  if (Times.size() < MinSampleTasks) {
    return std::nullopt;
  }
  const auto Middle =
      Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  return *Middle;
}

bool shouldMigrate(const TaskLaunch &Launch, const StepLaunches &Siblings,
                   Instant Now) {
  if (!Siblings.MedianTime || !hasSpeedSample(Launch, Siblings.Spec) ||
      timeLeft(Launch, Now) < MinRemainingToMigrate) {
    return false;
  }
  const Millis Anew = (Siblings.Spec.IsCheckpointed
                           ? *Siblings.MedianTime * (100 - Launch.Percent) / 100
                           : *Siblings.MedianTime) +
                      MigrationDelay;
  return static_cast<double>(timeLeft(Launch, Now).count()) >
         static_cast<double>(Anew.count()) * MigrateFactor;
}

/// Tells whether a task had better leave a worker that drains.
bool mustEvict(const CellState &State, const TaskLaunch &Launch,
               const StepSpec &Spec, const WorkerSession &Session,
               Instant Now) {
  const WorkerInstance *Worker = State.Workers.find(Launch.Assignment.Worker);
  if (Worker == nullptr || !Worker->Report.IsDraining ||
      Launch.Phase != LaunchPhase::Confirmed || Spec.IsGang) {
    return false;
  }
  const Millis Left = Session.Remaining - (Now - Session.ReportedAt);
  const Millis Needed = hasSpeedSample(Launch, Spec)
                            ? timeLeft(Launch, Now)
                            : Launch.StartedAt + Spec.Estimate - Now;
  return Spec.IsLongRunning || Needed > std::max(Left, Millis{0});
}

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
  } else if (hasStalled(Launch, Siblings.Spec, Now)) {
    Session.BackoffUntil = Now + StalledBackoff;
    sendStop(Dispatch, State, Launch, "no-progress", Now);
  } else if (shouldMigrate(Launch, Siblings, Now)) {
    Session.BackoffUntil = Now + StalledBackoff;
    sendStop(Dispatch, State, Launch, "slow", Now);
  } else if (needsProbe(Dispatch, Launch, Siblings, Session, Now)) {
    Launch.IsProbed = true;
    Session.NeedsProbe = true;
    Dispatch.TouchedWorkers.insert(Launch.Assignment.Worker);
  }
}

/// Reviews the launches of one step.
/// @param First Launch of the step with the lowest key.
/// @param NeedsPacing Receives workers where tails matter or work is paced.
/// @return The first launch behind the step.
LaunchIterator reviewStep(DispatchState &Dispatch, const CellState &State,
                          LaunchIterator First,
                          std::set<WorkerInstanceId> &NeedsPacing,
                          Instant Now) {
  const StepKey Key{First->first.Job, First->first.Run, First->first.Step};
  const Job *Owner = State.Jobs.find(Key.Job);
  const JobRun *Run = Owner == nullptr ? nullptr : findRun(*Owner, Key.Run);
  std::vector<TaskLaunch *> Items;
  LaunchIterator Item = First;
  for (; Item != Dispatch.Launches.end(); ++Item) {
    const TaskKey &Each = Item->first;
    if (StepKey{Each.Job, Each.Run, Each.Step} != Key) {
      break;
    }
    Items.push_back(&Item->second);
  }
  if (Run == nullptr) {
    return Item;
  }
  StepLaunches Siblings{*Owner,
                        Owner->Spec.Steps[Key.Step],
                        Run->Steps[Key.Step],
                        std::move(Items),
                        std::nullopt,
                        {}};
  Siblings.MedianTime = medianTime(Dispatch, Key, Siblings);
  Siblings.Expected = Siblings.Spec.Estimate;
  if (const auto Took = Dispatch.Times.find(Key);
      Took != Dispatch.Times.end()) {
    Siblings.Expected = Took->second.mean();
  }
  const bool AreServing = Siblings.Spec.IsLongRunning &&
                          Siblings.Spec.TailLatencyLimit.count() != 0;
  for (TaskLaunch *Launch : Siblings.Launches) {
    reviewLaunch(Dispatch, State, *Launch, Siblings, Now);
    if (AreServing || Launch->PacePercent < 100) {
      NeedsPacing.insert(Launch->Assignment.Worker);
    }
  }
  return Item;
}

/// Follows the tails of serving tasks on a worker.
/// @return Whether one is over its limit, or near it, for long.
void checkTailLatency(DispatchState &Dispatch, const CellState &State,
                      WorkerSession &Session, Instant Now, bool &IsOver,
                      bool &IsTailRecovered) {
  IsOver = false;
  IsTailRecovered = true;
  for (const TaskKey &Key : Session.Tasks) {
    TaskLaunch &Launch = Dispatch.Launches.at(Key);
    const StepSpec &Spec = specOf(State, Key);
    if (!Spec.IsLongRunning || Spec.TailLatencyLimit.count() == 0) {
      continue;
    }
    const std::int64_t Limit = Spec.TailLatencyLimit.count();
    IsTailRecovered =
        IsTailRecovered && Launch.Gauge * 100 < Limit * RecoveredTailPercent;
    if (Launch.Gauge <= Limit) {
      Launch.OverLimitSince = Instant{};
    } else if (Launch.OverLimitSince == Instant{}) {
      Launch.OverLimitSince = Now;
    }
    IsOver = IsOver || (Launch.OverLimitSince != Instant{} &&
                        Now - Launch.OverLimitSince >= OverLimitFor);
  }
}

/// Paces what fills beside serving tasks until their tails are in bounds.
void paceBatchTasks(DispatchState &Dispatch, const CellState &State,
                    WorkerSession &Session, Instant Now) {
  bool IsOver = false;
  bool IsTailRecovered = true;
  checkTailLatency(Dispatch, State, Session, Now, IsOver, IsTailRecovered);
  Session.HasLatencyViolation =
      IsOver || (Session.HasLatencyViolation && !IsTailRecovered);
  for (const TaskKey &Key : Session.Tasks) {
    TaskLaunch &Launch = Dispatch.Launches.at(Key);
    const bool IsBatchTask = !specOf(State, Key).IsLongRunning &&
                             Launch.Phase == LaunchPhase::Confirmed;
    if (!IsBatchTask ||
        (Launch.PaceAt != Instant{} && Now - Launch.PaceAt < PaceEvery)) {
      continue;
    }
    if (IsOver) {
      sendPace(Dispatch, State, Launch,
               Launch.PacePercent > ReducedPacePercent ? ReducedPacePercent : 0,
               Now);
    } else if (IsTailRecovered && Launch.PacePercent < 100) {
      sendPace(Dispatch, State, Launch,
               Launch.PacePercent < ReducedPacePercent ? ReducedPacePercent
                                                       : 100,
               Now);
    }
  }
}

} // namespace

void reviewLaunches(DispatchState &Dispatch, const CellState &State,
                    Instant Now) {
  std::set<WorkerInstanceId> NeedsPacing;
  for (auto Item = Dispatch.Launches.begin();
       Item != Dispatch.Launches.end();) {
    Item = reviewStep(Dispatch, State, Item, NeedsPacing, Now);
  }
  for (auto &[Id, Session] : Dispatch.Sessions) {
    if (Session.HasLatencyViolation || NeedsPacing.contains(Id)) {
      paceBatchTasks(Dispatch, State, Session, Now);
    }
  }
}

} // namespace mulberryramp
