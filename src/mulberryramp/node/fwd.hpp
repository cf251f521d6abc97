#pragma once

#include "mulberryramp/core/fwd.hpp"

/// @file
/// @brief Forward declarations and defaults of the node module: one daemon's
/// decisions without clock, socket or thread.

namespace mulberryramp {

inline constexpr std::uint32_t MaxHops = 3;
inline constexpr Millis ForwardTimeout{5000};
inline constexpr Millis ForwardRetryEvery{100};
inline constexpr Millis MaxCallWait{30000};
/// How far a worker's epoch may be ahead; a group that lost its memory has to
/// pass the terms of its former leaders, and elections are seldom.
inline constexpr std::uint64_t MaxEpochAhead = 100000;
/// Between polls that may depose a leader by their epoch.
inline constexpr Millis MinStepDownInterval{60000};

struct PeerMessage;
struct CallResult;
class Node;
class CentreService;
class ConfigService;
class HostedGroup;

} // namespace mulberryramp
