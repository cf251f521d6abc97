#include "mulberryramp/node/centre_service.hpp"

#include "mulberryramp/system/admission.hpp"
#include "mulberryramp/system/eligibility.hpp"
#include "mulberryramp/system/failures.hpp"
#include "mulberryramp/system/preemption.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

namespace internal {

constexpr Millis PlacementInterval{50};
constexpr Millis SweepInterval{250};
constexpr Millis RetryDecayInterval{1000};
constexpr std::uint64_t RetriesPerDecay = 5;
constexpr std::uint64_t RetryBudgetWindow = 2000;

constexpr const char *LeaderChanged =
    "the leader changed; ask again under the same key";

} // namespace internal

CentreService::CentreService(CentreOptions Options)
    : Options{std::move(Options)} {
  Runtime.Centre = this->Options.Centre;
  Runtime.CentreIndex = this->Options.CentreIndex;
  Runtime.CentreCount = this->Options.CentreCount;
}

void CentreService::onLeadership(const Replica &Member) {
  const bool IsLeading = Member.Role == ReplicaRole::Leader &&
                         Member.Hard.CurrentTerm == ServedTerm;
  if (IsServing && !IsLeading) {
    stopServing();
  }
}

void CentreService::onEntry(const Entry &LogEntry) {
  IsDirty = true;
  if (LogEntry.Kind == EntryKind::Recovery) {
    recordRecovery(State);
    return;
  }
  if (LogEntry.Kind != EntryKind::Command) {
    return;
  }
  const auto Command = decodeCommand(LogEntry.Data);
  if (!Command) {
    return;
  }
  const ApplyResult Result = apply(State, *Command);
  if (std::holds_alternative<RulesCommand>(*Command)) {
    parseActiveRules();
  }
  if (!IsServing) {
    return;
  }
  answerOpenCall(LogEntry.Index, *Command, Result);
  if (const auto *Announced = std::get_if<AnnounceCommand>(&*Command)) {
    Announcing.erase(Announced->Name);
  } else if (const auto *Removed =
                 std::get_if<RemoveWorkerCommand>(&*Command)) {
    Removing.erase(Removed->Name);
    Counters.LostWorkers += Result.IsFound ? 1 : 0;
  } else if (const auto *Ended = std::get_if<EndAttemptsCommand>(&*Command)) {
    for (const AttemptResult &Recorded : Ended->Results) {
      EndingAttempts.erase(Recorded.Attempt);
      AnswerPartsByAttempt.erase(Recorded.Attempt);
    }
    Counters.EndedAttempts += Ended->Results.size();
  } else if (const auto *Assigned = std::get_if<AssignCommand>(&*Command)) {
    countAttempts(*Assigned);
  }
  if (LogEntry.Index == AssignInFlight) {
    AssignInFlight = 0;
  }
  if (LogEntry.Index == ExpireInFlight) {
    ExpireInFlight = 0;
  }
}

void CentreService::onRestore(const std::string &Data) {
  State = decodeLedger(Data).value_or(Ledger{});
  parseActiveRules();
  IsDirty = true;
}

std::string CentreService::snapshotData() const { return encodeLedger(State); }

void CentreService::parseActiveRules() {
  auto Parsed = parseRules("rules", State.RulesText);
  if (Parsed) {
    ActiveRules = std::move(*Parsed);
    ActiveRules.Number = State.RulesNumber;
  }
}

/// Copies the newest rules into the log of the data centre. Its leader uses
/// only this copy, so that no leader uses older rules than a former leader.
void CentreService::replicateRules(Replica &Member, const RulesState &Newest) {
  if (Newest.Number <= std::max(State.RulesNumber, RulesInFlight)) {
    return;
  }
  if (proposeCommand(Member, RulesCommand{Newest.Number, Newest.Text})) {
    RulesInFlight = Newest.Number;
  }
}

void CentreService::countAttempts(const AssignCommand &Command) {
  for (const Placement &Applied : Command.Placements) {
    for (const Assignment &Assigned : Applied.Tasks) {
      const Task *Row = State.Tasks.find(Assigned.AssignedTask);
      if (Row == nullptr || Row->State != TaskState::Assigned) {
        continue;
      }
      Counters.Starts += 1;
      Runtime.AttemptCount += 1;
      Runtime.RetryCount += Row->Attempts > 1 ? 1 : 0;
    }
  }
  if (Runtime.AttemptCount > internal::RetryBudgetWindow) {
    Runtime.AttemptCount /= 2;
    Runtime.RetryCount /= 2;
  }
}

