#pragma once

#include "mulberryramp/config/rules.hpp"
#include "mulberryramp/core/fwd.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace mulberryramp {

/// @brief Number of changes that the audit trail keeps.
inline constexpr std::size_t MaxRulesHistory = 10000;

/// @brief Change of the rules, as a difference to the text of its base
/// revision.
struct RulesChange {
  std::string ChangeKey;         ///< Idempotency key; the same on a resend.
  std::string Operator;          ///< Operator who made the change.
  Revision Base = 0;             ///< Base revision.
  std::uint64_t PrefixBytes = 0; ///< Length of the common prefix.
  std::uint64_t SuffixBytes = 0; ///< Length of the common suffix.
  std::string Replacement;       ///< Text between prefix and suffix.
  WallTime At;                   ///< When the change was received.

  static constexpr auto fields() {
    return std::make_tuple(&RulesChange::ChangeKey, &RulesChange::Operator,
                           &RulesChange::Base, &RulesChange::PrefixBytes,
                           &RulesChange::SuffixBytes, &RulesChange::Replacement,
                           &RulesChange::At);
  }
};

/// @brief Result of a change; a conflict means that its base was outdated.
enum class ChangeVerdict : std::uint8_t { Accepted, Conflict };

/// @brief Names of the verdicts, as sent and printed.
constexpr std::array<std::string_view, 2>
nameTable(ChangeVerdict /*Verdict*/) noexcept {
  return {"accepted", "conflict"};
}

/// @brief Entry of the audit trail: a change and its verdict.
struct ChangeRecord {
  std::string ChangeKey;
  std::string Operator;
  Revision Base = 0;
  Revision Number = 0; ///< Active revision after the change.
  ChangeVerdict Verdict = ChangeVerdict::Accepted;
  std::string Winner; ///< On a conflict: operator of the active revision.
  std::vector<std::string> Added;   ///< Lines.
  std::vector<std::string> Removed; ///< Lines.
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
  std::string Text;                    ///< Text of the active rules.
  std::uint64_t LastRevisionIndex = 0; ///< Log index of the newest revision.
  /// Newest last, at most `MaxRulesHistory`.
  std::vector<ChangeRecord> History;

  static constexpr auto fields() {
    return std::make_tuple(&RulesState::Number, &RulesState::Text,
                           &RulesState::LastRevisionIndex,
                           &RulesState::History);
  }
};

/// @brief Computes the difference between the active rules and a new text.
/// @param State State of the configuration group.
/// @param Base Revision that the new text is based on.
/// @param Text Complete text of the new rules.
/// @return The change without key, operator and time; without a difference
/// if `Base` is outdated.
[[nodiscard]] RulesChange makeChange(const RulesState &State, Revision Base,
                                     std::string_view Text);

/// @brief Applies a change; deterministic, so that all members agree.
/// @param State State of the configuration group.
/// @param Change The change; its text must have been validated.
/// @return The record of the change; for a resend the record of its first
/// application.
ChangeRecord applyChange(RulesState &State, const RulesChange &Change);

/// @brief Encodes a change as the payload of a log entry.
[[nodiscard]] std::string encodeChange(const RulesChange &Change);

/// @brief Decodes a change from the payload of a log entry.
/// @return The change, or nothing if the data are malformed.
[[nodiscard]] std::optional<RulesChange> decodeChange(std::string_view Data);

/// @brief Encodes the state for a snapshot.
[[nodiscard]] std::string encodeRulesState(const RulesState &State);

/// @brief Decodes the state from a snapshot.
/// @param Data Data of the snapshot; if empty, the state is the initial one.
/// @return The state, or nothing if the data are malformed.
[[nodiscard]] std::optional<RulesState> decodeRulesState(std::string_view Data);

} // namespace mulberryramp
