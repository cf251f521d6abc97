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

WorkerSession &openSession(DispatchState &Dispatch, WorkerInstanceId Worker,
                           const WorkerInstance &Instance, Instant Now) {
  WorkerSession &Session = Dispatch.Sessions[Worker];
  Session.EndsProposed = Instance.LastAckedEnd;
  Session.ReportedAt = Now;
  Session.NextRenewalAt = Now;
  Session.LeaseEnd = Now + leaseBound(Dispatch.Options, Dispatch.Options.Lease);
  return Session;
}

void recoverLaunch(DispatchState &Dispatch, const TaskKey &Key,
                   const JobTask &Task, Instant Now) {
  TaskLaunch &Launch = Dispatch.Launches[Key];
  Launch.Assignment = {Key, Task.Attempt, Task.Worker};
  Launch.Phase = LaunchPhase::Recovered;
  Launch.PhaseSince = Now;
  Launch.StartedAt = Now;
  Dispatch.Sessions[Task.Worker].Tasks.insert(Key);
}

void recoverLaunches(DispatchState &Dispatch, const CellState &State,
                     Instant Now) {
  for (const JobId Id : State.Jobs.ids()) {
    const Job &JobRow = State.Jobs[Id];
    for (const JobRun &Run : JobRow.Runs) {
      for (std::uint32_t Step = 0; Step < Run.Steps.size(); ++Step) {
        const auto &Tasks = Run.Steps[Step].Tasks;
        for (std::uint32_t Task = 0; Task < Tasks.size(); ++Task) {
          if (Tasks[Task].State == JobTaskState::Assigned) {
            recoverLaunch(Dispatch, {Id, Run.Number, Step, Task}, Tasks[Task],
                          Now);
          }
        }
      }
    }
  }
}

void forgetLaunch(DispatchState &Dispatch, const CellState &State,
                  const TaskEnd &End, const CellChange &Change) {
  const auto LaunchIt = Dispatch.Launches.find(End.Key);
  if (LaunchIt == Dispatch.Launches.end() ||
      LaunchIt->second.Assignment.Attempt != End.Attempt) {
    return;
  }
  const WorkerInstanceId Worker = LaunchIt->second.Assignment.Worker;
  Dispatch.TouchedWorkers.insert(Worker);
  const auto Session = Dispatch.Sessions.find(Worker);
  if (Session != Dispatch.Sessions.end()) {
    const bool MayRun = LaunchIt->second.IsPresumedLost ||
                        std::find(Change.WorkersToReconcile.begin(),
                                  Change.WorkersToReconcile.end(),
                                  Worker) != Change.WorkersToReconcile.end();
    if (MayRun && End.Kind == EndKind::Lost) {
      OrphanedStart Left;
      Left.Key = End.Key;
      Left.Name = nameTask(State, End.Key);
      Left.Attempt = End.Attempt;
      Session->second.Orphans.push_back(std::move(Left));
    }
    Session->second.Tasks.erase(End.Key);
  }
  Dispatch.Launches.erase(LaunchIt);
}

/// The members of a gang that one end stands for have no end of their own.
void forgetReleased(DispatchState &Dispatch, const CellState &State,
                    JobId Job) {
  for (auto Item = Dispatch.Launches.lower_bound({Job, 0, 0, 0});
       Item != Dispatch.Launches.end() && Item->first.Job == Job;) {
    const JobTask *Task = findTask(State, Item->first);
    const bool IsThere = Task != nullptr &&
                         Task->State == JobTaskState::Assigned &&
                         Task->Attempt == Item->second.Assignment.Attempt;
    if (IsThere) {
      ++Item;
      continue;
    }
    Dispatch.Sessions[Item->second.Assignment.Worker].Tasks.erase(Item->first);
    Item = Dispatch.Launches.erase(Item);
  }
}

/// Orders for the former life may have reached this one, or still be carried
/// out. As its clock starts anew they last as long as the worker grants.
void extendLeaseForPreviousInstance(const DispatchState &Dispatch,
                                    WorkerSession &Session, Instant Now) {
  Session.LeaseEnd = Now + Dispatch.Options.LateOrder +
                     leaseBound(Dispatch.Options, Dispatch.Options.MaxLease);
}

