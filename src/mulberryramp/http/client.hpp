#pragma once

#include "mulberryramp/core/fwd.hpp"
#include "mulberryramp/http/fwd.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>

namespace mulberryramp {

/// @brief Answer that a client got.
struct ClientResponse {
  int Status = 0;
  std::string Body;
};

/// @brief Why a client got no answer.
struct ClientError {
  std::string Text;
  bool IsUnsent = false; ///< No connection was made, so nothing was sent.
};

/// @brief Blocking HTTP client that keeps its connections; for programs with
/// a thread to wait in, not for the daemon.
class HttpClient {
public:
  HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  /// @brief Fetches a resource.
  [[nodiscard]] tl::expected<ClientResponse, ClientError>
  get(const std::string &Url, Millis Timeout);

  /// @brief Posts a JSON body.
  [[nodiscard]] tl::expected<ClientResponse, ClientError>
  post(const std::string &Url, const std::string &Body, Millis Timeout);

  /// @brief Escapes a string as one part of a path.
  [[nodiscard]] std::string escape(const std::string &Text) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
