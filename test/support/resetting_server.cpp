#include "support/resetting_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace mulberryramp::test {

namespace {

constexpr int PollIntervalMs = 10;

bool isReadable(int Descriptor) {
  pollfd Entry{Descriptor, POLLIN, 0};
  return ::poll(&Entry, 1, PollIntervalMs) > 0;
}

/// Closes a connection with a reset instead of an orderly end.
void reset(int Connection) {
  const linger Immediate{1, 0};
  ::setsockopt(Connection, SOL_SOCKET, SO_LINGER, &Immediate,
               sizeof(Immediate));
  ::close(Connection);
}

} // namespace

ResettingServer::ResettingServer(std::size_t Answered, AfterReset Mode)
    : Answered{Answered}, Mode{Mode}, Listener{
                                          ::socket(AF_INET, SOCK_STREAM, 0)} {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  (void)::bind(Listener, Generic, Size);
  (void)::listen(Listener, 8);
  ::getsockname(Listener, Generic, &Size);
  Port = ntohs(Address.sin_port);
  Server = std::thread{[this] { serve(); }};
}

ResettingServer::~ResettingServer() {
  IsStopping = true;
  Server.join();
}

std::string ResettingServer::url() const {
  return "http://127.0.0.1:" + std::to_string(Port) + "/";
}

void ResettingServer::serve() {
  bool IsAccepting = true;
  while (!IsStopping && IsAccepting) {
    if (!isReadable(Listener)) {
      continue;
    }
    const bool WasReset =
        !serveConnection(::accept(Listener, nullptr, nullptr));
    IsAccepting = !WasReset || Mode == AfterReset::Accept;
  }
  ::close(Listener);
}

bool ResettingServer::serveConnection(int Connection) {
  std::array<char, 4096> Buffer{};
  while (!IsStopping) {
    if (!isReadable(Connection)) {
      continue;
    }
    // The requests of the tests are sent in one segment.
    if (::recv(Connection, Buffer.data(), Buffer.size(), 0) <= 0) {
      break;
    }
    Received += 1;
    if (Received > Answered) {
      if (Mode == AfterReset::Refuse) {
        ::shutdown(Listener, SHUT_RD);
      }
      reset(Connection);
      return false;
    }
    constexpr std::string_view Response =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    ::send(Connection, Response.data(), Response.size(), MSG_NOSIGNAL);
  }
  ::close(Connection);
  return true;
}

} // namespace mulberryramp::test
