#pragma once

#include "mulberryramp/replica/fwd.hpp"
#include "mulberryramp/storage/records.hpp"

#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace mulberryramp {

/// @brief Asks for a vote, or whether a vote would be given.
struct VoteRequest {
  Term InTerm = 0;
  bool IsPreVote = false;
  bool IsLeaderTransfer =
      false; ///< Sent after a transfer; a live leader asked for it.
  LogIndex LastLogIndex = 0;
  Term LastLogTerm = 0;

  static constexpr auto fields() {
    return std::make_tuple(&VoteRequest::InTerm, &VoteRequest::IsPreVote,
                           &VoteRequest::IsLeaderTransfer,
                           &VoteRequest::LastLogIndex,
                           &VoteRequest::LastLogTerm);
  }
};

/// @brief Answers a request for a vote.
struct VoteReply {
  Term InTerm = 0;
  bool IsPreVote = false;
  bool IsGranted = false;

  static constexpr auto fields() {
    return std::make_tuple(&VoteReply::InTerm, &VoteReply::IsPreVote,
                           &VoteReply::IsGranted);
  }
};

/// @brief Heartbeat of a leader, with entries that follow on a known one.
struct AppendEntriesRequest {
  Term InTerm = 0;
  LogIndex PrevLogIndex = 0;
  Term PrevLogTerm = 0;
  std::vector<Entry> Entries;
  LogIndex LeaderCommit = 0;
  Instant SentAt; ///< On the clock of the leader.

  static constexpr auto fields() {
    return std::make_tuple(
        &AppendEntriesRequest::InTerm, &AppendEntriesRequest::PrevLogIndex,
        &AppendEntriesRequest::PrevLogTerm, &AppendEntriesRequest::Entries,
        &AppendEntriesRequest::LeaderCommit, &AppendEntriesRequest::SentAt);
  }
};

/// @brief Answers an append or a snapshot.
struct AppendEntriesReply {
  Term InTerm = 0;
  bool IsAccepted = false;
  LogIndex MatchIndex =
      0; ///< Last agreed index, or where to try again after it.
  LogIndex LastApplied = 0;
  Instant SentAt; ///< Copied from the request.

  static constexpr auto fields() {
    return std::make_tuple(
        &AppendEntriesReply::InTerm, &AppendEntriesReply::IsAccepted,
        &AppendEntriesReply::MatchIndex, &AppendEntriesReply::LastApplied,
        &AppendEntriesReply::SentAt);
  }
};

/// @brief Sends a snapshot to a member whose entries are no longer kept.
struct InstallSnapshotRequest {
  Term InTerm = 0;
  Snapshot LatestSnapshot;
  Instant SentAt;

  static constexpr auto fields() {
    return std::make_tuple(&InstallSnapshotRequest::InTerm,
                           &InstallSnapshotRequest::LatestSnapshot,
                           &InstallSnapshotRequest::SentAt);
  }
};

/// @brief A member that is no voter asks to be sent the log.
struct JoinRequest {
  LogIndex LastLogIndex = 0;

  static constexpr auto fields() {
    return std::make_tuple(&JoinRequest::LastLogIndex);
  }
};

/// @brief A leader asks a voter to start an election at once.
struct TimeoutNowRequest {
  Term InTerm = 0;

  static constexpr auto fields() {
    return std::make_tuple(&TimeoutNowRequest::InTerm);
  }
};

using ReplicaBody = std::variant<VoteRequest, VoteReply, AppendEntriesRequest,
                                 AppendEntriesReply, InstallSnapshotRequest,
                                 JoinRequest, TimeoutNowRequest>;

/// @brief A message between members of a group.
struct ReplicaMessage {
  std::string Group;
  Member From;
  Member To; ///< Incarnation 0 means any.
  ReplicaBody Body;

  static constexpr auto fields() {
    return std::make_tuple(&ReplicaMessage::Group, &ReplicaMessage::From,
                           &ReplicaMessage::To, &ReplicaMessage::Body);
  }
};

} // namespace mulberryramp
