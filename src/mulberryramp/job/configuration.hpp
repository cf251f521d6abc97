#pragma once

#include "mulberryramp/job/fwd.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace mulberryramp {

/// @brief What it costs to ask which workers a step may use.
struct AdvisorOptions {
  double DecisionMs = 0;  ///< For each question.
  double PerWorkerMs = 0; ///< For each worker in it.
  Millis TicketTtl{0};    ///< How long an answer admits starts.

  bool operator==(const AdvisorOptions &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&AdvisorOptions::DecisionMs,
                           &AdvisorOptions::PerWorkerMs,
                           &AdvisorOptions::TicketTtl);
  }
};

/// @brief A queue of jobs and how it is served.
struct JobQueue {
  std::string Host;           ///< With `Prefix`, the identity of the queue.
  std::string Prefix;         ///< Paths of its jobs begin so.
  std::string Pool;           ///< Workers that run its tasks.
  std::uint32_t Priority = 0; ///< Lower ones go first.
  std::uint32_t MaxAttempts = 1;
  double SlackFactor = 1;  ///< Allowed stretch of the pure run time.
  Millis LatencyTarget{0}; ///< Allowed time beside the run time.
  std::optional<AdvisorOptions> Advice; ///< Set if workers need admission.

  bool operator==(const JobQueue &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&JobQueue::Host, &JobQueue::Prefix, &JobQueue::Pool,
                           &JobQueue::Priority, &JobQueue::MaxAttempts,
                           &JobQueue::SlackFactor, &JobQueue::LatencyTarget,
                           &JobQueue::Advice);
  }
};

/// @brief All queues, as one version; the highest accepted one is in force.
struct CellConfiguration {
  std::uint64_t Version = 0;
  std::vector<JobQueue> Queues;
  std::string SourceDocument; ///< As the operator sent it.

  bool operator==(const CellConfiguration &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&CellConfiguration::Version,
                           &CellConfiguration::Queues,
                           &CellConfiguration::SourceDocument);
  }
};

/// @brief Finds the queue whose prefix is the longest that a path begins with.
/// @return The queue, or null.
[[nodiscard]] const JobQueue *matchQueue(const CellConfiguration &Configuration,
                                         std::string_view Host,
                                         std::string_view Path);

/// @brief Finds a queue by its identity.
/// @return The queue, or null.
[[nodiscard]] const JobQueue *
findQueueById(const CellConfiguration &Configuration, std::string_view Host,
              std::string_view Prefix);

} // namespace mulberryramp
