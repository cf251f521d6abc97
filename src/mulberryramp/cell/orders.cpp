#include "mulberryramp/cell/orders.hpp"

#include "mulberryramp/cell/leases.hpp"
#include "mulberryramp/cell/trials.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

namespace {

/// Time for the answer of a renewal beyond its wait.
constexpr Millis RenewalGrace{400};
/// Wait of a renewal while a service exceeds its tail latency limit.
constexpr Millis ViolationRenewalWait{400};
/// A short lease is renewed this often, so that a lost renewal does not end it.
constexpr int MinRenewalsPerLease = 5;
/// A renewal is delayed at most this long for the commit of the ends that it
/// acknowledges.
constexpr Millis AckDelayLimit{400};
/// Interval of stop orders for an attempt that still runs.
constexpr Millis StopRetryInterval{1500};

WorkerOrder makeOrder(DispatchState &Dispatch, const WorkerInstance &Worker,
                      WorkerOrderKind Kind) {
  WorkerOrder Order;
  Order.Id = Dispatch.NextId;
  Dispatch.NextId += 1;
  Order.Kind = Kind;
  Order.Address = Worker.Report.Address;
  Order.Worker = Worker.Report.Name;
  Order.FencingToken = fencingTokenOf(Dispatch.FencingToken, Worker);
  Order.Timeout = OrderAnswerTimeout;
  return Order;
}

/// Builds an order about one attempt.
WorkerOrder makeTaskOrder(DispatchState &Dispatch, const WorkerInstance &Worker,
                          WorkerOrderKind Kind, TaskName Task,
                          std::uint32_t Attempt) {
  WorkerOrder Order = makeOrder(Dispatch, Worker, Kind);
  Order.Task = std::move(Task);
  Order.Attempt = Attempt;
  return Order;
}

/// Queues an order for sending.
/// @param Open Context that the handler of the answer needs.
void send(DispatchState &Dispatch, WorkerOrder Order, OpenOrder Open,
          WorkerInstanceId Worker, Instant Now) {
  Open.Worker = Worker;
  Open.SentAt = Now;
  Open.Timeout = Order.Timeout;
  Open.Kind = Order.Kind;
  Open.Attempt = Order.Attempt;
  const auto SessionIt = Dispatch.Sessions.find(Worker);
  if (SessionIt != Dispatch.Sessions.end() &&
      Order.Kind != WorkerOrderKind::Renew) {
    SessionIt->second.OpenTaskOrders += 1;
  }
  Dispatch.UnansweredOrders[Order.Id] = Open;
  Dispatch.Orders.push_back(std::move(Order));
}

/// Sends a stop order for an attempt.
/// @param Key The task, or a null key if the answer needs no handling.
/// @return Id of the order.
std::uint64_t sendStopOrder(DispatchState &Dispatch,
                            const WorkerInstance &Worker, WorkerInstanceId Id,
                            const TaskKey &Key, TaskName Task,
                            std::uint32_t Attempt, Instant Now) {
  WorkerOrder Order = makeTaskOrder(Dispatch, Worker, WorkerOrderKind::Stop,
                                    std::move(Task), Attempt);
  const std::uint64_t OrderId = Order.Id;
  OpenOrder Open;
  Open.Key = Key;
  Dispatch.Counters.Stops += 1;
  send(Dispatch, std::move(Order), Open, Id, Now);
  return OrderId;
}

bool isRenewalOverdue(const WorkerSession &Session, Instant Now) {
  return Session.RenewalOrder != 0 &&
         Now - Session.RenewalSentAt >
             Session.RenewalTimeout - RenewalGrace / 2;
}

bool needsRenewal(const WorkerInstance &Worker, const WorkerSession &Session) {
  return Worker.Tasks != 0 || !Session.IsReconciled ||
         Session.IsLeaseSuspended || !Session.Orphans.empty() ||
         Session.ConsecutiveMisses != 0 ||
         Session.AckSent < Worker.LastAckedEnd;
}

void sendRenewal(DispatchState &Dispatch, const WorkerInstance &Worker,
                 WorkerInstanceId Id, WorkerSession &Session, Instant Now) {
  WorkerOrder Order = makeOrder(Dispatch, Worker, WorkerOrderKind::Renew);
  const bool IsHealthy = Session.IsReconciled &&
                         Session.ConsecutiveMisses == 0 &&
                         !Session.IsLeaseSuspended;
  const bool MayAck = Session.IsInstanceVerified &&
                      Session.AreConnectionsVerified &&
                      Session.OpenTaskOrders == 0;
  Order.LastAckedEnd = MayAck ? Worker.LastAckedEnd : 0;
  Order.NeedsOpenConnection = Session.IsInstanceVerified;
  if (IsHealthy && Session.IsInstanceVerified && Worker.Tasks != 0) {
    const DispatchOptions &Options = Dispatch.Options;
    Order.Wait = std::min(Session.HasLatencyViolation ? ViolationRenewalWait
                                                      : Options.RenewalWait,
                          Options.Lease / MinRenewalsPerLease);
  }
  OpenOrder Open;
  // A worker that does not answer gets no lease extension, and a new instance
  // none that is computed from the clock of this one.
  if (mayGrantLease(Session) && Session.ConsecutiveMisses == 0 &&
      Session.IsInstanceVerified) {
    Order.Expires = extendLease(Dispatch, Session, Now);
    Open.HasLease = true;
  }
  Order.Timeout = Order.Wait + RenewalGrace;
  Open.LastAckedEnd = Order.LastAckedEnd;
  Session.RenewalOrder = Order.Id;
  Session.RenewalSentAt = Now;
  Session.RenewalTimeout = Order.Timeout;
  Dispatch.Counters.Renewals += 1;
  send(Dispatch, std::move(Order), Open, Id, Now);
}

/// Sends a renewal without a wait, since an open renewal may wait for long. It
/// acknowledges nothing: while the renewal is open, the leader does not know
/// whether this instance still runs.
void sendProbe(DispatchState &Dispatch, const WorkerInstance &Worker,
               WorkerInstanceId Id, WorkerSession &Session, Instant Now) {
  WorkerOrder Order = makeOrder(Dispatch, Worker, WorkerOrderKind::Renew);
  Session.ProbeOrder = Order.Id;
  Session.NeedsProbe = false;
  Dispatch.Counters.Renewals += 1;
  send(Dispatch, std::move(Order), {}, Id, Now);
}

void renewIfDue(DispatchState &Dispatch, const CellState &State,
                WorkerInstanceId Id, WorkerSession &Session, Instant Now) {
  const WorkerInstance *Worker = State.Workers.find(Id);
  if (Worker == nullptr) {
    return;
  }
  if (Session.NeedsProbe && Session.ProbeOrder == 0) {
    sendProbe(Dispatch, *Worker, Id, Session, Now);
  }
  if (Session.RenewalOrder != 0 || Now < Session.NextRenewalAt ||
      !needsRenewal(*Worker, Session)) {
    return;
  }
  const bool WaitsForAck = Session.EndsProposed > Worker->LastAckedEnd &&
                           Now - Session.AnsweredAt < AckDelayLimit;
  if (!WaitsForAck) {
    sendRenewal(Dispatch, *Worker, Id, Session, Now);
  }
}

/// @param Unresolved Result of `collectUnresolvedTasks`.
bool sendStart(DispatchState &Dispatch, const CellState &State,
               const TaskAssignment &Assigned,
               const std::set<TaskKey> &Unresolved, Instant Now) {
  WorkerSession &Session = Dispatch.Sessions[Assigned.Worker];
  TaskLaunch &Launch = Dispatch.Launches[Assigned.Key];
  Launch = {};
  Launch.Assignment = Assigned;
  Launch.PhaseSince = Now;
  Launch.StartedAt = Now;
  Session.Tasks.insert(Assigned.Key);
  const WorkerInstance *Worker = State.Workers.find(Assigned.Worker);
  if (Worker == nullptr || !mayGrantLease(Session) || !Dispatch.HoldsLease) {
    Launch.Phase = LaunchPhase::Recovered;
    Session.NeedsProbe = true;
    Dispatch.TouchedWorkers.insert(Assigned.Worker);
    return false;
  }
  const Job &Owner = State.Jobs[Assigned.Key.Job];
  WorkerOrder Order =
      makeTaskOrder(Dispatch, *Worker, WorkerOrderKind::Start,
                    nameTask(State, Assigned.Key), Assigned.Attempt);
  Order.Payload = Owner.Spec.Payload;
  Order.Checkpoint = findTask(State, Assigned.Key)->Checkpoint;
  Order.Expires = extendLease(Dispatch, Session, Now);
  const auto AdviceIt = Dispatch.Advice.find(
      {Assigned.Key.Job, Assigned.Key.Run, Assigned.Key.Step});
  if (AdviceIt != Dispatch.Advice.end()) {
    Order.Ticket = AdviceIt->second.Admitted[Assigned.Worker].Token;
  }
  OpenOrder Open;
  Open.Key = Assigned.Key;
  Open.HasLease = true;
  Dispatch.Counters.Starts += 1;
  Session.LastStartAt = Now;
  const JobTask &Task = *findTask(State, Assigned.Key);
  if (maySuspectCrash(Unresolved, Assigned.Key, Task)) {
    Session.SuspectStartedAt = Now;
  }
  if (isCrashSuspect(Task)) {
    Session.TrialStartedAt = Now;
  }
  send(Dispatch, std::move(Order), Open, Assigned.Worker, Now);
  if (Session.RenewalOrder == 0) {
    Session.NextRenewalAt =
        std::min(Session.NextRenewalAt, Now + RenewalRetryInterval);
  }
  return true;
}

/// Tells whether two assignments are reported in one log line.
bool hasSameLogLine(const TaskAssignment &First, const TaskAssignment &Second) {
  return First.Key.Job == Second.Key.Job && First.Key.Run == Second.Key.Run &&
         First.Key.Step == Second.Key.Step && First.Attempt == Second.Attempt;
}

/// Logs starts that were sent, with one line for consecutive attempts of the
/// tasks of a step.
void logStarts(DispatchState &Dispatch, const CellState &State,
               const std::vector<TaskAssignment> &Sent) {
  for (std::size_t Index = 0; Index < Sent.size();) {
    const TaskAssignment &First = Sent[Index];
    std::string Line = "event=start job=" + nameTask(State, First.Key).Job +
                       " run=" + std::to_string(First.Key.Run) +
                       " step=" + std::to_string(First.Key.Step) +
                       " attempt=" + std::to_string(First.Attempt) +
                       " fence=" + std::to_string(Dispatch.FencingToken) +
                       " tasks=";
    for (const char *Separator = "";
         Index < Sent.size() && hasSameLogLine(First, Sent[Index]); ++Index) {
      Line += Separator + std::to_string(Sent[Index].Key.Task) + "@" +
              workerName(State, Sent[Index].Worker);
      Separator = ",";
    }
    Dispatch.Events.push_back(std::move(Line));
  }
}

} // namespace

