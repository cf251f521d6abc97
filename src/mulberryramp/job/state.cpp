#include "mulberryramp/job/state.hpp"

#include <algorithm>

namespace mulberryramp {

namespace {

JobTask *taskAt(CellState &State, const TaskKey &Key) {
  return const_cast<JobTask *>(findTask(State, Key)); // NOLINT: own state.
}

JobStep &stepAt(CellState &State, const TaskKey &Key) {
  return findRun(State.Jobs[Key.Job], Key.Run)->Steps[Key.Step];
}

const StepSpec &specAt(const CellState &State, const TaskKey &Key) {
  return State.Jobs[Key.Job].Spec.Steps[Key.Step];
}

void createRun(Job &JobRow) {
  JobRun Run;
  Run.Number = JobRow.NextRun;
  JobRow.NextRun += 1;
  for (const StepSpec &Step : JobRow.Spec.Steps) {
    Run.Steps.emplace_back().Tasks.resize(Step.Tasks);
  }
  JobRow.Runs.push_back(std::move(Run));
}

void endJob(CellState &State, JobId Id, JobPhase Phase, WallTime At,
            CellChange &Change) {
  Job &JobRow = State.Jobs[Id];
  JobRow.Phase = Phase;
  JobRow.FinishedAt = At;
  State.UnfinishedJobs.erase(Id);
  Change.FinishedJobs.push_back(Id);
}

/// Takes a task off its worker.
void unassignTask(CellState &State, const TaskKey &Key, JobTask &Task) {
  JobStep &Step = stepAt(State, Key);
  Task.State = JobTaskState::Waiting;
  Step.Assigned -= 1;
  State.Jobs[Key.Job].AssignedTasks -= 1;
  if (WorkerInstance *Worker = State.Workers.find(Task.Worker)) {
    Worker->Used -= requiredResources(specAt(State, Key));
    Worker->Tasks -= 1;
  }
}

void markDone(JobStep &Step, JobTask &Task) {
  Task.State = JobTaskState::Done;
  Task.Checkpoint.clear();
  Step.Done += 1;
}

void completeRunIfDone(CellState &State, const TaskKey &Key, WallTime At,
                       CellChange &Change) {
  Job &JobRow = State.Jobs[Key.Job];
  JobRun *Run = findRun(JobRow, Key.Run);
  const bool IsDone = std::all_of(
      Run->Steps.begin(), Run->Steps.end(),
      [](const JobStep &Step) { return Step.Done == Step.Tasks.size(); });
  if (!IsDone) {
    return;
  }
  std::erase_if(JobRow.Runs,
                [&Key](const JobRun &Each) { return Each.Number == Key.Run; });
  if (JobRow.Runs.empty() && JobRow.NextRun >= runCount(JobRow.Spec) &&
      !isTerminal(JobRow.Phase)) {
    endJob(State, Key.Job, JobPhase::Completed, At, Change);
  }
}

/// One done member of a gang stands for all of them.
void completeGang(CellState &State, const TaskKey &Key) {
  JobStep &Step = stepAt(State, Key);
  TaskKey Each = Key;
  for (Each.Task = 0; Each.Task < Step.Tasks.size(); ++Each.Task) {
    JobTask &Task = Step.Tasks[Each.Task];
    if (Task.State == JobTaskState::Assigned) {
      unassignTask(State, Each, Task);
    }
    if (Task.State == JobTaskState::Waiting) {
      markDone(Step, Task);
    }
  }
}

void recordFailure(CellState &State, const TaskKey &Key, JobTask &Task,
                   WallTime At, CellChange &Change) {
  const StepSpec &Spec = specAt(State, Key);
  JobStep &Step = stepAt(State, Key);
  if (Spec.IsLongRunning ||
      (Spec.IsGang && Step.LastFailedAttempt == Task.Attempt)) {
    return;
  }
  if (Spec.IsGang) {
    Step.LastFailedAttempt = Task.Attempt;
    for (JobTask &Each : Step.Tasks) {
      Each.Failures += 1;
    }
  } else {
    Task.Failures += 1;
  }
  const Job &JobRow = State.Jobs[Key.Job];
  if (Task.Failures >= JobRow.Queue.MaxAttempts && !isTerminal(JobRow.Phase)) {
    endJob(State, Key.Job, JobPhase::Failed, At, Change);
  }
}

/// A start that was given up for lost ended all the same. If it did its work
/// the task is done, and what was started in its place is left for the leader
/// to stop.
void recordLateTaskEnd(CellState &State, const TaskEnd &End, JobTask &Task,
                       WallTime At, CellChange &Change) {
  const StepSpec &Spec = specAt(State, End.Key);
  if (End.Kind == EndKind::Failed && Task.State != JobTaskState::Done) {
    recordFailure(State, End.Key, Task, At, Change);
    return;
  }
  if (End.Kind != EndKind::Done || Spec.IsLongRunning || Spec.IsGang ||
      Task.State == JobTaskState::Done) {
    return;
  }
  if (Task.State == JobTaskState::Assigned) {
    Change.Ended.push_back({End.Key, Task.Attempt, EndKind::Lost, ""});
    Change.WorkersToReconcile.push_back(Task.Worker);
    unassignTask(State, End.Key, Task);
  }
  markDone(stepAt(State, End.Key), Task);
  completeRunIfDone(State, End.Key, At, Change);
}

void recordTaskEnd(CellState &State, const TaskEnd &End, WallTime At,
                   CellChange &Change) {
  JobTask *Task = taskAt(State, End.Key);
  if (Task == nullptr || End.Attempt > Task->Attempt) {
    return;
  }
  if (Task->State != JobTaskState::Assigned || Task->Attempt != End.Attempt) {
    recordLateTaskEnd(State, End, *Task, At, Change);
    return;
  }
  Change.Ended.push_back(End);
  unassignTask(State, End.Key, *Task);
  const StepSpec &Spec = specAt(State, End.Key);
  if (!End.Checkpoint.empty()) {
    Task->Checkpoint = End.Checkpoint;
  }
  if (End.Kind == EndKind::Failed) {
    recordFailure(State, End.Key, *Task, At, Change);
  }
  if (End.Kind != EndKind::Done || Spec.IsLongRunning) {
    return;
  }
  if (Spec.IsGang) {
    completeGang(State, End.Key);
  } else {
    markDone(stepAt(State, End.Key), *Task);
  }
  completeRunIfDone(State, End.Key, At, Change);
}

/// Calls a visitor for each task that is assigned to a worker.
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
          const bool IsThere = Tasks[Index].State == JobTaskState::Assigned &&
                               Tasks[Index].Worker == Worker;
          if (IsThere) {
            Visit(TaskKey{Id, Run.Number, Step, Index}, Tasks[Index]);
          }
        }
      }
    }
  }
}

