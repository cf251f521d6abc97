#include "mulberryramp/core/time.hpp"

#include <ctime>

namespace mulberryramp {

Instant SuspendAwareClock::now() noexcept {
  timespec Spec{};
  clock_gettime(CLOCK_BOOTTIME, &Spec);
  const auto SinceBoot = std::chrono::seconds{Spec.tv_sec} +
                         std::chrono::nanoseconds{Spec.tv_nsec};
  return Instant{std::chrono::duration_cast<Millis>(SinceBoot)};
}

WallTime wallNow() noexcept {
  return std::chrono::time_point_cast<Millis>(std::chrono::system_clock::now());
}

} // namespace mulberryramp
