#include "mulberryramp/cell/cell_node.hpp"

#include "mulberryramp/cell/answers.hpp"
#include "mulberryramp/core/random.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

namespace {

constexpr const char *GroupName = "cell";

/// Timing of elections. While there is no leader no task starts, and jobs with
/// a latency target of 400 ms become late, so the timeouts are short. They
/// exceed a heartbeat interval plus a round trip between regions, a sync of a
/// disk and a pause of a CPU-limited process of 100 ms.
constexpr Millis HeartbeatInterval{60};
constexpr Millis ElectionTimeoutMin{240};
constexpr Millis ElectionTimeoutMax{400};
/// Number of log entries after which a snapshot is taken.
constexpr std::size_t SnapshotThreshold = 2000;
/// Length of the log entries after which a snapshot is taken.
constexpr std::size_t SnapshotThresholdBytes = std::size_t{16} << 20U;
/// Number of log entries before a snapshot that are kept.
constexpr std::size_t TrailingEntries = 500;

/// Returns the id of the first message that expects a reply of another node.
/// The upper half of the numbers is left for the ids that follow.
std::uint64_t firstMessageId(std::uint64_t Seed) {
  return (Random{Seed}.next() >> 1U) + 1;
}
/// Size after which no further command is added to a log entry. With the
/// largest command, of a call of `MaxBodyBytes`, an entry stays far below
/// `MaxFrameBytes`, and the request that sends it delays no heartbeat.
constexpr std::size_t MaxEntryBytes = MaxAppendBytes;

/// Tells whether a message may only be sent once the state that it asserts is
/// synced on this node.
bool needsSync(const ReplicaBody &Body) {
  return std::holds_alternative<VoteRequest>(Body) ||
         std::holds_alternative<VoteReply>(Body) ||
         std::holds_alternative<AppendEntriesReply>(Body);
}

} // namespace

ReplicaOptions makeCellReplicaOptions(std::size_t MaxVoterFailures) {
  ReplicaOptions Options;
  Options.HeartbeatInterval = HeartbeatInterval;
  Options.ElectionTimeoutMin = ElectionTimeoutMin;
  Options.ElectionTimeoutMax = ElectionTimeoutMax;
  Options.HasDynamicMembership = true;
  Options.AllowsUnsafeRecovery = false;
  Options.TargetVoters = 2 * MaxVoterFailures + 1;
  Options.SnapshotThreshold = SnapshotThreshold;
  Options.TrailingEntries = TrailingEntries;
  Options.SnapshotThresholdBytes = SnapshotThresholdBytes;
  return Options;
}

