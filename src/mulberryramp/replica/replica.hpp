#pragma once

#include "mulberryramp/core/random.hpp"
#include "mulberryramp/core/time.hpp"
#include "mulberryramp/replica/message.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief Timing and limits of a group; equal on all its members.
struct ReplicaOptions {
  Millis HeartbeatInterval{100};
  Millis ElectionTimeoutMin{400}; ///< Shortest silence before an election.
  Millis ElectionTimeoutMax{700}; ///< Longest silence before an election.
  Millis JoinInterval{300};       ///< Pause between requests to join.
  Millis SnapshotRetryInterval{1500};
  std::size_t SnapshotThreshold = 512; ///< Entries between snapshots.
  std::size_t TrailingEntries = 128;   ///< Entries kept behind a snapshot.
  int LeaseDriftPercent = 10;          ///< Clock drift that a lease allows for.
  bool AllowsUnsafeRecovery = true;    ///< A sole survivor may go on by itself.
  bool PersistsCommitIndex = false; ///< Apply only what is saved as committed.
  std::set<NodeId> VoterNodes;      ///< Nodes that are to become voters.
  std::set<NodeId> WitnessNodes;    ///< Voters that hand leadership on.
  bool HasDynamicMembership =
      false; ///< Any node that asks to join may become a voter.
  /// Voters that an open group wants. An odd number goes on in one of two
  /// halves; further nodes stand by as learners.
  std::size_t TargetVoters = 3;
  Millis SilentVoterTimeout{3000}; ///< Silence that lets another take the vote.
};

/// @brief What a member of a group is at the moment.
enum class ReplicaRole : std::uint8_t {
  Follower,
  PreCandidate,
  Candidate,
  Leader
};

/// @brief Names of the roles.
constexpr std::array<std::string_view, 4>
nameTable(ReplicaRole /*Role*/) noexcept {
  return {"follower", "pre-candidate", "candidate", "leader"};
}

/// @brief What a leader knows of another member.
struct Progress {
  LogIndex NextIndex = 1;
  LogIndex MatchIndex = 0;
  LogIndex LastApplied = 0;
  Instant LastAckedSentAt; ///< When the last answered request was sent.
  Instant LastContactAt;   ///< When the last answer came.
  Instant SnapshotSentAt;  ///< When a snapshot was last sent.
  Instant SentAt;          ///< When anything was last sent.
  LogIndex SentCommit = 0; ///< Commit in the last request.
  Instant LastRejectedAt;  ///< When a refusal last moved `NextIndex` back.
};

/// @brief Term and index of an entry that changes the voters.
struct IndexedMembership {
  LogIndex Index = 0;
  Membership Voters;
};

/// @brief Last request of a node to join.
struct JoinRecord {
  std::uint64_t Incarnation = 0;
  LogIndex LastLogIndex = 0;
  Instant FirstAt; ///< First request of this incarnation.
  Instant At;      ///< Last one.
};

/// @brief State of one member of one group.
///
/// Plain data: the functions below step it. `Out` and `Unsaved` collect what a
/// step causes; the messages must not go out before the writes are synced.
struct Replica {
  std::string Group;
  Member Self;
  ReplicaOptions Options;
  Random Rng;

  HardState Hard;
  Snapshot LatestSnapshot;
  LogIndex CompactedIndex = 0; ///< Index before the first entry that is kept.
  Term CompactedTerm = 0;      ///< Term of the entry at `CompactedIndex`.
  std::deque<Entry> Entries;   ///< Entries behind `CompactedIndex`.
  std::vector<IndexedMembership> Memberships;

  LogIndex SavedIndex = 0;  ///< Last entry that is synced here.
  LogIndex SavingIndex = 0; ///< Last entry of the write that is under way.
  LogIndex CommitIndex = 0;
  LogIndex SavedCommit = 0; ///< Commit that is synced here.
  LogIndex LastApplied = 0;
  LogIndex ReportedApplied =
      0; ///< Told to the leader as applied; set by the owner.

  ReplicaRole Role = ReplicaRole::Follower;
  std::optional<Member> Leader;
  std::set<Member> VotesReceived;
  std::map<Member, Progress> Peers;
  std::map<NodeId, JoinRecord>
      JoinRequests;            ///< Newest join request of each node.
  LogIndex TermStartIndex = 0; ///< First entry of the own term as leader.
  std::optional<Member> TransferTarget;
  Instant TransferDeadline;
  bool IsLeaderTransfer = false; ///< The running election follows a transfer.

