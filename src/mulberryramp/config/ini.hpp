#pragma once

#include "mulberryramp/config/settings.hpp"

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief What the readers of INI files share.

namespace mulberryramp::internal {

/// @brief One setting with its place.
struct IniPair {
  std::string Section;
  std::string Key;
  std::string Value;
  std::size_t Line = 0;
  std::string LineText; ///< The whole line, to find columns in.
};

/// @brief Reads the settings of an INI file in their order.
/// @param Source Name of the file, for findings.
/// @param Text Content of the file.
/// @param Report Receives what is not a setting.
/// @return The settings; repeated keys are kept.
[[nodiscard]] std::vector<IniPair>
readIni(const std::string &Source, const std::string &Text, Findings &Report);

/// @brief Reads a whole number within bounds.
template <typename Number>
[[nodiscard]] std::optional<Number> parseNumber(std::string_view Text,
                                                Number Least, Number Most) {
  Number Value{};
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc{} || End != Text.data() + Text.size() ||
      Value < Least || Value > Most) {
    return std::nullopt;
  }
  return Value;
}

/// @brief Reads `number:port` with an IP number.
[[nodiscard]] std::optional<Endpoint> parseEndpoint(const std::string &Text);

} // namespace mulberryramp::internal
