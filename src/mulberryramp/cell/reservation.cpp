#include "mulberryramp/cell/reservation.hpp"

#include "mulberryramp/cell/run_time.hpp"

#include <algorithm>

namespace mulberryramp {

namespace {

/// A former reservation is replaced only by a slot that is free this much
/// earlier, since the estimates of the ends vary.
constexpr Millis FormerWorkerBonus{1500};
/// A task that runs longer than estimated is expected to need this percentage
/// of its run time so far in addition.
constexpr int OverduePercent = 20;
/// Progress below this percentage is too coarse for an estimate.
constexpr std::uint32_t MinProgressPercent = 5;

Instant expectedEnd(const DispatchState &Dispatch, const TaskLaunch &Launch,
                    const TaskKey &Key, const StepSpec &Spec, Instant Now) {
  const Millis Elapsed = Now - Launch.PhaseSince;
  const Instant End =
      measuredProgress(Launch) >= MinProgressPercent
          ? estimateEnd(Launch)
          : Launch.PhaseSince +
                expectedStepTime(Dispatch, {Key.Job, Key.Run, Key.Step}, Spec);
  return std::max(End, Now + Elapsed * OverduePercent / 100);
}

} // namespace

std::vector<ExpectedSlot>
expectedSlots(WorkerInstanceId Worker, Resources Available,
              std::span<const ExpectedRelease> Releases, const Resources &Need,
              std::size_t MaxTasks, Instant Now) {
  std::vector<ExpectedSlot> Slots;
  const auto AddSlots = [&](Instant At) {
    while (Slots.size() < MaxTasks && fitsIn(Need, Available)) {
      Available -= Need;
      Slots.push_back({At, Worker});
    }
  };
  AddSlots(Now);
  for (const ExpectedRelease &Release : Releases) {
    Available += Release.Freed;
    AddSlots(Release.At);
  }
  return Slots;
}

StepReservation chooseReservation(std::vector<ExpectedSlot> Slots,
                                  std::size_t Tasks,
                                  const std::set<WorkerInstanceId> &Former) {
  StepReservation Reservation;
  if (Slots.size() < Tasks || Tasks == 0) {
    return Reservation;
  }
  const auto Rank = [&Former](const ExpectedSlot &Slot) {
    return Former.contains(Slot.Worker) ? Slot.FreeAt - FormerWorkerBonus
                                        : Slot.FreeAt;
  };
  std::sort(Slots.begin(), Slots.end(),
            [&Rank](const ExpectedSlot &Lhs, const ExpectedSlot &Rhs) {
              return std::pair{Rank(Lhs), Lhs.Worker} <
                     std::pair{Rank(Rhs), Rhs.Worker};
            });
  for (std::size_t Index = 0; Index < Tasks; ++Index) {
    Reservation.Workers.insert(Slots[Index].Worker);
    Reservation.StartsAt = std::max(Reservation.StartsAt, Slots[Index].FreeAt);
  }
  return Reservation;
}

bool needsReservation(const StepSpec &Step,
                      const Resources &Capacity) noexcept {
  const Resources Need = requiredResources(Step);
  return (Step.IsGang && Step.Tasks > 1) ||
         Need.MilliCpus * 2 > Capacity.MilliCpus ||
         Need.MemoryMb * 2 > Capacity.MemoryMb ||
         Need.Accelerators * 2 > Capacity.Accelerators;
}

std::vector<ExpectedRelease> expectedReleases(const DispatchState &Dispatch,
                                              const CellState &State,
                                              const WorkerSession &Session,
                                              Instant Now) {
  std::vector<ExpectedRelease> Releases;
  for (const TaskKey &Key : Session.Tasks) {
    const StepSpec *Found = findStepSpec(State, Key);
    if (Found == nullptr || Found->IsLongRunning) {
      continue;
    }
    const StepSpec &Spec = *Found;
    Releases.push_back(
        {expectedEnd(Dispatch, Dispatch.Launches.at(Key), Key, Spec, Now),
         requiredResources(Spec)});
  }
  std::sort(Releases.begin(), Releases.end(),
            [](const ExpectedRelease &Lhs, const ExpectedRelease &Rhs) {
              return Lhs.At < Rhs.At;
            });
  return Releases;
}

} // namespace mulberryramp
