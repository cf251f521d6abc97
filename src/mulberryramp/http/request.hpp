#pragma once

#include <map>
#include <string>

namespace mulberryramp {

/// @brief HTTP request as a server got it.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::string Body;
  std::string Host{}; ///< Host header, as the caller sent it.
};

} // namespace mulberryramp
