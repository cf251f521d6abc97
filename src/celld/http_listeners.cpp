#include "celld/http_listeners.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

tl::expected<void, std::string>
HttpListeners::listen(const char *Name, const Endpoint &Address,
                      const HttpLimits &Limits, RequestHandler OnRequest) {
  auto Listener = std::make_unique<Entry>();
  Listener->Name = Name;
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

std::vector<HttpListeners::ListenerUsage> HttpListeners::usage() const {
  std::vector<ListenerUsage> Usages;
  Usages.reserve(Entries.size());
  for (const auto &Listener : Entries) {
    Usages.push_back({Listener->Name, Listener->Http->usage()});
  }
  return Usages;
}

std::vector<std::string> HttpListeners::describeNewHits() {
  std::vector<std::string> Lines;
  for (const auto &Listener : Entries) {
    const HttpUsage Usage = Listener->Http->usage();
    for (std::size_t Limit = 0; Limit < HttpLimitCount; ++Limit) {
      const std::uint64_t New =
          Usage.LimitHits[Limit] - Listener->LoggedHits[Limit];
      if (New != 0) {
        Lines.push_back(
            std::string{"event=client-limit listener="} + Listener->Name +
            " limit=" + std::string{nameOf(static_cast<HttpLimit>(Limit))} +
            " count=" + std::to_string(New) +
            " connections=" + std::to_string(Usage.Connections) +
            " held_bytes=" + std::to_string(Usage.HeldBytes));
      }
    }
    Listener->LoggedHits = Usage.LimitHits;
  }
  return Lines;
}

} // namespace mulberryramp
