#pragma once

#include "mulberryramp/core/fwd.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

/// @file
/// @brief Admission of jobs under overload: decides which submissions are
/// refused at once, and when their callers may return.
///
/// An accepted job always runs, so room that is missing can only be saved at
/// the submission. It answers two loads: one organisation that sends many times
/// the rate that it is owed, and a backlog that no job can pass in useful time.

namespace mulberryramp {

/// @brief Time that the pool needs for the tasks that wait without room, by
/// pool and priority. Jobs beyond the rate of their organisation do not count,
/// as they come after all others.
using PoolBacklog = std::map<std::pair<std::string, std::uint32_t>, Millis>;

/// @brief Returns the waiting work of a pool that comes before a job.
/// @param MaxPriority Highest value of the priority that counts.
[[nodiscard]] Millis backlogOf(const PoolBacklog &Backlog,
                               const std::string &Pool,
                               std::uint32_t MaxPriority);

/// @brief What the admission of a job depends on.
struct AdmissionRequest {
  bool IsExcess = false; ///< Beyond the rate that its organisation is owed.
  Millis Backlog{0};     ///< Waiting work that comes before it.
  /// Time after its submission in which its completion is still of use.
  Millis UsefulTime{0};
  std::uint64_t Hash = 0; ///< Spreads the times at which callers return.
};

/// @brief Outcome of an admission.
struct AdmissionDecision {
  bool IsAccepted = true;
  Millis RetryAfter{0};      ///< Only if it is refused.
  std::string_view Reason{}; ///< Only if it is refused; for logs and replies.
};

/// @brief Decides about a job.
[[nodiscard]] AdmissionDecision
decideAdmission(const AdmissionRequest &Request);

} // namespace mulberryramp
