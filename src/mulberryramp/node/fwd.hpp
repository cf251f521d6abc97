#pragma once

#include "mulberryramp/core/fwd.hpp"

/// @file
/// @brief Forward declarations and limits of the node module.
///
/// The module combines the replicas, the ledger and the systems into the logic
/// of one daemon: it routes calls, serves workers' polls and hosts the groups.
/// It uses no clock, socket or thread; the caller passes the time and carries
/// the messages, so that it runs unchanged in simulations.

namespace mulberryramp {

/// @brief Maximum number of times a call is forwarded between daemons.
inline constexpr std::uint32_t MaxHops = 3;
/// @brief Time to wait for a forwarded call, in addition to the wait time of
/// the call.
inline constexpr Millis ForwardTimeout{5000};
/// @brief Time until an unavailable call is forwarded again.
inline constexpr Millis ForwardRetryInterval{100};
/// @brief Longest time that a call may wait for the outcome of a request.
inline constexpr Millis MaxCallWait{30000};
/// @brief Maximum difference by which a worker's epoch may exceed the group's
/// term. A group that lost its state has to raise its term above those of its
/// former leaders; elections are rare, so a larger difference is not plausible.
inline constexpr std::uint64_t MaxEpochAhead = 100000;
/// @brief Minimum time between two polls that make a leader step down by their
/// epoch.
inline constexpr Millis MinStepDownInterval{60000};

struct PeerMessage;
struct CallResult;
class Node;
class CentreService;
class ConfigService;
class HostedGroup;

} // namespace mulberryramp
