#include "mulberryramp/cell/review.hpp"

#include "mulberryramp/cell/orders.hpp"

namespace mulberryramp {

namespace {

/// Progress of a task that works rises within this time.
constexpr Millis StandstillAfter{3000};

bool isGangBroken(const CellState &State, const TaskKey &Key) {
  const Job &Owner = State.Jobs[Key.Job];
  if (!Owner.Spec.Steps[Key.Step].IsGang) {
    return false;
  }
  const JobStep &Step = findRun(Owner, Key.Run)->Steps[Key.Step];
  return Step.Assigned != Step.Tasks.size();
}

bool standsStill(const Launch &Item, const StepSpec &Spec, Instant Now) {
  const bool IsWatched = Item.Phase == LaunchPhase::Confirmed &&
                         Item.ListedAt != Instant{} && !Spec.IsGang &&
                         Item.Pace != 0;
  const bool IsAtWork = Spec.IsLasting && Item.Percent >= 100;
  return IsWatched && !IsAtWork &&
         Now - Item.ProgressAt > StandstillAfter + Spec.Estimate / 20;
}

} // namespace

void reviewLaunches(Dispatcher &Lead, const CellState &State, Instant Now) {
  for (auto &[Key, Item] : Lead.Launches) {
    const Job *Owner = State.Jobs.find(Key.Job);
    if (Owner == nullptr || findTask(State, Key) == nullptr) {
      continue;
    }
    if (isOver(Owner->Phase)) {
      sendStop(Lead, State, Item, nameOf(Owner->Phase), Now);
    } else if (isGangBroken(State, Key)) {
      sendStop(Lead, State, Item, "gang-broken", Now);
    } else if (standsStill(Item, Owner->Spec.Steps[Key.Step], Now)) {
      Lead.Sessions[Item.Item.Worker].AvoidUntil = Now + StandstillAfter;
      sendStop(Lead, State, Item, "no-progress", Now);
    }
  }
}

} // namespace mulberryramp
