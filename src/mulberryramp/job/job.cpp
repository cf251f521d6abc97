#include "mulberryramp/job/job.hpp"

#include <algorithm>

namespace mulberryramp {

std::uint32_t runCount(const JobSpec &Spec) noexcept {
  return std::max<std::uint32_t>(Spec.RepeatCount, 1);
}

WallTime dueTime(const Job &Item, std::uint32_t Run) noexcept {
  return Item.Spec.RepeatCount == 0
             ? Item.AcceptedAt
             : Item.Spec.FirstRunAt +
                   Item.Spec.RepeatInterval * static_cast<std::int64_t>(Run);
}

JobRun *findRun(Job &Item, std::uint32_t Run) noexcept {
  const auto Found =
      std::find_if(Item.Runs.begin(), Item.Runs.end(),
                   [Run](const JobRun &Each) { return Each.Number == Run; });
  return Found == Item.Runs.end() ? nullptr : &*Found;
}

const JobRun *findRun(const Job &Item, std::uint32_t Run) noexcept {
  return findRun(const_cast<Job &>(Item), Run); // NOLINT: read only.
}

bool isStepReady(const Job &Item, const JobRun &Run,
                 std::size_t Step) noexcept {
  const auto &After = Item.Spec.Steps[Step].DependsOn;
  return std::all_of(After.begin(), After.end(), [&](std::uint32_t Earlier) {
    const JobStep &Before = Run.Steps[Earlier];
    return Before.Done == Before.Tasks.size();
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
