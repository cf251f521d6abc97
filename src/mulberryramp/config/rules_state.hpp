#pragma once

#include "mulberryramp/config/rules.hpp"
#include "mulberryramp/core/fwd.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace mulberryramp {

inline constexpr std::size_t MaxRulesHistory = 10000;

/// @brief A change of the rules, as the difference from its base.
struct RulesChange {
  std::string ChangeKey;         ///< Identity of the change, kept on resends.
  std::string Operator;          ///< Who sent it.
  Revision Base = 0;             ///< Revision that the change builds on.
  std::uint64_t PrefixBytes = 0; ///< Bytes kept from the front of the base.
  std::uint64_t SuffixBytes = 0; ///< Bytes kept from its back.
  std::string Replacement;       ///< What stands between them.
  WallTime At;

  static constexpr auto fields() {
    return std::make_tuple(&RulesChange::ChangeKey, &RulesChange::Operator,
                           &RulesChange::Base, &RulesChange::PrefixBytes,
                           &RulesChange::SuffixBytes, &RulesChange::Replacement,
                           &RulesChange::At);
  }
};

/// @brief What became of a change.
enum class ChangeVerdict : std::uint8_t { Accepted, Conflict };

/// @brief Names of the verdicts.
constexpr std::array<std::string_view, 2>
nameTable(ChangeVerdict /*Verdict*/) noexcept {
  return {"accepted", "conflict"};
}

/// @brief Entry of the audit trail: a change and its verdict.
struct ChangeRecord {
  std::string ChangeKey;
  std::string Operator;
  Revision Base = 0;
  Revision Number = 0; ///< Revision in force after the change.
  ChangeVerdict Verdict = ChangeVerdict::Accepted;
  std::string Winner; ///< Operator of the revision in force, on a conflict.
  std::vector<std::string> Added;
  std::vector<std::string> Removed;
  WallTime At;

  static constexpr auto fields() {
    return std::make_tuple(
        &ChangeRecord::ChangeKey, &ChangeRecord::Operator, &ChangeRecord::Base,
        &ChangeRecord::Number, &ChangeRecord::Verdict, &ChangeRecord::Winner,
        &ChangeRecord::Added, &ChangeRecord::Removed, &ChangeRecord::At);
  }
};

/// @brief Replicated state of the configuration group.
struct RulesState {
  Revision Number = 0;
  std::string Text;
  std::uint64_t LastRevisionIndex = 0; ///< Log entry of the newest revision.
  std::vector<ChangeRecord> History;   ///< Newest last, bounded.

  static constexpr auto fields() {
    return std::make_tuple(&RulesState::Number, &RulesState::Text,
                           &RulesState::LastRevisionIndex,
                           &RulesState::History);
  }
};

/// @brief Expresses a whole file as a change of the text in force.
/// @param State The log of rules.
/// @param Base Revision that the operator built on.
/// @param Text The whole rules file.
/// @return The change, without identity, operator and time.
[[nodiscard]] RulesChange makeChange(const RulesState &State, Revision Base,
                                     std::string_view Text);

/// @brief Applies a change; the same on every member.
/// @param State The log of rules.
/// @param Change The change; its text has been checked.
/// @return Its record; a resend gets the record of the first time.
ChangeRecord applyChange(RulesState &State, const RulesChange &Change);

/// @brief Encodes a change as data of a log entry.
[[nodiscard]] std::string encodeChange(const RulesChange &Change);

/// @brief Decodes a change from data of a log entry.
[[nodiscard]] std::optional<RulesChange> decodeChange(std::string_view Data);

/// @brief Encodes the state for a snapshot.
[[nodiscard]] std::string encodeRulesState(const RulesState &State);

/// @brief Restores the state from a snapshot; an empty one from no bytes.
[[nodiscard]] std::optional<RulesState> decodeRulesState(std::string_view Data);

} // namespace mulberryramp
