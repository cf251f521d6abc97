#pragma once

#include "cli/output.hpp"
#include "mulberryramp/http/client.hpp"

#include <optional>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief Answer of a daemon to the tool.
struct DaemonResponse {
  int HttpStatus = 0;
  nlohmann::json Body;
};

/// @brief Talks to whichever of the daemons answers first.
class Session {
public:
  /// @brief Takes the addresses of the daemons.
  /// @param Daemons Endpoints `host:port`, tried in turn.
  /// @param Timeout Longest wait for one answer.
  Session(std::vector<std::string> Daemons, Millis Timeout);

  /// @brief Fetches a path.
  /// @return The answer, or nothing if no daemon answered.
  [[nodiscard]] std::optional<DaemonResponse> get(const std::string &Path);

  /// @brief Posts to a path; another daemon is tried only if nothing was sent.
  [[nodiscard]] std::optional<DaemonResponse> post(const std::string &Path,
                                                   const nlohmann::json &Body);

  /// @brief Escapes a string as one part of a path.
  [[nodiscard]] std::string escape(const std::string &Text) const {
    return Client.escape(Text);
  }

  /// @brief Reads why the last call got no answer.
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
