#pragma once

#include "mulberryramp/cell/fwd.hpp"
#include "mulberryramp/job/job.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

/// @file
/// @brief Log lines that tell why a task of a ready step has nothing running,
/// and the memory that keeps them from being repeated.

namespace mulberryramp {

/// @brief Why a task of a ready step has nothing running.
///
/// Those from `UnsuitableWorkers` on concern the choice of a worker. The later
/// the reason, the closer a worker is to being chosen; that of the closest
/// worker is the reason of the task.
enum class WaitReason : std::uint8_t {
  WorkerUnresponsive, ///< Its worker does not answer, and its lease still runs.
  StartUnanswered,    ///< Its start order is open.
  StartDoubtful,      ///< Its start order may still be executed.
  StartInherited,     ///< An earlier leader may have sent its start order.
  EndUncommitted,     ///< Its end is proposed.
  WorkerNotReconciled,    ///< Its worker has not listed its tasks.
  AssignmentsUncommitted, ///< Proposed assignments are not committed.
  GangIncomplete,         ///< A member of its gang is still assigned.
  CrashBackoff,           ///< It waits after a crash of its worker.
  TrialLimit,             ///< Other suspects of its step are on trial.
  OrganisationCap,        ///< Its organisation uses all of its cap.
  NoSchedulableWorker,    ///< No worker of its pool may get starts.
  UnsuitableWorkers,      ///< No worker has its label.
  NoRoom,                 ///< No worker has room.
  WorkersReserved,        ///< Workers with room are kept for another step.
  LatencyLimit,           ///< Services there exceed their tail latency limit.
  WorkersHeld,            ///< Workers with room are held for other suspects.
  RecentStart,            ///< Workers with room just started another task.
  NoRackForTrial,         ///< All racks have trials or recent crashes.
  MaxPerWorker,           ///< Workers with room run as many as they may.
  NoAdmission,            ///< The advisor has admitted no worker with room.
  NotPlanned              ///< A worker has room; the next plan may use it.
};

/// @brief Names of the reasons, by value.
constexpr std::array<std::string_view, 22>
nameTable(WaitReason /*Reason*/) noexcept {
  return {"worker-unresponsive",
          "start-unanswered",
          "start-doubtful",
          "start-inherited",
          "end-uncommitted",
          "worker-not-reconciled",
          "assignments-uncommitted",
          "gang-incomplete",
          "crash-backoff",
          "trial-limit",
          "organisation-cap",
          "no-schedulable-worker",
          "unsuitable-workers",
          "no-room",
          "workers-reserved",
          "latency-limit",
          "workers-held",
          "recent-start",
          "no-rack-for-trial",
          "max-per-worker",
          "no-admission",
          "not-planned"};
}

/// @brief What is remembered of a task that waits.
struct RememberedWait {
  WaitReason Reason = WaitReason::NotPlanned;
  WorkerInstanceId Worker; ///< Worker that holds the task, or null.
  Instant Since;           ///< When the reason began.
  Instant WaitsSince;      ///< When the wait began, whatever its reasons.
  Instant SeenAt;          ///< When the wait was last found.
  /// Reason and worker of the last line, if one was written.
  std::optional<std::pair<WaitReason, WorkerInstanceId>> Written;
};

/// @brief The waits of tasks that the leader has found. A new leader begins
/// without any, so that it writes the lines of its own term.
struct WaitLog {
  std::map<TaskKey, RememberedWait> Waits;
  Instant NextLookAt; ///< No search for waiting tasks before this time.
  /// First tasks of the last steps that were explained; the next search begins
  /// after them.
  TaskKey LastLongRunning;
  TaskKey LastOther;
};

/// @brief Interval of searches for waiting tasks. Each reads all launches and
/// unfinished jobs once, as each plan does.
inline constexpr Millis WaitLookInterval{1000};
/// @brief A task of a long-running step gets a line after this wait; most
/// starts are confirmed sooner.
inline constexpr Millis MinLoggedLongRunningWait{1000};
/// @brief Any other task gets a line after this wait; under load most wait for
/// a second or two.
inline constexpr Millis MinLoggedWait{3000};
/// @brief A reason gets a line once it has held for this long. Shorter ones, as
/// between two plans or for the time of a commit, are part of a usual start.
inline constexpr Millis MinLoggedReasonAge{1000};
/// @brief Steps with unassigned tasks that one search explains. The cost of
/// each grows with the number of workers.
inline constexpr std::size_t MaxStepsPerLook = 32;
/// @brief Among them, steps that are long-running. The others get the rest.
inline constexpr std::size_t MaxLongRunningStepsPerLook = 24;
/// @brief Unassigned tasks of a step that one search explains.
inline constexpr std::size_t MaxTasksPerLook = 64;
/// @brief Lines that one search writes. Those beyond are written by later
/// searches, if their reasons still hold.
inline constexpr std::size_t MaxWaitLinesPerLook = 50;

/// @brief Searches for waiting tasks, if a search is due, and logs the reasons
/// that have not been logged yet and the ends of logged waits.
/// @param Dispatch The dispatch state; only its events and its wait log change.
void logWaits(DispatchState &Dispatch, const CellState &State, Instant Now,
              WallTime WallNow);

} // namespace mulberryramp
