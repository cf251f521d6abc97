#include "mulberryramp/replica/internal.hpp"

#include "mulberryramp/replica/membership_codec.hpp"

#include <algorithm>
#include <utility>

/// @file
/// @brief Changes of the voters, and recovery by a sole survivor.

namespace mulberryramp::internal {

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
  State.HasRequestedElection = false;
  appendAsLeader(State, EntryKind::Recovery, encodeMembership({{State.Self}}));
  State.TermStartIndex = lastIndex(State);
  State.NextHeartbeatAt = Now;
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

} // namespace mulberryramp::internal