const std::string &workerName(const CellState &State, WorkerInstanceId Worker) {
  static const std::string None = "-";
  const WorkerInstance *Instance = State.Workers.find(Worker);
  return Instance == nullptr ? None : Instance->Report.Name;
}

std::string describeStart(const TaskName &Task, std::uint32_t Attempt) {
  return "job=" + Task.Job + " run=" + std::to_string(Task.Run) +
         " step=" + std::to_string(Task.Step) +
         " task=" + std::to_string(Task.Task) +
         " attempt=" + std::to_string(Attempt);
}

TaskName nameTask(const CellState &State, const TaskKey &Key) {
  const Job *Owner = State.Jobs.find(Key.Job);
  return {Owner == nullptr ? "-" : Owner->Name, Key.Run, Key.Step, Key.Task};
}

void sendStarts(DispatchState &Dispatch, const CellState &State,
                const std::vector<TaskAssignment> &Assignments, Instant Now) {
  if (Assignments.empty()) {
    return;
  }
  const std::set<TaskKey> Unresolved = collectUnresolvedTasks(Dispatch, Now);
  std::vector<TaskAssignment> Sent;
  for (const TaskAssignment &Assigned : Assignments) {
    if (sendStart(Dispatch, State, Assigned, Unresolved, Now)) {
      Sent.push_back(Assigned);
    }
  }
  logStarts(Dispatch, State, Sent);
}

