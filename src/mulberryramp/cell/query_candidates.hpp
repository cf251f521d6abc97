#pragma once

#include "mulberryramp/cell/schedulable_workers.hpp"

#include <vector>

/// @file
/// @brief Workers that a query to the advisor names.

namespace mulberryramp {

/// @brief Fraction of the unknown workers, on which the advisor has not yet
/// decided, that it is expected to admit.
inline constexpr double ExpectedAdmissionRate = 0.4;

/// @brief A query that names unknown workers names at least this many, if
/// available.
inline constexpr std::size_t MinUnknownWorkers = 8;

/// @brief A step whose workers the advisor decides on.
struct AdvisedStep {
  const StepKey &Key;
  const Job &Owner;
  const StepSpec &Spec;
  const JobStep &Step;
  const StepAdvice &Advice;
};

/// @brief Tells whether the advisor has not yet decided on a worker.
/// @param Advice Advice on a step, or null if it needs none.
[[nodiscard]] bool isUnknown(const StepAdvice *Advice, WorkerInstanceId Worker);

/// @brief Chooses the workers of a query: those with enough free resources,
/// first those whose ticket expired, then those that the advisor has not
/// decided on.
/// @param Unplaced Number of tasks of the step without a worker.
/// @param IncludesBusy Workers without room are named if the others have too
/// little.
/// @return The workers, best first; empty if there is no candidate.
[[nodiscard]] std::vector<WorkerInstanceId>
chooseQueryWorkers(const AdvisedStep &Advised, std::size_t Unplaced,
                   const SchedulableWorkers &Schedulable, bool IncludesBusy,
                   Instant Now);

} // namespace mulberryramp
