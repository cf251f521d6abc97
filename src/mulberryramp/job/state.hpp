#pragma once

#include "mulberryramp/core/table.hpp"
#include "mulberryramp/job/command.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace mulberryramp {

/// @brief Replicated state of a cell: configuration, workers and jobs.
struct CellState {
  CellConfiguration Configuration;
  Table<WorkerInstance> Workers;
  Table<Job> Jobs;
  std::map<std::string, JobId, std::less<>> JobNames; ///< Derived.
  std::map<std::string, WorkerInstanceId, std::less<>>
      WorkerNames;                ///< Derived.
  std::set<JobId> UnfinishedJobs; ///< Derived: those that are not over.

  static constexpr auto fields() {
    return std::make_tuple(&CellState::Configuration, &CellState::Workers,
                           &CellState::Jobs);
  }
};

/// @brief What a command did.
struct CellChange {
  std::vector<TaskAssignment> Started; ///< Grants that took effect.
  std::vector<TaskEnd> Ended;          ///< Ends that took effect.
  std::vector<JobId> FinishedJobs;     ///< Jobs that it ended.
  JobId Job;                           ///< Job that it names, if known.
  WorkerInstanceId Worker;             ///< Worker that it added.
  std::vector<WorkerInstanceId>
      WorkersToReconcile; ///< Workers that may run more than is noted.
  WorkerInstanceId
      ReplacedInstance; ///< Life that the added one takes over from.
};

/// @brief Applies a command; the outcome depends on the state alone.
/// @param State The state.
/// @param Item The command.
/// @return What changed.
CellChange applyCommand(CellState &State, const CellCommand &Item);

/// @brief Rebuilds what is derived, after a snapshot was read.
void rebuildIndex(CellState &State);

/// @brief Finds a job by its name.
[[nodiscard]] JobId findJob(const CellState &State, std::string_view Name);

/// @brief Finds the present life of a worker.
[[nodiscard]] WorkerInstanceId findWorker(const CellState &State,
                                          std::string_view Name);

/// @brief Finds a task.
/// @return The task, or null if its run is done or its job forgotten.
[[nodiscard]] const JobTask *findTask(const CellState &State,
                                      const TaskKey &Key) noexcept;

/// @brief Computes what a task takes from its worker.
[[nodiscard]] Resources requiredResources(const StepSpec &Step) noexcept;

/// @brief Computes what a worker has left.
[[nodiscard]] Resources
availableResources(const WorkerInstance &Worker) noexcept;

} // namespace mulberryramp
