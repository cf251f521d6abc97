#pragma once

#include "mulberryramp/core/random.hpp"
#include "mulberryramp/core/time.hpp"
#include "mulberryramp/replica/message.hpp"
#include "mulberryramp/replica/snapshot_transfer.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief Timing and limits of a group; must be equal on all its members.
struct ReplicaOptions {
  Millis HeartbeatInterval{100};
  Millis ElectionTimeoutMin{400};      ///< Minimum election timeout.
  Millis ElectionTimeoutMax{700};      ///< Maximum election timeout.
  Millis JoinInterval{300};            ///< Time between join requests.
  TransferLimits Transfer;             ///< Of snapshots.
  std::size_t SnapshotThreshold = 512; ///< Applied entries between snapshots.
  std::size_t TrailingEntries =
      128; ///< Entries kept before a snapshot's index.
  /// A snapshot is also due once the entries that were applied since the last
  /// one are longer than this and than that snapshot; 0: no limit. Entries that
  /// are kept before its index are not longer than this either.
  std::size_t SnapshotThresholdBytes = 0;
  int LeaseDriftPercent = 10;       ///< Clock drift that the lease tolerates.
  bool AllowsUnsafeRecovery = true; ///< A sole survivor may continue alone.
  bool PersistsCommitIndex =
      false;                     ///< Apply only entries whose commit is synced.
  std::set<NodeId> VoterNodes;   ///< Nodes that become voters.
  std::set<NodeId> WitnessNodes; ///< Voters that transfer leadership away.
  bool HasDynamicMembership =
      false; ///< Any node that requests to join may become a voter.
  /// Number of voters of a group with dynamic membership. With an odd number,
  /// one side of a network partition keeps a majority; further nodes stay
  /// learners.
  std::size_t TargetVoters = 3;
  Millis UnresponsiveVoterTimeout{3000}; ///< Time without contact after which a
                                         ///< voter may be replaced.
};

/// @brief Raft role of a member.
enum class ReplicaRole : std::uint8_t {
  Follower,
  PreCandidate,
  Candidate,
  Leader
};

/// @brief Names of the roles, by value.
constexpr std::array<std::string_view, 4>
nameTable(ReplicaRole /*Role*/) noexcept {
  return {"follower", "pre-candidate", "candidate", "leader"};
}

/// @brief Replication state that a leader tracks for another member.
struct Progress {
  LogIndex NextIndex = 1;
  LogIndex MatchIndex = 0;
  LogIndex LastApplied = 0;
  Instant LastAckedSentAt; ///< When the newest answered request was sent.
  Instant LastContactAt;   ///< When the last answer arrived.
  Instant SentAt;          ///< When a request was last sent.
  LogIndex SentCommit = 0; ///< Commit index in the last request.
  Instant LastRejectedAt;  ///< When a rejection last reset `NextIndex`.
  /// Snapshot that is being sent. A newer one doesn't replace it.
  std::optional<OutgoingSnapshot> Transfer;
};

/// @brief Voters, with the index of the entry that set them.
struct IndexedMembership {
  LogIndex Index = 0;
  Membership Voters;
};

/// @brief Join requests of the newest incarnation of a node.
struct JoinRecord {
  std::uint64_t Incarnation = 0;
  LogIndex LastLogIndex = 0;
  Instant FirstAt; ///< First request of this incarnation.
  Instant At;      ///< Last request of this incarnation.
};

/// @brief State of one member of one group.
///
/// Plain data that the functions below change. They add messages to `Outbox`
/// and writes to `Unsaved`; a message must not be sent before the writes that
/// precede it are synced.
struct Replica {
  std::string Group;
  Member Self;
  ReplicaOptions Options;
  Random Rng;

  HardState Hard;
  Snapshot LatestSnapshot;
  std::optional<IncomingSnapshot> Incoming; ///< Incomplete snapshot.
  LogIndex CompactedIndex = 0; ///< Index before the first kept entry.
  Term CompactedTerm = 0;      ///< Term of the entry at `CompactedIndex`.
  std::deque<Entry> Entries;   ///< Entries after `CompactedIndex`.
  std::vector<IndexedMembership> Memberships; ///< Never empty; last is active.

  LogIndex SavedIndex = 0;  ///< Last entry that is synced locally.
  LogIndex SavingIndex = 0; ///< Last entry of the write in progress.
  LogIndex CommitIndex = 0;
  LogIndex SavedCommit = 0; ///< Commit index that is synced locally.
  LogIndex LastApplied = 0;
  std::size_t AppliedBytes = 0; ///< Of entries applied since the snapshot.
  LogIndex ReportedApplied =
      0; ///< Reported to the leader as applied; set by the owner.

  ReplicaRole Role = ReplicaRole::Follower;
  std::optional<Member> Leader;
  std::set<Member> VotesReceived;
  std::map<Member, Progress> Peers;
  std::map<NodeId, JoinRecord> JoinRequests; ///< Join requests by node.
  LogIndex TermStartIndex = 0; ///< First entry of this leader's term.
  std::optional<Member> TransferTarget;
  Instant TransferDeadline;
  /// The target was asked to start an election in the term of this leader.
  bool HasRequestedElection = false;
  bool IsLeaderTransfer = false; ///< The current election follows a transfer.

