#pragma once

#include "mulberryramp/core/fwd.hpp"

#include <string>
#include <string_view>
#include <tuple>

namespace mulberryramp {

/// @brief Resource amounts, such as a worker's capacity or a task's needs.
struct Resources {
  std::int64_t MilliCpus = 0;    ///< Thousandths of a CPU.
  std::int64_t MemoryMb = 0;     ///< Memory in mebibytes.
  std::int64_t Accelerators = 0; ///< Whole accelerators.
  std::int64_t Slots = 0;        ///< Tasks that may run at the same time.
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

[[nodiscard]] constexpr Resources operator+(Resources Lhs,
                                            const Resources &Rhs) noexcept {
  return Lhs += Rhs;
}

[[nodiscard]] constexpr Resources operator-(Resources Lhs,
                                            const Resources &Rhs) noexcept {
  return Lhs -= Rhs;
}

/// @brief Tells whether required resources fit into available ones.
/// @param Need Required resources.
/// @param Available Available resources.
/// @return True if no required amount exceeds the available one.
[[nodiscard]] constexpr bool fitsIn(const Resources &Need,
                                    const Resources &Available) noexcept {
  return Need.MilliCpus <= Available.MilliCpus &&
         Need.MemoryMb <= Available.MemoryMb &&
         Need.Accelerators <= Available.Accelerators &&
         Need.Slots <= Available.Slots &&
         Need.Connections <= Available.Connections;
}

/// @brief Tells whether no amount is negative.
[[nodiscard]] constexpr bool isNonNegative(const Resources &Amounts) noexcept {
  return fitsIn(Resources{}, Amounts);
}

/// @brief Describes processors, memory and accelerators for log lines.
/// @param Prefix Start of each field name.
/// @return `cpu=... memory=... accelerators=...`.
[[nodiscard]] std::string describeResources(const Resources &Amounts,
                                            std::string_view Prefix = {});

} // namespace mulberryramp
