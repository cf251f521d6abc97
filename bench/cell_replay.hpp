#pragma once

#include "cell_load.hpp"
#include "mulberryramp/cell/dispatcher.hpp"

/// @file
/// @brief Replays a load against the dispatch code of the leader of a cell in
/// virtual time, with simulated workers and a simulated advisor.

namespace mulberryramp::bench {

/// @brief Parameters of the simulated cell.
struct CellReplayOptions {
  std::size_t Workers = 350;
  std::size_t Nodes = 48; ///< Nodes that can query the advisor.
  Millis CommitTime{20};  ///< From a proposal to its commit.
  Millis OneWay{6};       ///< Between the leader and a worker.
  bool HasPreemption = false;
  bool HasAdmissionControl = false;
  Millis MaxStopTime{900}; ///< Longest time until a stopped task ends.
  /// Virtual time that a second of processor time of the leader takes; 0
  /// charges none and makes the result repeatable.
  double ProcessorFactor = 0;
};

/// @brief Outcome of the jobs of one kind.
struct ClassResult {
  std::size_t Jobs = 0;
  std::size_t InTime = 0; ///< Completed within the time that was asked for.
  std::size_t Late = 0;   ///< Completed within three times that.
  std::size_t Refused = 0;
  double Worth = 0; ///< In time counts 1, late 0.2, weighted by work.
  double Owed = 0;
};

/// @brief Measurements of a replay.
struct CellReplayResult {
  std::array<ClassResult, 3> Classes; ///< By `JobClass`.
  std::vector<ClassResult> Organisations;
  double MeanUtilization = 0;      ///< Of the processors.
  std::vector<double> Utilization; ///< Of the processors, at each second.
  double DecisionSeconds = 0; ///< Processor time of the leader's decisions.
  double LongestStepMs = 0;   ///< Longest step of the leader, processor time.
  std::size_t Starts = 0;
  std::size_t Stops = 0;
};

/// @brief Replays a load.
[[nodiscard]] CellReplayResult replayCell(const std::vector<LoadJob> &Jobs,
                                          const LoadOptions &Load,
                                          const CellReplayOptions &Options);

} // namespace mulberryramp::bench
