#include "mulberryramp/cell/entry_times.hpp"

#include <algorithm>

namespace mulberryramp {

namespace {

using WorkerTimes = std::map<WorkerInstanceId, EntryTime>;

void removeStale(WorkerTimes &Times, const CellState &State) {
  if (Times.size() > State.Workers.size()) {
    std::erase_if(Times, [&State](const auto &Row) {
      return !State.Workers.contains(Row.first);
    });
  }
}

bool isUnfinished(const CellState &State, const TaskKey &Key) {
  const JobTask *Task = findTask(State, Key);
  return Task != nullptr && Task->State != JobTaskState::Done;
}

void noteCrashes(EntryTimes &Times, const CellState &State,
                 const std::vector<InstanceCrash> &Crashes, Instant Now) {
  if (Crashes.empty()) {
    return;
  }
  for (const InstanceCrash &Crash : Crashes) {
    for (const TaskEnd &End : Crash.Ends) {
      Instant &LastAt = Times.Crashes[End.Key];
      LastAt = std::max(LastAt, Now - Crash.Age);
    }
  }
  std::erase_if(Times.Crashes, [&State](const auto &Row) {
    return !isUnfinished(State, Row.first);
  });
}

/// Lets the backoffs of all tasks that met a crash begin.
void noteRestoredCrashes(EntryTimes &Times, const CellState &State,
                         Instant Now) {
  for (const JobId Id : State.UnfinishedJobs) {
    for (const JobRun &Run : State.Jobs[Id].Runs) {
      for (std::uint32_t Step = 0; Step < Run.Steps.size(); ++Step) {
        const auto &Tasks = Run.Steps[Step].Tasks;
        for (std::uint32_t Index = 0; Index < Tasks.size(); ++Index) {
          const JobTask &Task = Tasks[Index];
          const bool HasCrashed = Task.Crashes + Task.PossibleCrashes != 0 ||
                                  isCrash(Task.EndIfUnlisted);
          if (HasCrashed && Task.State != JobTaskState::Done) {
            Times.Crashes[{Id, Run.Number, Step, Index}] = Now;
          }
        }
      }
    }
  }
}

} // namespace

void noteChange(EntryTimes &Times, const CellState &State,
                const CellChange &Change, EntryTime At) {
  if (Change.Worker.isSet()) {
    Times.Registrations[Change.Worker] = At;
  }
  for (const WorkerInstanceId Worker : Change.SuspendedLeases) {
    Times.LeaseSuspensions[Worker] = At;
  }
  for (const WorkerInstanceId Worker : Change.ResumedLeases) {
    Times.LeaseSuspensions.erase(Worker);
  }
  noteCrashes(Times, State, Change.Crashes, At.AppliedAt);
  removeStale(Times.Registrations, State);
  removeStale(Times.LeaseSuspensions, State);
}

void noteRestore(EntryTimes &Times, const CellState &State, Instant Now) {
  Times = {};
  for (const WorkerInstanceId Id : State.Workers.ids()) {
    Times.Registrations[Id] = {Now, 0};
    if (State.Workers[Id].IsLeaseSuspended) {
      Times.LeaseSuspensions[Id] = {Now, 0};
    }
  }
  noteRestoredCrashes(Times, State, Now);
}

} // namespace mulberryramp
