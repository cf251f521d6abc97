#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace mulberryramp {

/// @brief Looks up the name of an enumerator.
/// @tparam Enum An `enum class` with a `nameTable(Enum)` that ADL finds.
/// @param Value The enumerator; undefined if it lies outside the table.
/// @return The name, with static storage duration.
template <typename Enum>
[[nodiscard]] constexpr std::string_view nameOf(Enum Value) noexcept {
  return nameTable(Value)[static_cast<std::size_t>(Value)];
}

/// @brief Finds the enumerator that has a name.
/// @tparam Enum An `enum class` with a `nameTable(Enum)` that ADL finds.
/// @param Name The name; case-sensitive.
/// @return The enumerator, or nothing if no enumerator has the name.
template <typename Enum>
[[nodiscard]] constexpr std::optional<Enum>
parseName(std::string_view Name) noexcept {
  const auto &Names = nameTable(Enum{});
  for (std::size_t Index = 0; Index < Names.size(); ++Index) {
    if (Names[Index] == Name) {
      return static_cast<Enum>(Index);
    }
  }
  return std::nullopt;
}

/// @brief Returns the number of enumerators in a name table.
/// @tparam Enum An `enum class` with a `nameTable(Enum)` that ADL finds.
template <typename Enum>
[[nodiscard]] constexpr std::size_t enumeratorCount() noexcept {
  return nameTable(Enum{}).size();
}

} // namespace mulberryramp
