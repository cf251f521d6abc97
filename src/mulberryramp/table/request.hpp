#pragma once

#include "mulberryramp/core/fwd.hpp"
#include "mulberryramp/core/resources.hpp"
#include "mulberryramp/table/fwd.hpp"

#include <array>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace mulberryramp {

/// @brief How the tasks of a request are run.
enum class WorkKind : std::uint8_t {
  Service, ///< Kept running until cancelled.
  Batch,   ///< Each task runs independently.
  Gang     ///< All tasks run at the same time, or none does.
};

/// @brief Names of the kinds of work, by value.
constexpr std::array<std::string_view, 3>
nameTable(WorkKind /*Kind*/) noexcept {
  return {"service", "batch", "gang"};
}

/// @brief Final outcome of a request, or pending.
enum class Outcome : std::uint8_t { Pending, Done, Failed, NotRun, Unknown };

/// @brief Names of the outcomes, by value.
constexpr std::array<std::string_view, 5> nameTable(Outcome /*Kind*/) noexcept {
  return {"pending", "done", "failed", "not run", "unknown"};
}

/// @brief State of a task in its life cycle.
enum class TaskState : std::uint8_t {
  Queued,
  Assigned,
  Done,
  Failed,
  NotRun,
  Unknown
};

/// @brief Names of the task states, by value.
constexpr std::array<std::string_view, 6>
nameTable(TaskState /*Kind*/) noexcept {
  return {"queued", "assigned", "done", "failed", "not run", "unknown"};
}

/// @brief Specification of a request: the caller's fields, then the fields that
/// the rules set on acceptance.
struct RequestSpec {
  std::string Customer;
  std::string Team;
  std::string Key; ///< Unique key of the request within its customer.
  std::string ClassName;
  WorkKind Kind = WorkKind::Batch;
  std::uint32_t TaskCount = 1;
  Resources Need; ///< Required by each task.
  bool IsIdempotent = true;
  WallTime IssuedAt; ///< When the caller first sent the request.
  WallTime StartBy;  ///< Latest start; the epoch means no limit.
  Millis DeclaredRunTime{0};
  std::uint32_t MaxPerRack = 0; ///< Tasks in one rack; 0 means no limit.
  std::string Payload;

  std::int32_t Priority = 0;
  std::uint32_t MaxAttempts = 1;
  Millis RetryBackoff{0};

  static constexpr auto fields() {
    return std::make_tuple(
        &RequestSpec::Customer, &RequestSpec::Team, &RequestSpec::Key,
        &RequestSpec::ClassName, &RequestSpec::Kind, &RequestSpec::TaskCount,
        &RequestSpec::Need, &RequestSpec::IsIdempotent, &RequestSpec::IssuedAt,
        &RequestSpec::StartBy, &RequestSpec::DeclaredRunTime,
        &RequestSpec::MaxPerRack, &RequestSpec::Payload, &RequestSpec::Priority,
        &RequestSpec::MaxAttempts, &RequestSpec::RetryBackoff);
  }
};

/// @brief Unit of a request that runs on one worker.
struct Task {
  RequestId Owner;
  std::uint32_t Ordinal = 0;
  TaskState State = TaskState::Queued;
  AttemptId Attempt = 0;         ///< Last attempt; 0 before the first.
  std::uint32_t Attempts = 0;    ///< Attempts that count against the limit.
  std::uint32_t Refusals = 0;    ///< Attempts that workers refused to start.
  bool MayHaveRun = false;       ///< Some attempt may have begun.
  bool MayHaveRunBefore = false; ///< An attempt before the last may have begun.
  WorkerId AssignedWorker;       ///< Set while assigned.
  WallTime AssignedAt;
  WallTime NotBefore; ///< Earliest time of the next attempt.
  std::string Answer; ///< Queued or assigned: checkpoint of an earlier attempt.
  std::string Reason;

  static constexpr auto fields() {
    return std::make_tuple(&Task::Owner, &Task::Ordinal, &Task::State,
                           &Task::Attempt, &Task::Attempts, &Task::Refusals,
                           &Task::MayHaveRun, &Task::MayHaveRunBefore,
                           &Task::AssignedWorker, &Task::AssignedAt,
                           &Task::NotBefore, &Task::Answer, &Task::Reason);
  }
};

/// @brief Request in the ledger; kept until the retention of its answer ends.
struct Request {
  RequestSpec Spec;
  std::uint64_t Digest = 0; ///< Digest of the caller's fields.
  WallTime AcceptedAt;
  WallTime FinishedAt;
  Outcome Result = Outcome::Pending;
  std::string Reason;
  bool IsCancelled = false;
  bool IsRestarting = false;    ///< A gang stops all its tasks to restart.
  bool IsFailing = false;       ///< A gang stops all its tasks for good.
  bool IsIndeterminate = false; ///< Later changes to it may have been lost.
  std::vector<TaskId> Tasks;

  static constexpr auto fields() {
    return std::make_tuple(
        &Request::Spec, &Request::Digest, &Request::AcceptedAt,
        &Request::FinishedAt, &Request::Result, &Request::Reason,
        &Request::IsCancelled, &Request::IsRestarting, &Request::IsFailing,
        &Request::IsIndeterminate, &Request::Tasks);
  }
};

/// @brief Tells whether the running tasks of a request have to stop.
/// @param Row The request.
/// @return True if none of its tasks may continue.
[[nodiscard]] constexpr bool needsStop(const Request &Row) noexcept {
  return Row.IsCancelled || Row.IsRestarting || Row.IsFailing;
}

/// @brief Tells whether a state is terminal.
/// @param State State of the task.
/// @return True if the task is neither queued nor assigned.
[[nodiscard]] constexpr bool isTerminal(TaskState State) noexcept {
  return State != TaskState::Queued && State != TaskState::Assigned;
}

} // namespace mulberryramp
