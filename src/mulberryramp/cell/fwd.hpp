#pragma once

#include "mulberryramp/job/fwd.hpp"

/// @file
/// @brief Forward declarations and timing constants of the cell module, which
/// implements one node of a cell. A cell is a group of voters that replicate
/// one log with configuration, workers and jobs; its other nodes relay calls to
/// the leader. The module may not use a clock, socket or disk: times, messages
/// and completed writes are passed in.

namespace mulberryramp {

/// @brief Time after which an unanswered relayed call is sent again.
inline constexpr Millis RelayRetryInterval{700};
/// @brief Timeout of a relayed call, less than the 3 s that callers wait.
inline constexpr Millis RelayTimeout{2500};
/// @brief Time after the loss of the leader within which calls wait for a new
/// one; an election takes less. Later calls are refused at once.
inline constexpr Millis NoLeaderTimeout{1200};
/// @brief Interval of hellos to the leader.
inline constexpr Millis HelloInterval{500};
/// @brief Interval of hellos to all other known nodes, so that the next leader
/// can notify this node.
inline constexpr Millis FollowerHelloInterval{2000};
/// @brief A node without a hello for this long is no longer notified of a new
/// leader.
inline constexpr Millis SubscriberTimeout{5000};
/// @brief Interval of hellos to all known nodes while no leader is known.
inline constexpr Millis LeaderSearchInterval{200};
/// @brief Time without contact to the leader after which a node searches for
/// the leader again.
inline constexpr Millis LeaderTimeout{800};
/// @brief Time without contact to the leader after which a node is not ready.
/// It exceeds the time until a new leader is found, so that an election takes
/// no node out of rotation.
inline constexpr Millis ReadinessTimeout{1500};

struct CellMessage;
struct CellReply;
struct WorkerOrder;
struct OrderResult;
struct DispatchState;
class CellNode;
class CallRelay;

} // namespace mulberryramp
