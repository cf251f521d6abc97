#pragma once

#include "mulberryramp/cell/schedulable_workers.hpp"
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

/// @brief Chooses workers during one planning pass.
class WorkerChoice {
public:
  /// @param Workers Workers of the pass; kept by reference.
  WorkerChoice(const DispatchState &Dispatch, const CellState &State,
               SchedulableWorkers &Workers, Instant Now);

  /// @brief Chooses the worker with the lowest score for a task.
  /// @return The worker, or null if the task may start on none.
  [[nodiscard]] WorkerSnapshot *pickBest(const PlacedStep &Placed,
                                         const JobTask &Task, CrashRisk Risk);

  /// @brief Notes that a trial begins on a worker.
  void noteTrial(const WorkerSnapshot &Snapshot);

private:
  /// Tells whether a task may start on a worker with room for it.
  bool canStartOn(const WorkerSnapshot &Snapshot, const PlacedStep &Placed,
                  CrashRisk Risk);
  RackTrials &trialsIn(const std::string &Rack);

  const DispatchState &Dispatch;
  const CellState &State;
  SchedulableWorkers &Workers;
  Instant Now;
  /// Trials by rack; collected when first needed, as most passes have none.
  std::optional<std::map<std::string, RackTrials>> Racks;
};

} // namespace mulberryramp