bool CentreService::proposeCommand(Replica &Member,
                                   const LedgerCommand &Command) {
  return propose(Member, encodeCommand(Command)).has_value();
}

/// Called only when all log entries are applied. A leader that lost and
/// regained its lease within one term must not renew the lease of a worker
/// whose removal it has proposed.
void CentreService::startServing(Replica &Member, Instant Now,
                                 WallTime WallNow) {
  IsServing = true;
  IsAnsweringAll = false;
  ServeCount += 1;
  ServedTerm = Member.Hard.CurrentTerm;
  Runtime.Workers.clear();
  Runtime.Preempted.clear();
  Runtime.ReservedWorkers.clear();
  Runtime.Failures.clear();
  Runtime.AttemptCount = 0;
  Runtime.RetryCount = 0;
  for (const WorkerId Id : State.Workers.ids()) {
    (void)runtimeOf(Id, Now);
  }
  if (State.IsDataLossPending) {
    (void)proposeCommand(Member, DataLossCommand{WallNow + MaxClockSkew});
  }
}

void CentreService::stopServing() {
  IsServing = false;
  for (const auto &[Index, Call] : OpenCalls) {
    CompletedCalls.push_back(
        {Call.Origin,
         makeResult(CallStatus::Unknown, internal::LeaderChanged)});
  }
  for (const Waiter &Waiting : Waiters) {
    CompletedCalls.push_back(
        {Waiting.Origin,
         makeResult(CallStatus::Unavailable, internal::LeaderChanged)});
  }
  for (const ParkedPoll &Poll : ParkedPolls) {
    finishPoll(Poll.PollId, PollVerdict::NotLeader, "", Instant::max());
  }
  OpenCalls.clear();
  Waiters.clear();
  ParkedPolls.clear();
  Announcing.clear();
  Removing.clear();
  EndingAttempts.clear();
  PendingResults.clear();
  AnswerPartsByAttempt.clear();
  AssignInFlight = 0;
  ExpireInFlight = 0;
  RulesInFlight = 0;
}

void CentreService::call(Replica &Member, const CallOrigin &Origin,
                         const CallRequest &Body, Instant Now,
                         WallTime WallNow) {
  const DecisionInput Input{State, ActiveRules, Now, WallNow};
  if (const auto *Submit = std::get_if<SubmitCall>(&Body)) {
    submit(Member, Origin, *Submit, Input);
  } else if (const auto *Status = std::get_if<StatusCall>(&Body)) {
    status(Origin, *Status, Now, Input);
  } else if (const auto *Cancel = std::get_if<CancelCall>(&Body)) {
    cancel(Member, Origin, *Cancel, WallNow);
  } else {
    CompletedCalls.push_back({Origin, listWorkers(Now)});
  }
}

void CentreService::submit(Replica &Member, const CallOrigin &Origin,
                           const SubmitCall &Call, const DecisionInput &Input) {
  if (State.IsDataLossPending || Call.ReceivedAt <= State.DataLossUntil) {
    CompletedCalls.push_back({Origin, makeResult(CallStatus::Unavailable,
                                                 "the data centre recovers")});
    return;
  }
  if (Call.ReceivedAt + MaxCallAge < Input.WallNow) {
    CompletedCalls.push_back({Origin, makeResult(CallStatus::Unavailable,
                                                 "the call came too late")});
    return;
  }
  AcceptCommand Command;
  Command.Spec = Call.Spec;
  Command.Digest = digestOf(Call.Spec);
  Command.At = Input.WallNow;
  Command.Refusal = admissionError(Input, Runtime, Call.Spec).value_or("");
  applyRules(Input.ActiveRules, Command.Spec, Input.WallNow);
  const auto Index = propose(Member, encodeCommand(Command));
  if (!Index) {
    CompletedCalls.push_back({Origin, makeResult(CallStatus::Unavailable,
                                                 "leadership is handed over")});
    return;
  }
  OpenCalls.emplace(*Index,
                    OpenCall{Origin, false, Call.Spec.Customer, Call.Spec.Key});
}

