#include "mulberryramp/cell/cell_node.hpp"

#include "mulberryramp/cell/answers.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

namespace {

constexpr const char *GroupName = "cell";

/// Nothing but what this node has synced may be claimed by these.
bool needsSync(const ReplicaBody &Body) {
  return std::holds_alternative<VoteRequest>(Body) ||
         std::holds_alternative<VoteReply>(Body) ||
         std::holds_alternative<AppendEntriesReply>(Body);
}

CellReply reply(CellVerdict Verdict, std::string Text = {}) {
  CellReply Item;
  Item.Verdict = Verdict;
  Item.Text = std::move(Text);
  return Item;
}

} // namespace

CellNode::CellNode(const CellNodeOptions &Options, StoredGroup Stored,
                   Instant Now)
    : Options{Options}, Relay{Options.Self, Options.Seeds, Now}, Clock{Now} {
  Dispatch.Options = Options.Dispatch;
  Dispatch.Self = Options.Self;
  if (Options.IsVoter) {
    Group.emplace(startReplica(GroupName, {Options.Self, Options.Incarnation},
                               Options.Agreement, std::move(Stored),
                               Options.Seed, Now),
                  std::nullopt, static_cast<GroupState &>(*this));
    addSeeds(Options.Seeds);
  }
}

CellNode::~CellNode() = default;

void CellNode::addSeeds(const std::vector<NodeId> &Seeds) {
  Relay.addNodes(Seeds);
  if (Group) {
    Group->replica().Options.VoterNodes.insert(Seeds.begin(), Seeds.end());
    Group->replica().Options.VoterNodes.erase(0);
  }
}

void CellNode::send(NodeId To, CellBody Body) {
  Outbox.push_back({Options.Self, To, std::move(Body)});
}

void CellNode::receive(const CellMessage &Message, Instant Now,
                       WallTime WallNow) {
  Clock = Now;
  if (Message.To != Options.Self) {
    return;
  }
  std::visit(
      [&](const auto &Body) {
        using Kind = std::decay_t<decltype(Body)>;
        if constexpr (std::is_same_v<Kind, ReplicaMessage>) {
          if (Group) {
            mulberryramp::receive(Group->replica(), Now, Body);
          }
        } else if constexpr (std::is_same_v<Kind, NodeHello>) {
          onHello(Message.From, Now);
        } else if constexpr (std::is_same_v<Kind, NodeWelcome>) {
          Relay.receive(Message.From, Body, Now);
          addSeeds(Body.Voters);
        } else if constexpr (std::is_same_v<Kind, RelayedCall>) {
          onCall(Message.From, Body, WallNow);
        } else if constexpr (std::is_same_v<Kind, RelayedReply>) {
          Relay.receive(Message.From, Body, Now);
        } else if constexpr (std::is_same_v<Kind, AdviceQuery>) {
          onAdviceQuery(Message.From, Body);
        } else if (isLeading(Now)) {
          onAdviceAnswer(Dispatch, State, Body, Now);
        }
      },
      Message.Body);
}

void CellNode::onHello(NodeId From, Instant Now) {
  if (Group) {
    Subscribers[From] = Now;
    sendWelcome(From, Now);
  }
}

void CellNode::sendWelcome(NodeId From, Instant Now) {
  NodeWelcome Welcome;
  Welcome.Leader = leader();
  Welcome.IsConfigured = State.Configuration.Version != 0;
  for (const Member &Voter : membership(Group->replica()).Voters) {
    Welcome.Voters.push_back(Voter.Node);
  }
  if (isLeading(Now)) {
    Dispatch.Nodes[From].LastContactAt = Now;
  } else if (Welcome.Leader == Options.Self) {
    Welcome.Leader = 0;
  }
  send(From, std::move(Welcome));
}

void CellNode::notifySubscribers(Instant Now) {
  std::erase_if(Subscribers, [Now](const auto &Subscriber) {
    return Now - Subscriber.second > SubscriberTimeout;
  });
  for (const auto &[Subscriber, HeardAt] : Subscribers) {
    sendWelcome(Subscriber, Now);
  }
}

void CellNode::onAdviceQuery(NodeId From, const AdviceQuery &Query) {
  AdviceQuery Own = Query;
  Own.Id = NextQuestion;
  NextQuestion += 1;
  ForwardedQueries[Own.Id] = {From, Query.Id};
  Queries.push_back(std::move(Own));
}

