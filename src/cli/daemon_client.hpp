#pragma once

#include "cli/output.hpp"
#include "mulberryramp/http/client.hpp"

#include <optional>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief Answer of a daemon.
struct DaemonResponse {
  int HttpStatus = 0;
  nlohmann::json Body; ///< An object.
};

/// @brief HTTP client of the daemons with failover to the next daemon.
class DaemonClient {
public:
  /// @brief Creates a client.
  /// @param Daemons Endpoints `host:port`, tried in this order.
  /// @param Timeout Timeout of a call to one daemon.
  DaemonClient(std::vector<std::string> Daemons, Millis Timeout);

  /// @brief Sends a GET request.
  /// @param Path Path and query.
  /// @return The answer, or nothing if no daemon answered.
  [[nodiscard]] std::optional<DaemonResponse> get(const std::string &Path);

  /// @brief Sends a POST request. Tries the next daemon if the request was not
  /// sent or the answer is malformed. After any other error the call may have
  /// acted, so it is not repeated.
  /// @param Path Path and query.
  /// @param Body Body of the request.
  /// @return The answer, or nothing if no daemon answered.
  [[nodiscard]] std::optional<DaemonResponse> post(const std::string &Path,
                                                   const nlohmann::json &Body);

  /// @brief Percent-encodes a string for a path segment or a query value.
  [[nodiscard]] std::string escape(const std::string &Text) const {
    return Client.escape(Text);
  }

  /// @brief Returns the error of the last call that got no answer.
  [[nodiscard]] const std::string &lastError() const noexcept { return Error; }

private:
  [[nodiscard]] std::optional<DaemonResponse>
  read(const tl::expected<ClientResponse, ClientError> &Response);

  HttpClient Client;
  std::vector<std::string> Daemons;
  Millis Timeout;
  std::string Error;
};

} // namespace mulberryramp
