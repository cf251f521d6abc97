#include "mulberryramp/cell/answers.hpp"

#include "mulberryramp/cell/crash_attribution.hpp"
#include "mulberryramp/cell/leases.hpp"
#include "mulberryramp/cell/orders.hpp"
#include "mulberryramp/cell/trials.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

namespace {

/// Bound in ms on the reordering of answers. If the worker clock falls back by
/// more, another instance answered.
constexpr std::int64_t MaxAnswerReordering = 1000;
/// Backoff of a worker that refused a start as unhealthy.
constexpr Millis UnhealthyBackoff{2000};
/// Backoff of a worker whose tasks fail repeatedly.
constexpr Millis FailingBackoff{6000};
/// Number of consecutive failed tasks after which a worker is backed off.
constexpr std::uint32_t FailureStreakLimit = 3;
/// Shorter run times consist mostly of network delay.
constexpr Millis MinSampleRuntime{300};
/// Minimum number of finished peer tasks for a runtime ratio.
constexpr std::uint32_t MinSampleTasks = 2;
/// Weight of the latest sample in the average runtime ratio.
constexpr double RuntimeRatioGain = 0.3;
/// A worker is backed off after a task with a higher runtime ratio.
constexpr double SlowRatio = 3.5;
/// Backoff of a worker that ran a task too slowly.
constexpr Millis SlowBackoff{2500};

/// Presumes an attempt lost if its step is speculative, as such a step need not
/// wait for the actual end of the attempt. The worker gets no new starts until
/// its task list shows that the attempt is gone. A task that may crash its
/// workers waits for the actual end.
void presumeLostIfSpeculative(DispatchState &Dispatch, const CellState &State,
                              TaskLaunch &Launch, Instant Now,
                              WallTime WallNow) {
  const TaskKey &Key = Launch.Assignment.Key;
  const Job *Owner = State.Jobs.find(Key.Job);
  const JobTask *Task = findTask(State, Key);
  if (Task != nullptr && Owner->Spec.Steps[Key.Step].IsSpeculative &&
      !maySuspectCrash(collectUnresolvedTasks(Dispatch, Now), Key, *Task)) {
    Launch.IsPresumedLost = true;
    proposeEnd(Dispatch, Launch, EndKind::Lost, WallNow);
  }
}

void onOrderMissed(DispatchState &Dispatch, const CellState &State,
                   WorkerInstanceId Worker, WorkerSession &Session,
                   const OpenOrder &Order, OrderVerdict Verdict, Instant Now,
                   WallTime WallNow) {
  if (Session.ConsecutiveMisses == 0) {
    Session.SilentSince = Now;
    Session.HasBrokenOff = Now - Order.SentAt < Order.Timeout;
    Dispatch.Events.push_back(
        "event=worker-silent worker=" + workerName(State, Worker) +
        " cause=" + std::string{nameOf(Verdict)});
  }
  Session.ConsecutiveMisses += 1;
  Session.LastMissAt = Now;
  if (Session.UnverifiedSince == Instant{}) {
    Session.UnverifiedSince = Now;
  }
  Dispatch.LastMissAt = Now;
  Session.IsInstanceVerified = false;
  Session.NextRenewalAt =
      Session.ConsecutiveMisses == 1 ? Now : Now + RenewalRetryInterval;
  if (Session.ConsecutiveMisses == UnresponsiveAfterMisses) {
    for (const TaskKey &Key : Session.Tasks) {
      TaskLaunch &Launch = Dispatch.Launches.at(Key);
      if (Launch.Phase != LaunchPhase::Sending) {
        presumeLostIfSpeculative(Dispatch, State, Launch, Now, WallNow);
      }
    }
  }
  Dispatch.Counters.Unanswered += 1;
}

void onOrderAnswered(DispatchState &Dispatch, const CellState &State,
                     WorkerInstanceId Worker, WorkerSession &Session,
                     const OrderResult &Result, Instant Now) {
  Session.AnsweredAt = Now;
  if (Session.ConsecutiveMisses != 0) {
    Dispatch.Events.push_back("event=worker-answers worker=" +
                              workerName(State, Worker));
    Session.ConsecutiveMisses = 0;
    Dispatch.NeedsPlan = true;
  }
  if (!Result.Clock) {
    return;
  }
  if (Session.Clock &&
      *Result.Clock < Session.Clock->Clock - MaxAnswerReordering) {
    // The next instance of the worker answered an order that was meant for this
    // one, and may have accepted a lease of the maximum length.
    Session.LeaseEnd =
        std::max(Session.LeaseEnd,
                 Now + leaseBound(Dispatch.Options, Dispatch.Options.MaxLease));
  }
  Session.Clock = ClockSample{*Result.Clock, Now};
}

/// Marks a start that may be executed later or never, and sends a stop order.
void markUnacknowledged(DispatchState &Dispatch, const CellState &State,
                        TaskLaunch &Launch, Instant Now, WallTime WallNow) {
  Launch.Phase = LaunchPhase::Unacknowledged;
  Launch.PhaseSince = Now;
  presumeLostIfSpeculative(Dispatch, State, Launch, Now, WallNow);
  sendStop(Dispatch, State, Launch, "doubtful", Now);
}

void onStartResult(DispatchState &Dispatch, const CellState &State,
                   const OpenOrder &Order, const OrderResult &Result,
                   WorkerSession *Session, Instant Now, WallTime WallNow) {
  const auto LaunchIt = Dispatch.Launches.find(Order.Key);
  if (LaunchIt == Dispatch.Launches.end() ||
      LaunchIt->second.Assignment.Attempt != Order.Attempt) {
    return;
  }
  TaskLaunch &Launch = LaunchIt->second;
  if (Result.Verdict == OrderVerdict::Done) {
    if (Launch.Phase == LaunchPhase::Sending) {
      Launch.Phase = LaunchPhase::Confirmed;
      Launch.PhaseSince = Now;
      Launch.ProgressAt = Now;
      const JobTask *Task = findTask(State, Order.Key);
      if (Task != nullptr && Task->Checkpoint.empty()) {
        Launch.Baseline = ProgressSample{0, Now};
      }
    }
    return;
  }
  Dispatch.Events.push_back(
      "event=start-failed " +
      describeStart(nameTask(State, Order.Key), Order.Attempt) +
      " worker=" + workerName(State, Order.Worker) +
      " verdict=" + std::string{nameOf(Result.Verdict)} +
      " reason=" + std::string{nameOf(Result.Reason)} +
      " sent_bytes=" + std::to_string(Result.SentBytes));
  const bool MayBeExecuted =
      Result.Verdict == OrderVerdict::Unanswered ||
      (Result.Verdict == OrderVerdict::Refused &&
       (Result.Reason == RefusalReason::StaleAttempt ||
        Result.Reason == RefusalReason::StaleFencingToken));
  if (MayBeExecuted) {
    if (Launch.Phase != LaunchPhase::Unacknowledged) {
      markUnacknowledged(Dispatch, State, Launch, Now, WallNow);
    }
    return;
  }
  if (Result.Reason == RefusalReason::InvalidTicket) {
    const auto AdviceIt =
        Dispatch.Advice.find({Order.Key.Job, Order.Key.Run, Order.Key.Step});
    if (AdviceIt != Dispatch.Advice.end()) {
      AdviceIt->second.Admitted[Order.Worker].ExpiresAt = Instant{};
    }
  }
  if (Session != nullptr && Result.Reason == RefusalReason::Unhealthy) {
    Session->BackoffUntil = Now + UnhealthyBackoff;
  }
  proposeEnd(Dispatch, Launch, EndKind::Refused, WallNow);
}

void onOrphanStopped(WorkerSession &Session, const OpenOrder &Order,
                     const OrderResult &Result, Instant Now) {
  for (OrphanedStart &Orphan : Session.Orphans) {
    if (Orphan.Key != Order.Key || Orphan.Attempt != Order.Attempt) {
      continue;
    }
    Orphan.StopOrder = 0;
    if (Result.Verdict == OrderVerdict::Done) {
      Orphan.StopAckedAt = Now;
      Session.NeedsProbe = true;
    }
  }
}

/// Removes the orphans that are absent from a task list that was requested
/// after their stop was acknowledged.
void removeStoppedOrphans(WorkerSession &Session, const OrderResult &Result,
                          Instant ListRequestedAt) {
  std::erase_if(Session.Orphans, [&](const OrphanedStart &Orphan) {
    if (!Orphan.StopAckedAt || *Orphan.StopAckedAt >= ListRequestedAt) {
      return false;
    }
    return std::none_of(Result.Running.begin(), Result.Running.end(),
                        [&Orphan](const RunningTask &Running) {
                          return Running.Task == Orphan.Name &&
                                 Running.Attempt == Orphan.Attempt;
                        });
  });
}

void onStopResult(DispatchState &Dispatch, const OpenOrder &Order,
                  const OrderResult &Result, WorkerSession *Session,
                  Instant Now) {
  if (Session != nullptr) {
    onOrphanStopped(*Session, Order, Result, Now);
  }
  const auto LaunchIt = Dispatch.Launches.find(Order.Key);
  if (LaunchIt == Dispatch.Launches.end() ||
      LaunchIt->second.Assignment.Attempt != Order.Attempt) {
    return;
  }
  LaunchIt->second.StopOrder = 0;
  if (Result.Verdict == OrderVerdict::Done) {
    LaunchIt->second.StopAckedAt = Now;
    if (Session != nullptr &&
        LaunchIt->second.Phase == LaunchPhase::Unacknowledged) {
      Session->NeedsProbe = true;
    }
  }
}

void updateProgress(TaskLaunch &Launch, const RunningTask &Listed,
                    Instant Now) {
  if (Launch.ListedAt == Instant{}) {
    Launch.ListedAt = Now;
    Launch.ProgressAt = Now;
  }
  if (!Launch.Baseline) {
    Launch.Baseline = ProgressSample{std::min(Listed.Percent, 100U), Now};
  }
  if (Listed.Percent != Launch.ProgressPercent) {
    Launch.ProgressAt = Now;
  }
  Launch.ProgressPercent = Listed.Percent;
  Launch.Gauge = Listed.Gauge;
}

std::optional<TaskKey> keyOf(const CellState &State, const TaskName &Name) {
  const JobId Job = findJob(State, Name.Job);
  if (!Job.isSet()) {
    return std::nullopt;
  }
  return TaskKey{Job, Name.Run, Name.Step, Name.Task};
}

/// Updates the runtime ratio of a worker from a task that it has finished.
void updateRuntimeRatio(DispatchState &Dispatch, const CellState &State,
                        WorkerSession &Session, const TaskLaunch &Launch,
                        Instant Now) {
  const TaskKey &Key = Launch.Assignment.Key;
  const StepSpec &Spec = State.Jobs[Key.Job].Spec.Steps[Key.Step];
  const Millis RunTime = Now - Launch.StartedAt;
  const bool IsValidSample =
      RunTime >= MinSampleRuntime && !Launch.IsRecovered && !Spec.IsGang &&
      !Spec.IsLongRunning && Launch.Phase == LaunchPhase::Confirmed &&
      findTask(State, Key)->Checkpoint.empty();
  if (!IsValidSample) {
    return;
  }
  StepTimes &Peers = Dispatch.Times[{Key.Job, Key.Run, Key.Step}];
  if (Peers.Count >= MinSampleTasks) {
    const double Ratio = static_cast<double>(RunTime.count()) * Peers.Count /
                         static_cast<double>(Peers.Total.count());
    Session.RuntimeRatio += (Ratio - Session.RuntimeRatio) * RuntimeRatioGain;
    if (Ratio > SlowRatio) {
      Session.BackoffUntil = Now + SlowBackoff;
    }
  }
  Peers.Count += 1;
  Peers.Total += RunTime;
}

void updateFailureStreak(WorkerSession &Session, EndKind Kind, Instant Now) {
  if (Kind == EndKind::Done) {
    Session.FailureStreak = 0;
  } else if (Kind == EndKind::Failed) {
    Session.FailureStreak += 1;
    if (Session.FailureStreak >= FailureStreakLimit) {
      Session.BackoffUntil = Now + FailingBackoff;
    }
  }
}

void proposeReportedEnds(DispatchState &Dispatch, const CellState &State,
                         WorkerInstanceId Worker, WorkerSession &Session,
                         const OrderResult &Result, Instant Now,
                         WallTime WallNow) {
  RecordTaskEndsCommand Command;
  Command.Worker = Worker;
  Command.At = WallNow;
  for (const ReportedEnd &End : Result.Ends) {
    if (End.Number <= Session.EndsProposed) {
      continue;
    }
    Command.LastEnd = std::max(Command.LastEnd, End.Number);
    updateFailureStreak(Session, End.Kind, Now);
    const auto Key = keyOf(State, End.Task);
    if (!Key) {
      continue;
    }
    const auto LaunchIt = Dispatch.Launches.find(*Key);
    if (LaunchIt != Dispatch.Launches.end() &&
        LaunchIt->second.Assignment.Attempt == End.Attempt) {
      LaunchIt->second.IsEndProposed = true;
      if (End.Kind == EndKind::Done) {
        updateRuntimeRatio(Dispatch, State, Session, LaunchIt->second, Now);
      }
    }
    Command.Ends.push_back({*Key, End.Attempt, End.Kind, End.Checkpoint});
  }
  if (Command.LastEnd > Session.EndsProposed) {
    Session.EndsProposed = Command.LastEnd;
    Dispatch.Commands.emplace_back(std::move(Command));
  }
}

/// Reconciles a launch that is absent from a complete task list. A launch whose
/// phase began after the list was requested is left unchanged, as its start
/// order may have arrived after the list was made.
/// @param ListRequestedAt When the order that returned the list was sent.
void reconcileUnlisted(DispatchState &Dispatch, const CellState &State,
                       TaskLaunch &Launch, Instant ListRequestedAt, Instant Now,
                       WallTime WallNow) {
  if (Launch.IsEndProposed || Launch.PhaseSince >= ListRequestedAt) {
    return;
  }
  switch (Launch.Phase) {
  case LaunchPhase::Sending:
    if (ListRequestedAt - Launch.PhaseSince >= StartAnswerTimeout) {
      markUnacknowledged(Dispatch, State, Launch, Now, WallNow);
    }
    return;
  case LaunchPhase::Confirmed:
  case LaunchPhase::Recovered:
    proposeEnd(Dispatch, Launch, Launch.EndIfUnlisted, WallNow);
    return;
  case LaunchPhase::Unacknowledged:
    if (Launch.StopAckedAt && *Launch.StopAckedAt < ListRequestedAt) {
      proposeEnd(Dispatch, Launch, Launch.EndIfUnlisted, WallNow);
    } else if (!Launch.StopAckedAt) {
      sendStop(Dispatch, State, Launch, "doubtful", Now);
    }
    return;
  }
}

/// Notes a listed task that is not assigned to the worker, unless it counts as
/// an orphan already.
void noteUnknownTask(WorkerSession &Session, const CellState &State,
                     const RunningTask &Running) {
  const bool IsOrphan = std::any_of(
      Session.Orphans.begin(), Session.Orphans.end(),
      [&Running](const OrphanedStart &Orphan) {
        return Running.Task == Orphan.Name && Running.Attempt == Orphan.Attempt;
      });
  const Job *Owner = State.Jobs.find(findJob(State, Running.Task.Job));
  if (!IsOrphan && Owner != nullptr &&
      Running.Task.Step < Owner->Spec.Steps.size()) {
    Session.UnknownTasks.push_back(
        {Owner->Organisation, Owner->Spec.Steps[Running.Task.Step].Need});
  }
}

void onRenewResult(DispatchState &Dispatch, const CellState &State,
                   const OpenOrder &Order, const OrderResult &Result,
                   WorkerSession &Session, Instant Now, WallTime WallNow) {
  const WorkerInstance &Worker = State.Workers[Order.Worker];
  if (Result.StartTimeMs != 0 &&
      Result.StartTimeMs != Worker.Report.StartTimeMs) {
    // Another instance under the same name: its answers count only after it is
    // registered. It may be of another kind, so labels, rack, capacity and
    // drain state are those of its own first report.
    if (Result.StartTimeMs > Worker.Report.StartTimeMs) {
      WorkerReport Found;
      Found.Name = Worker.Report.Name;
      Found.StartTimeMs = Result.StartTimeMs;
      Found.Pool = Worker.Report.Pool;
      Found.Address = Worker.Report.Address;
      RegisterWorkerCommand Register =
          makeRegistration(Dispatch, State, Found, Now, WallNow);
      Register.IsUnannounced = true;
      Dispatch.Events.push_back(
          "event=worker-restarted worker=" + Worker.Report.Name +
          " found_by=renewal start=" + std::to_string(Result.StartTimeMs) +
          " former=" + std::to_string(Worker.Report.StartTimeMs));
      Dispatch.Commands.emplace_back(std::move(Register));
    }
    Session.IsInstanceVerified = false;
    Session.NextRenewalAt = Now + RenewalRetryInterval;
    return;
  }
  onFenceAccepted(Dispatch, Session, Now);
  Session.IsInstanceVerified = true;
  Session.UnverifiedSince = Instant{};
  Session.AreConnectionsVerified = true;
  Session.AckSent = std::max(Session.AckSent, Order.LastAckedEnd);
  ConfirmAttemptsCommand Confirm;
  std::set<TaskKey> Listed;
  bool HasUnknownTasks = false;
  Session.UnknownTasks.clear();
  for (const RunningTask &Running : Result.Running) {
    const auto Key = keyOf(State, Running.Task);
    const auto LaunchIt =
        Key ? Dispatch.Launches.find(*Key) : Dispatch.Launches.end();
    const bool IsAssigned =
        LaunchIt != Dispatch.Launches.end() &&
        LaunchIt->second.Assignment.Worker == Order.Worker &&
        LaunchIt->second.Assignment.Attempt == Running.Attempt;
    if (!IsAssigned) {
      HasUnknownTasks = true;
      noteUnknownTask(Session, State, Running);
      sendStopOfUnknownTask(Dispatch, Worker, Order.Worker, Running, Now);
      continue;
    }
    TaskLaunch &Launch = LaunchIt->second;
    Listed.insert(*Key);
    if (Launch.EndIfUnlisted != EndKind::Lost) {
      Launch.EndIfUnlisted = EndKind::Lost;
      Confirm.Attempts.push_back(Launch.Assignment);
    }
    if (Launch.Phase != LaunchPhase::Confirmed) {
      Launch.Phase = LaunchPhase::Confirmed;
      Launch.PhaseSince = Now;
    }
    updateProgress(Launch, Running, Now);
  }
  if (!Confirm.Attempts.empty()) {
    Dispatch.Commands.emplace_back(std::move(Confirm));
  }
  removeStoppedOrphans(Session, Result, Order.SentAt);
  proposeReportedEnds(Dispatch, State, Order.Worker, Session, Result, Now,
                      WallNow);
  if (!Result.HasMoreEnds) {
    for (const TaskKey &Key : std::set<TaskKey>{Session.Tasks}) {
      if (!Listed.contains(Key)) {
        reconcileUnlisted(Dispatch, State, Dispatch.Launches.at(Key),
                          Order.SentAt, Now, WallNow);
      }
    }
  }
  if (!Session.IsReconciled && !HasUnknownTasks) {
    Session.IsReconciled = true;
    Dispatch.NeedsPlan = true;
  } else if (HasUnknownTasks) {
    Session.IsReconciled = false;
    Session.NextRenewalAt = Now + RenewalRetryInterval;
  }
}

/// After an order that failed, a later review sets the pace again.
void onPaceResult(DispatchState &Dispatch, const OpenOrder &Order,
                  const OrderResult &Result, Instant Now) {
  const auto LaunchIt = Dispatch.Launches.find(Order.Key);
  if (LaunchIt == Dispatch.Launches.end() ||
      LaunchIt->second.Assignment.Attempt != Order.Attempt ||
      Result.Verdict == OrderVerdict::Done) {
    return;
  }
  LaunchIt->second.IsPaceKnown = false;
  if (Result.Verdict == OrderVerdict::Unanswered) {
    LaunchIt->second.PaceDoubtfulUntil = Now + Dispatch.Options.MaxOrderDelay;
  }
}
} // namespace

