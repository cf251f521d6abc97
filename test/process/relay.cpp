#include "process/deployment.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <list>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace mulberryramp::test {

namespace {

sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

struct ProxiedConnection {
  int ClientSocket = -1;
  int ServerSocket = -1;
};

} // namespace

struct TcpProxy::Impl {
  int Listener = -1;
  int TargetPort = 0;
  std::atomic<bool> IsStalled{false};
  std::atomic<bool> IsStallSeen{false}; ///< The loop has seen IsStalled.
  std::atomic<bool> IsFinished{false};
  std::list<ProxiedConnection> Connections;
  std::thread Loop;

  void accept() {
    ProxiedConnection NewConnection;
    NewConnection.ClientSocket = ::accept(Listener, nullptr, nullptr);
    NewConnection.ServerSocket = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in Target = loopback(TargetPort);
    const bool IsConnected =
        NewConnection.ClientSocket >= 0 &&
        ::connect(NewConnection.ServerSocket,
                  reinterpret_cast<const sockaddr *>(&Target),
                  sizeof(Target)) == 0;
    if (IsConnected) {
      Connections.push_back(NewConnection);
      return;
    }
    ::close(NewConnection.ClientSocket);
    ::close(NewConnection.ServerSocket);
  }

  bool forward(int From, int To) const {
    char Chunk[65536];
    const ssize_t Received = ::recv(From, Chunk, sizeof(Chunk), 0);
    if (Received <= 0) {
      return false;
    }
    for (ssize_t Sent = 0; Sent < Received;) {
      const ssize_t Written =
          ::send(To, Chunk + Sent, static_cast<std::size_t>(Received - Sent),
                 MSG_NOSIGNAL);
      if (Written <= 0) {
        return false;
      }
      Sent += Written;
    }
    return true;
  }

  void run() {
    while (!IsFinished) {
      IsStallSeen = IsStalled.load();
      if (IsStallSeen) {
        std::this_thread::sleep_for(Millis{10});
        continue;
      }
      std::vector<pollfd> PollFds{{Listener, POLLIN, 0}};
      for (const ProxiedConnection &Connection : Connections) {
        PollFds.push_back({Connection.ClientSocket, POLLIN, 0});
        PollFds.push_back({Connection.ServerSocket, POLLIN, 0});
      }
      ::poll(PollFds.data(), PollFds.size(), 10);
      std::size_t Index = 1;
      for (auto Connection = Connections.begin();
           Connection != Connections.end(); Index += 2) {
        const bool IsOpen =
            (PollFds[Index].revents == 0 ||
             forward(Connection->ClientSocket, Connection->ServerSocket)) &&
            (PollFds[Index + 1].revents == 0 ||
             forward(Connection->ServerSocket, Connection->ClientSocket));
        if (IsOpen) {
          ++Connection;
          continue;
        }
        ::close(Connection->ClientSocket);
        ::close(Connection->ServerSocket);
        Connection = Connections.erase(Connection);
      }
      if (PollFds[0].revents != 0) {
        accept();
      }
    }
  }
};

TcpProxy::TcpProxy(int ListenPort, int TargetPort)
    : Pimpl{std::make_unique<Impl>()} {
  Pimpl->TargetPort = TargetPort;
  Pimpl->Listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int Yes = 1;
  ::setsockopt(Pimpl->Listener, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
  const sockaddr_in Address = loopback(ListenPort);
  if (::bind(Pimpl->Listener, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0 ||
      ::listen(Pimpl->Listener, 16) != 0) {
    throw std::runtime_error("the TCP proxy cannot listen on its port");
  }
  Pimpl->Loop = std::thread{[this] { Pimpl->run(); }};
}

TcpProxy::~TcpProxy() {
  Pimpl->IsFinished = true;
  Pimpl->Loop.join();
  for (const ProxiedConnection &Connection : Pimpl->Connections) {
    ::close(Connection.ClientSocket);
    ::close(Connection.ServerSocket);
  }
  ::close(Pimpl->Listener);
}

void TcpProxy::setStalled(bool IsStalled) {
  Pimpl->IsStalled = IsStalled;
  while (Pimpl->IsStallSeen != IsStalled) {
    std::this_thread::sleep_for(Millis{1});
  }
}

} // namespace mulberryramp::test
