#include "mulberryramp/cell/worker_choice.hpp"

#include "mulberryramp/cell/crash_attribution.hpp"

#include <algorithm>
#include <limits>

namespace mulberryramp {

namespace {

/// Score penalty, per task on the worker, for a task that may crash it.
constexpr double SuspectCompanyPenalty = 0.2;
/// Score penalty for a worker to hold, if its last start was just now.
constexpr double RecentStartPenalty = 1;
/// A held worker is replaced only if it can no longer be used.
constexpr double HeldWorkerBonus = 100;

} // namespace

WorkerChoice::WorkerChoice(const DispatchState &Dispatch,
                           const CellState &State, SchedulableWorkers &Workers,
                           const TrialHolds &Holds, Instant Now)
    : Dispatch{Dispatch}, State{State}, Workers{Workers}, Holds{Holds},
      Now{Now} {}

WorkerSnapshot *WorkerChoice::pickBest(const PlacedStep &Placed,
                                       const JobTask *Task, CrashRisk Risk,
                                       PickPurpose Purpose) {
  const bool IsHold = Purpose != PickPurpose::Start;
  const Resources Need = requiredResources(Placed.Spec);
  WorkerSnapshot *Best = nullptr;
  double BestScore = std::numeric_limits<double>::max();
  const auto Consider = [&](WorkerSnapshot &Snapshot) {
    if (!fitsIn(Need, Snapshot.Available) ||
        (Placed.Rack != nullptr &&
         Snapshot.Instance->Report.Rack != *Placed.Rack) ||
        isAtMaxPerWorker(Placed.Spec, Snapshot, Placed.Counts) ||
        !(IsHold
              ? canHoldFor(Snapshot, Placed, Risk, Purpose == PickPurpose::Hold)
              : canStartOn(Snapshot, Placed, Risk))) {
      return;
    }
    double Score = scoreWorker(Snapshot, Placed.Spec, Need, Task);
    if (Risk != CrashRisk::None) {
      Score += SuspectCompanyPenalty * Snapshot.Instance->Tasks;
    }
    Score += IsHold ? holdPenalty(Snapshot) : 0;
    if (Score < BestScore) {
      BestScore = Score;
      Best = &Snapshot;
    }
  };
  if (Placed.Advice == nullptr) {
    std::for_each(Workers.Rows.begin(), Workers.Rows.end(), Consider);
    return Best;
  }
  for (const auto &[Worker, Admission] : Placed.Advice->Admitted) {
    // A ticket is renewed while its worker is held.
    WorkerSnapshot *Snapshot = IsHold || Now < Admission.ExpiresAt
                                   ? findSnapshot(Workers, Worker)
                                   : nullptr;
    if (Snapshot != nullptr) {
      Consider(*Snapshot);
    }
  }
  return Best;
}

void WorkerChoice::noteTrial(const WorkerSnapshot &Snapshot) {
  trialsIn(Snapshot.Instance->Report.Rack, Racks, Now).Affected += 1;
}

bool WorkerChoice::canStartOn(const WorkerSnapshot &Snapshot,
                              const PlacedStep &Placed, CrashRisk Risk) {
  return isFeasible(Snapshot, Placed.Owner, Placed.Spec, Now) &&
         (Risk == CrashRisk::None ? Snapshot.Hold != TrialHoldState::ForThisStep
                                  : Now >= Snapshot.QuietAt) &&
         (Risk != CrashRisk::Trial ||
          canBeginTrialOn(Snapshot, Racks, Now,
                          Holds.heldBeside(Snapshot, false)));
}

bool WorkerChoice::canHoldFor(const WorkerSnapshot &Snapshot,
                              const PlacedStep &Placed, CrashRisk Risk,
                              bool IsContended) {
  if ((IsContended && !Holds.canHold(Snapshot, Placed.Spec.IsGang)) ||
      !isFeasibleWhenOpen(Snapshot, Placed.Owner, Placed.Spec, Now)) {
    return false;
  }
  const std::size_t Held = IsContended ? Holds.heldBeside(Snapshot, true) : 0;
  return Risk != CrashRisk::Trial ||
         canBeginTrialOn(Snapshot, RacksAfterWindow, Now + SuspectWindow, Held);
}

double WorkerChoice::holdPenalty(const WorkerSnapshot &Snapshot) const {
  if (Snapshot.Hold == TrialHoldState::ForThisStep) {
    return -HeldWorkerBonus;
  }
  const Millis Remaining = std::max(Millis{0}, Snapshot.QuietAt - Now);
  return RecentStartPenalty * static_cast<double>(Remaining.count()) /
         static_cast<double>(SuspectWindow.count());
}

bool WorkerChoice::canBeginTrialOn(const WorkerSnapshot &Snapshot,
                                   LazyRackTrials &Known, Instant At,
                                   std::size_t Held) const {
  RackTrials Trials = trialsIn(Snapshot.Instance->Report.Rack, Known, At);
  Trials.Affected += Held;
  return canBeginTrial(Trials);
}

RackTrials &WorkerChoice::trialsIn(const std::string &Rack,
                                   LazyRackTrials &Known, Instant At) const {
  if (!Known) {
    Known = collectRackTrials(Dispatch, State, At);
  }
  return (*Known)[Rack];
}

} // namespace mulberryramp
