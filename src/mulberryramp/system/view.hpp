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

/// @brief What a worker was told to do with an attempt.
enum class OrderKind : std::uint8_t { Start, Throttle, Checkpoint, Stop };

/// @brief Names of the orders.
constexpr std::array<std::string_view, 4>
nameTable(OrderKind /*Kind*/) noexcept {
  return {"start", "throttle", "checkpoint", "stop"};
}

/// @brief Last order for an attempt.
struct SentOrder {
  OrderKind Kind = OrderKind::Start;
  Instant At;
};

/// @brief What a leader knows of a worker beside the ledger.
struct WorkerRuntime {
  Instant LeaseEnd;           ///< The worker may run its tasks until then.
  bool IsConfirmed = false;   ///< Reported all its attempts in this epoch.
  bool HasOrphans = false;    ///< Runs attempts that the ledger does not know.
  std::uint64_t Sequence = 0; ///< Of the last reply.
  std::map<AttemptId, AttemptPhase> Reported;
  std::set<AttemptId> OverLimit; ///< Use more than was granted.
  std::map<AttemptId, SentOrder> Orders;
  std::map<AttemptId, std::uint64_t> Discards; ///< By the reply they were in.

  std::set<RequestId> FailedRequests; ///< Since the last success.
  std::uint32_t QuarantineCount = 0;
  Instant QuarantineEnd;
  bool IsOnProbation = false;
};

/// @brief Failures of one request on different workers.
struct RequestFailures {
  std::set<std::string> WorkerNames;
};

/// @brief What a leader knows of its data centre beside the ledger.
struct CentreRuntime {
  std::string Centre;
  std::size_t CentreIndex = 0;
  std::size_t CentreCount = 1;
  std::map<WorkerId, WorkerRuntime> Workers;
  std::set<AttemptId> Preempted; ///< Attempts that have to give way.
  std::map<WorkerId, RequestId>
      ReservedWorkers; ///< Workers kept for a request.
  std::map<RequestId, RequestFailures> Failures;
  std::uint64_t AttemptCount = 0;
  std::uint64_t RetryCount = 0;
};

/// @brief What every decision reads.
struct DecisionInput {
  const Ledger &State;
  const Rules &ActiveRules;
  Instant Now;
  WallTime WallNow;
};

} // namespace mulberryramp
