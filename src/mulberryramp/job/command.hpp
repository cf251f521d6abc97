#pragma once

#include "mulberryramp/job/job.hpp"
#include "mulberryramp/job/worker.hpp"

#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace mulberryramp {

/// @brief Accepts a job; has no effect if a job of that name exists, if the
/// configuration has no such queue, or if the queue requires a key and the
/// configuration has no such key.
struct SubmitJobCommand {
  std::string Name;
  std::string Host;   ///< `JobQueue::Host` of its queue.
  std::string Prefix; ///< `JobQueue::Prefix` of its queue.
  JobSpec Spec;
  WallTime At;
  std::string Key{}; ///< SHA-256 digest of the caller's key; empty if none.

  static constexpr std::size_t MandatoryFields = 5; ///< See `encode`.
  static constexpr auto fields() {
    return std::make_tuple(&SubmitJobCommand::Name, &SubmitJobCommand::Host,
                           &SubmitJobCommand::Prefix, &SubmitJobCommand::Spec,
                           &SubmitJobCommand::At, &SubmitJobCommand::Key);
  }
};

/// @brief Cancels a job unless it is terminal.
struct CancelJobCommand {
  std::string Name;
  WallTime At;

  static constexpr auto fields() {
    return std::make_tuple(&CancelJobCommand::Name, &CancelJobCommand::At);
  }
};

/// @brief Activates a configuration if its version is higher than that of the
/// active one.
struct ConfigureCommand {
  CellConfiguration Configuration;

  static constexpr auto fields() {
    return std::make_tuple(&ConfigureCommand::Configuration);
  }
};

/// @brief The end of one attempt.
struct TaskEnd {
  TaskKey Key;
  std::uint32_t Attempt = 0;
  EndKind Kind = EndKind::Done;
  std::string Checkpoint; ///< Last checkpoint; empty if there is none.
  /// It is presumed lost: the attempt may still run, or start later.
  bool MayRun = false;

  static constexpr std::size_t MandatoryFields = 4; ///< See `encode`.
  static constexpr auto fields() {
    return std::make_tuple(&TaskEnd::Key, &TaskEnd::Attempt, &TaskEnd::Kind,
                           &TaskEnd::Checkpoint, &TaskEnd::MayRun);
  }
};

/// @brief Crash of a worker instance.
struct InstanceCrash {
  WorkerInstanceId Worker;
  /// Attempts that may have run there, with the kinds to record.
  std::vector<TaskEnd> Ends;
  Millis Age{0}; ///< Time from the crash to the proposal.

  static constexpr auto fields() {
    return std::make_tuple(&InstanceCrash::Worker, &InstanceCrash::Ends,
                           &InstanceCrash::Age);
  }
};

/// @brief Assigns a task to a worker instance; the start order is sent only
/// after this is committed.
struct TaskAssignment {
  TaskKey Key;
  std::uint32_t Attempt = 0; ///< Number of the attempt.
  WorkerInstanceId Worker;

  static constexpr auto fields() {
    return std::make_tuple(&TaskAssignment::Key, &TaskAssignment::Attempt,
                           &TaskAssignment::Worker);
  }
};

/// @brief Registers a worker instance and replaces earlier instances.
///
/// A worker that restarts under the same name takes over the tasks of its
/// previous instance, because a start order may have reached either instance;
/// the task lists of the new instance show which tasks it runs. Earlier
/// instances under other names at the same address have ended and are
/// deregistered.
///
/// A report of an instance that is registered as unannounced replaces what is
/// recorded of it.
///
/// The command names the crashes that it shows. They are counted with the entry
/// that frees the tasks, so that no start is planned and no leader ends in
/// between. A crash is ignored unless the command replaces its instance, so
/// that one which is proposed again counts once.
struct RegisterWorkerCommand {
  WorkerReport Report;
  bool IsUnannounced = false; ///< `WorkerInstance::IsUnannounced`.
  std::vector<InstanceCrash> Crashes{};
  WallTime At{}; ///< When it was proposed; zero if it names no crashes.
  /// Attempts that the previous instance of this name has listed, so that their
  /// start orders are not executed again.
  std::vector<TaskAssignment> Begun{};

  static constexpr std::size_t MandatoryFields = 1; ///< See `encode`.
  static constexpr auto fields() {
    return std::make_tuple(
        &RegisterWorkerCommand::Report, &RegisterWorkerCommand::IsUnannounced,
        &RegisterWorkerCommand::Crashes, &RegisterWorkerCommand::At,
        &RegisterWorkerCommand::Begun);
  }
};

/// @brief Marks a worker instance as draining; this cannot be undone, and the
/// instance gets no new tasks.
struct DrainWorkerCommand {
  WorkerInstanceId Worker;

  static constexpr auto fields() {
    return std::make_tuple(&DrainWorkerCommand::Worker);
  }
};

/// @brief Removes a worker instance and records its assigned tasks as lost.
struct DeregisterWorkerCommand {
  WorkerInstanceId Worker;

