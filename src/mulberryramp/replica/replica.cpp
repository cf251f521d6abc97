#include "mulberryramp/replica/replica.hpp"

#include "mulberryramp/replica/membership_codec.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

namespace internal {

/// Maximum lag, in entries, at which a learner becomes a voter or a voter may
/// receive leadership.
constexpr LogIndex MaxPromotionLag = 16;
/// Heartbeat interval of a learner, as a multiple of that of a voter.
constexpr int LearnerHeartbeatFactor = 4;

const Entry &entryAt(const Replica &State, LogIndex Index) {
  return State.Entries[Index - State.CompactedIndex - 1];
}

Term termAt(const Replica &State, LogIndex Index) {
  if (Index == State.CompactedIndex) {
    return State.CompactedTerm;
  }
  if (Index < State.CompactedIndex || Index > lastIndex(State)) {
    return 0;
  }
  return entryAt(State, Index).InTerm;
}

Term lastTerm(const Replica &State) { return termAt(State, lastIndex(State)); }

std::size_t quorum(const Replica &State) {
  return membership(State).Voters.size() / 2 + 1;
}

bool isWitness(const Replica &State, NodeId Node) {
  return State.Options.WitnessNodes.contains(Node);
}

void markHardStateDirty(Replica &State) {
  State.Unsaved.Hard = State.Hard;
  State.HasUnsaved = true;
}

void send(Replica &State, const Member &To, ReplicaBody Body) {
  State.Outbox.push_back({State.Group, State.Self, To, std::move(Body)});
}

void resetElectionTimer(Replica &State, Instant Now) {
  const auto JitterRange =
      State.Options.ElectionTimeoutMax - State.Options.ElectionTimeoutMin;
  const auto Jitter = Millis{
      State.Rng.below(static_cast<std::uint64_t>(JitterRange.count()) + 1)};
  const int Factor = isWitness(State, State.Self.Node) ? 3 : 1;
  State.ElectionDeadline =
      Now + (State.Options.ElectionTimeoutMin + Jitter) * Factor;
}

void becomeFollower(Replica &State, Instant Now, Term InTerm) {
  if (InTerm > State.Hard.CurrentTerm) {
    State.Hard.CurrentTerm = InTerm;
    State.Hard.VotedFor.reset();
    markHardStateDirty(State);
    State.Leader.reset();
  }
  if (State.Role == ReplicaRole::Leader) {
    State.Leader.reset();
  }
  State.Role = ReplicaRole::Follower;
  State.VotesReceived.clear();
  State.TransferTarget.reset();
  State.IsLeaderTransfer = false;
  resetElectionTimer(State, Now);
}

void recordMembership(Replica &State, const Entry &LogEntry) {
  if (LogEntry.Kind == EntryKind::Membership ||
      LogEntry.Kind == EntryKind::Recovery) {
    State.Memberships.push_back(
        {LogEntry.Index, decodeMembership(LogEntry.Data)});
  }
}

void appendEntry(Replica &State, Entry LogEntry) {
  recordMembership(State, LogEntry);
  State.Unsaved.Entries.push_back(LogEntry);
  State.Unsaved.Hard = State.Hard;
  State.HasUnsaved = true;
  State.Entries.push_back(std::move(LogEntry));
}

void truncateFrom(Replica &State, LogIndex Index) {
  while (lastIndex(State) >= Index) {
    State.Entries.pop_back();
  }
  while (State.Memberships.size() > 1 &&
         State.Memberships.back().Index >= Index) {
    State.Memberships.pop_back();
  }
  State.SavedIndex = std::min(State.SavedIndex, Index - 1);
  State.SavingIndex = std::min(State.SavingIndex, Index - 1);
  std::erase_if(State.Unsaved.Entries, [Index](const Entry &LogEntry) {
    return LogEntry.Index >= Index;
  });
  if (!State.Unsaved.NewSnapshot) {
    const LogIndex Earlier = State.Unsaved.TruncateFrom.value_or(Index);
    State.Unsaved.TruncateFrom = std::min(Earlier, Index);
  }
  markHardStateDirty(State);
}

void discardEntriesUpTo(Replica &State, LogIndex Index) {
  if (Index <= State.CompactedIndex) {
    return;
  }
  State.CompactedTerm = termAt(State, Index);
  const auto DiscardCount =
      static_cast<std::ptrdiff_t>(Index - State.CompactedIndex);
  State.Entries.erase(State.Entries.begin(),
                      State.Entries.begin() + DiscardCount);
  State.CompactedIndex = Index;
}

void setSnapshot(Replica &State, Snapshot Snap) {
  State.LatestSnapshot = std::move(Snap);
  State.Unsaved = {};
  State.Unsaved.Hard = State.Hard;
  State.Unsaved.NewSnapshot = State.LatestSnapshot;
  for (const Entry &LogEntry : State.Entries) {
    if (LogEntry.Index > State.LatestSnapshot.Index) {
      State.Unsaved.Entries.push_back(LogEntry);
    }
  }
  State.HasUnsaved = true;
}

void appendAsLeader(Replica &State, EntryKind Kind, std::string Data) {
  appendEntry(State, {State.Hard.CurrentTerm, lastIndex(State) + 1, Kind,
                      std::move(Data)});
}

void sendAppend(Replica &State, const Member &To, Progress &Peer, Instant Now,
                bool SendsHeartbeat) {
  AppendEntriesRequest Request;
  Request.InTerm = State.Hard.CurrentTerm;
  Request.LeaderCommit = State.CommitIndex;
  Request.SentAt = Now;
  if (Peer.NextIndex <= State.CompactedIndex) {
    const bool IsDue =
        Peer.SnapshotSentAt == Instant{} ||
        Now - Peer.SnapshotSentAt >= State.Options.SnapshotRetryInterval;
    if (IsDue) {
      Peer.SnapshotSentAt = Now;
      send(State, To,
           InstallSnapshotRequest{State.Hard.CurrentTerm, State.LatestSnapshot,
                                  Now});
    }
    Request.PrevLogIndex = State.CompactedIndex;
  } else {
    Request.PrevLogIndex = Peer.NextIndex - 1;
    // Entries for an unreachable member would only queue up on the connection,
    // so it gets heartbeats without entries.
    const bool IsReachable =
        Now - Peer.LastContactAt <= State.Options.ElectionTimeoutMin;
    std::size_t Bytes = IsReachable ? 0 : MaxAppendBytes;
    while (Peer.NextIndex <= lastIndex(State) && Bytes < MaxAppendBytes) {
      const Entry &LogEntry = entryAt(State, Peer.NextIndex);
      Bytes += LogEntry.Data.size();
      Request.Entries.push_back(LogEntry);
      Peer.NextIndex += 1;
    }
  }
  Request.PrevLogTerm = termAt(State, Request.PrevLogIndex);
  if (SendsHeartbeat || !Request.Entries.empty()) {
    Peer.SentAt = Now;
    Peer.SentCommit = State.CommitIndex;
    send(State, To, std::move(Request));
  }
}

/// A new commit index is sent to learners immediately, but otherwise they get
/// fewer heartbeats than voters.
bool wantsHeartbeat(const Replica &State, const Member &To,
                    const Progress &Peer, Instant Now) {
  return isVoter(State, To) || Peer.SentCommit < State.CommitIndex ||
         Now - Peer.SentAt >=
             State.Options.HeartbeatInterval * LearnerHeartbeatFactor;
}

void broadcast(Replica &State, Instant Now, bool SendsHeartbeat) {
  for (auto &[To, Peer] : State.Peers) {
    const bool IsDue = SendsHeartbeat && wantsHeartbeat(State, To, Peer, Now);
    sendAppend(State, To, Peer, Now, IsDue);
  }
  if (SendsHeartbeat) {
    State.NextHeartbeatAt = Now + State.Options.HeartbeatInterval;
  }
}

void trackVoters(Replica &State) {
  for (const Member &Voter : membership(State).Voters) {
    if (Voter != State.Self && !State.Peers.contains(Voter)) {
      State.Peers[Voter].NextIndex = lastIndex(State) + 1;
    }
  }
}

void advanceCommit(Replica &State) {
  if (State.Role != ReplicaRole::Leader) {
    return;
  }
  std::vector<LogIndex> MatchIndexes;
  for (const Member &Voter : membership(State).Voters) {
    if (Voter == State.Self) {
      MatchIndexes.push_back(State.SavedIndex);
    } else if (const auto ProgressIt = State.Peers.find(Voter);
               ProgressIt != State.Peers.end()) {
      MatchIndexes.push_back(ProgressIt->second.MatchIndex);
    } else {
      MatchIndexes.push_back(0);
    }
  }
  std::sort(MatchIndexes.rbegin(), MatchIndexes.rend());
  const LogIndex MajorityMatch = MatchIndexes[quorum(State) - 1];
  if (MajorityMatch > State.CommitIndex &&
      termAt(State, MajorityMatch) == State.Hard.CurrentTerm) {
    State.CommitIndex = MajorityMatch;
    State.NextHeartbeatAt = Instant{};
  }
}

void becomeLeader(Replica &State, Instant Now) {
  State.Role = ReplicaRole::Leader;
  State.Leader = State.Self;
  State.VotesReceived.clear();
  State.Peers.clear();
  State.TransferTarget.reset();
  State.IsLeaderTransfer = false;
  appendAsLeader(State, EntryKind::Noop, "");
  State.TermStartIndex = lastIndex(State);
  trackVoters(State);
  for (auto &[To, Peer] : State.Peers) {
    Peer.LastContactAt = Now;
  }
  broadcast(State, Now, true);
}

void requestVotes(Replica &State, bool IsPreVote) {
  VoteRequest Request;
  Request.InTerm = State.Hard.CurrentTerm + (IsPreVote ? 1 : 0);
  Request.IsPreVote = IsPreVote;
  Request.IsLeaderTransfer = State.IsLeaderTransfer;
  Request.LastLogIndex = lastIndex(State);
  Request.LastLogTerm = lastTerm(State);
  for (const Member &Voter : membership(State).Voters) {
    if (Voter != State.Self) {
      send(State, Voter, Request);
    }
  }
}

void startElection(Replica &State, Instant Now) {
  State.Role = ReplicaRole::Candidate;
  State.Hard.CurrentTerm += 1;
  State.Hard.VotedFor = State.Self;
  markHardStateDirty(State);
  State.Leader.reset();
  State.VotesReceived = {State.Self};
  resetElectionTimer(State, Now);
  if (State.VotesReceived.size() >= quorum(State)) {
    becomeLeader(State, Now);
    return;
  }
  requestVotes(State, false);
}

void startPreVote(Replica &State, Instant Now) {
  State.Role = ReplicaRole::PreCandidate;
  State.Leader.reset();
  State.VotesReceived = {State.Self};
  resetElectionTimer(State, Now);
  if (State.VotesReceived.size() >= quorum(State)) {
    startElection(State, Now);
    return;
  }
  requestVotes(State, true);
}

bool isUpToDate(const Replica &State, const VoteRequest &Request) {
  if (Request.LastLogTerm != lastTerm(State)) {
    return Request.LastLogTerm > lastTerm(State);
  }
  return Request.LastLogIndex >= lastIndex(State);
}

bool hasRecentLeader(const Replica &State, Instant Now) {
  return Now - State.LastLeaderContactAt < State.Options.ElectionTimeoutMin ||
         (State.Role == ReplicaRole::Leader && leaseEnd(State, Now) > Now);
}

/// A rejection is not marked as a pre-vote and carries the current term of this
/// member, so that the candidate adopts this term. Otherwise a candidate with a
/// longer log but an older term would never be granted a vote.
void replyPreVote(Replica &State, const Member &From,
                  const VoteRequest &Request) {
  VoteReply Reply;
  Reply.IsGranted =
      Request.InTerm > State.Hard.CurrentTerm && isUpToDate(State, Request);
  Reply.IsPreVote = Reply.IsGranted;
  Reply.InTerm = Reply.IsGranted ? Request.InTerm : State.Hard.CurrentTerm;
  send(State, From, Reply);
}

void onVoteRequest(Replica &State, Instant Now, const Member &From,
                   const VoteRequest &Request) {
  if (!Request.IsLeaderTransfer && hasRecentLeader(State, Now)) {
    return;
  }
  VoteReply Reply;
  if (Request.IsPreVote) {
    replyPreVote(State, From, Request);
    return;
  }
  if (Request.InTerm > State.Hard.CurrentTerm) {
    becomeFollower(State, Now, Request.InTerm);
  }
  const bool MayVote =
      !State.Hard.VotedFor.has_value() || *State.Hard.VotedFor == From;
  Reply.InTerm = State.Hard.CurrentTerm;
  Reply.IsGranted = Request.InTerm == State.Hard.CurrentTerm && MayVote &&
                    isUpToDate(State, Request);
  if (Reply.IsGranted) {
    State.Hard.VotedFor = From;
    markHardStateDirty(State);
    resetElectionTimer(State, Now);
  }
  send(State, From, Reply);
}

void onVoteReply(Replica &State, Instant Now, const Member &From,
                 const VoteReply &Reply) {
  if (!Reply.IsGranted || !isVoter(State, From)) {
    return;
  }
  if (Reply.IsPreVote) {
    if (State.Role != ReplicaRole::PreCandidate ||
        Reply.InTerm != State.Hard.CurrentTerm + 1) {
      return;
    }
    State.VotesReceived.insert(From);
    if (State.VotesReceived.size() >= quorum(State)) {
      startElection(State, Now);
    }
    return;
  }
  if (State.Role != ReplicaRole::Candidate ||
      Reply.InTerm != State.Hard.CurrentTerm) {
    return;
  }
  State.VotesReceived.insert(From);
  if (State.VotesReceived.size() >= quorum(State)) {
    becomeLeader(State, Now);
  }
}

void followLeader(Replica &State, Instant Now, const Member &From,
                  Term InTerm) {
  if (InTerm > State.Hard.CurrentTerm || State.Role != ReplicaRole::Follower) {
    becomeFollower(State, Now, InTerm);
  }
  State.Leader = From;
  State.LastLeaderContactAt = Now;
  resetElectionTimer(State, Now);
}

void replyAppend(Replica &State, const Member &To, bool IsAccepted,
                 LogIndex MatchIndex, Instant SentAt) {
  send(State, To,
       AppendEntriesReply{State.Hard.CurrentTerm, IsAccepted, MatchIndex,
                          State.ReportedApplied, SentAt});
}

void storeEntries(Replica &State, const std::vector<Entry> &NewEntries) {
  for (const Entry &LogEntry : NewEntries) {
    if (LogEntry.Index <= State.CommitIndex) {
      continue;
    }
    if (LogEntry.Index <= lastIndex(State)) {
      if (termAt(State, LogEntry.Index) == LogEntry.InTerm) {
        continue;
      }
      truncateFrom(State, LogEntry.Index);
    }
    appendEntry(State, LogEntry);
  }
}

void onAppend(Replica &State, Instant Now, const Member &From,
              const AppendEntriesRequest &Request) {
  if (Request.InTerm < State.Hard.CurrentTerm) {
    replyAppend(State, From, false, lastIndex(State), Request.SentAt);
    return;
  }
  followLeader(State, Now, From, Request.InTerm);
  if (Request.PrevLogIndex > lastIndex(State)) {
    replyAppend(State, From, false, lastIndex(State), Request.SentAt);
    return;
  }
  const bool PrevMatches =
      Request.PrevLogIndex <= State.CommitIndex ||
      termAt(State, Request.PrevLogIndex) == Request.PrevLogTerm;
  if (!PrevMatches) {
    replyAppend(State, From, false, State.CommitIndex, Request.SentAt);
    return;
  }
  storeEntries(State, Request.Entries);
  const LogIndex MatchIndex = Request.PrevLogIndex + Request.Entries.size();
  State.CommitIndex =
      std::max(State.CommitIndex, std::min(Request.LeaderCommit, MatchIndex));
  replyAppend(State, From, true, MatchIndex, Request.SentAt);
}

void onSnapshot(Replica &State, Instant Now, const Member &From,
                const InstallSnapshotRequest &Request) {
  if (Request.InTerm < State.Hard.CurrentTerm) {
    replyAppend(State, From, false, lastIndex(State), Request.SentAt);
    return;
  }
  followLeader(State, Now, From, Request.InTerm);
  if (Request.LatestSnapshot.Index <= State.CommitIndex) {
    replyAppend(State, From, true, State.CommitIndex, Request.SentAt);
    return;
  }
  const bool KeepsSuffix = termAt(State, Request.LatestSnapshot.Index) ==
                           Request.LatestSnapshot.InTerm;
  if (KeepsSuffix) {
    discardEntriesUpTo(State, Request.LatestSnapshot.Index);
  } else {
    State.Entries.clear();
    State.SavedIndex = 0;
    State.SavingIndex = 0;
    State.CompactedIndex = Request.LatestSnapshot.Index;
    State.CompactedTerm = Request.LatestSnapshot.InTerm;
  }
  std::erase_if(State.Memberships, [&](const IndexedMembership &Indexed) {
    return !KeepsSuffix || Indexed.Index <= Request.LatestSnapshot.Index;
  });
  State.Memberships.insert(
      State.Memberships.begin(),
      {Request.LatestSnapshot.Index, Request.LatestSnapshot.Voters});
  setSnapshot(State, Request.LatestSnapshot);
  State.CommitIndex = Request.LatestSnapshot.Index;
  State.LastApplied = Request.LatestSnapshot.Index;
  State.HasNewSnapshot = true;
  replyAppend(State, From, true, Request.LatestSnapshot.Index, Request.SentAt);
}

void onAppendReply(Replica &State, Instant Now, const Member &From,
                   const AppendEntriesReply &Reply) {
  const auto ProgressIt = State.Peers.find(From);
  if (State.Role != ReplicaRole::Leader || ProgressIt == State.Peers.end() ||
      Reply.InTerm != State.Hard.CurrentTerm) {
    return;
  }
  Progress &Peer = ProgressIt->second;
  Peer.LastContactAt = Now;
  Peer.LastAckedSentAt = std::max(Peer.LastAckedSentAt, Reply.SentAt);
  Peer.LastApplied = Reply.LastApplied;
  if (!Reply.IsAccepted) {
    // A resumed member rejects every request that queued up while it was
    // suspended. Only the rejection of a request sent after the last reset of
    // NextIndex carries new information.
    if (Reply.SentAt < Peer.LastRejectedAt) {
      return;
    }
    Peer.LastRejectedAt = Now;
    Peer.NextIndex = std::max(Peer.MatchIndex,
                              std::min(Reply.MatchIndex, lastIndex(State))) +
                     1;
    sendAppend(State, From, Peer, Now, false);
    return;
  }
  Peer.MatchIndex = std::max(Peer.MatchIndex, Reply.MatchIndex);
  Peer.NextIndex = std::max(Peer.NextIndex, Peer.MatchIndex + 1);
  if (Peer.NextIndex > State.CompactedIndex) {
    Peer.SnapshotSentAt = Instant{};
  }
  advanceCommit(State);
  sendAppend(State, From, Peer, Now, false);
}

void onJoin(Replica &State, Instant Now, const Member &From,
            const JoinRequest &Request) {
  JoinRecord &Record = State.JoinRequests[From.Node];
  if (From.Incarnation < Record.Incarnation) {
    return;
  }
  const bool IsFirst = From.Incarnation > Record.Incarnation;
  Record = {From.Incarnation, Request.LastLogIndex,
            IsFirst ? Now : Record.FirstAt, Now};
  if (State.Role != ReplicaRole::Leader) {
    return;
  }
  std::erase_if(State.Peers, [&](const auto &PeerEntry) {
    return PeerEntry.first.Node == From.Node &&
           PeerEntry.first.Incarnation < From.Incarnation &&
           !isVoter(State, PeerEntry.first);
  });
  if (!State.Peers.contains(From)) {
    Progress &Peer = State.Peers[From];
    Peer.NextIndex = std::min(Request.LastLogIndex, lastIndex(State)) + 1;
    Peer.LastContactAt = Now;
    sendAppend(State, From, Peer, Now, true);
  }
}

void onTransfer(Replica &State, Instant Now, const TimeoutNowRequest &Request) {
  const bool IsFollowerOfTerm = State.Role == ReplicaRole::Follower &&
                                Request.InTerm == State.Hard.CurrentTerm;
  if (!IsFollowerOfTerm || !isVoter(State, State.Self)) {
    return;
  }
  State.IsLeaderTransfer = true;
  startElection(State, Now);
}

bool hasUncommittedMembership(const Replica &State) {
  return State.Memberships.back().Index > State.CommitIndex;
}

void proposeMembership(Replica &State, Membership Voters) {
  std::sort(Voters.Voters.begin(), Voters.Voters.end());
  appendAsLeader(State, EntryKind::Membership, encodeMembership(Voters));
  trackVoters(State);
}

std::optional<Member> previousIncarnation(const Replica &State,
                                          const Member &Learner) {
  for (const Member &Voter : membership(State).Voters) {
    if (Voter.Node == Learner.Node && Voter.Incarnation < Learner.Incarnation) {
      return Voter;
    }
  }
  return std::nullopt;
}

bool isUnresponsiveVoter(const Replica &State, const Member &Voter,
                         Instant Now) {
  const auto ProgressIt = State.Peers.find(Voter);
  return Voter != State.Self && ProgressIt != State.Peers.end() &&
         Now - ProgressIt->second.LastContactAt >
             State.Options.UnresponsiveVoterTimeout;
}

/// With dynamic membership, a node becomes a voter if the group has too few
/// voters, if its previous incarnation is a voter, or to replace an
/// unresponsive voter.
bool needsAsVoter(const Replica &State, const Member &Learner, Instant Now) {
  if (!State.Options.HasDynamicMembership) {
    return State.Options.VoterNodes.contains(Learner.Node);
  }
  const auto &Voters = membership(State).Voters;
  return Voters.size() < State.Options.TargetVoters ||
         previousIncarnation(State, Learner).has_value() ||
         (Voters.size() == State.Options.TargetVoters &&
          std::any_of(Voters.begin(), Voters.end(), [&](const Member &Voter) {
            return isUnresponsiveVoter(State, Voter, Now);
          }));
}

bool canPromote(const Replica &State, const Member &Learner,
                const Progress &Peer, Instant Now) {
  return !isVoter(State, Learner) && needsAsVoter(State, Learner, Now) &&
         Now - Peer.LastContactAt < State.Options.ElectionTimeoutMin &&
         Peer.MatchIndex + MaxPromotionLag >= lastIndex(State) &&
         Peer.MatchIndex != 0;
}

void promoteLearners(Replica &State, Instant Now) {
  if (hasUncommittedMembership(State) ||
      State.CommitIndex < State.TermStartIndex || State.TransferTarget) {
    return;
  }
  for (const auto &[Learner, Peer] : State.Peers) {
    if (!canPromote(State, Learner, Peer, Now)) {
      continue;
    }
    Membership Voters = membership(State);
    if (const auto Previous = previousIncarnation(State, Learner)) {
      std::erase(Voters.Voters, *Previous);
    } else {
      Voters.Voters.push_back(Learner);
    }
    proposeMembership(State, std::move(Voters));
    return;
  }
}

/// Removes an unresponsive voter once its replacement has joined; otherwise it
/// would count towards the quorum forever.
void removeUnresponsiveVoter(Replica &State, Instant Now) {
  const auto &Voters = membership(State).Voters;
  if (!State.Options.HasDynamicMembership ||
      Voters.size() <= State.Options.TargetVoters ||
      hasUncommittedMembership(State) ||
      State.CommitIndex < State.TermStartIndex || State.TransferTarget) {
    return;
  }
  for (const Member &Voter : Voters) {
    if (!isUnresponsiveVoter(State, Voter, Now)) {
      continue;
    }
    Membership Remaining = membership(State);
    std::erase(Remaining.Voters, Voter);
    proposeMembership(State, std::move(Remaining));
    return;
  }
}

void removeUnresponsiveLearners(Replica &State, Instant Now) {
  std::erase_if(State.Peers, [&](const auto &PeerEntry) {
    return !isVoter(State, PeerEntry.first) &&
           Now - PeerEntry.second.LastContactAt >
               State.Options.ElectionTimeoutMax * 20;
  });
}

/// Returns the time at which all former voters are known to have ended: one
/// election timeout after the last node began to send join requests. Only a
/// later join request proves that its sender is not a voter, because until then
/// a leader may have promoted it.
Instant lastVoterEndTime(const Replica &State) {
  Instant LastFirstJoin;
  for (const auto &[Node, Record] : State.JoinRequests) {
    LastFirstJoin = std::max(LastFirstJoin, Record.FirstAt);
  }
  return LastFirstJoin + State.Options.ElectionTimeoutMax;
}

bool hasLostState(const Replica &State, NodeId Node, Instant Now) {
  const auto It = State.JoinRequests.find(Node);
  if (It == State.JoinRequests.end() ||
      Now - It->second.At > State.Options.JoinInterval * 10 ||
      It->second.At < lastVoterEndTime(State) ||
      It->second.LastLogIndex > lastIndex(State)) {
    return false;
  }
  const auto &Voters = membership(State).Voters;
  return std::none_of(Voters.begin(), Voters.end(), [&](const Member &Voter) {
    return Voter.Node == Node && Voter.Incarnation >= It->second.Incarnation;
  });
}

/// Once all other nodes have restarted without their state, the current voters
/// can never form a quorum again. The only remaining holder of the log then
/// continues as the sole voter.
bool isSoleSurvivor(const Replica &State, Instant Now) {
  const auto &Nodes = State.Options.VoterNodes;
  return State.Options.AllowsUnsafeRecovery &&
         membership(State).Voters.size() > 1 &&
         std::all_of(Nodes.begin(), Nodes.end(), [&](NodeId Node) {
           return Node == State.Self.Node || hasLostState(State, Node, Now);
         });
}

void recoverAsSoleSurvivor(Replica &State, Instant Now) {
  State.Hard.CurrentTerm += 1;
  State.Hard.VotedFor = State.Self;
  markHardStateDirty(State);
  State.Role = ReplicaRole::Leader;
  State.Leader = State.Self;
  State.Peers.clear();
  State.TransferTarget.reset();
  appendAsLeader(State, EntryKind::Recovery, encodeMembership({{State.Self}}));
  State.TermStartIndex = lastIndex(State);
  State.NextHeartbeatAt = Now;
}

bool isQuorumActive(const Replica &State, Instant Now) {
  const auto &Voters = membership(State).Voters;
  const auto ActiveVoters =
      std::count_if(Voters.begin(), Voters.end(), [&](const Member &Voter) {
        const auto ProgressIt = State.Peers.find(Voter);
        return Voter == State.Self || (ProgressIt != State.Peers.end() &&
                                       Now - ProgressIt->second.LastContactAt <=
                                           State.Options.ElectionTimeoutMax);
      });
  return static_cast<std::size_t>(ActiveVoters) >= quorum(State);
}

void tickLeader(Replica &State, Instant Now) {
  if (!isQuorumActive(State, Now)) {
    becomeFollower(State, Now, State.Hard.CurrentTerm);
    return;
  }
  if (State.TransferTarget && Now >= State.TransferDeadline) {
    State.TransferTarget.reset();
  }
  if (isWitness(State, State.Self.Node) && !State.TransferTarget) {
    transferLeadership(State, Now);
  }
  promoteLearners(State, Now);
  removeUnresponsiveVoter(State, Now);
  removeUnresponsiveLearners(State, Now);
  if (Now >= State.NextHeartbeatAt) {
    broadcast(State, Now, true);
  } else {
    broadcast(State, Now, false);
  }
  advanceCommit(State);
}

void tickTransfer(Replica &State) {
  if (!State.TransferTarget || State.Role != ReplicaRole::Leader) {
    return;
  }
  const auto ProgressIt = State.Peers.find(*State.TransferTarget);
  if (ProgressIt != State.Peers.end() &&
      ProgressIt->second.MatchIndex == lastIndex(State)) {
    send(State, *State.TransferTarget,
         TimeoutNowRequest{State.Hard.CurrentTerm});
  }
}

void requestJoin(Replica &State, Instant Now) {
  if (Now < State.NextJoinAt) {
    return;
  }
  const bool HasActiveLeader =
      State.Leader &&
      Now - State.LastLeaderContactAt < State.Options.ElectionTimeoutMax * 2;
  State.NextJoinAt =
      Now + State.Options.JoinInterval * (HasActiveLeader ? 10 : 1);
  for (const NodeId Node : State.Options.VoterNodes) {
    if (Node != State.Self.Node) {
      send(State, Member{Node, 0}, JoinRequest{lastIndex(State)});
    }
  }
}

void tickFollower(Replica &State, Instant Now) {
  if (!isVoter(State, State.Self)) {
    requestJoin(State, Now);
    return;
  }
  // A voter that was removed while it was unresponsive learns of its removal
  // from the answer to a join request.
  if (State.Options.HasDynamicMembership &&
      Now - State.LastLeaderContactAt >
          State.Options.UnresponsiveVoterTimeout) {
    requestJoin(State, Now);
  }
  if (Now < State.ElectionDeadline) {
    return;
  }
  if (isSoleSurvivor(State, Now)) {
    recoverAsSoleSurvivor(State, Now);
    return;
  }
  startPreVote(State, Now);
}

Term termOf(const ReplicaBody &Body) {
  return std::visit(
      [](const auto &Message) -> Term {
        if constexpr (requires { Message.InTerm; }) {
          return Message.InTerm;
        } else {
          return 0;
        }
      },
      Body);
}

} // namespace internal

