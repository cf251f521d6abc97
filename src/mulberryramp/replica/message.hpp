#pragma once

#include "mulberryramp/replica/fwd.hpp"
#include "mulberryramp/storage/records.hpp"

#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace mulberryramp {

/// @brief Requests a vote (RequestVote), or in a pre-vote asks whether the vote
/// would be granted.
struct VoteRequest {
  Term InTerm = 0;
  bool IsPreVote = false;
  bool IsLeaderTransfer =
      false; ///< Requested by the current leader, so its lease is ignored.
  LogIndex LastLogIndex = 0;
  Term LastLogTerm = 0;

  static constexpr auto fields() {
    return std::make_tuple(&VoteRequest::InTerm, &VoteRequest::IsPreVote,
                           &VoteRequest::IsLeaderTransfer,
                           &VoteRequest::LastLogIndex,
                           &VoteRequest::LastLogTerm);
  }
};

/// @brief Answers a `VoteRequest`.
struct VoteReply {
  Term InTerm = 0;
  bool IsPreVote = false; ///< Grants a pre-vote; false in every rejection.
  bool IsGranted = false;

  static constexpr auto fields() {
    return std::make_tuple(&VoteReply::InTerm, &VoteReply::IsPreVote,
                           &VoteReply::IsGranted);
  }
};

/// @brief Heartbeat of a leader with the entries after `PrevLogIndex`, which
/// may be none.
struct AppendEntriesRequest {
  Term InTerm = 0;
  LogIndex PrevLogIndex = 0;
  Term PrevLogTerm = 0;
  std::vector<Entry> Entries;
  LogIndex LeaderCommit = 0;
  Instant SentAt; ///< On the leader's clock; returned in the reply.

  static constexpr auto fields() {
    return std::make_tuple(
        &AppendEntriesRequest::InTerm, &AppendEntriesRequest::PrevLogIndex,
        &AppendEntriesRequest::PrevLogTerm, &AppendEntriesRequest::Entries,
        &AppendEntriesRequest::LeaderCommit, &AppendEntriesRequest::SentAt);
  }
};

/// @brief Answers an `AppendEntriesRequest`, or the chunk that completed a
/// snapshot.
struct AppendEntriesReply {
  Term InTerm = 0;
  bool IsAccepted = false;
  LogIndex MatchIndex =
      0; ///< Last matching index; if rejected, the index to retry after.
  LogIndex LastApplied = 0;
  Instant SentAt; ///< Copied from the request.

  static constexpr auto fields() {
    return std::make_tuple(
        &AppendEntriesReply::InTerm, &AppendEntriesReply::IsAccepted,
        &AppendEntriesReply::MatchIndex, &AppendEntriesReply::LastApplied,
        &AppendEntriesReply::SentAt);
  }
};

/// @brief Identifies the content of a snapshot.
struct SnapshotId {
  LogIndex Index = 0;
  Term InTerm = 0;
  std::uint64_t Bytes = 0;
  std::uint64_t Checksum = 0; ///< XXH3 of the data.

  bool operator==(const SnapshotId &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&SnapshotId::Index, &SnapshotId::InTerm,
                           &SnapshotId::Bytes, &SnapshotId::Checksum);
  }
};

/// @brief Part of a snapshot, for a member that needs entries the leader has
/// compacted.
struct SnapshotChunk {
  Term InTerm = 0; ///< Term of the leader.
  SnapshotId Id;
  Membership Voters;
  std::uint64_t Offset = 0;
  std::string Data;
  std::uint64_t Checksum = 0; ///< Of the data, its offset and its snapshot.
  Instant SentAt;             ///< On the leader's clock; returned in the reply.

  static constexpr auto fields() {
    return std::make_tuple(&SnapshotChunk::InTerm, &SnapshotChunk::Id,
                           &SnapshotChunk::Voters, &SnapshotChunk::Offset,
                           &SnapshotChunk::Data, &SnapshotChunk::Checksum,
                           &SnapshotChunk::SentAt);
  }
};

/// @brief Reports the offset that the receiver of a snapshot needs next. The
/// last chunk is answered by an `AppendEntriesReply` once the snapshot is
/// installed.
struct SnapshotChunkReply {
  Term InTerm = 0;
  SnapshotId Id;
  std::uint64_t ChunkOffset = 0; ///< Offset of the chunk that is answered.
  std::uint64_t NextOffset = 0;
  Instant SentAt; ///< Copied from the chunk.

  static constexpr auto fields() {
    return std::make_tuple(&SnapshotChunkReply::InTerm, &SnapshotChunkReply::Id,
                           &SnapshotChunkReply::ChunkOffset,
                           &SnapshotChunkReply::NextOffset,
                           &SnapshotChunkReply::SentAt);
  }
};

/// @brief Request to receive the log, sent by a member that is not a voter or
/// may have been removed as one.
struct JoinRequest {
  LogIndex LastLogIndex = 0;

  static constexpr auto fields() {
    return std::make_tuple(&JoinRequest::LastLogIndex);
  }
};

/// @brief Leader's request to a voter to start an election immediately.
struct TimeoutNowRequest {
  Term InTerm = 0;

  static constexpr auto fields() {
    return std::make_tuple(&TimeoutNowRequest::InTerm);
  }
};

/// @brief Content of a message between members of a group.
using ReplicaBody = std::variant<VoteRequest, VoteReply, AppendEntriesRequest,
                                 AppendEntriesReply, SnapshotChunk, JoinRequest,
                                 TimeoutNowRequest, SnapshotChunkReply>;

/// @brief A message between members of a group, with its addresses.
struct ReplicaMessage {
  std::string Group;
  Member From;
  Member To; ///< Incarnation 0 addresses any incarnation of the node.
  ReplicaBody Body;

  static constexpr auto fields() {
    return std::make_tuple(&ReplicaMessage::Group, &ReplicaMessage::From,
                           &ReplicaMessage::To, &ReplicaMessage::Body);
  }
};

} // namespace mulberryramp
