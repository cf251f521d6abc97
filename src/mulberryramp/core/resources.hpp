#pragma once

#include "mulberryramp/core/fwd.hpp"

#include <tuple>

namespace mulberryramp {

/// @brief Amounts of what a worker has or a task needs.
struct Resources {
  std::int64_t MilliCpus = 0;    ///< Thousandths of a processor.
  std::int64_t MemoryMb = 0;     ///< Mebibytes of memory.
  std::int64_t Accelerators = 0; ///< Whole accelerators.
  std::int64_t Slots = 0;        ///< Tasks that may run side by side.
  std::int64_t Connections = 0;  ///< Connections that may be open.

  constexpr Resources &operator+=(const Resources &Other) noexcept {
    MilliCpus += Other.MilliCpus;
    MemoryMb += Other.MemoryMb;
    Accelerators += Other.Accelerators;
    Slots += Other.Slots;
    Connections += Other.Connections;
    return *this;
  }

  constexpr Resources &operator-=(const Resources &Other) noexcept {
    MilliCpus -= Other.MilliCpus;
    MemoryMb -= Other.MemoryMb;
    Accelerators -= Other.Accelerators;
    Slots -= Other.Slots;
    Connections -= Other.Connections;
    return *this;
  }

  constexpr bool operator==(const Resources &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&Resources::MilliCpus, &Resources::MemoryMb,
                           &Resources::Accelerators, &Resources::Slots,
                           &Resources::Connections);
  }
};

[[nodiscard]] constexpr Resources operator+(Resources Left,
                                            const Resources &Right) noexcept {
  return Left += Right;
}

[[nodiscard]] constexpr Resources operator-(Resources Left,
                                            const Resources &Right) noexcept {
  return Left -= Right;
}

/// @brief Tells whether a need fits into a room, amount by amount.
/// @param Need What is asked.
/// @param Room What is there.
/// @return True if no amount of the need exceeds the room.
[[nodiscard]] constexpr bool fitsIn(const Resources &Need,
                                    const Resources &Room) noexcept {
  return Need.MilliCpus <= Room.MilliCpus && Need.MemoryMb <= Room.MemoryMb &&
         Need.Accelerators <= Room.Accelerators && Need.Slots <= Room.Slots &&
         Need.Connections <= Room.Connections;
}

/// @brief Tells whether every amount is zero or more.
/// @param Amounts The amounts.
/// @return False if any amount is negative.
[[nodiscard]] constexpr bool isNonNegative(const Resources &Amounts) noexcept {
  return fitsIn(Resources{}, Amounts);
}

} // namespace mulberryramp
