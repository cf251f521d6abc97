#include "mulberryramp/cell/crash_attribution.hpp"

#include "mulberryramp/cell/orders.hpp"
#include "mulberryramp/cell/trials.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace mulberryramp {

namespace {

/// Crashes are kept for this long, as the workers of a rack return one by one.
constexpr Millis MaxRestartTime{10000};

/// An attempt that ran, or may have run, on the crashed worker.
struct CrashedAttempt {
  TaskKey Key;
  std::uint32_t Attempt = 0;
  bool IsCertain = false; ///< It is known to have run at the crash.
  bool IsRecent = false;  ///< It was started, or recovered, shortly before it.
  /// This leader sent its start at a known time that is shortly before it.
  bool HasKnownStart = false;
};

/// Members of a gang start together and count as one cause.
TaskKey causeOf(const CellState &State, TaskKey Key) {
  const StepSpec *Spec = findStepSpec(State, Key);
  if (Spec != nullptr && Spec->IsGang) {
    Key.Task = 0;
  }
  return Key;
}

bool isLongRunning(const CellState &State, const TaskKey &Key) {
  const StepSpec *Spec = findStepSpec(State, Key);
  return Spec != nullptr && Spec->IsLongRunning;
}

/// Collects the attempts that may have caused a crash. A long-running task that
/// was at work for some time did not. If the worker was silent before it
/// crashed, for instance as it was partitioned, attempts may have ended first.
std::vector<CrashedAttempt> collectAttempts(const DispatchState &Dispatch,
                                            const CellState &State,
                                            const WorkerSession &Session,
                                            Instant CrashedAt, Instant Now) {
  const bool IsCrashSeen = Session.HasBrokenOff && Now < Session.LeaseEnd;
  std::vector<CrashedAttempt> Attempts;
  const auto Add = [&](CrashedAttempt Attempt, Instant StartedAt,
                       bool IsRecovered) {
    Attempt.IsRecent = StartedAt + SuspectWindow >= CrashedAt;
    Attempt.HasKnownStart = !IsRecovered && StartedAt <= CrashedAt &&
                            StartedAt + CrashWindow >= CrashedAt;
    // A task that crashes its worker at once is gone before its start can be
    // confirmed.
    Attempt.IsCertain =
        (Attempt.IsCertain || Attempt.HasKnownStart) && IsCrashSeen;
    if (Attempt.IsRecent || !isLongRunning(State, Attempt.Key)) {
      Attempts.push_back(Attempt);
    }
  };
  for (const TaskKey &Key : Session.Tasks) {
    const TaskLaunch &Launch = Dispatch.Launches.at(Key);
    if (!Launch.IsEndProposed || Launch.IsPresumedLost) {
      Add({Key, Launch.Assignment.Attempt,
           Launch.Phase == LaunchPhase::Confirmed, false, false},
          Launch.StartedAt, Launch.IsRecovered);
    }
  }
  for (const OrphanedStart &Orphan : Session.Orphans) {
    if (!Orphan.IsCrashCounted) {
      Add({Orphan.Key, Orphan.Attempt, Orphan.WasConfirmed, false, false},
          Orphan.StartedAt, Orphan.IsRecovered);
    }
  }
  return Attempts;
}

/// Returns when a worker crashed, as far as this leader saw it.
Instant crashTime(const WorkerSession &Session, Instant Now) {
  return Session.UnverifiedSince == Instant{} ? Now : Session.UnverifiedSince;
}

/// Tells whether at least half of the workers of the rack crashed, or stopped
/// to answer, at about the same time as a worker that crashed.
bool hasCommonCause(const DispatchState &Dispatch, const CellState &State,
                    WorkerInstanceId Crashed, const std::string &Rack,
                    Instant CrashedAt) {
  const auto IsSameTime = [CrashedAt](Instant SilentSince) {
    return std::max(SilentSince, CrashedAt) - std::min(SilentSince, CrashedAt) <
           CommonCauseWindow;
  };
  std::size_t Workers = 0;
  std::size_t Affected = 1;
  for (const auto &[Id, Session] : Dispatch.Sessions) {
    if (Id != Crashed && State.Workers.contains(Id) && Session.Rack == Rack) {
      Workers += 1;
      Affected +=
          Session.ConsecutiveMisses != 0 && IsSameTime(Session.SilentSince) ? 1
                                                                            : 0;
    }
  }
  Affected += static_cast<std::size_t>(std::count_if(
      Dispatch.RecentCrashes.begin(), Dispatch.RecentCrashes.end(),
      [&](const WorkerCrash &Crash) {
        return Crash.Rack == Rack && IsSameTime(Crash.SilentSince);
      }));
  return isCommonCause(Affected, Workers);
}

/// Tells whether an attempt counts among the probable causes: those that were
/// started shortly before the crash, or all if there are none.
bool isProbableCause(const CrashedAttempt &Attempt, bool HasRecent) {
  return Attempt.IsRecent || !HasRecent;
}

EndKind endOf(const CrashedAttempt &Attempt, bool HasRecent, bool IsOnlyCause) {
  if (!Attempt.IsCertain || !isProbableCause(Attempt, HasRecent)) {
    return EndKind::PossiblyCrashed;
  }
  return IsOnlyCause && Attempt.HasKnownStart ? EndKind::Crashed
                                              : EndKind::CrashedWithOthers;
}

/// Attributes the crash of a worker instance to its launches and orphans.
InstanceCrash attributeCrash(DispatchState &Dispatch, const CellState &State,
                             WorkerInstanceId Id, const WorkerReport &Next,
                             Instant Now) {
  const WorkerSession &Session = Dispatch.Sessions.at(Id);
  const Instant CrashedAt = crashTime(Session, Now);
  const std::vector<CrashedAttempt> Attempts =
      collectAttempts(Dispatch, State, Session, CrashedAt, Now);
  const bool HasRecent = std::any_of(
      Attempts.begin(), Attempts.end(), [](const CrashedAttempt &Attempt) {
        return Attempt.IsRecent && Attempt.IsCertain;
      });
  std::set<TaskKey> Causes;
  for (const CrashedAttempt &Attempt : Attempts) {
    if (isProbableCause(Attempt, HasRecent)) {
      Causes.insert(causeOf(State, Attempt.Key));
    }
  }
  const bool HasCommonCause =
      hasCommonCause(Dispatch, State, Id, Session.Rack, CrashedAt);
  const bool IsOnlyCause = Causes.size() == 1 && !HasCommonCause;
  InstanceCrash Crash;
  Crash.Worker = Id;
  Crash.Age = Now - CrashedAt;
  for (const CrashedAttempt &Attempt : Attempts) {
    Crash.Ends.push_back({Attempt.Key, Attempt.Attempt,
                          endOf(Attempt, HasRecent, IsOnlyCause), ""});
  }
  if (!Attempts.empty()) {
    Dispatch.Events.push_back(
        "event=worker-crashed next=" + Next.Name + " rack=" + Session.Rack +
        " attempts=" + std::to_string(Attempts.size()) +
        " suspects=" + std::to_string(Causes.size()) +
        " rack_crashed=" + (HasCommonCause ? "yes" : "no"));
  }
  return Crash;
}

} // namespace

