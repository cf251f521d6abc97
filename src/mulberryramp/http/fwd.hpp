#pragma once

#include <cstddef>
#include <cstdint>

/// @file
/// @brief Forward declarations and limits of the http module.

namespace mulberryramp {

inline constexpr std::size_t MaxBodyBytes = std::size_t{1024} * 1024;
inline constexpr unsigned MaxHttpConnections = 2000;
inline constexpr unsigned HttpIdleTimeoutSeconds = 60;

class HttpServer;
class HttpClient;
struct HttpResponse;

} // namespace mulberryramp
