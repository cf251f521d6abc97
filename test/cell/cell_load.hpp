#pragma once

#include <cstddef>
#include <cstdint>

/// @file
/// @brief Load test of a cell's leader. It runs the leader with fake workers in
/// virtual time and measures the CPU time of the leader and of the codecs. It
/// opens no sockets and uses no other nodes.

namespace mulberryramp::test {

/// @brief Load of one run.
struct CellLoadOptions {
  std::size_t Workers = 350;
  std::size_t Nodes = 40;         ///< Nodes that query the advisor.
  double ShortJobsPerSecond = 40; ///< Two steps of 8 tasks of 640 ms each.
  double LongJobsPerSecond = 4;   ///< Two steps of 17 tasks of 4,800 ms each.
  std::int64_t Seconds = 30;      ///< Duration of the traffic.
  /// Second of the traffic from which no order is answered; -1: never.
  std::int64_t StallAtSecond = -1;
  std::int64_t StallSeconds = 2; ///< Duration of the stall.
  std::int64_t StepMs = 2;       ///< Virtual time per step of the leader.
};

/// @brief Counts and times of one run.
struct CellLoadResult {
  std::uint64_t Submitted = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Starts = 0;
  std::uint64_t Renewals = 0;
  std::uint64_t Queries = 0;
  double NodeSeconds = 0;  ///< CPU time of the leader.
  double CodecSeconds = 0; ///< CPU time of the gateway and the message codec.
  double SlowestStepSeconds = 0; ///< CPU time.
  /// Virtual time from submission to completion.
  double MeanTurnaroundSeconds = 0;
};

/// @brief Runs the leader under a load until the traffic ends.
/// @param Options Load; StepMs must be positive. A rate of 0 submits no jobs of
/// that kind.
[[nodiscard]] CellLoadResult runCellLoad(const CellLoadOptions &Options);

} // namespace mulberryramp::test
