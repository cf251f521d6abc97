#include "celld/http_listeners.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

tl::expected<void, std::string>
HttpListeners::listen(const Endpoint &Address, const HttpLimits &Limits,
                      RequestHandler OnRequest) {
  auto Listener = std::make_unique<Entry>();
  auto Http = HttpServer::listen(
      Address,
      [&Entry = *Listener, OnRequest = std::move(OnRequest)](
          std::uint64_t Id, HttpRequest Request) {
        OnRequest(*Entry.Http, Id, std::move(Request));
      },
      [](std::uint64_t) {}, Limits);
  if (!Http) {
    return tl::make_unexpected(Http.error());
  }
  Listener->Http = std::move(*Http);
  HttpServer &Server = *Listener->Http;
  Listener->Events = std::make_unique<ReadableHandler>(
      Loop, Server.descriptor(), [&Server] { Server.run(); });
  Entries.push_back(std::move(Listener));
  return {};
}

void HttpListeners::tick(Instant Now) {
  for (const auto &Listener : Entries) {
    Listener->Http->tick(Now);
  }
}

void HttpListeners::run() {
  for (const auto &Listener : Entries) {
    Listener->Http->run();
  }
}

bool HttpListeners::hasOpenRequests() const {
  return std::any_of(Entries.begin(), Entries.end(), [](const auto &Listener) {
    return Listener->Http->openRequests() != 0;
  });
}

} // namespace mulberryramp
