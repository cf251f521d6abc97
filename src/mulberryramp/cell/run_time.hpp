#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

#include <algorithm>

/// @file
/// @brief Estimates of the run times of tasks, for reviews and reservations.

namespace mulberryramp {

/// @brief Returns the listed progress of a task since its baseline, in percent.
[[nodiscard]] inline std::uint32_t measuredProgress(const TaskLaunch &Launch) {
  return Launch.Baseline && Launch.ProgressPercent > Launch.Baseline->Percent
             ? Launch.ProgressPercent - Launch.Baseline->Percent
             : 0;
}

/// @brief Returns the time in which a task made its measured progress.
[[nodiscard]] inline Millis measuredTime(const TaskLaunch &Launch) {
  return Launch.Baseline ? Launch.ProgressAt - Launch.Baseline->At : Millis{0};
}

/// @brief Estimates the total run time of a task, from start to end, from its
/// measured progress.
[[nodiscard]] inline Millis estimateTotalTime(const TaskLaunch &Launch) {
  return measuredTime(Launch) * 100 /
         std::max<std::int64_t>(measuredProgress(Launch), 1);
}

/// @brief Estimates when a task ends.
/// @param Launch A launch with a baseline.
[[nodiscard]] inline Instant estimateEnd(const TaskLaunch &Launch) {
  return Launch.Baseline->At +
         estimateTotalTime(Launch) * (100 - Launch.Baseline->Percent) / 100;
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
