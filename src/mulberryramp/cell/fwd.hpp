#pragma once

#include "mulberryramp/job/fwd.hpp"

/// @file
/// @brief Forward declarations and defaults of the cell module: one node of a
/// cell, without clock, socket or disk. A cell is a group of voters with one
/// log that holds configuration, workers and jobs; other nodes relay calls.

namespace mulberryramp {

/// @brief Pause before a relayed call without an answer is sent again.
inline constexpr Millis RelayRetryEvery{700};
/// @brief How long a relayed call may take; callers wait for 3 s.
inline constexpr Millis RelayTimeout{2500};
/// @brief How long after the loss of a leader calls wait for the next one; an
/// election takes less. Later ones are refused at once.
inline constexpr Millis NoLeaderTimeout{1200};
/// @brief Between greetings to a leader that answers.
inline constexpr Millis HelloInterval{500};
/// @brief Between greetings to voters that do not lead, so that the next leader
/// knows whom to tell.
inline constexpr Millis FollowerHelloInterval{2000};
/// @brief A node that was not heard for this long is not told of a new leader.
inline constexpr Millis SubscriberTimeout{5000};
/// @brief Between greetings while no leader is known.
inline constexpr Millis LeaderSearchInterval{200};
/// @brief Silence after which a leader is looked for again.
inline constexpr Millis LeaderLostAfter{800};
/// @brief Silence of a leader that costs a node its readiness.
inline constexpr Millis ReadinessTimeout{3000};

struct CellMessage;
struct CellReply;
struct WorkerOrder;
struct OrderResult;
struct DispatchState;
class CellNode;
class CallRelay;

} // namespace mulberryramp
