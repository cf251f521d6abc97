#pragma once

#include "mulberryramp/config/rules.hpp"
#include "mulberryramp/ledger/ledger.hpp"
#include "mulberryramp/system/fwd.hpp"
#include "mulberryramp/worker/message.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief Order to a worker for one attempt, in rising severity.
enum class OrderKind : std::uint8_t { Start, Throttle, Checkpoint, Stop };

/// @brief Names of the orders, by value.
constexpr std::array<std::string_view, 4>
nameTable(OrderKind /*Kind*/) noexcept {
  return {"start", "throttle", "checkpoint", "stop"};
}

/// @brief Last order sent for an attempt, for resends.
struct SentOrder {
  OrderKind Kind = OrderKind::Start;
  Instant At;
};

/// @brief Leader's volatile state of one worker, not part of the ledger.
struct WorkerRuntime {
  Instant LeaseEnd;           ///< The worker may run its tasks until then.
  bool IsConfirmed = false;   ///< Has reported all attempts in this epoch.
  bool HasOrphans = false;    ///< Runs attempts unknown to the ledger.
  std::uint64_t Sequence = 0; ///< Of the last reply.
  std::map<AttemptId, AttemptPhase> Reported;
  std::set<AttemptId> OverLimit; ///< Attempts that exceed their resources.
  std::map<AttemptId, SentOrder> Orders;
  /// Attempts that the worker may discard, with the sequence number of the last
  /// reply that listed them.
  std::map<AttemptId, std::uint64_t> Discards;

  std::set<RequestId> FailedRequests; ///< Since its last success.
  std::uint32_t QuarantineCount = 0;
  Instant QuarantineEnd;
  bool IsOnProbation = false;
};

/// @brief Workers on which a request has failed.
struct RequestFailures {
  std::set<std::string> WorkerNames;
};

/// @brief Leader's volatile state of its data centre, not part of the ledger.
struct CentreRuntime {
  std::string Centre;
  std::size_t CentreIndex = 0;
  std::size_t CentreCount = 1;
  std::map<WorkerId, WorkerRuntime> Workers;
  std::set<AttemptId> Preempted; ///< Attempts preempted for other requests.
  /// Reserved workers, each with the request that it is reserved for.
  std::map<WorkerId, RequestId> ReservedWorkers;
  std::map<RequestId, RequestFailures> Failures;
  std::uint64_t AttemptCount = 0;
  std::uint64_t RetryCount = 0;
};

/// @brief Read-only input of every decision.
struct DecisionInput {
  const Ledger &State;
  const Rules &ActiveRules;
  Instant Now;
  WallTime WallNow;
};

} // namespace mulberryramp
