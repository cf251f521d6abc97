#pragma once

#include "mulberryramp/core/fwd.hpp"

/// @file
/// @brief Forward declarations and defaults of the ledger module: the
/// replicated record of workers, requests and attempts of a data centre.

namespace mulberryramp {

inline constexpr Millis AnswerRetention = std::chrono::hours{24};
inline constexpr Millis RefusalRetention = std::chrono::seconds{60};
inline constexpr Millis MaxCallAge = std::chrono::seconds{20};
inline constexpr Millis MaxClockSkew = std::chrono::seconds{5};
inline constexpr std::uint32_t MaxRefusals = 20;

struct Ledger;
struct ApplyResult;

} // namespace mulberryramp