void CentreService::status(const CallOrigin &Origin, const StatusCall &Call,
                           Instant Now, const DecisionInput &Input) {
  const RequestId Id = findRequest(State, Call.Customer, Call.Key);
  if (!Id.isSet()) {
    CompletedCalls.push_back(
        {Origin, makeResult(CallStatus::NotFound, "no such request")});
    return;
  }
  const Request &Row = State.Requests[Id];
  if (Call.Wait > Millis{0} && !hasAwaitedOutcome(Row)) {
    Waiters.push_back({Origin, Id, Now + std::min(Call.Wait, MaxCallWait)});
    return;
  }
  CallResult Result = resultOf(Id);
  if (State.QueuedRequests.contains(Id)) {
    Result.RequestInfo->Reason = waitReason(Input, Runtime, Row);
  }
  CompletedCalls.push_back({Origin, std::move(Result)});
}

void CentreService::cancel(Replica &Member, const CallOrigin &Origin,
                           const CancelCall &Call, WallTime WallNow) {
  const auto Index = propose(
      Member, encodeCommand(CancelCommand{Call.Customer, Call.Key, WallNow}));
  if (!Index) {
    CompletedCalls.push_back({Origin, makeResult(CallStatus::Unavailable,
                                                 "leadership is handed over")});
    return;
  }
  OpenCalls.emplace(*Index, OpenCall{Origin, true, Call.Customer, Call.Key});
}

void CentreService::answerOpenCall(LogIndex Index, const LedgerCommand &Command,
                                   const ApplyResult &Result) {
  const auto It = OpenCalls.find(Index);
  if (It == OpenCalls.end()) {
    return;
  }
  const OpenCall Call = It->second;
  OpenCalls.erase(It);
  const RequestId Id = findRequest(State, Call.Customer, Call.Key);
  if (Call.IsCancel || std::holds_alternative<CancelCommand>(Command)) {
    CompletedCalls.push_back(
        {Call.Origin,
         Id.isSet() ? resultOf(Id)
                    : makeResult(CallStatus::NotFound, "no such request")});
    return;
  }
  const AcceptVerdict Verdict = Result.Accept.value_or(AcceptVerdict::Conflict);
  if (Verdict == AcceptVerdict::Indeterminate) {
    CompletedCalls.push_back(
        {Call.Origin,
         makeResult(CallStatus::Unknown,
                    "it may have run before; what is known of it was lost or "
                    "is no longer kept")});
    return;
  }
  Counters.Accepted += Verdict == AcceptVerdict::Accepted ? 1 : 0;
  Counters.Refused += Verdict == AcceptVerdict::Refused ? 1 : 0;
  CallResult Answer = resultOf(Id);
  if (Verdict == AcceptVerdict::Conflict) {
    Answer.Status = CallStatus::Conflict;
    Answer.Reason = "the key was used for another request";
    Answer.RequestInfo.reset();
  } else if (Answer.RequestInfo->Result == Outcome::NotRun &&
             Answer.RequestInfo->Tasks.empty()) {
    Answer.Status = CallStatus::Refused;
    Answer.Reason = Answer.RequestInfo->Reason;
  }
  CompletedCalls.push_back({Call.Origin, std::move(Answer)});
}

/// Tells whether a waiting call can be answered: the request is finished, or
/// all tasks of a service are reported by their workers.
bool CentreService::hasAwaitedOutcome(const Request &Row) const {
  if (Row.Result != Outcome::Pending) {
    return true;
  }
  return Row.Spec.Kind == WorkKind::Service &&
         std::all_of(Row.Tasks.begin(), Row.Tasks.end(), [this](TaskId Id) {
           const Task &TaskRow = State.Tasks[Id];
           const auto RuntimeIt = Runtime.Workers.find(TaskRow.AssignedWorker);
           return TaskRow.State == TaskState::Assigned &&
                  RuntimeIt != Runtime.Workers.end() &&
                  RuntimeIt->second.Reported.contains(TaskRow.Attempt);
         });
}

