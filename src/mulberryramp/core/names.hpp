#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace mulberryramp {

/// @brief Looks up the name of an enumerator.
/// @tparam Enum An `enum class` with a `nameTable(Enum)` found by its argument.
/// @param Value The enumerator; undefined if it lies outside the table.
/// @return The name, alive for the whole program.
template <typename Enum>
[[nodiscard]] constexpr std::string_view nameOf(Enum Value) noexcept {
  return nameTable(Value)[static_cast<std::size_t>(Value)];
}

/// @brief Finds the enumerator of a name.
/// @tparam Enum An `enum class` with a `nameTable(Enum)` found by its argument.
/// @param Name The name, in exact case.
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

/// @brief Counts the enumerators of a name table.
/// @tparam Enum An `enum class` with a `nameTable(Enum)` found by its argument.
/// @return The number of enumerators.
template <typename Enum>
[[nodiscard]] constexpr std::size_t enumeratorCount() noexcept {
  return nameTable(Enum{}).size();
}

} // namespace mulberryramp
