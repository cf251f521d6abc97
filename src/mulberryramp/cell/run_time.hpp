#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

#include <algorithm>

/// @file
/// @brief Estimates of the run times of tasks, for reviews and reservations.

namespace mulberryramp {

/// @brief Estimates the total run time of a task from its listed progress.
[[nodiscard]] inline Millis estimateTotalTime(const TaskLaunch &Launch) {
  return (Launch.ProgressAt - Launch.PhaseSince) * 100 /
         std::max<std::int64_t>(Launch.ProgressPercent, 1);
}

/// @brief Returns the mean run time of the finished tasks of a step, or its
/// estimate if none is finished.
[[nodiscard]] inline Millis expectedStepTime(const DispatchState &Dispatch,
                                             const StepKey &Key,
                                             const StepSpec &Spec) {
  const auto TimesIt = Dispatch.Times.find(Key);
  return TimesIt == Dispatch.Times.end() ? Spec.Estimate
                                         : TimesIt->second.mean();
}

} // namespace mulberryramp
