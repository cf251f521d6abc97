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

struct Pipe {
  int Left = -1;
  int Right = -1;
};

} // namespace

struct TcpProxy::Impl {
  int Listener = -1;
  int TargetPort = 0;
  std::atomic<bool> IsCut{false};
  std::atomic<bool> IsHeld{false}; ///< The loop has seen the cut.
  std::atomic<bool> IsOver{false};
  std::list<Pipe> Pipes;
  std::thread Loop;

  void accept() {
    Pipe Fresh;
    Fresh.Left = ::accept(Listener, nullptr, nullptr);
    Fresh.Right = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in Target = loopback(TargetPort);
    const bool Good =
        Fresh.Left >= 0 &&
        ::connect(Fresh.Right, reinterpret_cast<const sockaddr *>(&Target),
                  sizeof(Target)) == 0;
    if (Good) {
      Pipes.push_back(Fresh);
      return;
    }
    ::close(Fresh.Left);
    ::close(Fresh.Right);
  }

  bool forward(int From, int To) const {
    char Chunk[65536];
    const ssize_t Got = ::recv(From, Chunk, sizeof(Chunk), 0);
    if (Got <= 0) {
      return false;
    }
    for (ssize_t Sent = 0; Sent < Got;) {
      const ssize_t Done = ::send(
          To, Chunk + Sent, static_cast<std::size_t>(Got - Sent), MSG_NOSIGNAL);
      if (Done <= 0) {
        return false;
      }
      Sent += Done;
    }
    return true;
  }

  void run() {
    while (!IsOver) {
      IsHeld = IsCut.load();
      if (IsHeld) {
        std::this_thread::sleep_for(Millis{10});
        continue;
      }
      std::vector<pollfd> Waits{{Listener, POLLIN, 0}};
      for (const Pipe &Item : Pipes) {
        Waits.push_back({Item.Left, POLLIN, 0});
        Waits.push_back({Item.Right, POLLIN, 0});
      }
      ::poll(Waits.data(), Waits.size(), 10);
      std::size_t At = 1;
      for (auto Item = Pipes.begin(); Item != Pipes.end(); At += 2) {
        const bool Alive =
            (Waits[At].revents == 0 || forward(Item->Left, Item->Right)) &&
            (Waits[At + 1].revents == 0 || forward(Item->Right, Item->Left));
        if (Alive) {
          ++Item;
          continue;
        }
        ::close(Item->Left);
        ::close(Item->Right);
        Item = Pipes.erase(Item);
      }
      if (Waits[0].revents != 0) {
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
    throw std::runtime_error("the relay cannot listen");
  }
  Pimpl->Loop = std::thread{[this] { Pimpl->run(); }};
}

TcpProxy::~TcpProxy() {
  Pimpl->IsOver = true;
  Pimpl->Loop.join();
  for (const Pipe &Item : Pimpl->Pipes) {
    ::close(Item.Left);
    ::close(Item.Right);
  }
  ::close(Pimpl->Listener);
}

void TcpProxy::cut(bool IsCut) {
  Pimpl->IsCut = IsCut;
  while (Pimpl->IsHeld != IsCut) {
    std::this_thread::sleep_for(Millis{1});
  }
}

} // namespace mulberryramp::test