void deregisterWorker(CellState &State, WorkerInstanceId Id,
                      CellChange &Change) {
  WorkerInstance *Worker = State.Workers.find(Id);
  if (Worker == nullptr) {
    return;
  }
  forEachTaskOn(State, Id, [&](const TaskKey &Key, JobTask &Task) {
    unassignTask(State, Key, Task);
    Change.Ended.push_back({Key, Task.Attempt, EndKind::Lost, ""});
  });
  const auto Named = State.WorkerNames.find(Worker->Report.Name);
  if (Named != State.WorkerNames.end() && Named->second == Id) {
    State.WorkerNames.erase(Named);
  }
  State.Workers.erase(Id);
}

CellChange apply(CellState &State, const SubmitJobCommand &Item) {
  CellChange Change;
  Change.Job = findJob(State, Item.Name);
  const JobQueue *Queue =
      findQueueById(State.Configuration, Item.Host, Item.Prefix);
  if (Change.Job.isSet() || Queue == nullptr) {
    return Change;
  }
  Job Fresh;
  Fresh.Name = Item.Name;
  Fresh.Spec = Item.Spec;
  Fresh.Queue = *Queue;
  Fresh.AcceptedAt = Item.At;
  if (Fresh.Spec.RepeatCount == 0) {
    createRun(Fresh);
  }
  Change.Job = State.Jobs.insert(std::move(Fresh));
  State.JobNames[Item.Name] = Change.Job;
  State.UnfinishedJobs.insert(Change.Job);
  return Change;
}

