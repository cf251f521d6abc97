#include "cell/cell_simulation.hpp"

#include "mulberryramp/cell/crash_attribution.hpp"

#include <algorithm>
#include <iostream>

namespace mulberryramp::test {

namespace {

constexpr Millis MaxCancelDelay{3000};
/// A capacity that has shrunk binds starts this long after it was reported, and
/// one report interval.
constexpr Millis ContactWindow{3000};
/// The leader sends a start up to 12 ms before it arrives, and notices a crash
/// up to 12 ms later, in steps of 5 ms. A start near the limit of
/// `SuspectWindow` may thus be within it for the leader.
constexpr Millis MaxNoticeDelay{40};
/// Crashes under a crashing task after which each start waits for a backoff of
/// at least `MinBackoff`. A leader may have missed one of them and then waits
/// 8 s; without a backoff it starts the task when the worker is back, after
/// 2 s to 5.3 s.
constexpr std::uint32_t MinCrashesToWait = 6;
constexpr Millis MinBackoff{6000};
/// Two crashes, or a crash and a cut, that are further apart than this have no
/// common cause for the leader, which notices them with some delay.
constexpr Millis CommonCauseWindow{1500};
/// A leader has attributed a crash after this time: the worker is down for up
/// to 5 s and reports 300 ms later.
constexpr Millis AttributionTime{6500};

} // namespace

void CellSimulation::countCrash(const std::string &Worker,
                                const WorkerState &State) {
  Disturbances.push_back({Now, Now, Worker, true});
  for (const auto &[Task, Attempt] : State.Worker->running()) {
    Crashes[Task] += 1;
    LastCrashAt[Task] = Now;
  }
  for (const TaskName &Task : State.Worker->startedSince(Now - CrashWindow)) {
    if (isOnlySuspect(Task, State, CrashWindow)) {
      const bool IsClear =
          isOnlySuspect(Task, State, SuspectWindow + MaxNoticeDelay);
      SoleCrashes[Task].push_back({Worker, Now - CrashWindow, Now, IsClear});
    }
  }
}

bool CellSimulation::isOnlySuspect(const TaskName &Task,
                                   const WorkerState &State,
                                   Millis Window) const {
  const std::vector<TaskName> Others = State.Worker->startedSince(Now - Window);
  return std::all_of(Others.begin(), Others.end(), [&](const TaskName &Other) {
    return Other == Task || (stepOf(Task).IsGang && Other.Job == Task.Job &&
                             Other.Step == Task.Step);
  });
}

bool CellSimulation::isCertain(const SoleCrash &Crash) const {
  return Crash.IsClear && Now > Crash.At + AttributionTime &&
         std::none_of(Disturbances.begin(), Disturbances.end(),
                      [&Crash](const Disturbance &Other) {
                        const bool IsItself = Other.IsCrash &&
                                              Other.Begin == Crash.At &&
                                              Other.Worker == Crash.Worker;
                        const bool IsNear =
                            Other.Begin - CommonCauseWindow <= Crash.At &&
                            Crash.At <= Other.End + CommonCauseWindow;
                        const bool IsInBetween =
                            Other.Begin <= Crash.At + AttributionTime &&
                            Crash.StartedAt <= Other.End + CommonCauseWindow;
                        const bool Concerns = Other.Worker.empty() ||
                                              Other.Worker == Crash.Worker;
                        return !IsItself &&
                               (IsNear || (Concerns && IsInBetween));
                      });
}

void CellSimulation::recordEvent(const std::string &Worker,
                                 const WorkerEvent &Event) {
  const StepSpec &Step = stepOf(Event.Task);
  const std::string Text = Event.Task.Job + "." +
                           std::to_string(Event.Task.Step) + "." +
                           std::to_string(Event.Task.Task) + " attempt " +
                           std::to_string(Event.Attempt) + " on " + Worker;
  if (Options.IsTraced) {
    constexpr const char *Names[] = {"started", "ended", "acked-done",
                                     "acked-failed"};
    std::cout << (Now - Instant{Millis{100000}}).count() << " worker "
              << Names[static_cast<int>(Event.Kind)] << ' ' << Text
              << (Event.IsLate ? " late" : "") << '\n';
  }
  switch (Event.Kind) {
  case WorkerEvent::Type::Started:
    Result.Starts += 1;
    if (Step.IsLongRunning) {
      planLoss(Workers.at(Worker));
    }
    checkStart(Event, Step, Text);
    if (!Event.IsLate) {
      checkCapacityAtStart(Workers.at(Worker), Text);
      checkCapAtStart(Event.Task.Job);
      const std::string Violation = Drains.checkStart(Worker, Now);
      if (!Violation.empty()) {
        recordViolation(Violation + ", " + Text);
      }
    }
    break;
  case WorkerEvent::Type::Ended:
    if (Event.EndedAs == EndKind::Done) {
      DoneTasks.insert(Event.Task);
    } else if (Event.EndedAs == EndKind::Failed) {
      FailedEnds[Event.Task] += 1;
    }
    break;
  case WorkerEvent::Type::AckedDone:
    AckedDone[Event.Task] = Now;
    break;
  case WorkerEvent::Type::AckedFailed:
    AckedFailures[Event.Task] += 1;
    break;
  }
}

void CellSimulation::checkStart(const WorkerEvent &Event, const StepSpec &Step,
                                const std::string &Text) {
  const auto AckedIt = AckedDone.find(Event.Task);
  // A copy of a speculative task may start up to a second after the task is
  // done. A delayed order to start a copy has no time limit.
  const Millis MaxDelay = Step.IsSpeculative ? Millis{1000} : Millis{0};
  const bool IsExempt =
      Step.IsLongRunning || (Step.IsSpeculative && Event.IsLate);
  if (AckedIt != AckedDone.end() && Now - AckedIt->second > MaxDelay &&
      !IsExempt) {
    recordViolation("start after its end was acknowledged: " + Text);
  }
  if (Step.IsGang) {
    checkGangStart(Event, Step, Text);
  }
  if (AckedFailures[Event.Task] >= MaxAttempts && !IsExempt) {
    recordViolation("start beyond the attempts: " + Text);
  }
  if (!Event.IsLate && isCrashingTask(Event.Task)) {
    checkStartOfCrashingTask(Event, Text);
  }
  for (const std::uint32_t Earlier : Step.DependsOn) {
    const auto &EarlierStep = Jobs.at(Event.Task.Job).Spec.Steps[Earlier];
    for (std::uint32_t Task = 0; Task < EarlierStep.Tasks; ++Task) {
      if (!DoneTasks.contains({Event.Task.Job, 0, Earlier, Task})) {
        recordViolation("start out of order: " + Text);
      }
    }
  }
  const auto &Cancelled = Jobs.at(Event.Task.Job).CancelledAt;
  if (Cancelled && Now - *Cancelled > MaxCancelDelay && !Event.IsLate) {
    recordViolation("start after the job was cancelled: " + Text);
  }
}

void CellSimulation::checkStartOfCrashingTask(const WorkerEvent &Event,
                                              const std::string &Text) {
  const auto &OfTask = SoleCrashes[Event.Task];
  const auto Certain = std::count_if(
      OfTask.begin(), OfTask.end(),
      [this](const SoleCrash &Crash) { return isCertain(Crash); });
  if (Certain >= MinSoleCrashesToGiveUp) {
    recordViolation("start after " + std::to_string(Certain) +
                    " workers crashed under it alone: " + Text);
  }
  if (Crashes[Event.Task] >= MinCrashesToWait &&
      Now - LastCrashAt[Event.Task] < MinBackoff) {
    recordViolation("start without a backoff after " +
                    std::to_string(Crashes[Event.Task]) + " crashes: " + Text);
  }
}

void CellSimulation::checkCapacityAtStart(const WorkerState &State,
                                          const std::string &Text) {
  const Instant BoundSince = Now - ContactWindow - ReportInterval;
  std::int64_t Allowed = 0;
  for (auto It = State.ReportedCpus.rbegin(); It != State.ReportedCpus.rend();
       ++It) {
    Allowed = std::max(Allowed, It->second);
    if (It->first <= BoundSince) {
      break;
    }
  }
  std::int64_t UsedMilliCpus = 0;
  for (const auto &[Task, Attempt] : State.Worker->running()) {
    UsedMilliCpus += stepOf(Task).Need.MilliCpus;
  }
  if (UsedMilliCpus > Allowed) {
    recordViolation("start over a capacity that has shrunk: " + Text);
  }
}

void CellSimulation::checkCapAtStart(const std::string &Job) {
  if (!hasCaps()) {
    return;
  }
  std::map<std::string, std::int64_t> RunningTasks;
  for (const auto &[Name, State] : Workers) {
    for (const auto &[Task, Attempt] : State.Worker->running()) {
      RunningTasks[Task.Job] += 1;
    }
  }
  const std::string Violation = Caps.checkStart(Job, RunningTasks, Now);
  if (!Violation.empty()) {
    recordViolation(Violation);
  }
}

void CellSimulation::checkGangStart(const WorkerEvent &Event,
                                    const StepSpec &Step,
                                    const std::string &Text) {
  TaskName Member = Event.Task;
  for (Member.Task = 0; Member.Task < Step.Tasks; ++Member.Task) {
    if (AckedDone.contains(Member)) {
      recordViolation("start of a gang that is done: " + Text);
    }
  }
  for (const auto &[Name, State] : Workers) {
    for (const auto &[Task, Attempt] : State.Worker->running()) {
      if (Task.Job == Event.Task.Job && Task.Step == Event.Task.Step &&
          Attempt != Event.Attempt) {
        recordViolation("two runs of a gang at once: " + Text);
      }
    }
  }
}

} // namespace mulberryramp::test
