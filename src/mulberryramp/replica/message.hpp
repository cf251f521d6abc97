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
  bool IsForced = false; ///< Sent after a transfer; a live leader asked for it.
  LogIndex LastIndex = 0;
  Term LastTerm = 0;

  static constexpr auto fields() {
    return std::make_tuple(&VoteRequest::InTerm, &VoteRequest::IsPreVote,
                           &VoteRequest::IsForced, &VoteRequest::LastIndex,
                           &VoteRequest::LastTerm);
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
struct AppendRequest {
  Term InTerm = 0;
  LogIndex PrevIndex = 0;
  Term PrevTerm = 0;
  std::vector<Entry> Entries;
  LogIndex Commit = 0;
  Instant SentAt; ///< On the clock of the leader.

  static constexpr auto fields() {
    return std::make_tuple(&AppendRequest::InTerm, &AppendRequest::PrevIndex,
                           &AppendRequest::PrevTerm, &AppendRequest::Entries,
                           &AppendRequest::Commit, &AppendRequest::SentAt);
  }
};

/// @brief Answers an append or a snapshot.
struct AppendReply {
  Term InTerm = 0;
  bool IsAccepted = false;
  LogIndex Match = 0; ///< Last agreed index, or where to try again after it.
  LogIndex Applied = 0;
  Instant SentAt; ///< Copied from the request.

  static constexpr auto fields() {
    return std::make_tuple(&AppendReply::InTerm, &AppendReply::IsAccepted,
                           &AppendReply::Match, &AppendReply::Applied,
                           &AppendReply::SentAt);
  }
};

/// @brief Sends a snapshot to a member whose entries are no longer kept.
struct SnapshotRequest {
  Term InTerm = 0;
  Snapshot Base;
  Instant SentAt;

  static constexpr auto fields() {
    return std::make_tuple(&SnapshotRequest::InTerm, &SnapshotRequest::Base,
                           &SnapshotRequest::SentAt);
  }
};

/// @brief A member that is no voter asks to be sent the log.
struct JoinRequest {
  LogIndex LastIndex = 0;

  static constexpr auto fields() {
    return std::make_tuple(&JoinRequest::LastIndex);
  }
};

/// @brief A leader asks a voter to start an election at once.
struct TransferRequest {
  Term InTerm = 0;

  static constexpr auto fields() {
    return std::make_tuple(&TransferRequest::InTerm);
  }
};

using ReplicaBody =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotRequest, JoinRequest, TransferRequest>;

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