  Instant ElectionDeadline;
  Instant NextHeartbeatAt;
  Instant NextJoinAt;
  Instant LastLeaderContactAt; ///< No vote is granted for
                               ///< `ElectionTimeoutMin` after this.

  std::vector<ReplicaMessage> Outbox;
  PersistBatch Unsaved;
  bool HasUnsaved = false;
  bool HasNewSnapshot = false; ///< The owner must restore `LatestSnapshot`.
};

/// @brief Creates a member from its stored state.
/// @param Group Name of the group.
/// @param Self Node and incarnation of this daemon.
/// @param Options Timing and limits.
/// @param Stored State read from the disk; empty without a disk.
/// @param Seed Seed of the random election timeouts.
/// @param Now Current monotonic time.
/// @return The member, as a follower that grants no vote for
/// `ElectionTimeoutMin`.
[[nodiscard]] Replica startReplica(std::string Group, Member Self,
                                   ReplicaOptions Options, StoredGroup Stored,
                                   std::uint64_t Seed, Instant Now);

/// @brief Builds the initial stored state of a bootstrap voter.
/// @param BootstrapVoters The first voters of the group.
/// @return State with those voters and an empty log.
[[nodiscard]] StoredGroup bootstrapGroup(std::vector<Member> BootstrapVoters);

/// @brief Performs the work that is due: elections, heartbeats, join requests
/// and membership changes.
/// @param State The member.
/// @param Now Current monotonic time.
void tick(Replica &State, Instant Now);

/// @brief Handles a message; one for another incarnation is dropped.
/// @param State The member.
/// @param Now Current monotonic time.
/// @param Message The message.
void receive(Replica &State, Instant Now, const ReplicaMessage &Message);

/// @brief Appends a command to the log, if this member leads and no leadership
/// transfer is in progress.
/// @param State The member.
/// @param Data The command.
/// @return The index of its entry, or nothing if the member cannot append it.
[[nodiscard]] std::optional<LogIndex> propose(Replica &State, std::string Data);

/// @brief Updates the hard state in `Unsaved` before it is written.
/// @param State The member.
void prepareSave(Replica &State);

/// @brief Records that all of `Unsaved` is synced, and clears it.
/// @param State The member.
void markSaved(Replica &State);

/// @brief Moves `Unsaved` out for an asynchronous write; only one may be in
/// progress at a time.
/// @param State The member.
/// @return The batch, or nothing if there is nothing to write.
[[nodiscard]] std::optional<PersistBatch> beginSave(Replica &State);

/// @brief Records that the batch of `beginSave` is synced.
/// @param State The member.
void finishSave(Replica &State);

/// @brief Advances `LastApplied` to the next committed entry, if there is one.
/// @param State The member.
/// @return The entry to apply, or null; valid until the next call.
[[nodiscard]] const Entry *nextCommitted(Replica &State);

/// @brief Replaces the log up to `LastApplied` by a snapshot, but keeps the
/// trailing entries for slow followers, and those that follow a snapshot which
/// is being sent.
/// @param State The member.
/// @param Data State of the group at `LastApplied`.
void compact(Replica &State, std::string Data);

/// @brief Tells whether enough entries were applied since the last snapshot.
[[nodiscard]] bool needsSnapshot(const Replica &State) noexcept;

/// @brief Computes the end of the leader lease; until then no other member can
/// become leader.
/// @param State The member.
/// @param Now Current monotonic time.
/// @return End of the lease; in the past if this member holds none.
[[nodiscard]] Instant leaseEnd(const Replica &State, Instant Now);

/// @brief Tells whether this member leads, is no witness, holds its lease and
/// has applied all entries committed in earlier terms.
[[nodiscard]] bool canServeAsLeader(const Replica &State, Instant Now);

/// @brief Starts a transfer of leadership to the most up-to-date voter, if one
/// had recent contact and is not a witness.
/// @param State The member.
/// @param Now Current monotonic time.
void transferLeadership(Replica &State, Instant Now);

/// @brief Adopts a higher term that a leader has used outside the group.
/// @param State The member; becomes a follower if its own term is lower.
/// @param Now Current monotonic time.
/// @param InTerm The term.
void raiseTerm(Replica &State, Instant Now, Term InTerm);

/// @brief Returns the active voters, as of the last membership entry in the
/// log, committed or not.
[[nodiscard]] const Membership &membership(const Replica &State) noexcept;

/// @brief Returns the index of the last entry of the log.
[[nodiscard]] LogIndex lastIndex(const Replica &State) noexcept;

/// @brief Tells whether a member is an active voter in this incarnation.
[[nodiscard]] bool isVoter(const Replica &State,
                           const Member &MemberId) noexcept;

} // namespace mulberryramp