const Membership &membership(const Replica &State) noexcept {
  return State.Memberships.back().Voters;
}

LogIndex lastIndex(const Replica &State) noexcept {
  return State.CompactedIndex + State.Entries.size();
}

bool isVoter(const Replica &State, const Member &MemberId) noexcept {
  const auto &Voters = membership(State).Voters;
  return std::find(Voters.begin(), Voters.end(), MemberId) != Voters.end();
}

StoredGroup bootstrapGroup(std::vector<Member> BootstrapVoters) {
  StoredGroup Group;
  Group.LatestSnapshot.Voters.Voters = std::move(BootstrapVoters);
  return Group;
}

Replica startReplica(std::string Group, Member Self, ReplicaOptions Options,
                     StoredGroup Stored, std::uint64_t Seed, Instant Now) {
  Replica State;
  State.Group = std::move(Group);
  State.Self = Self;
  State.Options = std::move(Options);
  State.Rng = Random{Seed};
  State.Hard = Stored.Hard;
  State.LatestSnapshot = std::move(Stored.LatestSnapshot);
  State.CompactedIndex = State.LatestSnapshot.Index;
  State.CompactedTerm = State.LatestSnapshot.InTerm;
  State.Memberships.push_back(
      {State.LatestSnapshot.Index, State.LatestSnapshot.Voters});
  for (Entry &LogEntry : Stored.Entries) {
    internal::recordMembership(State, LogEntry);
    State.Entries.push_back(std::move(LogEntry));
  }
  State.SavedIndex = lastIndex(State);
  State.CommitIndex =
      std::max(State.LatestSnapshot.Index,
               std::min(State.Hard.CommitIndex, lastIndex(State)));
  State.SavedCommit = State.CommitIndex;
  State.LastApplied = State.LatestSnapshot.Index;
  State.LastLeaderContactAt = Now;
  State.NextJoinAt = Now;
  internal::resetElectionTimer(State, Now);
  return State;
}

