#pragma once

#include "mulberryramp/job/fwd.hpp"
#include "mulberryramp/job/organisation.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace mulberryramp {

/// @brief Expected cost of an advisor query, and the validity of its answer.
///
/// The advisor decides which workers may run the tasks of a step.
struct AdvisorOptions {
  double DecisionMs = 0;  ///< Milliseconds per query.
  double PerWorkerMs = 0; ///< Additional milliseconds per worker in a query.
  Millis TicketTtl{0};    ///< How long a ticket admits starts.

  bool operator==(const AdvisorOptions &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&AdvisorOptions::DecisionMs,
                           &AdvisorOptions::PerWorkerMs,
                           &AdvisorOptions::TicketTtl);
  }
};

/// @brief A queue of jobs with its worker pool, priority and targets.
struct JobQueue {
  std::string Host;           ///< Identifies the queue, together with `Prefix`.
  std::string Prefix;         ///< Prefix of the paths of its jobs.
  std::string Pool;           ///< Pool of the workers that run its tasks.
  std::uint32_t Priority = 0; ///< Lower values are served first.
  std::uint32_t MaxAttempts = 1; ///< Failures of one task until the job fails.
  double SlackFactor = 1; ///< Allowed total time as a multiple of the run time.
  Millis LatencyTarget{0}; ///< Allowed time in addition to the run time.
  std::optional<AdvisorOptions>
      Advice;            ///< Set if starts need a ticket of the advisor.
  bool IsPublic = false; ///< Callers need no key.

  bool operator==(const JobQueue &) const = default;

  static constexpr std::size_t MandatoryFields = 8; ///< See `encode`.
  static constexpr auto fields() {
    return std::make_tuple(&JobQueue::Host, &JobQueue::Prefix, &JobQueue::Pool,
                           &JobQueue::Priority, &JobQueue::MaxAttempts,
                           &JobQueue::SlackFactor, &JobQueue::LatencyTarget,
                           &JobQueue::Advice, &JobQueue::IsPublic);
  }
};

/// @brief One version of all queues; the highest accepted version is active.
struct CellConfiguration {
  std::uint64_t Version = 0;
  std::vector<JobQueue> Queues;
  std::string SourceDocument; ///< The document as the operator sent it.
  /// Callers of queues that are not public need a key of an organisation.
  bool RequiresKeys = false;
  std::vector<Organisation> Organisations;

  bool operator==(const CellConfiguration &) const = default;

  static constexpr std::size_t MandatoryFields = 3; ///< See `encode`.
  static constexpr auto fields() {
    return std::make_tuple(
        &CellConfiguration::Version, &CellConfiguration::Queues,
        &CellConfiguration::SourceDocument, &CellConfiguration::RequiresKeys,
        &CellConfiguration::Organisations);
  }
};

/// @brief Finds the queue of a host with the longest prefix of a path.
/// @return The queue, or null; valid while the configuration is unchanged.
[[nodiscard]] const JobQueue *matchQueue(const CellConfiguration &Configuration,
                                         std::string_view Host,
                                         std::string_view Path);

/// @brief Finds a queue by its host and exact prefix.
/// @return The queue, or null; valid while the configuration is unchanged.
[[nodiscard]] const JobQueue *
findQueueById(const CellConfiguration &Configuration, std::string_view Host,
              std::string_view Prefix);

/// @brief Finds an organisation by its name.
/// @return The organisation, or null; valid while the configuration is
/// unchanged.
[[nodiscard]] const Organisation *
findOrganisation(const CellConfiguration &Configuration, std::string_view Name);

} // namespace mulberryramp