void CentreService::answerWaiters(Instant Now) {
  for (auto It = Waiters.begin(); It != Waiters.end();) {
    const Request *Row = State.Requests.find(It->Owner);
    if (Row == nullptr) {
      CompletedCalls.push_back(
          {It->Origin, makeResult(CallStatus::NotFound, "no longer kept")});
    } else if (hasAwaitedOutcome(*Row) || Now >= It->Deadline ||
               IsAnsweringAll) {
      CompletedCalls.push_back({It->Origin, resultOf(It->Owner)});
    } else {
      ++It;
      continue;
    }
    It = Waiters.erase(It);
  }
}

RequestView CentreService::viewOf(const Request &Row) const {
  RequestView View;
  View.Customer = Row.Spec.Customer;
  View.Key = Row.Spec.Key;
  View.Home = Options.Centre;
  View.ClassName = Row.Spec.ClassName;
  View.Kind = Row.Spec.Kind;
  View.Result = Row.Result;
  View.Reason = Row.Reason;
  View.IsCancelled = Row.IsCancelled;
  View.AcceptedAt = Row.AcceptedAt;
  for (const TaskId Id : Row.Tasks) {
    const Task &TaskRow = State.Tasks[Id];
    const Worker *AssignedRow = State.Workers.find(TaskRow.AssignedWorker);
    const bool IsDone = TaskRow.State == TaskState::Done;
    View.Tasks.push_back({TaskRow.Ordinal, TaskRow.State, TaskRow.Attempts,
                          AssignedRow == nullptr ? "" : AssignedRow->Name,
                          IsDone ? TaskRow.Answer : "", TaskRow.Reason});
  }
  return View;
}

CallResult CentreService::resultOf(RequestId Id) const {
  CallResult Result;
  Result.RequestInfo = viewOf(State.Requests[Id]);
  return Result;
}

CallResult CentreService::listWorkers(Instant Now) const {
  CallResult Result;
  for (const WorkerId Id : State.Workers.ids()) {
    const Worker &Row = State.Workers[Id];
    WorkerInfo Info;
    Info.Name = Row.Name;
    Info.Rack = Row.Rack;
    Info.Capacity = Row.Capacity;
    Info.AssignedResources = Row.AssignedResources;
    Info.TaskCount = static_cast<std::uint32_t>(Row.Tasks.size());
    Info.IsDraining = Row.IsDraining;
    Info.IsDrained = isDrained(ActiveRules, Row.Name, Row.Rack, Options.Centre);
    const auto RuntimeIt = Runtime.Workers.find(Id);
    if (RuntimeIt != Runtime.Workers.end()) {
      Info.IsConfirmed = RuntimeIt->second.IsConfirmed;
      Info.IsQuarantined = RuntimeIt->second.QuarantineEnd > Now;
    }
    Result.Workers.push_back(std::move(Info));
  }
  return Result;
}

void CentreService::queueAttemptResult(AttemptId Attempt, AttemptEnd End,
                                       std::string Answer, std::string Reason) {
  if (!EndingAttempts.insert(Attempt).second) {
    return;
  }
  PendingResults.push_back(
      {Attempt, End, std::move(Answer), std::move(Reason)});
}

void CentreService::proposeAttemptResults(Replica &Member,
                                          const DecisionInput &Input) {
  if (PendingResults.empty()) {
    return;
  }
  for (const AttemptResult &Result : PendingResults) {
    recordAttemptEnd(Input, Runtime, Result);
  }
  EndAttemptsCommand Command;
  Command.Results = std::exchange(PendingResults, {});
  Command.At = Input.WallNow;
  if (!proposeCommand(Member, Command)) {
    for (const AttemptResult &Result : Command.Results) {
      EndingAttempts.erase(Result.Attempt);
    }
  }
}

void CentreService::sweepLeases(Replica &Member, Instant Now,
                                WallTime WallNow) {
  for (const WorkerId Id : State.Workers.ids()) {
    const Worker &Row = State.Workers[Id];
    if (Now <= runtimeOf(Id, Now).LeaseEnd || Removing.contains(Row.Name)) {
      continue;
    }
    if (proposeCommand(Member, RemoveWorkerCommand{Row.Name, Row.Incarnation,
                                                   false, WallNow})) {
      Removing.insert(Row.Name);
    }
  }
}

