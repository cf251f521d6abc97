#include "mulberryramp/http/server.hpp"

#include <CppUTest/TestHarness.h>

#include <arpa/inet.h>
#include <chrono>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

using namespace mulberryramp;

namespace {

constexpr std::uint16_t Port = 28817;

/// @brief Returns a loopback address of this process only, since the listener
/// shares its port with others on the same address.
std::string ownAddress() {
  const auto Process = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(1 + (Process >> 16U) % 250) + "." +
         std::to_string((Process >> 8U) % 256) + "." +
         std::to_string(1 + Process % 250);
}

/// @brief Sends a request with these header lines to a server.
/// @return The Authorization header that its handler got.
std::string receivedAuthorization(const std::string &HeaderLines) {
  const std::string Host = ownAddress();
  std::optional<std::string> Received;
  auto Server = HttpServer::listen(
      {Host, Port},
      [&Received](std::uint64_t, const HttpRequest &Request) {
        Received = Request.Authorization;
      },
      [](std::uint64_t) {});
  CHECK(Server.has_value());
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  inet_pton(AF_INET, Host.c_str(), &Address.sin_addr);
  CHECK_EQUAL(0, ::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                           sizeof Address));
  const std::string Text =
      "GET /p/x HTTP/1.1\r\nHost: h\r\n" + HeaderLines + "\r\n";
  CHECK_EQUAL(static_cast<ssize_t>(Text.size()),
              ::send(Socket, Text.data(), Text.size(), 0));
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds{5};
  while (!Received && std::chrono::steady_clock::now() < End) {
    (*Server)->run();
  }
  ::close(Socket);
  return Received.value_or("no request");
}

} // namespace

TEST_GROUP(HttpAuthorization){};

/// Guards against a request with two keys being served with the one that this
/// node happens to see, while a proxy before it sees the other.
TEST(HttpAuthorization, RepeatedHeadersAreCombined) {
  STRCMP_EQUAL("", receivedAuthorization("").c_str());
  STRCMP_EQUAL("Bearer a",
               receivedAuthorization("authorization: Bearer a\r\n").c_str());
  STRCMP_EQUAL("Bearer a, Bearer b",
               receivedAuthorization("Authorization: Bearer a\r\n"
                                     "X: y\r\nAUTHORIZATION: Bearer b\r\n")
                   .c_str());
}