  Instant ElectionDeadline;
  Instant NextHeartbeatAt;
  Instant NextJoinAt;
  Instant LastLeaderContactAt; ///< No vote is given for a while after this.

  std::vector<ReplicaMessage> Outbox;
  PersistBatch Unsaved;
  bool HasUnsaved = false;
  bool HasNewSnapshot = false; ///< A snapshot came in and has to be restored.
};

/// @brief Starts a member.
/// @param Group Name of the group.
/// @param Self This life of the daemon.
/// @param Options Timing and limits.
/// @param Stored What lasted on the disk; empty without a disk.
/// @param Seed Seed of the election times.
/// @param Now The present moment.
/// @return The member, as a follower that gives no vote for a while.
[[nodiscard]] Replica startReplica(std::string Group, Member Self,
                                   ReplicaOptions Options, StoredGroup Stored,
                                   std::uint64_t Seed, Instant Now);

/// @brief Builds what a founder finds on its disk before the first start.
/// @param Founders The first voters.
/// @return State with those voters and an empty log.
[[nodiscard]] StoredGroup bootstrapGroup(std::vector<Member> BootstrapVoters);

/// @brief Lets time pass: elections, heartbeats, joins and changes of voters.
/// @param State The member.
/// @param Now The present moment.
void tick(Replica &State, Instant Now);

/// @brief Takes a message in; one for another life of the daemon is dropped.
/// @param State The member.
/// @param Now The present moment.
/// @param Message The message.
void receive(Replica &State, Instant Now, const ReplicaMessage &Message);

/// @brief Appends an entry, if this member leads.
/// @param State The member.
/// @param Data The command.
/// @return Its index, or nothing if this member cannot take it.
[[nodiscard]] std::optional<LogIndex> propose(Replica &State, std::string Data);

/// @brief Completes `Unsaved` before it is written.
/// @param State The member.
void prepareSave(Replica &State);

/// @brief Notes that all of `Unsaved` is synced, and clears it.
/// @param State The member.
void markSaved(Replica &State);

/// @brief Takes `Unsaved` for a write that goes on beside further steps; there
/// may be one at a time.
/// @param State The member.
/// @return The batch, or nothing if there is nothing to write.
[[nodiscard]] std::optional<PersistBatch> beginSave(Replica &State);

/// @brief Notes that the batch of `beginSave` is synced.
/// @param State The member.
void finishSave(Replica &State);

/// @brief Takes the next committed entry that was not yet applied.
/// @param State The member.
/// @return The entry, or null; it stays valid until the next call.
[[nodiscard]] const Entry *nextCommitted(Replica &State);

/// @brief Replaces the log up to the applied index by a snapshot.
/// @param State The member.
/// @param Data State of the group at the applied index.
void compact(Replica &State, std::string Data);

/// @brief Tells whether the log is long enough for a snapshot.
[[nodiscard]] bool needsSnapshot(const Replica &State) noexcept;

/// @brief Computes until when no other member can have become leader.
/// @param State The member.
/// @param Now The present moment.
/// @return End of the lease; in the past if there is none.
[[nodiscard]] Instant leaseEnd(const Replica &State, Instant Now);

/// @brief Tells whether this member leads, holds its lease and knows all
/// committed entries.
[[nodiscard]] bool canServeAsLeader(const Replica &State, Instant Now);

/// @brief Hands leadership to the voter that is furthest, if there is one.
/// @param State The member.
/// @param Now The present moment.
void transferLeadership(Replica &State, Instant Now);

/// @brief Takes over a higher term that a leader has used outside the group.
/// @param State The member; gives up its role if its own term is lower.
/// @param Now The present moment.
/// @param InTerm The term.
void raiseTerm(Replica &State, Instant Now, Term InTerm);

/// @brief Reads the voters in force.
[[nodiscard]] const Membership &membership(const Replica &State) noexcept;

/// @brief Reads the index of the last entry.
[[nodiscard]] LogIndex lastIndex(const Replica &State) noexcept;

/// @brief Tells whether a member is a voter in force.
[[nodiscard]] bool isVoter(const Replica &State, const Member &Who) noexcept;

} // namespace mulberryramp
