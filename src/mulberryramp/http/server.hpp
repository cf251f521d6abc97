#pragma once

#include "mulberryramp/config/settings.hpp"
#include "mulberryramp/http/fwd.hpp"
#include "mulberryramp/http/request.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mulberryramp {

/// @brief Answer to an HTTP request.
struct HttpResponse {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  unsigned RetryAfterSeconds = 0; ///< Sent as Retry-After unless 0.
};

/// @brief HTTP server that one event loop drives; requests wait for their
/// answers without a thread.
class HttpServer {
public:
  /// @brief Called with each whole request; the number names it.
  using RequestHandler = std::function<void(std::uint64_t, HttpRequest)>;
  /// @brief Called when a request ends without an answer.
  using ClosedHandler = std::function<void(std::uint64_t)>;

  /// @brief Listens.
  /// @param Where Address and port.
  /// @param OnRequest Handler of requests.
  /// @param OnClosed Handler of lost requests.
  /// @return The server, or why it cannot listen.
  [[nodiscard]] static tl::expected<std::unique_ptr<HttpServer>, std::string>
  listen(const Endpoint &Where, RequestHandler OnRequest,
         ClosedHandler OnClosed);

  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  /// @brief Reads the descriptor that becomes readable when `run` is due.
  [[nodiscard]] int descriptor() const noexcept;

  /// @brief Serves what is due, without waiting.
  void run();

  /// @brief Answers a request; ignored if the request is gone.
  /// @param Id Number of the request.
  /// @param Response The answer.
  void respond(std::uint64_t Id, HttpResponse Response);

  /// @brief Counts the requests that wait for an answer or for its sending.
  [[nodiscard]] std::size_t openRequests() const noexcept;

  /// @brief Counts the bytes of bodies and paths, in and out.
  [[nodiscard]] std::uint64_t bytes() const noexcept;

  /// @brief Takes no new connections from now on.
  void stopListening();

private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> Pimpl);

  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