void CellNode::onAdviceDone(const AdviceAnswer &Answer, Instant Now) {
  const auto Found = ForwardedQueries.find(Answer.Id);
  if (Found == ForwardedQueries.end()) {
    return;
  }
  AdviceAnswer Told = Answer;
  Told.Id = Found->second.Id;
  const NodeId To = Found->second.From;
  ForwardedQueries.erase(Found);
  if (To != Options.Self) {
    send(To, std::move(Told));
  } else if (isLeading(Now)) {
    onAdviceAnswer(Dispatch, State, Told, Now);
  }
}

void CellNode::call(std::uint64_t CallId, CellCall Body, Instant Now) {
  Relay.call(CallId, std::move(Body), Now);
}

void CellNode::onOrderDone(const OrderResult &Result, Instant Now,
                           WallTime WallNow) {
  if (Dispatch.IsActive) {
    onOrderResult(Dispatch, State, Result, Now, WallNow);
  }
}

void CellNode::writeDone() {
  IsWriting = false;
  finishSave(Group->replica());
  for (ReplicaMessage &Message : AfterCurrentWrite) {
    const NodeId To = Message.To.Node;
    send(To, std::move(Message));
  }
  AfterCurrentWrite = std::exchange(AfterNextWrite, {});
}

void CellNode::answer(NodeId To, std::uint64_t Id, CellReply Reply) {
  send(To, RelayedReply{Id, true, false, std::move(Reply)});
}

void CellNode::onCall(NodeId From, const RelayedCall &Call, WallTime WallNow) {
  if (!isLeading(Clock)) {
    send(From, RelayedReply{Call.Id, false, false, {}});
    return;
  }
  const PendingCaller For{From, Call.Id, std::nullopt};
  std::visit(
      [&](const auto &Body) {
        if constexpr (std::is_same_v<std::decay_t<decltype(Body)>, JobCall>) {
          serve(For, Body, WallNow);
        } else {
          serve(For, Body);
        }
      },
      Call.Body);
}

void CellNode::propose(const PendingCaller &For, CellCommand Command) {
  Proposals.push_back(std::move(Command));
  ProposalWaiters.push_back(For);
}

bool CellNode::isOfQueue(JobId Id, const JobQueue &Queue) const {
  const JobQueue &Own = State.Jobs[Id].Queue;
  return Own.Host == Queue.Host && Own.Prefix == Queue.Prefix;
}

std::uint32_t CellNode::countPending(const JobQueue &Queue) const {
  std::uint32_t Count = 0;
  for (const JobId Id : State.UnfinishedJobs) {
    Count += State.Jobs[Id].Phase == JobPhase::Queued && isOfQueue(Id, Queue)
                 ? 1
                 : 0;
  }
  return Count;
}

void CellNode::serve(const PendingCaller &For, const JobCall &Call,
                     WallTime WallNow) {
  const JobQueue *Queue = matchQueue(State.Configuration, Call.Host, Call.Path);
  if (Queue == nullptr) {
    const bool IsConfigured = State.Configuration.Version != 0;
    answer(For.From, For.Id,
           IsConfigured ? reply(CellVerdict::NotFound, "no such queue")
                        : reply(CellVerdict::Refused, "no configuration yet"));
    return;
  }
  const std::string Name = Call.Path.substr(Queue->Prefix.size());
  if (Name.empty() && Call.Verb == JobVerb::Read) {
    CellReply Count;
    Count.IsQueue = true;
    Count.Pending = countPending(*Queue);
    answer(For.From, For.Id, std::move(Count));
    return;
  }
  const JobId Known = findJob(State, Name);
  const bool IsKnown = Known.isSet() && isOfQueue(Known, *Queue);
  if (Call.Verb == JobVerb::Submit && !Known.isSet()) {
    submitJob(For, *Queue, Name, Call, WallNow);
  } else if (!IsKnown) {
    answer(For.From, For.Id, reply(CellVerdict::Gone, "no such job"));
  } else if (Call.Verb == JobVerb::Cancel) {
    cancelJob(For, Known, WallNow);
  } else {
    CellReply Found;
    Found.Phase = State.Jobs[Known].Phase;
    answer(For.From, For.Id, std::move(Found));
  }
}