void onOrderResult(DispatchState &Dispatch, const CellState &State,
                   const OrderResult &Result, Instant Now, WallTime WallNow) {
  const auto OrderIt = Dispatch.UnansweredOrders.find(Result.Id);
  if (OrderIt == Dispatch.UnansweredOrders.end()) {
    return;
  }
  const OpenOrder Order = OrderIt->second;
  Dispatch.UnansweredOrders.erase(OrderIt);
  Dispatch.TouchedWorkers.insert(Order.Worker);
  const auto SessionIt = Dispatch.Sessions.find(Order.Worker);
  WorkerSession *Session =
      SessionIt == Dispatch.Sessions.end() ? nullptr : &SessionIt->second;
  if (Session != nullptr) {
    if (Session->RenewalOrder == Result.Id) {
      Session->RenewalOrder = 0;
    }
    if (Session->ProbeOrder == Result.Id) {
      Session->ProbeOrder = 0;
    }
    if (Order.Kind != WorkerOrderKind::Renew) {
      Session->OpenTaskOrders -= 1;
      Session->AreConnectionsVerified =
          Session->AreConnectionsVerified && !Result.IsNewConnection;
    }
    const bool HadNoOpenConnection =
        Order.Kind == WorkerOrderKind::Renew &&
        (Order.HasLease || Order.LastAckedEnd != 0) &&
        Result.Verdict == OrderVerdict::Unsent;
    if (HadNoOpenConnection) {
      Session->IsInstanceVerified = false;
      Session->NextRenewalAt = Now;
    } else if (Result.Verdict == OrderVerdict::Done ||
               Result.Verdict == OrderVerdict::Refused) {
      onOrderAnswered(Dispatch, State, Order.Worker, *Session, Result, Now);
    } else {
      // A single order may get lost; a probe shows whether the worker is
      // unresponsive.
      Session->NeedsProbe = Order.Kind != WorkerOrderKind::Renew;
      onOrderMissed(Dispatch, State, Order.Worker, *Session, Order,
                    Result.Verdict, Now, WallNow);
    }
  }
  switch (Order.Kind) {
  case WorkerOrderKind::Start:
    onStartResult(Dispatch, State, Order, Result, Session, Now, WallNow);
    break;
  case WorkerOrderKind::Stop:
    onStopResult(Dispatch, Order, Result, Session, Now);
    break;
  case WorkerOrderKind::Renew:
    if (Session == nullptr || State.Workers.find(Order.Worker) == nullptr) {
      break;
    }
    if (Result.Verdict == OrderVerdict::Done) {
      onRenewResult(Dispatch, State, Order, Result, *Session, Now, WallNow);
    } else if (Result.Verdict == OrderVerdict::Refused) {
      Session->NextRenewalAt = Now + RenewalRetryInterval;
    }
    break;
  case WorkerOrderKind::Pace:
    onPaceResult(Dispatch, Order, Result, Now);
    break;
  }
}

} // namespace mulberryramp
