#include "mulberryramp/cell/wait_log.hpp"

#include "mulberryramp/cell/orders.hpp"
#include "mulberryramp/cell/wait_reasons.hpp"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace mulberryramp {

namespace {

/// What the tasks of one line share. Lines of long-running steps come first.
using LineKey = std::tuple<bool, StepKey, WaitReason, WorkerInstanceId,
                           std::optional<Instant>>;

/// Tasks of a step with the same reason.
struct WaitLine {
  std::vector<TaskKey> Tasks;
  Instant Since; ///< The earliest begin of the reason.
  std::string Detail;
};

/// Ends of waits of the tasks of a step with the same last reason.
struct WaitOverLine {
  std::vector<TaskKey> Tasks;
  Millis Waited{0}; ///< The longest wait.
};

std::string joinTasks(const std::vector<TaskKey> &Tasks) {
  std::string Text;
  for (const TaskKey &Key : Tasks) {
    Text += (Text.empty() ? "" : ",") + std::to_string(Key.Task);
  }
  return Text;
}

std::string describeStep(const CellState &State, const StepKey &Key,
                         const std::vector<TaskKey> &Tasks) {
  return "job=" + nameTask(State, Tasks.front()).Job +
         " run=" + std::to_string(Key.Run) +
         " step=" + std::to_string(Key.Step) + " tasks=" + joinTasks(Tasks);
}

/// One search for waiting tasks.
class WaitSearch {
public:
  WaitSearch(DispatchState &Dispatch, const CellState &State, Instant Now,
             WallTime WallNow)
      : Dispatch{Dispatch}, State{State}, Now{Now}, WallNow{WallNow} {}

  void run() {
    noteAssigned();
    noteWaiting();
    endWaits();
    writeLines();
  }

private:
  /// Notes the assigned tasks that have nothing running.
  void noteAssigned() {
    const std::vector<bool> Troubled = troubledSlots();
    for (const auto &[Key, Launch] : Dispatch.Launches) {
      const std::uint32_t Slot = Launch.Assignment.Worker.Slot;
      if (Launch.Phase == LaunchPhase::Confirmed && !Launch.IsEndProposed &&
          (Slot >= Troubled.size() || !Troubled[Slot])) {
        continue;
      }
      const Job *Owner = State.Jobs.find(Key.Job);
      const StepSpec *Spec = findStepSpec(State, Key);
      if (Owner == nullptr || Spec == nullptr || isTerminal(Owner->Phase)) {
        continue;
      }
      const auto Why = explainAssigned(Dispatch, Launch);
      const bool IsNew = !Dispatch.Waits.Waits.contains(Key);
      if (Why && !(IsNew && Why->Since && isTooYoung(*Spec, *Why->Since))) {
        note(Key, *Spec, *Why);
      }
    }
  }

  /// Marks the slots of workers whose confirmed tasks may not run.
  std::vector<bool> troubledSlots() const {
    std::vector<bool> Troubled;
    for (const auto &[Id, Session] : Dispatch.Sessions) {
      if (Troubled.size() <= Id.Slot) {
        Troubled.resize(Id.Slot + 1);
      }
      Troubled[Id.Slot] =
          Session.ConsecutiveMisses != 0 || !Session.IsReconciled;
    }
    return Troubled;
  }

  /// Notes the unassigned tasks of some ready steps.
  void noteWaiting() {
    std::vector<TaskKey> LongRunning;
    std::vector<TaskKey> Other;
    for (const JobId Id : State.UnfinishedJobs) {
      for (const JobRun &Run : State.Jobs[Id].Runs) {
        collectSteps(Id, Run, LongRunning, Other);
      }
    }
    std::vector<TaskKey> Chosen;
    choose(LongRunning, MaxLongRunningStepsPerLook,
           Dispatch.Waits.LastLongRunning, Chosen);
    choose(Other, MaxStepsPerLook - Chosen.size(), Dispatch.Waits.LastOther,
           Chosen);
    if (Chosen.empty()) {
      return;
    }
    const WaitContext Context = makeWaitContext(Dispatch, State, Now);
    for (const TaskKey &First : Chosen) {
      const StepKey Step{First.Job, First.Run, First.Step};
      for (const TaskWait &Wait :
           explainWaiting(Context, Step, MaxTasksPerLook)) {
        note({Step.Job, Step.Run, Step.Step, Wait.Task},
             *findStepSpec(State, First), Wait.Why);
      }
    }
  }

  /// Collects the ready steps of a run that have unassigned tasks and may have
  /// waited for long enough.
  void collectSteps(JobId Id, const JobRun &Run,
                    std::vector<TaskKey> &LongRunning,
                    std::vector<TaskKey> &Other) const {
    const Job &Owner = State.Jobs[Id];
    const bool IsDueForLong =
        WallNow - dueTime(Owner, Run.Number) >= MinLoggedWait;
    for (std::uint32_t Index = 0; Index < Run.Steps.size(); ++Index) {
      const JobStep &Step = Run.Steps[Index];
      const bool IsLongRunning = Owner.Spec.Steps[Index].IsLongRunning;
      if (Step.Assigned + Step.Done != Step.Tasks.size() &&
          (IsLongRunning || IsDueForLong) && isStepReady(Owner, Run, Index)) {
        (IsLongRunning ? LongRunning : Other)
            .push_back({Id, Run.Number, Index, 0});
      }
    }
  }

