#include "mulberryramp/cell/worker_choice.hpp"

#include <algorithm>
#include <limits>

namespace mulberryramp {

namespace {

/// Score penalty, per task on the worker, for a task that may crash it.
constexpr double SuspectCompanyPenalty = 0.2;

} // namespace

WorkerChoice::WorkerChoice(const DispatchState &Dispatch,
                           const CellState &State, SchedulableWorkers &Workers,
                           Instant Now)
    : Dispatch{Dispatch}, State{State}, Workers{Workers}, Now{Now} {}

WorkerSnapshot *WorkerChoice::pickBest(const PlacedStep &Placed,
                                       const JobTask &Task, CrashRisk Risk) {
  const Resources Need = requiredResources(Placed.Spec);
  WorkerSnapshot *Best = nullptr;
  double BestScore = std::numeric_limits<double>::max();
  const auto Consider = [&](WorkerSnapshot &Snapshot) {
    if (!fitsIn(Need, Snapshot.Available) ||
        (Placed.Rack != nullptr &&
         Snapshot.Instance->Report.Rack != *Placed.Rack) ||
        isAtMaxPerWorker(Placed.Spec, Snapshot, Placed.Counts) ||
        !canStartOn(Snapshot, Placed, Risk)) {
      return;
    }
    double Score = scoreWorker(Snapshot, Placed.Spec, Need, &Task);
    if (Risk != CrashRisk::None) {
      Score += SuspectCompanyPenalty * Snapshot.Instance->Tasks;
    }
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
    WorkerSnapshot *Snapshot =
        Now < Admission.ExpiresAt ? findSnapshot(Workers, Worker) : nullptr;
    if (Snapshot != nullptr) {
      Consider(*Snapshot);
    }
  }
  return Best;
}

void WorkerChoice::noteTrial(const WorkerSnapshot &Snapshot) {
  trialsIn(Snapshot.Instance->Report.Rack).Affected += 1;
}

bool WorkerChoice::canStartOn(const WorkerSnapshot &Snapshot,
                              const PlacedStep &Placed, CrashRisk Risk) {
  return isFeasible(Snapshot, Placed.Owner, Placed.Spec, Now) &&
         (Risk == CrashRisk::None || !Snapshot.HasRecentStart) &&
         (Risk != CrashRisk::Trial ||
          canBeginTrial(trialsIn(Snapshot.Instance->Report.Rack)));
}

RackTrials &WorkerChoice::trialsIn(const std::string &Rack) {
  if (!Racks) {
    Racks = collectRackTrials(Dispatch, State, Now);
  }
  return (*Racks)[Rack];
}

} // namespace mulberryramp