void CentreService::sweepRuntime() {
  std::erase_if(Runtime.Workers, [this](const auto &WorkerEntry) {
    return !State.Workers.contains(WorkerEntry.first);
  });
  std::erase_if(Runtime.Failures, [this](const auto &RequestEntry) {
    return !State.Requests.contains(RequestEntry.first);
  });
}

void CentreService::sweepExpired(Replica &Member, Instant Now,
                                 WallTime WallNow) {
  if (ExpireInFlight != 0 || Now - LastSweepAt < internal::SweepInterval) {
    return;
  }
  LastSweepAt = Now;
  sweepRuntime();
  const bool HasOverdue = std::any_of(
      State.QueuedRequests.begin(), State.QueuedRequests.end(),
      [&](RequestId Id) {
        const Request &Row = State.Requests[Id];
        return Row.Spec.StartBy != WallTime{} && Row.Spec.StartBy <= WallNow;
      });
  const bool HasExpired =
      !State.ByFinishedAt.empty() &&
      State.ByFinishedAt.begin()->first + AnswerRetention + MaxClockSkew <
          WallNow;
  if (HasOverdue || HasExpired) {
    ExpireInFlight =
        propose(Member, encodeCommand(ExpireCommand{WallNow})).value_or(0);
  }
}

void CentreService::decayRetryCount(Instant Now) {
  if (Now - LastRetryDecayAt < internal::RetryDecayInterval) {
    return;
  }
  LastRetryDecayAt = Now;
  Runtime.RetryCount -= std::min(Runtime.RetryCount, internal::RetriesPerDecay);
  IsDirty = true;
}

void CentreService::runPlacement(Replica &Member, const DecisionInput &Input) {
  const bool IsDue =
      IsDirty || Input.Now - LastPlacementAt >= internal::PlacementInterval;
  if (AssignInFlight != 0 || State.QueuedRequests.empty() || !IsDue) {
    return;
  }
  IsDirty = false;
  LastPlacementAt = Input.Now;
  PlacementRun Run = place(Input, Runtime, Options.Placing);
  Counters.PlacementRuns += 1;
  Counters.RequestsExamined += Run.RequestsExamined;
  if (!Run.Blocked.empty() && Options.Placing.MayPreempt) {
    const std::size_t Before = Runtime.Preempted.size();
    preempt(Input, Runtime, Run.Blocked);
    Counters.Preempted +=
        Runtime.Preempted.size() - std::min(Before, Runtime.Preempted.size());
  }
  if (!Run.Placements.empty()) {
    AssignCommand Command;
    Command.Placements = std::move(Run.Placements);
    Command.At = Input.WallNow;
    Command.InTerm = Member.Hard.CurrentTerm;
    AssignInFlight = propose(Member, encodeCommand(Command)).value_or(0);
  }
}

void CentreService::tick(Replica &Member, const RulesState &Newest, Instant Now,
                         WallTime WallNow) {
  const bool CanServe = canServeAsLeader(Member, Now);
  if (IsServing && (!CanServe || ServedTerm != Member.Hard.CurrentTerm)) {
    stopServing();
  }
  if (!CanServe) {
    return;
  }
  if (!IsServing) {
    const bool HasAppliedAll = Member.LastApplied == lastIndex(Member);
    if (!HasAppliedAll) {
      return;
    }
    startServing(Member, Now, WallNow);
  }
  const DecisionInput Input{State, ActiveRules, Now, WallNow};
  replicateRules(Member, Newest);
  sweepLeases(Member, Now, WallNow);
  sweepExpired(Member, Now, WallNow);
  decayRetryCount(Now);
  proposeAttemptResults(Member, Input);
  const bool HasNewestRules = State.RulesNumber >= Newest.Number;
  if (!State.IsDataLossPending && HasNewestRules) {
    runPlacement(Member, Input);
  }
  answerPolls(Member, Now);
  answerWaiters(Now);
}

std::vector<CompletedCall> CentreService::drainCallResults() {
  return std::exchange(CompletedCalls, {});
}

std::vector<CompletedPoll> CentreService::drainPollReplies() {
  return std::exchange(CompletedPolls, {});
}

} // namespace mulberryramp
