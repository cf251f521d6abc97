#pragma once

#include "mulberryramp/core/fwd.hpp"
#include "mulberryramp/storage/fwd.hpp"

#include <array>
#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace mulberryramp {

/// @brief One life of a daemon in a group.
///
/// A daemon without its former memory or disk comes back under the same node
/// and a larger incarnation, so it never speaks for its former self.
struct Member {
  NodeId Node = 0;
  std::uint64_t Incarnation = 0;

  constexpr auto operator<=>(const Member &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&Member::Node, &Member::Incarnation);
  }
};

/// @brief The voters of a group, in order of node.
struct Membership {
  std::vector<Member> Voters;

  bool operator==(const Membership &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&Membership::Voters);
  }
};

/// @brief What an entry of the log is for.
enum class EntryKind : std::uint8_t { Noop, Command, Membership, Recovery };

/// @brief Names of the entry kinds.
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

/// @brief What a voter must never forget.
struct HardState {
  Term CurrentTerm = 0;
  std::optional<Member> VotedFor;
  LogIndex CommitIndex = 0; ///< Known to be committed when this was written.

  bool operator==(const HardState &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&HardState::CurrentTerm, &HardState::VotedFor,
                           &HardState::CommitIndex);
  }
};

/// @brief State of a group up to an index, in place of the log before it.
struct Snapshot {
  LogIndex Index = 0;
  Term InTerm = 0;
  Membership Voters;
  std::string Data;

  static constexpr auto fields() {
    return std::make_tuple(&Snapshot::Index, &Snapshot::InTerm,
                           &Snapshot::Voters, &Snapshot::Data);
  }
};

/// @brief Everything that has to be synced before the messages of a step go
/// out.
struct PersistBatch {
  HardState Hard;
  std::optional<LogIndex> TruncateFrom; ///< First entry to drop.
  std::vector<Entry> Entries;           ///< Entries to append.
  std::optional<Snapshot>
      NewSnapshot; ///< New start; `Entries` then holds the rest.

  static constexpr auto fields() {
    return std::make_tuple(&PersistBatch::Hard, &PersistBatch::TruncateFrom,
                           &PersistBatch::Entries, &PersistBatch::NewSnapshot);
  }
};

/// @brief What a group finds on its disk.
struct StoredGroup {
  HardState Hard;
  Snapshot LatestSnapshot;
  std::vector<Entry> Entries;
};

} // namespace mulberryramp