void sendStop(DispatchState &Dispatch, const CellState &State,
              TaskLaunch &Launch, std::string_view Reason, Instant Now) {
  const WorkerInstance *Worker = State.Workers.find(Launch.Assignment.Worker);
  const bool IsRecent = Launch.StopSentAt != Instant{} &&
                        Now - Launch.StopSentAt < StopRetryInterval;
  if (Worker == nullptr || Launch.StopOrder != 0 || IsRecent ||
      Launch.IsEndProposed) {
    return;
  }
  const TaskAssignment &Attempted = Launch.Assignment;
  const TaskName Task = nameTask(State, Attempted.Key);
  if (Launch.StopSentAt == Instant{}) {
    Dispatch.Events.push_back(
        "event=stop " + describeStart(Task, Attempted.Attempt) +
        " worker=" + Worker->Report.Name + " why=" + std::string{Reason});
  }
  Launch.StopSentAt = Now;
  Launch.StopOrder = sendStopOrder(Dispatch, *Worker, Attempted.Worker,
                                   Attempted.Key, Task, Attempted.Attempt, Now);
}

void sendStopOfUnknownTask(DispatchState &Dispatch,
                           const WorkerInstance &Worker, WorkerInstanceId Id,
                           const RunningTask &Listed, Instant Now) {
  Dispatch.Events.push_back(
      "event=stop " + describeStart(Listed.Task, Listed.Attempt) +
      " worker=" + Worker.Report.Name + " why=unknown-there");
  sendStopOrder(Dispatch, Worker, Id, {}, Listed.Task, Listed.Attempt, Now);
}

