#include "cell/cap_schedule.hpp"

#include <algorithm>

namespace mulberryramp::test {

namespace {

constexpr std::size_t OwnerCount = 2;
/// Gangs have up to four members and must not be refused.
constexpr std::int64_t MinTasks = 4;
constexpr std::int64_t MaxTasks = 6;
/// Cap at the end, when all jobs have to run beside long-running ones.
constexpr std::int64_t FinalTasks = 16;
/// A start may arrive this long after its assignment, unless it is late.
constexpr Millis MaxStartDelay{1500};
constexpr std::int64_t TrapFactor = 4;
constexpr double Weight = 2;

std::string nameOf(std::size_t Owner) { return "o" + std::to_string(Owner); }

} // namespace

CapSchedule::CapSchedule(std::int64_t TaskCpus, bool IsTrap)
    : TaskCpus{TaskCpus}, IsTrap{IsTrap},
      Caps(OwnerCount, {Cap{MaxTasks, {}}}) {}

std::size_t CapSchedule::ownerOf(const std::string &Job) {
  return static_cast<std::size_t>(Job.back()) % OwnerCount;
}

std::string CapSchedule::keyOf(const std::string &Job) const {
  return "key of " + nameOf(ownerOf(Job));
}

void CapSchedule::set(std::size_t Owner, std::int64_t Tasks) {
  Caps[Owner].push_back({Tasks, {}});
}

void CapSchedule::change(Random &Rng) {
  set(Rng.below(OwnerCount),
      MinTasks + static_cast<std::int64_t>(Rng.below(MaxTasks - MinTasks + 1)));
}

void CapSchedule::raise() {
  for (std::size_t Owner = 0; Owner < OwnerCount; ++Owner) {
    set(Owner, FinalTasks);
  }
}

void CapSchedule::addTo(CellConfiguration &Configuration) const {
  Configuration.RequiresKeys = true;
  for (std::size_t Owner = 0; Owner < OwnerCount; ++Owner) {
    Organisation Row;
    Row.Name = nameOf(Owner);
    Row.KeyDigests = {"key of " + Row.Name};
    Row.Weight = Weight;
    Row.Cap.MilliCpus =
        Caps[Owner].back().Tasks * TaskCpus * (IsTrap ? TrapFactor : 1);
    Configuration.Organisations.push_back(std::move(Row));
  }
}

void CapSchedule::onAcknowledged(Instant Now) {
  for (std::vector<Cap> &History : Caps) {
    for (std::size_t Index = 0; Index + 1 < History.size(); ++Index) {
      History[Index].ReplacedAt = History[Index].ReplacedAt.value_or(Now);
    }
  }
}

std::string
CapSchedule::checkStart(const std::string &Job,
                        const std::map<std::string, std::int64_t> &RunningTasks,
                        Instant Now) const {
  const std::size_t Owner = ownerOf(Job);
  std::int64_t Allowed = 0;
  for (const Cap &Row : Caps[Owner]) {
    if (!Row.ReplacedAt || Now - *Row.ReplacedAt < MaxStartDelay) {
      Allowed = std::max(Allowed, Row.Tasks);
    }
  }
  std::int64_t Used = 0;
  for (const auto &[Name, Tasks] : RunningTasks) {
    Used += ownerOf(Name) == Owner ? Tasks : 0;
  }
  return Used <= Allowed + 1
             ? ""
             : "organisation " + nameOf(Owner) + " runs " +
                   std::to_string(Used) + " tasks, its cap is " +
                   std::to_string(Allowed);
}

} // namespace mulberryramp::test
