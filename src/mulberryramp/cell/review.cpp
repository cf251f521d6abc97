#include "mulberryramp/cell/review.hpp"

#include "mulberryramp/cell/orders.hpp"

#include <algorithm>
#include <optional>

namespace mulberryramp {

namespace {

/// Progress of a task that works rises within this time.
constexpr Millis StandstillAfter{2500};
/// How long a worker on which tasks stood still or crept is left alone.
constexpr Millis AvoidAfterStop{3000};
/// A task is moved only if it would take longer than this where it is,
constexpr Millis LeastWorthMoving{1500};
/// and this many times as long as anew elsewhere.
constexpr double MoveFactor = 2.5;
/// Like tasks that a speed is compared with, at least.
constexpr std::size_t LeastTellingTasks = 3;
/// Time until a moved task runs again.
constexpr Millis MoveTime{400};
/// While orders get lost, an end that has not come so long after it was due is
/// looked for, since the hold that waits for it may be lost.
constexpr Millis LookSlack{100};
/// Listings closer to the start tell too little.
constexpr Millis LeastTellingRun{600};
/// A tail over its limit for this long is taken as lasting.
constexpr Millis OverLimitFor{600};
/// Between changes of the pace of what disturbs.
constexpr Millis PaceEvery{1000};
/// Pace of what disturbs, at first; it stops if that does not help.
constexpr std::uint32_t SlowPace = 30;
/// Share of its limit below which a tail lets others go on, in percent.
constexpr std::int64_t CalmPercent = 70;

using LaunchIterator = std::map<TaskKey, Launch>::iterator;

const StepSpec &specOf(const CellState &State, const TaskKey &Key) {
  return State.Jobs[Key.Job].Spec.Steps[Key.Step];
}

bool isWatched(const Launch &Item, const StepSpec &Spec) {
  return Item.Phase == LaunchPhase::Confirmed && Item.ListedAt != Instant{} &&
         !Spec.IsGang && Item.Pace == 100;
}

bool standsStill(const Launch &Item, const StepSpec &Spec, Instant Now) {
  const bool IsAtWork = Spec.IsLasting && Item.Percent >= 100;
  return isWatched(Item, Spec) && !IsAtWork &&
         Now - Item.ProgressAt > StandstillAfter + Spec.Estimate / 20;
}

/// Computes how long a task takes in all at the speed that it showed.
Millis timeInAll(const Launch &Item) {
  return (Item.ProgressAt - Item.Since) * 100 /
         std::max<std::int64_t>(Item.Percent, 1);
}

Millis timeLeft(const Launch &Item, Instant Now) {
  return timeInAll(Item) - (Now - Item.Since);
}

bool showsItsSpeed(const Launch &Item, const StepSpec &Spec) {
  return isWatched(Item, Spec) && !Spec.IsLasting &&
         Item.ProgressAt - Item.Since >= LeastTellingRun;
}

/// The launches of one step, which are alike.
struct StepLaunches {
  const Job &Owner;
  const StepSpec &Spec;
  const JobStep &Step;
  std::vector<Launch *> Items;
  std::optional<Millis> Usual; ///< Time that its tasks take, if it shows.
  Millis Expected{0};          ///< Time that its tasks took, or the estimate.
};

bool isGangBroken(const StepLaunches &Gang) {
  return Gang.Spec.IsGang && Gang.Step.Assigned != Gang.Step.Tasks.size();
}

/// Computes the usual time of a step from times that its tasks show and from
/// those that they took; too few tell nothing.
std::optional<Millis> usualTime(const Dispatcher &Lead, const StepKey &Key,
                                const StepLaunches &Like) {
  std::vector<Millis> Times;
  for (const Launch *Item : Like.Items) {
    if (showsItsSpeed(*Item, Like.Spec)) {
      Times.push_back(timeInAll(*Item));
    }
  }
  if (Times.empty()) {
    return std::nullopt;
  }
  const auto Done = Lead.Times.find(Key);
  if (Done != Lead.Times.end()) {
    Times.insert(Times.end(), Done->second.Count, Done->second.mean());
  }
  if (Times.size() < LeastTellingTasks) {
    return std::nullopt;
  }
  const auto Middle =
      Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  return *Middle;
}

bool isWorthMoving(const Launch &Item, const StepLaunches &Like, Instant Now) {
  if (!Like.Usual || !showsItsSpeed(Item, Like.Spec) ||
      timeLeft(Item, Now) < LeastWorthMoving) {
    return false;
  }
  const Millis Anew =
      (Like.Spec.SavesProgress ? *Like.Usual * (100 - Item.Percent) / 100
                               : *Like.Usual) +
      MoveTime;
  return static_cast<double>(timeLeft(Item, Now).count()) >
         static_cast<double>(Anew.count()) * MoveFactor;
}

/// Tells whether a task had better leave a worker that drains.
bool hasToLeave(const CellState &State, const Launch &Item,
                const StepSpec &Spec, const WorkerSession &Session,
                Instant Now) {
  const WorkerLife *Worker = State.Workers.find(Item.Item.Worker);
  if (Worker == nullptr || !Worker->Report.IsDraining ||
      Item.Phase != LaunchPhase::Confirmed || Spec.IsGang) {
    return false;
  }
  const Millis Left = Session.Remaining - (Now - Session.ReportedAt);
  const Millis Needed = showsItsSpeed(Item, Spec)
                            ? timeLeft(Item, Now)
                            : Item.StartedAt + Spec.Estimate - Now;
  return Spec.IsLasting || Needed > std::max(Left, Millis{0});
}

bool wantsLook(const Dispatcher &Lead, const Launch &Item,
               const StepLaunches &Like, const WorkerSession &Session,
               Instant Now) {
  return Lead.LostAt != Instant{} && Now - Lead.LostAt < LossTellsFor &&
         !Like.Spec.IsLasting && !Item.IsLookedFor && !Item.IsEndProposed &&
         Item.Phase == LaunchPhase::Confirmed && Session.HoldOrder != 0 &&
         Now - Session.HoldSentAt >= LookSlack &&
         Now - Item.StartedAt >= Like.Expected + LookSlack;
}

void reviewLaunch(Dispatcher &Lead, const CellState &State, Launch &Item,
                  const StepLaunches &Like, Instant Now) {
  const JobPhase Phase = Like.Owner.Phase;
  WorkerSession &Session = Lead.Sessions[Item.Item.Worker];
  if (isOver(Phase)) {
    sendStop(Lead, State, Item, nameOf(Phase), Now);
  } else if (isGangBroken(Like)) {
    sendStop(Lead, State, Item, "gang-broken", Now);
  } else if (hasToLeave(State, Item, Like.Spec, Session, Now)) {
    sendStop(Lead, State, Item, "worker-drains", Now);
  } else if (standsStill(Item, Like.Spec, Now)) {
    Session.AvoidUntil = Now + AvoidAfterStop;
    sendStop(Lead, State, Item, "no-progress", Now);
  } else if (isWorthMoving(Item, Like, Now)) {
    Session.AvoidUntil = Now + AvoidAfterStop;
    sendStop(Lead, State, Item, "slow", Now);
  } else if (wantsLook(Lead, Item, Like, Session, Now)) {
    Item.IsLookedFor = true;
    Session.WantsLook = true;
    Lead.Touched.insert(Item.Item.Worker);
  }
}

/// Reviews the launches of one step.
/// @param First Launch of the step with the lowest key.
/// @param NeedsPacing Receives workers where tails matter or work is paced.
/// @return The first launch behind the step.
LaunchIterator reviewStep(Dispatcher &Lead, const CellState &State,
                          LaunchIterator First, std::set<LifeId> &NeedsPacing,
                          Instant Now) {
  const StepKey Key{First->first.Job, First->first.Run, First->first.Step};
  const Job *Owner = State.Jobs.find(Key.Job);
  const JobRun *Run = Owner == nullptr ? nullptr : findRun(*Owner, Key.Run);
  std::vector<Launch *> Items;
  LaunchIterator Item = First;
  for (; Item != Lead.Launches.end(); ++Item) {
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
  Like.Usual = usualTime(Lead, Key, Like);
  Like.Expected = Like.Spec.Estimate;
  if (const auto Took = Lead.Times.find(Key); Took != Lead.Times.end()) {
    Like.Expected = Took->second.mean();
  }
  const bool AreServing =
      Like.Spec.IsLasting && Like.Spec.TailLimit.count() != 0;
  for (Launch *Each : Like.Items) {
    reviewLaunch(Lead, State, *Each, Like, Now);
    if (AreServing || Each->Pace < 100) {
      NeedsPacing.insert(Each->Item.Worker);
    }
  }
  return Item;
}

/// Follows the tails of serving tasks on a worker.
/// @return Whether one is over its limit, or near it, for long.
void noteTails(Dispatcher &Lead, const CellState &State, WorkerSession &Session,
               Instant Now, bool &IsOver, bool &IsCalm) {
  IsOver = false;
  IsCalm = true;
  for (const TaskKey &Key : Session.Tasks) {
    Launch &Item = Lead.Launches.at(Key);
    const StepSpec &Spec = specOf(State, Key);
    if (!Spec.IsLasting || Spec.TailLimit.count() == 0) {
      continue;
    }
    const std::int64_t Limit = Spec.TailLimit.count();
    IsCalm = IsCalm && Item.Gauge * 100 < Limit * CalmPercent;
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
void paceFillers(Dispatcher &Lead, const CellState &State,
                 WorkerSession &Session, Instant Now) {
  bool IsOver = false;
  bool IsCalm = true;
  noteTails(Lead, State, Session, Now, IsOver, IsCalm);
  Session.IsDisturbed = IsOver || (Session.IsDisturbed && !IsCalm);
  for (const TaskKey &Key : Session.Tasks) {
    Launch &Item = Lead.Launches.at(Key);
    const bool IsFiller =
        !specOf(State, Key).IsLasting && Item.Phase == LaunchPhase::Confirmed;
    if (!IsFiller ||
        (Item.PaceAt != Instant{} && Now - Item.PaceAt < PaceEvery)) {
      continue;
    }
    if (IsOver) {
      sendPace(Lead, State, Item, Item.Pace > SlowPace ? SlowPace : 0, Now);
    } else if (IsCalm && Item.Pace < 100) {
      sendPace(Lead, State, Item, Item.Pace < SlowPace ? SlowPace : 100, Now);
    }
  }
}

} // namespace

void reviewLaunches(Dispatcher &Lead, const CellState &State, Instant Now) {
  std::set<LifeId> NeedsPacing;
  for (auto Item = Lead.Launches.begin(); Item != Lead.Launches.end();) {
    Item = reviewStep(Lead, State, Item, NeedsPacing, Now);
  }
  for (auto &[Id, Session] : Lead.Sessions) {
    if (Session.IsDisturbed || NeedsPacing.contains(Id)) {
      paceFillers(Lead, State, Session, Now);
    }
  }
}

} // namespace mulberryramp