void sendPace(DispatchState &Dispatch, const CellState &State,
              TaskLaunch &Launch, std::uint32_t Percent, Instant Now) {
  const WorkerInstance *Worker = State.Workers.find(Launch.Assignment.Worker);
  if (Worker == nullptr || Launch.IsEndProposed ||
      (Launch.PacePercent == Percent && Launch.IsPaceKnown)) {
    return;
  }
  WorkerOrder Order = makeTaskOrder(Dispatch, *Worker, WorkerOrderKind::Pace,
                                    nameTask(State, Launch.Assignment.Key),
                                    Launch.Assignment.Attempt);
  Order.Percent = Percent;
  Dispatch.Events.push_back(
      "event=pace " + describeStart(Order.Task, Order.Attempt) + " worker=" +
      Order.Worker + " percent=" + std::to_string(Percent) + " former=" +
      (Launch.IsPaceKnown ? std::to_string(Launch.PacePercent) : "unknown"));
  Launch.PacePercent = Percent;
  Launch.IsPaceKnown = true;
  Launch.PaceAt = Now;
  OpenOrder Open;
  Open.Key = Launch.Assignment.Key;
  send(Dispatch, std::move(Order), Open, Launch.Assignment.Worker, Now);
}

void sendDueRenewals(DispatchState &Dispatch, const CellState &State,
                     Instant Now) {
  for (auto &[Id, Session] : Dispatch.Sessions) {
    renewIfDue(Dispatch, State, Id, Session, Now);
  }
}

void renewTouched(DispatchState &Dispatch, const CellState &State,
                  Instant Now) {
  for (const WorkerInstanceId Id : std::exchange(Dispatch.TouchedWorkers, {})) {
    const auto It = Dispatch.Sessions.find(Id);
    if (It != Dispatch.Sessions.end()) {
      renewIfDue(Dispatch, State, Id, It->second, Now);
    }
  }
}

