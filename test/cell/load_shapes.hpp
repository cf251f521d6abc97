#pragma once

#include "mulberryramp/job/configuration.hpp"

#include <cstdint>
#include <string>

/// @file
/// @brief Jobs, workers and advisor of the load tools.

namespace mulberryramp::test {

/// @brief Jobs of one queue: two steps of equal tasks.
struct JobShape {
  const char *Prefix;
  std::uint32_t Tasks;
  std::int64_t RunTimeMs;
  std::int64_t MilliCpus;
  std::uint32_t Priority;
  double DecisionMs;
  double PerWorkerMs;
};

inline constexpr JobShape ShortJob{"/short/", 8, 640, 4500, 0, 22, 0.32};
inline constexpr JobShape LongJob{"/long/", 17, 4800, 9000, 2, 430, 6.1};
inline constexpr std::int64_t LoadWorkerCpus = 32000;
inline constexpr std::int64_t LoadWorkerMemoryMb = 128000;
inline constexpr std::int64_t LoadTaskMemoryMb = 100;

/// @brief Computes the queue of a kind.
[[nodiscard]] JobQueue loadQueue(const JobShape &Kind);

/// @brief Renders what tasks of a kind are started with.
[[nodiscard]] std::string loadPayload(const JobShape &Kind);

/// @brief Tells whether the advisor admits a step to a worker.
[[nodiscard]] bool isAdmittedByAdvisor(const std::string &Step,
                                       const std::string &Worker);

} // namespace mulberryramp::test
