#include "mulberryramp/job/job.hpp"

#include <algorithm>

namespace mulberryramp {

namespace {

// Encoded sizes without strings, rounded up for large numbers.
constexpr std::uint64_t JobFieldBytes = 96;
constexpr std::uint64_t StepFieldBytes = 96;
constexpr std::uint64_t TaskBytes = 24;

} // namespace

std::uint64_t estimateBytes(const JobSpec &Spec) noexcept {
  std::uint64_t Bytes = Spec.Payload.size();
  for (const StepSpec &Step : Spec.Steps) {
    Bytes += StepFieldBytes + Step.Label.size() + Step.DataRack.size() +
             Step.Image.size() + Step.DependsOn.size() + Step.Tasks * TaskBytes;
  }
  return Bytes;
}

std::uint64_t estimateBytes(const Job &JobRow) noexcept {
  return JobFieldBytes + JobRow.Name.size() + estimateBytes(JobRow.Spec) +
         JobRow.Queue.Host.size() + JobRow.Queue.Prefix.size() +
         JobRow.Queue.Pool.size() + JobRow.Organisation.size();
}

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

namespace {

/// @param TimeOf Returns the run time of the step with a given index.
template <typename TimeOfStep>
Millis longestPathTime(const JobSpec &Spec, TimeOfStep TimeOf) {
  std::vector<Millis> Ends;
  Millis Longest{0};
  for (std::size_t Step = 0; Step < Spec.Steps.size(); ++Step) {
    Millis Begin{0};
    for (const std::uint32_t Earlier : Spec.Steps[Step].DependsOn) {
      Begin = std::max(Begin, Ends[Earlier]);
    }
    Ends.push_back(Begin + TimeOf(Step));
    Longest = std::max(Longest, Ends.back());
  }
  return Longest;
}

} // namespace

Millis criticalPathTime(const JobSpec &Spec) {
  return longestPathTime(
      Spec, [&Spec](std::size_t Step) { return Spec.Steps[Step].Estimate; });
}

Millis remainingPathTime(const Job &JobRow, const JobRun &Run) {
  return longestPathTime(JobRow.Spec, [&](std::size_t Step) {
    const JobStep &StepRow = Run.Steps[Step];
    return StepRow.Done == StepRow.Tasks.size()
               ? Millis{0}
               : JobRow.Spec.Steps[Step].Estimate;
  });
}

} // namespace mulberryramp
