#pragma once

#include "mulberryramp/job/command.hpp"
#include "mulberryramp/storage/fwd.hpp"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Orders of the leader to workers and queries to the advisor, with
/// their answers. The types are independent of the protocol that carries them.

namespace mulberryramp {

/// @brief Name under which workers know a task.
struct TaskName {
  std::string Job;
  std::uint32_t Run = 0;
  std::uint32_t Step = 0;
  std::uint32_t Task = 0;

  auto operator<=>(const TaskName &) const = default;
};

/// @brief Kind of an order. A `Renew` order renews the lease of all tasks of
/// the worker, acknowledges task ends and waits for the next one.
enum class WorkerOrderKind : std::uint8_t { Start, Stop, Renew, Pace };

/// @brief Names of the kinds, by value.
constexpr std::array<std::string_view, 4>
nameTable(WorkerOrderKind /*Kind*/) noexcept {
  return {"start", "stop", "hold", "pace"};
}

/// @brief An order of the leader to a worker.
struct WorkerOrder {
  std::uint64_t Id = 0;
  WorkerOrderKind Kind = WorkerOrderKind::Renew;
  std::string Address;
  std::string Worker; ///< Name of the worker, as the address may be reused.
  std::uint64_t FencingToken = 0; ///< See `fencingTokenOf`.
  TaskName Task;
  std::uint32_t Attempt = 0;
  std::string Payload;
  std::string Checkpoint; ///< Checkpoint to resume from; empty if none.
  std::string Ticket;     ///< Admission ticket of the step; empty if none.
  /// End of the lease on the worker clock in ms; 0 if none.
  std::int64_t Expires = 0;
  std::uint64_t LastAckedEnd = 0; ///< Highest end that the worker may discard.
  Millis Wait{0};                 ///< How long a renewal waits for a task end.
  /// The order may only be sent on an open connection, since a new connection
  /// may reach another instance of the worker.
  bool NeedsOpenConnection = false;
  std::uint32_t Percent = 100; ///< CPU share that a paced task may use.
  Millis Timeout{1000};        ///< Time limit for the answer.
};

/// @brief Outcome of an order.
enum class OrderVerdict : std::uint8_t {
  Done,          ///< The worker executed the order.
  Refused,       ///< The worker did not execute it; `Reason` says why.
  OtherInstance, ///< The address belongs to another worker.
  Unsent,        ///< No byte of the order was sent.
  Unanswered     ///< The order may have been executed, or may be later.
};

/// @brief Names of the verdicts, by value.
constexpr std::array<std::string_view, 5>
nameTable(OrderVerdict /*Verdict*/) noexcept {
  return {"done", "refused", "other-life", "unsent", "unanswered"};
}

/// @brief Reason for which a worker refused an order.
enum class RefusalReason : std::uint8_t {
  None,
  StaleFencingToken, ///< The worker has seen an order of a newer leader, or
                     ///< one for a newer instance.
  StaleAttempt,      ///< The worker has ended this attempt or a later one.
  LeaseExpired,      ///< The lease had expired on arrival.
  NoCapacity,        ///< The available resources are insufficient.
  InvalidTicket,     ///< The ticket is missing or expired.
  Unhealthy,
  Malformed
};

/// @brief Names of the reasons, by value.
constexpr std::array<std::string_view, 8>
nameTable(RefusalReason /*Reason*/) noexcept {
  return {"none", "fence",  "old",       "late",
          "room", "ticket", "unhealthy", "malformed"};
}

/// @brief Running task in the list of a worker.
struct RunningTask {
  TaskName Task;
  std::uint32_t Attempt = 0;
  std::string Checkpoint;
  /// Progress; for a long-running task, of its start-up.
  std::uint32_t Percent = 0;
  /// Tail latency in ms of a service, else processors in use.
  std::int64_t Gauge = 0;
};

/// @brief End of a task that a worker reports until it is acknowledged.
struct ReportedEnd {
  std::uint64_t Number = 0; ///< Rises with each end; restarts per instance.
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
  std::int64_t SentBytes = 0;   ///< Bytes of the order written to a socket.
  bool IsNewConnection = false; ///< A connection was opened for the order.
  std::optional<std::int64_t> Clock; ///< Clock of the worker, ms.
  std::int64_t StartTimeMs = 0;      ///< Identifies the instance; 0 if unknown.
  std::vector<RunningTask> Running;  ///< All running tasks; only for a renewal.
  std::vector<ReportedEnd> Ends; ///< Unacknowledged ends; only for a renewal.
  bool HasMoreEnds = false;      ///< `Ends` is truncated.
};

/// @brief Name under which the advisor knows a step.
struct StepName {
  std::string Job;
  std::uint32_t Run = 0;
  std::uint32_t Step = 0;

  auto operator<=>(const StepName &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&StepName::Job, &StepName::Run, &StepName::Step);
  }
};

/// @brief Query to the advisor about which workers may run a step.
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

/// @brief Admission of a worker to a step.
struct Admission {
  std::string Worker;
  std::string Ticket;

  static constexpr auto fields() {
    return std::make_tuple(&Admission::Worker, &Admission::Ticket);
  }
};

/// @brief Answer of the advisor to a query.
struct AdviceAnswer {
  std::uint64_t Id = 0;
  bool IsAnswered = false; ///< False if the query failed.
  std::vector<Admission> Admitted;
  Millis TicketTtl{0}; ///< Lifetime of tickets; 0 if the queue sets it.

  static constexpr auto fields() {
    return std::make_tuple(&AdviceAnswer::Id, &AdviceAnswer::IsAnswered,
                           &AdviceAnswer::Admitted, &AdviceAnswer::TicketTtl);
  }
};

} // namespace mulberryramp
