#include "mulberryramp/job/spec.hpp"

#include <algorithm>

namespace mulberryramp {

std::string validateJobSpec(const JobSpec &Spec) {
  if (Spec.Payload.size() > MaxJobPayloadBytes) {
    return "the payload is too long";
  }
  if (Spec.Steps.empty() || Spec.Steps.size() > MaxJobSteps) {
    return "a job has from 1 to " + std::to_string(MaxJobSteps) + " steps";
  }
  if (Spec.RepeatCount > 1 && Spec.RepeatInterval.count() <= 0) {
    return "repeated runs need a time between them";
  }
  for (std::size_t Index = 0; Index < Spec.Steps.size(); ++Index) {
    const StepSpec &Step = Spec.Steps[Index];
    const std::string Prefix = "step " + std::to_string(Index) + ": ";
    if (Step.Tasks == 0 || Step.Tasks > MaxStepTasks) {
      return Prefix + "a step has from 1 to " + std::to_string(MaxStepTasks) +
             " tasks";
    }
    if (!isNonNegative(Step.Need)) {
      return Prefix + "a task cannot need less than nothing";
    }
    const bool InOrder =
        std::all_of(Step.DependsOn.begin(), Step.DependsOn.end(),
                    [Index](std::uint32_t Earlier) { return Earlier < Index; });
    if (!InOrder) {
      return Prefix + "it may only follow earlier steps";
    }
  }
  return {};
}

} // namespace mulberryramp
