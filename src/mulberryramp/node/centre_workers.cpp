#include "mulberryramp/node/centre_service.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

namespace internal {

constexpr Millis OrderResendInterval{1000};
/// Sequence numbers start at the number of the serving period, shifted by this
/// many bits, so that replies of two periods never share a number.
constexpr int SequenceShift = 32;
constexpr std::size_t MaxNameBytes = 128;
/// A task is throttled once its reported use exceeds this percentage of its
/// required resources.
constexpr std::int64_t ThrottleAbovePercent = 120;

AttemptEnd endOf(AttemptPhase Phase) {
  switch (Phase) {
  case AttemptPhase::Done:
    return AttemptEnd::Done;
  case AttemptPhase::Failed:
    return AttemptEnd::Failed;
  case AttemptPhase::Refused:
    return AttemptEnd::Refused;
  case AttemptPhase::Running:
  case AttemptPhase::Stopped:
    break;
  }
  return AttemptEnd::Stopped;
}

StopMode modeOf(OrderKind Kind) {
  switch (Kind) {
  case OrderKind::Throttle:
    return StopMode::Throttle;
  case OrderKind::Checkpoint:
    return StopMode::Checkpoint;
  case OrderKind::Start:
  case OrderKind::Stop:
    break;
  }
  return StopMode::Stop;
}

bool exceedsLimit(const AttemptReport &Report, const Resources &Need) {
  return Report.UsedMilliCpus * 100 > Need.MilliCpus * ThrottleAbovePercent ||
         Report.UsedMemoryMb * 100 > Need.MemoryMb * ThrottleAbovePercent;
}

} // namespace internal

CompletedPoll checkLeaseBeforeSend(CompletedPoll Done, Instant Now) {
  if (Now >= Done.LeaderLeaseEnd) {
    Done.Reply = {};
    Done.Reply.Verdict = PollVerdict::NotLeader;
  }
  return Done;
}

std::string CentreService::pollError(const WorkerPoll &Poll) const {
  if (Poll.Name.empty() || Poll.Name.size() > internal::MaxNameBytes) {
    return "the name of the worker is empty or too long";
  }
  if (!isNonNegative(Poll.Capacity)) {
    return "a capacity is negative";
  }
  if (Poll.Centre != Options.Centre) {
    return "this daemon is of data centre " + Options.Centre;
  }
  const Worker *Row = State.Workers.find(findWorker(State, Poll.Name));
  const bool IsConsistent =
      Row == nullptr || Row->Incarnation != Poll.Incarnation ||
      (Row->Capacity == Poll.Capacity && Row->Rack == Poll.Rack);
  return IsConsistent ? "" : "capacity and rack are fixed for one incarnation";
}

void CentreService::finishPoll(std::uint64_t PollId, PollVerdict Verdict,
                               std::string Reason, Instant NotAfter) {
  WorkerReply Reply;
  Reply.Verdict = Verdict;
  Reply.Reason = std::move(Reason);
  CompletedPolls.push_back({PollId, std::move(Reply), NotAfter});
}

void CentreService::announce(Replica &Member, const WorkerPoll &Poll) {
  if (Announcing.contains(Poll.Name)) {
    return;
  }
  AnnounceCommand Command;
  Command.Name = Poll.Name;
  Command.Incarnation = Poll.Incarnation;
  Command.Rack = Poll.Rack;
  Command.Capacity = Poll.Capacity;
  if (proposeCommand(Member, Command)) {
    Announcing.insert(Poll.Name);
  }
}

