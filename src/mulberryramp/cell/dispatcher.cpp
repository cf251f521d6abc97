#include "mulberryramp/cell/dispatcher.hpp"

#include "mulberryramp/cell/advice.hpp"
#include "mulberryramp/cell/orders.hpp"
#include "mulberryramp/cell/review.hpp"
#include "mulberryramp/cell/start_planner.hpp"

#include <algorithm>

namespace mulberryramp {

namespace {

/// Between plans while tasks wait and nothing changed.
constexpr Millis PlanEvery{100};
/// Shortest time between plans.
constexpr Millis PlanPause{12};
/// Between looks at all launches.
constexpr Millis ReviewEvery{100};
/// Between looks at leases, holds and questions that fall due; what an answer
/// or an entry touches is seen to at once.
constexpr Millis TimersEvery{20};
/// Between looks for what can be forgotten.
constexpr Millis SweepEvery{1000};
/// Silence after which a worker that runs nothing is forgotten.
constexpr Millis ForgetWorkerAfter{20000};
/// Civil clocks of machines differ by less.
constexpr Millis ClockSkew{3000};

WorkerSession &openSession(Dispatcher &Lead, LifeId Worker,
                           const WorkerLife &Life, Instant Now) {
  WorkerSession &Session = Lead.Sessions[Worker];
  Session.EndsProposed = Life.AckedEnds;
  Session.ReportedAt = Now;
  Session.NextHoldAt = Now;
  Session.LeaseEnd = Now + leaseBound(Lead.Options, Lead.Options.Lease);
  return Session;
}

void inherit(Dispatcher &Lead, const TaskKey &Key, const JobTask &Task,
             Instant Now) {
  Launch &Item = Lead.Launches[Key];
  Item.Item = {Key, Task.Run, Task.Worker};
  Item.Phase = LaunchPhase::Inherited;
  Item.Since = Now;
  Item.StartedAt = Now;
  Lead.Sessions[Task.Worker].Tasks.insert(Key);
}

void inheritAll(Dispatcher &Lead, const CellState &State, Instant Now) {
  for (const JobId Id : State.Jobs.ids()) {
    const Job &Item = State.Jobs[Id];
    for (const JobRun &Run : Item.Runs) {
      for (std::uint32_t Step = 0; Step < Run.Steps.size(); ++Step) {
        const auto &Tasks = Run.Steps[Step].Tasks;
        for (std::uint32_t Task = 0; Task < Tasks.size(); ++Task) {
          if (Tasks[Task].State == JobTaskState::Assigned) {
            inherit(Lead, {Id, Run.Number, Step, Task}, Tasks[Task], Now);
          }
        }
      }
    }
  }
}

void forgetLaunch(Dispatcher &Lead, const CellState &State, const TaskEnd &End,
                  const CellChange &Change) {
  const auto Found = Lead.Launches.find(End.Key);
  if (Found == Lead.Launches.end() ||
      Found->second.Item.Attempt != End.Attempt) {
    return;
  }
  const LifeId Worker = Found->second.Item.Worker;
  Lead.Touched.insert(Worker);
  const auto Session = Lead.Sessions.find(Worker);
  if (Session != Lead.Sessions.end()) {
    const bool MayRun =
        Found->second.IsGivenUp ||
        std::find(Change.Unsettled.begin(), Change.Unsettled.end(), Worker) !=
            Change.Unsettled.end();
    if (MayRun && End.Kind == EndKind::Lost) {
      AbandonedStart Left;
      Left.Key = End.Key;
      Left.Name = nameTask(State, End.Key);
      Left.Attempt = End.Attempt;
      Session->second.Abandoned.push_back(std::move(Left));
    }
    Session->second.Tasks.erase(End.Key);
  }
  Lead.Launches.erase(Found);
}

/// The members of a gang that one end stands for have no end of their own.
void forgetReleased(Dispatcher &Lead, const CellState &State, JobId Job) {
  for (auto Item = Lead.Launches.lower_bound({Job, 0, 0, 0});
       Item != Lead.Launches.end() && Item->first.Job == Job;) {
    const JobTask *Task = findTask(State, Item->first);
    const bool IsThere = Task != nullptr &&
                         Task->State == JobTaskState::Assigned &&
                         Task->Run == Item->second.Item.Attempt;
    if (IsThere) {
      ++Item;
      continue;
    }
    Lead.Sessions[Item->second.Item.Worker].Tasks.erase(Item->first);
    Item = Lead.Launches.erase(Item);
  }
}

/// Orders for the former life may have reached this one, or still be carried
/// out. As its clock starts anew they last as long as the worker grants.
void allowForFormerLife(const Dispatcher &Lead, WorkerSession &Session,
                        Instant Now) {
  Session.LeaseEnd = Now + Lead.Options.LateOrder +
                     leaseBound(Lead.Options, Lead.Options.MaxLease);
}

void moveLaunches(Dispatcher &Lead, LifeId From, LifeId To, Instant Now) {
  const auto Former = Lead.Sessions.find(From);
  if (Former == Lead.Sessions.end()) {
    return;
  }
  WorkerSession &Session = Lead.Sessions[To];
  Lead.Touched.insert(To);
  Session.Tasks = std::move(Former->second.Tasks);
  allowForFormerLife(Lead, Session, Now);
  for (const TaskKey &Key : Session.Tasks) {
    Lead.Launches.at(Key).Item.Worker = To;
  }
  Lead.Sessions.erase(From);
}

void forgetSessions(Dispatcher &Lead, const CellState &State) {
  std::erase_if(Lead.Sessions, [&State](const auto &Item) {
    return !State.Workers.contains(Item.first);
  });
}

void forgetOld(Dispatcher &Lead, const CellState &State, Instant Now,
               WallTime Wall) {
  ForgetCommand Forget;
  for (const JobId Id : State.Jobs.ids()) {
    const Job &Item = State.Jobs[Id];
    if (isOver(Item.Phase) && Item.AssignedTasks == 0 &&
        Wall - Item.OverAt > Lead.Options.Retention) {
      Forget.Jobs.push_back(Id);
    }
  }
  if (!Forget.Jobs.empty()) {
    Lead.Commands.emplace_back(std::move(Forget));
  }
  const auto IsOfNoRun = [&State](const auto &Item) {
    const Job *Owner = State.Jobs.find(Item.first.Job);
    return Owner == nullptr || isOver(Owner->Phase) ||
           findRun(*Owner, Item.first.Run) == nullptr;
  };
  std::erase_if(Lead.Advice, IsOfNoRun);
  std::erase_if(Lead.Times, IsOfNoRun);
  for (const auto &[Id, Session] : Lead.Sessions) {
    const Instant Heard = std::max(Session.ReportedAt, Session.AnsweredAt);
    if (Session.Tasks.empty() && Now - Heard > ForgetWorkerAfter &&
        Now > Session.LeaseEnd) {
      Lead.Commands.emplace_back(WorkerLeaveCommand{Id});
    }
  }
}

void openDueRuns(Dispatcher &Lead, const CellState &State, WallTime Wall) {
  for (const JobId Id : State.OpenJobs) {
    const Job &Item = State.Jobs[Id];
    if (Item.NextRun >= Item.Spec.Repeats) {
      continue;
    }
    if (Wall >= dueTime(Item, Item.NextRun)) {
      Lead.Commands.emplace_back(OpenRunCommand{Id, Item.NextRun});
    }
  }
}

} // namespace

Millis leaseBound(const DispatchOptions &Options, Millis Lease) {
  return Lease * (100 + Options.DriftPercent) / 100 + Options.LeaseSlack;
}

void beginDispatch(Dispatcher &Lead, const CellState &State, Term Fence,
                   Instant Now, WallTime Wall) {
  endDispatch(Lead);
  Lead.IsActive = true;
  Lead.Fence = Fence;
  Lead.IsDirty = true;
  for (const LifeId Id : State.Workers.ids()) {
    const WorkerLife &Worker = State.Workers[Id];
    WorkerSession &Session = openSession(Lead, Id, Worker, Now);
    const WallTime Born{Millis{Worker.Report.Born}};
    if (Wall - Born < Lead.Options.LateOrder + ClockSkew) {
      allowForFormerLife(Lead, Session, Now);
    }
  }
  inheritAll(Lead, State, Now);
  Lead.Nodes[Lead.Self].HeardAt = Now;
}

void endDispatch(Dispatcher &Lead) {
  Dispatcher Fresh;
  Fresh.Options = Lead.Options;
  Fresh.Self = Lead.Self;
  Fresh.NextId = Lead.NextId;
  Fresh.Counters = Lead.Counters;
  Fresh.Events = std::move(Lead.Events);
  Lead = std::move(Fresh);
}

void noteChange(Dispatcher &Lead, const CellState &State,
                const CellChange &Change, Instant Now) {
  Lead.IsDirty = true;
  for (const TaskEnd &End : Change.Ended) {
    Lead.Counters.Ends += 1;
    forgetLaunch(Lead, State, End, Change);
    Lead.Events.push_back("event=end " +
                          describeStart(nameTask(State, End.Key), End.Attempt) +
                          " how=" + std::string{nameOf(End.Kind)});
    if (State.Jobs.contains(End.Key.Job) &&
        State.Jobs[End.Key.Job].Spec.Steps[End.Key.Step].IsGang) {
      forgetReleased(Lead, State, End.Key.Job);
    }
  }
  if (Change.Worker.isSet()) {
    WorkerSession &Session =
        openSession(Lead, Change.Worker, State.Workers[Change.Worker], Now);
    Session.IsSettled = !Change.Former.isSet();
    if (Change.Former.isSet()) {
      moveLaunches(Lead, Change.Former, Change.Worker, Now);
    }
    Lead.Events.push_back("event=worker-joined worker=" +
                          State.Workers[Change.Worker].Report.Name);
  }
  if (Lead.Sessions.size() != State.Workers.size()) {
    forgetSessions(Lead, State);
  }
  for (const JobId Id : Change.Over) {
    const Job &Item = State.Jobs[Id];
    Lead.Events.push_back("event=job-over job=" + Item.Name +
                          " phase=" + std::string{nameOf(Item.Phase)});
    Lead.ReviewAt = Now;
  }
  for (const Grant &Item : Change.Started) {
    sendStart(Lead, State, Item, Now);
  }
}

void noteReport(Dispatcher &Lead, LifeId Worker, const WorkerReport &Report,
                Instant Now) {
  WorkerSession &Session = Lead.Sessions[Worker];
  if (Report.Sequence <= Session.Sequence && Session.Sequence != 0) {
    return;
  }
  Session.Sequence = Report.Sequence;
  Session.Remaining = Report.Remaining;
  Session.ReportedAt = Now;
  if (!Session.Clock) {
    Lead.IsDirty = true;
  }
  Session.Clock = ClockSample{Report.Clock, Now};
}

void stepDispatch(Dispatcher &Lead, const CellState &State, Instant Now,
                  WallTime Wall) {
  if (Now >= Lead.TimersAt) {
    Lead.TimersAt = Now + TimersEvery;
    expireQuestions(Lead, Now);
    expireLeases(Lead, State, Now, Wall);
    stopAbandoned(Lead, State, Now);
    lookForStarts(Lead, Now);
    sendHolds(Lead, State, Now);
  }
  if (Now >= Lead.ReviewAt) {
    Lead.ReviewAt = Now + ReviewEvery;
    reviewLaunches(Lead, State, Now);
    openDueRuns(Lead, State, Wall);
  }
  if (Now >= Lead.SweepAt) {
    Lead.SweepAt = Now + SweepEvery;
    forgetOld(Lead, State, Now, Wall);
  }
  const bool IsDue =
      (Lead.IsDirty && Now >= Lead.PlannedAt + PlanPause) || Now >= Lead.PlanAt;
  if (!Lead.HasOpenStarts && IsDue) {
    Lead.IsDirty = false;
    Lead.PlannedAt = Now;
    Lead.PlanAt = Now + PlanEvery;
    std::vector<Grant> Grants = planStarts(Lead, State, Now, Wall);
    if (!Grants.empty()) {
      Lead.HasOpenStarts = true;
      Lead.Commands.emplace_back(StartCommand{std::move(Grants)});
    }
  }
  holdTouched(Lead, State, Now);
}

} // namespace mulberryramp
