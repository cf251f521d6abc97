#pragma once

#include "mulberryramp/core/fwd.hpp"

namespace mulberryramp {

/// @brief Clock that counts suspension of the machine (CLOCK_BOOTTIME).
struct SuspendAwareClock {
  using duration = Millis;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = Instant;
  static constexpr bool is_steady = true;

  /// @brief Reads the clock.
  /// @return The present moment, in milliseconds since start of the machine.
  [[nodiscard]] static Instant now() noexcept;
};

/// @brief Reads civil time.
/// @return The present moment, in milliseconds since 1970.
[[nodiscard]] WallTime wallNow() noexcept;

} // namespace mulberryramp