  /// Chooses steps in turn, so that each is chosen after as few searches as
  /// possible.
  /// @param Last Step that was chosen last; updated.
  static void choose(std::vector<TaskKey> &Steps, std::size_t Limit,
                     TaskKey &Last, std::vector<TaskKey> &Chosen) {
    std::sort(Steps.begin(), Steps.end());
    const std::size_t Begin = static_cast<std::size_t>(
        std::upper_bound(Steps.begin(), Steps.end(), Last) - Steps.begin());
    const std::size_t Count = std::min(Limit, Steps.size());
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Last = Steps[(Begin + Index) % Steps.size()];
      Chosen.push_back(Last);
    }
  }

  /// Tells whether a wait is too short for a line.
  bool isTooYoung(const StepSpec &Spec, Instant Since) const {
    return Now - Since <
           (Spec.IsLongRunning ? MinLoggedLongRunningWait : MinLoggedWait);
  }

  void note(const TaskKey &Key, const StepSpec &Spec,
            const WaitExplanation &Why) {
    const auto [It, IsNew] = Dispatch.Waits.Waits.try_emplace(Key);
    RememberedWait &Wait = It->second;
    if (IsNew || Wait.Reason != Why.Reason || Wait.Worker != Why.Worker) {
      Wait.Reason = Why.Reason;
      Wait.Worker = Why.Worker;
      Wait.Since = Why.Since.value_or(Now);
      Wait.WaitsSince =
          IsNew ? Wait.Since : std::min(Wait.WaitsSince, Wait.Since);
    }
    Wait.SeenAt = Now;
    if (Wait.Written == std::pair{Why.Reason, Why.Worker} ||
        Now - Wait.Since < MinLoggedReasonAge ||
        isTooYoung(Spec, Wait.WaitsSince)) {
      return;
    }
    WaitLine &Line = Lines[{!Spec.IsLongRunning,
                            {Key.Job, Key.Run, Key.Step},
                            Why.Reason,
                            Why.Worker,
                            Why.EndsAt}];
    Line.Since =
        Line.Tasks.empty() ? Wait.Since : std::min(Line.Since, Wait.Since);
    Line.Tasks.push_back(Key);
    Line.Detail = Why.Detail;
  }

  /// Forgets the waits that are over, and logs those that had a line.
  void endWaits() {
    std::map<std::pair<StepKey, WaitReason>, WaitOverLine> Over;
    std::erase_if(Dispatch.Waits.Waits, [&](const auto &Row) {
      const auto &[Key, Wait] = Row;
      const Job *Owner = State.Jobs.find(Key.Job);
      const JobTask *Task = findTask(State, Key);
      if (Owner == nullptr || isTerminal(Owner->Phase) || Task == nullptr) {
        return true;
      }
      if (Wait.SeenAt == Now || Task->State == JobTaskState::Waiting) {
        return false;
      }
      if (Wait.Written) {
        WaitOverLine &Line =
            Over[{{Key.Job, Key.Run, Key.Step}, Wait.Written->first}];
        Line.Tasks.push_back(Key);
        Line.Waited = std::max(Line.Waited, endOf(Key, Wait) - Wait.WaitsSince);
      }
      return true;
    });
    for (const auto &[Id, Line] : Over) {
      Dispatch.Events.push_back(
          "event=wait-over " + describeStep(State, Id.first, Line.Tasks) +
          " last_reason=" + std::string{nameOf(Id.second)} +
          " waited_ms=" + std::to_string(Line.Waited.count()) +
          " term=" + std::to_string(Dispatch.FencingToken));
    }
  }

  /// Returns when a task began to run, or now if it ran before, or runs no
  /// more.
  Instant endOf(const TaskKey &Key, const RememberedWait &Wait) const {
    const auto It = Dispatch.Launches.find(Key);
    return It != Dispatch.Launches.end() && It->second.PhaseSince >= Wait.Since
               ? It->second.PhaseSince
               : Now;
  }

  void writeLines() {
    std::size_t Written = 0;
    for (const auto &[Id, Line] : Lines) {
      if (Written == MaxWaitLinesPerLook) {
        return;
      }
      Written += 1;
      const auto &[IsOther, Step, Reason, Worker, EndsAt] = Id;
      std::string Text =
          "event=waits " + describeStep(State, Step, Line.Tasks) +
          " reason=" + std::string{nameOf(Reason)} +
          " since_ms=" + std::to_string((Now - Line.Since).count());
      if (EndsAt) {
        Text += " allowed_ms=" +
                std::to_string(std::max(Millis{0}, *EndsAt - Now).count());
      }
      if (Worker.isSet()) {
        Text += " worker=" + workerName(State, Worker);
      }
      Text += " term=" + std::to_string(Dispatch.FencingToken) +
              " inherited=" + (Line.Since <= Dispatch.BeganAt ? "yes" : "no") +
              Line.Detail;
      Dispatch.Events.push_back(std::move(Text));
      for (const TaskKey &Key : Line.Tasks) {
        Dispatch.Waits.Waits.at(Key).Written = std::pair{Reason, Worker};
      }
    }
  }

  DispatchState &Dispatch;
  const CellState &State;
  Instant Now;
  WallTime WallNow;
  std::map<LineKey, WaitLine> Lines;
};

} // namespace

void logWaits(DispatchState &Dispatch, const CellState &State, Instant Now,
              WallTime WallNow) {
  if (Now < Dispatch.Waits.NextLookAt) {
    return;
  }
  Dispatch.Waits.NextLookAt = Now + WaitLookInterval;
  WaitSearch{Dispatch, State, Now, WallNow}.run();
}

} // namespace mulberryramp
