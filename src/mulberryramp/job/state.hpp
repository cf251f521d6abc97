#pragma once

#include "mulberryramp/core/table.hpp"
#include "mulberryramp/job/command.hpp"
#include "mulberryramp/job/organisation_use.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace mulberryramp {

/// @brief Replicated state of a cell: configuration, workers and jobs.
struct CellState {
  CellConfiguration Configuration;
  Table<WorkerInstance> Workers;
  Table<Job> Jobs;
  std::map<std::string, JobId, std::less<>>
      JobNames; ///< Derived: jobs by name.
  std::map<std::string, WorkerInstanceId, std::less<>>
      WorkerNames; ///< Derived: current worker instances by name.
  std::set<JobId> UnfinishedJobs; ///< Derived: jobs that are not terminal.
  /// Derived: index in `Configuration.Organisations` by key digest.
  std::unordered_map<std::string, std::size_t> OrganisationsByKey;
  /// Derived: index in `Configuration.Organisations` by name.
  std::unordered_map<std::string, std::size_t> OrganisationsByName;
  /// Derived: what the assigned tasks of each organisation use; those of public
  /// queues under an empty name. Organisations without such tasks have no row.
  std::map<std::string, OrganisationLoad> Loads;
  std::uint64_t JobBytes = 0; ///< Derived: sum of `estimateBytes` of the jobs.

  /// Buckets of the organisations that have submitted jobs, in the order of
  /// their names.
  std::vector<OrganisationRate> Rates;
  std::uint64_t Registrations = 0; ///< Number of registered worker instances.
  /// Names of the workers that were deregistered last, the latest at the end.
  std::vector<std::string> FormerWorkers;

  static constexpr std::size_t MandatoryFields = 3; ///< See `encode`.
  static constexpr auto fields() {
    return std::make_tuple(&CellState::Configuration, &CellState::Workers,
                           &CellState::Jobs, &CellState::Rates,
                           &CellState::Registrations,
                           &CellState::FormerWorkers);
  }
};

/// @brief Whether a command took effect, for its caller.
enum class CommandOutcome : std::uint8_t {
  Done,       ///< It took effect, or its effect was there before.
  NoQueue,    ///< The queue of the job does not exist.
  InvalidKey, ///< The key belongs to no organisation.
  NoJob,      ///< No such job in the queue; its name may be taken in another.
  NoWorker,   ///< The worker instance is not registered.
  Overtaken,  ///< A later version or instance took effect before.
  OverCap,    ///< A gang of the job is larger than the cap of its organisation.
  NotDraining ///< The worker instance does not drain.
};

/// @brief Names of the outcomes, by value.
constexpr std::array<std::string_view, 8>
nameTable(CommandOutcome /*Outcome*/) noexcept {
  return {"done",      "no-queue",  "invalid-key", "no-job",
          "no-worker", "overtaken", "over-cap",    "not-draining"};
}

/// @brief Effects of one command, for the leader's dispatch state.
struct CellChange {
  CommandOutcome Outcome = CommandOutcome::Done;
  std::vector<TaskAssignment> Started; ///< Assignments that took effect.
  std::vector<TaskEnd> Ended;          ///< Ends that took effect.
  std::vector<JobId> FinishedJobs;     ///< Jobs that became terminal.
  JobId Job;               ///< Job that the command names, if it exists.
  WorkerInstanceId Worker; ///< Registered worker instance.
  WorkerInstanceId
      AnnouncedWorker; ///< Unannounced instance whose report was recorded.
  std::vector<WorkerInstanceId>
      WorkersToReconcile; ///< Workers that may run unassigned attempts.
  WorkerInstanceId
      ReplacedInstance; ///< Previous instance of the registered worker.
  std::vector<InstanceCrash> Crashes;            ///< Crashes that took effect.
  std::vector<WorkerInstanceId> SuspendedLeases; ///< Granted no leases now.
  std::vector<WorkerInstanceId> ResumedLeases;   ///< May be granted leases.
};

/// @brief Applies a command deterministically.
/// @param State The state to change.
/// @param Command The command; one that is no longer valid has no effect.
/// @return The effects, which depend on the state and the command only.
CellChange applyCommand(CellState &State, const CellCommand &Command);

/// @brief Rebuilds the derived members after a snapshot was restored.
void rebuildIndex(CellState &State);

/// @brief Finds a job by its name.
/// @return Its identifier, or the null one.
[[nodiscard]] JobId findJob(const CellState &State, std::string_view Name);

/// @brief Tells whether a queue of the configuration or of an unfinished job
/// uses a pool. Without a configuration all pools count as used.
[[nodiscard]] bool isPoolInUse(const CellState &State, std::string_view Pool);

/// @brief Finds the current instance of a worker by its name.
/// @return Its identifier, or the null one.
[[nodiscard]] WorkerInstanceId findWorker(const CellState &State,
                                          std::string_view Name);

/// @brief Finds the registered instances that have ended if a worker reports:
/// its previous instance, and earlier ones under other names at its address.
[[nodiscard]] std::vector<WorkerInstanceId>
findEndedInstances(const CellState &State, const WorkerReport &Report);

/// @brief Finds the organisation that a key belongs to.
/// @param KeyDigest SHA-256 digest of the key.
/// @return The organisation, or null; valid while the configuration is
/// unchanged.
[[nodiscard]] const Organisation *
findOrganisationByKey(const CellState &State, const std::string &KeyDigest);

/// @brief Tells whether the jobs of a queue belong to organisations.
[[nodiscard]] bool requiresKey(const CellConfiguration &Configuration,
                               const JobQueue &Queue) noexcept;

/// @brief Tells whether a caller may read, cancel and repeat a job of its
/// queue. A job without an organisation was accepted while its queue needed no
/// key; if the queue needs one now, each organisation may use the job, as its
/// owner is not known.
/// @param Caller Organisation of the caller; null if the queue needs no key.
[[nodiscard]] bool isVisibleTo(const Job &JobRow,
                               const Organisation *Caller) noexcept;

/// @brief Finds a task.
/// @return The task, or null if its run is done or its job was purged.
[[nodiscard]] const JobTask *findTask(const CellState &State,
                                      const TaskKey &Key) noexcept;

/// @brief Finds the description of the step of a task.
/// @return The step, or null if its job was purged or stripped.
[[nodiscard]] const StepSpec *findStepSpec(const CellState &State,
                                           const TaskKey &Key) noexcept;

/// @brief Tells whether a job is finished and no reader needs its payload,
/// steps and runs any more. A lost attempt that may still run on its worker
/// needs them: a new leader rebuilds the orphans of a worker from them.
[[nodiscard]] bool canStrip(const CellState &State, const Job &JobRow) noexcept;

/// @brief Computes the resources that a task reserves on its worker.
[[nodiscard]] Resources requiredResources(const StepSpec &Step) noexcept;

/// @brief Computes the resources of a worker that are not assigned to tasks.
/// Amounts are negative if the capacity has shrunk below what is assigned.
[[nodiscard]] Resources
availableResources(const WorkerInstance &Worker) noexcept;

} // namespace mulberryramp
