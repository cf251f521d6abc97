#include "cell/cell_simulation.hpp"

#include <algorithm>

namespace mulberryramp::test {

bool CellSimulation::isCrashingTask(const TaskName &Task) const {
  return FakeWorker::crashesWorker(Jobs.at(Task.Job).Spec.Payload, Task);
}

bool CellSimulation::isCrashingJob(const TrackedJob &Job) const {
  return Job.Spec.Payload.starts_with("crash");
}

void CellSimulation::checkKey(const std::string &Key, Instant SentAt,
                              CellVerdict Verdict) {
  Result.KeyChecks += 1;
  const std::string Violation = Keys->check(Key, SentAt, Now, Verdict);
  if (!Violation.empty()) {
    recordViolation(Violation);
  }
}

void CellSimulation::checkFailed(const std::string &Name,
                                 const TrackedJob &Job) {
  if (!hasFailedEnough(Name, Job) && !hasCrashedEnough(Name, Job)) {
    recordViolation("job " + Name + " is failed without failures or crashes");
  }
}

bool CellSimulation::hasFailedEnough(const std::string &Name,
                                     const TrackedJob &Job) {
  for (std::uint32_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
    std::uint32_t FailuresOfStep = 0;
    for (std::uint32_t Task = 0; Task < Job.Spec.Steps[Step].Tasks; ++Task) {
      // The failures of a gang count for all of its members.
      FailuresOfStep = (Job.Spec.Steps[Step].IsGang ? FailuresOfStep : 0) +
                       FailedEnds[{Name, 0, Step, Task}];
      if (FailuresOfStep >= MaxAttempts) {
        return true;
      }
    }
  }
  return false;
}

bool CellSimulation::hasCrashedEnough(const std::string &Name,
                                      const TrackedJob &Job) {
  for (std::uint32_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
    for (std::uint32_t Task = 0; Task < Job.Spec.Steps[Step].Tasks; ++Task) {
      if (SoleCrashes[{Name, 0, Step, Task}].size() >= MinSoleCrashesToGiveUp) {
        return true;
      }
    }
  }
  return false;
}

void CellSimulation::checkCompleted(const std::string &Name,
                                    const TrackedJob &Job) {
  for (std::uint32_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
    for (std::uint32_t Task = 0; Task < Job.Spec.Steps[Step].Tasks; ++Task) {
      if (!DoneTasks.contains({Name, 0, Step, Task})) {
        recordViolation("job " + Name + " is completed without task " +
                        std::to_string(Step) + "." + std::to_string(Task));
      }
    }
  }
}

const StepSpec &CellSimulation::stepOf(const TaskName &Task) const {
  return Jobs.at(Task.Job).Spec.Steps[Task.Step];
}

void CellSimulation::checkWorkers() {
  std::map<TaskName, std::string> Running;
  for (const auto &[Name, State] : Workers) {
    std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> TasksOfStep;
    std::int64_t UsedMilliCpus = 0;
    for (const auto &[Task, Attempt] : State.Worker->running()) {
      const StepSpec &Step = stepOf(Task);
      UsedMilliCpus += Step.Need.MilliCpus;
      const auto Inserted = Running.emplace(Task, Name);
      if (!Inserted.second && !Step.IsSpeculative) {
        recordViolation("runs twice: " + Task.Job + "." +
                        std::to_string(Task.Step) + "." +
                        std::to_string(Task.Task) + " on " + Name + " and " +
                        Inserted.first->second);
      }
      TasksOfStep[{Task.Job, Task.Step}] += 1;
      if (Step.MaxPerWorker != 0 &&
          TasksOfStep[{Task.Job, Task.Step}] > Step.MaxPerWorker) {
        recordViolation("too many tasks of a step on " + Name);
      }
    }
    if (UsedMilliCpus > WorkerCpus) {
      recordViolation("overcommitted: " + Name);
    }
  }
}

void CellSimulation::checkFinalState() {
  for (const auto &[Name, Job] : Jobs) {
    if (!Job.IsAccepted) {
      recordViolation("job " + Name + " was never accepted");
      continue;
    }
    const bool IsLongRunning = Job.Spec.Steps.front().IsLongRunning;
    const bool IsTerminal = Job.Phase && isTerminal(*Job.Phase);
    Result.Completed += Job.Phase && *Job.Phase == JobPhase::Completed ? 1 : 0;
    if (Job.Phase && !isCrashingJob(Job) && *Job.Phase == JobPhase::Failed) {
      Result.FailedBystanders += 1;
      Result.BystandersFailedByCrashes += hasFailedEnough(Name, Job) ? 0 : 1;
    }
    if (!IsTerminal && !IsLongRunning && !Job.CancelledAt) {
      recordViolation("job " + Name +
                      " is not done: " + describeUnfinished(Name, Job));
    }
    if (IsLongRunning && !Job.CancelledAt) {
      checkLongRunning(Name, Job);
    }
  }
}

std::string CellSimulation::describeUnfinished(const std::string &Name,
                                               const TrackedJob &Job) const {
  std::uint32_t Met = 0;
  std::size_t Sole = 0;
  Instant LastAt{};
  for (const auto &[Task, Count] : Crashes) {
    if (Task.Job == Name) {
      Met += Count;
      LastAt = std::max(LastAt, LastCrashAt.at(Task));
    }
  }
  for (const auto &[Task, Counted] : SoleCrashes) {
    Sole += Task.Job == Name ? Counted.size() : 0;
  }
  std::string Text = isCrashingJob(Job) ? "crashes workers" : "sound";
  Text += ", " + std::to_string(Met) + " crashes met";
  if (Met != 0) {
    Text += ", " + std::to_string(Sole) + " as the only suspect, the last " +
            std::to_string((Now - LastAt).count()) + " ms ago";
  }
  return Text;
}

void CellSimulation::checkLongRunning(const std::string &Name,
                                      const TrackedJob &Job) {
  std::size_t RunningOfJob = 0;
  std::size_t RunningTasks = 0;
  for (const auto &[Worker, State] : Workers) {
    for (const auto &[Task, Attempt] : State.Worker->running()) {
      RunningTasks += 1;
      RunningOfJob += Task.Job == Name ? 1 : 0;
    }
  }
  const auto PresentWorkers = static_cast<std::size_t>(
      std::count_if(Workers.begin(), Workers.end(),
                    [](const auto &Entry) { return !Entry.second.IsLost; }));
  const bool HasCapacity = RunningTasks < std::size_t{4} * PresentWorkers;
  if (HasCapacity && RunningOfJob < Job.Spec.Steps.front().Tasks) {
    recordViolation("lasting job " + Name + " does not run");
  }
}

} // namespace mulberryramp::test