RegisterWorkerCommand makeRegistration(DispatchState &Dispatch,
                                       const CellState &State,
                                       const WorkerReport &Report, Instant Now,
                                       WallTime WallNow) {
  RegisterWorkerCommand Command;
  Command.Report = Report;
  for (const WorkerInstanceId Id : findEndedInstances(State, Report)) {
    const auto SessionIt = Dispatch.Sessions.find(Id);
    // An instance that has announced its exit did not crash.
    if (SessionIt == Dispatch.Sessions.end() || SessionIt->second.IsDraining) {
      continue;
    }
    InstanceCrash Crash = attributeCrash(Dispatch, State, Id, Report, Now);
    if (!Crash.Ends.empty()) {
      Command.Crashes.push_back(std::move(Crash));
      Command.At = WallNow;
    }
  }
  const auto PreviousIt =
      Dispatch.Sessions.find(findWorker(State, Report.Name));
  if (PreviousIt != Dispatch.Sessions.end()) {
    for (const TaskKey &Key : PreviousIt->second.Tasks) {
      const TaskLaunch &Launch = Dispatch.Launches.at(Key);
      // The answer to a start does not tell which instance has executed it.
      if (Launch.ListedAt != Instant{}) {
        Command.Begun.push_back(Launch.Assignment);
      }
    }
  }
  return Command;
}

void onWorkersCrashed(DispatchState &Dispatch, const CellState &State,
                      const std::vector<InstanceCrash> &Crashes, Instant Now) {
  for (const InstanceCrash &Crash : Crashes) {
    const auto SessionIt = Dispatch.Sessions.find(Crash.Worker);
    if (SessionIt == Dispatch.Sessions.end()) {
      continue;
    }
    const Instant CrashedAt = crashTime(SessionIt->second, Now);
    std::erase_if(Dispatch.RecentCrashes, [CrashedAt](const WorkerCrash &Old) {
      return CrashedAt - Old.SilentSince > MaxRestartTime;
    });
    Dispatch.RecentCrashes.push_back({SessionIt->second.Rack, CrashedAt});
    Dispatch.Counters.WorkerCrashes += 1;
    for (const TaskEnd &End : Crash.Ends) {
      Dispatch.Events.push_back(
          "event=crash-end " +
          describeStart(nameTask(State, End.Key), End.Attempt) +
          " how=" + std::string{nameOf(End.Kind)});
    }
  }
}

} // namespace mulberryramp