CellNode::CellNode(const CellNodeOptions &Options, StoredGroup Stored,
                   Instant Now)
    : Options{Options}, Relay{Options.Self, Options.Seeds, Now,
                              firstMessageId(Options.Seed)},
      CurrentTime{Now} {
  Dispatch.Options = Options.Dispatch;
  // Queries to the advisor are sent by other nodes, whose answers may arrive
  // in the next process of this node.
  Dispatch.NextId = firstMessageId(Options.Seed);
  Dispatch.Self = Options.Self;
  if (Options.IsVoter) {
    Group.emplace(startReplica(GroupName, {Options.Self, Options.Incarnation},
                               Options.ReplicaParameters, std::move(Stored),
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
  CurrentTime = Now;
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
  for (const auto &[Subscriber, LastHelloAt] : Subscribers) {
    sendWelcome(Subscriber, Now);
  }
}

void CellNode::onAdviceQuery(NodeId From, const AdviceQuery &Query) {
  AdviceQuery Forwarded = Query;
  Forwarded.Id = NextQueryId;
  NextQueryId += 1;
  ForwardedQueries[Forwarded.Id] = {From, Query.Id};
  Queries.push_back(std::move(Forwarded));
}

void CellNode::onAdviceDone(const AdviceAnswer &Answer, Instant Now) {
  const auto OriginIt = ForwardedQueries.find(Answer.Id);
  if (OriginIt == ForwardedQueries.end()) {
    return;
  }
  AdviceAnswer Forwarded = Answer;
  Forwarded.Id = OriginIt->second.Id;
  const NodeId To = OriginIt->second.From;
  ForwardedQueries.erase(OriginIt);
  if (To != Options.Self) {
    send(To, std::move(Forwarded));
  } else if (isLeading(Now)) {
    onAdviceAnswer(Dispatch, State, Forwarded, Now);
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

void CellNode::onWriteSynced() {
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
  if (!isLeading(CurrentTime)) {
    send(From, RelayedReply{Call.Id, false, false, {}});
    return;
  }
  const PendingCaller Caller{From, Call.Id, std::nullopt};
  std::visit(
      [&](const auto &Body) {
        using Kind = std::decay_t<decltype(Body)>;
        if constexpr (std::is_same_v<Kind, JobCall> ||
                      std::is_same_v<Kind, WorkerReportCall>) {
          serve(Caller, Body, WallNow);
        } else {
          serve(Caller, Body);
        }
      },
      Call.Body);
}

void CellNode::propose(const PendingCaller &Caller, CellCommand Command) {
  ProposalWaiters.emplace(Proposals.size(), Caller);
  Proposals.push_back(std::move(Command));
}

void CellNode::onLeadership(const Replica &Member) {
  const bool IsSameTerm = Member.Role == ReplicaRole::Leader &&
                          Member.Hard.CurrentTerm == Dispatch.FencingToken;
  if (Dispatch.IsActive && !IsSameTerm) {
    endDispatch(Dispatch);
    dropWaiters();
  }
}

void CellNode::dropWaiters() {
  for (const auto &[Position, Caller] : Waiters) {
    send(Caller.From, RelayedReply{Caller.Id, false, true, {}});
  }
  Waiters.clear();
  for (const auto &[Position, Caller] : ProposalWaiters) {
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
  Dispatch.HoldsLease = isLeading(CurrentTime);
  for (std::size_t Position = 0; Position < Commands->size(); ++Position) {
    const CellCommand &Command = (*Commands)[Position];
    const CellChange Change = applyCommand(State, Command);
    noteChange(Dispatch.Entries, State, Change, {CurrentTime, LogEntry.InTerm});
    if (IsOwn && Change.Outcome == CommandOutcome::InvalidKey) {
      const auto &Denied = std::get<SubmitJobCommand>(Command);
      logDenial({0, JobVerb::Submit, Denied.Prefix, Denied.Key,
                 "removed-before-entry", State.Configuration.Version});
    }
    if (!Dispatch.IsActive) {
      continue;
    }
    if (IsOwn && std::holds_alternative<AssignTasksCommand>(Command)) {
      Dispatch.HasUncommittedStarts = false;
    }
    onStateChange(Dispatch, State, Change, CurrentTime);
    const auto WaiterIt = Waiters.find({LogEntry.Index, Position});
    if (WaiterIt != Waiters.end()) {
      answerCommitted(WaiterIt->second, Change);
      Waiters.erase(WaiterIt);
    }
  }
}

void CellNode::onRestore(const std::string &Data) {
  State = {};
  noteRestore(Dispatch.Entries, State, CurrentTime);
  if (Data.empty()) {
    return;
  }
  auto Restored = decodeCellState(Data);
  if (!Restored) {
    Events.push_back("event=unreadable-snapshot");
    return;
  }
  State = std::move(*Restored);
  noteRestore(Dispatch.Entries, State, CurrentTime);
  Events.push_back("event=restore bytes=" + std::to_string(Data.size()) +
                   " jobs=" + std::to_string(State.Jobs.size()));
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
  const auto &KnownLeader = Group->replica().Leader;
  return KnownLeader ? KnownLeader->Node : 0;
}

bool CellNode::isReadyForCallers(Instant Now) const {
  return !IsShuttingDown && Relay.hasRecentLeader(Now);
}

/// Links the callers of `Count` commands, from the one at `First` of
/// `Proposals` on, to the entry that holds these commands.
void CellNode::awaitCommit(LogIndex Index, std::size_t First,
                           std::size_t Count) {
  const auto Begin = ProposalWaiters.lower_bound(First);
  const auto End = ProposalWaiters.lower_bound(First + Count);
  for (auto It = Begin; It != End; ++It) {
    Waiters.emplace(std::pair{Index, It->first - First}, std::move(It->second));
  }
  ProposalWaiters.erase(Begin, End);
}

void CellNode::proposePending() {
  Proposals.insert(Proposals.end(),
                   std::make_move_iterator(Dispatch.Commands.begin()),
                   std::make_move_iterator(Dispatch.Commands.end()));
  Dispatch.Commands.clear();
  if (Proposals.empty()) {
    return;
  }
  std::size_t First = 0;
  for (EncodedCommands &Encoded : encodeEntries(Proposals, MaxEntryBytes)) {
    const auto Index =
        mulberryramp::propose(Group->replica(), std::move(Encoded.Data));
    if (!Index) {
      endDispatch(Dispatch);
      dropWaiters();
      return;
    }
    awaitCommit(*Index, First, Encoded.Count);
    First += Encoded.Count;
  }
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
    beginDispatch(Dispatch, State, Member.Hard.CurrentTerm, Now);
    notifySubscribers(Now);
  }
  if (MayLead && Dispatch.IsActive) {
    stepDispatch(Dispatch, State, Now, WallNow);
    proposePending();
    // Sends the proposed entries with this step instead of the next heartbeat.
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

/// Sends the messages of the replica. Those that need synced state are held
/// back until the write that syncs it is done.
void CellNode::sendReplicaMessages(CellOutput &Output) {
  Replica &Member = Group->replica();
  const bool WasWriting = IsWriting;
  const bool HasUnsaved = Member.HasUnsaved;
  beginWrite(Output);
  for (ReplicaMessage &Message : std::exchange(Member.Outbox, {})) {
    const auto *Chunk = std::get_if<SnapshotChunk>(&Message.Body);
    if (Chunk != nullptr && Chunk->Offset == 0) {
      Events.push_back(
          "event=snapshot-transfer to=" + std::to_string(Message.To.Node) +
          " index=" + std::to_string(Chunk->Id.Index) +
          " bytes=" + std::to_string(Chunk->Id.Bytes));
    }
    if (!needsSync(Message.Body) || (!WasWriting && !HasUnsaved)) {
      const NodeId To = Message.To.Node;
      send(To, std::move(Message));
    } else if (WasWriting && HasUnsaved) {
      AfterNextWrite.push_back(std::move(Message));
    } else {
      AfterCurrentWrite.push_back(std::move(Message));
    }
  }
}

void CellNode::logRoleChange(Instant Now) {
  RoleSnapshot Current{"relay", leader(), 0, 0, Relay.hasRecentLeader(Now)};
  if (Group) {
    const Replica &Member = Group->replica();
    Current.Role = nameOf(Member.Role);
    Current.CurrentTerm = Member.Hard.CurrentTerm;
    Current.Voters = membership(Member).Voters.size();
  }
  if (Current == LastRole) {
    return;
  }
  LastRole = Current;
  Events.push_back("event=role role=" + std::string{Current.Role} +
                   " leader=" + std::to_string(Current.Leader) +
                   " term=" + std::to_string(Current.CurrentTerm) +
                   " voters=" + std::to_string(Current.Voters) +
                   " ready=" + (Current.IsReady ? "yes" : "no"));
}

CellOutput CellNode::step(Instant Now, WallTime WallNow) {
  CurrentTime = Now;
  CellOutput Output;
  if (Group) {
    stepGroup(Now, WallNow);
  }
  Relay.tick(Now);
  // Messages to this node itself are handled within the step: a call and its
  // reply take one round each, and a third sends what the reply causes.
  for (int Round = 0; Round < 3; ++Round) {
    std::vector<CellMessage> Pending = Relay.drainMessages();
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
    proposePending();
    tick(Group->replica(), Now);
  }
  if (Group) {
    sendReplicaMessages(Output);
  }
  for (RoutedQuery &Routed : std::exchange(Dispatch.OutgoingQueries, {})) {
    if (Routed.Node == Options.Self) {
      onAdviceQuery(Options.Self, Routed.Query);
    } else {
      send(Routed.Node, std::move(Routed.Query));
    }
  }
  for (CellMessage &Message : std::exchange(Outbox, {})) {
    Output.Messages.push_back(std::move(Message));
  }
  logRoleChange(Now);
  Output.Replies = Relay.drainReplies();
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

CellNodeStatus CellNode::status() const {
  CellNodeStatus Status;
  Status.Role = "relay";
  Status.Leader = leader();
  Status.Configuration = State.Configuration.Version;
  Status.OrganisationCount = State.Configuration.Organisations.size();
  Status.Keys = State.OrganisationsByKey.size();
  Status.Workers = State.Workers.size();
  Status.Jobs = State.Jobs.size();
  Status.Launches = Dispatch.Launches.size();
  Status.OpenCalls = Relay.openCalls();
  Status.Counters = Dispatch.Counters;
  Status.Organisations = Dispatch.Organisations;
  if (Group) {
    const Replica &Member = Group->replica();
    Status.Role = nameOf(Member.Role);
    Status.CurrentTerm = Member.Hard.CurrentTerm;
    Status.CommitIndex = Member.CommitIndex;
    Status.Voters = membership(Member).Voters.size();
  }
  return Status;
}

} // namespace mulberryramp
