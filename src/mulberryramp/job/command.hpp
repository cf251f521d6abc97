#pragma once

#include "mulberryramp/job/job.hpp"
#include "mulberryramp/job/worker.hpp"

#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace mulberryramp {

/// @brief Accepts a job; does nothing if its name is known.
struct SubmitJobCommand {
  std::string Name;
  std::string Host;   ///< Of its queue.
  std::string Prefix; ///< Of its queue.
  JobSpec Spec;
  WallTime At;

  static constexpr auto fields() {
    return std::make_tuple(&SubmitJobCommand::Name, &SubmitJobCommand::Host,
                           &SubmitJobCommand::Prefix, &SubmitJobCommand::Spec,
                           &SubmitJobCommand::At);
  }
};

/// @brief Cancels a job unless it is over.
struct CancelJobCommand {
  std::string Name;
  WallTime At;

  static constexpr auto fields() {
    return std::make_tuple(&CancelJobCommand::Name, &CancelJobCommand::At);
  }
};

/// @brief Puts a configuration in force unless a higher version is.
struct ConfigureCommand {
  CellConfiguration Configuration;

  static constexpr auto fields() {
    return std::make_tuple(&ConfigureCommand::Configuration);
  }
};

/// @brief Adds a life of a worker, in place of earlier ones.
///
/// A worker that comes back under its name takes over the tasks of its former
/// life, since an order may have reached either; its lists tell which are
/// there. The former lives under other names at its address have ended.
struct RegisterWorkerCommand {
  WorkerReport Report;

  static constexpr auto fields() {
    return std::make_tuple(&RegisterWorkerCommand::Report);
  }
};

/// @brief Notes that a worker drains; this life never takes work again.
struct DrainWorkerCommand {
  WorkerInstanceId Worker;

  static constexpr auto fields() {
    return std::make_tuple(&DrainWorkerCommand::Worker);
  }
};

/// @brief Ends a life of a worker with all that ran there.
struct DeregisterWorkerCommand {
  WorkerInstanceId Worker;

  static constexpr auto fields() {
    return std::make_tuple(&DeregisterWorkerCommand::Worker);
  }
};

/// @brief Assigns a task to a worker; the start is sent once this is agreed.
struct TaskAssignment {
  TaskKey Key;
  std::uint32_t Attempt = 0; ///< Number of the start.
  WorkerInstanceId Worker;

  static constexpr auto fields() {
    return std::make_tuple(&TaskAssignment::Key, &TaskAssignment::Attempt,
                           &TaskAssignment::Worker);
  }
};

/// @brief Assigns tasks; a grant that no longer fits is passed over.
struct AssignTasksCommand {
  std::vector<TaskAssignment> Assignments;

  static constexpr auto fields() {
    return std::make_tuple(&AssignTasksCommand::Assignments);
  }
};

/// @brief How a start ended.
enum class EndKind : std::uint8_t {
  Done,
  Failed,
  Stopped,      ///< By an order.
  LeaseExpired, ///< Its lease ran out.
  GangBroken,   ///< Another member of its gang ended.
  GangTimedOut, ///< Its gang was not complete in time.
  Lost,         ///< It is certain that it does not run and never will.
  Refused       ///< The worker did not begin it.
};

/// @brief Names of the kinds.
constexpr std::array<std::string_view, 8> nameTable(EndKind /*Kind*/) noexcept {
  return {"done",   "failed", "stopped", "lapsed",
          "broken", "alone",  "lost",    "refused"};
}

/// @brief The end of one start.
struct TaskEnd {
  TaskKey Key;
  std::uint32_t Attempt = 0;
  EndKind Kind = EndKind::Done;
  std::string Checkpoint; ///< Last checkpoint, or none.

  static constexpr auto fields() {
    return std::make_tuple(&TaskEnd::Key, &TaskEnd::Attempt, &TaskEnd::Kind,
                           &TaskEnd::Checkpoint);
  }
};

/// @brief Notes the ends that a worker has listed, so that it may forget them.
struct RecordTaskEndsCommand {
  WorkerInstanceId Worker;
  std::uint64_t LastEnd = 0; ///< Number of the last listed end.
  std::vector<TaskEnd> Ends;
  WallTime At;

  static constexpr auto fields() {
    return std::make_tuple(
        &RecordTaskEndsCommand::Worker, &RecordTaskEndsCommand::LastEnd,
        &RecordTaskEndsCommand::Ends, &RecordTaskEndsCommand::At);
  }
};

/// @brief Opens the next run of a repeated job.
struct CreateRunCommand {
  JobId Job;
  std::uint32_t Run = 0;

  static constexpr auto fields() {
    return std::make_tuple(&CreateRunCommand::Job, &CreateRunCommand::Run);
  }
};

/// @brief Forgets jobs that have been over for long.
struct PurgeJobsCommand {
  std::vector<JobId> Jobs;

  static constexpr auto fields() {
    return std::make_tuple(&PurgeJobsCommand::Jobs);
  }
};

using CellCommand =
    std::variant<SubmitJobCommand, CancelJobCommand, ConfigureCommand,
                 RegisterWorkerCommand, DrainWorkerCommand,
                 DeregisterWorkerCommand, AssignTasksCommand,
                 RecordTaskEndsCommand, CreateRunCommand, PurgeJobsCommand>;

} // namespace mulberryramp
