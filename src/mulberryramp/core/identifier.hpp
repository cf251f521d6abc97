#pragma once

#include "mulberryramp/core/fwd.hpp"

#include <compare>
#include <tuple>

namespace mulberryramp {

/// @brief Versioned identifier of a row in a `Table`.
/// @tparam Value Type of the row.
///
/// An identifier with version 0 is null: it refers to no row.
template <typename Value> struct Identifier {
  std::uint32_t Slot = 0;
  std::uint32_t Version = 0;

  /// @brief Tells whether the identifier is not null; its row may have been
  /// erased.
  [[nodiscard]] constexpr bool isSet() const noexcept { return Version != 0; }

  constexpr auto operator<=>(const Identifier &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&Identifier::Slot, &Identifier::Version);
  }
};

} // namespace mulberryramp
