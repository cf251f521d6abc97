#pragma once

#include "mulberryramp/core/fwd.hpp"

namespace mulberryramp {

/// @brief Monotonic clock that also counts while the machine is suspended
/// (CLOCK_BOOTTIME).
struct SuspendAwareClock {
  using duration = Millis;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = Instant;
  static constexpr bool is_steady = true;

  /// @brief Returns the time since boot, in milliseconds.
  [[nodiscard]] static Instant now() noexcept;
};

/// @brief Returns the wall clock time, in milliseconds since the Unix epoch.
[[nodiscard]] WallTime wallNow() noexcept;

} // namespace mulberryramp