void CellNode::submitJob(const PendingCaller &For, const JobQueue &Queue,
                         std::string Name, const JobCall &Call,
                         WallTime WallNow) {
  if (Name.empty()) {
    answer(For.From, For.Id, reply(CellVerdict::NotFound, "no job name"));
    return;
  }
  Events.push_back(
      "event=submit job=" + Name + " queue=" + Queue.Prefix +
      " steps=" + std::to_string(Call.Spec.Steps.size()) +
      " configuration=" + std::to_string(State.Configuration.Version));
  propose(For, SubmitJobCommand{std::move(Name), Queue.Host, Queue.Prefix,
                                Call.Spec, WallNow});
}

void CellNode::cancelJob(const PendingCaller &For, JobId Id, WallTime WallNow) {
  const Job &JobRow = State.Jobs[Id];
  if (isTerminal(JobRow.Phase)) {
    answer(For.From, For.Id, reply(CellVerdict::Done));
    return;
  }
  Events.push_back("event=cancel job=" + JobRow.Name);
  propose(For, CancelJobCommand{JobRow.Name, WallNow});
}

void CellNode::serve(const PendingCaller &For, const ConfigureCall &Call) {
  if (Call.Configuration.Version <= State.Configuration.Version) {
    answer(For.From, For.Id, reply(CellVerdict::Done, "already overtaken"));
    return;
  }
  Events.push_back(
      "event=configure version=" + std::to_string(Call.Configuration.Version) +
      " queues=" + std::to_string(Call.Configuration.Queues.size()) +
      " former=" + std::to_string(State.Configuration.Version));
  propose(For, ConfigureCommand{Call.Configuration});
}

void CellNode::serve(const PendingCaller &For,
                     const ReadConfigurationCall & /*Call*/) {
  answer(For.From, For.Id,
         State.Configuration.Version == 0
             ? reply(CellVerdict::Refused, "no configuration yet")
             : reply(CellVerdict::Done, State.Configuration.SourceDocument));
}

void CellNode::serve(const PendingCaller &For, const WorkerReportCall &Call) {
  const WorkerInstanceId Known = findWorker(State, Call.Report.Name);
  const WorkerInstance *Instance = State.Workers.find(Known);
  if (Instance == nullptr ||
      Call.Report.StartTimeMs > Instance->Report.StartTimeMs) {
    PendingCaller Joins = For;
    Joins.Report = Call.Report;
    propose(Joins, RegisterWorkerCommand{Call.Report});
    return;
  }
  if (Call.Report.StartTimeMs < Instance->Report.StartTimeMs) {
    answer(For.From, For.Id, reply(CellVerdict::Done, "an earlier life"));
    return;
  }
  onWorkerReport(Dispatch, Known, Call.Report, Clock);
  // A life that drains ends: a late report from before does not undo it.
  if (!Call.Report.IsDraining || Instance->Report.IsDraining) {
    answer(For.From, For.Id, reply(CellVerdict::Done));
    return;
  }
  Events.push_back("event=worker-drains worker=" + Call.Report.Name);
  propose(For, DrainWorkerCommand{Known});
}

void CellNode::serve(const PendingCaller &For,
                     const DeregisterWorkerCall &Call) {
  // A late call may be from an earlier life; only a drained one may leave.
  const WorkerInstanceId Known = findWorker(State, Call.Name);
  if (!Known.isSet() || !State.Workers[Known].Report.IsDraining) {
    answer(For.From, For.Id, reply(CellVerdict::Done));
    return;
  }
  Events.push_back("event=worker-left worker=" + Call.Name);
  propose(For, DeregisterWorkerCommand{Known});
}

void CellNode::onLeadership(const Replica &Member) {
  const bool IsSame = Member.Role == ReplicaRole::Leader &&
                      Member.Hard.CurrentTerm == Dispatch.FencingToken;
  if (Dispatch.IsActive && !IsSame) {
    endDispatch(Dispatch);
    dropWaiters();
  }
}

void CellNode::dropWaiters() {
  for (const auto &[Index, Waiting] : Waiters) {
    for (const PendingCaller &Caller : Waiting) {
      send(Caller.From, RelayedReply{Caller.Id, false, true, {}});
    }
  }
  Waiters.clear();
  for (const PendingCaller &Caller : ProposalWaiters) {
    send(Caller.From, RelayedReply{Caller.Id, false, false, {}});
  }
  ProposalWaiters.clear();
  Proposals.clear();
}

