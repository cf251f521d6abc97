#pragma once

#include "mulberryramp/core/fwd.hpp"
#include "mulberryramp/http/fwd.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>

namespace mulberryramp {

/// @brief Response that a client has received.
struct ClientResponse {
  int Status = 0;
  std::string Body;
};

/// @brief Reason that a client received no response.
struct ClientError {
  std::string Text;
  /// No part of the request was sent, so the server cannot have acted on it.
  bool IsUnsent = false;
};

/// @brief Blocking HTTP client that reuses its connections. It is meant for
/// programs whose thread may block; a daemon uses `AsyncHttpClient`.
class HttpClient {
public:
  HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  /// @brief Sends a GET request and waits for the response.
  /// @param Url URL of the resource.
  /// @param Timeout Maximum time until the response is complete.
  /// @return The response with any status, or the reason that none arrived.
  [[nodiscard]] tl::expected<ClientResponse, ClientError>
  get(const std::string &Url, Millis Timeout);

  /// @brief Sends a POST request with a JSON body and waits for the response.
  /// The request is sent at most once: if the connection ends, it fails.
  /// @param Url URL of the resource.
  /// @param Body The JSON text.
  /// @param Timeout Maximum time until the response is complete.
  /// @return The response with any status, or the reason that none arrived.
  [[nodiscard]] tl::expected<ClientResponse, ClientError>
  post(const std::string &Url, const std::string &Body, Millis Timeout);

  /// @brief Percent-encodes a string as one segment of a path.
  [[nodiscard]] std::string escape(const std::string &Text) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
