#pragma once

#include "mulberryramp/core/finding.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace mulberryramp {

/// @brief Reads a JSON object member by member and collects all findings.
///
/// A finding names the member by its path, such as `/need/cpus`.
class JsonReader {
public:
  /// @brief Starts at an object.
  /// @param Item The value; a finding is made if it is no object.
  /// @param Path Path of the value.
  /// @param Report Receives the findings.
  JsonReader(const nlohmann::json &Value, std::string Path, Findings &Report);

  /// @brief Reads a string.
  /// @param Key The member.
  /// @param IsNeeded Whether its absence is a finding.
  /// @param MaxBytes Longest value.
  /// @return The string; empty if absent or wrong.
  [[nodiscard]] std::string text(const char *Key, bool IsNeeded,
                                 std::size_t MaxBytes);

  /// @brief Reads a whole number.
  /// @param Key The member.
  /// @param Default Value if it is absent.
  /// @param Least Smallest value.
  /// @param Most Largest value.
  /// @return The number; the default if absent or wrong.
  [[nodiscard]] std::int64_t number(const char *Key, std::int64_t Default,
                                    std::int64_t Least, std::int64_t Most);

  /// @brief Reads an unsigned number of 64 bits.
  [[nodiscard]] std::uint64_t count(const char *Key, bool IsNeeded);

  /// @brief Reads true or false.
  [[nodiscard]] bool flag(const char *Key, bool Default);

  /// @brief Reads a member that is an object or an array.
  /// @return The member, or null if it is absent.
  [[nodiscard]] const nlohmann::json *member(const char *Key);

  /// @brief Adds a finding for a member.
  void add(const char *Key, std::string Text);

  /// @brief Makes a finding for each member that was not read.
  void rejectUnknownMembers();

  /// @brief Reads the path of a member.
  [[nodiscard]] std::string pathOf(const char *Key) const;

private:
  const nlohmann::json *Item;
  std::string Path;
  Findings &Report;
  std::vector<std::string> Read;
};

} // namespace mulberryramp