  static constexpr auto fields() {
    return std::make_tuple(&DeregisterWorkerCommand::Worker);
  }
};

/// @brief Assigns tasks; an assignment that is no longer valid is skipped.
struct AssignTasksCommand {
  std::vector<TaskAssignment> Assignments;

  static constexpr auto fields() {
    return std::make_tuple(&AssignTasksCommand::Assignments);
  }
};

/// @brief Records reported ends, so that the worker may discard them.
struct RecordTaskEndsCommand {
  WorkerInstanceId Worker;
  std::uint64_t LastEnd = 0; ///< Number of the last reported end.
  std::vector<TaskEnd> Ends;
  WallTime At;

  static constexpr auto fields() {
    return std::make_tuple(
        &RecordTaskEndsCommand::Worker, &RecordTaskEndsCommand::LastEnd,
        &RecordTaskEndsCommand::Ends, &RecordTaskEndsCommand::At);
  }
};

/// @brief Creates the next run of a repeated job.
struct CreateRunCommand {
  JobId Job;
  std::uint32_t Run = 0;

  static constexpr auto fields() {
    return std::make_tuple(&CreateRunCommand::Job, &CreateRunCommand::Run);
  }
};

/// @brief Removes finished jobs whose retention time has passed.
///
/// A job that is not terminal or still has assigned tasks stays.
struct PurgeJobsCommand {
  std::vector<JobId> Jobs;

  static constexpr auto fields() {
    return std::make_tuple(&PurgeJobsCommand::Jobs);
  }
};

/// @brief Records the capacity that a worker instance reports, unless that of a
/// later report is recorded.
///
/// Assigned tasks stay, so that they may need more than the capacity.
struct UpdateCapacityCommand {
  WorkerInstanceId Worker;
  Resources Capacity;
  std::uint64_t Sequence = 0; ///< `WorkerReport::Sequence` of the report.

  static constexpr auto fields() {
    return std::make_tuple(&UpdateCapacityCommand::Worker,
                           &UpdateCapacityCommand::Capacity,
                           &UpdateCapacityCommand::Sequence);
  }
};

/// @brief Removes the data of finished jobs that no reader needs: payload,
/// steps and runs. It has no effect on a job for which `canStrip` is false.
struct StripJobsCommand {
  std::vector<JobId> Jobs;

  static constexpr auto fields() {
    return std::make_tuple(&StripJobsCommand::Jobs);
  }
};

/// @brief Deregisters the current instance of a worker at the worker's own
/// request. It has no effect unless the instance drains: a late call may come
/// from an earlier instance.
struct LeaveWorkerCommand {
  std::string Name;

  static constexpr auto fields() {
    return std::make_tuple(&LeaveWorkerCommand::Name);
  }
};

/// @brief A worker instance that is granted no further leases.
struct LeaseSuspension {
  WorkerInstanceId Worker;
  /// Time from the proposal to the end of its leases, with clock drift and
  /// margin.
  Millis Remaining{0};

  static constexpr auto fields() {
    return std::make_tuple(&LeaseSuspension::Worker,
                           &LeaseSuspension::Remaining);
  }
};

/// @brief Records when the leases of unresponsive workers end, so that a new
/// leader need not wait for a whole lease after its election.
struct SuspendLeasesCommand {
  std::vector<LeaseSuspension> Suspensions;

  static constexpr auto fields() {
    return std::make_tuple(&SuspendLeasesCommand::Suspensions);
  }
};

/// @brief Allows to grant leases to workers that respond again.
struct ResumeLeasesCommand {
  std::vector<WorkerInstanceId> Workers;

  static constexpr auto fields() {
    return std::make_tuple(&ResumeLeasesCommand::Workers);
  }
};

/// @brief Records that no lease of an order for a previous instance of these
/// workers outlasts what a leader assumes about those of the present one.
struct EndFormerLeasesCommand {
  std::vector<WorkerInstanceId> Workers;

  static constexpr auto fields() {
    return std::make_tuple(&EndFormerLeasesCommand::Workers);
  }
};

/// @brief Records that a worker instance lists attempts which were assigned to
/// a previous one: the crash of that one does not end them.
struct ConfirmAttemptsCommand {
  std::vector<TaskAssignment> Attempts;

  static constexpr auto fields() {
    return std::make_tuple(&ConfirmAttemptsCommand::Attempts);
  }
};

/// @brief Any command of the replicated log of a cell. Stored logs name the
/// alternatives by index, so new ones are appended.
using CellCommand =
    std::variant<SubmitJobCommand, CancelJobCommand, ConfigureCommand,
                 RegisterWorkerCommand, DrainWorkerCommand,
                 DeregisterWorkerCommand, AssignTasksCommand,
                 RecordTaskEndsCommand, CreateRunCommand, PurgeJobsCommand,
                 UpdateCapacityCommand, StripJobsCommand, LeaveWorkerCommand,
                 SuspendLeasesCommand, ResumeLeasesCommand,
                 EndFormerLeasesCommand, ConfirmAttemptsCommand>;

} // namespace mulberryramp