Instant leaseEnd(const Replica &State, Instant Now) {
  if (State.Role != ReplicaRole::Leader || State.TransferTarget) {
    return Instant{};
  }
  std::vector<Instant> SentTimes;
  for (const Member &Voter : membership(State).Voters) {
    const auto ProgressIt = State.Peers.find(Voter);
    if (Voter == State.Self) {
      SentTimes.push_back(Now);
    } else {
      SentTimes.push_back(ProgressIt == State.Peers.end()
                              ? Instant{}
                              : ProgressIt->second.LastAckedSentAt);
    }
  }
  std::sort(SentTimes.rbegin(), SentTimes.rend());
  const auto LeaseDuration = State.Options.ElectionTimeoutMin *
                             (100 - State.Options.LeaseDriftPercent) / 100;
  return SentTimes[internal::quorum(State) - 1] + LeaseDuration;
}

bool canServeAsLeader(const Replica &State, Instant Now) {
  return State.Role == ReplicaRole::Leader &&
         !internal::isWitness(State, State.Self.Node) &&
         State.LastApplied >= State.TermStartIndex &&
         leaseEnd(State, Now) > Now;
}

void tick(Replica &State, Instant Now) {
  if (State.Role == ReplicaRole::Leader) {
    internal::tickLeader(State, Now);
    internal::tickTransfer(State);
  } else {
    internal::tickFollower(State, Now);
  }
}

