#pragma once

#include "mulberryramp/config/rules.hpp"
#include "mulberryramp/system/placement.hpp"
#include "trace.hpp"

#include <map>
#include <string>
#include <vector>

/// @file
/// @brief Benchmark of the scheduler of a data centre: replays recorded or
/// generated loads in virtual time, without sockets, files and threads.

namespace mulberryramp::bench {

/// @brief Measurements of a replay in virtual time.
struct ReplayResult {
  std::map<std::string, std::vector<std::int64_t>> WaitMsByClass;
  std::map<std::string, std::vector<std::int64_t>> WaitMsByTeam;
  double MeanUtilization = 0; ///< Of the scarcest resource while tasks queue.
  double MeanWaitMs = 0;      ///< Mean over all started tasks.
  std::int64_t EndMs = 0;     ///< When the last attempt ended.
  std::int64_t BoundMs = 0;   ///< Lower bound of the makespan of finite work.
  std::size_t Placements = 0;
  std::size_t Runs = 0; ///< Placement runs.
  std::size_t RequestsExamined = 0;
  std::size_t Preempted = 0;
  std::size_t Failed = 0;         ///< Requests that failed.
  std::size_t Overcommits = 0;    ///< Violated invariants of the ledger.
  std::size_t Unfinished = 0;     ///< Finite requests that are still pending.
  std::vector<double> DecisionMs; ///< Wall time per placement, of each run.
  double PlacementSeconds = 0;    ///< Wall time of all runs.
};

/// @brief Replays a trace in virtual time with the placement, preemption and
/// failure handling of the daemon.
/// @param Recorded The trace.
/// @param ActiveRules The rules.
/// @param Options Options of the placement.
[[nodiscard]] ReplayResult replay(const Trace &Recorded,
                                  const Rules &ActiveRules,
                                  const PlacementOptions &Options);

/// @brief Options of the baseline: first fit in order of arrival, without
/// reservation, backfill and preemption.
[[nodiscard]] PlacementOptions baselineOptions();

/// @brief Rules for the replay of the standard loads.
[[nodiscard]] Rules benchRules();

/// @brief Computes a percentile by the nearest-rank method.
/// @param Values The values, in any order.
/// @param Percent From 0 to 100.
/// @return The percentile; 0 if there are no values.
[[nodiscard]] std::int64_t percentile(std::vector<std::int64_t> Values,
                                      double Percent);

} // namespace mulberryramp::bench
