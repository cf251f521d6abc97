#pragma once

#include "mulberryramp/core/resources.hpp"
#include "mulberryramp/job/fwd.hpp"

#include <string>
#include <vector>

namespace mulberryramp {

/// @brief A group of identical tasks with their placement constraints.
struct StepSpec {
  std::uint32_t Tasks = 1;
  Resources Need;     ///< Resources of each task.
  Millis Estimate{0}; ///< Estimated run time of a task.
  std::vector<std::uint32_t>
      DependsOn;                ///< Indexes of earlier steps that must be done.
  bool IsCheckpointed = false;  ///< Tasks write checkpoints.
  bool IsGang = false;          ///< All tasks run at the same time, or none.
  bool PrefersSameRack = false; ///< Tasks run slower if they span racks.
  bool IsLongRunning = false;   ///< Tasks run until the job is cancelled.
  bool IsSpeculative = false;   ///< A task may run as several copies.
  bool IsBestEffortCpu =
      false;            ///< CPU is not counted against the worker's capacity.
  std::string Label;    ///< Required worker label; empty if none.
  std::string DataRack; ///< Rack that holds the data; empty if none.
  std::uint32_t MaxPerWorker = 0; ///< Maximum tasks per worker; 0: no limit.
  std::string Image;              ///< Image that the tasks run.
  Millis TailLatencyLimit{0};     ///< Limit of the tail latency; 0: none.
  std::uint32_t MaxUnavailable =
      0; ///< Maximum tasks down by voluntary disruption.

  bool operator==(const StepSpec &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(
        &StepSpec::Tasks, &StepSpec::Need, &StepSpec::Estimate,
        &StepSpec::DependsOn, &StepSpec::IsCheckpointed, &StepSpec::IsGang,
        &StepSpec::PrefersSameRack, &StepSpec::IsLongRunning,
        &StepSpec::IsSpeculative, &StepSpec::IsBestEffortCpu, &StepSpec::Label,
        &StepSpec::DataRack, &StepSpec::MaxPerWorker, &StepSpec::Image,
        &StepSpec::TailLatencyLimit, &StepSpec::MaxUnavailable);
  }
};

/// @brief Job description as submitted by the caller.
struct JobSpec {
  std::string Payload; ///< Passed to the worker with each task.
  std::vector<StepSpec> Steps;
  std::uint32_t RepeatCount = 0; ///< Number of runs; 0: one run, due at once.
  WallTime FirstRunAt;           ///< Due time of the first repeated run.
  Millis RepeatInterval{0};      ///< Time between the due times of runs.

  bool operator==(const JobSpec &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&JobSpec::Payload, &JobSpec::Steps,
                           &JobSpec::RepeatCount, &JobSpec::FirstRunAt,
                           &JobSpec::RepeatInterval);
  }
};

/// @brief Checks a job description against the limits of the module.
/// @return The first error found; empty if the job is valid.
[[nodiscard]] std::string validateJobSpec(const JobSpec &Spec);

} // namespace mulberryramp