void probeOverdueStarts(DispatchState &Dispatch, Instant Now) {
  for (auto &[Id, Order] : Dispatch.UnansweredOrders) {
    if (Now - Order.SentAt < StartAnswerTimeout) {
      return; // Ids rise with the send time, so later orders are younger.
    }
    const auto SessionIt = Dispatch.Sessions.find(Order.Worker);
    if (Order.Kind == WorkerOrderKind::Start && !Order.IsProbed &&
        SessionIt != Dispatch.Sessions.end()) {
      Order.IsProbed = true;
      SessionIt->second.NeedsProbe = true;
      Dispatch.TouchedWorkers.insert(Order.Worker);
    }
  }
}

void stopOrphans(DispatchState &Dispatch, const CellState &State, Instant Now) {
  for (auto &[Id, Session] : Dispatch.Sessions) {
    const WorkerInstance *Worker = State.Workers.find(Id);
    if (Worker == nullptr || Session.ConsecutiveMisses != 0) {
      continue;
    }
    for (OrphanedStart &Orphan : Session.Orphans) {
      const bool IsRecent = Orphan.StopSentAt != Instant{} &&
                            Now - Orphan.StopSentAt < StopRetryInterval;
      if (Orphan.StopOrder != 0 || IsRecent) {
        continue;
      }
      Orphan.StopOrder = sendStopOrder(Dispatch, *Worker, Id, Orphan.Key,
                                       Orphan.Name, Orphan.Attempt, Now);
      Orphan.StopSentAt = Now;
    }
  }
}

void proposeEnd(DispatchState &Dispatch, TaskLaunch &Launch, EndKind Kind,
                WallTime WallNow) {
  if (Launch.IsEndProposed) {
    return;
  }
  Launch.IsEndProposed = true;
  RecordTaskEndsCommand Command;
  Command.Worker = Launch.Assignment.Worker;
  Command.Ends.push_back({Launch.Assignment.Key, Launch.Assignment.Attempt,
                          Kind, "", Launch.IsPresumedLost});
  Command.At = WallNow;
  Dispatch.Commands.emplace_back(std::move(Command));
}

WorkerExclusion findExclusion(const DispatchState &Dispatch,
                              const CellState &State, WorkerInstanceId Worker,
                              Instant Now) {
  const auto It = Dispatch.Sessions.find(Worker);
  if (It == Dispatch.Sessions.end()) {
    return WorkerExclusion::NoSession;
  }
  const WorkerSession &Session = It->second;
  const Millis Silence = Dispatch.Options.ReportInterval * 5 / 2;
  if (Session.ConsecutiveMisses != 0 || isRenewalOverdue(Session, Now) ||
      Now - std::max(Session.ReportedAt, Session.AnsweredAt) >= Silence) {
    return WorkerExclusion::Unresponsive;
  }
  if (Session.IsLeaseSuspended) {
    return WorkerExclusion::LeaseSuspended;
  }
  if (!Session.IsReconciled) {
    return WorkerExclusion::NotReconciled;
  }
  if (!Session.Orphans.empty()) {
    return WorkerExclusion::OrphanedStarts;
  }
  if (!Session.Clock) {
    return WorkerExclusion::NoClock;
  }
  if (State.Workers[Worker].IsUnannounced) {
    return WorkerExclusion::Unannounced;
  }
  if (State.Workers[Worker].Report.IsDraining) {
    return WorkerExclusion::Draining;
  }
  return Now < Session.BackoffUntil ? WorkerExclusion::Backoff
                                    : WorkerExclusion::None;
}

bool isSchedulable(const DispatchState &Dispatch, const CellState &State,
                   WorkerInstanceId Worker, Instant Now) {
  return findExclusion(Dispatch, State, Worker, Now) == WorkerExclusion::None;
}

} // namespace mulberryramp
