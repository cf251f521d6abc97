#include "mulberryramp/replica/internal.hpp"

/// @file
/// @brief Elections and votes.

namespace mulberryramp::internal {

void becomeLeader(Replica &State, Instant Now) {
  State.Role = ReplicaRole::Leader;
  State.Leader = State.Self;
  State.Incoming.reset();
  State.VotesReceived.clear();
  State.Peers.clear();
  State.TransferTarget.reset();
  State.HasRequestedElection = false;
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

void onTransfer(Replica &State, Instant Now, const TimeoutNowRequest &Request) {
  const bool IsFollowerOfTerm = State.Role == ReplicaRole::Follower &&
                                Request.InTerm == State.Hard.CurrentTerm;
  if (!IsFollowerOfTerm || !isVoter(State, State.Self)) {
    return;
  }
  State.IsLeaderTransfer = true;
  startElection(State, Now);
}

} // namespace mulberryramp::internal