void CentreService::poll(Replica &Member, std::uint64_t PollId,
                         const WorkerPoll &Poll, Instant Now,
                         WallTime WallNow) {
  Counters.Polls += 1;
  const Instant NotAfter = leaseEnd(Member, Now);
  if (std::string Error = pollError(Poll); !Error.empty()) {
    finishPoll(PollId, PollVerdict::Refused, std::move(Error), NotAfter);
    return;
  }
  if (Poll.Epoch > Member.Hard.CurrentTerm) {
    const bool IsRecent = LastStepDownAt != Instant{} &&
                          Now - LastStepDownAt < MinStepDownInterval;
    if (IsRecent || Poll.Epoch - Member.Hard.CurrentTerm > MaxEpochAhead) {
      finishPoll(PollId, PollVerdict::Refused,
                 "the epoch is ahead of this data centre", NotAfter);
      return;
    }
    LastStepDownAt = Now;
    raiseTerm(Member, Now, Poll.Epoch);
    finishPoll(PollId, PollVerdict::NotLeader, "", Instant::max());
    return;
  }
  const WorkerId Id = findWorker(State, Poll.Name);
  const Worker *Row = State.Workers.find(Id);
  if (Row == nullptr) {
    announce(Member, Poll);
    finishPoll(PollId, PollVerdict::Wait, "announced", NotAfter);
    return;
  }
  if (Row->Incarnation != Poll.Incarnation) {
    if (Row->Tasks.empty() && !Removing.contains(Poll.Name) &&
        proposeCommand(Member, RemoveWorkerCommand{Row->Name, Row->Incarnation,
                                                   true, WallNow})) {
      Removing.insert(Poll.Name);
    }
    finishPoll(PollId, PollVerdict::Wait,
               "a former life of the worker holds its lease", NotAfter);
    return;
  }
  applyReports(Id, Poll, Member.Hard.CurrentTerm, Now);
  if (Row->IsDraining != Poll.IsDraining) {
    (void)proposeCommand(
        Member,
        SetWorkerDrainingCommand{Poll.Name, Poll.Incarnation, Poll.IsDraining});
  }
  std::erase_if(ParkedPolls, [&](const ParkedPoll &Parked) {
    if (Parked.Name != Poll.Name) {
      return false;
    }
    finishPoll(Parked.PollId, PollVerdict::Refused,
               "superseded by a newer poll", NotAfter);
    return true;
  });
  const bool IsUrgent = !runtimeOf(Id, Now).IsConfirmed;
  ParkedPolls.push_back({PollId, Poll.Name, Poll.Incarnation,
                         Now + Options.WorkerWait, IsUrgent});
}

void CentreService::cancelPoll(std::uint64_t PollId) {
  std::erase_if(ParkedPolls, [PollId](const ParkedPoll &Poll) {
    return Poll.PollId == PollId;
  });
}

WorkerRuntime &CentreService::runtimeOf(WorkerId Id, Instant Now) {
  const auto [It, Inserted] = Runtime.Workers.try_emplace(Id);
  if (Inserted) {
    It->second.LeaseEnd = Now + Options.WorkerLease + leaseMargin();
    It->second.Sequence = ServeCount << internal::SequenceShift;
  }
  return It->second;
}

void CentreService::applyReports(WorkerId Id, const WorkerPoll &Poll,
                                 Term InTerm, Instant Now) {
  WorkerRuntime &WorkerStatus = runtimeOf(Id, Now);
  const bool IsCurrentEpoch = Poll.Epoch == InTerm;
  if (!IsCurrentEpoch || Poll.Ack < WorkerStatus.Sequence) {
    WorkerStatus.Orders.clear();
  }
  if (IsCurrentEpoch) {
    applyDiscardAck(WorkerStatus, Poll.Ack);
  }
  if (Poll.IsFullReport) {
    WorkerStatus.Reported.clear();
  }
  for (const AttemptReport &Report : Poll.Reports) {
    applyReport(Id, WorkerStatus, Report);
  }
  if (IsCurrentEpoch && Poll.IsFullReport) {
    WorkerStatus.IsConfirmed = true;
    endUnreportedAttempts(Id, WorkerStatus);
    IsDirty = true;
  }
  WorkerStatus.HasOrphans =
      std::any_of(WorkerStatus.Reported.begin(), WorkerStatus.Reported.end(),
                  [this](const auto &ReportedEntry) {
                    return ReportedEntry.second == AttemptPhase::Running &&
                           !State.ByAttempt.contains(ReportedEntry.first);
                  });
}

/// Ends attempts from before a recovery that their worker no longer reports.
/// Such an attempt has ended, but the entry with its end is lost; it must not
/// be started again.
void CentreService::endUnreportedAttempts(WorkerId Id,
                                          const WorkerRuntime &WorkerStatus) {
  for (const TaskId TaskRowId : State.Workers[Id].Tasks) {
    const AttemptId Attempt = State.Tasks[TaskRowId].Attempt;
    if (isBeforeRecovery(State, Attempt) &&
        !WorkerStatus.Reported.contains(Attempt)) {
      queueAttemptResult(Attempt, AttemptEnd::Lost, "",
                         "its end was lost with the memory of the data centre");
    }
  }
}

