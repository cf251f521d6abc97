#include "mulberryramp/cell/cell_node.hpp"

#include <utility>

/// @file
/// @brief Calls that the leader of a cell serves: of callers, operators and
/// workers.

namespace mulberryramp {

namespace {

/// A report with a start time that is further ahead of the wall clock is
/// ignored, as it would replace the actual worker for good.
constexpr Millis MaxStartTimeLead{std::chrono::hours{24}};

} // namespace

bool CellNode::belongsToQueue(JobId Id, const JobQueue &Queue) const {
  const JobQueue &QueueOfJob = State.Jobs[Id].Queue;
  return QueueOfJob.Host == Queue.Host && QueueOfJob.Prefix == Queue.Prefix;
}

std::uint32_t CellNode::countPending(const JobQueue &Queue) const {
  std::uint32_t Count = 0;
  for (const JobId Id : State.UnfinishedJobs) {
    Count +=
        State.Jobs[Id].Phase == JobPhase::Queued && belongsToQueue(Id, Queue)
            ? 1
            : 0;
  }
  return Count;
}

void CellNode::serve(const PendingCaller &Caller, const JobCall &Call,
                     WallTime WallNow) {
  const JobQueue *Queue = matchQueue(State.Configuration, Call.Host, Call.Path);
  if (Queue == nullptr) {
    const bool IsConfigured = State.Configuration.Version != 0;
    answer(Caller.From, Caller.Id,
           IsConfigured
               ? makeReply(CellVerdict::NotFound, "no such queue")
               : makeReply(CellVerdict::Refused, "no configuration yet"));
    return;
  }
  const Organisation *Owner = nullptr;
  if (requiresKey(State.Configuration, *Queue)) {
    Owner = findOrganisationByKey(State, Call.Key);
    if (Owner == nullptr) {
      answer(Caller.From, Caller.Id,
             makeReply(CellVerdict::Unauthenticated, "unknown key"));
      return;
    }
  }
  const std::string Name = Call.Path.substr(Queue->Prefix.size());
  if (Name.empty() && Call.Verb == JobVerb::Read) {
    CellReply Reply;
    Reply.IsQueue = true;
    Reply.Pending = countPending(*Queue);
    answer(Caller.From, Caller.Id, std::move(Reply));
    return;
  }
  const JobId Existing = findJob(State, Name);
  const bool IsInQueue =
      Existing.isSet() && belongsToQueue(Existing, *Queue) &&
      (Owner == nullptr || State.Jobs[Existing].Organisation == Owner->Name);
  if (Call.Verb == JobVerb::Submit && !Existing.isSet()) {
    submitJob(Caller, *Queue, Name, Call, WallNow);
  } else if (!IsInQueue) {
    answer(Caller.From, Caller.Id, makeReply(CellVerdict::Gone, "no such job"));
  } else if (Call.Verb == JobVerb::Cancel) {
    cancelJob(Caller, Existing, WallNow);
  } else {
    CellReply Status;
    Status.Phase = State.Jobs[Existing].Phase;
    answer(Caller.From, Caller.Id, std::move(Status));
  }
}

void CellNode::submitJob(const PendingCaller &Caller, const JobQueue &Queue,
                         std::string Name, const JobCall &Call,
                         WallTime WallNow) {
  if (Name.empty()) {
    answer(Caller.From, Caller.Id,
           makeReply(CellVerdict::NotFound, "no job name"));
    return;
  }
  if (Options.MaxStateBytes != 0 &&
      State.JobBytes + estimateBytes(Call.Spec) > Options.MaxStateBytes) {
    Events.push_back(
        "event=refuse-submission job=" + Name +
        " reason=state-limit bytes=" + std::to_string(State.JobBytes) +
        " limit=" + std::to_string(Options.MaxStateBytes));
    answer(Caller.From, Caller.Id,
           makeReply(CellVerdict::Refused,
                     "the jobs have reached the limit of memory or disk"));
    return;
  }
  Events.push_back(
      "event=submit job=" + Name + " queue=" + Queue.Prefix +
      " steps=" + std::to_string(Call.Spec.Steps.size()) +
      " configuration=" + std::to_string(State.Configuration.Version));
  propose(Caller, SubmitJobCommand{std::move(Name), Queue.Host, Queue.Prefix,
                                   Call.Spec, WallNow, Call.Key});
}

void CellNode::cancelJob(const PendingCaller &Caller, JobId Id,
                         WallTime WallNow) {
  const Job &JobRow = State.Jobs[Id];
  if (isTerminal(JobRow.Phase)) {
    answer(Caller.From, Caller.Id, makeReply(CellVerdict::Done));
    return;
  }
  Events.push_back("event=cancel job=" + JobRow.Name);
  propose(Caller, CancelJobCommand{JobRow.Name, WallNow});
}

void CellNode::serve(const PendingCaller &Caller, const ConfigureCall &Call) {
  if (Call.Configuration.Version <= State.Configuration.Version) {
    answer(Caller.From, Caller.Id,
           makeReply(CellVerdict::Done, "already overtaken"));
    return;
  }
  Events.push_back(
      "event=configure version=" + std::to_string(Call.Configuration.Version) +
      " queues=" + std::to_string(Call.Configuration.Queues.size()) +
      " former=" + std::to_string(State.Configuration.Version));
  propose(Caller, ConfigureCommand{Call.Configuration});
}

void CellNode::serve(const PendingCaller &Caller,
                     const ReadConfigurationCall & /*Call*/) {
  answer(
      Caller.From, Caller.Id,
      State.Configuration.Version == 0
          ? makeReply(CellVerdict::Refused, "no configuration yet")
          : makeReply(CellVerdict::Done, State.Configuration.SourceDocument));
}

void CellNode::serve(const PendingCaller &Caller, const WorkerReportCall &Call,
                     WallTime WallNow) {
  const WallTime StartTime{Millis{Call.Report.StartTimeMs}};
  if (StartTime > WallNow + MaxStartTimeLead) {
    answer(Caller.From, Caller.Id,
           makeReply(CellVerdict::Done, "a start time in the future"));
    return;
  }
  const WorkerInstanceId Id = findWorker(State, Call.Report.Name);
  const WorkerInstance *Instance = State.Workers.find(Id);
  if (Instance == nullptr ||
      Call.Report.StartTimeMs > Instance->Report.StartTimeMs) {
    // A worker of a pool that no job can use might still end another one that
    // has the same address. It is registered by the first report after a
    // configuration names its pool.
    if (!isPoolInUse(State, Call.Report.Pool)) {
      answer(Caller.From, Caller.Id,
             makeReply(CellVerdict::Done, "unused pool"));
      return;
    }
    PendingCaller Registering = Caller;
    Registering.Report = Call.Report;
    propose(Registering, RegisterWorkerCommand{Call.Report});
    return;
  }
  if (Call.Report.StartTimeMs < Instance->Report.StartTimeMs) {
    answer(Caller.From, Caller.Id,
           makeReply(CellVerdict::Done, "an earlier life"));
    return;
  }
  onWorkerReport(Dispatch, Id, Call.Report, CurrentTime);
  // A draining instance never returns to service: an older report that arrives
  // late does not undo the drain.
  if (!Call.Report.IsDraining || Instance->Report.IsDraining) {
    answer(Caller.From, Caller.Id, makeReply(CellVerdict::Done));
    return;
  }
  Events.push_back("event=worker-drains worker=" + Call.Report.Name);
  propose(Caller, DrainWorkerCommand{Id});
}

void CellNode::serve(const PendingCaller &Caller,
                     const DeregisterWorkerCall &Call) {
  // A late call may come from an earlier instance, so only a draining worker is
  // deregistered.
  const WorkerInstanceId Id = findWorker(State, Call.Name);
  if (!Id.isSet() || !State.Workers[Id].Report.IsDraining) {
    answer(Caller.From, Caller.Id, makeReply(CellVerdict::Done));
    return;
  }
  Events.push_back("event=worker-left worker=" + Call.Name);
  propose(Caller, DeregisterWorkerCommand{Id});
}

} // namespace mulberryramp
