#pragma once

#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/job/state.hpp"

#include <string>

/// @file
/// @brief Configurations and worker reports for tests of cells.

namespace mulberryramp::test {

/// @brief Builds a queue with host "host" and prefix "/q/" for the workers of
/// pool "pool".
[[nodiscard]] JobQueue makeTestQueue(std::uint32_t MaxAttempts);

/// @brief Builds a configuration that contains only that queue.
[[nodiscard]] CellConfiguration
makeTestConfiguration(std::uint64_t Version, std::uint32_t MaxAttempts);

/// @brief Builds the first report of the first instance of a worker of pool
/// "pool".
[[nodiscard]] WorkerReport makeTestReport(const std::string &Name,
                                          std::int64_t MilliCpus);

/// @brief Builds the start parameters of the only voter of a cell.
[[nodiscard]] CellNodeOptions makeSingleVoterOptions(NodeId Self);

/// @brief Registers the first instance of a worker of pool "pool" with a leader
/// and records its first report.
void registerTestWorker(DispatchState &Dispatch, CellState &State,
                        const std::string &Name, std::int64_t MilliCpus,
                        Instant Now);

} // namespace mulberryramp::test
