#pragma once

#include "mulberryramp/core/fwd.hpp"
#include "mulberryramp/core/shared_bytes.hpp"
#include "mulberryramp/storage/fwd.hpp"

#include <array>
#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace mulberryramp {

/// @brief One incarnation of a daemon in a group.
///
/// A daemon that restarts without its state keeps its node number but gets a
/// larger incarnation, so it never acts as the member it was before.
struct Member {
  NodeId Node = 0;
  std::uint64_t Incarnation = 0;

  constexpr auto operator<=>(const Member &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&Member::Node, &Member::Incarnation);
  }
};

/// @brief The voters of a group, sorted by node.
struct Membership {
  std::vector<Member> Voters;

  bool operator==(const Membership &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&Membership::Voters);
  }
};

/// @brief Kind of a log entry.
enum class EntryKind : std::uint8_t {
  Noop,       ///< First entry of a leader's term.
  Command,    ///< Command of the owner of the log.
  Membership, ///< New voters.
  Recovery    ///< New voters after unsafe recovery by the sole survivor.
};

/// @brief Names of the entry kinds, by value.
constexpr std::array<std::string_view, 4>
nameTable(EntryKind /*Kind*/) noexcept {
  return {"noop", "command", "membership", "recovery"};
}

/// @brief One entry of a replicated log.
struct Entry {
  Term InTerm = 0;
  LogIndex Index = 0;
  EntryKind Kind = EntryKind::Noop;
  std::string Data;

  bool operator==(const Entry &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&Entry::InTerm, &Entry::Index, &Entry::Kind,
                           &Entry::Data);
  }
};

/// @brief Raft state that a voter must persist before it answers.
struct HardState {
  Term CurrentTerm = 0;
  std::optional<Member> VotedFor;
  LogIndex CommitIndex = 0; ///< Known commit index when this was written.

  bool operator==(const HardState &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&HardState::CurrentTerm, &HardState::VotedFor,
                           &HardState::CommitIndex);
  }
};

/// @brief State of a group up to an index; replaces the log up to there.
struct Snapshot {
  LogIndex Index = 0;
  Term InTerm = 0;
  Membership Voters;
  SharedBytes Data;

  static constexpr auto fields() {
    return std::make_tuple(&Snapshot::Index, &Snapshot::InTerm,
                           &Snapshot::Voters, &Snapshot::Data);
  }
};

/// @brief Changes that must be synced before the messages of the same step are
/// sent.
struct PersistBatch {
  HardState Hard;
  std::optional<LogIndex> TruncateFrom; ///< First entry to remove.
  std::vector<Entry> Entries;           ///< Entries to append.
  std::optional<Snapshot>
      NewSnapshot; ///< If set, `Entries` holds all entries after it.

  static constexpr auto fields() {
    return std::make_tuple(&PersistBatch::Hard, &PersistBatch::TruncateFrom,
                           &PersistBatch::Entries, &PersistBatch::NewSnapshot);
  }
};

/// @brief State of a group as read from its disk.
struct StoredGroup {
  HardState Hard;
  Snapshot LatestSnapshot;
  std::vector<Entry> Entries;
};

} // namespace mulberryramp
