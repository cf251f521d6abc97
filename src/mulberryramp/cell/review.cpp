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

bool isWatched(const TaskLaunch &Item, const StepSpec &Spec) {
  return Item.Phase == LaunchPhase::Confirmed && Item.ListedAt != Instant{} &&
         !Spec.IsGang && Item.Pace == 100;
}

bool hasStalled(const TaskLaunch &Item, const StepSpec &Spec, Instant Now) {
  const bool IsAtWork = Spec.IsLongRunning && Item.Percent >= 100;
  return isWatched(Item, Spec) && !IsAtWork &&
         Now - Item.ProgressAt > StallTimeout + Spec.Estimate / 20;
}

/// Computes how long a task takes in all at the speed that it showed.
Millis estimateTotalTime(const TaskLaunch &Item) {
  return (Item.ProgressAt - Item.Since) * 100 /
         std::max<std::int64_t>(Item.Percent, 1);
}

Millis timeLeft(const TaskLaunch &Item, Instant Now) {
  return estimateTotalTime(Item) - (Now - Item.Since);
}

bool hasSpeedSample(const TaskLaunch &Item, const StepSpec &Spec) {
  return isWatched(Item, Spec) && !Spec.IsLongRunning &&
         Item.ProgressAt - Item.Since >= MinSampleRuntime;
}

/// The launches of one step, which are alike.
struct StepLaunches {
  const Job &Owner;
  const StepSpec &Spec;
  const JobStep &Step;
  std::vector<TaskLaunch *> Items;
  std::optional<Millis> Usual; ///< Time that its tasks take, if it shows.
  Millis Expected{0};          ///< Time that its tasks took, or the estimate.
};

bool isGangBroken(const StepLaunches &Gang) {
  return Gang.Spec.IsGang && Gang.Step.Assigned != Gang.Step.Tasks.size();
}