void CentreService::applyReport(WorkerId Id, WorkerRuntime &WorkerStatus,
                                const AttemptReport &Report) {
  WorkerStatus.Reported[Report.Attempt] = Report.Phase;
  const auto It = State.ByAttempt.find(Report.Attempt);
  if (It == State.ByAttempt.end()) {
    return;
  }
  const Task &Row = State.Tasks[It->second];
  const Resources &Need = State.Requests[Row.Owner].Spec.Need;
  if (Report.Phase == AttemptPhase::Running) {
    if (internal::exceedsLimit(Report, Need)) {
      WorkerStatus.OverLimit.insert(Report.Attempt);
    }
    return;
  }
  if (Row.State == TaskState::Assigned && Row.AssignedWorker != Id) {
    return;
  }
  bool IsBroken = false;
  const auto Answer = assembleAnswer(Report, IsBroken);
  if (IsBroken) {
    queueAttemptResult(Report.Attempt, AttemptEnd::Failed, "",
                       "the worker's answer is malformed or too long");
  } else if (Answer) {
    queueAttemptResult(Report.Attempt, internal::endOf(Report.Phase), *Answer,
                       Report.Reason);
  }
}

std::optional<std::string>
CentreService::assembleAnswer(const AttemptReport &Report, bool &IsBroken) {
  if (!Report.Part) {
    return std::string{};
  }
  const AnswerPart &Part = *Report.Part;
  AnswerParts &Received = AnswerPartsByAttempt[Report.Attempt];
  if (Received.Count == 0) {
    Received.Count = Part.Count;
  }
  Received.Parts[Part.Index] = Part.Data;
  std::size_t Bytes = 0;
  for (const auto &[Index, Data] : Received.Parts) {
    Bytes += Data.size();
  }
  IsBroken = Part.Count == 0 || Part.Count > MaxAnswerParts ||
             Part.Count != Received.Count || Part.Index >= Part.Count ||
             Bytes > MaxAnswerBytes;
  if (IsBroken || Received.Parts.size() < Received.Count) {
    return std::nullopt;
  }
  std::string Answer;
  for (const auto &[Index, Data] : Received.Parts) {
    Answer += Data;
  }
  return Answer;
}

std::optional<OrderKind>
CentreService::wantedOrder(const WorkerRuntime &WorkerStatus, TaskId Id,
                           Instant Now) const {
  const Task &TaskRow = State.Tasks[Id];
  const auto Reported = WorkerStatus.Reported.find(TaskRow.Attempt);
  const bool IsKnown = Reported != WorkerStatus.Reported.end();
  if (IsKnown && Reported->second != AttemptPhase::Running) {
    return std::nullopt;
  }
  if (!IsKnown && isBeforeRecovery(State, TaskRow.Attempt)) {
    return std::nullopt;
  }
  if (needsStop(State.Requests[TaskRow.Owner])) {
    return OrderKind::Stop;
  }
  if (Runtime.Preempted.contains(TaskRow.Attempt)) {
    const auto Sent = WorkerStatus.Orders.find(TaskRow.Attempt);
    const bool IsLate = Sent != WorkerStatus.Orders.end() &&
                        Sent->second.Kind >= OrderKind::Checkpoint &&
                        Now - Sent->second.At >= internal::OrderResendInterval;
    return IsLate ? OrderKind::Stop : OrderKind::Checkpoint;
  }
  if (!IsKnown) {
    return OrderKind::Start;
  }
  if (WorkerStatus.OverLimit.contains(TaskRow.Attempt)) {
    return OrderKind::Throttle;
  }
  return std::nullopt;
}

StartOrder CentreService::startOrderOf(TaskId Id) const {
  const Task &TaskRow = State.Tasks[Id];
  const RequestSpec &Spec = State.Requests[TaskRow.Owner].Spec;
  StartOrder Order;
  Order.Attempt = TaskRow.Attempt;
  Order.Customer = Spec.Customer;
  Order.Key = Spec.Key;
  Order.Ordinal = TaskRow.Ordinal;
  Order.TaskCount = Spec.TaskCount;
  Order.Kind = Spec.Kind;
  Order.IsIdempotent = Spec.IsIdempotent;
  Order.Need = Spec.Need;
  Order.Payload = Spec.Payload;
  Order.Checkpoint = TaskRow.Answer;
  return Order;
}

