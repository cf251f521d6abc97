#pragma once

#include "mulberryramp/http/limits.hpp"

#include <map>
#include <optional>
#include <string>

namespace mulberryramp {

/// @brief HTTP request that a server has received.
struct HttpRequest {
  std::string Method;
  std::string Path; ///< Path of the URL, without the query.
  std::map<std::string, std::string> Query; ///< Parameters of the query.
  std::string Body;
  std::string Host{};          ///< Host header as received; may contain a port.
  std::string Authorization{}; ///< Authorization header as received.
  /// Limit because of which the body was discarded: `BodySize` or `Memory`.
  std::optional<HttpLimit> RefusedBy{};
};

} // namespace mulberryramp
