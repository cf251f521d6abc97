#include "mulberryramp/cell/orders.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

namespace {

/// Time for the answer of a hold beyond its wait.
constexpr Millis HoldGrace{400};
/// Wait of a hold while a serving task is over its limit.
constexpr Millis DisturbedWait{400};
/// A hold goes out this late even if its acknowledgement is not yet agreed.
constexpr Millis AckPatience{400};
/// Between stops of a start that goes on.
constexpr Millis StopRetryEvery{1500};

WorkerOrder makeOrder(Dispatcher &Lead, const WorkerLife &Worker,
                      WorkerOrderKind Kind) {
  WorkerOrder Order;
  Order.Id = Lead.NextId;
  Lead.NextId += 1;
  Order.Kind = Kind;
  Order.Address = Worker.Report.Address;
  Order.Worker = Worker.Report.Name;
  Order.Fence = Lead.Fence;
  Order.Timeout = OrderTimeout;
  return Order;
}

/// Ends of leases are told on the worker's clock, of which a lower bound is
/// known; what runs there cannot outlive the lease by more than its drift.
std::int64_t extendLease(const Dispatcher &Lead, WorkerSession &Session,
                         Instant Now) {
  const auto Since = (Now - Session.Clock->At).count();
  const auto Least =
      Session.Clock->Clock + Since * (100 - Lead.Options.DriftPercent) / 100;
  Session.LeaseEnd = std::max(
      Session.LeaseEnd, Now + leaseBound(Lead.Options, Lead.Options.Lease));
  return Least + Lead.Options.Lease.count();
}

/// Makes an order about one start.
WorkerOrder makeTaskOrder(Dispatcher &Lead, const WorkerLife &Worker,
                          WorkerOrderKind Kind, TaskName Task,
                          std::uint32_t Attempt) {
  WorkerOrder Order = makeOrder(Lead, Worker, Kind);
  Order.Task = std::move(Task);
  Order.Attempt = Attempt;
  return Order;
}

/// Sends an order; `Open` says what its answer will be needed for.
void send(Dispatcher &Lead, WorkerOrder Order, OpenOrder Open, LifeId Worker,
          Instant Now) {
  Open.Worker = Worker;
  Open.SentAt = Now;
  Open.Kind = Order.Kind;
  Open.Attempt = Order.Attempt;
  Lead.Sent[Order.Id] = Open;
  Lead.Orders.push_back(std::move(Order));
}

/// Sends the order to stop a run.
/// @param Key The task, if the answer matters for it.
/// @return Number of the order.
std::uint64_t sendStopOrder(Dispatcher &Lead, const WorkerLife &Worker,
                            LifeId Id, const TaskKey &Key, TaskName Task,
                            std::uint32_t Attempt, Instant Now) {
  WorkerOrder Order = makeTaskOrder(Lead, Worker, WorkerOrderKind::Stop,
                                    std::move(Task), Attempt);
  const std::uint64_t Number = Order.Id;
  OpenOrder Open;
  Open.Key = Key;
  Lead.Counters.Stops += 1;
  send(Lead, std::move(Order), Open, Id, Now);
  return Number;
}

bool isOverdue(const WorkerSession &Session, Instant Now) {
  return Session.HoldOrder != 0 &&
         Now - Session.HoldSentAt > Session.HoldTimeout - HoldGrace / 2;
}

bool wantsHold(const WorkerLife &Worker, const WorkerSession &Session) {
  return Worker.Tasks != 0 || !Session.IsSettled ||
         !Session.Abandoned.empty() || Session.Misses != 0 ||
         Session.AckSent < Worker.AckedEnds;
}

void sendHold(Dispatcher &Lead, const WorkerLife &Worker, LifeId Id,
              WorkerSession &Session, Instant Now) {
  WorkerOrder Order = makeOrder(Lead, Worker, WorkerOrderKind::Hold);
  const bool IsWell = Session.IsSettled && Session.Misses == 0;
  Order.AckedEnds = Session.IsVerified ? Worker.AckedEnds : 0;
  Order.NeedsKeptConnection = Session.IsVerified;
  if (IsWell && Session.IsVerified && Worker.Tasks != 0) {
    Order.Wait = Session.IsDisturbed ? DisturbedWait : Lead.Options.HoldWait;
  }
  OpenOrder Open;
  // A worker that does not answer must not be given more time unseen, and the
  // next life none by the clock of this one.
  if (Session.Clock && Session.Misses == 0 && Session.IsVerified) {
    Order.Expires = extendLease(Lead, Session, Now);
    Open.HasLease = true;
  }
  Order.Timeout = Order.Wait + HoldGrace;
  Open.AckedEnds = Order.AckedEnds;
  Session.HoldOrder = Order.Id;
  Session.HoldSentAt = Now;
  Session.HoldTimeout = Order.Timeout;
  Lead.Counters.Holds += 1;
  send(Lead, std::move(Order), Open, Id, Now);
}

/// Looks at once, since an open hold may wait for long. It acknowledges
/// nothing: while the hold is open it is not known whether the worker still
/// lives.
void sendLook(Dispatcher &Lead, const WorkerLife &Worker, LifeId Id,
              WorkerSession &Session, Instant Now) {
  WorkerOrder Order = makeOrder(Lead, Worker, WorkerOrderKind::Hold);
  Session.LookOrder = Order.Id;
  Session.WantsLook = false;
  Lead.Counters.Holds += 1;
  send(Lead, std::move(Order), {}, Id, Now);
}

void holdIfDue(Dispatcher &Lead, const CellState &State, LifeId Id,
               WorkerSession &Session, Instant Now) {
  const WorkerLife *Worker = State.Workers.find(Id);
  if (Worker == nullptr) {
    return;
  }
  if (Session.WantsLook && Session.LookOrder == 0) {
    sendLook(Lead, *Worker, Id, Session, Now);
  }
  if (Session.HoldOrder != 0 || Now < Session.NextHoldAt ||
      !wantsHold(*Worker, Session)) {
    return;
  }
  const bool WaitsForAck = Session.EndsProposed > Worker->AckedEnds &&
                           Now - Session.AnsweredAt < AckPatience;
  if (!WaitsForAck) {
    sendHold(Lead, *Worker, Id, Session, Now);
  }
}

} // namespace

