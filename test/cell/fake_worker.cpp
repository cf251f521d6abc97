#include "cell/fake_worker.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp::test {

FakeWorker::FakeWorker(std::string Name, Resources Capacity, std::uint64_t Seed,
                       Instant Now)
    : Name{std::move(Name)}, Capacity{Capacity}, Rng{Seed} {
  ClockPercent = Rng.percent(50) ? 100 : 98;
  restart(Now);
}

void FakeWorker::restart(Instant Now) {
  BornAt = Now;
  StartTimeMs = Now.time_since_epoch().count();
  Sequence = 0;
  FencingToken = 0;
  LeaseExpiresAt = 0;
  Runs.clear();
  HighestEndedAttempt.clear();
  Ends.clear();
  LastEnd = 0;
  LastLapsedEnd = 0;
  Holds.clear();
}

Millis FakeWorker::workTime(const std::string &Payload) {
  const std::string Mark = "work ";
  return Payload.starts_with(Mark)
             ? Millis{std::stoll(Payload.substr(Mark.size()))}
             : WorkTime;
}

std::int64_t FakeWorker::clock(Instant Now) const {
  return 1000 + (Now - BornAt).count() * ClockPercent / 100;
}

OrderResult FakeWorker::answerTo(std::uint64_t Order, Instant Now) const {
  OrderResult Result;
  Result.Id = Order;
  Result.Verdict = OrderVerdict::Done;
  Result.Clock = clock(Now);
  return Result;
}

void FakeWorker::lists(OrderResult &Into, Instant Now) const {
  Into.StartTimeMs = StartTimeMs;
  for (const auto &[Task, Item] : Runs) {
    const auto Worked = (Now - Item.BeganAt).count();
    const auto Whole =
        std::max<std::int64_t>((Item.EndsAt - Item.BeganAt).count(), 1);
    const auto Percent = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(Worked * 100 / Whole, 0, 100));
    Into.Running.push_back(
        {Task, Item.Attempt, "", Item.IsLongRunning ? 100 : Percent, 0});
  }
  Into.Ended = Ends;
}

void FakeWorker::extendLease(std::int64_t Until, Instant Now) {
  LeaseExpiresAt =
      std::max(LeaseExpiresAt, std::min(Until, clock(Now) + MaxLease.count()));
}

void FakeWorker::acknowledge(std::uint64_t UpTo) {
  for (const ReportedEnd &End : Ends) {
    if (End.Number <= LastLapsedEnd) {
      continue;
    }
    if (End.Number <= UpTo && End.Kind == EndKind::Done) {
      Events.push_back({WorkerEvent::Kind::AckedDone, End.Task, End.Attempt,
                        End.Kind, false});
    } else if (End.Number <= UpTo && End.Kind == EndKind::Failed) {
      Events.push_back({WorkerEvent::Kind::AckedFailed, End.Task, End.Attempt,
                        End.Kind, false});
    }
  }
  std::erase_if(Ends,
                [UpTo](const ReportedEnd &End) { return End.Number <= UpTo; });
}

OrderResult FakeWorker::start(const WorkerOrder &Order, Instant Now,
                              bool IsLate) {
  OrderResult Result = answerTo(Order.Id, Now);
  const auto Refuse = [&Result](RefusalReason Reason) {
    Result.Verdict = OrderVerdict::Refused;
    Result.Reason = Reason;
    return Result;
  };
  const auto Found = Runs.find(Order.Task);
  if (Found != Runs.end()) {
    return Found->second.Attempt == Order.Attempt
               ? Result
               : Refuse(RefusalReason::StaleAttempt);
  }
  const auto Before = HighestEndedAttempt.find(Order.Task);
  if (Before != HighestEndedAttempt.end() && Order.Attempt <= Before->second) {
    extendLease(Order.Expires, Now);
    return Refuse(RefusalReason::StaleAttempt);
  }
  if (Order.Expires <= clock(Now)) {
    return Refuse(RefusalReason::LeaseExpired);
  }
  extendLease(Order.Expires, Now);
  // Members of a gang end when all of them do, which is not known here.
  const bool IsLongRunning =
      Order.Payload == "lasting" || Order.Payload == "gang";
  const auto Extra = static_cast<std::int64_t>(Rng.below(400));
  Runs[Order.Task] = {Order.Attempt, Now,
                      Now + workTime(Order.Payload) + Millis{Extra}, false,
                      IsLongRunning};
  Events.push_back({WorkerEvent::Kind::Started, Order.Task, Order.Attempt,
                    EndKind::Done, IsLate});
  return Result;
}

