#include "mulberryramp/job/job.hpp"

#include <algorithm>

namespace mulberryramp {

std::uint32_t runCount(const JobSpec &Spec) noexcept {
  return std::max<std::uint32_t>(Spec.RepeatCount, 1);
}

WallTime dueTime(const Job &JobRow, std::uint32_t Run) noexcept {
  return JobRow.Spec.RepeatCount == 0
             ? JobRow.AcceptedAt
             : JobRow.Spec.FirstRunAt +
                   JobRow.Spec.RepeatInterval * static_cast<std::int64_t>(Run);
}

JobRun *findRun(Job &JobRow, std::uint32_t Run) noexcept {
  const auto It = std::find_if(
      JobRow.Runs.begin(), JobRow.Runs.end(),
      [Run](const JobRun &Existing) { return Existing.Number == Run; });
  return It == JobRow.Runs.end() ? nullptr : &*It;
}

const JobRun *findRun(const Job &JobRow, std::uint32_t Run) noexcept {
  return findRun(const_cast<Job &>(JobRow), Run); // NOLINT: read-only use.
}

bool isStepReady(const Job &JobRow, const JobRun &Run,
                 std::size_t Step) noexcept {
  const auto &DependsOn = JobRow.Spec.Steps[Step].DependsOn;
  return std::all_of(DependsOn.begin(), DependsOn.end(),
                     [&](std::uint32_t Earlier) {
                       const JobStep &EarlierStep = Run.Steps[Earlier];
                       return EarlierStep.Done == EarlierStep.Tasks.size();
                     });
}

Millis criticalPathTime(const JobSpec &Spec) {
  std::vector<Millis> Ends;
  Millis Longest{0};
  for (const StepSpec &Step : Spec.Steps) {
    Millis Begin{0};
    for (const std::uint32_t Earlier : Step.DependsOn) {
      Begin = std::max(Begin, Ends[Earlier]);
    }
    Ends.push_back(Begin + Step.Estimate);
    Longest = std::max(Longest, Ends.back());
  }
  return Longest;
}

} // namespace mulberryramp
