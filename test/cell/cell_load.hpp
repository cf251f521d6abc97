#pragma once

#include <cstddef>
#include <cstdint>

/// @file
/// @brief Drives the leader of a cell with workers in memory, in virtual time,
/// and measures the processor time that the leader spends.

namespace mulberryramp::test {

/// @brief What a run of the load tool plays.
struct CellLoadOptions {
  std::size_t Workers = 350;
  std::size_t Nodes = 40;         ///< Nodes that ask the advisor.
  double ShortJobsPerSecond = 40; ///< Two steps of 8 tasks of 640 ms.
  double LongJobsPerSecond = 4;   ///< Two steps of 17 tasks of 4,800 ms.
  std::int64_t Seconds = 30;
  std::int64_t StallAt = -1; ///< Second at which no order is answered, or -1.
  std::int64_t StallFor = 2; ///< Seconds.
  std::int64_t StepMs = 2;   ///< Virtual time between steps of the leader.
};

/// @brief What a run showed.
struct CellLoadResult {
  std::uint64_t Submitted = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Starts = 0;
  std::uint64_t Renewals = 0;
  std::uint64_t Queries = 0;
  double NodeSeconds = 0;    ///< Processor time in the node.
  double CodecSeconds = 0;   ///< Processor time in the gateway and codec.
  double SlowestStep = 0;    ///< Seconds.
  double MeanTurnaround = 0; ///< Of completed jobs, virtual seconds.
};

/// @brief Plays a load.
[[nodiscard]] CellLoadResult runCellLoad(const CellLoadOptions &Options);

} // namespace mulberryramp::test