void receive(Replica &State, Instant Now, const ReplicaMessage &Message) {
  const bool IsForSelf =
      Message.To.Node == State.Self.Node &&
      (Message.To.Incarnation == 0 || Message.To == State.Self);
  if (!IsForSelf) {
    return;
  }
  const Member &From = Message.From;
  const Term InTerm = internal::termOf(Message.Body);
  const bool IsReply =
      std::holds_alternative<AppendEntriesReply>(Message.Body) ||
      std::holds_alternative<VoteReply>(Message.Body);
  const auto *Vote = std::get_if<VoteReply>(&Message.Body);
  const bool IsPreVote = Vote != nullptr && Vote->IsPreVote;
  if (IsReply && !IsPreVote && InTerm > State.Hard.CurrentTerm) {
    internal::becomeFollower(State, Now, InTerm);
    return;
  }
  std::visit(
      [&](const auto &Body) {
        using MessageType = std::decay_t<decltype(Body)>;
        if constexpr (std::is_same_v<MessageType, VoteRequest>) {
          internal::onVoteRequest(State, Now, From, Body);
        } else if constexpr (std::is_same_v<MessageType, VoteReply>) {
          internal::onVoteReply(State, Now, From, Body);
        } else if constexpr (std::is_same_v<MessageType,
                                            AppendEntriesRequest>) {
          internal::onAppend(State, Now, From, Body);
        } else if constexpr (std::is_same_v<MessageType, AppendEntriesReply>) {
          internal::onAppendReply(State, Now, From, Body);
        } else if constexpr (std::is_same_v<MessageType,
                                            InstallSnapshotRequest>) {
          internal::onSnapshot(State, Now, From, Body);
        } else if constexpr (std::is_same_v<MessageType, JoinRequest>) {
          internal::onJoin(State, Now, From, Body);
        } else {
          internal::onTransfer(State, Now, Body);
        }
      },
      Message.Body);
}

