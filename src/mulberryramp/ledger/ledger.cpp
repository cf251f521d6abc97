#include "mulberryramp/ledger/ledger.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

namespace internal {

/// After a recovery the attempt counter restarts at the time in milliseconds,
/// shifted by this many bits, so that no attempt number of a lost entry is used
/// again. This allows 64 attempts in each millisecond before the recovery.
constexpr int AttemptsPerMsShift = 6;
/// An attempt number is a counter followed by the low bits of the leader's
/// term. An assignment that one leader could not commit must not share its
/// number with one of the next leader, because a recovery may bring the entry
/// back.
constexpr int TermBits = 16;
constexpr std::uint64_t TermMask = (1U << TermBits) - 1;
constexpr const char *StateLostReason =
    "what became of it was lost with the memory of the data centre";

void releaseAssignment(Ledger &State, TaskId Id) {
  Task &Row = State.Tasks[Id];
  const RequestSpec &Spec = State.Requests[Row.Owner].Spec;
  if (Worker *AssignedRow = State.Workers.find(Row.AssignedWorker)) {
    AssignedRow->AssignedResources -= Spec.Need;
    std::erase(AssignedRow->Tasks, Id);
  }
  State.AssignedByTeam[Spec.Team] -= Spec.Need;
  State.ByAttempt.erase(Row.Attempt);
  Row.AssignedWorker = {};
}

void finishTask(Ledger &State, TaskId Id, TaskState To, std::string Reason) {
  Task &Row = State.Tasks[Id];
  Row.State = To;
  Row.Reason = std::move(Reason);
  if (To == TaskState::Unknown) {
    State.ByAttempt[Row.Attempt] = Id;
  }
}

/// Ends a queued task: as not run only if no attempt of it may have begun.
void finishQueuedTask(Ledger &State, TaskId Id, const std::string &Reason) {
  const bool Ran = State.Tasks[Id].MayHaveRun;
  finishTask(State, Id, Ran ? TaskState::Failed : TaskState::NotRun, Reason);
}

struct StateCounts {
  std::size_t Open = 0;
  std::size_t Assigned = 0;
  std::size_t Done = 0;
  std::size_t Failed = 0;
  std::size_t NotRun = 0;
  std::size_t Unknown = 0;
  std::string Reason;
};

StateCounts countStates(const Ledger &State, const Request &Row) {
  StateCounts Counts;
  for (const TaskId Id : Row.Tasks) {
    const Task &TaskRow = State.Tasks[Id];
    Counts.Open += isTerminal(TaskRow.State) ? 0 : 1;
    Counts.Assigned += TaskRow.State == TaskState::Assigned ? 1 : 0;
    Counts.Done += TaskRow.State == TaskState::Done ? 1 : 0;
    Counts.Failed += TaskRow.State == TaskState::Failed ? 1 : 0;
    Counts.NotRun += TaskRow.State == TaskState::NotRun ? 1 : 0;
    Counts.Unknown += TaskRow.State == TaskState::Unknown ? 1 : 0;
    if (Counts.Reason.empty()) {
      Counts.Reason = TaskRow.Reason;
    }
  }
  return Counts;
}

Outcome outcomeOf(const StateCounts &Counts) {
  if (Counts.Unknown != 0) {
    return Outcome::Unknown;
  }
  if (Counts.Failed != 0) {
    return Outcome::Failed;
  }
  if (Counts.NotRun == 0) {
    return Outcome::Done;
  }
  return Counts.Done == 0 ? Outcome::NotRun : Outcome::Failed;
}

void finishQueuedTasks(Ledger &State, const Request &Row,
                       const std::string &Reason) {
  for (const TaskId Id : Row.Tasks) {
    if (State.Tasks[Id].State == TaskState::Queued) {
      finishQueuedTask(State, Id, Reason);
    }
  }
}

void restartGang(Ledger &State, Request &Row) {
  Row.IsRestarting = false;
  for (const TaskId Id : Row.Tasks) {
    Task &TaskRow = State.Tasks[Id];
    TaskRow.State = TaskState::Queued;
    TaskRow.Answer.clear();
  }
}

void updateQueuedIndex(Ledger &State, RequestId Id) {
  const Request &Row = State.Requests[Id];
  const bool HasQueuedTask = std::any_of(
      Row.Tasks.begin(), Row.Tasks.end(), [&State](TaskId TaskRowId) {
        return State.Tasks[TaskRowId].State == TaskState::Queued;
      });
  if (HasQueuedTask) {
    State.QueuedRequests.insert(Id);
  } else {
    State.QueuedRequests.erase(Id);
  }
}

void updateOutcome(Ledger &State, RequestId Id, WallTime At) {
  Request &Row = State.Requests[Id];
  if (Row.IsFailing) {
    finishQueuedTasks(State, Row, "another task of the gang failed");
  }
  const StateCounts Counts = countStates(State, Row);
  if (Row.IsRestarting && !Row.IsFailing && !Row.IsCancelled &&
      Counts.Assigned == 0) {
    restartGang(State, Row);
    return;
  }
  if (Counts.Open != 0) {
    return;
  }
  const Outcome Result = outcomeOf(Counts);
  if (Result == Row.Result) {
    return;
  }
  if (Row.Result != Outcome::Pending) {
    State.ByFinishedAt.erase({Row.FinishedAt, Id});
  }
  Row.Result = Result;
  Row.Reason = Counts.Reason;
  Row.FinishedAt = At;
  State.ByFinishedAt.insert({At, Id});
}

/// Updates the outcome and the index of a request after its tasks changed.
void updateRequest(Ledger &State, RequestId Id, WallTime At) {
  updateOutcome(State, Id, At);
  updateQueuedIndex(State, Id);
}

void failGangTask(Ledger &State, TaskId Id, const std::string &Reason) {
  Task &Row = State.Tasks[Id];
  Request &Owner = State.Requests[Row.Owner];
  const bool ShouldRetry = Owner.Spec.IsIdempotent && !Owner.IsCancelled &&
                           Row.Attempts < Owner.Spec.MaxAttempts;
  if (ShouldRetry && !Owner.IsFailing) {
    Row.State = TaskState::Queued;
    Owner.IsRestarting = true;
    return;
  }
  Owner.IsFailing = true;
  finishTask(State, Id, TaskState::Failed, Reason);
}

Millis backoffOf(const Request &Owner, const Task &Row) {
  constexpr std::uint32_t MaxDoublings = 6;
  const std::uint32_t Doublings =
      std::min(Row.Attempts > 0 ? Row.Attempts - 1 : 0, MaxDoublings);
  return Owner.Spec.RetryBackoff * (1U << Doublings);
}

void failTask(Ledger &State, TaskId Id, const std::string &Reason,
              WallTime At) {
  Task &Row = State.Tasks[Id];
  const Request &Owner = State.Requests[Row.Owner];
  if (Owner.Spec.Kind == WorkKind::Gang) {
    failGangTask(State, Id, Reason);
    return;
  }
  const bool IsService = Owner.Spec.Kind == WorkKind::Service;
  const bool ShouldRetry = Owner.Spec.IsIdempotent && !Owner.IsCancelled &&
                           (IsService || Row.Attempts < Owner.Spec.MaxAttempts);
  if (!ShouldRetry) {
    finishTask(State, Id, TaskState::Failed, Reason);
    return;
  }
  Row.State = TaskState::Queued;
  Row.NotBefore = At + backoffOf(Owner, Row);
  Row.Reason = Reason;
}

void requeueRefusedTask(Ledger &State, TaskId Id, const std::string &Reason,
                        WallTime At) {
  Task &Row = State.Tasks[Id];
  Request &Owner = State.Requests[Row.Owner];
  Row.Attempts -= 1;
  Row.Refusals += 1;
  if (Owner.IsIndeterminate) {
    finishTask(State, Id, TaskState::Unknown, StateLostReason);
    return;
  }
  Row.State = TaskState::Queued;
  Row.NotBefore = At + Owner.Spec.RetryBackoff;
  if (Owner.IsCancelled || Row.Refusals >= MaxRefusals) {
    finishQueuedTask(State, Id, Owner.IsCancelled ? "cancelled" : Reason);
    Owner.IsFailing = Owner.Spec.Kind == WorkKind::Gang && !Owner.IsCancelled;
    return;
  }
  if (Owner.Spec.Kind == WorkKind::Gang) {
    Owner.IsRestarting = true;
  }
}

/// Requeues a stopped task, to restart from its checkpoint.
void requeueStoppedTask(Ledger &State, TaskId Id, const std::string &Reason,
                        const std::string &Checkpoint) {
  Task &Row = State.Tasks[Id];
  Request &Owner = State.Requests[Row.Owner];
  Row.MayHaveRun = true;
  if (Owner.IsCancelled || Owner.IsFailing || Owner.IsIndeterminate ||
      !Owner.Spec.IsIdempotent) {
    finishTask(State, Id, TaskState::Failed,
               Owner.IsCancelled ? "cancelled while running" : Reason);
    return;
  }
  Row.State = TaskState::Queued;
  Row.Answer = Checkpoint;
  Row.Attempts -= 1;
  if (Owner.Spec.Kind == WorkKind::Gang) {
    Owner.IsRestarting = true;
  }
}

void requeueLostTask(Ledger &State, TaskId Id, const std::string &Reason) {
  Task &Row = State.Tasks[Id];
  Request &Owner = State.Requests[Row.Owner];
  Row.MayHaveRun = true;
  if (Owner.IsCancelled || Owner.IsFailing || Owner.IsIndeterminate ||
      !Owner.Spec.IsIdempotent) {
    finishTask(State, Id, TaskState::Unknown, Reason);
    return;
  }
  Row.State = TaskState::Queued;
  Row.Attempts -= 1;
  if (Owner.Spec.Kind == WorkKind::Gang) {
    Owner.IsRestarting = true;
  }
}

/// Records the end of an attempt whose outcome was unknown, as given by a late
/// report.
void resolveUnknown(Ledger &State, TaskId Id, const AttemptResult &Result) {
  if (Result.End == AttemptEnd::Lost) {
    return;
  }
  Task &Row = State.Tasks[Id];
  State.ByAttempt.erase(Row.Attempt);
  Row.Answer = Result.Answer;
  if (Result.End == AttemptEnd::Refused && !Row.MayHaveRunBefore) {
    finishTask(State, Id, TaskState::NotRun, Result.Reason);
  } else {
    const bool IsDone = Result.End == AttemptEnd::Done;
    finishTask(State, Id, IsDone ? TaskState::Done : TaskState::Failed,
               Result.Reason);
  }
}

void endAssignedAttempt(Ledger &State, TaskId Id, const AttemptResult &Result,
                        WallTime At) {
  releaseAssignment(State, Id);
  Task &Row = State.Tasks[Id];
  switch (Result.End) {
  case AttemptEnd::Done:
    Row.MayHaveRun = true;
    Row.Answer = Result.Answer;
    finishTask(State, Id, TaskState::Done, "");
    break;
  case AttemptEnd::Failed:
    Row.MayHaveRun = true;
    failTask(State, Id, Result.Reason, At);
    break;
  case AttemptEnd::Refused:
    requeueRefusedTask(State, Id, Result.Reason, At);
    break;
  case AttemptEnd::Stopped:
    requeueStoppedTask(State, Id, Result.Reason, Result.Answer);
    break;
  case AttemptEnd::Lost:
    requeueLostTask(State, Id, Result.Reason);
    break;
  }
}

void applyAttemptResult(Ledger &State, const AttemptResult &Result, WallTime At,
                        ApplyResult &Applied) {
  const auto It = State.ByAttempt.find(Result.Attempt);
  if (It == State.ByAttempt.end()) {
    return;
  }
  const TaskId Id = It->second;
  const RequestId Owner = State.Tasks[Id].Owner;
  if (State.Tasks[Id].State == TaskState::Assigned) {
    endAssignedAttempt(State, Id, Result, At);
  } else {
    resolveUnknown(State, Id, Result);
  }
  updateRequest(State, Owner, At);
  Applied.Changed.push_back(Owner);
}

/// Records a refusal, kept until no delayed copy of the request can arrive. Its
/// finish time is set back, so that it is dropped after `RefusalRetention`.
ApplyResult recordRefusal(Ledger &State, const AcceptCommand &Command) {
  Request Row;
  Row.Spec = Command.Spec;
  Row.Spec.Payload.clear();
  Row.Digest = Command.Digest;
  Row.AcceptedAt = Command.At;
  Row.FinishedAt = Command.At - AnswerRetention + RefusalRetention;
  Row.Result = Outcome::NotRun;
  Row.Reason = Command.Refusal;
  const WallTime FinishedAt = Row.FinishedAt;
  const RequestId Id = State.Requests.insert(std::move(Row));
  State.ByIdentity[{Command.Spec.Customer, Command.Spec.Key}] = Id;
  State.ByFinishedAt.insert({FinishedAt, Id});
  ApplyResult Result;
  Result.Accept = AcceptVerdict::Refused;
  Result.Accepted = Id;
  return Result;
}

bool isRerunnable(const Request &Row) {
  return Row.IsIndeterminate && Row.Result == Outcome::Unknown &&
         Row.Spec.IsIdempotent && !Row.IsCancelled;
}

/// Queues an idempotent request with an indeterminate outcome again, after a
/// resend by the caller.
void rerun(Ledger &State, RequestId Id, const RequestSpec &Spec) {
  Request &Row = State.Requests[Id];
  State.ByFinishedAt.erase({Row.FinishedAt, Id});
  Row.Spec = Spec;
  Row.Result = Outcome::Pending;
  Row.Reason.clear();
  Row.IsIndeterminate = false;
  Row.IsFailing = false;
  Row.IsRestarting = false;
  for (const TaskId TaskRowId : Row.Tasks) {
    Task &TaskRow = State.Tasks[TaskRowId];
    State.ByAttempt.erase(TaskRow.Attempt);
    if (TaskRow.State == TaskState::Unknown || Spec.Kind == WorkKind::Gang) {
      TaskRow.State = TaskState::Queued;
      TaskRow.MayHaveRun = true;
      TaskRow.Answer.clear();
      TaskRow.Reason.clear();
    }
  }
  updateQueuedIndex(State, Id);
}

ApplyResult run(Ledger &State, const AcceptCommand &Command) {
  ApplyResult Result;
  const RequestSpec &Spec = Command.Spec;
  const RequestId ExistingId = findRequest(State, Spec.Customer, Spec.Key);
  if (ExistingId.isSet()) {
    const bool IsSameRequest =
        State.Requests[ExistingId].Digest == Command.Digest;
    if (IsSameRequest && isRerunnable(State.Requests[ExistingId]) &&
        Command.Refusal.empty()) {
      rerun(State, ExistingId, Spec);
      Result.Changed.push_back(ExistingId);
    }
    Result.Accept =
        IsSameRequest ? AcceptVerdict::Resend : AcceptVerdict::Conflict;
    Result.Accepted = ExistingId;
    return Result;
  }
  if (isIndeterminate(State, Spec, Command.At)) {
    Result.Accept = AcceptVerdict::Indeterminate;
    return Result;
  }
  if (!Command.Refusal.empty()) {
    return recordRefusal(State, Command);
  }
  Request Row;
  Row.Spec = Spec;
  Row.Digest = Command.Digest;
  Row.AcceptedAt = Command.At;
  const RequestId Id = State.Requests.insert(std::move(Row));
  for (std::uint32_t Ordinal = 0; Ordinal < Spec.TaskCount; ++Ordinal) {
    Task TaskRow;
    TaskRow.Owner = Id;
    TaskRow.Ordinal = Ordinal;
    const TaskId NewTaskId = State.Tasks.insert(std::move(TaskRow));
    State.Requests[Id].Tasks.push_back(NewTaskId);
  }
  State.ByIdentity[{Spec.Customer, Spec.Key}] = Id;
  State.QueuedRequests.insert(Id);
  Result.Accept = AcceptVerdict::Accepted;
  Result.Accepted = Id;
  Result.Changed.push_back(Id);
  return Result;
}

ApplyResult run(Ledger &State, const CancelCommand &Command) {
  ApplyResult Result;
  const RequestId Id = findRequest(State, Command.Customer, Command.Key);
  Result.IsFound = Id.isSet();
  if (!Id.isSet() || State.Requests[Id].Result != Outcome::Pending) {
    return Result;
  }
  State.Requests[Id].IsCancelled = true;
  finishQueuedTasks(State, State.Requests[Id], "cancelled");
  updateRequest(State, Id, Command.At);
  Result.Changed.push_back(Id);
  return Result;
}

ApplyResult run(Ledger &State, const AnnounceCommand &Command) {
  ApplyResult Result;
  if (findWorker(State, Command.Name).isSet()) {
    return Result;
  }
  Worker Row;
  Row.Name = Command.Name;
  Row.Incarnation = Command.Incarnation;
  Row.Rack = Command.Rack;
  Row.Capacity = Command.Capacity;
  State.ByWorkerName[Command.Name] = State.Workers.insert(std::move(Row));
  Result.IsFound = true;
  return Result;
}

Worker *findIncarnation(Ledger &State, const std::string &Name,
                        std::uint64_t Incarnation) {
  Worker *Row = State.Workers.find(findWorker(State, Name));
  return Row != nullptr && Row->Incarnation == Incarnation ? Row : nullptr;
}

ApplyResult run(Ledger &State, const SetWorkerDrainingCommand &Command) {
  ApplyResult Result;
  if (Worker *Row = findIncarnation(State, Command.Name, Command.Incarnation)) {
    Row->IsDraining = Command.IsDraining;
    Result.IsFound = true;
  }
  return Result;
}

ApplyResult run(Ledger &State, const RemoveWorkerCommand &Command) {
  ApplyResult Result;
  const Worker *Row = findIncarnation(State, Command.Name, Command.Incarnation);
  if (Row == nullptr || (Command.OnlyIfIdle && !Row->Tasks.empty())) {
    return Result;
  }
  Result.IsFound = true;
  const std::vector<TaskId> LostTasks = Row->Tasks;
  for (const TaskId Id : LostTasks) {
    AttemptResult LostAttempt;
    LostAttempt.Attempt = State.Tasks[Id].Attempt;
    LostAttempt.Reason = "the lease of worker " + Command.Name + " ended";
    applyAttemptResult(State, LostAttempt, Command.At, Result);
  }
  State.Workers.erase(findWorker(State, Command.Name));
  State.ByWorkerName.erase(Command.Name);
  return Result;
}

bool isAssignable(const Ledger &State, const Placement &Planned) {
  const Request *Owner = State.Requests.find(Planned.Owner);
  if (Owner == nullptr || needsStop(*Owner)) {
    return false;
  }
  const bool IsComplete = Owner->Spec.Kind != WorkKind::Gang ||
                          Planned.Tasks.size() == Owner->Tasks.size();
  std::map<WorkerId, Resources> FreeByWorker;
  for (const Assignment &Assigned : Planned.Tasks) {
    const Task *Row = State.Tasks.find(Assigned.AssignedTask);
    const Worker *Target = State.Workers.find(Assigned.TargetWorker);
    if (Row == nullptr || Target == nullptr || Row->Owner != Planned.Owner ||
        Row->State != TaskState::Queued || Target->IsDraining) {
      return false;
    }
    Resources &Remaining =
        FreeByWorker.try_emplace(Assigned.TargetWorker, freeResources(*Target))
            .first->second;
    if (!fitsIn(Owner->Spec.Need, Remaining)) {
      return false;
    }
    Remaining -= Owner->Spec.Need;
  }
  return IsComplete;
}

void assignTask(Ledger &State, const Assignment &Assigned,
                const AssignCommand &Command) {
  Task &Row = State.Tasks[Assigned.AssignedTask];
  const RequestSpec &Spec = State.Requests[Row.Owner].Spec;
  Worker &Target = State.Workers[Assigned.TargetWorker];
  Target.AssignedResources += Spec.Need;
  Target.Tasks.push_back(Assigned.AssignedTask);
  State.AssignedByTeam[Spec.Team] += Spec.Need;
  Row.State = TaskState::Assigned;
  Row.MayHaveRunBefore = Row.MayHaveRun;
  Row.Attempt =
      (State.NextAttemptCount << TermBits) | (Command.InTerm & TermMask);
  Row.Attempts += 1;
  Row.AssignedWorker = Assigned.TargetWorker;
  Row.AssignedAt = Command.At;
  State.ByAttempt[Row.Attempt] = Assigned.AssignedTask;
  State.NextAttemptCount += 1;
}

ApplyResult run(Ledger &State, const AssignCommand &Command) {
  ApplyResult Result;
  for (const Placement &Planned : Command.Placements) {
    if (!isAssignable(State, Planned)) {
      continue;
    }
    for (const Assignment &Assigned : Planned.Tasks) {
      assignTask(State, Assigned, Command);
    }
    updateQueuedIndex(State, Planned.Owner);
    Result.Changed.push_back(Planned.Owner);
  }
  return Result;
}

ApplyResult run(Ledger &State, const EndAttemptsCommand &Command) {
  ApplyResult Result;
  for (const AttemptResult &Ended : Command.Results) {
    applyAttemptResult(State, Ended, Command.At, Result);
  }
  return Result;
}

void dropRequest(Ledger &State, RequestId Id) {
  const Request &Row = State.Requests[Id];
  for (const TaskId TaskRowId : Row.Tasks) {
    State.ByAttempt.erase(State.Tasks[TaskRowId].Attempt);
    State.Tasks.erase(TaskRowId);
  }
  State.ByIdentity.erase({Row.Spec.Customer, Row.Spec.Key});
  State.ByFinishedAt.erase({Row.FinishedAt, Id});
  State.QueuedRequests.erase(Id);
  State.Requests.erase(Id);
}

bool isOverdue(const Ledger &State, const Request &Row, WallTime At) {
  if (Row.Result != Outcome::Pending || Row.Spec.StartBy == WallTime{} ||
      Row.Spec.StartBy > At) {
    return false;
  }
  const auto MayHaveStarted = [&State](TaskId Id) {
    return State.Tasks[Id].MayHaveRun ||
           State.Tasks[Id].State == TaskState::Assigned;
  };
  return Row.Spec.Kind != WorkKind::Gang ||
         std::none_of(Row.Tasks.begin(), Row.Tasks.end(), MayHaveStarted);
}

bool finishOverdueTasks(Ledger &State, const Request &Row) {
  bool Changed = false;
  for (const TaskId Id : Row.Tasks) {
    const Task &TaskRow = State.Tasks[Id];
    if (TaskRow.State == TaskState::Queued && !TaskRow.MayHaveRun) {
      finishQueuedTask(State, Id, "not started by its latest start");
      Changed = true;
    }
  }
  return Changed;
}

ApplyResult run(Ledger &State, const ExpireCommand &Command) {
  ApplyResult Result;
  const std::vector<RequestId> QueuedIds{State.QueuedRequests.begin(),
                                         State.QueuedRequests.end()};
  for (const RequestId Id : QueuedIds) {
    const Request &Row = State.Requests[Id];
    if (isOverdue(State, Row, Command.At) && finishOverdueTasks(State, Row)) {
      updateRequest(State, Id, Command.At);
      Result.Changed.push_back(Id);
    }
  }
  while (!State.ByFinishedAt.empty()) {
    const auto [FinishedAt, Id] = *State.ByFinishedAt.begin();
    if (FinishedAt + AnswerRetention + MaxClockSkew >= Command.At) {
      break;
    }
    dropRequest(State, Id);
  }
  return Result;
}

/// Lost entries may have started a queued task or ended it as not run. After a
/// recovery it must therefore neither run nor be reported as not run.
ApplyResult run(Ledger &State, const DataLossCommand &Command) {
  ApplyResult Result;
  State.DataLossUntil = std::max(State.DataLossUntil, Command.LossEnd);
  State.IsDataLossPending = false;
  const auto SinceEpoch =
      static_cast<std::uint64_t>(Command.LossEnd.time_since_epoch().count());
  State.NextAttemptCount =
      std::max(State.NextAttemptCount, SinceEpoch << AttemptsPerMsShift);
  State.FirstAttemptCount = State.NextAttemptCount;
  for (const RequestId Id : State.Requests.ids()) {
    Request &Row = State.Requests[Id];
    if (Row.Result != Outcome::Pending) {
      continue;
    }
    Row.IsIndeterminate = true;
    Row.IsRestarting = false;
    Row.IsFailing = Row.IsFailing || Row.Spec.Kind == WorkKind::Gang;
    for (const TaskId TaskRowId : Row.Tasks) {
      if (State.Tasks[TaskRowId].State == TaskState::Queued) {
        finishTask(State, TaskRowId, TaskState::Unknown, StateLostReason);
      }
    }
    updateRequest(State, Id, Command.LossEnd);
    Result.Changed.push_back(Id);
  }
  return Result;
}

ApplyResult run(Ledger &State, const RulesCommand &Command) {
  if (Command.Number > State.RulesNumber) {
    State.RulesNumber = Command.Number;
    State.RulesText = Command.Text;
  }
  return {};
}

} // namespace internal

