#include "mulberryramp/cell/answers.hpp"

#include "mulberryramp/cell/orders.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

namespace {

/// Misses in a row that make a worker silent, so that copies are run elsewhere.
constexpr std::uint32_t SilentAfterMisses = 2;
/// Answers overtake each other by less than this.
constexpr std::int64_t ClockSetBack = 1000;
/// How long a worker that refused as unhealthy is left alone.
constexpr Millis UnhealthyFor{2000};
/// How long a worker that fails start after start is left alone.
constexpr Millis FailingFor{6000};
/// Failed starts in a row that make a worker suspect.
constexpr std::uint32_t FailureStreakLimit = 3;
/// Shorter run times are mostly the way there and back.
constexpr Millis LeastTellingRun{300};
/// Like tasks that a run time is compared with, at least.
constexpr std::uint32_t LeastTellingTasks = 2;
/// Weight of the last run time in the average.
constexpr double SlownessGain = 0.3;
/// A run this many times as long as like ones makes a worker suspect.
constexpr double SlowRatio = 3.5;
constexpr Millis SlowFor{2500};

/// A step that may run copies does not wait for the end of a doubtful start.
/// The worker is not used until its lists show that nothing is left of it.
void giveUpCopy(Dispatcher &Lead, const CellState &State, Launch &Item,
                WallTime Wall) {
  const Job *Owner = State.Jobs.find(Item.Item.Key.Job);
  if (Owner != nullptr && Owner->Spec.Steps[Item.Item.Key.Step].MayRunCopies) {
    Item.IsGivenUp = true;
    proposeEnd(Lead, Item, EndKind::Lost, Wall);
  }
}

void noteMiss(Dispatcher &Lead, const CellState &State, LifeId Worker,
              WorkerSession &Session, OrderVerdict Verdict, Instant Now,
              WallTime Wall) {
  if (Session.Misses == 0) {
    Lead.Events.push_back(
        "event=worker-silent worker=" + workerName(State, Worker) +
        " cause=" + std::string{nameOf(Verdict)});
  }
  Session.Misses += 1;
  Session.LostAt = Now;
  Lead.LostAt = Now;
  Session.IsVerified = false;
  Session.NextHoldAt = Session.Misses == 1 ? Now : Now + HoldRetryEvery;
  if (Session.Misses == SilentAfterMisses) {
    for (const TaskKey &Key : Session.Tasks) {
      Launch &Item = Lead.Launches.at(Key);
      if (Item.Phase != LaunchPhase::Sending) {
        giveUpCopy(Lead, State, Item, Wall);
      }
    }
  }
  Lead.Counters.Unanswered += 1;
}

void noteAnswer(Dispatcher &Lead, const CellState &State, LifeId Worker,
                WorkerSession &Session, const OrderResult &Result,
                Instant Now) {
  Session.AnsweredAt = Now;
  if (Session.Misses != 0) {
    Lead.Events.push_back("event=worker-answers worker=" +
                          workerName(State, Worker));
    Session.Misses = 0;
    Lead.IsDirty = true;
  }
  if (!Result.Clock) {
    return;
  }
  if (Session.Clock && *Result.Clock < Session.Clock->Clock - ClockSetBack) {
    // The next life of the worker answered an order that was meant for this
    // one, and may have granted it all that it grants.
    Session.LeaseEnd =
        std::max(Session.LeaseEnd,
                 Now + leaseBound(Lead.Options, Lead.Options.MaxLease));
  }
  Session.Clock = ClockSample{*Result.Clock, Now};
}

/// Takes a start for one that may be carried out later, or never.
void doubtStart(Dispatcher &Lead, const CellState &State, Launch &Item,
                Instant Now, WallTime Wall) {
  Item.Phase = LaunchPhase::Doubtful;
  Item.Since = Now;
  giveUpCopy(Lead, State, Item, Wall);
  sendStop(Lead, State, Item, "doubtful", Now);
}

void noteStartResult(Dispatcher &Lead, const CellState &State,
                     const OpenOrder &Order, const OrderResult &Result,
                     WorkerSession *Session, Instant Now, WallTime Wall) {
  const auto Found = Lead.Launches.find(Order.Key);
  if (Found == Lead.Launches.end() ||
      Found->second.Item.Attempt != Order.Attempt) {
    return;
  }
  Launch &Item = Found->second;
  if (Result.Verdict == OrderVerdict::Done) {
    if (Item.Phase == LaunchPhase::Sending) {
      Item.Phase = LaunchPhase::Confirmed;
      Item.Since = Now;
      Item.ProgressAt = Now;
    }
    return;
  }
  Lead.Events.push_back(
      "event=start-failed " +
      describeStart(nameTask(State, Order.Key), Order.Attempt) +
      " worker=" + workerName(State, Order.Worker) +
      " verdict=" + std::string{nameOf(Result.Verdict)} +
      " reason=" + std::string{nameOf(Result.Reason)});
  const bool IsOpen = Result.Verdict == OrderVerdict::Unanswered ||
                      (Result.Verdict == OrderVerdict::Refused &&
                       (Result.Reason == RefusalReason::Old ||
                        Result.Reason == RefusalReason::Fence));
  if (IsOpen) {
    if (Item.Phase != LaunchPhase::Doubtful) {
      doubtStart(Lead, State, Item, Now, Wall);
    }
    return;
  }
  if (Result.Reason == RefusalReason::Ticket) {
    const auto Known =
        Lead.Advice.find({Order.Key.Job, Order.Key.Run, Order.Key.Step});
    if (Known != Lead.Advice.end()) {
      Known->second.Admitted[Order.Worker].GoodUntil = Instant{};
    }
  }
  if (Session != nullptr && Result.Reason == RefusalReason::Unhealthy) {
    Session->AvoidUntil = Now + UnhealthyFor;
  }
  proposeEnd(Lead, Item, EndKind::Refused, Wall);
}

void noteAbandonedStopped(WorkerSession &Session, const OpenOrder &Order,
                          const OrderResult &Result, Instant Now) {
  for (AbandonedStart &Left : Session.Abandoned) {
    if (Left.Key != Order.Key || Left.Attempt != Order.Attempt) {
      continue;
    }
    Left.StopOrder = 0;
    if (Result.Verdict == OrderVerdict::Done) {
      Left.StopAckedAt = Now;
      Session.WantsLook = true;
    }
  }
}

/// Forgets what a list that was made after its stop does not show.
void forgetAbandoned(WorkerSession &Session, const OrderResult &Result,
                     Instant HoldSentAt) {
  std::erase_if(Session.Abandoned, [&](const AbandonedStart &Left) {
    if (!Left.StopAckedAt || *Left.StopAckedAt >= HoldSentAt) {
      return false;
    }
    return std::none_of(Result.Running.begin(), Result.Running.end(),
                        [&Left](const RunningTask &Running) {
                          return Running.Task == Left.Name &&
                                 Running.Attempt == Left.Attempt;
                        });
  });
}

void noteStopResult(Dispatcher &Lead, const OpenOrder &Order,
                    const OrderResult &Result, WorkerSession *Session,
                    Instant Now) {
  if (Session != nullptr) {
    noteAbandonedStopped(*Session, Order, Result, Now);
  }
  const auto Found = Lead.Launches.find(Order.Key);
  if (Found == Lead.Launches.end() ||
      Found->second.Item.Attempt != Order.Attempt) {
    return;
  }
  Found->second.StopOrder = 0;
  if (Result.Verdict == OrderVerdict::Done) {
    Found->second.StopAckedAt = Now;
    if (Session != nullptr && Found->second.Phase == LaunchPhase::Doubtful) {
      Session->WantsLook = true;
    }
  }
}

void noteProgress(Launch &Item, const RunningTask &Listed, Instant Now) {
  if (Item.ListedAt == Instant{}) {
    Item.ListedAt = Now;
    Item.ProgressAt = Now;
  }
  if (Listed.Percent != Item.Percent) {
    Item.ProgressAt = Now;
  }
  Item.Percent = Listed.Percent;
  Item.Gauge = Listed.Gauge;
}

std::optional<TaskKey> keyOf(const CellState &State, const TaskName &Name) {
  const JobId Job = findJob(State, Name.Job);
  if (!Job.isSet()) {
    return std::nullopt;
  }
  return TaskKey{Job, Name.Run, Name.Step, Name.Task};
}

/// Learns how fast a worker is from a task that it has done.
void noteRunTime(Dispatcher &Lead, const CellState &State,
                 WorkerSession &Session, const Launch &Item, Instant Now) {
  const TaskKey &Key = Item.Item.Key;
  const StepSpec &Spec = State.Jobs[Key.Job].Spec.Steps[Key.Step];
  const Millis Took = Now - Item.StartedAt;
  const bool IsTelling = Took >= LeastTellingRun && !Spec.IsGang &&
                         !Spec.IsLasting &&
                         Item.Phase == LaunchPhase::Confirmed &&
                         findTask(State, Key)->Saved.empty();
  if (!IsTelling) {
    return;
  }
  StepTimes &Others = Lead.Times[{Key.Job, Key.Run, Key.Step}];
  if (Others.Count >= LeastTellingTasks) {
    const double Ratio = static_cast<double>(Took.count()) * Others.Count /
                         static_cast<double>(Others.Total.count());
    Session.Slowness += (Ratio - Session.Slowness) * SlownessGain;
    if (Ratio > SlowRatio) {
      Session.AvoidUntil = Now + SlowFor;
    }
  }
  Others.Count += 1;
  Others.Total += Took;
}

void noteWorkerEnd(WorkerSession &Session, EndKind Kind, Instant Now) {
  if (Kind == EndKind::Done) {
    Session.FailureStreak = 0;
  } else if (Kind == EndKind::Failed) {
    Session.FailureStreak += 1;
    if (Session.FailureStreak >= FailureStreakLimit) {
      Session.AvoidUntil = Now + FailingFor;
    }
  }
}

void proposeListedEnds(Dispatcher &Lead, const CellState &State, LifeId Worker,
                       WorkerSession &Session, const OrderResult &Result,
                       Instant Now, WallTime Wall) {
  EndsCommand Command;
  Command.Worker = Worker;
  Command.At = Wall;
  for (const ListedEnd &End : Result.Ended) {
    if (End.Number <= Session.EndsProposed) {
      continue;
    }
    Command.UpTo = std::max(Command.UpTo, End.Number);
    noteWorkerEnd(Session, End.Kind, Now);
    const auto Key = keyOf(State, End.Task);
    if (!Key) {
      continue;
    }
    const auto Found = Lead.Launches.find(*Key);
    if (Found != Lead.Launches.end() &&
        Found->second.Item.Attempt == End.Attempt) {
      Found->second.IsEndProposed = true;
      if (End.Kind == EndKind::Done) {
        noteRunTime(Lead, State, Session, Found->second, Now);
      }
    }
    Command.Ends.push_back({*Key, End.Attempt, End.Kind, End.Saved});
  }
  if (Command.UpTo > Session.EndsProposed) {
    Session.EndsProposed = Command.UpTo;
    Lead.Commands.emplace_back(std::move(Command));
  }
}

/// Settles a start that a complete list does not show. The list tells nothing
/// of a start whose order may have arrived after it was made.
void settleUnlisted(Dispatcher &Lead, const CellState &State, Launch &Item,
                    Instant HoldSentAt, Instant Now, WallTime Wall) {
  if (Item.IsEndProposed || Item.Since >= HoldSentAt) {
    return;
  }
  switch (Item.Phase) {
  case LaunchPhase::Sending:
    if (HoldSentAt - Item.Since >= StartPatience) {
      doubtStart(Lead, State, Item, Now, Wall);
    }
    return;
  case LaunchPhase::Confirmed:
  case LaunchPhase::Inherited:
    proposeEnd(Lead, Item, EndKind::Lost, Wall);
    return;
  case LaunchPhase::Doubtful:
    if (Item.StopAckedAt && *Item.StopAckedAt < HoldSentAt) {
      proposeEnd(Lead, Item, EndKind::Lost, Wall);
    } else if (!Item.StopAckedAt) {
      sendStop(Lead, State, Item, "doubtful", Now);
    }
    return;
  }
}

void noteHoldResult(Dispatcher &Lead, const CellState &State,
                    const OpenOrder &Order, const OrderResult &Result,
                    WorkerSession &Session, Instant Now, WallTime Wall) {
  const WorkerLife &Worker = State.Workers[Order.Worker];
  if (Result.Born != 0 && Result.Born != Worker.Report.Born) {
    // Another life under the same name: it has to join before it is believed.
    if (Result.Born > Worker.Report.Born) {
      WorkerJoinCommand Join{Worker.Report};
      Join.Report.Born = Result.Born;
      Lead.Commands.emplace_back(std::move(Join));
    }
    Session.IsVerified = false;
    Session.NextHoldAt = Now + HoldRetryEvery;
    return;
  }
  Session.IsVerified = true;
  Session.AckSent = std::max(Session.AckSent, Order.AckedEnds);
  std::set<TaskKey> Listed;
  bool HasStrangers = false;
  for (const RunningTask &Running : Result.Running) {
    const auto Key = keyOf(State, Running.Task);
    const auto Found = Key ? Lead.Launches.find(*Key) : Lead.Launches.end();
    const bool IsOurs = Found != Lead.Launches.end() &&
                        Found->second.Item.Worker == Order.Worker &&
                        Found->second.Item.Attempt == Running.Attempt;
    if (!IsOurs) {
      HasStrangers = true;
      sendStopOfUnknown(Lead, Worker, Order.Worker, Running, Now);
      continue;
    }
    Launch &Item = Found->second;
    Listed.insert(*Key);
    if (Item.Phase != LaunchPhase::Confirmed) {
      Item.Phase = LaunchPhase::Confirmed;
      Item.Since = Now;
    }
    noteProgress(Item, Running, Now);
  }
  forgetAbandoned(Session, Result, Order.SentAt);
  proposeListedEnds(Lead, State, Order.Worker, Session, Result, Now, Wall);
  if (!Result.HasMoreEnds) {
    for (const TaskKey &Key : std::set<TaskKey>{Session.Tasks}) {
      if (!Listed.contains(Key)) {
        settleUnlisted(Lead, State, Lead.Launches.at(Key), Order.SentAt, Now,
                       Wall);
      }
    }
  }
  if (!Session.IsSettled && !HasStrangers) {
    Session.IsSettled = true;
    Lead.IsDirty = true;
  } else if (HasStrangers) {
    Session.IsSettled = false;
    Session.NextHoldAt = Now + HoldRetryEvery;
  }
}
} // namespace

