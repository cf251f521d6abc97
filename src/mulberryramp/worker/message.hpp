#pragma once

#include "mulberryramp/core/resources.hpp"
#include "mulberryramp/table/request.hpp"
#include "mulberryramp/worker/fwd.hpp"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryramp {

/// @brief Phase of an attempt on its worker.
enum class AttemptPhase : std::uint8_t {
  Running,
  Done,
  Failed,
  Refused, ///< Never began, and the worker will not start it.
  Stopped  ///< Began and was stopped.
};

/// @brief Names of the phases, by value.
constexpr std::array<std::string_view, 5>
nameTable(AttemptPhase /*Phase*/) noexcept {
  return {"running", "done", "failed", "refused", "stopped"};
}

/// @brief Part of an answer; parts may arrive late and in any order.
struct AnswerPart {
  std::uint32_t Index = 0; ///< From 0.
  std::uint32_t Count = 1; ///< Number of parts of the answer.
  std::string Data;
};

/// @brief State of one attempt as its worker reports it.
struct AttemptReport {
  AttemptId Attempt = 0;
  AttemptPhase Phase = AttemptPhase::Running;
  std::string Reason;
  std::optional<AnswerPart> Part;
  std::int64_t UsedMilliCpus = 0; ///< May be out of date; 0 if unknown.
  std::int64_t UsedMemoryMb = 0;  ///< May be out of date; 0 if unknown.
};

/// @brief Poll of a worker: registers it, reports its attempts and renews its
/// lease; the reply carries orders.
struct WorkerPoll {
  std::string Name;
  std::uint64_t Incarnation = 0; ///< New with each start of the process.
  std::string Centre;
  std::string Rack;
  Resources Capacity;
  std::uint64_t Epoch = 0;   ///< Highest epoch that the worker has accepted.
  std::uint64_t Ack = 0;     ///< Last executed reply of that epoch.
  bool IsFullReport = false; ///< `Reports` lists all attempts of the worker.
  bool IsDraining = false;
  std::vector<AttemptReport> Reports;
};

/// @brief Orders a worker to start an attempt.
struct StartOrder {
  AttemptId Attempt = 0;
  std::string Customer;
  std::string Key;
  std::uint32_t Ordinal = 0;
  std::uint32_t TaskCount = 1;
  WorkKind Kind = WorkKind::Batch;
  bool IsIdempotent = true;
  Resources Need;
  std::string Payload;
  std::string Checkpoint; ///< Saved by an earlier, stopped attempt.
};

/// @brief How a worker has to stop or limit an attempt.
enum class StopMode : std::uint8_t {
  Stop,       ///< End it.
  Checkpoint, ///< Save a checkpoint, then end it.
  Throttle    ///< Limit it to its required resources.
};

/// @brief Names of the modes, by value.
constexpr std::array<std::string_view, 3>
nameTable(StopMode /*Mode*/) noexcept {
  return {"stop", "checkpoint", "throttle"};
}

/// @brief Orders a worker to stop or limit an attempt, even one that it does
/// not know.
struct StopOrder {
  AttemptId Attempt = 0;
  StopMode Mode = StopMode::Stop;
};

/// @brief Verdict of the leader on a poll.
enum class PollVerdict : std::uint8_t {
  Accepted,
  NotLeader, ///< Poll the daemon at `Leader`, or any other.
  /// The worker is not registered yet, or another instance of it still holds
  /// the lease.
  Wait,
  Refused ///< The poll is invalid or contradicts the registration.
};

/// @brief Names of the verdicts, by value.
constexpr std::array<std::string_view, 4>
nameTable(PollVerdict /*Verdict*/) noexcept {
  return {"taken", "not leader", "wait", "refused"};
}

/// @brief Reply to a poll, with the lease and the orders.
struct WorkerReply {
  PollVerdict Verdict = PollVerdict::Accepted;
  std::string Leader; ///< HTTP endpoint of the leader, if known.
  std::string Reason;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
  bool NeedsFullReport = false; ///< The next poll must list all attempts.
  Millis Lease{0};              ///< Counts from when the poll was sent.
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  /// Ended attempts; the worker may discard their records.
  std::vector<AttemptId> Discards;
};

} // namespace mulberryramp