std::optional<LogIndex> propose(Replica &State, std::string Data) {
  if (State.Role != ReplicaRole::Leader || State.TransferTarget) {
    return std::nullopt;
  }
  internal::appendAsLeader(State, EntryKind::Command, std::move(Data));
  return lastIndex(State);
}

void prepareSave(Replica &State) {
  if (State.Options.PersistsCommitIndex &&
      State.CommitIndex > State.SavedCommit) {
    internal::markHardStateDirty(State);
  }
  State.Hard.CommitIndex = State.CommitIndex;
  State.Unsaved.Hard = State.Hard;
}

void markSaved(Replica &State) {
  State.SavedCommit = State.Hard.CommitIndex;
  State.Unsaved = {};
  State.HasUnsaved = false;
  State.SavedIndex = lastIndex(State);
  internal::advanceCommit(State);
}

std::optional<PersistBatch> beginSave(Replica &State) {
  prepareSave(State);
  if (!State.HasUnsaved) {
    return std::nullopt;
  }
  PersistBatch Batch = std::move(State.Unsaved);
  State.Unsaved = {};
  State.HasUnsaved = false;
  State.SavingIndex = lastIndex(State);
  return Batch;
}

void finishSave(Replica &State) {
  State.SavedIndex =
      std::min(std::max(State.SavedIndex, State.SavingIndex), lastIndex(State));
  internal::advanceCommit(State);
}

