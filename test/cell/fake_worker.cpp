#include "cell/fake_worker.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp::test {

FakeWorker::FakeWorker(std::string Name, Resources Capacity, std::uint64_t Seed,
                       Instant Now)
    : Name{std::move(Name)}, Address{this->Name + ":1"}, Capacity{Capacity},
      Rng{Seed} {
  ClockPercent = Rng.percent(50) ? 100 : 98;
  restart(Now);
}

void FakeWorker::restart(Instant Now) {
  ProcessStartedAt = Now;
  StartTimeMs = Now.time_since_epoch().count();
  Sequence = 0;
  FencingToken = 0;
  LeaseExpiresAt = 0;
  RunningAttempts.clear();
  HighestEndedAttempt.clear();
  Ends.clear();
  LastEnd = 0;
  LastEndAtLeaseExpiry = 0;
  PendingRenewals.clear();
}

Millis FakeWorker::runTimeOf(const std::string &Payload) {
  const std::string Prefix = "work ";
  return Payload.starts_with(Prefix)
             ? Millis{std::stoll(Payload.substr(Prefix.size()))}
             : DefaultRunTime;
}

bool FakeWorker::crashesWorker(const std::string &Payload,
                               const TaskName &Task) {
  return Payload == "crash" || Payload == "crash " + std::to_string(Task.Step) +
                                              "." + std::to_string(Task.Task);
}

std::vector<TaskName> FakeWorker::startedSince(Instant Since) const {
  std::vector<TaskName> Tasks;
  for (const auto &[Task, Running] : RunningAttempts) {
    if (Running.StartedAt >= Since) {
      Tasks.push_back(Task);
    }
  }
  return Tasks;
}

std::optional<TaskName> FakeWorker::findDueCrash(Instant Now) const {
  for (const auto &[Task, Running] : RunningAttempts) {
    if (Running.CrashesAt && Now >= *Running.CrashesAt) {
      return Task;
    }
  }
  return std::nullopt;
}

std::int64_t FakeWorker::clockMs(Instant Now) const {
  return 1000 + (Now - ProcessStartedAt).count() * ClockPercent / 100;
}

OrderResult FakeWorker::answerTo(std::uint64_t Order, Instant Now) const {
  OrderResult Result;
  Result.Id = Order;
  Result.Verdict = OrderVerdict::Done;
  Result.Clock = clockMs(Now);
  return Result;
}

void FakeWorker::fillLists(OrderResult &Output, Instant Now) const {
  Output.StartTimeMs = StartTimeMs;
  for (const auto &[Task, Running] : RunningAttempts) {
    const auto ElapsedMs = (Now - Running.StartedAt).count();
    const auto TotalMs =
        std::max<std::int64_t>((Running.EndsAt - Running.StartedAt).count(), 1);
    const auto Percent = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(ElapsedMs * 100 / TotalMs, 0, 100));
    Output.Running.push_back(
        {Task, Running.Attempt, "", Running.IsLongRunning ? 100 : Percent, 0});
  }
  Output.Ends = Ends;
}

void FakeWorker::extendLease(std::int64_t Until, Instant Now) {
  LeaseExpiresAt = std::max(LeaseExpiresAt,
                            std::min(Until, clockMs(Now) + MaxLease.count()));
}