void CellNode::onEntry(const Entry &LogEntry) {
  if (LogEntry.Kind != EntryKind::Command) {
    return;
  }
  const auto Commands = decodeCommands(LogEntry.Data);
  if (!Commands) {
    Events.push_back("event=unreadable-entry index=" +
                     std::to_string(LogEntry.Index));
    return;
  }
  const bool IsOwn =
      Dispatch.IsActive && LogEntry.InTerm == Dispatch.FencingToken;
  for (const CellCommand &Command : *Commands) {
    const CellChange Change = applyCommand(State, Command);
    if (!Dispatch.IsActive) {
      continue;
    }
    if (IsOwn && std::holds_alternative<AssignTasksCommand>(Command)) {
      Dispatch.HasUncommittedStarts = false;
    }
    onStateChange(Dispatch, State, Change, Clock);
  }
  const auto Found = Waiters.find(LogEntry.Index);
  if (Found == Waiters.end()) {
    return;
  }
  for (const PendingCaller &Caller : Found->second) {
    if (Caller.Report) {
      const WorkerInstanceId Known = findWorker(State, Caller.Report->Name);
      if (Known.isSet() && State.Workers[Known].Report.StartTimeMs ==
                               Caller.Report->StartTimeMs) {
        onWorkerReport(Dispatch, Known, *Caller.Report, Clock);
      }
    }
    answer(Caller.From, Caller.Id, reply(CellVerdict::Done));
  }
  Waiters.erase(Found);
}

void CellNode::onRestore(const std::string &Data) {
  State = {};
  if (Data.empty()) {
    return;
  }
  auto Restored = decodeCellState(Data);
  if (!Restored) {
    Events.push_back("event=unreadable-snapshot");
    return;
  }
  State = std::move(*Restored);
}

std::string CellNode::snapshotData() const { return encodeCellState(State); }

bool CellNode::isLeading(Instant Now) const {
  return Group && Dispatch.IsActive &&
         canServeAsLeader(Group->replica(), Now) &&
         Group->replica().Hard.CurrentTerm == Dispatch.FencingToken;
}

NodeId CellNode::leader() const noexcept {
  if (!Group) {
    return Relay.leader();
  }
  const auto &Known = Group->replica().Leader;
  return Known ? Known->Node : 0;
}

bool CellNode::isReadyForCallers(Instant Now) const {
  return !IsShuttingDown && Relay.hasRecentLeader(Now);
}

void CellNode::proposeOpen() {
  Proposals.insert(Proposals.end(),
                   std::make_move_iterator(Dispatch.Commands.begin()),
                   std::make_move_iterator(Dispatch.Commands.end()));
  Dispatch.Commands.clear();
  if (Proposals.empty()) {
    return;
  }
  const auto Index =
      mulberryramp::propose(Group->replica(), encodeCommands(Proposals));
  if (!Index) {
    endDispatch(Dispatch);
    dropWaiters();
    return;
  }
  if (!ProposalWaiters.empty()) {
    Waiters[*Index] = std::move(ProposalWaiters);
  }
  ProposalWaiters.clear();
  Proposals.clear();
}

void CellNode::stepGroup(Instant Now, WallTime WallNow) {
  Replica &Member = Group->replica();
  tick(Member, Now);
  Group->applyCommitted();
  Member.ReportedApplied = Member.LastApplied;
  const bool MayLead = canServeAsLeader(Member, Now);
  if (MayLead && !Dispatch.IsActive) {
    Events.push_back(
        "event=lead term=" + std::to_string(Member.Hard.CurrentTerm) +
        " jobs=" + std::to_string(State.Jobs.size()) +
        " workers=" + std::to_string(State.Workers.size()));
    beginDispatch(Dispatch, State, Member.Hard.CurrentTerm, Now, WallNow);
    notifySubscribers(Now);
  }
  if (MayLead && Dispatch.IsActive) {
    stepDispatch(Dispatch, State, Now, WallNow);
    proposeOpen();
    // What was proposed goes out with this step, not with the next heartbeat.
    tick(Member, Now);
  }
  if (Member.Leader && Member.Role != ReplicaRole::Leader) {
    Relay.setLeader(Member.Leader->Node, Member.LastLeaderContactAt);
  } else if (MayLead) {
    Relay.setLeader(Options.Self, Now);
  }
}

