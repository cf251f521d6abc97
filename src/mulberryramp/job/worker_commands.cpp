#include "mulberryramp/job/internal.hpp"

#include <algorithm>

/// @file
/// @brief Commands about workers: registration, drain, capacity and leave.

namespace mulberryramp::internal {

namespace {

/// Names of deregistered workers that are kept. An order for such a worker may
/// arrive up to 12 s later, and no more workers are deregistered in that time.
constexpr std::size_t MaxFormerWorkers = 4000;

/// Calls a visitor for each task that is assigned to a worker instance.
template <typename Visitor>
void forEachTaskOn(CellState &State, WorkerInstanceId Worker, Visitor Visit) {
  for (std::size_t Row = 0; Row < State.Jobs.size(); ++Row) {
    const JobId Id = State.Jobs.ids()[Row];
    Job &JobRow = State.Jobs[Id];
    if (JobRow.AssignedTasks == 0) {
      continue;
    }
    for (JobRun &Run : JobRow.Runs) {
      for (std::uint32_t Step = 0; Step < Run.Steps.size(); ++Step) {
        auto &Tasks = Run.Steps[Step].Tasks;
        for (std::uint32_t Index = 0; Index < Tasks.size(); ++Index) {
          const bool IsAssignedHere =
              Tasks[Index].State == JobTaskState::Assigned &&
              Tasks[Index].Worker == Worker;
          if (IsAssignedHere) {
            Visit(TaskKey{Id, Run.Number, Step, Index}, Tasks[Index]);
          }
        }
      }
    }
  }
}

/// Finds the task of an attempt that is assigned to a worker instance.
/// @return The task, or null if the attempt is not assigned to it.
JobTask *findAssigned(CellState &State, const TaskAssignment &Assigned) {
  JobTask *Task = taskAt(State, Assigned.Key);
  return Task != nullptr && Task->State == JobTaskState::Assigned &&
                 Task->Attempt == Assigned.Attempt &&
                 Task->Worker == Assigned.Worker
             ? Task
             : nullptr;
}

void deregisterWorker(CellState &State, WorkerInstanceId Id,
                      CellChange &Change) {
  WorkerInstance *Worker = State.Workers.find(Id);
  if (Worker == nullptr) {
    return;
  }
  forEachTaskOn(State, Id, [&](const TaskKey &Key, JobTask &Task) {
    unassignTask(State, Key, Task);
    recordBegin(State.Jobs[Key.Job], EndKind::Lost);
    Change.Ended.push_back({Key, Task.Attempt, EndKind::Lost, ""});
  });
  if (State.FormerWorkers.size() >= MaxFormerWorkers) {
    State.FormerWorkers.erase(State.FormerWorkers.begin());
  }
  State.FormerWorkers.push_back(Worker->Report.Name);
  const auto NameIt = State.WorkerNames.find(Worker->Report.Name);
  if (NameIt != State.WorkerNames.end() && NameIt->second == Id) {
    State.WorkerNames.erase(NameIt);
  }
  State.Workers.erase(Id);
}

/// Records the ends of attempts whose worker instance crashed and is replaced.
/// An attempt that moves to the next instance may have reached that one, so its
/// end is recorded only once that instance does not list it.
/// @param Current Instance under the name of the worker.
void recordCrashes(CellState &State, const RegisterWorkerCommand &Command,
                   WorkerInstanceId Current, CellChange &Change) {
  const auto Ended = findEndedInstances(State, Command.Report);
  for (const InstanceCrash &Crash : Command.Crashes) {
    if (std::find(Ended.begin(), Ended.end(), Crash.Worker) == Ended.end()) {
      continue;
    }
    Change.Crashes.push_back(Crash);
    for (const TaskEnd &End : Crash.Ends) {
      JobTask *Task = findAssigned(State, {End.Key, End.Attempt, Current});
      if (Task == nullptr) {
        recordTaskEnd(State, End, Command.At, Change);
      } else if (Task->EndIfUnlisted == EndKind::Lost) {
        // Otherwise an earlier crash is not counted yet. The order was sent to
        // that instance, so its crash is the one to count.
        Task->EndIfUnlisted = End.Kind;
      }
    }
  }
}

/// Deregisters the earlier instances under other names at the address of a
/// worker.
/// @param Current Instance under the name of the worker, which stays.
void deregisterPredecessors(CellState &State, const WorkerReport &Report,
                            WorkerInstanceId Current, CellChange &Change) {
  for (const WorkerInstanceId Id : findEndedInstances(State, Report)) {
    if (Id != Current) {
      deregisterWorker(State, Id, Change);
    }
  }
}

/// Records the first report of an unannounced instance. Its drain state is its
/// own, as nothing was copied from the previous instance.
void announceWorker(CellState &State, WorkerInstanceId Id,
                    const RegisterWorkerCommand &Command, CellChange &Change) {
  recordCrashes(State, Command, Id, Change);
  deregisterPredecessors(State, Command.Report, Id, Change);
  WorkerInstance &Worker = State.Workers[Id];
  Worker.Report = Command.Report;
  Worker.IsUnannounced = false;
  Change.AnnouncedWorker = Id;
}

} // namespace

CellChange apply(CellState &State, const RegisterWorkerCommand &Command) {
  CellChange Change;
  const WorkerInstanceId Previous = findWorker(State, Command.Report.Name);
  if (const WorkerInstance *Known = State.Workers.find(Previous);
      Known != nullptr &&
      Known->Report.StartTimeMs >= Command.Report.StartTimeMs) {
    if (Known->IsUnannounced && !Command.IsUnannounced &&
        Known->Report.StartTimeMs == Command.Report.StartTimeMs) {
      announceWorker(State, Previous, Command, Change);
    }
    const bool IsKnown =
        Known->Report.StartTimeMs == Command.Report.StartTimeMs;
    // The report was proposed while the registration of its instance was not
    // committed. A drain is never undone, also by reports out of order.
    if (IsKnown && Command.Report.IsDraining) {
      State.Workers[Previous].Report.IsDraining = true;
    }
    Change.Outcome = IsKnown ? CommandOutcome::Done : CommandOutcome::Overtaken;
    return Change;
  }
  recordCrashes(State, Command, Previous, Change);
  deregisterPredecessors(State, Command.Report, Previous, Change);
  WorkerInstance NewInstance;
  NewInstance.Report = Command.Report;
  NewInstance.IsUnannounced = Command.IsUnannounced;
  State.Registrations += 1;
  NewInstance.Registration = State.Registrations;
  const auto HasLeft = std::erase(State.FormerWorkers, Command.Report.Name);
  NewInstance.MayHoldFormerLease = Previous.isSet() || HasLeft != 0;
  const WorkerInstanceId Id = State.Workers.insert(std::move(NewInstance));
  if (Previous.isSet()) {
    forEachTaskOn(State, Previous, [&](const TaskKey &Key, JobTask &Task) {
      Task.Worker = Id;
      Task.IsTransferred = std::none_of(
          Command.Begun.begin(), Command.Begun.end(),
          [&](const TaskAssignment &Attempt) {
            return Attempt.Key == Key && Attempt.Attempt == Task.Attempt;
          });
    });
    State.Workers[Id].Used = State.Workers[Previous].Used;
    State.Workers[Id].Tasks = State.Workers[Previous].Tasks;
    State.Workers.erase(Previous);
  }
  State.WorkerNames[Command.Report.Name] = Id;
  Change.Worker = Id;
  Change.ReplacedInstance = Previous;
  return Change;
}

CellChange apply(CellState &State, const DrainWorkerCommand &Command) {
  CellChange Change;
  if (WorkerInstance *Worker = State.Workers.find(Command.Worker)) {
    Worker->Report.IsDraining = true;
  } else {
    Change.Outcome = CommandOutcome::NoWorker;
  }
  return Change;
}

CellChange apply(CellState &State, const UpdateCapacityCommand &Command) {
  WorkerInstance *Worker = State.Workers.find(Command.Worker);
  if (Worker != nullptr && Command.Sequence > Worker->Report.Sequence) {
    Worker->Report.Capacity = Command.Capacity;
    Worker->Report.Sequence = Command.Sequence;
  }
  return {};
}

CellChange apply(CellState &State, const DeregisterWorkerCommand &Command) {
  CellChange Change;
  deregisterWorker(State, Command.Worker, Change);
  return Change;
}

CellChange apply(CellState &State, const LeaveWorkerCommand &Command) {
  CellChange Change;
  const WorkerInstanceId Id = findWorker(State, Command.Name);
  if (Id.isSet() && !State.Workers[Id].Report.IsDraining) {
    Change.Outcome = CommandOutcome::NotDraining;
    return Change;
  }
  deregisterWorker(State, Id, Change);
  return Change;
}

CellChange apply(CellState &State, const SuspendLeasesCommand &Command) {
  CellChange Change;
  for (const LeaseSuspension &Suspension : Command.Suspensions) {
    if (WorkerInstance *Worker = State.Workers.find(Suspension.Worker)) {
      Worker->IsLeaseSuspended = true;
      Worker->SuspendedLease = Suspension.Remaining;
      Change.SuspendedLeases.push_back(Suspension.Worker);
    }
  }
  return Change;
}

CellChange apply(CellState &State, const ResumeLeasesCommand &Command) {
  CellChange Change;
  for (const WorkerInstanceId Id : Command.Workers) {
    if (WorkerInstance *Worker = State.Workers.find(Id)) {
      Worker->IsLeaseSuspended = false;
      Change.ResumedLeases.push_back(Id);
    }
  }
  return Change;
}

CellChange apply(CellState &State, const EndFormerLeasesCommand &Command) {
  for (const WorkerInstanceId Id : Command.Workers) {
    if (WorkerInstance *Worker = State.Workers.find(Id)) {
      Worker->MayHoldFormerLease = false;
    }
  }
  return {};
}

CellChange apply(CellState &State, const ConfirmAttemptsCommand &Command) {
  for (const TaskAssignment &Confirmed : Command.Attempts) {
    if (JobTask *Task = findAssigned(State, Confirmed)) {
      Task->EndIfUnlisted = EndKind::Lost;
    }
  }
  return {};
}

} // namespace mulberryramp::internal
