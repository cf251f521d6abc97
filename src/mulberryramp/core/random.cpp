#include "mulberryramp/core/random.hpp"

#include <random>

namespace mulberryramp {

std::uint64_t randomSeed() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32U) | Source();
}

} // namespace mulberryramp
