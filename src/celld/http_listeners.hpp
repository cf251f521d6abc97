#pragma once

#include "mulberryramp/core/fwd.hpp"
#include "mulberryramp/http/server.hpp"
#include "mulberryramp/net/readable_handler.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief The HTTP servers of a daemon, run by its event loop.
class HttpListeners {
public:
  using RequestHandler =
      std::function<void(HttpServer &, std::uint64_t, HttpRequest)>;

  /// @param Loop The event loop; must outlive the listeners.
  explicit HttpListeners(ACE_Reactor &Loop) : Loop{Loop} {}

  /// @brief Starts to listen.
  /// @return Nothing, or the reason that it cannot listen.
  [[nodiscard]] tl::expected<void, std::string>
  listen(const Endpoint &Address, const HttpLimits &Limits,
         RequestHandler OnRequest);

  /// @brief Runs the timers of all servers; call it once per step.
  void tick(Instant Now);

  /// @brief Handles the pending events of all servers.
  void run();

  /// @brief Tells whether a request is being received or answered.
  [[nodiscard]] bool hasOpenRequests() const;

private:
  struct Entry {
    std::unique_ptr<HttpServer> Http;
    std::unique_ptr<ReadableHandler> Events;
  };

  ACE_Reactor &Loop;
  std::vector<std::unique_ptr<Entry>> Entries;
};

} // namespace mulberryramp
