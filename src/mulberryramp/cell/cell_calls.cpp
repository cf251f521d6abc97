#include "mulberryramp/cell/cell_node.hpp"

#include "mulberryramp/cell/crash_attribution.hpp"
#include "mulberryramp/cell/pending_steps.hpp"
#include "mulberryramp/core/digest.hpp"
#include "mulberryramp/job/organisation_accounts.hpp"

#include <unordered_map>
#include <utility>

/// @file
/// @brief Calls that the leader of a cell serves: of callers, operators and
/// workers.

namespace mulberryramp {

namespace {

/// A report with a start time that is further ahead of the wall clock is
/// ignored, as it would replace the actual worker for good.
constexpr Millis MaxStartTimeLead{std::chrono::hours{24}};

/// Number of removed keys that one log line shows.
constexpr std::size_t MaxShownKeys = 16;

/// Describes how a configuration changes the keys, for the log.
std::string describeKeyChange(const CellState &State,
                              const CellConfiguration &Next) {
  std::unordered_map<std::string_view, std::string_view> Owners;
  for (const Organisation &Row : Next.Organisations) {
    for (const std::string &Digest : Row.KeyDigests) {
      Owners.emplace(Digest, Row.Name);
    }
  }
  std::size_t Kept = 0;
  std::size_t Moved = 0;
  std::string Removed;
  std::size_t RemovedCount = 0;
  for (const Organisation &Row : State.Configuration.Organisations) {
    for (const std::string &Digest : Row.KeyDigests) {
      const auto OwnerIt = Owners.find(Digest);
      if (OwnerIt != Owners.end()) {
        Kept += 1;
        Moved += OwnerIt->second != Row.Name ? 1 : 0;
        continue;
      }
      RemovedCount += 1;
      if (RemovedCount <= MaxShownKeys) {
        Removed += (Removed.empty() ? "" : ",") + abbreviateDigest(Digest);
      }
    }
  }
  return " organisations=" + std::to_string(Next.Organisations.size()) +
         " keys_added=" + std::to_string(Owners.size() - Kept) +
         " keys_moved=" + std::to_string(Moved) +
         " keys_removed=" + std::to_string(RemovedCount) +
         " removed=" + (Removed.empty() ? "-" : Removed);
}

/// Builds the reply to the caller of a committed command.
CellReply replyToCommitted(CommandOutcome Outcome) {
  switch (Outcome) {
  case CommandOutcome::Done:
    return makeReply(CellVerdict::Done);
  case CommandOutcome::NoQueue:
    return makeReply(CellVerdict::NotFound, "no such queue");
  case CommandOutcome::InvalidKey:
    return makeReply(CellVerdict::Unauthenticated, "unknown key");
  case CommandOutcome::OverCap:
    return makeReply(CellVerdict::Refused,
                     "a gang is larger than the cap of its organisation");
  case CommandOutcome::NoJob:
    return makeReply(CellVerdict::Gone, "no such job");
  case CommandOutcome::NoWorker:
    return makeReply(CellVerdict::Refused, "no such worker");
  case CommandOutcome::Overtaken:
    return makeReply(CellVerdict::Done, "already overtaken");
  case CommandOutcome::NotDraining:
    return makeReply(CellVerdict::Done, "the worker does not drain");
  }
  return makeReply(CellVerdict::Unknown);
}

} // namespace

void CellNode::logDenial(const DeniedCall &Call) {
  if (auto Line = Denials.add(Call, CurrentTime)) {
    Events.push_back(std::move(*Line));
  }
}

void CellNode::answerCommitted(const PendingCaller &Caller,
                               const CellChange &Change) {
  if (Caller.Report) {
    const WorkerInstanceId Worker = findWorker(State, Caller.Report->Name);
    if (Worker.isSet() && State.Workers[Worker].Report.StartTimeMs ==
                              Caller.Report->StartTimeMs) {
      onWorkerReport(Dispatch, Worker, *Caller.Report, CurrentTime);
    }
  }
  if (Change.Outcome != CommandOutcome::Done) {
    Events.push_back("event=no-effect caller=" + std::to_string(Caller.From) +
                     " call=" + std::to_string(Caller.Id) +
                     " outcome=" + std::string{nameOf(Change.Outcome)});
  }
  answer(Caller.From, Caller.Id, replyToCommitted(Change.Outcome));
}

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
  if (Call.Verb == JobVerb::Check && State.Configuration.Version != 0 &&
      !State.Configuration.RequiresKeys) {
    answer(Caller.From, Caller.Id, makeReply(CellVerdict::Done));
    return;
  }
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
      logDenial({Caller.From, Call.Verb, Queue->Prefix, Call.Key,
                 Call.Key.empty() ? "no-key" : "unknown-key",
                 State.Configuration.Version});
      answer(Caller.From, Caller.Id,
             makeReply(CellVerdict::Unauthenticated, "unknown key"));
      return;
    }
  }
  if (Call.Verb == JobVerb::Check) {
    answer(Caller.From, Caller.Id, makeReply(CellVerdict::Done));
    return;
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
  const bool IsInQueue = Existing.isSet() && belongsToQueue(Existing, *Queue) &&
                         isVisibleTo(State.Jobs[Existing], Owner);
  if (Call.Verb == JobVerb::Submit && !Existing.isSet()) {
    submitJob(Caller, *Queue, Owner, Name, Call, WallNow);
  } else if (!IsInQueue) {
    answer(Caller.From, Caller.Id, makeReply(CellVerdict::Gone, "no such job"));
  } else if (Call.Verb == JobVerb::Cancel) {
    cancelJob(Caller, Existing, Call.Key, WallNow);
  } else {
    CellReply Status;
    Status.Phase = State.Jobs[Existing].Phase;
    answer(Caller.From, Caller.Id, std::move(Status));
  }
}

