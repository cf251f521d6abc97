#include "mulberryramp/cell/answers.hpp"

#include "mulberryramp/cell/orders.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

namespace {

/// Misses in a row that make a worker silent, so that copies are run elsewhere.
constexpr std::uint32_t UnresponsiveAfterMisses = 2;
/// Answers overtake each other by less than this.
constexpr std::int64_t ClockSetBack = 1000;
/// How long a worker that refused as unhealthy is left alone.
constexpr Millis UnhealthyBackoff{2000};
/// How long a worker that fails start after start is left alone.
constexpr Millis FailingBackoff{6000};
/// Failed starts in a row that make a worker suspect.
constexpr std::uint32_t FailureStreakLimit = 3;
/// Shorter run times are mostly the way there and back.
constexpr Millis MinSampleRuntime{300};
/// Like tasks that a run time is compared with, at least.
constexpr std::uint32_t MinSampleTasks = 2;
/// Weight of the last run time in the average.
constexpr double RuntimeRatioGain = 0.3;
/// A run this many times as long as like ones makes a worker suspect.
constexpr double SlowRatio = 3.5;
constexpr Millis SlowBackoff{2500};

/// A step that may run copies does not wait for the end of a doubtful start.
/// The worker is not used until its lists show that nothing is left of it.
void presumeLostIfCopyable(DispatchState &Dispatch, const CellState &State,
                           TaskLaunch &Launch, WallTime WallNow) {
  const Job *Owner = State.Jobs.find(Launch.Assignment.Key.Job);
  if (Owner != nullptr &&
      Owner->Spec.Steps[Launch.Assignment.Key.Step].IsSpeculative) {
    Launch.IsPresumedLost = true;
    proposeEnd(Dispatch, Launch, EndKind::Lost, WallNow);
  }
}

void onOrderMissed(DispatchState &Dispatch, const CellState &State,
                   WorkerInstanceId Worker, WorkerSession &Session,
                   OrderVerdict Verdict, Instant Now, WallTime WallNow) {
  if (Session.ConsecutiveMisses == 0) {
    Dispatch.Events.push_back(
        "event=worker-silent worker=" + workerName(State, Worker) +
        " cause=" + std::string{nameOf(Verdict)});
  }
  Session.ConsecutiveMisses += 1;
  Session.LastMissAt = Now;
  Dispatch.LastMissAt = Now;
  Session.IsInstanceVerified = false;
  Session.NextRenewalAt =
      Session.ConsecutiveMisses == 1 ? Now : Now + RenewalRetryInterval;
  if (Session.ConsecutiveMisses == UnresponsiveAfterMisses) {
    for (const TaskKey &Key : Session.Tasks) {
      TaskLaunch &Launch = Dispatch.Launches.at(Key);
      if (Launch.Phase != LaunchPhase::Sending) {
        presumeLostIfCopyable(Dispatch, State, Launch, WallNow);
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
  if (Session.Clock && *Result.Clock < Session.Clock->Clock - ClockSetBack) {
    // The next life of the worker answered an order that was meant for this
    // one, and may have granted it all that it grants.
    Session.LeaseEnd =
        std::max(Session.LeaseEnd,
                 Now + leaseBound(Dispatch.Options, Dispatch.Options.MaxLease));
  }
  Session.Clock = ClockSample{*Result.Clock, Now};
}

/// Takes a start for one that may be carried out later, or never.
void markUnacknowledged(DispatchState &Dispatch, const CellState &State,
                        TaskLaunch &Launch, Instant Now, WallTime WallNow) {
  Launch.Phase = LaunchPhase::Unacknowledged;
  Launch.PhaseSince = Now;
  presumeLostIfCopyable(Dispatch, State, Launch, WallNow);
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
    }
    return;
  }
  Dispatch.Events.push_back(
      "event=start-failed " +
      describeStart(nameTask(State, Order.Key), Order.Attempt) +
      " worker=" + workerName(State, Order.Worker) +
      " verdict=" + std::string{nameOf(Result.Verdict)} +
      " reason=" + std::string{nameOf(Result.Reason)});
  const bool IsOpen = Result.Verdict == OrderVerdict::Unanswered ||
                      (Result.Verdict == OrderVerdict::Refused &&
                       (Result.Reason == RefusalReason::StaleAttempt ||
                        Result.Reason == RefusalReason::StaleFencingToken));
  if (IsOpen) {
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
  for (OrphanedStart &Left : Session.Orphans) {
    if (Left.Key != Order.Key || Left.Attempt != Order.Attempt) {
      continue;
    }
    Left.StopOrder = 0;
    if (Result.Verdict == OrderVerdict::Done) {
      Left.StopAckedAt = Now;
      Session.NeedsProbe = true;
    }
  }
}

/// Forgets what a list that was made after its stop does not show.
void removeStoppedOrphans(WorkerSession &Session, const OrderResult &Result,
                          Instant RenewalSentAt) {
  std::erase_if(Session.Orphans, [&](const OrphanedStart &Left) {
    if (!Left.StopAckedAt || *Left.StopAckedAt >= RenewalSentAt) {
      return false;
    }
    return std::none_of(Result.Running.begin(), Result.Running.end(),
                        [&Left](const RunningTask &Running) {
                          return Running.Task == Left.Name &&
                                 Running.Attempt == Left.Attempt;
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
  if (Listed.Percent != Launch.Percent) {
    Launch.ProgressAt = Now;
  }
  Launch.Percent = Listed.Percent;
  Launch.Gauge = Listed.Gauge;
}

std::optional<TaskKey> keyOf(const CellState &State, const TaskName &Name) {
  const JobId Job = findJob(State, Name.Job);
  if (!Job.isSet()) {
    return std::nullopt;
  }
  return TaskKey{Job, Name.Run, Name.Step, Name.Task};
}

/// Learns how fast a worker is from a task that it has done.
void updateRuntimeRatio(DispatchState &Dispatch, const CellState &State,
                        WorkerSession &Session, const TaskLaunch &Launch,
                        Instant Now) {
  const TaskKey &Key = Launch.Assignment.Key;
  const StepSpec &Spec = State.Jobs[Key.Job].Spec.Steps[Key.Step];
  const Millis Took = Now - Launch.StartedAt;
  const bool IsValidSample = Took >= MinSampleRuntime && !Spec.IsGang &&
                             !Spec.IsLongRunning &&
                             Launch.Phase == LaunchPhase::Confirmed &&
                             findTask(State, Key)->Checkpoint.empty();
  if (!IsValidSample) {
    return;
  }
  StepTimes &Others = Dispatch.Times[{Key.Job, Key.Run, Key.Step}];
  if (Others.Count >= MinSampleTasks) {
    const double Ratio = static_cast<double>(Took.count()) * Others.Count /
                         static_cast<double>(Others.Total.count());
    Session.RuntimeRatio += (Ratio - Session.RuntimeRatio) * RuntimeRatioGain;
    if (Ratio > SlowRatio) {
      Session.BackoffUntil = Now + SlowBackoff;
    }
  }
  Others.Count += 1;
  Others.Total += Took;
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

void proposeListedEnds(DispatchState &Dispatch, const CellState &State,
                       WorkerInstanceId Worker, WorkerSession &Session,
                       const OrderResult &Result, Instant Now,
                       WallTime WallNow) {
  RecordTaskEndsCommand Command;
  Command.Worker = Worker;
  Command.At = WallNow;
  for (const ReportedEnd &End : Result.Ended) {
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

/// Settles a start that a complete list does not show. The list tells nothing
/// of a start whose order may have arrived after it was made.
void reconcileUnlisted(DispatchState &Dispatch, const CellState &State,
                       TaskLaunch &Launch, Instant RenewalSentAt, Instant Now,
                       WallTime WallNow) {
  if (Launch.IsEndProposed || Launch.PhaseSince >= RenewalSentAt) {
    return;
  }
  switch (Launch.Phase) {
  case LaunchPhase::Sending:
    if (RenewalSentAt - Launch.PhaseSince >= StartAnswerTimeout) {
      markUnacknowledged(Dispatch, State, Launch, Now, WallNow);
    }
    return;
  case LaunchPhase::Confirmed:
  case LaunchPhase::Recovered:
    proposeEnd(Dispatch, Launch, EndKind::Lost, WallNow);
    return;
  case LaunchPhase::Unacknowledged:
    if (Launch.StopAckedAt && *Launch.StopAckedAt < RenewalSentAt) {
      proposeEnd(Dispatch, Launch, EndKind::Lost, WallNow);
    } else if (!Launch.StopAckedAt) {
      sendStop(Dispatch, State, Launch, "doubtful", Now);
    }
    return;
  }
}

void onRenewResult(DispatchState &Dispatch, const CellState &State,
                   const OpenOrder &Order, const OrderResult &Result,
                   WorkerSession &Session, Instant Now, WallTime WallNow) {
  const WorkerInstance &Worker = State.Workers[Order.Worker];
  if (Result.StartTimeMs != 0 &&
      Result.StartTimeMs != Worker.Report.StartTimeMs) {
    // Another life under the same name: it has to join before it is believed.
    if (Result.StartTimeMs > Worker.Report.StartTimeMs) {
      RegisterWorkerCommand Join{Worker.Report};
      Join.Report.StartTimeMs = Result.StartTimeMs;
      Dispatch.Commands.emplace_back(std::move(Join));
    }
    Session.IsInstanceVerified = false;
    Session.NextRenewalAt = Now + RenewalRetryInterval;
    return;
  }
  Session.IsInstanceVerified = true;
  Session.AckSent = std::max(Session.AckSent, Order.LastAckedEnd);
  std::set<TaskKey> Listed;
  bool HasUnknownTasks = false;
  for (const RunningTask &Running : Result.Running) {
    const auto Key = keyOf(State, Running.Task);
    const auto LaunchIt =
        Key ? Dispatch.Launches.find(*Key) : Dispatch.Launches.end();
    const bool IsOurs = LaunchIt != Dispatch.Launches.end() &&
                        LaunchIt->second.Assignment.Worker == Order.Worker &&
                        LaunchIt->second.Assignment.Attempt == Running.Attempt;
    if (!IsOurs) {
      HasUnknownTasks = true;
      sendStopOfUnknownTask(Dispatch, Worker, Order.Worker, Running, Now);
      continue;
    }
    TaskLaunch &Launch = LaunchIt->second;
    Listed.insert(*Key);
    if (Launch.Phase != LaunchPhase::Confirmed) {
      Launch.Phase = LaunchPhase::Confirmed;
      Launch.PhaseSince = Now;
    }
    updateProgress(Launch, Running, Now);
  }
  removeStoppedOrphans(Session, Result, Order.SentAt);
  proposeListedEnds(Dispatch, State, Order.Worker, Session, Result, Now,
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
} // namespace

void onOrderResult(DispatchState &Dispatch, const CellState &State,
                   const OrderResult &Result, Instant Now, WallTime WallNow) {
  const auto Found = Dispatch.UnansweredOrders.find(Result.Id);
  if (Found == Dispatch.UnansweredOrders.end()) {
    return;
  }
  const OpenOrder Order = Found->second;
  Dispatch.UnansweredOrders.erase(Found);
  Dispatch.TouchedWorkers.insert(Order.Worker);
  const auto Life = Dispatch.Sessions.find(Order.Worker);
  WorkerSession *Session =
      Life == Dispatch.Sessions.end() ? nullptr : &Life->second;
  if (Session != nullptr) {
    if (Session->RenewalOrder == Result.Id) {
      Session->RenewalOrder = 0;
    }
    if (Session->ProbeOrder == Result.Id) {
      Session->ProbeOrder = 0;
    }
    const bool HadNoConnection = Order.Kind == WorkerOrderKind::Renew &&
                                 (Order.HasLease || Order.LastAckedEnd != 0) &&
                                 Result.Verdict == OrderVerdict::Unsent;
    if (HadNoConnection) {
      Session->IsInstanceVerified = false;
      Session->NextRenewalAt = Now;
    } else if (Result.Verdict == OrderVerdict::Done ||
               Result.Verdict == OrderVerdict::Refused) {
      onOrderAnswered(Dispatch, State, Order.Worker, *Session, Result, Now);
    } else {
      // One order may get lost; a look tells whether the worker is silent.
      Session->NeedsProbe = Order.Kind != WorkerOrderKind::Renew;
      onOrderMissed(Dispatch, State, Order.Worker, *Session, Result.Verdict,
                    Now, WallNow);
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
    if (const auto Paced = Dispatch.Launches.find(Order.Key);
        Paced != Dispatch.Launches.end() &&
        Result.Verdict != OrderVerdict::Done) {
      Paced->second.PacePercent = 100; // Tried again by the next review.
    }
    break;
  }
}

} // namespace mulberryramp
