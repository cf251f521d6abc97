#pragma once

#include "mulberryramp/core/fwd.hpp"

#include <cstddef>

/// @file
/// @brief Forward declarations and limits of the net module: links between
/// daemons.

namespace mulberryramp {

inline constexpr std::size_t MaxQueuedBytes = std::size_t{8} * 1024 * 1024;
inline constexpr Millis RedialInterval{200};
inline constexpr Millis LinkStallTimeout{1500};
/// Silence of the own side after which a link is closed.
inline constexpr Millis LinkIdleTimeout{30000};

class PeerLinks;

} // namespace mulberryramp