void CentreService::fillOrders(const Worker &Row, WorkerRuntime &WorkerStatus,
                               WorkerReply &Reply, Instant Now) const {
  const auto IsDue = [&](AttemptId Attempt, OrderKind Kind) {
    const auto Sent = WorkerStatus.Orders.find(Attempt);
    const bool IsRepeat =
        Sent != WorkerStatus.Orders.end() && Sent->second.Kind == Kind &&
        (Kind == OrderKind::Throttle ||
         Now - Sent->second.At < internal::OrderResendInterval);
    if (!IsRepeat) {
      WorkerStatus.Orders[Attempt] = {Kind, Now};
    }
    return !IsRepeat;
  };
  for (const TaskId Id : Row.Tasks) {
    const AttemptId Attempt = State.Tasks[Id].Attempt;
    const auto Wanted = wantedOrder(WorkerStatus, Id, Now);
    if (!Wanted || !IsDue(Attempt, *Wanted)) {
      continue;
    }
    if (*Wanted == OrderKind::Start) {
      Reply.Starts.push_back(startOrderOf(Id));
    } else {
      Reply.Stops.push_back({Attempt, internal::modeOf(*Wanted)});
    }
  }
  for (const auto &[Attempt, Phase] : WorkerStatus.Reported) {
    if (Phase == AttemptPhase::Running && !State.ByAttempt.contains(Attempt) &&
        IsDue(Attempt, OrderKind::Stop)) {
      Reply.Stops.push_back({Attempt, StopMode::Stop});
    }
  }
}

void CentreService::fillDiscards(WorkerRuntime &WorkerStatus,
                                 WorkerReply &Reply) const {
  for (const auto &[Attempt, Phase] : WorkerStatus.Reported) {
    const bool HasEnded = Phase != AttemptPhase::Running &&
                          !State.ByAttempt.contains(Attempt) &&
                          !EndingAttempts.contains(Attempt);
    if (HasEnded) {
      Reply.Discards.push_back(Attempt);
      WorkerStatus.Discards[Attempt] = WorkerStatus.Sequence;
    }
  }
}

void CentreService::applyDiscardAck(WorkerRuntime &WorkerStatus,
                                    std::uint64_t Ack) {
  for (auto It = WorkerStatus.Discards.begin();
       It != WorkerStatus.Discards.end();) {
    if (It->second > Ack) {
      ++It;
      continue;
    }
    WorkerStatus.Reported.erase(It->first);
    WorkerStatus.Orders.erase(It->first);
    WorkerStatus.OverLimit.erase(It->first);
    It = WorkerStatus.Discards.erase(It);
  }
}

void CentreService::answerPolls(Replica &Member, Instant Now) {
  const Instant NotAfter = leaseEnd(Member, Now);
  for (auto It = ParkedPolls.begin(); It != ParkedPolls.end();) {
    const WorkerId Id = findWorker(State, It->Name);
    const Worker *Row = State.Workers.find(Id);
    if (Row == nullptr || Row->Incarnation != It->Incarnation) {
      finishPoll(It->PollId, PollVerdict::Wait, "not announced", NotAfter);
      It = ParkedPolls.erase(It);
      continue;
    }
    WorkerRuntime &WorkerStatus = runtimeOf(Id, Now);
    WorkerReply Reply;
    const bool IsOpen = !Removing.contains(It->Name);
    if (IsOpen && WorkerStatus.IsConfirmed) {
      fillOrders(*Row, WorkerStatus, Reply, Now);
    }
    const bool IsDue = !Reply.Starts.empty() || !Reply.Stops.empty() ||
                       It->IsUrgent || Now >= It->Deadline || IsAnsweringAll;
    if (!IsOpen || !IsDue) {
      ++It;
      continue;
    }
    WorkerStatus.Sequence += 1;
    fillDiscards(WorkerStatus, Reply);
    WorkerStatus.LeaseEnd = Now + Options.WorkerLease + leaseMargin();
    Reply.Verdict = PollVerdict::Accepted;
    Reply.Epoch = Member.Hard.CurrentTerm;
    Reply.NeedsFullReport = !WorkerStatus.IsConfirmed;
    Reply.Sequence = WorkerStatus.Sequence;
    Reply.Lease = Options.WorkerLease;
    CompletedPolls.push_back({It->PollId, std::move(Reply), NotAfter});
    It = ParkedPolls.erase(It);
  }
}

} // namespace mulberryramp
