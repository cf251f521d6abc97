#include "mulberryramp/cell/dispatcher.hpp"

#include "mulberryramp/cell/advice.hpp"
#include "mulberryramp/cell/crash_attribution.hpp"
#include "mulberryramp/cell/leases.hpp"
#include "mulberryramp/cell/orders.hpp"
#include "mulberryramp/cell/review.hpp"
#include "mulberryramp/cell/start_planner.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

namespace {

/// Interval of plans if nothing changes.
constexpr Millis PlanInterval{100};
/// Shortest time between two plans.
constexpr Millis MinPlanInterval{12};
/// Interval of reviews of all launches.
constexpr Millis ReviewInterval{100};
/// Interval of checks of leases, renewals and queries. Workers affected by an
/// answer or a log entry are checked in the same step.
constexpr Millis TimerInterval{20};
/// Interval of purges of old jobs, advice and workers, and of the strips of
/// finished jobs.
constexpr Millis PurgeInterval{1000};
/// An idle worker without contact for this long is deregistered.
constexpr Millis IdleWorkerTimeout{20000};

/// Sets the fields of a session that are recorded of its instance.
void setReportedFields(WorkerSession &Session, const WorkerReport &Recorded) {
  Session.Rack = Recorded.Rack;
  Session.IsDraining = Recorded.IsDraining;
  Session.ProposedCapacity = Recorded.Capacity;
  Session.CapacitySequence = Recorded.Sequence;
}

WorkerSession &openSession(DispatchState &Dispatch, WorkerInstanceId Worker,
                           const WorkerInstance &Instance, Instant Now) {
  WorkerSession &Session = Dispatch.Sessions[Worker];
  Session.EndsProposed = Instance.LastAckedEnd;
  setReportedFields(Session, Instance.Report);
  Session.ReportedAt = Now;
  Session.NextRenewalAt = Now;
  openLease(Dispatch, Session, Worker, Instance, Now);
  return Session;
}

void recoverLaunch(DispatchState &Dispatch, const TaskKey &Key,
                   const JobTask &Task, Instant Now) {
  TaskLaunch &Launch = Dispatch.Launches[Key];
  Launch.Assignment = {Key, Task.Attempt, Task.Worker};
  Launch.Phase = LaunchPhase::Recovered;
  Launch.PhaseSince = Now;
  Launch.StartedAt = Now;
  Launch.IsRecovered = true;
  Launch.IsTransferred = Task.IsTransferred;
  Launch.EndIfUnlisted = Task.EndIfUnlisted;
  Launch.IsPaceKnown = !Dispatch.MayHavePacedTasks;
  Dispatch.Sessions[Task.Worker].Tasks.insert(Key);
}

/// Notes what an orphan counts towards the cap of its organisation, as its job
/// may be purged before the orphan is over.
void noteNeed(OrphanedStart &Orphan, const CellState &State) {
  if (const StepSpec *Spec = findStepSpec(State, Orphan.Key)) {
    Orphan.Organisation = State.Jobs[Orphan.Key.Job].Organisation;
    Orphan.Need = Spec->Need;
  }
}

/// Rebuilds the orphan of a task from the state. The worker may have crashed
/// under it.
void recoverOrphan(DispatchState &Dispatch, const CellState &State,
                   const TaskKey &Key, const JobTask &Task, Instant Now) {
  const auto SessionIt = Dispatch.Sessions.find(Task.LostOn);
  if (Task.State == JobTaskState::Done ||
      SessionIt == Dispatch.Sessions.end()) {
    return;
  }
  OrphanedStart Orphan;
  Orphan.Key = Key;
  Orphan.Name = nameTask(State, Key);
  Orphan.Attempt = Task.LostAttempt;
  Orphan.IsRecovered = true;
  Orphan.StartedAt = Now;
  noteNeed(Orphan, State);
  SessionIt->second.Orphans.push_back(std::move(Orphan));
}

bool hasTailLimit(const Job &JobRow) {
  return std::any_of(
      JobRow.Spec.Steps.begin(), JobRow.Spec.Steps.end(),
      [](const StepSpec &Step) { return Step.TailLatencyLimit != Millis{0}; });
}

void recoverLaunches(DispatchState &Dispatch, const CellState &State,
                     Instant Now) {
  Dispatch.MayHavePacedTasks =
      std::any_of(State.Jobs.ids().begin(), State.Jobs.ids().end(),
                  [&State](JobId Id) { return hasTailLimit(State.Jobs[Id]); });
  for (const JobId Id : State.Jobs.ids()) {
    const Job &JobRow = State.Jobs[Id];
    for (const JobRun &Run : JobRow.Runs) {
      for (std::uint32_t Step = 0; Step < Run.Steps.size(); ++Step) {
        const auto &Tasks = Run.Steps[Step].Tasks;
        for (std::uint32_t Task = 0; Task < Tasks.size(); ++Task) {
          recoverOrphan(Dispatch, State, {Id, Run.Number, Step, Task},
                        Tasks[Task], Now);
          if (Tasks[Task].State == JobTaskState::Assigned) {
            recoverLaunch(Dispatch, {Id, Run.Number, Step, Task}, Tasks[Task],
                          Now);
          }
        }
      }
    }
  }
}

void removeLaunch(DispatchState &Dispatch, const CellState &State,
                  const TaskEnd &End, const CellChange &Change) {
  const auto LaunchIt = Dispatch.Launches.find(End.Key);
  if (LaunchIt == Dispatch.Launches.end() ||
      LaunchIt->second.Assignment.Attempt != End.Attempt) {
    return;
  }
  const WorkerInstanceId Worker = LaunchIt->second.Assignment.Worker;
  Dispatch.TouchedWorkers.insert(Worker);
  const auto SessionIt = Dispatch.Sessions.find(Worker);
  if (SessionIt != Dispatch.Sessions.end()) {
    const bool MayRun = LaunchIt->second.IsPresumedLost ||
                        std::find(Change.WorkersToReconcile.begin(),
                                  Change.WorkersToReconcile.end(),
                                  Worker) != Change.WorkersToReconcile.end();
    if (MayRun && End.Kind == EndKind::Lost) {
      OrphanedStart Orphan;
      Orphan.Key = End.Key;
      Orphan.Name = nameTask(State, End.Key);
      Orphan.Attempt = End.Attempt;
      Orphan.WasConfirmed = LaunchIt->second.Phase == LaunchPhase::Confirmed;
      Orphan.IsRecovered = LaunchIt->second.IsRecovered;
      Orphan.StartedAt = LaunchIt->second.StartedAt;
      noteNeed(Orphan, State);
      SessionIt->second.Orphans.push_back(std::move(Orphan));
    }
    SessionIt->second.Tasks.erase(End.Key);
  }
  Dispatch.Launches.erase(LaunchIt);
}

/// Removes the launches of gang members that ended together with another
/// member: one end is recorded for the gang, and they have none of their own.
void removeReleasedLaunches(DispatchState &Dispatch, const CellState &State,
                            JobId Job) {
  for (auto LaunchIt = Dispatch.Launches.lower_bound({Job, 0, 0, 0});
       LaunchIt != Dispatch.Launches.end() && LaunchIt->first.Job == Job;) {
    const JobTask *Task = findTask(State, LaunchIt->first);
    const bool IsAssigned =
        Task != nullptr && Task->State == JobTaskState::Assigned &&
        Task->Attempt == LaunchIt->second.Assignment.Attempt;
    if (IsAssigned) {
      ++LaunchIt;
      continue;
    }
    Dispatch.Sessions[LaunchIt->second.Assignment.Worker].Tasks.erase(
        LaunchIt->first);
    LaunchIt = Dispatch.Launches.erase(LaunchIt);
  }
}

/// Forgets what the previous instance of a worker listed about an attempt. If
/// the new instance runs it, it has started it again.
void forgetProgress(TaskLaunch &Launch, Instant Now) {
  Launch.Baseline.reset();
  Launch.ProgressPercent = 0;
  Launch.ProgressAt = Now;
  Launch.ListedAt = Instant{};
  Launch.Gauge = 0;
  Launch.OverLimitSince = Instant{};
  Launch.IsProbed = false;
  // The attempt on the new instance may have been started without a pace.
  Launch.IsPaceKnown = Launch.IsPaceKnown && Launch.PaceAt == Instant{};
}

/// Moves the launches and orphans of a worker to its new instance. An order
/// that was sent to the previous instance may still start there, so what was
/// stopped is stopped again on the new one.
void transferLaunches(DispatchState &Dispatch, const CellState &State,
                      WorkerInstanceId From, WorkerInstanceId To, Instant Now) {
  const auto PreviousSession = Dispatch.Sessions.find(From);
  if (PreviousSession == Dispatch.Sessions.end()) {
    return;
  }
  WorkerSession &Session = Dispatch.Sessions[To];
  Dispatch.TouchedWorkers.insert(To);
  if (State.Workers[To].IsUnannounced) {
    Session.Rack = PreviousSession->second.Rack;
  }
  Session.Tasks = std::move(PreviousSession->second.Tasks);
  Session.Orphans = std::move(PreviousSession->second.Orphans);
  for (OrphanedStart &Orphan : Session.Orphans) {
    Orphan.IsCrashCounted = true;
    Orphan.StopOrder = 0;
    Orphan.StopSentAt = Instant{};
    Orphan.StopAckedAt.reset();
  }
  for (const TaskKey &Key : Session.Tasks) {
    TaskLaunch &Launch = Dispatch.Launches.at(Key);
    Launch.Assignment.Worker = To;
    Launch.StopOrder = 0;
    Launch.StopSentAt = Instant{};
    Launch.StopAckedAt.reset();
    if (const JobTask *Task = findTask(State, Key)) {
      Launch.EndIfUnlisted = Task->EndIfUnlisted;
      Launch.IsTransferred = Task->IsTransferred;
    }
    forgetProgress(Launch, Now);
  }
  Dispatch.Sessions.erase(From);
}

void proposeCapacity(DispatchState &Dispatch, WorkerSession &Session,
                     WorkerInstanceId Worker, const WorkerReport &Report) {
  const Resources &Capacity = Report.Capacity;
  Dispatch.Events.push_back("event=worker-capacity worker=" + Report.Name +
                            " " + describeResources(Capacity));
  Session.ProposedCapacity = Capacity;
  Session.CapacitySequence = Report.Sequence;
  Dispatch.Commands.emplace_back(
      UpdateCapacityCommand{Worker, Capacity, Report.Sequence});
}

void removeStaleSessions(DispatchState &Dispatch, const CellState &State) {
  std::erase_if(Dispatch.Sessions, [&State](const auto &SessionRow) {
    return !State.Workers.contains(SessionRow.first);
  });
}

void purgeObsolete(DispatchState &Dispatch, const CellState &State, Instant Now,
                   WallTime WallNow) {
  PurgeJobsCommand Purge;
  StripJobsCommand Strip;
  for (const JobId Id : State.Jobs.ids()) {
    const Job &JobRow = State.Jobs[Id];
    if (isTerminal(JobRow.Phase) && JobRow.AssignedTasks == 0 &&
        WallNow - JobRow.FinishedAt > Dispatch.Options.Retention) {
      Purge.Jobs.push_back(Id);
    } else if (canStrip(State, JobRow)) {
      Strip.Jobs.push_back(Id);
    }
  }
  if (!Purge.Jobs.empty()) {
    Dispatch.Commands.emplace_back(std::move(Purge));
  }
  if (!Strip.Jobs.empty()) {
    Dispatch.Commands.emplace_back(std::move(Strip));
  }
  const auto IsObsolete = [&State](const auto &StepRow) {
    const Job *Owner = State.Jobs.find(StepRow.first.Job);
    return Owner == nullptr || isTerminal(Owner->Phase) ||
           findRun(*Owner, StepRow.first.Run) == nullptr;
  };
  std::erase_if(Dispatch.Advice, IsObsolete);
  std::erase_if(Dispatch.Times, IsObsolete);
  std::erase_if(Dispatch.Reservations, IsObsolete);
  std::erase_if(Dispatch.BlockedSince, IsObsolete);
  std::erase_if(Dispatch.StallsAtStart, IsObsolete);
  for (const auto &[Id, Session] : Dispatch.Sessions) {
    const Instant LastContactAt =
        std::max(Session.ReportedAt, Session.AnsweredAt);
    if (Session.Tasks.empty() && Now - LastContactAt > IdleWorkerTimeout &&
        Now > Session.LeaseEnd) {
      Dispatch.Commands.emplace_back(DeregisterWorkerCommand{Id});
    }
  }
}

void createDueRuns(DispatchState &Dispatch, const CellState &State,
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

void beginDispatch(DispatchState &Dispatch, const CellState &State,
                   Term FencingToken, Instant Now) {
  endDispatch(Dispatch);
  Dispatch.IsActive = true;
  Dispatch.FencingToken = FencingToken;
  Dispatch.BeganAt = Now;
  Dispatch.Waits.NextLookAt = Now + WaitLookInterval;
  Dispatch.NeedsPlan = true;
  for (const WorkerInstanceId Id : State.Workers.ids()) {
    openSession(Dispatch, Id, State.Workers[Id], Now);
  }
  recoverLaunches(Dispatch, State, Now);
  Dispatch.Nodes[Dispatch.Self].LastContactAt = Now;
}

void endDispatch(DispatchState &Dispatch) {
  DispatchState NewState;
  NewState.Options = Dispatch.Options;
  NewState.Entries = std::move(Dispatch.Entries);
  NewState.Self = Dispatch.Self;
  NewState.NextId = Dispatch.NextId;
  NewState.Counters = Dispatch.Counters;
  NewState.Events = std::move(Dispatch.Events);
  Dispatch = std::move(NewState);
}

void onStateChange(DispatchState &Dispatch, const CellState &State,
                   const CellChange &Change, Instant Now) {
  Dispatch.NeedsPlan = true;
  onWorkersCrashed(Dispatch, State, Change.Crashes, Now);
  for (const TaskEnd &End : Change.Ended) {
    Dispatch.Counters.Ends += 1;
    removeLaunch(Dispatch, State, End, Change);
    Dispatch.Events.push_back(
        "event=end " + describeStart(nameTask(State, End.Key), End.Attempt) +
        " how=" + std::string{nameOf(End.Kind)});
    const StepSpec *Spec = findStepSpec(State, End.Key);
    if (Spec != nullptr && Spec->IsGang) {
      removeReleasedLaunches(Dispatch, State, End.Key.Job);
    }
  }
  if (Change.Worker.isSet()) {
    const WorkerInstance &Registered = State.Workers[Change.Worker];
    WorkerSession &Session =
        openSession(Dispatch, Change.Worker, Registered, Now);
    // No start is sent before the instance refuses orders for previous ones.
    Session.IsReconciled = !Registered.MayHoldFormerLease;
    if (!Session.IsReconciled) {
      Dispatch.TouchedWorkers.insert(Change.Worker);
    }
    if (Change.ReplacedInstance.isSet()) {
      transferLaunches(Dispatch, State, Change.ReplacedInstance, Change.Worker,
                       Now);
    }
    Dispatch.Events.push_back(
        "event=worker-joined worker=" +
        State.Workers[Change.Worker].Report.Name + " announced=" +
        (State.Workers[Change.Worker].IsUnannounced ? "no" : "yes"));
  }
  if (Change.AnnouncedWorker.isSet()) {
    const WorkerReport &Announced =
        State.Workers[Change.AnnouncedWorker].Report;
    setReportedFields(Dispatch.Sessions[Change.AnnouncedWorker], Announced);
    Dispatch.Events.push_back(
        "event=worker-announced worker=" + Announced.Name + " rack=" +
        Announced.Rack + " draining=" + (Announced.IsDraining ? "yes" : "no"));
  }
  if (Dispatch.Sessions.size() != State.Workers.size()) {
    removeStaleSessions(Dispatch, State);
  }
  onLeasesResumed(Dispatch, Change.ResumedLeases, Now);
  for (const JobId Id : Change.FinishedJobs) {
    const Job &JobRow = State.Jobs[Id];
    Dispatch.Events.push_back("event=job-over job=" + JobRow.Name +
                              " phase=" + std::string{nameOf(JobRow.Phase)});
    if (JobRow.AssignedTasks != 0) {
      Dispatch.NextReviewAt = Now; // Stops the tasks that still run.
    }
  }
  sendStarts(Dispatch, State, Change.Started, Now);
}

void onWorkerReport(DispatchState &Dispatch, WorkerInstanceId Worker,
                    const WorkerReport &Report, Instant Now) {
  WorkerSession &Session = Dispatch.Sessions[Worker];
  if (Report.Sequence <= Session.Sequence && Session.Sequence != 0) {
    return;
  }
  Session.Sequence = Report.Sequence;
  Session.Remaining = Report.Remaining;
  // A report that was sent before the drain may reach a new leader late.
  Session.IsDraining = Session.IsDraining || Report.IsDraining;
  Session.ReportedAt = Now;
  if (!Session.Clock) {
    Dispatch.NeedsPlan = true;
  }
  Session.Clock = ClockSample{Report.Clock, Now};
  // A new leader does not know which reports its predecessor got. The recorded
  // sequence number keeps an older report from undoing the recorded capacity.
  if (Report.Sequence > Session.CapacitySequence &&
      Report.Capacity != Session.ProposedCapacity) {
    proposeCapacity(Dispatch, Session, Worker, Report);
  }
}

void stepDispatch(DispatchState &Dispatch, const CellState &State, Instant Now,
                  WallTime WallNow) {
  if (Now >= Dispatch.NextTimersAt) {
    Dispatch.NextTimersAt = Now + TimerInterval;
    expireQueries(Dispatch, Now);
    expireLeases(Dispatch, State, Now, WallNow);
    proposeLeaseChanges(Dispatch, State, Now);
    stopOrphans(Dispatch, State, Now);
    probeOverdueStarts(Dispatch, Now);
    sendDueRenewals(Dispatch, State, Now);
  }
  if (Now >= Dispatch.NextReviewAt) {
    Dispatch.NextReviewAt = Now + ReviewInterval;
    reviewLaunches(Dispatch, State, Now);
    createDueRuns(Dispatch, State, WallNow);
  }
  if (Now >= Dispatch.NextPurgeAt) {
    Dispatch.NextPurgeAt = Now + PurgeInterval;
    purgeObsolete(Dispatch, State, Now, WallNow);
  }
  const bool IsDue =
      (Dispatch.NeedsPlan && Now >= Dispatch.LastPlanAt + MinPlanInterval) ||
      Now >= Dispatch.NextPlanAt;
  if (!Dispatch.HasUncommittedStarts && IsDue) {
    Dispatch.NeedsPlan = false;
    Dispatch.LastPlanAt = Now;
    Dispatch.NextPlanAt = Now + PlanInterval;
    std::vector<TaskAssignment> Assignments =
        planStarts(Dispatch, State, Now, WallNow);
    if (!Assignments.empty()) {
      Dispatch.HasUncommittedStarts = true;
      Dispatch.Commands.emplace_back(
          AssignTasksCommand{std::move(Assignments)});
    }
    for (const TaskKey &Key : std::exchange(Dispatch.Preemptions, {})) {
      sendStop(Dispatch, State, Dispatch.Launches.at(Key), "preempted", Now);
      Dispatch.Counters.Preemptions += 1;
    }
  }
  renewTouched(Dispatch, State, Now);
  logWaits(Dispatch, State, Now, WallNow);
}

} // namespace mulberryramp
