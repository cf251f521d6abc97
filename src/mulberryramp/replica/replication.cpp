#include "mulberryramp/replica/internal.hpp"

#include <algorithm>
#include <utility>

/// @file
/// @brief Replication of the log from the leader to the other members.

namespace mulberryramp::internal {

/// Heartbeat interval of a learner, as a multiple of that of a voter.
constexpr int LearnerHeartbeatFactor = 4;

bool isReachable(const Replica &State, const Progress &Peer, Instant Now) {
  return Now - Peer.LastContactAt <= State.Options.ElectionTimeoutMin;
}

/// Sends the chunks of a snapshot that may be in flight, if the member is
/// reachable.
void sendSnapshot(Replica &State, const Member &To, Progress &Peer,
                  Instant Now) {
  const TransferLimits &Limits = State.Options.Transfer;
  if (Peer.Transfer && isStalled(*Peer.Transfer, Limits, Now)) {
    Peer.Transfer.reset();
  }
  if (!isReachable(State, Peer, Now)) {
    return;
  }
  if (!Peer.Transfer) {
    Peer.Transfer = beginTransfer(State.LatestSnapshot, Now);
  }
  while (auto Chunk =
             nextChunk(*Peer.Transfer, Limits, State.Hard.CurrentTerm, Now)) {
    send(State, To, std::move(*Chunk));
  }
}

void sendAppend(Replica &State, const Member &To, Progress &Peer, Instant Now,
                bool SendsHeartbeat) {
  AppendEntriesRequest Request;
  Request.InTerm = State.Hard.CurrentTerm;
  Request.LeaderCommit = State.CommitIndex;
  Request.SentAt = Now;
  if (Peer.NextIndex <= State.CompactedIndex) {
    sendSnapshot(State, To, Peer, Now);
    Request.PrevLogIndex = State.CompactedIndex;
  } else {
    Peer.Transfer.reset();
    Request.PrevLogIndex = Peer.NextIndex - 1;
    // Entries for an unreachable member would only queue up on the connection,
    // so it gets heartbeats without entries.
    std::size_t Bytes = isReachable(State, Peer, Now) ? 0 : MaxAppendBytes;
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

/// Drops the incomplete snapshot once the log has overtaken it.
void dropObsoleteSnapshot(Replica &State) {
  if (State.Incoming && State.Incoming->Id.Index <= State.CommitIndex) {
    State.Incoming.reset();
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
  dropObsoleteSnapshot(State);
  replyAppend(State, From, true, MatchIndex, Request.SentAt);
}

void installSnapshot(Replica &State, Snapshot Snap) {
  const bool KeepsSuffix = termAt(State, Snap.Index) == Snap.InTerm;
  if (KeepsSuffix) {
    discardEntriesUpTo(State, Snap.Index);
  } else {
    State.Entries.clear();
    State.SavedIndex = 0;
    State.SavingIndex = 0;
    State.CompactedIndex = Snap.Index;
    State.CompactedTerm = Snap.InTerm;
  }
  std::erase_if(State.Memberships, [&](const IndexedMembership &Indexed) {
    return !KeepsSuffix || Indexed.Index <= Snap.Index;
  });
  State.Memberships.insert(State.Memberships.begin(),
                           {Snap.Index, Snap.Voters});
  State.CommitIndex = Snap.Index;
  State.LastApplied = Snap.Index;
  setSnapshot(State, std::move(Snap));
  State.HasNewSnapshot = true;
}

void onSnapshotChunk(Replica &State, Instant Now, const Member &From,
                     const SnapshotChunk &Chunk) {
  if (Chunk.InTerm < State.Hard.CurrentTerm) {
    replyAppend(State, From, false, lastIndex(State), Chunk.SentAt);
    return;
  }
  followLeader(State, Now, From, Chunk.InTerm);
  if (Chunk.Id.Index <= State.CommitIndex) {
    replyAppend(State, From, true, State.CommitIndex, Chunk.SentAt);
    return;
  }
  const ChunkOutcome Outcome = acceptChunk(State.Incoming, Chunk);
  if (Outcome.IsComplete) {
    IncomingSnapshot Complete = std::move(*State.Incoming);
    State.Incoming.reset();
    installSnapshot(State,
                    {Complete.Id.Index, Complete.Id.InTerm,
                     std::move(Complete.Voters), std::move(Complete.Data)});
    replyAppend(State, From, true, Chunk.Id.Index, Chunk.SentAt);
  } else if (!Outcome.IsObsolete) {
    send(State, From,
         SnapshotChunkReply{State.Hard.CurrentTerm, Chunk.Id, Chunk.Offset,
                            Outcome.NextOffset, Chunk.SentAt});
  }
}

/// Finds the progress of a member that answers a message of the current term of
/// this leader, and records the contact.
/// @return The progress, or null if the answer is outdated or this member does
/// not lead.
Progress *recordContact(Replica &State, Instant Now, const Member &From,
                        Term AnsweredTerm) {
  const auto ProgressIt = State.Peers.find(From);
  if (State.Role != ReplicaRole::Leader || ProgressIt == State.Peers.end() ||
      AnsweredTerm != State.Hard.CurrentTerm) {
    return nullptr;
  }
  ProgressIt->second.LastContactAt = Now;
  return &ProgressIt->second;
}

/// A report doesn't extend the leader lease: it is sent before the term of the
/// receiver is synced.
void onSnapshotChunkReply(Replica &State, Instant Now, const Member &From,
                          const SnapshotChunkReply &Reply) {
  Progress *Peer = recordContact(State, Now, From, Reply.InTerm);
  if (Peer != nullptr && Peer->Transfer) {
    recordReport(*Peer->Transfer, Reply, Now);
    sendAppend(State, From, *Peer, Now, false);
  }
}

void onAppendReply(Replica &State, Instant Now, const Member &From,
                   const AppendEntriesReply &Reply) {
  Progress *Sender = recordContact(State, Now, From, Reply.InTerm);
  if (Sender == nullptr) {
    return;
  }
  Progress &Peer = *Sender;
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
  advanceCommit(State);
  sendAppend(State, From, Peer, Now, false);
}

} // namespace mulberryramp::internal