void CellNode::submitJob(const PendingCaller &Caller, const JobQueue &Queue,
                         const Organisation *Owner, std::string Name,
                         const JobCall &Call, WallTime WallNow) {
  if (Name.empty()) {
    answer(Caller.From, Caller.Id,
           makeReply(CellVerdict::NotFound, "no job name"));
    return;
  }
  if (Owner != nullptr && refuseOverCap(Caller, Name, Call.Spec, *Owner)) {
    return;
  }
  if (refuseUnderOverload(Caller, Queue, Name, Call, Owner, WallNow)) {
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
  Events.push_back("event=submit job=" + Name + " queue=" + Queue.Prefix +
                   " steps=" + std::to_string(Call.Spec.Steps.size()) +
                   " key=" + abbreviateDigest(Call.Key) + " configuration=" +
                   std::to_string(State.Configuration.Version));
  propose(Caller, SubmitJobCommand{std::move(Name), Queue.Host, Queue.Prefix,
                                   Call.Spec, WallNow, Call.Key});
}

bool CellNode::refuseUnderOverload(const PendingCaller &Caller,
                                   const JobQueue &Queue,
                                   const std::string &Name, const JobCall &Call,
                                   const Organisation *Owner,
                                   WallTime WallNow) {
  if (!Dispatch.Options.HasAdmissionControl || Dispatch.Backlog.empty()) {
    return false;
  }
  AdmissionRequest Request;
  Request.IsExcess = Owner != nullptr && !isOwedJob(State, *Owner, WallNow);
  // A job beyond the rate of its organisation comes after all others.
  Request.Backlog = backlogOf(Dispatch.Backlog, Queue.Pool,
                              Request.IsExcess ? UINT32_MAX : Queue.Priority);
  Request.UsefulTime = usefulTimeOf(Call.Spec, Queue);
  Request.Hash = std::hash<std::string>{}(Name);
  const AdmissionDecision Decision = decideAdmission(Request);
  if (Decision.IsAccepted) {
    return false;
  }
  (Request.IsExcess ? Dispatch.Counters.RefusedAsExcess
                    : Dispatch.Counters.RefusedForBacklog) += 1;
  Events.push_back("event=submit-refused job=" + Name +
                   " queue=" + Queue.Prefix +
                   " organisation=" + (Owner == nullptr ? "-" : Owner->Name) +
                   " reason=" + std::string{Decision.Reason} +
                   " backlog_ms=" + std::to_string(Request.Backlog.count()) +
                   " useful_ms=" + std::to_string(Request.UsefulTime.count()) +
                   " retry_ms=" + std::to_string(Decision.RetryAfter.count()));
  CellReply Reply =
      makeReply(CellVerdict::Overloaded,
                "too little room: " + std::string{Decision.Reason});
  Reply.RetryAfter = Decision.RetryAfter;
  answer(Caller.From, Caller.Id, std::move(Reply));
  return true;
}

bool CellNode::refuseOverCap(const PendingCaller &Caller,
                             const std::string &Name, const JobSpec &Spec,
                             const Organisation &Owner) {
  const auto Step = findGangOverCap(Spec, Owner.Cap);
  if (!Step) {
    return false;
  }
  const StepSpec &Gang = Spec.Steps[*Step];
  const std::string Sizes = "step=" + std::to_string(*Step) +
                            " tasks=" + std::to_string(Gang.Tasks) + " " +
                            describeResources(Gang.Need) + " " +
                            describeResources(Owner.Cap, "cap_");
  Events.push_back("event=submit-refused job=" + Name + " organisation=" +
                   Owner.Name + " reason=gang-over-cap " + Sizes);
  answer(
      Caller.From, Caller.Id,
      makeReply(CellVerdict::Refused,
                "a gang is larger than the cap of the organisation: " + Sizes));
  return true;
}

void CellNode::cancelJob(const PendingCaller &Caller, JobId Id,
                         const std::string &Key, WallTime WallNow) {
  const Job &JobRow = State.Jobs[Id];
  if (isTerminal(JobRow.Phase)) {
    answer(Caller.From, Caller.Id, makeReply(CellVerdict::Done));
    return;
  }
  Events.push_back("event=cancel job=" + JobRow.Name +
                   " key=" + abbreviateDigest(Key));
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
      " former=" + std::to_string(State.Configuration.Version) +
      describeKeyChange(State, Call.Configuration));
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
  const bool IsFirstReport =
      Instance != nullptr && Instance->IsUnannounced &&
      Call.Report.StartTimeMs == Instance->Report.StartTimeMs;
  if (Instance == nullptr || IsFirstReport ||
      Call.Report.StartTimeMs > Instance->Report.StartTimeMs) {
    // A worker of a pool that no job can use might still end another one that
    // has the same address. It is registered by the first report after a
    // configuration names its pool.
    if (!IsFirstReport && !isPoolInUse(State, Call.Report.Pool)) {
      answer(Caller.From, Caller.Id,
             makeReply(CellVerdict::Done, "unused pool"));
      return;
    }
    PendingCaller Registering = Caller;
    Registering.Report = Call.Report;
    propose(Registering, makeRegistration(Dispatch, State, Call.Report,
                                          CurrentTime, WallNow));
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
  // The registration or the drain of the worker may not be committed yet, so
  // the log decides whether the call has an effect.
  Events.push_back("event=worker-leaves worker=" + Call.Name);
  propose(Caller, LeaveWorkerCommand{Call.Name});
}

} // namespace mulberryramp
