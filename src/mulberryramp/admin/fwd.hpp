#pragma once

#include <cstddef>
#include <cstdint>

/// @file
/// @brief Forward declarations and limits of the admin module: the HTTP API of
/// callers, workers and operators as typed messages.

namespace mulberryramp {

inline constexpr std::size_t MaxPayloadBytes = std::size_t{64} * 1024;
inline constexpr std::size_t MaxNameBytes = 128;
inline constexpr std::uint32_t MaxTasksPerRequest = 2000;

struct HttpRequest;
struct ApiError;

} // namespace mulberryramp