void FakeWorker::acknowledge(std::uint64_t UpTo) {
  for (const ReportedEnd &End : Ends) {
    if (End.Number <= LastEndAtLeaseExpiry) {
      continue;
    }
    if (End.Number <= UpTo && End.Kind == EndKind::Done) {
      Events.push_back({WorkerEvent::Type::AckedDone, End.Task, End.Attempt,
                        End.Kind, false});
    } else if (End.Number <= UpTo && End.Kind == EndKind::Failed) {
      Events.push_back({WorkerEvent::Type::AckedFailed, End.Task, End.Attempt,
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
  const auto It = RunningAttempts.find(Order.Task);
  if (It != RunningAttempts.end()) {
    return It->second.Attempt == Order.Attempt
               ? Result
               : Refuse(RefusalReason::StaleAttempt);
  }
  const auto EndedIt = HighestEndedAttempt.find(Order.Task);
  if (EndedIt != HighestEndedAttempt.end() &&
      Order.Attempt <= EndedIt->second) {
    extendLease(Order.Expires, Now);
    return Refuse(RefusalReason::StaleAttempt);
  }
  if (Order.Expires <= clockMs(Now)) {
    return Refuse(RefusalReason::LeaseExpired);
  }
  extendLease(Order.Expires, Now);
  // The members of a gang end together, and a worker does not know the other
  // members: the simulation ends them with endIfRunning().
  const bool IsLongRunning =
      Order.Payload == "lasting" || Order.Payload == "gang";
  const auto Extra = static_cast<std::int64_t>(Rng.below(400));
  RunningAttempts[Order.Task] = {Order.Attempt,
                                 Now,
                                 Now + runTimeOf(Order.Payload) + Millis{Extra},
                                 false,
                                 IsLongRunning,
                                 std::nullopt};
  if (crashesWorker(Order.Payload, Order.Task)) {
    const auto Spread = (MaxTimeToCrash - MinTimeToCrash).count();
    RunningAttempts[Order.Task].CrashesAt =
        Now + MinTimeToCrash +
        Millis{static_cast<std::int64_t>(
            Rng.below(static_cast<std::uint64_t>(Spread)))};
  }
  Events.push_back({WorkerEvent::Type::Started, Order.Task, Order.Attempt,
                    EndKind::Done, IsLate});
  return Result;
}

OrderResult FakeWorker::stop(const WorkerOrder &Order, Instant Now) {
  const auto It = RunningAttempts.find(Order.Task);
  if (It != RunningAttempts.end() && It->second.Attempt == Order.Attempt) {
    It->second.IsStopping = true;
    It->second.EndsAt = std::min(It->second.EndsAt, Now + StopTime);
  } else if (It == RunningAttempts.end()) {
    std::uint32_t &Highest = HighestEndedAttempt[Order.Task];
    Highest = std::max(Highest, Order.Attempt);
  }
  return answerTo(Order.Id, Now);
}

std::optional<OrderResult> FakeWorker::handleOrder(const WorkerOrder &Order,
                                                   Instant Now, bool IsLate) {
  if (Order.Worker != Name) {
    OrderResult Result = answerTo(Order.Id, Now);
    Result.Verdict = OrderVerdict::OtherInstance;
    return Result;
  }
  if (Order.FencingToken < FencingToken) {
    OrderResult Result = answerTo(Order.Id, Now);
    Result.Verdict = OrderVerdict::Refused;
    Result.Reason = RefusalReason::StaleFencingToken;
    return Result;
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
    PendingRenewals.push_back({Order.Id, Now + Order.Wait});
    return std::nullopt;
  }
  OrderResult Result = answerTo(Order.Id, Now);
  fillLists(Result, Now);
  return Result;
}

void FakeWorker::endAttempt(const TaskName &Task, EndKind EndedAs) {
  const auto It = RunningAttempts.find(Task);
  LastEnd += 1;
  Ends.push_back({LastEnd, Task, It->second.Attempt, EndedAs, ""});
  HighestEndedAttempt[Task] =
      std::max(HighestEndedAttempt[Task], It->second.Attempt);
  Events.push_back(
      {WorkerEvent::Type::Ended, Task, It->second.Attempt, EndedAs, false});
  RunningAttempts.erase(It);
}

void FakeWorker::endIfRunning(const TaskName &Task, EndKind EndedAs) {
  if (RunningAttempts.contains(Task)) {
    endAttempt(Task, EndedAs);
  }
}

std::vector<OrderResult> FakeWorker::advance(Instant Now) {
  if (clockMs(Now) >= LeaseExpiresAt) {
    LastEndAtLeaseExpiry = LastEnd;
  }
  std::vector<TaskName> Ended;
  std::vector<EndKind> EndKinds;
  for (const auto &[Task, Running] : RunningAttempts) {
    const bool IsLeaseExpired = clockMs(Now) >= LeaseExpiresAt;
    const bool IsDue =
        Now >= Running.EndsAt && (!Running.IsLongRunning || Running.IsStopping);
    if (!IsLeaseExpired && !IsDue) {
      continue;
    }
    Ended.push_back(Task);
    EndKind EndedAs = Running.IsStopping ? EndKind::Stopped : EndKind::Done;
    if (!Running.IsStopping && (FailsAll || Rng.percent(5))) {
      EndedAs = EndKind::Failed;
    }
    EndKinds.push_back(IsLeaseExpired ? EndKind::LeaseExpired : EndedAs);
  }
  for (std::size_t Index = 0; Index < Ended.size(); ++Index) {
    endAttempt(Ended[Index], EndKinds[Index]);
  }
  std::vector<OrderResult> Answers;
  std::erase_if(PendingRenewals, [&](const PendingRenewal &Renewal) {
    if (Ends.empty() && Now < Renewal.ExpiresAt) {
      return false;
    }
    OrderResult Result = answerTo(Renewal.Order, Now);
    fillLists(Result, Now);
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
  Report.Address = Address;
  Report.Centre = "centre";
  Report.Rack = "rack";
  Report.Labels = {"kind", "rack"};
  Report.Capacity = Capacity;
  Report.Sequence = Sequence;
  Report.Clock = clockMs(Now);
  return Report;
}

std::vector<WorkerEvent> FakeWorker::takeEvents() {
  return std::exchange(Events, {});
}

std::vector<std::pair<TaskName, std::uint32_t>> FakeWorker::running() const {
  std::vector<std::pair<TaskName, std::uint32_t>> Tasks;
  for (const auto &[Task, Running] : RunningAttempts) {
    Tasks.emplace_back(Task, Running.Attempt);
  }
  return Tasks;
}

} // namespace mulberryramp::test