void CellNode::beginWrite(CellOutput &Output) {
  if (IsWriting) {
    return;
  }
  Output.Write = beginSave(Group->replica());
  IsWriting = Output.Write.has_value();
}

/// Messages that claim synced state wait for the write that makes it so.
void CellNode::sortReplicaMessages(CellOutput &Output) {
  Replica &Member = Group->replica();
  const bool WasWriting = IsWriting;
  const bool HasMore = Member.HasUnsaved;
  beginWrite(Output);
  for (ReplicaMessage &Message : std::exchange(Member.Outbox, {})) {
    if (!needsSync(Message.Body) || (!WasWriting && !HasMore)) {
      const NodeId To = Message.To.Node;
      send(To, std::move(Message));
    } else if (WasWriting && HasMore) {
      AfterNextWrite.push_back(std::move(Message));
    } else {
      AfterCurrentWrite.push_back(std::move(Message));
    }
  }
}

void CellNode::logRoleChange(Instant Now) {
  RoleSnapshot Seen{"relay", leader(), 0, 0, Relay.hasRecentLeader(Now)};
  if (Group) {
    const Replica &Member = Group->replica();
    Seen.Role = nameOf(Member.Role);
    Seen.CurrentTerm = Member.Hard.CurrentTerm;
    Seen.Voters = membership(Member).Voters.size();
  }
  if (Seen == LastRole) {
    return;
  }
  LastRole = Seen;
  Events.push_back("event=role role=" + std::string{Seen.Role} +
                   " leader=" + std::to_string(Seen.Leader) +
                   " term=" + std::to_string(Seen.CurrentTerm) +
                   " voters=" + std::to_string(Seen.Voters) +
                   " ready=" + (Seen.IsServed ? "yes" : "no"));
}

CellOutput CellNode::step(Instant Now, WallTime WallNow) {
  Clock = Now;
  CellOutput Output;
  if (Group) {
    stepGroup(Now, WallNow);
  }
  Relay.tick(Now);
  // Messages to this node itself are served within the step.
  for (int Round = 0; Round < 3; ++Round) {
    std::vector<CellMessage> Pending = Relay.takeMessages();
    std::vector<CellMessage> Produced = std::exchange(Outbox, {});
    std::move(Produced.begin(), Produced.end(), std::back_inserter(Pending));
    for (CellMessage &Message : Pending) {
      if (Message.To == Options.Self) {
        receive(Message, Now, WallNow);
      } else {
        Output.Messages.push_back(std::move(Message));
      }
    }
  }
  if (Group && isLeading(Now)) {
    proposeOpen();
    tick(Group->replica(), Now);
  }
  if (Group) {
    sortReplicaMessages(Output);
  }
  for (RoutedQuery &Item : std::exchange(Dispatch.OutgoingQueries, {})) {
    if (Item.Node == Options.Self) {
      onAdviceQuery(Options.Self, Item.Query);
    } else {
      send(Item.Node, std::move(Item.Query));
    }
  }
  for (CellMessage &Message : std::exchange(Outbox, {})) {
    Output.Messages.push_back(std::move(Message));
  }
  logRoleChange(Now);
  Output.Replies = Relay.takeReplies();
  Output.Orders = std::exchange(Dispatch.Orders, {});
  Output.Queries = std::exchange(Queries, {});
  Output.Events = std::exchange(Dispatch.Events, {});
  std::move(Events.begin(), Events.end(), std::back_inserter(Output.Events));
  Events.clear();
  return Output;
}

void CellNode::beginShutdown(Instant Now) {
  IsShuttingDown = true;
  if (Group) {
    transferLeadership(Group->replica(), Now);
  }
}

CellNodeView CellNode::view() const {
  CellNodeView Seen;
  Seen.Role = "relay";
  Seen.Leader = leader();
  Seen.Configuration = State.Configuration.Version;
  Seen.Workers = State.Workers.size();
  Seen.Jobs = State.Jobs.size();
  Seen.Launches = Dispatch.Launches.size();
  Seen.OpenCalls = Relay.openCalls();
  Seen.Counters = Dispatch.Counters;
  if (Group) {
    const Replica &Member = Group->replica();
    Seen.Role = nameOf(Member.Role);
    Seen.CurrentTerm = Member.Hard.CurrentTerm;
    Seen.CommitIndex = Member.CommitIndex;
    Seen.Voters = membership(Member).Voters.size();
  }
  return Seen;
}

} // namespace mulberryramp