void moveLaunches(DispatchState &Dispatch, WorkerInstanceId From,
                  WorkerInstanceId To, Instant Now) {
  const auto Former = Dispatch.Sessions.find(From);
  if (Former == Dispatch.Sessions.end()) {
    return;
  }
  WorkerSession &Session = Dispatch.Sessions[To];
  Dispatch.TouchedWorkers.insert(To);
  Session.Tasks = std::move(Former->second.Tasks);
  extendLeaseForPreviousInstance(Dispatch, Session, Now);
  for (const TaskKey &Key : Session.Tasks) {
    Dispatch.Launches.at(Key).Assignment.Worker = To;
  }
  Dispatch.Sessions.erase(From);
}

void forgetSessions(DispatchState &Dispatch, const CellState &State) {
  std::erase_if(Dispatch.Sessions, [&State](const auto &Item) {
    return !State.Workers.contains(Item.first);
  });
}

void forgetOld(DispatchState &Dispatch, const CellState &State, Instant Now,
               WallTime WallNow) {
  PurgeJobsCommand Forget;
  for (const JobId Id : State.Jobs.ids()) {
    const Job &JobRow = State.Jobs[Id];
    if (isTerminal(JobRow.Phase) && JobRow.AssignedTasks == 0 &&
        WallNow - JobRow.FinishedAt > Dispatch.Options.Retention) {
      Forget.Jobs.push_back(Id);
    }
  }
  if (!Forget.Jobs.empty()) {
    Dispatch.Commands.emplace_back(std::move(Forget));
  }
  const auto IsOfNoRun = [&State](const auto &Item) {
    const Job *Owner = State.Jobs.find(Item.first.Job);
    return Owner == nullptr || isTerminal(Owner->Phase) ||
           findRun(*Owner, Item.first.Run) == nullptr;
  };
  std::erase_if(Dispatch.Advice, IsOfNoRun);
  std::erase_if(Dispatch.Times, IsOfNoRun);
  for (const auto &[Id, Session] : Dispatch.Sessions) {
    const Instant Heard = std::max(Session.ReportedAt, Session.AnsweredAt);
    if (Session.Tasks.empty() && Now - Heard > ForgetWorkerAfter &&
        Now > Session.LeaseEnd) {
      Dispatch.Commands.emplace_back(DeregisterWorkerCommand{Id});
    }
  }
}

void openDueRuns(DispatchState &Dispatch, const CellState &State,
                 WallTime WallNow) {
  for (const JobId Id : State.UnfinishedJobs) {
    const Job &JobRow = State.Jobs[Id];
    if (JobRow.NextRun >= JobRow.Spec.RepeatCount) {
      continue;
    }
    if (WallNow >= dueTime(JobRow, JobRow.NextRun)) {
      Dispatch.Commands.emplace_back(CreateRunCommand{Id, JobRow.NextRun});
    }
  }
}

} // namespace

Millis leaseBound(const DispatchOptions &Options, Millis Lease) {
  return Lease * (100 + Options.DriftPercent) / 100 + Options.LeaseSlack;
}

void beginDispatch(DispatchState &Dispatch, const CellState &State,
                   Term FencingToken, Instant Now, WallTime WallNow) {
  endDispatch(Dispatch);
  Dispatch.IsActive = true;
  Dispatch.FencingToken = FencingToken;
  Dispatch.NeedsPlan = true;
  for (const WorkerInstanceId Id : State.Workers.ids()) {
    const WorkerInstance &Worker = State.Workers[Id];
    WorkerSession &Session = openSession(Dispatch, Id, Worker, Now);
    const WallTime StartTimeMs{Millis{Worker.Report.StartTimeMs}};
    if (WallNow - StartTimeMs < Dispatch.Options.LateOrder + ClockSkew) {
      extendLeaseForPreviousInstance(Dispatch, Session, Now);
    }
  }
  recoverLaunches(Dispatch, State, Now);
  Dispatch.Nodes[Dispatch.Self].LastContactAt = Now;
}

void endDispatch(DispatchState &Dispatch) {
  DispatchState Fresh;
  Fresh.Options = Dispatch.Options;
  Fresh.Self = Dispatch.Self;
  Fresh.NextId = Dispatch.NextId;
  Fresh.Counters = Dispatch.Counters;
  Fresh.Events = std::move(Dispatch.Events);
  Dispatch = std::move(Fresh);
}