OrderResult FakeWorker::stop(const WorkerOrder &Order, Instant Now) {
  const auto Found = Runs.find(Order.Task);
  if (Found != Runs.end() && Found->second.Attempt == Order.Attempt) {
    Found->second.IsStopping = true;
    Found->second.EndsAt = std::min(Found->second.EndsAt, Now + StopTime);
  } else if (Found == Runs.end()) {
    std::uint32_t &Highest = HighestEndedAttempt[Order.Task];
    Highest = std::max(Highest, Order.Attempt);
  }
  return answerTo(Order.Id, Now);
}

std::optional<OrderResult> FakeWorker::handleOrder(const WorkerOrder &Order,
                                                   Instant Now, bool IsLate) {
  if (Order.Worker != Name) {
    OrderResult Other = answerTo(Order.Id, Now);
    Other.Verdict = OrderVerdict::OtherInstance;
    return Other;
  }
  if (Order.FencingToken < FencingToken) {
    OrderResult Refused = answerTo(Order.Id, Now);
    Refused.Verdict = OrderVerdict::Refused;
    Refused.Reason = RefusalReason::StaleFencingToken;
    return Refused;
  }
  FencingToken = Order.FencingToken;
  switch (Order.Kind) {
  case WorkerOrderKind::Start:
    return start(Order, Now, IsLate);
  case WorkerOrderKind::Stop:
    return stop(Order, Now);
  case WorkerOrderKind::Pace:
    return answerTo(Order.Id, Now);
  case WorkerOrderKind::Renew:
    break;
  }
  if (Order.Expires != 0) {
    extendLease(Order.Expires, Now);
  }
  acknowledge(Order.LastAckedEnd);
  if (Ends.empty() && Order.Wait.count() != 0) {
    Holds.push_back({Order.Id, Now + Order.Wait});
    return std::nullopt;
  }
  OrderResult Result = answerTo(Order.Id, Now);
  lists(Result, Now);
  return Result;
}

void FakeWorker::end(const TaskName &Task, EndKind How) {
  const auto Found = Runs.find(Task);
  LastEnd += 1;
  Ends.push_back({LastEnd, Task, Found->second.Attempt, How, ""});
  HighestEndedAttempt[Task] =
      std::max(HighestEndedAttempt[Task], Found->second.Attempt);
  Events.push_back(
      {WorkerEvent::Kind::Ended, Task, Found->second.Attempt, How, false});
  Runs.erase(Found);
}

void FakeWorker::endRun(const TaskName &Task, EndKind How) {
  if (Runs.contains(Task)) {
    end(Task, How);
  }
}

std::vector<OrderResult> FakeWorker::advance(Instant Now) {
  if (clock(Now) >= LeaseExpiresAt) {
    LastLapsedEnd = LastEnd;
  }
  std::vector<TaskName> Ended;
  std::vector<EndKind> Hows;
  for (const auto &[Task, Item] : Runs) {
    const bool HasLapsed = clock(Now) >= LeaseExpiresAt;
    const bool IsOver =
        Now >= Item.EndsAt && (!Item.IsLongRunning || Item.IsStopping);
    if (!HasLapsed && !IsOver) {
      continue;
    }
    Ended.push_back(Task);
    EndKind How = Item.IsStopping ? EndKind::Stopped : EndKind::Done;
    if (!Item.IsStopping && (FailsAll || Rng.percent(5))) {
      How = EndKind::Failed;
    }
    Hows.push_back(HasLapsed ? EndKind::LeaseExpired : How);
  }
  for (std::size_t Index = 0; Index < Ended.size(); ++Index) {
    end(Ended[Index], Hows[Index]);
  }
  std::vector<OrderResult> Answers;
  std::erase_if(Holds, [&](const PendingPoll &Hold) {
    if (Ends.empty() && Now < Hold.Until) {
      return false;
    }
    OrderResult Result = answerTo(Hold.Order, Now);
    lists(Result, Now);
    Answers.push_back(std::move(Result));
    return true;
  });
  return Answers;
}

WorkerReport FakeWorker::report(Instant Now) {
  Sequence += 1;
  WorkerReport Report;
  Report.Name = Name;
  Report.StartTimeMs = StartTimeMs;
  Report.Pool = "pool";
  Report.Address = Name + ":1";
  Report.Centre = "centre";
  Report.Rack = "rack";
  Report.Labels = {"kind", "rack"};
  Report.Capacity = Capacity;
  Report.Sequence = Sequence;
  Report.Clock = clock(Now);
  return Report;
}

std::vector<WorkerEvent> FakeWorker::takeEvents() {
  return std::exchange(Events, {});
}

std::vector<std::pair<TaskName, std::uint32_t>> FakeWorker::running() const {
  std::vector<std::pair<TaskName, std::uint32_t>> Listed;
  for (const auto &[Task, Item] : Runs) {
    Listed.emplace_back(Task, Item.Attempt);
  }
  return Listed;
}

} // namespace mulberryramp::test
