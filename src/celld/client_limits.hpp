#pragma once

#include "mulberryramp/config/cell_settings.hpp"
#include "mulberryramp/http/limits.hpp"

#include <cstddef>

/// @file
/// @brief Divides the memory and descriptors of a node among its listeners, so
/// that the clients of one take nothing from another.

namespace mulberryramp {

/// @brief What the clients of each listener may hold, and the links of other
/// nodes.
struct ClientLimits {
  HttpLimits Callers;
  HttpLimits Control;
  HttpLimits Readiness;
  HttpLimits Metrics;
  std::size_t MaxInboundLinks = 0; ///< Links that other nodes open.
};

/// @brief Derives the limits from `Descriptors` and `MemoryMb`.
[[nodiscard]] ClientLimits planClientLimits(const CellSettings &Settings);

} // namespace mulberryramp
