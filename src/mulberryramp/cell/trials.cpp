#include "mulberryramp/cell/trials.hpp"

#include "mulberryramp/cell/crash_attribution.hpp"
#include "mulberryramp/core/random.hpp"

#include <algorithm>

namespace mulberryramp {

namespace {

/// Backoff of a suspect after its second crash.
constexpr Millis MinTrialBackoff{1000};
/// Longest backoff of a long-running task, without the delay that spreads the
/// trials. It is promised a run within 9 s of its last one, also if it is sound
/// and only its workers crash.
constexpr Millis MaxLongRunningBackoff{4000};
/// One in this many suspects of a step is started at a time.
constexpr std::size_t SuspectsPerTrial = 4;
/// Spreads the trials of different tasks. Two that wait equally long would
/// crash their workers at the same time again and again, so that neither is the
/// only suspect.
Millis trialDelay(const TaskKey &Key, const JobTask &Task, Millis Backoff) {
  const std::uint64_t Place = (std::uint64_t{Key.Job.Slot} << 32U) ^
                              (std::uint64_t{Key.Step} << 16U) ^ Key.Task;
  Random Spread{Place * 31 + Task.Crashes + Task.PossibleCrashes};
  const auto MaxDelay = static_cast<std::uint64_t>(Backoff.count() / 2);
  return Millis{static_cast<std::int64_t>(Spread.below(MaxDelay))};
}

} // namespace

std::set<TaskKey> collectUnresolvedTasks(const DispatchState &Dispatch,
                                         Instant Now) {
  std::set<TaskKey> Tasks;
  for (const auto &[Id, Session] : Dispatch.Sessions) {
    if (Session.ConsecutiveMisses != 0 && Now < Session.LeaseEnd) {
      for (const OrphanedStart &Orphan : Session.Orphans) {
        Tasks.insert(Orphan.Key);
      }
    }
  }
  return Tasks;
}

bool maySuspectCrash(const std::set<TaskKey> &Unresolved, const TaskKey &Key,
                     const JobTask &Task) {
  return isCrashSuspect(Task) || Unresolved.contains(Key);
}

CrashRisk crashRiskOf(const std::set<TaskKey> &Unresolved, const TaskKey &Key,
                      const JobTask &Task) {
  if (isCrashSuspect(Task)) {
    return CrashRisk::Trial;
  }
  return maySuspectCrash(Unresolved, Key, Task) ? CrashRisk::Suspect
                                                : CrashRisk::None;
}

CrashRisk gangCrashRiskOf(const std::set<TaskKey> &Unresolved,
                          const StepKey &Key, const JobStep &Step) {
  for (std::uint32_t Index = 0; Index < Step.Tasks.size(); ++Index) {
    const TaskKey Member{Key.Job, Key.Run, Key.Step, Index};
    if (maySuspectCrash(Unresolved, Member, Step.Tasks[Index])) {
      return CrashRisk::Suspect;
    }
  }
  return CrashRisk::None;
}

Millis trialBackoff(const JobTask &Task, const StepSpec &Spec) noexcept {
  const Millis MaxBackoff =
      Spec.IsLongRunning ? MaxLongRunningBackoff : MaxTrialBackoff;
  Millis Backoff{0};
  for (std::uint32_t Crash = 2;
       Crash <= Task.Crashes + Task.PossibleCrashes && Backoff < MaxBackoff;
       ++Crash) {
    Backoff = std::clamp(Backoff * 2, MinTrialBackoff, MaxBackoff);
  }
  return Backoff;
}

Instant lastCrashAt(const DispatchState &Dispatch, const TaskKey &Key) {
  const std::map<TaskKey, Instant> &Crashes = Dispatch.Entries.Crashes;
  const auto CrashIt = Crashes.find(Key);
  return CrashIt == Crashes.end() ? Dispatch.BeganAt : CrashIt->second;
}

std::optional<Instant> trialDueAt(const DispatchState &Dispatch,
                                  const TaskKey &Key, const JobTask &Task,
                                  const StepSpec &Spec) {
  const Millis Backoff = trialBackoff(Task, Spec);
  if (Backoff == Millis{0}) {
    return std::nullopt;
  }
  return lastCrashAt(Dispatch, Key) + Backoff + trialDelay(Key, Task, Backoff);
}

bool isTrialDue(const DispatchState &Dispatch, const TaskKey &Key,
                const JobTask &Task, const StepSpec &Spec, Instant Now) {
  const std::optional<Instant> DueAt = trialDueAt(Dispatch, Key, Task, Spec);
  return !DueAt || Now >= *DueAt;
}

bool isGangTrialDue(const DispatchState &Dispatch, const StepKey &Key,
                    const JobStep &Step, const StepSpec &Spec, Instant Now) {
  for (std::uint32_t Index = 0; Index < Step.Tasks.size(); ++Index) {
    if (!isTrialDue(Dispatch, {Key.Job, Key.Run, Key.Step, Index},
                    Step.Tasks[Index], Spec, Now)) {
      return false;
    }
  }
  return true;
}

std::size_t countTrials(const DispatchState &Dispatch, const StepKey &Key,
                        const JobStep &Step, const StepSpec &Spec,
                        Instant Now) {
  std::size_t Suspects = 0;
  std::size_t OnTrial = 0;
  for (std::uint32_t Index = 0; Index < Step.Tasks.size(); ++Index) {
    const JobTask &Task = Step.Tasks[Index];
    if (Task.State == JobTaskState::Done || !isCrashSuspect(Task)) {
      continue;
    }
    Suspects += 1;
    const auto LaunchIt =
        Dispatch.Launches.find({Key.Job, Key.Run, Key.Step, Index});
    if (LaunchIt == Dispatch.Launches.end()) {
      continue;
    }
    const auto SessionIt =
        Dispatch.Sessions.find(LaunchIt->second.Assignment.Worker);
    const bool IsSilent = SessionIt != Dispatch.Sessions.end() &&
                          SessionIt->second.ConsecutiveMisses != 0;
    if (IsSilent && !Spec.IsLongRunning) {
      return 0;
    }
    OnTrial += Now - LaunchIt->second.StartedAt < CrashWindow ? 1 : 0;
  }
  const std::size_t Limit =
      (Suspects + SuspectsPerTrial - 1) / SuspectsPerTrial;
  return Limit - std::min(Limit, OnTrial);
}

std::map<std::string, RackTrials>
collectRackTrials(const DispatchState &Dispatch, const CellState &State,
                  Instant Now) {
  std::map<std::string, RackTrials> Racks;
  for (const auto &[Id, Session] : Dispatch.Sessions) {
    if (!State.Workers.contains(Id)) {
      continue;
    }
    RackTrials &Rack = Racks[Session.Rack];
    Rack.Workers += 1;
    const bool IsOnTrial = Session.TrialStartedAt != Instant{} &&
                           Now - Session.TrialStartedAt < SuspectWindow;
    const bool IsSilent = Session.ConsecutiveMisses != 0 &&
                          Now - Session.SilentSince < CommonCauseWindow;
    Rack.Affected += IsOnTrial || IsSilent ? 1 : 0;
  }
  for (const WorkerCrash &Crash : Dispatch.RecentCrashes) {
    Racks[Crash.Rack].Affected +=
        Now - Crash.SilentSince < CommonCauseWindow ? 1 : 0;
  }
  return Racks;
}

bool canBeginTrial(const RackTrials &Rack) noexcept {
  // The attribution of a crash compares with the other workers of the rack.
  const std::size_t Others =
      Rack.Workers - std::min<std::size_t>(Rack.Workers, 1);
  return !isCommonCause(Rack.Affected + 1, Others);
}

} // namespace mulberryramp
