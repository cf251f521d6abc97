#pragma once

#include "mulberryramp/core/finding.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace mulberryramp {

/// @brief Reads the members of a JSON object and collects all findings.
///
/// A finding identifies the member by its path, such as `/need/milli_cpus`.
class JsonReader {
public:
  /// @brief Creates a reader of an object.
  /// @param Value The value; must outlive the reader. A value that is not an
  /// object is a finding.
  /// @param Path Path of the value; empty for the root.
  /// @param Report Receives the findings; must outlive the reader.
  JsonReader(const nlohmann::json &Value, std::string Path, Findings &Report);

  /// @brief Reads a string.
  /// @param Key Key of the member.
  /// @param IsRequired Whether a missing or empty string is a finding.
  /// @param MaxBytes Maximum length.
  /// @return The string; empty if it is missing or invalid.
  [[nodiscard]] std::string text(const char *Key, bool IsRequired,
                                 std::size_t MaxBytes);

  /// @brief Reads an integer.
  /// @param Key Key of the member.
  /// @param Default Value of a missing member.
  /// @param MinValue Smallest valid value.
  /// @param MaxValue Largest valid value.
  /// @return The number; the default if it is missing or invalid.
  [[nodiscard]] std::int64_t number(const char *Key, std::int64_t Default,
                                    std::int64_t MinValue,
                                    std::int64_t MaxValue);

  /// @brief Reads an unsigned 64-bit integer.
  /// @param Key Key of the member.
  /// @param IsRequired Whether a missing member is a finding.
  /// @return The number; 0 if it is missing or invalid.
  [[nodiscard]] std::uint64_t unsignedNumber(const char *Key, bool IsRequired);

  /// @brief Reads a boolean.
  /// @param Key Key of the member.
  /// @param Default Value of a missing or invalid member.
  [[nodiscard]] bool flag(const char *Key, bool Default);

  /// @brief Finds a member of any type.
  /// @return The member, or null if it is missing.
  [[nodiscard]] const nlohmann::json *member(const char *Key);

  /// @brief Adds a finding for a member.
  void add(const char *Key, std::string Text);

  /// @brief Adds a finding for each member that was not read.
  void rejectUnknownMembers();

  /// @brief Returns the path of a member.
  [[nodiscard]] std::string pathOf(const char *Key) const;

private:
  const nlohmann::json *Object;
  std::string Path;
  Findings &Report;
  std::vector<std::string> ReadKeys;
};

} // namespace mulberryramp
