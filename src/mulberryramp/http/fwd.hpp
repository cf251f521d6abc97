#pragma once

#include <cstddef>
#include <cstdint>

/// @file
/// @brief Forward declarations and limits of the http module, which contains an
/// HTTP server, a blocking client and a client for event loops. It knows no
/// paths or message formats; the modules that serve them depend on it.

namespace mulberryramp {

/// @brief Maximum size of a request body; larger ones are answered with 413.
inline constexpr std::size_t MaxBodyBytes = std::size_t{1024} * 1024;
/// @brief Bytes that a server reads and discards of a body that it refuses, so
/// that the client has finished sending when the response arrives. Beyond
/// them the connection is closed.
inline constexpr std::size_t MaxDiscardedBytes = 4 * MaxBodyBytes;
/// @brief Size from which complete bodies wait until `HttpServer::tick` passes
/// them on one by one, since it takes long to decode them.
inline constexpr std::size_t LargeBodyBytes = std::size_t{64} * 1024;
/// @brief Requests with large bodies that may wait for their response at the
/// same time. A decoded request takes a multiple of its body.
inline constexpr std::size_t MaxLargeRequests = 4;
/// @brief Maximum size of a response that `AsyncHttpClient` receives. A worker
/// with 10,000 tasks lists them in less than 1 MiB.
inline constexpr std::size_t MaxInboundResponseBytes = 4 * MaxBodyBytes;

class HttpServer;
class HttpClient;
struct HttpResponse;

} // namespace mulberryramp
