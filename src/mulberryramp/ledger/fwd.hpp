#pragma once

#include "mulberryramp/core/fwd.hpp"

/// @file
/// @brief Forward declarations and limits of the ledger module.
///
/// The ledger is the replicated state machine of one data centre: it applies
/// log commands to the tables of workers, requests and tasks. Applying a
/// command is deterministic and depends on no clock, socket, file or thread;
/// the module does not depend on replica, system or node.

namespace mulberryramp {

/// @brief Age at which a finished request and its answer are dropped.
inline constexpr Millis AnswerRetention = std::chrono::hours{24};
/// @brief Age at which a recorded refusal is dropped.
inline constexpr Millis RefusalRetention = std::chrono::seconds{60};
/// @brief Age at which a submission is no longer accepted by the leader.
inline constexpr Millis MaxCallAge = std::chrono::seconds{20};
/// @brief Largest assumed difference between the wall clocks of two machines.
inline constexpr Millis MaxClockSkew = std::chrono::seconds{5};
/// @brief Refused starts after which a task is not tried again.
inline constexpr std::uint32_t MaxRefusals = 20;

struct Ledger;
struct ApplyResult;

} // namespace mulberryramp
