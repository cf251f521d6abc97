#pragma once

#include "mulberryramp/core/fwd.hpp"
#include "mulberryramp/http/server.hpp"
#include "mulberryramp/net/readable_handler.hpp"

#include <array>
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
  /// @param Name Name of the listener in metrics and log lines.
  /// @return Nothing, or the reason that it cannot listen.
  [[nodiscard]] tl::expected<void, std::string>
  listen(const char *Name, const Endpoint &Address, const HttpLimits &Limits,
         RequestHandler OnRequest);

  /// @brief Runs the timers of all servers; call it once per step.
  void tick(Instant Now);

  /// @brief Handles the pending events of all servers.
  void run();

  /// @brief Tells whether a request is being received or answered.
  [[nodiscard]] bool hasOpenRequests() const;

  /// @brief What the clients of a listener hold.
  struct ListenerUsage {
    const char *Name = "";
    HttpUsage Usage;
  };
  [[nodiscard]] std::vector<ListenerUsage> usage() const;

  /// @brief Renders a log line for each limit that took effect since the last
  /// call.
  [[nodiscard]] std::vector<std::string> describeNewHits();

private:
  struct Entry {
    const char *Name = "";
    std::unique_ptr<HttpServer> Http;
    std::unique_ptr<ReadableHandler> Events;
    std::array<std::uint64_t, HttpLimitCount> LoggedHits{};
  };

  ACE_Reactor &Loop;
  std::vector<std::unique_ptr<Entry>> Entries;
};

} // namespace mulberryramp
