#pragma once

#include "mulberryramp/config/settings.hpp"

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Functions shared by the parsers of INI files.

namespace mulberryramp::internal {

/// @brief Key and value of an INI file with their position.
struct IniPair {
  std::string Section;
  std::string Key;
  std::string Value;
  std::size_t Line = 0; ///< Line number, from 1.
  std::string LineText; ///< Text of the line, to determine columns.
};

/// @brief Parses an INI file.
/// @param Source Name of the file, reported in findings.
/// @param Text Content of the file.
/// @param Report Receives a finding for the first line with a syntax error.
/// @return The pairs in the order of the file; duplicate keys are kept.
[[nodiscard]] std::vector<IniPair>
readIni(const std::string &Source, const std::string &Text, Findings &Report);

/// @brief Parses a decimal integer.
/// @return The value; nothing on a syntax error or if the value is not between
/// `MinValue` and `MaxValue`.
template <typename Number>
[[nodiscard]] std::optional<Number>
parseNumber(std::string_view Text, Number MinValue, Number MaxValue) {
  Number Value{};
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc{} || End != Text.data() + Text.size() ||
      Value < MinValue || Value > MaxValue) {
    return std::nullopt;
  }
  return Value;
}

/// @brief Parses an endpoint.
/// @param Text An IPv4 address and a port from 1 to 65535, such as
/// `10.0.0.1:7000`.
/// @return The endpoint, or nothing on a syntax error.
[[nodiscard]] std::optional<Endpoint> parseEndpoint(const std::string &Text);

} // namespace mulberryramp::internal
