#include "mulberryramp/cell/review.hpp"

#include "mulberryramp/cell/orders.hpp"

#include <algorithm>

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
/// Time until a moved task runs again.
constexpr Millis MoveTime{400};
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

const StepSpec &specOf(const CellState &State, const TaskKey &Key) {
  return State.Jobs[Key.Job].Spec.Steps[Key.Step];
}

bool isGangBroken(const CellState &State, const TaskKey &Key) {
  const Job &Owner = State.Jobs[Key.Job];
  if (!Owner.Spec.Steps[Key.Step].IsGang) {
    return false;
  }
  const JobStep &Step = findRun(Owner, Key.Run)->Steps[Key.Step];
  return Step.Assigned != Step.Tasks.size();
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

/// Computes how long a task will go on at the speed that it showed.
Millis timeLeft(const Launch &Item, Instant Now) {
  const auto Worked = (Item.ProgressAt - Item.Since).count();
  const std::int64_t Done = std::max<std::int64_t>(Item.Percent, 1);
  return Millis{Worked * (100 - Done) / Done} - (Now - Item.ProgressAt);
}

bool isWorthMoving(const Launch &Item, const StepSpec &Spec, Instant Now) {
  if (!isWatched(Item, Spec) || Spec.IsLasting ||
      Item.ProgressAt - Item.Since < LeastTellingRun) {
    return false;
  }
  const Millis Anew =
      (Spec.SavesProgress ? Spec.Estimate * (100 - Item.Percent) / 100
                          : Spec.Estimate) +
      MoveTime;
  const Millis Left = timeLeft(Item, Now);
  return Left > LeastWorthMoving &&
         static_cast<double>(Left.count()) >
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
  return Spec.IsLasting ||
         Item.StartedAt + Spec.Estimate - Now > std::max(Left, Millis{0});
}

void reviewLaunch(Dispatcher &Lead, const CellState &State, Launch &Item,
                  Instant Now) {
  const TaskKey &Key = Item.Item.Key;
  const StepSpec &Spec = specOf(State, Key);
  WorkerSession &Session = Lead.Sessions[Item.Item.Worker];
  const JobPhase Phase = State.Jobs[Key.Job].Phase;
  if (isOver(Phase)) {
    sendStop(Lead, State, Item, nameOf(Phase), Now);
  } else if (isGangBroken(State, Key)) {
    sendStop(Lead, State, Item, "gang-broken", Now);
  } else if (hasToLeave(State, Item, Spec, Session, Now)) {
    sendStop(Lead, State, Item, "worker-drains", Now);
  } else if (standsStill(Item, Spec, Now)) {
    Session.AvoidUntil = Now + AvoidAfterStop;
    sendStop(Lead, State, Item, "no-progress", Now);
  } else if (isWorthMoving(Item, Spec, Now)) {
    Session.AvoidUntil = Now + AvoidAfterStop;
    sendStop(Lead, State, Item, "slow", Now);
  }
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
    const bool IsFiller = !specOf(State, Key).IsLasting &&
                          Item.Phase == LaunchPhase::Confirmed;
    if (!IsFiller || (Item.PaceAt != Instant{} && Now - Item.PaceAt < PaceEvery)) {
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
  for (auto &[Key, Item] : Lead.Launches) {
    if (findTask(State, Key) != nullptr) {
      reviewLaunch(Lead, State, Item, Now);
    }
  }
  for (auto &[Id, Session] : Lead.Sessions) {
    paceFillers(Lead, State, Session, Now);
  }
}

} // namespace mulberryramp
