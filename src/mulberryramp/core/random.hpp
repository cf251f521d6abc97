#pragma once

#include <cstdint>

namespace mulberryramp {

/// @brief Small seeded generator (splitmix64) with the same output everywhere.
class Random {
public:
  /// @brief Makes a generator.
  /// @param Seed Start of the sequence.
  explicit constexpr Random(std::uint64_t Seed = 1) noexcept : State{Seed} {}

  /// @brief Draws 64 bits.
  /// @return The next number of the sequence.
  constexpr std::uint64_t next() noexcept {
    State += 0x9E3779B97F4A7C15ULL;
    std::uint64_t Mixed = State;
    Mixed = (Mixed ^ (Mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    Mixed = (Mixed ^ (Mixed >> 27U)) * 0x94D049BB133111EBULL;
    return Mixed ^ (Mixed >> 31U);
  }

  /// @brief Draws a number below a limit; undefined for a limit of 0.
  /// @param Limit One more than the largest result.
  /// @return A number from 0 to `Limit - 1`.
  constexpr std::uint64_t below(std::uint64_t Limit) noexcept {
    return next() % Limit;
  }

  /// @brief Draws an event of a given chance.
  /// @param Percent Chance in hundredths.
  /// @return True with that chance.
  constexpr bool percent(std::uint64_t Percent) noexcept {
    return below(100) < Percent;
  }

private:
  std::uint64_t State;
};

/// @brief Draws a seed from the machine, another one for each process.
[[nodiscard]] std::uint64_t randomSeed();

} // namespace mulberryramp
