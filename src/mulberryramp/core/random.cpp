#include "mulberryramp/core/random.hpp"

#include <random>

namespace mulberryramp {

std::uint64_t drawSeed() {
  std::random_device Source;
  return (static_cast<std::uint64_t>(Source()) << 32U) | Source();
}

} // namespace mulberryramp
