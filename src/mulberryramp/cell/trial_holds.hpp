#pragma once

#include "mulberryramp/cell/crash_attribution.hpp"
#include "mulberryramp/cell/pending_steps.hpp"
#include "mulberryramp/cell/schedulable_workers.hpp"
#include "mulberryramp/cell/trials.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Workers that get no other starts until a suspect can be tried there.
///
/// A suspect needs a worker without a recent start, so that a crash shows its
/// cause. While tasks start on every worker more often than `SuspectWindow`
/// there is none, however much room there is. A worker is therefore held for a
/// suspect that has waited for some time, and is without a recent start one
/// window later at the latest.

namespace mulberryramp {

/// @brief Time for which a suspect waits before a worker is held for it. Most
/// find one without a recent start meanwhile, and a hold delays other tasks.
inline constexpr Millis MinWaitForHold{300};

/// @brief Longest hold, without the answer time of the advisor: the window, and
/// the delay until the next plan and its commit.
inline constexpr Millis MaxTrialHold = SuspectWindow + Millis{200};

/// @brief Unplaced suspects of a step, by risk, that may start within
/// `SuspectWindow`.
struct WaitingSuspects {
  std::size_t Suspects = 0;
  std::size_t Trials = 0;

  void add(CrashRisk Risk) {
    Suspects += Risk == CrashRisk::Suspect ? 1 : 0;
    Trials += Risk == CrashRisk::Trial ? 1 : 0;
  }
};

/// @brief Holds of a step that may begin once all steps have been planned.
struct DeferredHolds {
  StepKey Key;
  TaskCounts Counts;       ///< Tasks of the step on each worker.
  WaitingSuspects Waiting; ///< Unused for a gang.
};

/// @brief The holds of one planning pass.
///
/// The steps are entered in planning order, so that the most urgent one is the
/// first to begin a hold. A hold that another step began before lasts on. If a
/// step lacks only what is held for others, it is entered once more after all
/// steps, and no later step begins a hold before that.
class TrialHolds {
public:
  /// @param Workers Workers of the pass; kept by reference.
  TrialHolds(DispatchState &Dispatch, const CellState &State,
             SchedulableWorkers &Workers, Instant Now);

  /// @brief Marks the held workers. Drops the holds of steps that are no longer
  /// pending and of workers that may get no starts.
  /// @param Ready Steps that the pass will enter.
  void begin(const std::vector<PendingStep> &Ready);

  /// @brief Begins the planning of a step: the workers that are held for it are
  /// open to its suspects.
  void enter(const StepKey &Key);

  /// @brief Notes that suspects of the entered step have no worker.
  /// @return Whether workers may be held for them now.
  bool noteWaiting();

  /// @brief Tells whether a worker may be held for the entered step, apart from
  /// its room and the trials in its rack.
  /// @param IsGang All members need a worker at once, however many these are.
  [[nodiscard]] bool canHold(const WorkerSnapshot &Snapshot, bool IsGang) const;

  /// @brief Holds a worker for the entered step, or goes on to hold it.
  void hold(WorkerSnapshot &Snapshot);

  /// @brief Goes on to hold all workers that are held for the entered step.
  void keep();

  /// @brief Ends the hold of a worker, if any, on which this pass starts a
  /// task.
  void use(WorkerSnapshot &Snapshot);

  /// @brief Returns the workers that are held for the entered step from this
  /// pass on.
  [[nodiscard]] std::set<WorkerInstanceId> heldWorkers() const;

  /// @brief Tells whether suspects of the entered step have no worker.
  [[nodiscard]] bool isWaiting() const noexcept { return IsWaiting; }

  /// @brief Allows or forbids steps to begin holds.
  void setDeferring(bool IsSet) noexcept { IsDeferring = IsSet; }
  [[nodiscard]] bool isDeferring() const noexcept { return IsDeferring; }

  /// @brief Tells whether workers were held for the entered step before this
  /// pass.
  [[nodiscard]] bool hasFormer() const noexcept;

  /// @brief Returns when all workers that are held for the entered step are
  /// without a recent start.
  [[nodiscard]] Instant quietAt() const;

  /// @brief Marks the workers that a step would use if they were not closed for
  /// suspects. No later step begins to hold them in this pass, so that a series
  /// of suspects does not keep a worker from more urgent tasks.
  /// @param Counts Tasks of the step on each worker.
  /// @param IncludesOpen The step waits to hold workers itself, so that the
  /// open ones are marked as well.
  void noteAwaited(const Job &Owner, const StepSpec &Spec,
                   const TaskCounts &Counts, bool IncludesOpen);

  /// @brief Ends the planning of the entered step. Releases its workers that
  /// were not held again.
  void leave();

  /// @brief Counts the other workers in the rack of a worker that are held.
  /// @param WithOwn Counts those that are held for the entered step, too.
  [[nodiscard]] std::size_t heldBeside(const WorkerSnapshot &Snapshot,
                                       bool WithOwn) const;

private:
  /// Held workers of a rack.
  struct RackHolds {
    std::size_t Own = 0; ///< For the entered step.
    std::size_t Others = 0;
  };

  void setHold(WorkerSnapshot &Snapshot, TrialHoldState Hold);
  [[nodiscard]] bool isExpired(Instant Since) const;
  void logHold(std::string_view Event, const StepKey &Key,
               WorkerInstanceId Worker, const std::string &Detail);
  void logEnd(const StepKey &Key, WorkerInstanceId Worker, Instant Since,
              std::string_view Outcome);

  DispatchState &Dispatch;
  const CellState &State;
  SchedulableWorkers &Workers;
  Instant Now;
  StepKey Current;
  TrialWait *Wait = nullptr; ///< Of the entered step; null if it has none.
  bool IsWaiting = false;    ///< Suspects of the entered step have no worker.
  bool IsDeferring = false;  ///< No step may begin a hold.
  Millis MaxHold{0};         ///< For the entered step.
  std::map<WorkerInstanceId, Instant> Next; ///< Holds of the entered step.
  std::map<std::string, RackHolds> ByRack;
};

} // namespace mulberryramp
