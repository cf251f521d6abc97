#pragma once

#include "mulberryramp/config/settings.hpp"
#include "mulberryramp/http/fwd.hpp"
#include "mulberryramp/http/limits.hpp"
#include "mulberryramp/http/request.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mulberryramp {

/// @brief Response to an HTTP request.
struct HttpResponse {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  unsigned RetryAfterSeconds = 0; ///< Value of Retry-After; not sent if 0.
};

/// @brief Single-threaded HTTP server that is driven by the event loop of its
/// owner. A request may be answered at any later time; until then its
/// connection is suspended and occupies no thread.
class HttpServer {
public:
  /// @brief Called with each complete request and its id.
  using RequestHandler = std::function<void(std::uint64_t, HttpRequest)>;
  /// @brief Called with the id of a request whose connection was closed before
  /// it was answered.
  using ClosedHandler = std::function<void(std::uint64_t)>;

  /// @brief Starts to listen.
  /// @param Address IPv4 address and port to listen on.
  /// @param OnRequest Called with each complete request, from `run`.
  /// @param OnClosed Called if a connection is closed before the answer.
  /// @param Limits What the clients may hold at the same time.
  /// @return The server, or the reason that it cannot listen.
  [[nodiscard]] static tl::expected<std::unique_ptr<HttpServer>, std::string>
  listen(const Endpoint &Address, RequestHandler OnRequest,
         ClosedHandler OnClosed, const HttpLimits &Limits = {});

  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  /// @brief Returns the descriptor that becomes readable when `run` has work.
  [[nodiscard]] int descriptor() const noexcept;

  /// @brief Handles all pending events without blocking.
  void run();

  /// @brief Closes connections that take too long and passes the next large
  /// request on; call it regularly.
  /// @param Now Current monotonic time; also used for the events of `run`.
  void tick(Instant Now);

  /// @brief Makes room for a response, if necessary by closing connections
  /// that do not read theirs.
  /// @return Whether there is room.
  bool makeRoomForResponse(std::uint64_t Bytes);

  /// @brief Answers a request. Does nothing if the request was already answered
  /// or its connection was closed. If there is no room for the response, the
  /// connection is closed instead.
  /// @param Id Id of the request.
  /// @param Response The response.
  void respond(std::uint64_t Id, HttpResponse Response);

  /// @brief Returns the number of requests that are being received, wait for an
  /// answer or whose response is being sent.
  [[nodiscard]] std::size_t openRequests() const noexcept;

  /// @brief Returns the total bytes of the bodies of requests and responses
  /// and of the paths of requests.
  [[nodiscard]] std::uint64_t bytes() const noexcept;

  /// @brief Returns what the clients hold and how often a limit took effect.
  [[nodiscard]] HttpUsage usage() const noexcept;

  /// @brief Stops accepting new connections; open ones continue.
  void stopListening();

private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> Pimpl);

  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