CellChange apply(CellState &State, const CancelJobCommand &Item) {
  CellChange Change;
  Change.Job = findJob(State, Item.Name);
  if (Change.Job.isSet() && !isTerminal(State.Jobs[Change.Job].Phase)) {
    endJob(State, Change.Job, JobPhase::Cancelled, Item.At, Change);
  }
  return Change;
}

CellChange apply(CellState &State, const ConfigureCommand &Item) {
  if (Item.Configuration.Version <= State.Configuration.Version) {
    return {};
  }
  State.Configuration = Item.Configuration;
  for (const JobId Id : State.Jobs.ids()) {
    Job &Each = State.Jobs[Id];
    const JobQueue *Queue =
        findQueueById(State.Configuration, Each.Queue.Host, Each.Queue.Prefix);
    if (Queue != nullptr) {
      Each.Queue = *Queue;
    }
  }
  return {};
}

CellChange apply(CellState &State, const RegisterWorkerCommand &Item) {
  CellChange Change;
  const WorkerInstanceId Known = findWorker(State, Item.Report.Name);
  if (Known.isSet() &&
      State.Workers[Known].Report.StartTimeMs >= Item.Report.StartTimeMs) {
    return Change;
  }
  std::vector<WorkerInstanceId> Ended;
  for (const WorkerInstanceId Id : State.Workers.ids()) {
    const WorkerReport &Other = State.Workers[Id].Report;
    if (Id != Known && Other.Address == Item.Report.Address &&
        Other.StartTimeMs < Item.Report.StartTimeMs) {
      Ended.push_back(Id);
    }
  }
  for (const WorkerInstanceId Id : Ended) {
    deregisterWorker(State, Id, Change);
  }
  WorkerInstance Fresh;
  Fresh.Report = Item.Report;
  const WorkerInstanceId Id = State.Workers.insert(std::move(Fresh));
  if (Known.isSet()) {
    forEachTaskOn(State, Known,
                  [Id](const TaskKey &, JobTask &Task) { Task.Worker = Id; });
    State.Workers[Id].Used = State.Workers[Known].Used;
    State.Workers[Id].Tasks = State.Workers[Known].Tasks;
    State.Workers.erase(Known);
  }
  State.WorkerNames[Item.Report.Name] = Id;
  Change.Worker = Id;
  Change.ReplacedInstance = Known;
  return Change;
}

CellChange apply(CellState &State, const DrainWorkerCommand &Item) {
  if (WorkerInstance *Worker = State.Workers.find(Item.Worker)) {
    Worker->Report.IsDraining = true;
  }
  return {};
}

CellChange apply(CellState &State, const DeregisterWorkerCommand &Item) {
  CellChange Change;
  deregisterWorker(State, Item.Worker, Change);
  return Change;
}

bool canAssign(const CellState &State, const TaskAssignment &Assigned) {
  const Job *Owner = State.Jobs.find(Assigned.Key.Job);
  const WorkerInstance *Worker = State.Workers.find(Assigned.Worker);
  const JobTask *Task = findTask(State, Assigned.Key);
  if (Owner == nullptr || Worker == nullptr || Task == nullptr ||
      isTerminal(Owner->Phase) || Task->State != JobTaskState::Waiting ||
      Assigned.Attempt <= Task->Attempt) {
    return false;
  }
  const StepSpec &Step = Owner->Spec.Steps[Assigned.Key.Step];
  return isStepReady(*Owner, *findRun(*Owner, Assigned.Key.Run),
                     Assigned.Key.Step) &&
         Worker->Report.Pool == Owner->Queue.Pool &&
         fitsIn(requiredResources(Step), availableResources(*Worker));
}

