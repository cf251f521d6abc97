#include "mulberryramp/node/centre_service.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

namespace internal {

constexpr Millis OrderAgainAfter{1000};
/// Replies since one beginning of serving that can be told apart.
constexpr int SequenceShift = 32;
constexpr std::size_t MaxNameBytes = 128;
/// A task is held to its grant once it is reported this far above it.
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

bool isAbove(const AttemptReport &Report, const Resources &Need) {
  return Report.UsedMilliCpus * 100 > Need.MilliCpus * ThrottleAbovePercent ||
         Report.UsedMemoryMb * 100 > Need.MemoryMb * ThrottleAbovePercent;
}

} // namespace internal

CompletedPoll checkLeaseBeforeSend(CompletedPoll Done, Instant Now) {
  if (Now >= Done.NotAfter) {
    Done.Reply = {};
    Done.Reply.Verdict = PollVerdict::NotLeader;
  }
  return Done;
}

std::string CentreService::contradiction(const WorkerPoll &Poll) const {
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
  const bool Same = Row == nullptr || Row->Incarnation != Poll.Incarnation ||
                    (Row->Capacity == Poll.Capacity && Row->Rack == Poll.Rack);
  return Same ? "" : "capacity and rack are fixed for one incarnation";
}

void CentreService::finishPoll(std::uint64_t PollId, PollVerdict Verdict,
                               std::string Reason, Instant NotAfter) {
  WorkerReply Reply;
  Reply.Verdict = Verdict;
  Reply.Reason = std::move(Reason);
  DonePolls.push_back({PollId, std::move(Reply), NotAfter});
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
  if (std::string Text = contradiction(Poll); !Text.empty()) {
    finishPoll(PollId, PollVerdict::Refused, std::move(Text), NotAfter);
    return;
  }
  if (Poll.Epoch > Member.Hard.Current) {
    const bool IsRecent =
        DeposedAt != Instant{} && Now - DeposedAt < MinStepDownInterval;
    if (IsRecent || Poll.Epoch - Member.Hard.Current > MaxEpochAhead) {
      finishPoll(PollId, PollVerdict::Refused,
                 "the epoch is ahead of this data centre", NotAfter);
      return;
    }
    DeposedAt = Now;
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
  applyReports(Id, Poll, Member.Hard.Current, Now);
  if (Row->IsLeaving != Poll.IsLeaving) {
    (void)proposeCommand(
        Member,
        SetWorkerDrainingCommand{Poll.Name, Poll.Incarnation, Poll.IsLeaving});
  }
  std::erase_if(Parked, [&](const ParkedPoll &Item) {
    if (Item.Name != Poll.Name) {
      return false;
    }
    finishPoll(Item.PollId, PollVerdict::Refused, "superseded by a newer poll",
               NotAfter);
    return true;
  });
  const bool Urgent = !runtimeOf(Id, Now).IsConfirmed;
  Parked.push_back(
      {PollId, Poll.Name, Poll.Incarnation, Now + Options.WorkerWait, Urgent});
}

void CentreService::cancelPoll(std::uint64_t PollId) {
  std::erase_if(Parked, [PollId](const ParkedPoll &Item) {
    return Item.PollId == PollId;
  });
}

WorkerRuntime &CentreService::runtimeOf(WorkerId Id, Instant Now) {
  const auto [Found, Fresh] = View.Workers.try_emplace(Id);
  if (Fresh) {
    Found->second.LeaseEnd = Now + Options.WorkerLease + leaseMargin();
    Found->second.Sequence = ServeCount << internal::SequenceShift;
  }
  return Found->second;
}

void CentreService::applyReports(WorkerId Id, const WorkerPoll &Poll,
                                 Term InTerm, Instant Now) {
  WorkerRuntime &Seen = runtimeOf(Id, Now);
  const bool IsCurrent = Poll.Epoch == InTerm;
  if (!IsCurrent || Poll.Ack < Seen.Sequence) {
    Seen.Orders.clear();
  }
  if (IsCurrent) {
    applyDiscardAck(Seen, Poll.Ack);
  }
  if (Poll.IsFull) {
    Seen.Reported.clear();
  }
  for (const AttemptReport &Report : Poll.Reports) {
    noteReport(Id, Seen, Report);
  }
  if (IsCurrent && Poll.IsFull) {
    Seen.IsConfirmed = true;
    endUnreportedAttempts(Id, Seen);
    IsDirty = true;
  }
  Seen.HasOrphans = std::any_of(Seen.Reported.begin(), Seen.Reported.end(),
                                [this](const auto &Item) {
                                  return Item.second == AttemptPhase::Running &&
                                         !State.ByAttempt.contains(Item.first);
                                });
}

/// An attempt from before a recovery that its worker no longer knows has come
/// to an end that is lost; it must not be started again.
void CentreService::endUnreportedAttempts(WorkerId Id,
                                          const WorkerRuntime &Seen) {
  for (const TaskId Item : State.Workers[Id].Tasks) {
    const AttemptId Attempt = State.Tasks[Item].Attempt;
    if (isBeforeRecovery(State, Attempt) && !Seen.Reported.contains(Attempt)) {
      settle(Attempt, AttemptEnd::Lost, "",
             "its end was lost with the memory of the data centre");
    }
  }
}

void CentreService::noteReport(WorkerId Id, WorkerRuntime &Seen,
                               const AttemptReport &Report) {
  Seen.Reported[Report.Attempt] = Report.Phase;
  const auto Found = State.ByAttempt.find(Report.Attempt);
  if (Found == State.ByAttempt.end()) {
    return;
  }
  const Task &Row = State.Tasks[Found->second];
  const Resources &Need = State.Requests[Row.Owner].Spec.Need;
  if (Report.Phase == AttemptPhase::Running) {
    if (internal::isAbove(Report, Need)) {
      Seen.OverLimit.insert(Report.Attempt);
    }
    return;
  }
  if (Row.State == TaskState::Assigned && Row.Place != Id) {
    return;
  }
  bool IsBroken = false;
  const auto Answer = assembleAnswer(Report, IsBroken);
  if (IsBroken) {
    settle(Report.Attempt, AttemptEnd::Failed, "",
           "the worker's answer is malformed or too long");
  } else if (Answer) {
    settle(Report.Attempt, internal::endOf(Report.Phase), *Answer,
           Report.Reason);
  }
}

std::optional<std::string>
CentreService::assembleAnswer(const AttemptReport &Report, bool &IsBroken) {
  if (!Report.Part) {
    return std::string{};
  }
  const AnswerPart &Part = *Report.Part;
  AnswerParts &Got = Parts[Report.Attempt];
  if (Got.Count == 0) {
    Got.Count = Part.Count;
  }
  Got.Parts[Part.Index] = Part.Data;
  std::size_t Bytes = 0;
  for (const auto &[Index, Data] : Got.Parts) {
    Bytes += Data.size();
  }
  IsBroken = Part.Count == 0 || Part.Count > MaxAnswerParts ||
             Part.Count != Got.Count || Part.Index >= Part.Count ||
             Bytes > MaxAnswerBytes;
  if (IsBroken || Got.Parts.size() < Got.Count) {
    return std::nullopt;
  }
  std::string Whole;
  for (const auto &[Index, Data] : Got.Parts) {
    Whole += Data;
  }
  return Whole;
}

std::optional<OrderKind> CentreService::wantedOrder(const WorkerRuntime &Seen,
                                                    TaskId Id,
                                                    Instant Now) const {
  const Task &Item = State.Tasks[Id];
  const auto Reported = Seen.Reported.find(Item.Attempt);
  const bool IsKnown = Reported != Seen.Reported.end();
  if (IsKnown && Reported->second != AttemptPhase::Running) {
    return std::nullopt;
  }
  if (!IsKnown && isBeforeRecovery(State, Item.Attempt)) {
    return std::nullopt;
  }
  if (needsStop(State.Requests[Item.Owner])) {
    return OrderKind::Stop;
  }
  if (View.Preempted.contains(Item.Attempt)) {
    const auto Sent = Seen.Orders.find(Item.Attempt);
    const bool IsLate = Sent != Seen.Orders.end() &&
                        Sent->second.Kind >= OrderKind::Checkpoint &&
                        Now - Sent->second.At >= internal::OrderAgainAfter;
    return IsLate ? OrderKind::Stop : OrderKind::Checkpoint;
  }
  if (!IsKnown) {
    return OrderKind::Start;
  }
  if (Seen.OverLimit.contains(Item.Attempt)) {
    return OrderKind::Throttle;
  }
  return std::nullopt;
}

StartOrder CentreService::startOrderOf(TaskId Id) const {
  const Task &Item = State.Tasks[Id];
  const RequestSpec &Spec = State.Requests[Item.Owner].Spec;
  StartOrder Order;
  Order.Attempt = Item.Attempt;
  Order.Customer = Spec.Customer;
  Order.Key = Spec.Key;
  Order.Ordinal = Item.Ordinal;
  Order.TaskCount = Spec.TaskCount;
  Order.Kind = Spec.Kind;
  Order.IsIdempotent = Spec.IsIdempotent;
  Order.Need = Spec.Need;
  Order.Payload = Spec.Payload;
  Order.Checkpoint = Item.Answer;
  return Order;
}

void CentreService::fillOrders(const Worker &Row, WorkerRuntime &Seen,
                               WorkerReply &Reply, Instant Now) const {
  const auto IsDue = [&](AttemptId Attempt, OrderKind Kind) {
    const auto Sent = Seen.Orders.find(Attempt);
    const bool IsRepeat = Sent != Seen.Orders.end() &&
                          Sent->second.Kind == Kind &&
                          (Kind == OrderKind::Throttle ||
                           Now - Sent->second.At < internal::OrderAgainAfter);
    if (!IsRepeat) {
      Seen.Orders[Attempt] = {Kind, Now};
    }
    return !IsRepeat;
  };
  for (const TaskId Id : Row.Tasks) {
    const AttemptId Attempt = State.Tasks[Id].Attempt;
    const auto Wanted = wantedOrder(Seen, Id, Now);
    if (!Wanted || !IsDue(Attempt, *Wanted)) {
      continue;
    }
    if (*Wanted == OrderKind::Start) {
      Reply.Starts.push_back(startOrderOf(Id));
    } else {
      Reply.Stops.push_back({Attempt, internal::modeOf(*Wanted)});
    }
  }
  for (const auto &[Attempt, Phase] : Seen.Reported) {
    if (Phase == AttemptPhase::Running && !State.ByAttempt.contains(Attempt) &&
        IsDue(Attempt, OrderKind::Stop)) {
      Reply.Stops.push_back({Attempt, StopMode::Stop});
    }
  }
}

void CentreService::fillDiscards(WorkerRuntime &Seen,
                                 WorkerReply &Reply) const {
  for (const auto &[Attempt, Phase] : Seen.Reported) {
    const bool IsOver = Phase != AttemptPhase::Running &&
                        !State.ByAttempt.contains(Attempt) &&
                        !Settling.contains(Attempt);
    if (IsOver) {
      Reply.Forgets.push_back(Attempt);
      Seen.Forgets[Attempt] = Seen.Sequence;
    }
  }
}

void CentreService::applyDiscardAck(WorkerRuntime &Seen, std::uint64_t Ack) {
  for (auto Item = Seen.Forgets.begin(); Item != Seen.Forgets.end();) {
    if (Item->second > Ack) {
      ++Item;
      continue;
    }
    Seen.Reported.erase(Item->first);
    Seen.Orders.erase(Item->first);
    Seen.OverLimit.erase(Item->first);
    Item = Seen.Forgets.erase(Item);
  }
}

void CentreService::answerPolls(Replica &Member, Instant Now) {
  const Instant NotAfter = leaseEnd(Member, Now);
  for (auto Item = Parked.begin(); Item != Parked.end();) {
    const WorkerId Id = findWorker(State, Item->Name);
    const Worker *Row = State.Workers.find(Id);
    if (Row == nullptr || Row->Incarnation != Item->Incarnation) {
      finishPoll(Item->PollId, PollVerdict::Wait, "not announced", NotAfter);
      Item = Parked.erase(Item);
      continue;
    }
    WorkerRuntime &Seen = runtimeOf(Id, Now);
    WorkerReply Reply;
    const bool IsOpen = !Removing.contains(Item->Name);
    if (IsOpen && Seen.IsConfirmed) {
      fillOrders(*Row, Seen, Reply, Now);
    }
    const bool IsDue = !Reply.Starts.empty() || !Reply.Stops.empty() ||
                       Item->IsUrgent || Now >= Item->Until || IsReleasing;
    if (!IsOpen || !IsDue) {
      ++Item;
      continue;
    }
    Seen.Sequence += 1;
    fillDiscards(Seen, Reply);
    Seen.LeaseEnd = Now + Options.WorkerLease + leaseMargin();
    Reply.Verdict = PollVerdict::Taken;
    Reply.Epoch = Member.Hard.Current;
    Reply.NeedsFullReport = !Seen.IsConfirmed;
    Reply.Sequence = Seen.Sequence;
    Reply.Lease = Options.WorkerLease;
    DonePolls.push_back({Item->PollId, std::move(Reply), NotAfter});
    Item = Parked.erase(Item);
  }
}

} // namespace mulberryramp
