#pragma once

#include "mulberryramp/core/fwd.hpp"
#include "mulberryramp/core/names.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mulberryramp {

/// @brief What the clients of one server may hold of the process.
struct HttpLimits {
  /// Open connections; each holds a descriptor and up to
  /// `ConnectionBufferBytes`.
  std::size_t MaxConnections = 2000;
  /// Bytes of request and response bodies that are held at the same time.
  std::uint64_t MaxHeldBytes = std::uint64_t{16} << 20U;
};

/// @brief Buffer of a connection for headers and for bytes that are not yet
/// part of a body.
inline constexpr std::size_t ConnectionBufferBytes = std::size_t{32} * 1024;
/// @brief Body up to which a request or response counts as small. The last
/// quarter of `HttpLimits::MaxHeldBytes` is kept for small ones.
inline constexpr std::size_t SmallBodyBytes = std::size_t{16} * 1024;
/// @brief Time from the headers of a request to its last byte, after which its
/// connection is closed. A body of `MaxBodyBytes` needs 4 s at 2 Mbit/s.
inline constexpr Millis RequestTimeout{30000};
/// @brief Time from a response to its last byte, after which its connection is
/// closed.
inline constexpr Millis ResponseTimeout{60000};
/// @brief Time without a request after which a connection is closed.
inline constexpr Millis IdleTimeout{60000};
/// @brief Age from which an incomplete request or an unread response gives way
/// to others when memory is short. Ordinary clients are done before.
inline constexpr Millis StuckAge{1000};

/// @brief Limit that ended or refused a request.
enum class HttpLimit : std::uint8_t {
  Connections, ///< `HttpLimits::MaxConnections`.
  Memory,      ///< `HttpLimits::MaxHeldBytes`.
  BodySize,    ///< `MaxBodyBytes`.
  Time         ///< `RequestTimeout`, `ResponseTimeout` or `IdleTimeout`.
};

/// @brief Number of kinds of `HttpLimit`.
inline constexpr std::size_t HttpLimitCount = 4;

/// @brief Returns the names of the limits in metrics and log lines.
[[nodiscard]] constexpr std::array<std::string_view, HttpLimitCount>
nameTable(HttpLimit /*Limit*/) noexcept {
  return {"connections", "memory", "body-size", "time"};
}

/// @brief What the clients of a server hold, and how often a limit ended or
/// refused one of their requests.
struct HttpUsage {
  std::size_t Connections = 0;
  std::uint64_t HeldBytes = 0;
  std::array<std::uint64_t, HttpLimitCount> LimitHits{};
};

} // namespace mulberryramp
