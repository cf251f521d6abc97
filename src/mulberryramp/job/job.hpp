#pragma once

#include "mulberryramp/core/names.hpp"
#include "mulberryramp/job/configuration.hpp"
#include "mulberryramp/job/end_kind.hpp"
#include "mulberryramp/job/spec.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryramp {

/// @brief Status of a job as reported to callers.
enum class JobPhase : std::uint8_t {
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled
};

/// @brief Names of the phases, by value.
constexpr std::array<std::string_view, 5>
nameTable(JobPhase /*Phase*/) noexcept {
  return {"queued", "running", "completed", "failed", "cancelled"};
}

/// @brief Tells whether a job is finished, so that none of its tasks may start.
[[nodiscard]] constexpr bool isTerminal(JobPhase Phase) noexcept {
  return Phase != JobPhase::Queued && Phase != JobPhase::Running;
}

/// @brief Scheduling state of a task.
enum class JobTaskState : std::uint8_t { Waiting, Assigned, Done };

/// @brief Names of the states, by value.
constexpr std::array<std::string_view, 3>
nameTable(JobTaskState /*State*/) noexcept {
  return {"waiting", "assigned", "done"};
}

/// @brief One task of a step.
struct JobTask {
  JobTaskState State = JobTaskState::Waiting;
  std::uint32_t Attempt = 0;  ///< Number of the last attempt; 0 if none.
  std::uint32_t Failures = 0; ///< Number of failed attempts.
  WorkerInstanceId Worker;    ///< Assigned worker, or that of the last attempt.
  std::string Checkpoint;     ///< Last checkpoint; empty if there is none.
  std::uint32_t Crashes = 0;  ///< Number of workers that crashed under it.
  /// Number of workers that crashed while it may have run there.
  std::uint32_t PossibleCrashes = 0;
  /// Last attempt that was recorded as lost, and its worker, until its fate is
  /// known; null if there is none.
  std::uint32_t LostAttempt = 0;
  WorkerInstanceId LostOn;
  /// Number of workers that crashed shortly after they started it while no
  /// other attempt may have been the cause; they are among `Crashes`.
  std::uint32_t SoleCrashes = 0;
  /// It was assigned to a previous instance of `Worker`, and its start order
  /// may still be executed.
  bool IsTransferred = false;
  /// End to record if its worker does not list it: another kind than `Lost` if
  /// the instance that it was assigned to has crashed.
  EndKind EndIfUnlisted = EndKind::Lost;

  static constexpr std::size_t MandatoryFields = 5; ///< See `encode`.
  static constexpr auto fields() {
    return std::make_tuple(&JobTask::State, &JobTask::Attempt,
                           &JobTask::Failures, &JobTask::Worker,
                           &JobTask::Checkpoint, &JobTask::Crashes,
                           &JobTask::PossibleCrashes, &JobTask::LostAttempt,
                           &JobTask::LostOn, &JobTask::SoleCrashes,
                           &JobTask::IsTransferred, &JobTask::EndIfUnlisted);
  }
};

/// @brief Tells whether a task is suspected of crashing workers: it was the
/// probable cause of a crash, or it may have been that of several.
[[nodiscard]] constexpr bool isCrashSuspect(const JobTask &Task) noexcept {
  return Task.Crashes != 0 || Task.PossibleCrashes > 1;
}

/// @brief Progress of one step in one run of the job.
struct JobStep {
  std::vector<JobTask> Tasks;
  std::uint32_t Assigned = 0;
  std::uint32_t Done = 0;
  std::uint32_t LastFailedAttempt =
      0; ///< Last attempt of a gang that was counted as failed.

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
  std::string Name; ///< Chosen by the caller; unique within the cell.
  JobSpec Spec;
  JobQueue Queue; ///< Last active configuration of its queue.
  WallTime AcceptedAt;
  JobPhase Phase = JobPhase::Queued;
  std::vector<JobRun> Runs;  ///< Runs that were due and are not yet done.
  std::uint32_t NextRun = 0; ///< Number of the next run to create.
  std::uint32_t AssignedTasks = 0;
  WallTime FinishedAt; ///< Set once the job is terminal.
  /// Name of the organisation whose key submitted it; empty if its queue needs
  /// no key.
  std::string Organisation;
  /// Submitted beyond the rate that its organisation is owed.
  bool IsExcess = false;
  /// It was assigned and no task is known to have begun. False while it was
  /// never assigned, and for jobs stored before this field existed.
  bool IsUnstarted = false;

  static constexpr std::size_t MandatoryFields = 9; ///< See `encode`.
  static constexpr auto fields() {
    return std::make_tuple(
        &Job::Name, &Job::Spec, &Job::Queue, &Job::AcceptedAt, &Job::Phase,
        &Job::Runs, &Job::NextRun, &Job::AssignedTasks, &Job::FinishedAt,
        &Job::Organisation, &Job::IsExcess, &Job::IsUnstarted);
  }
};

/// @brief Identifies one task of a job.
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

/// @brief Estimates the encoded size of a job description and of one run of
/// it, in bytes.
[[nodiscard]] std::uint64_t estimateBytes(const JobSpec &Spec) noexcept;
/// @brief Estimates the encoded size of a job with one run, in bytes.
[[nodiscard]] std::uint64_t estimateBytes(const Job &JobRow) noexcept;

/// @brief Returns the total number of runs of a job; at least 1.
[[nodiscard]] std::uint32_t runCount(const JobSpec &Spec) noexcept;

/// @brief Computes when a run of a job is due; a job that is not repeated is
/// due when it is accepted.
[[nodiscard]] WallTime dueTime(const Job &JobRow, std::uint32_t Run) noexcept;

/// @brief Finds a run of a job by its number.
/// @return The run, or null if it is done or not yet created.
[[nodiscard]] JobRun *findRun(Job &JobRow, std::uint32_t Run) noexcept;
/// @copydoc findRun
[[nodiscard]] const JobRun *findRun(const Job &JobRow,
                                    std::uint32_t Run) noexcept;

/// @brief Tells whether all steps that a step depends on are done.
[[nodiscard]] bool isStepReady(const Job &JobRow, const JobRun &Run,
                               std::size_t Step) noexcept;

/// @brief Computes the estimated run time of the critical path of the steps.
/// @param Spec A valid job; each step may depend only on earlier ones.
[[nodiscard]] Millis criticalPathTime(const JobSpec &Spec);

/// @brief Computes the estimated run time of the critical path of the steps of
/// a run that are not done.
[[nodiscard]] Millis remainingPathTime(const Job &JobRow, const JobRun &Run);

} // namespace mulberryramp
