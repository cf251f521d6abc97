#pragma once

#include "mulberryramp/core/fwd.hpp"

#include <cstddef>

/// @file
/// @brief Forward declarations and limits of the net module, which sends framed
/// messages between daemons over TCP. It does not interpret the messages and
/// must not depend on the modules that send them.

namespace mulberryramp {

/// @brief Maximum unsent bytes of a link; further messages are dropped.
inline constexpr std::size_t MaxQueuedBytes = std::size_t{8} * 1024 * 1024;
/// @brief Minimum time between two attempts to dial a peer.
inline constexpr Millis RedialInterval{200};
/// @brief Time without progress of a dial or of unsent data after which a link
/// is closed.
inline constexpr Millis LinkStallTimeout{1500};
/// @brief Time since the last message of this daemon after which a link is
/// closed.
inline constexpr Millis LinkIdleTimeout{30000};
/// @brief Time from the first byte of a frame to its last one, after which its
/// link is closed. A frame of maximum size needs 34 s at 2 Mbit/s.
inline constexpr Millis FrameTimeout{60000};

class PeerLinks;

} // namespace mulberryramp
