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
  TaskLaunch *Launch = nullptr; ///< Null for an orphan.
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
std::vector<CrashedAttempt> collectAttempts(DispatchState &Dispatch,
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
    TaskLaunch &Launch = Dispatch.Launches.at(Key);
    if (!Launch.IsEndProposed || Launch.IsPresumedLost) {
      Add({Key, Launch.Assignment.Attempt,
           Launch.Phase == LaunchPhase::Confirmed, false, false, &Launch},
          Launch.StartedAt, Launch.IsRecovered);
    }
  }
  for (const OrphanedStart &Orphan : Session.Orphans) {
    if (!Orphan.IsCrashCounted) {
      Add({Orphan.Key, Orphan.Attempt, Orphan.WasConfirmed, false, false,
           nullptr},
          Orphan.StartedAt, Orphan.IsRecovered);
    }
  }
  return Attempts;
}

/// Records a crash.
/// @return Whether at least half of the workers of the rack crashed, or stopped
/// to answer, at about the same time.
bool recordRecentCrash(DispatchState &Dispatch, const CellState &State,
                       const std::string &Rack, Instant CrashedAt) {
  std::erase_if(Dispatch.RecentCrashes, [CrashedAt](const WorkerCrash &Crash) {
    return CrashedAt - Crash.SilentSince > MaxRestartTime;
  });
  Dispatch.RecentCrashes.push_back({Rack, CrashedAt});
  const auto IsSameTime = [CrashedAt](Instant SilentSince) {
    return std::max(SilentSince, CrashedAt) - std::min(SilentSince, CrashedAt) <
           CommonCauseWindow;
  };
  std::size_t Workers = 0;
  std::size_t Affected = 0;
  for (const auto &[Id, Session] : Dispatch.Sessions) {
    if (State.Workers.contains(Id) && Session.Rack == Rack) {
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

} // namespace

void attributeCrash(DispatchState &Dispatch, const CellState &State,
                    const WorkerSession &Session, const WorkerReport &Next,
                    bool IsSameWorker, Instant Now) {
  const Instant CrashedAt =
      Session.UnverifiedSince == Instant{} ? Now : Session.UnverifiedSince;
  const std::vector<CrashedAttempt> Attempts =
      collectAttempts(Dispatch, State, Session, CrashedAt, Now);
  if (Attempts.empty()) {
    return;
  }
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
      recordRecentCrash(Dispatch, State, Session.Rack, CrashedAt);
  const bool IsOnlyCause = Causes.size() == 1 && !HasCommonCause;
  std::erase_if(Dispatch.LastCrashAt, [CrashedAt](const auto &Crash) {
    return CrashedAt - Crash.second > MaxTrialBackoff;
  });
  for (const CrashedAttempt &Attempt : Attempts) {
    Dispatch.LastCrashAt[Attempt.Key] = CrashedAt;
    const EndKind Kind = endOf(Attempt, HasRecent, IsOnlyCause);
    if (IsSameWorker && Attempt.Launch != nullptr &&
        !Attempt.Launch->IsEndProposed) {
      Attempt.Launch->EndIfUnlisted = Kind;
    } else {
      Dispatch.CrashEnds.push_back({Attempt.Key, Attempt.Attempt, Kind, ""});
      Dispatch.Events.push_back(
          "event=crash-end " +
          describeStart(nameTask(State, Attempt.Key), Attempt.Attempt) +
          " how=" + std::string{nameOf(Kind)});
    }
  }
  Dispatch.Counters.WorkerCrashes += 1;
  Dispatch.Events.push_back("event=worker-crashed next=" + Next.Name +
                            " rack=" + Session.Rack +
                            " attempts=" + std::to_string(Attempts.size()) +
                            " suspects=" + std::to_string(Causes.size()) +
                            " rack_crashed=" + (HasCommonCause ? "yes" : "no"));
}

void proposeCrashEnds(DispatchState &Dispatch, WallTime WallNow) {
  if (Dispatch.CrashEnds.empty()) {
    return;
  }
  RecordTaskEndsCommand Command;
  Command.Ends = std::exchange(Dispatch.CrashEnds, {});
  Command.At = WallNow;
  Dispatch.Commands.emplace_back(std::move(Command));
}

} // namespace mulberryramp
