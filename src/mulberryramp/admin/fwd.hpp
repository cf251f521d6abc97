#pragma once

#include <cstddef>
#include <cstdint>

/// @file
/// @brief Forward declarations and limits of the admin module.
///
/// The module converts between the JSON of the HTTP API, which callers, workers
/// and operators use, and the typed calls of the modules `node` and `worker`.
/// It validates each request and doesn't depend on sockets or the event loop.

namespace mulberryramp {

/// @brief Maximum size of the payload of a request.
inline constexpr std::size_t MaxPayloadBytes = std::size_t{64} * 1024;
/// @brief Maximum length of names and keys.
inline constexpr std::size_t MaxNameBytes = 128;
/// @brief Maximum number of tasks of a request.
inline constexpr std::uint32_t MaxTasksPerRequest = 2000;

struct HttpRequest;
struct ApiError;

} // namespace mulberryramp
