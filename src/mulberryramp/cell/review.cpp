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

/// Times that like tasks take, as they show or as they took.
class LikeTimes {
public:
  LikeTimes(const Dispatcher &Lead, const CellState &State) : Lead{Lead} {
    for (const auto &[Key, Item] : Lead.Launches) {
      if (findTask(State, Key) != nullptr &&
          showsItsSpeed(Item, specOf(State, Key))) {
        Shown[{Key.Job, Key.Run, Key.Step}].push_back(timeInAll(Item));
      }
    }
  }

  /// Computes the usual time, or nothing if too few tasks tell.
  std::optional<Millis> usual(const StepKey &Step) {
    std::vector<Millis> Times = Shown[Step];
    const auto Done = Lead.Times.find(Step);
    if (Done != Lead.Times.end()) {
      Times.insert(Times.end(), Done->second.Count,
                   Done->second.Total / Done->second.Count);
    }
    if (Times.size() < LeastTellingTasks) {
      return std::nullopt;
    }
    const auto Middle =
        Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
    std::nth_element(Times.begin(), Middle, Times.end());
    return *Middle;
  }

private:
  const Dispatcher &Lead;
  std::map<StepKey, std::vector<Millis>> Shown;
};

bool isWorthMoving(const Launch &Item, const StepSpec &Spec, LikeTimes &Like,
                   Instant Now) {
  if (!showsItsSpeed(Item, Spec) || timeLeft(Item, Now) < LeastWorthMoving) {
    return false;
  }
  const TaskKey &Key = Item.Item.Key;
  const auto Usual = Like.usual({Key.Job, Key.Run, Key.Step});
  if (!Usual) {
    return false;
  }
  const Millis Anew =
      (Spec.SavesProgress ? *Usual * (100 - Item.Percent) / 100 : *Usual) +
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

void reviewLaunch(Dispatcher &Lead, const CellState &State, Launch &Item,
                  LikeTimes &Like, Instant Now) {
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
  } else if (isWorthMoving(Item, Spec, Like, Now)) {
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
  LikeTimes Like{Lead, State};
  for (auto &[Key, Item] : Lead.Launches) {
    if (findTask(State, Key) != nullptr) {
      reviewLaunch(Lead, State, Item, Like, Now);
    }
  }
  for (auto &[Id, Session] : Lead.Sessions) {
    paceFillers(Lead, State, Session, Now);
  }
}

} // namespace mulberryramp
