#pragma once

#include "mulberryramp/job/job.hpp"
#include "mulberryramp/job/worker.hpp"

#include <string>
#include <tuple>
#include <variant>

namespace mulberryramp {

/// @brief What a caller wants with a job.
enum class JobVerb : std::uint8_t { Submit, Read, Cancel };

/// @brief Names of the verbs.
constexpr std::array<std::string_view, 3> nameTable(JobVerb /*Verb*/) noexcept {
  return {"submit", "read", "cancel"};
}

/// @brief Call of a caller; host and path lead to the queue, the rest of the
/// path names the job. Without a rest it asks for the queue itself.
struct JobCall {
  JobVerb Verb = JobVerb::Read;
  std::string Host;
  std::string Path;
  JobSpec Spec; ///< For a submission.

  static constexpr auto fields() {
    return std::make_tuple(&JobCall::Verb, &JobCall::Host, &JobCall::Path,
                           &JobCall::Spec);
  }
};

/// @brief An operator puts a configuration in force.
struct ConfigureCall {
  CellConfiguration Configuration;

  static constexpr auto fields() {
    return std::make_tuple(&ConfigureCall::Configuration);
  }
};

/// @brief An operator reads the configuration in force.
struct ReadConfigurationCall {
  static constexpr auto fields() { return std::make_tuple(); }
};

/// @brief A worker reports.
struct WorkerReportCall {
  WorkerReport Report;

  static constexpr auto fields() {
    return std::make_tuple(&WorkerReportCall::Report);
  }
};

/// @brief A worker ends.
struct DeregisterWorkerCall {
  std::string Name;

  static constexpr auto fields() {
    return std::make_tuple(&DeregisterWorkerCall::Name);
  }
};

using CellCall = std::variant<JobCall, ConfigureCall, ReadConfigurationCall,
                              WorkerReportCall, DeregisterWorkerCall>;

/// @brief How a call ended.
enum class CellVerdict : std::uint8_t {
  Done,
  NotFound, ///< There is no such queue.
  Gone,     ///< There is no such job.
  Refused,  ///< It had and will have no effect; worth another try.
  Unknown   ///< It may have had its effect; worth the same call again.
};

/// @brief Names of the verdicts.
constexpr std::array<std::string_view, 5>
nameTable(CellVerdict /*Verdict*/) noexcept {
  return {"done", "not-found", "gone", "refused", "unknown"};
}

/// @brief Answer to a call.
struct CellReply {
  CellVerdict Verdict = CellVerdict::Done;
  JobPhase Phase = JobPhase::Queued; ///< Of the job that was read.
  bool IsQueue = false;              ///< `Pending` was asked for.
  std::uint32_t Pending = 0;         ///< Jobs without a started task.
  std::string Text;                  ///< Document or reason.

  static constexpr auto fields() {
    return std::make_tuple(&CellReply::Verdict, &CellReply::Phase,
                           &CellReply::IsQueue, &CellReply::Pending,
                           &CellReply::Text);
  }
};

} // namespace mulberryramp
