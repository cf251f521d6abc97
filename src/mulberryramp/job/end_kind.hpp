#pragma once

#include "mulberryramp/core/names.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace mulberryramp {

/// @brief How an attempt ended.
enum class EndKind : std::uint8_t {
  Done,
  Failed,
  Stopped,      ///< Stopped by an order.
  LeaseExpired, ///< The worker lease expired.
  GangBroken,   ///< Another member of its gang ended.
  GangTimedOut, ///< The gang was not complete within its timeout.
  Lost,         ///< No end is known; may still run if presumed lost.
  Refused,      ///< The worker did not start it.
  /// The worker crashed shortly after its start, and no other attempt may be
  /// the cause.
  Crashed,
  /// The worker crashed under it, and there may be another cause.
  CrashedWithOthers,
  /// The worker crashed, and the attempt may have run there.
  PossiblyCrashed
};

/// @brief Names of the kinds, by value.
constexpr std::array<std::string_view, 11>
nameTable(EndKind /*Kind*/) noexcept {
  return {"done",
          "failed",
          "stopped",
          "lapsed",
          "broken",
          "alone",
          "lost",
          "refused",
          "crashed",
          "crashed-with-others",
          "possibly-crashed"};
}

/// @brief Tells whether an attempt ended with a crash of its worker.
[[nodiscard]] constexpr bool isCrash(EndKind Kind) noexcept {
  return Kind == EndKind::Crashed || Kind == EndKind::CrashedWithOthers ||
         Kind == EndKind::PossiblyCrashed;
}

} // namespace mulberryramp
