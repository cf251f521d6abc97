#pragma once

#include "mulberryramp/core/names.hpp"
#include "mulberryramp/job/configuration.hpp"
#include "mulberryramp/job/spec.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryramp {

/// @brief What callers see of a job.
enum class JobPhase : std::uint8_t {
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled
};

/// @brief Names of the phases.
constexpr std::array<std::string_view, 5>
nameTable(JobPhase /*Phase*/) noexcept {
  return {"queued", "running", "completed", "failed", "cancelled"};
}

/// @brief Tells whether nothing of a job may be started any more.
[[nodiscard]] constexpr bool isTerminal(JobPhase Phase) noexcept {
  return Phase != JobPhase::Queued && Phase != JobPhase::Running;
}

/// @brief Where a task is.
enum class JobTaskState : std::uint8_t { Waiting, Assigned, Done };

/// @brief Names of the states.
constexpr std::array<std::string_view, 3>
nameTable(JobTaskState /*State*/) noexcept {
  return {"waiting", "assigned", "done"};
}

/// @brief One task of a step.
struct JobTask {
  JobTaskState State = JobTaskState::Waiting;
  std::uint32_t Attempt = 0;  ///< Number of its last start; 0: none.
  std::uint32_t Failures = 0; ///< Runs that failed.
  WorkerInstanceId Worker;    ///< While assigned, and of the last run after.
  std::string Checkpoint;     ///< Last checkpoint, or none.

  static constexpr auto fields() {
    return std::make_tuple(&JobTask::State, &JobTask::Attempt,
                           &JobTask::Failures, &JobTask::Worker,
                           &JobTask::Checkpoint);
  }
};

/// @brief Progress of one step in one run of the job.
struct JobStep {
  std::vector<JobTask> Tasks;
  std::uint32_t Assigned = 0;
  std::uint32_t Done = 0;
  std::uint32_t LastFailedAttempt =
      0; ///< Last run of a gang that was counted failed.

  static constexpr auto fields() {
    return std::make_tuple(&JobStep::Tasks, &JobStep::Assigned, &JobStep::Done,
                           &JobStep::LastFailedAttempt);
  }
};

/// @brief One run of all steps of a job.
struct JobRun {
  std::uint32_t Number = 0;
  std::vector<JobStep> Steps;

  static constexpr auto fields() {
    return std::make_tuple(&JobRun::Number, &JobRun::Steps);
  }
};

/// @brief An accepted job.
struct Job {
  std::string Name; ///< Chosen by the caller; names the job in all calls.
  JobSpec Spec;
  JobQueue Queue; ///< As last in force.
  WallTime AcceptedAt;
  JobPhase Phase = JobPhase::Queued;
  std::vector<JobRun> Runs;  ///< Those that are due and not yet done.
  std::uint32_t NextRun = 0; ///< Number of the next run that falls due.
  std::uint32_t AssignedTasks = 0;
  WallTime FinishedAt; ///< When it was over.

  static constexpr auto fields() {
    return std::make_tuple(
        &Job::Name, &Job::Spec, &Job::Queue, &Job::AcceptedAt, &Job::Phase,
        &Job::Runs, &Job::NextRun, &Job::AssignedTasks, &Job::FinishedAt);
  }
};

/// @brief Names one task of a job.
struct TaskKey {
  JobId Job;
  std::uint32_t Run = 0; ///< Number of the run of the job.
  std::uint32_t Step = 0;
  std::uint32_t Task = 0;

  constexpr auto operator<=>(const TaskKey &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&TaskKey::Job, &TaskKey::Run, &TaskKey::Step,
                           &TaskKey::Task);
  }
};

/// @brief Counts the runs that a job has in all.
[[nodiscard]] std::uint32_t runCount(const JobSpec &Spec) noexcept;

/// @brief Computes when a run of a job is due.
[[nodiscard]] WallTime dueTime(const Job &JobRow, std::uint32_t Run) noexcept;

/// @brief Finds a run of a job that is not yet done.
[[nodiscard]] JobRun *findRun(Job &JobRow, std::uint32_t Run) noexcept;
/// @copydoc findRun
[[nodiscard]] const JobRun *findRun(const Job &JobRow,
                                    std::uint32_t Run) noexcept;

/// @brief Tells whether all steps before a step are done.
[[nodiscard]] bool isStepReady(const Job &JobRow, const JobRun &Run,
                               std::size_t Step) noexcept;

/// @brief Adds up the longest chain of estimated run times.
[[nodiscard]] Millis criticalPathTime(const JobSpec &Spec);

} // namespace mulberryramp
