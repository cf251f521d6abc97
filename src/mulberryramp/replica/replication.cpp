#include "mulberryramp/replica/internal.hpp"

#include <algorithm>
#include <utility>

/// @file
/// @brief Replication of the log from the leader to the other members.

namespace mulberryramp::internal {

/// Heartbeat interval of a learner, as a multiple of that of a voter.
constexpr int LearnerHeartbeatFactor = 4;

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

} // namespace mulberryramp::internal