CellChange apply(CellState &State, const AssignTasksCommand &Item) {
  CellChange Change;
  for (const TaskAssignment &Each : Item.Assignments) {
    if (!canAssign(State, Each)) {
      continue;
    }
    JobTask &Task = *taskAt(State, Each.Key);
    Task.State = JobTaskState::Assigned;
    Task.Attempt = Each.Attempt;
    Task.Worker = Each.Worker;
    stepAt(State, Each.Key).Assigned += 1;
    Job &Owner = State.Jobs[Each.Key.Job];
    Owner.AssignedTasks += 1;
    Owner.Phase = JobPhase::Running;
    WorkerInstance &Worker = State.Workers[Each.Worker];
    Worker.Used += requiredResources(specAt(State, Each.Key));
    Worker.Tasks += 1;
    Change.Started.push_back(Each);
  }
  return Change;
}

CellChange apply(CellState &State, const RecordTaskEndsCommand &Item) {
  CellChange Change;
  for (const TaskEnd &End : Item.Ends) {
    recordTaskEnd(State, End, Item.At, Change);
  }
  if (WorkerInstance *Worker = State.Workers.find(Item.Worker)) {
    Worker->LastAckedEnd = std::max(Worker->LastAckedEnd, Item.LastEnd);
  }
  return Change;
}

CellChange apply(CellState &State, const CreateRunCommand &Item) {
  Job *Owner = State.Jobs.find(Item.Job);
  if (Owner != nullptr && !isTerminal(Owner->Phase) &&
      Owner->NextRun == Item.Run && Item.Run < runCount(Owner->Spec)) {
    createRun(*Owner);
  }
  return {};
}

CellChange apply(CellState &State, const PurgeJobsCommand &Item) {
  for (const JobId Id : Item.Jobs) {
    const Job *Old = State.Jobs.find(Id);
    if (Old != nullptr && isTerminal(Old->Phase) && Old->AssignedTasks == 0) {
      State.JobNames.erase(Old->Name);
      State.Jobs.erase(Id);
    }
  }
  return {};
}

} // namespace

CellChange applyCommand(CellState &State, const CellCommand &Item) {
  return std::visit([&State](const auto &Each) { return apply(State, Each); },
                    Item);
}

void rebuildIndex(CellState &State) {
  State.JobNames.clear();
  State.WorkerNames.clear();
  State.UnfinishedJobs.clear();
  for (const JobId Id : State.Jobs.ids()) {
    State.JobNames[State.Jobs[Id].Name] = Id;
    if (!isTerminal(State.Jobs[Id].Phase)) {
      State.UnfinishedJobs.insert(Id);
    }
  }
  for (const WorkerInstanceId Id : State.Workers.ids()) {
    State.WorkerNames[State.Workers[Id].Report.Name] = Id;
  }
}

JobId findJob(const CellState &State, std::string_view Name) {
  const auto Found = State.JobNames.find(Name);
  return Found == State.JobNames.end() ? JobId{} : Found->second;
}

WorkerInstanceId findWorker(const CellState &State, std::string_view Name) {
  const auto Found = State.WorkerNames.find(Name);
  return Found == State.WorkerNames.end() ? WorkerInstanceId{} : Found->second;
}

const JobTask *findTask(const CellState &State, const TaskKey &Key) noexcept {
  const Job *Owner = State.Jobs.find(Key.Job);
  const JobRun *Run = Owner == nullptr ? nullptr : findRun(*Owner, Key.Run);
  if (Run == nullptr || Key.Step >= Run->Steps.size() ||
      Key.Task >= Run->Steps[Key.Step].Tasks.size()) {
    return nullptr;
  }
  return &Run->Steps[Key.Step].Tasks[Key.Task];
}

Resources requiredResources(const StepSpec &Step) noexcept {
  Resources Taken = Step.Need;
  if (Step.IsBestEffortCpu) {
    Taken.MilliCpus = 0;
  }
  return Taken;
}

Resources availableResources(const WorkerInstance &Worker) noexcept {
  return Worker.Report.Capacity - Worker.Used;
}

} // namespace mulberryramp
