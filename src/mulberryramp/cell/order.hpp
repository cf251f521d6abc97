#pragma once

#include "mulberryramp/job/command.hpp"
#include "mulberryramp/storage/fwd.hpp"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryramp {

/// @brief Names a task as workers know it.
struct TaskName {
  std::string Job;
  std::uint32_t Run = 0;
  std::uint32_t Step = 0;
  std::uint32_t Task = 0;

  auto operator<=>(const TaskName &) const = default;
};

/// @brief What a worker is told to do.
enum class WorkerOrderKind : std::uint8_t { Start, Stop, Renew, Pace };

/// @brief Names of the kinds.
constexpr std::array<std::string_view, 4>
nameTable(WorkerOrderKind /*Kind*/) noexcept {
  return {"start", "stop", "hold", "pace"};
}

/// @brief An order of the leader to a worker.
struct WorkerOrder {
  std::uint64_t Id = 0;
  WorkerOrderKind Kind = WorkerOrderKind::Renew;
  std::string Address;
  std::string Worker;    ///< Name of the worker that is meant.
  Term FencingToken = 0; ///< Term of the leader.
  TaskName Task;
  std::uint32_t Attempt = 0;
  std::string Payload;
  std::string Checkpoint;   ///< Checkpoint to go on from, or none.
  std::string Ticket;       ///< Admission of the step, or none.
  std::int64_t Expires = 0; ///< End of the lease on the worker's clock, ms.
  std::uint64_t LastAckedEnd = 0; ///< Ends that the worker may forget.
  Millis Wait{0};                 ///< How long a hold waits for an end.
  /// Not to be sent on a new connection, which another life may have taken.
  bool NeedsOpenConnection = false;
  std::uint32_t Percent = 100; ///< Share that a paced task may work.
  Millis Timeout{1000};
};

/// @brief How an order ended.
enum class OrderVerdict : std::uint8_t {
  Done,
  Refused,       ///< The worker did nothing.
  OtherInstance, ///< The address belongs to another worker.
  Unsent,        ///< No connection was made.
  Unanswered     ///< It may be carried out, even later.
};

/// @brief Names of the verdicts.
constexpr std::array<std::string_view, 5>
nameTable(OrderVerdict /*Verdict*/) noexcept {
  return {"done", "refused", "other-life", "unsent", "unanswered"};
}

/// @brief Why a worker refused an order.
enum class RefusalReason : std::uint8_t {
  None,
  StaleFencingToken, ///< It has seen a newer leader.
  StaleAttempt,      ///< It has ended this run or a later one.
  LeaseExpired,      ///< The lease had run out.
  NoCapacity,        ///< It has no room.
  InvalidTicket,     ///< The admission is missing or has run out.
  Unhealthy,
  Malformed
};

/// @brief Names of the reasons.
constexpr std::array<std::string_view, 8>
nameTable(RefusalReason /*Reason*/) noexcept {
  return {"none", "fence",  "old",       "late",
          "room", "ticket", "unhealthy", "malformed"};
}

/// @brief A task that a worker runs.
struct RunningTask {
  TaskName Task;
  std::uint32_t Attempt = 0;
  std::string Checkpoint;
  std::uint32_t Percent = 0; ///< Progress; of a lasting task, of its start-up.
  std::int64_t Gauge = 0; ///< Tail in ms if it serves, else processors in use.
};

/// @brief An end that a worker lists until it is acknowledged.
struct ReportedEnd {
  std::uint64_t Number = 0;
  TaskName Task;
  std::uint32_t Attempt = 0;
  EndKind Kind = EndKind::Done;
  std::string Checkpoint;
};

/// @brief Answer of a worker to an order.
struct OrderResult {
  std::uint64_t Id = 0;
  OrderVerdict Verdict = OrderVerdict::Unanswered;
  RefusalReason Reason = RefusalReason::None;
  std::optional<std::int64_t> Clock; ///< Of the worker, in ms.
  std::int64_t StartTimeMs = 0;     ///< Of the life that answered; 0: not told.
  std::vector<RunningTask> Running; ///< Complete, for a hold.
  std::vector<ReportedEnd> Ended;   ///< For a hold.
  bool HasMoreEnds = false;         ///< `Ended` was cut off.
};

/// @brief Names a step for the advisor.
struct StepName {
  std::string Job;
  std::uint32_t Run = 0;
  std::uint32_t Step = 0;

  auto operator<=>(const StepName &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&StepName::Job, &StepName::Run, &StepName::Step);
  }
};

/// @brief Asks the advisor which workers may run a step.
struct AdviceQuery {
  std::uint64_t Id = 0;
  StepName Step;
  std::vector<std::string> Workers;
  Millis Timeout{0};

  static constexpr auto fields() {
    return std::make_tuple(&AdviceQuery::Id, &AdviceQuery::Step,
                           &AdviceQuery::Workers, &AdviceQuery::Timeout);
  }
};

/// @brief A worker that may run a step.
struct Admission {
  std::string Worker;
  std::string Ticket;

  static constexpr auto fields() {
    return std::make_tuple(&Admission::Worker, &Admission::Ticket);
  }
};

/// @brief Answer of the advisor.
struct AdviceAnswer {
  std::uint64_t Id = 0;
  bool IsAnswered = false;
  std::vector<Admission> Admitted;
  Millis TicketTtl{0}; ///< 0: as the queue says.

  static constexpr auto fields() {
    return std::make_tuple(&AdviceAnswer::Id, &AdviceAnswer::IsAnswered,
                           &AdviceAnswer::Admitted, &AdviceAnswer::TicketTtl);
  }
};

} // namespace mulberryramp
