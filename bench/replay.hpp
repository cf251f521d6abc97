#pragma once

#include "mulberryramp/config/rules.hpp"
#include "mulberryramp/system/placement.hpp"
#include "trace.hpp"

#include <map>
#include <string>
#include <vector>

namespace mulberryramp::bench {

/// @brief Outcome of a replay in virtual time.
struct ReplayResult {
  std::map<std::string, std::vector<std::int64_t>> WaitMsByClass;
  std::map<std::string, std::vector<std::int64_t>> WaitMsByTeam;
  double MeanUtilization = 0; ///< Scarcest resource, while work waited.
  double MeanWaitMs = 0;      ///< Of all tasks that started.
  std::int64_t EndMs = 0;     ///< When the last finite task ended.
  std::int64_t BoundMs = 0;   ///< No schedule can end the finite work earlier.
  std::size_t Placements = 0;
  std::size_t Runs = 0;
  std::size_t Considered = 0;
  std::size_t Preempted = 0;
  std::size_t Failed = 0;         ///< Requests that failed.
  std::size_t Overcommits = 0;    ///< Broken invariants of the ledger.
  std::size_t Unfinished = 0;     ///< Finite requests without an outcome.
  std::vector<double> DecisionMs; ///< Wall time of each run of placement.
  double PlacementSeconds = 0;    ///< Their sum.
};

/// @brief Replays a trace through the systems that the daemon runs.
/// @param Recorded The trace.
/// @param InForce The rules.
/// @param Options Ways of placing.
/// @return What came of it.
[[nodiscard]] ReplayResult replay(const Trace &Recorded,
                                  const Rules &ActiveRules,
                                  const PlacementOptions &Options);

/// @brief The plain baseline: first fit in order of arrival, no backfill.
[[nodiscard]] PlacementOptions baselineOptions();

/// @brief Rules under which the standard loads are replayed.
[[nodiscard]] Rules benchRules();

/// @brief Reads a percentile.
/// @param Values The values, in any order.
/// @param Percent From 0 to 100.
/// @return The value; 0 for no values.
[[nodiscard]] std::int64_t percentile(std::vector<std::int64_t> Values,
                                      double Percent);

} // namespace mulberryramp::bench
