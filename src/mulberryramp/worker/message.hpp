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

/// @brief Where an attempt is on its worker.
enum class AttemptPhase : std::uint8_t {
  Running,
  Done,
  Failed,
  Refused, ///< Never began, and the worker will not begin it.
  Stopped  ///< Began and was stopped.
};

/// @brief Names of the phases.
constexpr std::array<std::string_view, 5>
nameTable(AttemptPhase /*Phase*/) noexcept {
  return {"running", "done", "failed", "refused", "stopped"};
}

/// @brief One part of an answer; parts may come late and in any order.
struct AnswerPart {
  std::uint32_t Index = 0; ///< From 0.
  std::uint32_t Count = 1; ///< Parts of the whole answer.
  std::string Data;
};

/// @brief What a worker says of one attempt.
struct AttemptReport {
  AttemptId Attempt = 0;
  AttemptPhase Phase = AttemptPhase::Running;
  std::string Reason;
  std::optional<AnswerPart> Part;
  std::int64_t UsedMilliCpus = 0; ///< Measured a while ago; 0 if not known.
  std::int64_t UsedMemoryMb = 0;  ///< Measured a while ago; 0 if not known.
};

/// @brief A worker announces itself, reports and asks for orders.
struct WorkerPoll {
  std::string Name;
  std::uint64_t Incarnation = 0; ///< New with each start of the worker.
  std::string Centre;
  std::string Rack;
  Resources Capacity;
  std::uint64_t Epoch = 0;   ///< Highest epoch that the worker has accepted.
  std::uint64_t Ack = 0;     ///< Last reply of that epoch that was carried out.
  bool IsFullReport = false; ///< `Reports` lists all attempts of the worker.
  bool IsDraining = false;
  std::vector<AttemptReport> Reports;
};

/// @brief Orders a worker to begin an attempt.
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
  std::string Checkpoint; ///< From an earlier attempt that was stopped.
};

/// @brief How a task is to give way.
enum class StopMode : std::uint8_t {
  Stop,       ///< End it.
  Checkpoint, ///< Save its state, then end it.
  Throttle    ///< Hold it to what it was granted.
};

/// @brief Names of the modes.
constexpr std::array<std::string_view, 3>
nameTable(StopMode /*Mode*/) noexcept {
  return {"stop", "checkpoint", "throttle"};
}

/// @brief Orders a worker to hold or end an attempt, known to it or not.
struct StopOrder {
  AttemptId Attempt = 0;
  StopMode Mode = StopMode::Stop;
};

/// @brief Whether a poll was taken.
enum class PollVerdict : std::uint8_t {
  Accepted,
  NotLeader, ///< Poll the daemon at `Leader`, or any other.
  Wait,      ///< A former life of the worker still holds its lease.
  Refused    ///< The poll contradicts itself or what was announced.
};

/// @brief Names of the verdicts.
constexpr std::array<std::string_view, 4>
nameTable(PollVerdict /*Verdict*/) noexcept {
  return {"taken", "not leader", "wait", "refused"};
}

/// @brief Answer to a poll.
struct WorkerReply {
  PollVerdict Verdict = PollVerdict::Accepted;
  std::string Leader; ///< HTTP endpoint of the leader, if known.
  std::string Reason;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
  bool NeedsFullReport = false; ///< The next poll has to list all attempts.
  Millis Lease{0};              ///< From the moment the worker sent its poll.
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  std::vector<AttemptId> Discards; ///< Settled; the worker may drop them.
};

} // namespace mulberryramp
