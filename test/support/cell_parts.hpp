#pragma once

#include "mulberryramp/job/state.hpp"

#include <string>

/// @file
/// @brief Parts that tests of cells are made of.

namespace mulberryramp::test {

/// @brief A queue "host/q/" for the workers of "pool".
[[nodiscard]] JobQueue makeTestQueue(std::uint32_t MaxAttempts);

/// @brief A configuration with just that queue.
[[nodiscard]] CellConfiguration
makeTestConfiguration(std::uint64_t Version, std::uint32_t MaxAttempts);

/// @brief The first report of the first life of a worker of "pool".
[[nodiscard]] WorkerReport makeTestReport(const std::string &Name,
                                          std::int64_t MilliCpus);

} // namespace mulberryramp::test
