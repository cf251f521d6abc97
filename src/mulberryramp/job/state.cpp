#include "mulberryramp/job/internal.hpp"

#include "mulberryramp/job/organisation_accounts.hpp"

#include <algorithm>

namespace mulberryramp {

namespace internal {

JobTask *taskAt(CellState &State, const TaskKey &Key) {
  return const_cast<JobTask *>(findTask(State, Key)); // NOLINT: non-const.
}

JobStep &stepAt(CellState &State, const TaskKey &Key) {
  return findRun(State.Jobs[Key.Job], Key.Run)->Steps[Key.Step];
}

const StepSpec &specAt(const CellState &State, const TaskKey &Key) {
  return State.Jobs[Key.Job].Spec.Steps[Key.Step];
}

void unassignTask(CellState &State, const TaskKey &Key, JobTask &Task) {
  JobStep &Step = stepAt(State, Key);
  Task.State = JobTaskState::Waiting;
  Step.Assigned -= 1;
  State.Jobs[Key.Job].AssignedTasks -= 1;
  removeLoad(State, State.Jobs[Key.Job], specAt(State, Key));
  if (WorkerInstance *Worker = State.Workers.find(Task.Worker)) {
    Worker->Used -= requiredResources(specAt(State, Key));
    Worker->Tasks -= 1;
  }
}

void recordBegin(Job &JobRow, EndKind Kind) {
  if (Kind != EndKind::Refused) {
    JobRow.IsUnstarted = false;
  } else if (JobRow.IsUnstarted && JobRow.AssignedTasks == 0 &&
             JobRow.Phase == JobPhase::Running) {
    JobRow.Phase = JobPhase::Queued;
  }
}

} // namespace internal

namespace {

using internal::apply;
using internal::recordBegin;
using internal::recordTaskEnd;
using internal::specAt;
using internal::stepAt;
using internal::taskAt;
using internal::unassignTask;

/// A task is given up after at least this many crashes as the only suspect. A
/// worker may crash for its own reasons just after a start.
constexpr std::uint32_t MinSoleCrashesToFail = 2;

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
  std::erase_if(JobRow.Runs, [&Key](const JobRun &Existing) {
    return Existing.Number == Key.Run;
  });
  if (JobRow.Runs.empty() && JobRow.NextRun >= runCount(JobRow.Spec) &&
      !isTerminal(JobRow.Phase)) {
    endJob(State, Key.Job, JobPhase::Completed, At, Change);
  }
}

/// A gang is done as soon as one of its members is done.
void completeGang(CellState &State, const TaskKey &Key) {
  JobStep &Step = stepAt(State, Key);
  TaskKey MemberKey = Key;
  for (MemberKey.Task = 0; MemberKey.Task < Step.Tasks.size();
       ++MemberKey.Task) {
    JobTask &Task = Step.Tasks[MemberKey.Task];
    if (Task.State == JobTaskState::Assigned) {
      unassignTask(State, MemberKey, Task);
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
  // A gang counts as failed once per attempt, however many members fail.
  if (Spec.IsLongRunning ||
      (Spec.IsGang && Step.LastFailedAttempt == Task.Attempt)) {
    return;
  }
  if (Spec.IsGang) {
    Step.LastFailedAttempt = Task.Attempt;
    for (JobTask &Member : Step.Tasks) {
      Member.Failures += 1;
    }
  } else {
    Task.Failures += 1;
  }
  const Job &JobRow = State.Jobs[Key.Job];
  if (Task.Failures >= JobRow.Queue.MaxAttempts && !isTerminal(JobRow.Phase)) {
    endJob(State, Key.Job, JobPhase::Failed, At, Change);
  }
}

/// Counts the crash of a worker under a task. A crash as the only suspect
/// counts as a failed attempt, because a task that crashes its workers would
/// take down one after another. Any other crash fails no job: its cause is not
/// known.
void recordCrash(CellState &State, const TaskEnd &End, JobTask &Task,
                 WallTime At, CellChange &Change) {
  if (End.Kind == EndKind::PossiblyCrashed) {
    Task.PossibleCrashes += 1;
  } else {
    Task.Crashes += 1;
  }
  if (End.Kind != EndKind::Crashed) {
    return;
  }
  Task.SoleCrashes += 1;
  const Job &JobRow = State.Jobs[End.Key.Job];
  if (Task.SoleCrashes >=
          std::max(MinSoleCrashesToFail, JobRow.Queue.MaxAttempts) &&
      !isTerminal(JobRow.Phase)) {
    endJob(State, End.Key.Job, JobPhase::Failed, At, Change);
  }
}

/// Handles the end of an attempt that is no longer assigned, for instance as it
/// was presumed lost. If the attempt succeeded, the task is done, and the
/// leader stops its replacement attempt; a failure is counted.
void recordLateTaskEnd(CellState &State, const TaskEnd &End, JobTask &Task,
                       WallTime At, CellChange &Change) {
  const StepSpec &Spec = specAt(State, End.Key);
  if (End.Attempt == Task.LostAttempt) {
    Task.LostOn = WorkerInstanceId{};
  }
  if (End.Kind == EndKind::Failed && Task.State != JobTaskState::Done) {
    recordFailure(State, End.Key, Task, At, Change);
    return;
  }
  if (isCrash(End.Kind) && Task.State != JobTaskState::Done) {
    recordCrash(State, End, Task, At, Change);
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

} // namespace

void internal::recordTaskEnd(CellState &State, const TaskEnd &End, WallTime At,
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
  recordBegin(State.Jobs[End.Key.Job], End.Kind);
  const StepSpec &Spec = specAt(State, End.Key);
  if (!End.Checkpoint.empty()) {
    Task->Checkpoint = End.Checkpoint;
  }
  if (End.Kind == EndKind::Failed) {
    recordFailure(State, End.Key, *Task, At, Change);
  } else if (isCrash(End.Kind)) {
    recordCrash(State, End, *Task, At, Change);
  } else if (End.MayRun) {
    Task->LostAttempt = End.Attempt;
    Task->LostOn = Task->Worker;
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

namespace {

void indexOrganisations(CellState &State) {
  State.OrganisationsByKey.clear();
  State.OrganisationsByName.clear();
  const auto &Organisations = State.Configuration.Organisations;
  for (std::size_t Index = 0; Index < Organisations.size(); ++Index) {
    State.OrganisationsByName[Organisations[Index].Name] = Index;
    for (const std::string &Digest : Organisations[Index].KeyDigests) {
      State.OrganisationsByKey[Digest] = Index;
    }
  }
}

CellChange apply(CellState &State, const SubmitJobCommand &Command) {
  CellChange Change;
  const JobQueue *Queue =
      findQueueById(State.Configuration, Command.Host, Command.Prefix);
  if (Queue == nullptr) {
    Change.Outcome = CommandOutcome::NoQueue;
    return Change;
  }
  const bool HasOwner = requiresKey(State.Configuration, *Queue);
  const Organisation *Owner = findOrganisationByKey(State, Command.Key);
  Change.Job = findJob(State, Command.Name);
  if (Change.Job.isSet()) {
    const Job &Existing = State.Jobs[Change.Job];
    // A key that was removed after the call was checked does not deny a job
    // that an earlier transmission of the call has submitted.
    const bool IsInQueue = Existing.Queue.Host == Command.Host &&
                           Existing.Queue.Prefix == Command.Prefix &&
                           isVisibleTo(Existing, HasOwner ? Owner : nullptr);
    Change.Outcome = IsInQueue ? CommandOutcome::Done : CommandOutcome::NoJob;
    return Change;
  }
  if (HasOwner && Owner == nullptr) {
    Change.Outcome = CommandOutcome::InvalidKey;
    return Change;
  }
  if (HasOwner && findGangOverCap(Command.Spec, Owner->Cap)) {
    Change.Outcome = CommandOutcome::OverCap;
    return Change;
  }
  Job NewJob;
  NewJob.Name = Command.Name;
  NewJob.Spec = Command.Spec;
  NewJob.Queue = *Queue;
  NewJob.AcceptedAt = Command.At;
  if (HasOwner) {
    NewJob.Organisation = Owner->Name;
    NewJob.IsExcess = !takeOwedJob(State, *Owner, Command.At);
  }
  State.JobBytes += estimateBytes(NewJob);
  if (NewJob.Spec.RepeatCount == 0) {
    createRun(NewJob);
  }
  Change.Job = State.Jobs.insert(std::move(NewJob));
  State.JobNames[Command.Name] = Change.Job;
  State.UnfinishedJobs.insert(Change.Job);
  return Change;
}

CellChange apply(CellState &State, const CancelJobCommand &Command) {
  CellChange Change;
  Change.Job = findJob(State, Command.Name);
  if (!Change.Job.isSet()) {
    Change.Outcome = CommandOutcome::NoJob;
  } else if (!isTerminal(State.Jobs[Change.Job].Phase)) {
    endJob(State, Change.Job, JobPhase::Cancelled, Command.At, Change);
  }
  return Change;
}

CellChange apply(CellState &State, const ConfigureCommand &Command) {
  CellChange Change;
  if (Command.Configuration.Version <= State.Configuration.Version) {
    Change.Outcome = CommandOutcome::Overtaken;
    return Change;
  }
  State.Configuration = Command.Configuration;
  indexOrganisations(State);
  pruneRates(State);
  for (const JobId Id : State.Jobs.ids()) {
    Job &JobRow = State.Jobs[Id];
    const JobQueue *Queue = findQueueById(
        State.Configuration, JobRow.Queue.Host, JobRow.Queue.Prefix);
    if (Queue != nullptr) {
      JobRow.Queue = *Queue;
    }
  }
  return Change;
}

bool canAssign(const CellState &State, const TaskAssignment &Assigned) {
  const Job *Owner = State.Jobs.find(Assigned.Key.Job);
  const WorkerInstance *Worker = State.Workers.find(Assigned.Worker);
  const JobTask *Task = findTask(State, Assigned.Key);
  if (Owner == nullptr || Worker == nullptr || Task == nullptr ||
      Worker->IsUnannounced || isTerminal(Owner->Phase) ||
      Task->State != JobTaskState::Waiting ||
      Assigned.Attempt <= Task->Attempt) {
    return false;
  }
  const StepSpec &Step = Owner->Spec.Steps[Assigned.Key.Step];
  return isStepReady(*Owner, *findRun(*Owner, Assigned.Key.Run),
                     Assigned.Key.Step) &&
         Worker->Report.Pool == Owner->Queue.Pool &&
         fitsIn(requiredResources(Step), availableResources(*Worker)) &&
         isUnderCap(State, *Owner, Assigned.Key);
}

CellChange apply(CellState &State, const AssignTasksCommand &Command) {
  CellChange Change;
  for (const TaskAssignment &Assigned : Command.Assignments) {
    if (!canAssign(State, Assigned)) {
      continue;
    }
    JobTask &Task = *taskAt(State, Assigned.Key);
    Task.State = JobTaskState::Assigned;
    Task.Attempt = Assigned.Attempt;
    Task.Worker = Assigned.Worker;
    Task.IsTransferred = false;
    Task.EndIfUnlisted = EndKind::Lost;
    stepAt(State, Assigned.Key).Assigned += 1;
    addLoad(State, State.Jobs[Assigned.Key.Job], specAt(State, Assigned.Key));
    Job &Owner = State.Jobs[Assigned.Key.Job];
    Owner.AssignedTasks += 1;
    Owner.IsUnstarted = Owner.IsUnstarted || Owner.Phase == JobPhase::Queued;
    Owner.Phase = JobPhase::Running;
    WorkerInstance &Worker = State.Workers[Assigned.Worker];
    Worker.Used += requiredResources(specAt(State, Assigned.Key));
    Worker.Tasks += 1;
    Change.Started.push_back(Assigned);
  }
  return Change;
}

CellChange apply(CellState &State, const RecordTaskEndsCommand &Command) {
  CellChange Change;
  for (const TaskEnd &End : Command.Ends) {
    recordTaskEnd(State, End, Command.At, Change);
  }
  if (WorkerInstance *Worker = State.Workers.find(Command.Worker)) {
    Worker->LastAckedEnd = std::max(Worker->LastAckedEnd, Command.LastEnd);
  }
  return Change;
}

CellChange apply(CellState &State, const CreateRunCommand &Command) {
  Job *Owner = State.Jobs.find(Command.Job);
  if (Owner != nullptr && !isTerminal(Owner->Phase) &&
      Owner->NextRun == Command.Run && Command.Run < runCount(Owner->Spec)) {
    createRun(*Owner);
  }
  return {};
}

CellChange apply(CellState &State, const PurgeJobsCommand &Command) {
  for (const JobId Id : Command.Jobs) {
    const Job *JobRow = State.Jobs.find(Id);
    if (JobRow != nullptr && isTerminal(JobRow->Phase) &&
        JobRow->AssignedTasks == 0) {
      State.JobNames.erase(JobRow->Name);
      State.JobBytes -= estimateBytes(*JobRow);
      State.Jobs.erase(Id);
    }
  }
  return {};
}

CellChange apply(CellState &State, const StripJobsCommand &Command) {
  for (const JobId Id : Command.Jobs) {
    Job *JobRow = State.Jobs.find(Id);
    if (JobRow != nullptr && canStrip(State, *JobRow)) {
      State.JobBytes -= estimateBytes(*JobRow);
      JobRow->Spec.Payload = {};
      JobRow->Spec.Steps = {};
      JobRow->Runs = {};
      State.JobBytes += estimateBytes(*JobRow);
    }
  }
  return {};
}

} // namespace

CellChange applyCommand(CellState &State, const CellCommand &Command) {
  return std::visit(
      [&State](const auto &Alternative) { return apply(State, Alternative); },
      Command);
}

void rebuildIndex(CellState &State) {
  rebuildLoads(State);
  State.JobNames.clear();
  State.WorkerNames.clear();
  State.UnfinishedJobs.clear();
  State.JobBytes = 0;
  indexOrganisations(State);
  for (const JobId Id : State.Jobs.ids()) {
    State.JobBytes += estimateBytes(State.Jobs[Id]);
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
  const auto It = State.JobNames.find(Name);
  return It == State.JobNames.end() ? JobId{} : It->second;
}

WorkerInstanceId findWorker(const CellState &State, std::string_view Name) {
  const auto It = State.WorkerNames.find(Name);
  return It == State.WorkerNames.end() ? WorkerInstanceId{} : It->second;
}

std::vector<WorkerInstanceId> findEndedInstances(const CellState &State,
                                                 const WorkerReport &Report) {
  std::vector<WorkerInstanceId> Ended;
  for (const WorkerInstanceId Id : State.Workers.ids()) {
    const WorkerReport &Other = State.Workers[Id].Report;
    if (Other.StartTimeMs < Report.StartTimeMs &&
        (Other.Name == Report.Name || Other.Address == Report.Address)) {
      Ended.push_back(Id);
    }
  }
  return Ended;
}

bool isPoolInUse(const CellState &State, std::string_view Pool) {
  const CellConfiguration &Configuration = State.Configuration;
  return Configuration.Version == 0 ||
         std::any_of(
             Configuration.Queues.begin(), Configuration.Queues.end(),
             [Pool](const JobQueue &Queue) { return Queue.Pool == Pool; }) ||
         std::any_of(State.UnfinishedJobs.begin(), State.UnfinishedJobs.end(),
                     [&State, Pool](JobId Id) {
                       return State.Jobs[Id].Queue.Pool == Pool;
                     });
}

const Organisation *findOrganisationByKey(const CellState &State,
                                          const std::string &KeyDigest) {
  const auto It = State.OrganisationsByKey.find(KeyDigest);
  return It == State.OrganisationsByKey.end()
             ? nullptr
             : &State.Configuration.Organisations[It->second];
}

bool requiresKey(const CellConfiguration &Configuration,
                 const JobQueue &Queue) noexcept {
  return Configuration.RequiresKeys && !Queue.IsPublic;
}

bool isVisibleTo(const Job &JobRow, const Organisation *Caller) noexcept {
  return Caller == nullptr || JobRow.Organisation.empty() ||
         JobRow.Organisation == Caller->Name;
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

const StepSpec *findStepSpec(const CellState &State,
                             const TaskKey &Key) noexcept {
  const Job *Owner = State.Jobs.find(Key.Job);
  return Owner == nullptr || Key.Step >= Owner->Spec.Steps.size()
             ? nullptr
             : &Owner->Spec.Steps[Key.Step];
}

bool canStrip(const CellState &State, const Job &JobRow) noexcept {
  // A valid job has a step, so one without steps is stripped already.
  if (!isTerminal(JobRow.Phase) || JobRow.AssignedTasks != 0 ||
      JobRow.Spec.Steps.empty()) {
    return false;
  }
  for (const JobRun &Run : JobRow.Runs) {
    for (const JobStep &Step : Run.Steps) {
      for (const JobTask &Task : Step.Tasks) {
        if (Task.State != JobTaskState::Done &&
            State.Workers.contains(Task.LostOn)) {
          return false;
        }
      }
    }
  }
  return true;
}

Resources requiredResources(const StepSpec &Step) noexcept {
  Resources Required = Step.Need;
  if (Step.IsBestEffortCpu) {
    Required.MilliCpus = 0;
  }
  return Required;
}

Resources availableResources(const WorkerInstance &Worker) noexcept {
  return Worker.Report.Capacity - Worker.Used;
}

} // namespace mulberryramp
