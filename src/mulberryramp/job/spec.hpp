#pragma once

#include "mulberryramp/core/resources.hpp"
#include "mulberryramp/job/fwd.hpp"

#include <string>
#include <vector>

namespace mulberryramp {

/// @brief Equal tasks that a job needs, and how they have to be placed.
struct StepSpec {
  std::uint32_t Tasks = 1;
  Resources Need;     ///< Of each task.
  Millis Estimate{0}; ///< Rough run time of a task.
  std::vector<std::uint32_t>
      DependsOn;                ///< Earlier steps that must be done first.
  bool IsCheckpointed = false;  ///< Tasks write checkpoints.
  bool IsGang = false;          ///< All tasks run at the same time, or none.
  bool PrefersSameRack = false; ///< Tasks are slower on more than one rack.
  bool IsLongRunning = false;   ///< Tasks run until the job is cancelled.
  bool IsSpeculative = false;   ///< Copies of a task may run side by side.
  bool IsBestEffortCpu =
      false;            ///< Processors are not counted against a worker.
  std::string Label;    ///< Label that the worker must have, or none.
  std::string DataRack; ///< Rack with the data, or none.
  std::uint32_t MaxPerWorker = 0; ///< Most tasks on one worker; 0: no limit.
  std::string Image;              ///< What the tasks run.
  Millis TailLatencyLimit{
      0}; ///< Limit for the tail of response times; 0: none.
  std::uint32_t MaxUnavailable = 0; ///< Tasks that may be away by our doing.

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

/// @brief What a caller asks to run.
struct JobSpec {
  std::string Payload; ///< Passed to the worker with each task.
  std::vector<StepSpec> Steps;
  std::uint32_t RepeatCount = 0; ///< Runs of all steps; 0: one, at once.
  WallTime FirstRunAt;           ///< When the first of repeated runs is due.
  Millis RepeatInterval{0};

  bool operator==(const JobSpec &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&JobSpec::Payload, &JobSpec::Steps,
                           &JobSpec::RepeatCount, &JobSpec::FirstRunAt,
                           &JobSpec::RepeatInterval);
  }
};

/// @brief Tells whether steps and limits of a job make sense.
/// @return Why not, or an empty text.
[[nodiscard]] std::string validateJobSpec(const JobSpec &Spec);

} // namespace mulberryramp