ApplyResult apply(Ledger &State, const LedgerCommand &Command) {
  return std::visit(
      [&State](const auto &Alternative) {
        return internal::run(State, Alternative);
      },
      Command);
}

void recordRecovery(Ledger &State) { State.IsDataLossPending = true; }

bool isBeforeRecovery(const Ledger &State, AttemptId Attempt) noexcept {
  return State.IsDataLossPending ||
         Attempt >> internal::TermBits < State.FirstAttemptCount;
}

RequestId findRequest(const Ledger &State, const std::string &Customer,
                      const std::string &Key) {
  const auto It = State.ByIdentity.find({Customer, Key});
  return It == State.ByIdentity.end() ? RequestId{} : It->second;
}

WorkerId findWorker(const Ledger &State, const std::string &Name) {
  const auto It = State.ByWorkerName.find(Name);
  return It == State.ByWorkerName.end() ? WorkerId{} : It->second;
}

bool isIndeterminate(const Ledger &State, const RequestSpec &Spec,
                     WallTime At) {
  if (Spec.IsIdempotent) {
    return false;
  }
  return Spec.IssuedAt <= State.DataLossUntil ||
         Spec.IssuedAt + AnswerRetention <= At;
}

std::vector<std::string> checkLedger(const Ledger &State) {
  std::vector<std::string> Violations;
  for (const Worker &Row : State.Workers.rows()) {
    Resources Sum;
    for (const TaskId Id : Row.Tasks) {
      Sum += State.Requests[State.Tasks[Id].Owner].Spec.Need;
    }
    if (Sum != Row.AssignedResources) {
      Violations.push_back("assigned resources of worker " + Row.Name +
                           " do not add up");
    }
    if (!fitsIn(Row.AssignedResources, Row.Capacity)) {
      Violations.push_back("worker " + Row.Name + " is overcommitted");
    }
  }
  for (const TaskId Id : State.Tasks.ids()) {
    const Task &Row = State.Tasks[Id];
    const bool IsAssigned = Row.State == TaskState::Assigned;
    if (IsAssigned != State.Workers.contains(Row.AssignedWorker)) {
      Violations.push_back(
          "the state and the assigned worker of a task disagree");
    }
  }
  return Violations;
}

} // namespace mulberryramp
