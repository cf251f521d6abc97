#pragma once

#include "mulberryramp/cell/schedulable_workers.hpp"
#include "mulberryramp/cell/trial_holds.hpp"
#include "mulberryramp/cell/trials.hpp"

#include <map>
#include <optional>
#include <string>

/// @file
/// @brief The choice of a worker for a task.

namespace mulberryramp {

/// @brief A step whose tasks are being placed.
struct PlacedStep {
  const Job &Owner;
  const StepSpec &Spec;
  const StepAdvice *Advice;          ///< Null if the step needs none.
  const TaskCounts &Counts;          ///< Tasks of the step on each worker.
  const std::string *Rack = nullptr; ///< Required rack, or null for any.
};

/// @brief What a worker is chosen for.
enum class PickPurpose : std::uint8_t {
  Start,
  Hold,               ///< It is to be held until a suspect can start there.
  HoldUnlessContended ///< As `Hold`, if nothing were held for other steps.
};

/// @brief Chooses workers during one planning pass.
class WorkerChoice {
public:
  /// @param Workers Workers of the pass; kept by reference.
  /// @param Holds Holds of the pass; kept by reference.
  WorkerChoice(const DispatchState &Dispatch, const CellState &State,
               SchedulableWorkers &Workers, const TrialHolds &Holds,
               Instant Now);

  /// @brief Chooses the worker with the lowest score for a task.
  /// @param Task The task, or null if it is not yet chosen.
  /// @return The worker, or null if there is none.
  [[nodiscard]] WorkerSnapshot *pickBest(const PlacedStep &Placed,
                                         const JobTask *Task, CrashRisk Risk,
                                         PickPurpose Purpose);

  /// @brief Notes that a trial begins on a worker.
  void noteTrial(const WorkerSnapshot &Snapshot);

private:
  /// Tells whether a task may start on a worker with room for it.
  bool canStartOn(const WorkerSnapshot &Snapshot, const PlacedStep &Placed,
                  CrashRisk Risk);
  /// Tells whether a worker with room for a suspect may be held for it, so that
  /// it can start there within `SuspectWindow`.
  /// @param IsContended Considers what is held for other steps.
  bool canHoldFor(const WorkerSnapshot &Snapshot, const PlacedStep &Placed,
                  CrashRisk Risk, bool IsContended);
  [[nodiscard]] double holdPenalty(const WorkerSnapshot &Snapshot) const;
  /// Trials by rack; collected when first needed, as most passes have none.
  using LazyRackTrials = std::optional<std::map<std::string, RackTrials>>;
  /// Tells whether a trial may begin on a worker at a point in time.
  /// @param Known Trials in all racks at that time.
  /// @param Held Further trials for which workers of the rack are held.
  bool canBeginTrialOn(const WorkerSnapshot &Snapshot, LazyRackTrials &Known,
                       Instant At, std::size_t Held) const;
  RackTrials &trialsIn(const std::string &Rack, LazyRackTrials &Known,
                       Instant At) const;

  const DispatchState &Dispatch;
  const CellState &State;
  SchedulableWorkers &Workers;
  const TrialHolds &Holds;
  Instant Now;
  LazyRackTrials Racks;            ///< Now.
  LazyRackTrials RacksAfterWindow; ///< After `SuspectWindow`.
};

} // namespace mulberryramp