void onStateChange(DispatchState &Dispatch, const CellState &State,
                   const CellChange &Change, Instant Now) {
  Dispatch.NeedsPlan = true;
  for (const TaskEnd &End : Change.Ended) {
    Dispatch.Counters.Ends += 1;
    forgetLaunch(Dispatch, State, End, Change);
    Dispatch.Events.push_back(
        "event=end " + describeStart(nameTask(State, End.Key), End.Attempt) +
        " how=" + std::string{nameOf(End.Kind)});
    if (State.Jobs.contains(End.Key.Job) &&
        State.Jobs[End.Key.Job].Spec.Steps[End.Key.Step].IsGang) {
      forgetReleased(Dispatch, State, End.Key.Job);
    }
  }
  if (Change.Worker.isSet()) {
    WorkerSession &Session =
        openSession(Dispatch, Change.Worker, State.Workers[Change.Worker], Now);
    Session.IsReconciled = !Change.ReplacedInstance.isSet();
    if (Change.ReplacedInstance.isSet()) {
      moveLaunches(Dispatch, Change.ReplacedInstance, Change.Worker, Now);
    }
    Dispatch.Events.push_back("event=worker-joined worker=" +
                              State.Workers[Change.Worker].Report.Name);
  }
  if (Dispatch.Sessions.size() != State.Workers.size()) {
    forgetSessions(Dispatch, State);
  }
  for (const JobId Id : Change.FinishedJobs) {
    const Job &JobRow = State.Jobs[Id];
    Dispatch.Events.push_back("event=job-over job=" + JobRow.Name +
                              " phase=" + std::string{nameOf(JobRow.Phase)});
    Dispatch.ReviewAt = Now;
  }
  for (const TaskAssignment &Assigned : Change.Started) {
    sendStart(Dispatch, State, Assigned, Now);
  }
}

void onWorkerReport(DispatchState &Dispatch, WorkerInstanceId Worker,
                    const WorkerReport &Report, Instant Now) {
  WorkerSession &Session = Dispatch.Sessions[Worker];
  if (Report.Sequence <= Session.Sequence && Session.Sequence != 0) {
    return;
  }
  Session.Sequence = Report.Sequence;
  Session.Remaining = Report.Remaining;
  Session.ReportedAt = Now;
  if (!Session.Clock) {
    Dispatch.NeedsPlan = true;
  }
  Session.Clock = ClockSample{Report.Clock, Now};
}

void stepDispatch(DispatchState &Dispatch, const CellState &State, Instant Now,
                  WallTime WallNow) {
  if (Now >= Dispatch.TimersAt) {
    Dispatch.TimersAt = Now + TimersEvery;
    expireQueries(Dispatch, Now);
    expireLeases(Dispatch, State, Now, WallNow);
    stopOrphans(Dispatch, State, Now);
    probeOverdueStarts(Dispatch, Now);
    sendDueRenewals(Dispatch, State, Now);
  }
  if (Now >= Dispatch.ReviewAt) {
    Dispatch.ReviewAt = Now + ReviewEvery;
    reviewLaunches(Dispatch, State, Now);
    openDueRuns(Dispatch, State, WallNow);
  }
  if (Now >= Dispatch.SweepAt) {
    Dispatch.SweepAt = Now + SweepEvery;
    forgetOld(Dispatch, State, Now, WallNow);
  }
  const bool IsDue =
      (Dispatch.NeedsPlan && Now >= Dispatch.PlannedAt + PlanPause) ||
      Now >= Dispatch.PlanAt;
  if (!Dispatch.HasUncommittedStarts && IsDue) {
    Dispatch.NeedsPlan = false;
    Dispatch.PlannedAt = Now;
    Dispatch.PlanAt = Now + PlanEvery;
    std::vector<TaskAssignment> Grants =
        planStarts(Dispatch, State, Now, WallNow);
    if (!Grants.empty()) {
      Dispatch.HasUncommittedStarts = true;
      Dispatch.Commands.emplace_back(AssignTasksCommand{std::move(Grants)});
    }
  }
  renewTouched(Dispatch, State, Now);
}

} // namespace mulberryramp
