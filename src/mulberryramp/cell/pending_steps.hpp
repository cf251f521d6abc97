#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

#include <vector>

/// @file
/// @brief The steps that a planning pass works on, and their order.

namespace mulberryramp {

/// @brief Maximum number of workers in one query to the advisor; the answer
/// time grows with it.
inline constexpr std::size_t MaxQueryWorkers = 30;

/// @brief Computes the soft deadline of a run: its due time, plus the latency
/// target of the queue, plus the critical path time of the job times the slack
/// factor of the queue.
[[nodiscard]] WallTime softDeadlineOf(const Job &JobRow, std::uint32_t Run);

/// @brief Computes the time after the submission of a job in which its
/// completion is still of use: three times that to its soft deadline.
[[nodiscard]] Millis usefulTimeOf(const JobSpec &Spec, const JobQueue &Queue);

/// @brief A step with unassigned tasks.
struct PendingStep {
  StepKey Key;
  std::uint32_t Priority = 0;
  bool IsExcess = false; ///< See `Job::IsExcess`.
  bool IsFarOverdue = false;
  bool IsLate = false; ///< It can no longer meet its soft deadline.
  WallTime SoftDeadline;
};

/// @brief Compares two steps in planning order.
[[nodiscard]] bool operator<(const PendingStep &Lhs, const PendingStep &Rhs);

/// @brief Steps with unassigned tasks, in planning order.
struct PendingSteps {
  std::vector<PendingStep> Ready;
  /// Steps that need advice and whose earlier steps are expected to end soon.
  std::vector<PendingStep> SoonReady;
};

/// @brief Collects all steps with unassigned tasks.
[[nodiscard]] PendingSteps collectPendingSteps(const DispatchState &Dispatch,
                                               const CellState &State,
                                               Instant Now, WallTime WallNow);

} // namespace mulberryramp
