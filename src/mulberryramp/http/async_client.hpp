#pragma once

#include "mulberryramp/core/fwd.hpp"
#include "mulberryramp/http/fwd.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

class ACE_Reactor;

namespace mulberryramp {

/// @brief Request that `AsyncHttpClient` sends.
struct OutboundRequest {
  std::string Method = "POST";
  std::string Url;
  std::vector<std::string> Headers; ///< Lines `Name: value`.
  std::string Body;
  Millis Timeout{1000}; ///< Maximum time until the response is complete.
  /// Fail instead of opening a new connection; the request is unsent then.
  bool NeedsOpenConnection = false;
};

/// @brief Result of a request.
struct OutboundResponse {
  /// HTTP status, or 0 without a complete response of at most
  /// `MaxInboundResponseBytes`.
  int Status = 0;
  /// No part of the request was sent, so the server cannot have acted on it.
  bool IsUnsent = false;
  std::string Body;
  std::int64_t SentBytes = 0;   ///< Bytes of the request written to a socket.
  bool IsNewConnection = false; ///< A connection was opened for the request.
};

/// @brief Non-blocking HTTP client that is driven by an event loop. It keeps
/// idle connections open and reuses them. It sends each request at most once:
/// if the connection ends, the request fails.
class AsyncHttpClient {
public:
  /// @brief Called with the result of a request.
  using Handler = std::function<void(OutboundResponse)>;

  /// @param Loop The event loop; must outlive the client.
  /// @param MaxPerHost Maximum number of connections to one host and port.
  /// @param MaxKept Approximate number of connections, with those in use,
  /// beyond which an idle one is closed for each that becomes idle. Hosts are
  /// divided into pools, and the limit applies to the share of each pool.
  AsyncHttpClient(ACE_Reactor &Loop, long MaxPerHost, long MaxKept);
  AsyncHttpClient(const AsyncHttpClient &) = delete;
  AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;
  ~AsyncHttpClient();

  /// @brief Starts a request. The connection and the transfer are handled by
  /// the event loop and `run`.
  /// @param Request The request.
  /// @param OnDone Called exactly once, from `run`; not called if the client is
  /// destroyed before.
  void send(OutboundRequest Request, Handler OnDone);

  /// @brief Handles expired timers and completed requests without blocking.
  void run();

  /// @brief Computes how long the event loop may wait before `run` must be
  /// called because of a timer.
  /// @param MaxWait Upper bound of the result.
  [[nodiscard]] Millis waitTime(Millis MaxWait) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
