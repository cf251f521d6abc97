#pragma once

#include "mulberryramp/job/configuration.hpp"

#include <cstdint>
#include <string>

/// @file
/// @brief Job shapes, worker sizes and advisor model that the load test and the
/// emulator share.

namespace mulberryramp::test {

/// @brief Shape of the jobs of one queue: two steps of equal tasks, the second
/// after the first.
struct JobShape {
  const char *Prefix;
  std::uint32_t Tasks;
  std::int64_t RunTimeMs; ///< Run time of a task.
  std::int64_t MilliCpus;
  std::uint32_t Priority;
  double DecisionMs;  ///< Advisor time per query.
  double PerWorkerMs; ///< Additional advisor time per worker.
};

inline constexpr JobShape ShortJob{"/short/", 8, 640, 4500, 0, 22, 0.32};
inline constexpr JobShape LongJob{"/long/", 17, 4800, 9000, 2, 430, 6.1};
inline constexpr std::int64_t LoadWorkerCpus = 32000;
inline constexpr std::int64_t LoadWorkerMemoryMb = 128000;
inline constexpr std::int64_t LoadTaskMemoryMb = 100;

/// @brief Builds the queue configuration for jobs of a shape.
[[nodiscard]] JobQueue loadQueue(const JobShape &Shape);

/// @brief Builds the payload that sets the run time of a task on a FakeWorker,
/// followed by padding.
[[nodiscard]] std::string loadPayload(const JobShape &Shape);

/// @brief Tells whether the advisor admits a step to a worker. The answer is
/// the same for every call with the same arguments.
[[nodiscard]] bool isAdmittedByAdvisor(const std::string &Step,
                                       const std::string &Worker);

} // namespace mulberryramp::test
