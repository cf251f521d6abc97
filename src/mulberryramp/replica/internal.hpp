#pragma once

#include "mulberryramp/replica/replica.hpp"

#include <cstddef>
#include <optional>
#include <string>

/// @file
/// @brief Functions that the source files of the module share.

namespace mulberryramp::internal {

/// Maximum lag, in entries, at which a learner becomes a voter or a voter may
/// receive leadership.
inline constexpr LogIndex MaxPromotionLag = 16;

// log.cpp
const Entry &entryAt(const Replica &State, LogIndex Index);
Term termAt(const Replica &State, LogIndex Index);
Term lastTerm(const Replica &State);
std::size_t quorum(const Replica &State);
bool isWitness(const Replica &State, NodeId Node);
void markHardStateDirty(Replica &State);
void send(Replica &State, const Member &To, ReplicaBody Body);
void resetElectionTimer(Replica &State, Instant Now);
void becomeFollower(Replica &State, Instant Now, Term InTerm);
void recordMembership(Replica &State, const Entry &LogEntry);
void appendEntry(Replica &State, Entry LogEntry);
void truncateFrom(Replica &State, LogIndex Index);
void discardEntriesUpTo(Replica &State, LogIndex Index);
void setSnapshot(Replica &State, Snapshot Snap);
void appendAsLeader(Replica &State, EntryKind Kind, std::string Data);

// replication.cpp
void sendAppend(Replica &State, const Member &To, Progress &Peer, Instant Now,
                bool SendsHeartbeat);
void broadcast(Replica &State, Instant Now, bool SendsHeartbeat);
void trackVoters(Replica &State);
void advanceCommit(Replica &State);
void onAppend(Replica &State, Instant Now, const Member &From,
              const AppendEntriesRequest &Request);
void onSnapshotChunk(Replica &State, Instant Now, const Member &From,
                     const SnapshotChunk &Chunk);
void onSnapshotChunkReply(Replica &State, Instant Now, const Member &From,
                          const SnapshotChunkReply &Reply);
void onAppendReply(Replica &State, Instant Now, const Member &From,
                   const AppendEntriesReply &Reply);

// election.cpp
void startPreVote(Replica &State, Instant Now);
void onVoteRequest(Replica &State, Instant Now, const Member &From,
                   const VoteRequest &Request);
void onVoteReply(Replica &State, Instant Now, const Member &From,
                 const VoteReply &Reply);
void onTransfer(Replica &State, Instant Now, const TimeoutNowRequest &Request);

// membership.cpp
void onJoin(Replica &State, Instant Now, const Member &From,
            const JoinRequest &Request);
void promoteLearners(Replica &State, Instant Now);
void removeUnresponsiveVoter(Replica &State, Instant Now);
void removeUnresponsiveLearners(Replica &State, Instant Now);
bool isSoleSurvivor(const Replica &State, Instant Now);
void recoverAsSoleSurvivor(Replica &State, Instant Now);
void requestJoin(Replica &State, Instant Now);

} // namespace mulberryramp::internal
