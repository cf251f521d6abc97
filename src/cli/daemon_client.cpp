#include "cli/daemon_client.hpp"

#include <utility>

namespace mulberryramp {

namespace internal {

std::string urlOf(const std::string &Daemon, const std::string &Path) {
  std::string Url = "http://";
  Url += Daemon;
  Url += Path;
  return Url;
}

} // namespace internal

DaemonClient::DaemonClient(std::vector<std::string> Daemons, Millis Timeout)
    : Daemons{std::move(Daemons)}, Timeout{Timeout} {}

std::optional<DaemonResponse>
DaemonClient::read(const tl::expected<ClientResponse, ClientError> &Response) {
  if (!Response) {
    Error = Response.error().Text;
    return std::nullopt;
  }
  DaemonResponse Answer;
  Answer.HttpStatus = Response->Status;
  Answer.Body = nlohmann::json::parse(Response->Body, nullptr, false);
  if (!Answer.Body.is_object()) {
    Error = "the answer is no JSON object";
    return std::nullopt;
  }
  return Answer;
}

std::optional<DaemonResponse> DaemonClient::get(const std::string &Path) {
  for (const std::string &Daemon : Daemons) {
    auto Answer = read(Client.get(internal::urlOf(Daemon, Path), Timeout));
    if (Answer) {
      return Answer;
    }
  }
  return std::nullopt;
}

std::optional<DaemonResponse> DaemonClient::post(const std::string &Path,
                                                 const nlohmann::json &Body) {
  for (const std::string &Daemon : Daemons) {
    const auto Response =
        Client.post(internal::urlOf(Daemon, Path), Body.dump(), Timeout);
    auto Answer = read(Response);
    if (Answer || (!Response && !Response.error().IsUnsent)) {
      return Answer;
    }
  }
  return std::nullopt;
}

} // namespace mulberryramp