void noteOrderResult(Dispatcher &Lead, const CellState &State,
                     const OrderResult &Result, Instant Now, WallTime Wall) {
  const auto Found = Lead.Sent.find(Result.Id);
  if (Found == Lead.Sent.end()) {
    return;
  }
  const OpenOrder Order = Found->second;
  Lead.Sent.erase(Found);
  Lead.Touched.insert(Order.Worker);
  const auto Life = Lead.Sessions.find(Order.Worker);
  WorkerSession *Session =
      Life == Lead.Sessions.end() ? nullptr : &Life->second;
  if (Session != nullptr) {
    if (Session->HoldOrder == Result.Id) {
      Session->HoldOrder = 0;
    }
    if (Session->LookOrder == Result.Id) {
      Session->LookOrder = 0;
    }
    const bool HadNoConnection = Order.Kind == WorkerOrderKind::Hold &&
                                 (Order.HasLease || Order.AckedEnds != 0) &&
                                 Result.Verdict == OrderVerdict::Unsent;
    if (HadNoConnection) {
      Session->IsVerified = false;
      Session->NextHoldAt = Now;
    } else if (Result.Verdict == OrderVerdict::Done ||
               Result.Verdict == OrderVerdict::Refused) {
      noteAnswer(Lead, State, Order.Worker, *Session, Result, Now);
    } else {
      // One order may get lost; a look tells whether the worker is silent.
      Session->WantsLook = Order.Kind != WorkerOrderKind::Hold;
      noteMiss(Lead, State, Order.Worker, *Session, Result.Verdict, Now, Wall);
    }
  }
  switch (Order.Kind) {
  case WorkerOrderKind::Start:
    noteStartResult(Lead, State, Order, Result, Session, Now, Wall);
    break;
  case WorkerOrderKind::Stop:
    noteStopResult(Lead, Order, Result, Session, Now);
    break;
  case WorkerOrderKind::Hold:
    if (Session == nullptr || State.Workers.find(Order.Worker) == nullptr) {
      break;
    }
    if (Result.Verdict == OrderVerdict::Done) {
      noteHoldResult(Lead, State, Order, Result, *Session, Now, Wall);
    } else if (Result.Verdict == OrderVerdict::Refused) {
      Session->NextHoldAt = Now + HoldRetryEvery;
    }
    break;
  case WorkerOrderKind::Pace:
    if (const auto Paced = Lead.Launches.find(Order.Key);
        Paced != Lead.Launches.end() && Result.Verdict != OrderVerdict::Done) {
      Paced->second.Pace = 100; // Tried again by the next review.
    }
    break;
  }
}

} // namespace mulberryramp
