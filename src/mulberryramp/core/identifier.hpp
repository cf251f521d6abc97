#pragma once

#include "mulberryramp/core/fwd.hpp"

#include <compare>
#include <tuple>

namespace mulberryramp {

/// @brief Versioned identifier of a row in a table.
/// @tparam Value Type of the row.
///
/// A version of 0 names no row.
template <typename Value> struct Identifier {
  std::uint32_t Slot = 0;
  std::uint32_t Version = 0;

  /// @brief Tells whether the identifier names a row at all.
  /// @return True unless the identifier is the null one.
  [[nodiscard]] constexpr bool isSet() const noexcept { return Version != 0; }

  constexpr auto operator<=>(const Identifier &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&Identifier::Slot, &Identifier::Version);
  }
};

} // namespace mulberryramp
