#pragma once

#include "mulberryramp/core/fwd.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

class ACE_Reactor;

namespace mulberryramp {

/// @brief Request of a client.
struct OutboundRequest {
  std::string Method = "POST";
  std::string Url;
  std::vector<std::string> Headers; ///< `Name: value`.
  std::string Body;
  Millis Timeout{1000};
  bool NeedsOpenConnection = false; ///< Fails unsent if none is open.
};

/// @brief How a request ended.
struct OutboundResponse {
  int Status = 0;        ///< 0 if there is no whole answer.
  bool IsUnsent = false; ///< No connection was made.
  std::string Body;
};

/// @brief HTTP client that one event loop drives; it keeps connections.
class AsyncHttpClient {
public:
  using Handler = std::function<void(OutboundResponse)>;

  /// @brief Makes a client.
  /// @param Loop The event loop; has to outlive the client.
  /// @param MaxPerHost Most connections to one address.
  AsyncHttpClient(ACE_Reactor &Loop, long MaxPerHost);
  AsyncHttpClient(const AsyncHttpClient &) = delete;
  AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;
  ~AsyncHttpClient();

  /// @brief Sends a request; the handler is called once, from `run`.
  void send(OutboundRequest Request, Handler OnDone);

  /// @brief Handles what is due, without waiting.
  void run();

  /// @brief Computes how long the loop may wait before `run` is due.
  /// @param Longest Result if nothing is due earlier.
  [[nodiscard]] Millis waitTime(Millis Longest) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
