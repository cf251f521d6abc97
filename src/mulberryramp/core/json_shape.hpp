#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mulberryramp {

/// @brief Maximum nesting depth of a JSON text that is parsed.
inline constexpr int MaxJsonDepth = 32;
/// @brief Maximum number of values in a JSON text that is parsed. A value takes
/// about 100 bytes in memory and as few as two in the text.
inline constexpr std::size_t MaxJsonValues = 100000;

/// @brief Reason why a JSON text is not parsed.
enum class JsonShape : std::uint8_t {
  Accepted,
  TooDeep,      ///< Deeper than `MaxJsonDepth`.
  TooManyValues ///< More than `MaxJsonValues`.
};

/// @brief Checks a text before it is parsed, as the parser needs a multiple of
/// its size in memory, and of the time for one that consists of brackets.
[[nodiscard]] JsonShape checkJsonShape(std::string_view Text) noexcept;

/// @brief Describes why a text is not parsed, for a finding.
[[nodiscard]] std::string describe(JsonShape Shape);

} // namespace mulberryramp
