#pragma once

#include <cstdint>

namespace mulberryramp {

/// @brief Seeded splitmix64 generator with the same output on all platforms.
class Random {
public:
  /// @brief Creates a generator.
  /// @param Seed Initial state; equal seeds yield equal sequences.
  explicit constexpr Random(std::uint64_t Seed = 1) noexcept : State{Seed} {}

  /// @brief Returns the next 64-bit number of the sequence.
  constexpr std::uint64_t next() noexcept {
    State += 0x9E3779B97F4A7C15ULL;
    std::uint64_t Mixed = State;
    Mixed = (Mixed ^ (Mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    Mixed = (Mixed ^ (Mixed >> 27U)) * 0x94D049BB133111EBULL;
    return Mixed ^ (Mixed >> 31U);
  }

  /// @brief Returns a random number below a limit.
  /// @param Limit Exclusive upper bound; undefined for 0.
  /// @return A number from 0 to `Limit - 1`.
  constexpr std::uint64_t below(std::uint64_t Limit) noexcept {
    return next() % Limit;
  }

  /// @brief Returns true with a given probability.
  /// @param Percent Probability in percent.
  constexpr bool percent(std::uint64_t Percent) noexcept {
    return below(100) < Percent;
  }

private:
  std::uint64_t State;
};

/// @brief Returns a non-deterministic seed from `std::random_device`.
[[nodiscard]] std::uint64_t randomSeed();

} // namespace mulberryramp