const Entry *nextCommitted(Replica &State) {
  const LogIndex Limit =
      State.Options.PersistsCommitIndex ? State.SavedCommit : State.CommitIndex;
  if (State.LastApplied >= Limit) {
    return nullptr;
  }
  State.LastApplied += 1;
  return &internal::entryAt(State, State.LastApplied);
}

bool needsSnapshot(const Replica &State) noexcept {
  return State.LastApplied - State.LatestSnapshot.Index >
         State.Options.SnapshotThreshold;
}

void compact(Replica &State, std::string Data) {
  Snapshot Snap;
  Snap.Index = State.LastApplied;
  Snap.InTerm = internal::termAt(State, State.LastApplied);
  for (const IndexedMembership &Indexed : State.Memberships) {
    if (Indexed.Index <= State.LastApplied) {
      Snap.Voters = Indexed.Voters;
    }
  }
  Snap.Data = std::move(Data);
  if (State.LastApplied > State.Options.TrailingEntries) {
    internal::discardEntriesUpTo(State, State.LastApplied -
                                            State.Options.TrailingEntries);
  }
  std::erase_if(State.Memberships, [&](const IndexedMembership &Indexed) {
    return Indexed.Index <= State.LastApplied;
  });
  State.Memberships.insert(State.Memberships.begin(),
                           {Snap.Index, Snap.Voters});
  internal::setSnapshot(State, std::move(Snap));
}

void raiseTerm(Replica &State, Instant Now, Term InTerm) {
  if (InTerm > State.Hard.CurrentTerm) {
    internal::becomeFollower(State, Now, InTerm);
  }
}

void transferLeadership(Replica &State, Instant Now) {
  if (State.Role != ReplicaRole::Leader || State.TransferTarget) {
    return;
  }
  std::optional<Member> Best;
  LogIndex BestMatch = 0;
  for (const Member &Voter : membership(State).Voters) {
    const auto ProgressIt = State.Peers.find(Voter);
    const bool IsEligible =
        ProgressIt != State.Peers.end() &&
        !internal::isWitness(State, Voter.Node) &&
        Now - ProgressIt->second.LastContactAt <
            State.Options.ElectionTimeoutMax &&
        ProgressIt->second.MatchIndex + internal::MaxPromotionLag >=
            lastIndex(State);
    if (IsEligible && (!Best || ProgressIt->second.MatchIndex > BestMatch)) {
      Best = Voter;
      BestMatch = ProgressIt->second.MatchIndex;
    }
  }
  State.TransferTarget = Best;
  State.TransferDeadline = Now + State.Options.ElectionTimeoutMax;
}

} // namespace mulberryramp