const std::string &workerName(const CellState &State, LifeId Worker) {
  static const std::string None = "-";
  const WorkerLife *Life = State.Workers.find(Worker);
  return Life == nullptr ? None : Life->Report.Name;
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

void sendStart(Dispatcher &Lead, const CellState &State, const Grant &Item,
               Instant Now) {
  WorkerSession &Session = Lead.Sessions[Item.Worker];
  Launch &Begun = Lead.Launches[Item.Key];
  Begun = {};
  Begun.Item = Item;
  Begun.Since = Now;
  Begun.StartedAt = Now;
  Session.Tasks.insert(Item.Key);
  const WorkerLife *Worker = State.Workers.find(Item.Worker);
  if (Worker == nullptr || !Session.Clock) {
    Begun.Phase = LaunchPhase::Inherited;
    return;
  }
  const Job &Owner = State.Jobs[Item.Key.Job];
  WorkerOrder Order = makeTaskOrder(Lead, *Worker, WorkerOrderKind::Start,
                                    nameTask(State, Item.Key), Item.Attempt);
  Order.Payload = Owner.Spec.Payload;
  Order.Saved = findTask(State, Item.Key)->Saved;
  Order.Expires = extendLease(Lead, Session, Now);
  const auto Known =
      Lead.Advice.find({Item.Key.Job, Item.Key.Run, Item.Key.Step});
  if (Known != Lead.Advice.end()) {
    Order.Ticket = Known->second.Admitted[Item.Worker].Text;
  }
  Lead.Events.push_back(
      "event=start " + describeStart(Order.Task, Order.Attempt) +
      " worker=" + Order.Worker + " fence=" + std::to_string(Lead.Fence));
  OpenOrder Open;
  Open.Key = Item.Key;
  Open.HasLease = true;
  Lead.Counters.Starts += 1;
  send(Lead, std::move(Order), Open, Item.Worker, Now);
  if (Session.HoldOrder == 0) {
    Session.NextHoldAt = std::min(Session.NextHoldAt, Now + HoldRetryEvery);
  }
}

void sendStop(Dispatcher &Lead, const CellState &State, Launch &Item,
              std::string_view Why, Instant Now) {
  const WorkerLife *Worker = State.Workers.find(Item.Item.Worker);
  const bool IsRecent =
      Item.StopSentAt != Instant{} && Now - Item.StopSentAt < StopRetryEvery;
  if (Worker == nullptr || Item.StopOrder != 0 || IsRecent ||
      Item.IsEndProposed) {
    return;
  }
  const Grant &Run = Item.Item;
  const TaskName Task = nameTask(State, Run.Key);
  if (Item.StopSentAt == Instant{}) {
    Lead.Events.push_back("event=stop " + describeStart(Task, Run.Attempt) +
                          " worker=" + Worker->Report.Name +
                          " why=" + std::string{Why});
  }
  Item.StopSentAt = Now;
  Item.StopOrder =
      sendStopOrder(Lead, *Worker, Run.Worker, Run.Key, Task, Run.Attempt, Now);
}

void sendStopOfUnknown(Dispatcher &Lead, const WorkerLife &Worker, LifeId Id,
                       const RunningTask &Listed, Instant Now) {
  Lead.Events.push_back("event=stop " +
                        describeStart(Listed.Task, Listed.Attempt) +
                        " worker=" + Worker.Report.Name + " why=unknown-there");
  sendStopOrder(Lead, Worker, Id, {}, Listed.Task, Listed.Attempt, Now);
}

void sendPace(Dispatcher &Lead, const CellState &State, Launch &Item,
              std::uint32_t Percent, Instant Now) {
  const WorkerLife *Worker = State.Workers.find(Item.Item.Worker);
  if (Worker == nullptr || Item.Pace == Percent) {
    return;
  }
  WorkerOrder Order =
      makeTaskOrder(Lead, *Worker, WorkerOrderKind::Pace,
                    nameTask(State, Item.Item.Key), Item.Item.Attempt);
  Order.Percent = Percent;
  Lead.Events.push_back(
      "event=pace " + describeStart(Order.Task, Order.Attempt) +
      " worker=" + Order.Worker + " percent=" + std::to_string(Percent));
  Item.Pace = Percent;
  Item.PaceAt = Now;
  OpenOrder Open;
  Open.Key = Item.Item.Key;
  send(Lead, std::move(Order), Open, Item.Item.Worker, Now);
}

void sendHolds(Dispatcher &Lead, const CellState &State, Instant Now) {
  for (auto &[Id, Session] : Lead.Sessions) {
    holdIfDue(Lead, State, Id, Session, Now);
  }
}

void holdTouched(Dispatcher &Lead, const CellState &State, Instant Now) {
  for (const LifeId Id : std::exchange(Lead.Touched, {})) {
    const auto Found = Lead.Sessions.find(Id);
    if (Found != Lead.Sessions.end()) {
      holdIfDue(Lead, State, Id, Found->second, Now);
    }
  }
}

void lookForStarts(Dispatcher &Lead, Instant Now) {
  for (auto &[Id, Order] : Lead.Sent) {
    if (Now - Order.SentAt < StartPatience) {
      return; // Orders are numbered as they are sent.
    }
    const auto Session = Lead.Sessions.find(Order.Worker);
    if (Order.Kind == WorkerOrderKind::Start && !Order.IsLookedFor &&
        Session != Lead.Sessions.end()) {
      Order.IsLookedFor = true;
      Session->second.WantsLook = true;
      Lead.Touched.insert(Order.Worker);
    }
  }
}

void stopAbandoned(Dispatcher &Lead, const CellState &State, Instant Now) {
  for (auto &[Id, Session] : Lead.Sessions) {
    const WorkerLife *Worker = State.Workers.find(Id);
    if (Worker == nullptr || Session.Misses != 0) {
      continue;
    }
    for (AbandonedStart &Left : Session.Abandoned) {
      const bool IsRecent = Left.StopSentAt != Instant{} &&
                            Now - Left.StopSentAt < StopRetryEvery;
      if (Left.StopOrder != 0 || IsRecent) {
        continue;
      }
      Left.StopOrder = sendStopOrder(Lead, *Worker, Id, Left.Key, Left.Name,
                                     Left.Attempt, Now);
      Left.StopSentAt = Now;
    }
  }
}

void expireLeases(Dispatcher &Lead, const CellState &State, Instant Now,
                  WallTime Wall) {
  for (auto &[Id, Session] : Lead.Sessions) {
    if (Session.Tasks.empty() || Now < Session.LeaseEnd) {
      continue;
    }
    bool IsNew = false;
    for (const TaskKey &Key : Session.Tasks) {
      Launch &Item = Lead.Launches.at(Key);
      if (!Item.IsEndProposed && Item.Phase != LaunchPhase::Sending) {
        Item.IsGivenUp = true;
        proposeEnd(Lead, Item, EndKind::Lost, Wall);
        IsNew = true;
      }
    }
    if (IsNew) {
      Session.IsSettled = false;
      Lead.Events.push_back("event=lease-over worker=" + workerName(State, Id));
    }
  }
}

void proposeEnd(Dispatcher &Lead, Launch &Item, EndKind Kind, WallTime Wall) {
  if (Item.IsEndProposed) {
    return;
  }
  Item.IsEndProposed = true;
  EndsCommand Command;
  Command.Worker = Item.Item.Worker;
  Command.Ends.push_back({Item.Item.Key, Item.Item.Attempt, Kind, ""});
  Command.At = Wall;
  Lead.Commands.emplace_back(std::move(Command));
}

bool isPlaceable(const Dispatcher &Lead, const CellState &State, LifeId Worker,
                 Instant Now) {
  const auto Found = Lead.Sessions.find(Worker);
  if (Found == Lead.Sessions.end()) {
    return false;
  }
  const WorkerSession &Session = Found->second;
  const Millis Silence = Lead.Options.ReportEvery * 5 / 2;
  return Session.IsSettled && Session.Abandoned.empty() &&
         Session.Misses == 0 && Session.Clock &&
         !State.Workers[Worker].Report.IsDraining &&
         Now >= Session.AvoidUntil && !isOverdue(Session, Now) &&
         Now - std::max(Session.ReportedAt, Session.AnsweredAt) < Silence;
}

} // namespace mulberryramp
