#include "mulberryramp/replica/replica.hpp"

#include "mulberryramp/replica/internal.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

namespace internal {

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
    if (State.HasRequestedElection) {
      // The request may still arrive, and voters ignore the lease of this term
      // for it, so this leader must not regain its lease.
      becomeFollower(State, Now, State.Hard.CurrentTerm);
      return;
    }
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
    State.HasRequestedElection = true;
    send(State, *State.TransferTarget,
         TimeoutNowRequest{State.Hard.CurrentTerm});
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

/// Finds the last entry that need not be kept for slow followers.
LogIndex lastDiscardableIndex(const Replica &State) {
  const std::size_t MaxBytes = State.Options.SnapshotThresholdBytes;
  LogIndex Index = State.LastApplied;
  std::size_t Bytes = 0;
  while (Index > State.CompactedIndex &&
         State.LastApplied - Index < State.Options.TrailingEntries) {
    Bytes += entryAt(State, Index).Data.size();
    if (MaxBytes != 0 && Bytes > MaxBytes) {
      break;
    }
    Index -= 1;
  }
  return Index;
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
      std::holds_alternative<SnapshotChunkReply>(Message.Body) ||
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
        } else if constexpr (std::is_same_v<MessageType, SnapshotChunk>) {
          internal::onSnapshotChunk(State, Now, From, Body);
        } else if constexpr (std::is_same_v<MessageType, SnapshotChunkReply>) {
          internal::onSnapshotChunkReply(State, Now, From, Body);
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
  State.HasUnsaved = false;
  State.SavingIndex = lastIndex(State);
  return std::exchange(State.Unsaved, {});
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
  const Entry &LogEntry = internal::entryAt(State, State.LastApplied);
  State.AppliedBytes += LogEntry.Data.size();
  return &LogEntry;
}

bool needsSnapshot(const Replica &State) noexcept {
  const std::size_t MaxBytes = State.Options.SnapshotThresholdBytes;
  return State.LastApplied - State.LatestSnapshot.Index >
             State.Options.SnapshotThreshold ||
         (MaxBytes != 0 &&
          State.AppliedBytes >
              std::max(MaxBytes, State.LatestSnapshot.Data.size()));
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
  LogIndex DiscardedIndex = internal::lastDiscardableIndex(State);
  // A member that receives an earlier snapshot needs the entries after it;
  // otherwise it could need a newer snapshot each time.
  for (const auto &[To, Peer] : State.Peers) {
    if (Peer.Transfer) {
      DiscardedIndex = std::min(DiscardedIndex, Peer.Transfer->Id.Index);
    }
  }
  internal::discardEntriesUpTo(State, DiscardedIndex);
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