/// Computes the usual time of a step from times that its tasks show and from
/// those that they took; too few tell nothing.
std::optional<Millis> medianTime(const DispatchState &Dispatch,
                                 const StepKey &Key, const StepLaunches &Like) {
  std::vector<Millis> Times;
  for (const TaskLaunch *Item : Like.Items) {
    if (hasSpeedSample(*Item, Like.Spec)) {
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

bool shouldMigrate(const TaskLaunch &Item, const StepLaunches &Like,
                   Instant Now) {
  if (!Like.Usual || !hasSpeedSample(Item, Like.Spec) ||
      timeLeft(Item, Now) < MinRemainingToMigrate) {
    return false;
  }
  const Millis Anew =
      (Like.Spec.IsCheckpointed ? *Like.Usual * (100 - Item.Percent) / 100
                                : *Like.Usual) +
      MigrationDelay;
  return static_cast<double>(timeLeft(Item, Now).count()) >
         static_cast<double>(Anew.count()) * MigrateFactor;
}

/// Tells whether a task had better leave a worker that drains.
bool mustEvict(const CellState &State, const TaskLaunch &Item,
               const StepSpec &Spec, const WorkerSession &Session,
               Instant Now) {
  const WorkerInstance *Worker = State.Workers.find(Item.Item.Worker);
  if (Worker == nullptr || !Worker->Report.IsDraining ||
      Item.Phase != LaunchPhase::Confirmed || Spec.IsGang) {
    return false;
  }
  const Millis Left = Session.Remaining - (Now - Session.ReportedAt);
  const Millis Needed = hasSpeedSample(Item, Spec)
                            ? timeLeft(Item, Now)
                            : Item.StartedAt + Spec.Estimate - Now;
  return Spec.IsLongRunning || Needed > std::max(Left, Millis{0});
}

bool needsProbe(const DispatchState &Dispatch, const TaskLaunch &Item,
                const StepLaunches &Like, const WorkerSession &Session,
                Instant Now) {
  return Dispatch.LostAt != Instant{} &&
         Now - Dispatch.LostAt < OrderLossWindow && !Like.Spec.IsLongRunning &&
         !Item.IsProbed && !Item.IsEndProposed &&
         Item.Phase == LaunchPhase::Confirmed && Session.RenewalOrder != 0 &&
         Now - Session.RenewalSentAt >= ProbeSlack &&
         Now - Item.StartedAt >= Like.Expected + ProbeSlack;
}

void reviewLaunch(DispatchState &Dispatch, const CellState &State,
                  TaskLaunch &Item, const StepLaunches &Like, Instant Now) {
  const JobPhase Phase = Like.Owner.Phase;
  WorkerSession &Session = Dispatch.Sessions[Item.Item.Worker];
  if (isTerminal(Phase)) {
    sendStop(Dispatch, State, Item, nameOf(Phase), Now);
  } else if (isGangBroken(Like)) {
    sendStop(Dispatch, State, Item, "gang-broken", Now);
  } else if (mustEvict(State, Item, Like.Spec, Session, Now)) {
    sendStop(Dispatch, State, Item, "worker-drains", Now);
  } else if (hasStalled(Item, Like.Spec, Now)) {
    Session.BackoffUntil = Now + StalledBackoff;
    sendStop(Dispatch, State, Item, "no-progress", Now);
  } else if (shouldMigrate(Item, Like, Now)) {
    Session.BackoffUntil = Now + StalledBackoff;
    sendStop(Dispatch, State, Item, "slow", Now);
  } else if (needsProbe(Dispatch, Item, Like, Session, Now)) {
    Item.IsProbed = true;
    Session.NeedsProbe = true;
    Dispatch.TouchedWorkers.insert(Item.Item.Worker);
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
  StepLaunches Like{*Owner,
                    Owner->Spec.Steps[Key.Step],
                    Run->Steps[Key.Step],
                    std::move(Items),
                    std::nullopt,
                    {}};
  Like.Usual = medianTime(Dispatch, Key, Like);
  Like.Expected = Like.Spec.Estimate;
  if (const auto Took = Dispatch.Times.find(Key);
      Took != Dispatch.Times.end()) {
    Like.Expected = Took->second.mean();
  }
  const bool AreServing =
      Like.Spec.IsLongRunning && Like.Spec.TailLatencyLimit.count() != 0;
  for (TaskLaunch *Each : Like.Items) {
    reviewLaunch(Dispatch, State, *Each, Like, Now);
    if (AreServing || Each->Pace < 100) {
      NeedsPacing.insert(Each->Item.Worker);
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
    TaskLaunch &Item = Dispatch.Launches.at(Key);
    const StepSpec &Spec = specOf(State, Key);
    if (!Spec.IsLongRunning || Spec.TailLatencyLimit.count() == 0) {
      continue;
    }
    const std::int64_t Limit = Spec.TailLatencyLimit.count();
    IsTailRecovered =
        IsTailRecovered && Item.Gauge * 100 < Limit * RecoveredTailPercent;
    if (Item.Gauge <= Limit) {
      Item.OverLimitSince = Instant{};
    } else if (Item.OverLimitSince == Instant{}) {
      Item.OverLimitSince = Now;
    }
    IsOver = IsOver || (Item.OverLimitSince != Instant{} &&
                        Now - Item.OverLimitSince >= OverLimitFor);
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
    TaskLaunch &Item = Dispatch.Launches.at(Key);
    const bool IsBatchTask = !specOf(State, Key).IsLongRunning &&
                             Item.Phase == LaunchPhase::Confirmed;
    if (!IsBatchTask ||
        (Item.PaceAt != Instant{} && Now - Item.PaceAt < PaceEvery)) {
      continue;
    }
    if (IsOver) {
      sendPace(Dispatch, State, Item,
               Item.Pace > ReducedPacePercent ? ReducedPacePercent : 0, Now);
    } else if (IsTailRecovered && Item.Pace < 100) {
      sendPace(Dispatch, State, Item,
               Item.Pace < ReducedPacePercent ? ReducedPacePercent : 100, Now);
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
