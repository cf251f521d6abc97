#pragma once

#include "mulberryramp/job/job.hpp"
#include "mulberryramp/job/worker.hpp"

#include <string>
#include <tuple>
#include <utility>
#include <variant>

/// @file
/// @brief Calls that callers, operators and workers make to a cell, and their
/// replies. Any node accepts them; the leader serves them.

namespace mulberryramp {

/// @brief Operation of a caller on a job.
enum class JobVerb : std::uint8_t {
  Submit,
  Read,
  Cancel,
  Check ///< No operation; only checks the queue and the key of a call that is
        ///< invalid itself.
};

/// @brief Names of the operations, by value.
constexpr std::array<std::string_view, 4> nameTable(JobVerb /*Verb*/) noexcept {
  return {"submit", "read", "cancel", "check"};
}

/// @brief Call about a job or a queue. The host and a prefix of the path select
/// the queue; the rest of the path is the job name. If it is empty, a read
/// returns the number of queued jobs.
struct JobCall {
  JobVerb Verb = JobVerb::Read;
  std::string Host;
  std::string Path;
  JobSpec Spec;      ///< Only for `Submit`.
  std::string Key{}; ///< SHA-256 digest of the caller's key; empty if none.

  static constexpr std::size_t MandatoryFields = 4; ///< See `encode`.
  static constexpr auto fields() {
    return std::make_tuple(&JobCall::Verb, &JobCall::Host, &JobCall::Path,
                           &JobCall::Spec, &JobCall::Key);
  }
};

/// @brief Call of an operator that activates a configuration.
struct ConfigureCall {
  CellConfiguration Configuration;

  static constexpr auto fields() {
    return std::make_tuple(&ConfigureCall::Configuration);
  }
};

/// @brief Call of an operator that reads the active configuration.
struct ReadConfigurationCall {
  static constexpr auto fields() { return std::make_tuple(); }
};

/// @brief Periodic report of a worker, which also registers it.
struct WorkerReportCall {
  WorkerReport Report;

  static constexpr auto fields() {
    return std::make_tuple(&WorkerReportCall::Report);
  }
};

/// @brief Call of a drained worker before it exits.
struct DeregisterWorkerCall {
  std::string Name;

  static constexpr auto fields() {
    return std::make_tuple(&DeregisterWorkerCall::Name);
  }
};

using CellCall = std::variant<JobCall, ConfigureCall, ReadConfigurationCall,
                              WorkerReportCall, DeregisterWorkerCall>;

/// @brief Outcome of a call.
enum class CellVerdict : std::uint8_t {
  Done,     ///< The call was served.
  NotFound, ///< The queue does not exist, or the job name is missing.
  Gone,     ///< The job does not exist in the queue.
  Refused,  ///< The call had and will have no effect; it may be retried.
  Unknown, ///< The call may have had its effect; the same call may be repeated.
  Unauthenticated, ///< The call had no effect, as its key is not valid.
  Overloaded ///< The call had and will have no effect, as there is too little
             ///< room; it may be repeated after `CellReply::RetryAfter`.
};

/// @brief Names of the verdicts, by value.
constexpr std::array<std::string_view, 7>
nameTable(CellVerdict /*Verdict*/) noexcept {
  return {"done",    "not-found",       "gone",      "refused",
          "unknown", "unauthenticated", "overloaded"};
}

/// @brief Reply to a call.
struct CellReply {
  CellVerdict Verdict = CellVerdict::Done;
  JobPhase Phase = JobPhase::Queued; ///< Phase of the job that was read.
  bool IsQueue = false;      ///< The reply is about a queue and has `Pending`.
  std::uint32_t Pending = 0; ///< Number of queued jobs without a started task.
  std::string Text; ///< Configuration document, or reason of the verdict.
  /// When a call that was not served may be repeated; 0 if not known.
  Millis RetryAfter{0};

  static constexpr std::size_t MandatoryFields = 5; ///< See `encode`.
  static constexpr auto fields() {
    return std::make_tuple(&CellReply::Verdict, &CellReply::Phase,
                           &CellReply::IsQueue, &CellReply::Pending,
                           &CellReply::Text, &CellReply::RetryAfter);
  }
};

/// @brief Builds a reply that only has a verdict and a text.
[[nodiscard]] inline CellReply makeReply(CellVerdict Verdict,
                                         std::string Text = {}) {
  CellReply Reply;
  Reply.Verdict = Verdict;
  Reply.Text = std::move(Text);
  return Reply;
}

} // namespace mulberryramp
