#include "hostile/crowd.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace mulberryramp::test {

namespace {

/// Time without progress on any connection after which a crowd stops sending.
constexpr int StallTimeoutMs = 2000;
constexpr std::size_t SendBytes = 65536;

} // namespace

Crowd::Crowd(const Endpoint &Address, std::size_t Size,
             const ClientScript &Script)
    : Script{Script}, TotalBytes{Script.Head.size() +
                                 Script.Unit.size() * Script.Units +
                                 Script.Tail.size()} {
  if (!Script.Unit.empty()) {
    while (Units.size() < SendBytes) {
      Units += Script.Unit;
    }
  }
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_port = htons(Address.Port);
  inet_pton(AF_INET, Address.Host.c_str(), &Target.sin_addr);
  while (Clients.size() < Size) {
    Client &Member = Clients.emplace_back();
    Member.Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (Script.ReceiveBufferBytes != 0) {
      ::setsockopt(Member.Socket, SOL_SOCKET, SO_RCVBUF,
                   &Script.ReceiveBufferBytes,
                   sizeof(Script.ReceiveBufferBytes));
    }
    (void)::connect(Member.Socket, reinterpret_cast<sockaddr *>(&Target),
                    sizeof(Target));
    // One after the other, as some listeners queue only a few connections.
    pollfd Polled{Member.Socket, POLLOUT, 0};
    if (::poll(&Polled, 1, StallTimeoutMs) <= 0) {
      break;
    }
  }
  run();
}

Crowd::~Crowd() {
  for (const Client &Member : Clients) {
    ::close(Member.Socket);
  }
}

bool Crowd::isDone(const Client &Member) const {
  return Member.IsEnded || (Member.IsConnected && Member.Sent == TotalBytes);
}

void Crowd::run() {
  while (true) {
    std::vector<pollfd> Polled;
    std::vector<Client *> Members;
    for (Client &Member : Clients) {
      if (!isDone(Member)) {
        const auto Events =
            static_cast<short>(POLLOUT | (Script.ReadsResponses ? POLLIN : 0));
        Polled.push_back({Member.Socket, Events, 0});
        Members.push_back(&Member);
      }
    }
    if (Polled.empty() ||
        ::poll(Polled.data(), Polled.size(), StallTimeoutMs) <= 0) {
      return;
    }
    for (std::size_t Index = 0; Index < Polled.size(); ++Index) {
      if (Polled[Index].revents != 0) {
        advance(*Members[Index], Polled[Index].revents);
      }
    }
  }
}

void Crowd::advance(Client &Member, short Events) {
  if ((Events & POLLIN) != 0) {
    receive(Member);
  }
  if ((Events & (POLLERR | POLLHUP)) != 0) {
    Member.IsEnded = true;
  }
  if (Member.IsEnded || (Events & POLLOUT) == 0) {
    return;
  }
  Member.IsConnected = true;
  std::string_view Part;
  const std::size_t UnitsEnd =
      Script.Head.size() + Script.Unit.size() * Script.Units;
  if (Member.Sent < Script.Head.size()) {
    Part = std::string_view{Script.Head}.substr(Member.Sent);
  } else if (Member.Sent < UnitsEnd) {
    const std::size_t Offset =
        (Member.Sent - Script.Head.size()) % Script.Unit.size();
    Part = std::string_view{Units}.substr(
        Offset, std::min(Units.size() - Offset, UnitsEnd - Member.Sent));
  } else {
    Part = std::string_view{Script.Tail}.substr(Member.Sent - UnitsEnd);
  }
  const ssize_t Count =
      ::send(Member.Socket, Part.data(), Part.size(), MSG_NOSIGNAL);
  if (Count > 0) {
    Member.Sent += static_cast<std::size_t>(Count);
  } else if (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
    Member.IsEnded = true;
  }
}

void Crowd::receive(Client &Member) {
  char Buffer[4096];
  const ssize_t Count =
      ::recv(Member.Socket, Buffer, sizeof(Buffer), MSG_DONTWAIT);
  Member.IsAnswered = Member.IsAnswered || Count > 0;
  if (Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
    Member.IsEnded = true;
  }
}

void Crowd::sendByte(char Byte) {
  for (Client &Member : Clients) {
    if (!Member.IsEnded) {
      Member.IsEnded =
          ::send(Member.Socket, &Byte, 1, MSG_NOSIGNAL | MSG_DONTWAIT) != 1 &&
          errno != EAGAIN;
    }
  }
}

std::size_t Crowd::unansweredClients() {
  std::size_t Count = 0;
  for (Client &Member : Clients) {
    if (!Member.IsEnded) {
      receive(Member);
    }
    Count += Member.IsEnded || Member.IsAnswered ? 0 : 1;
  }
  return Count;
}

} // namespace mulberryramp::test
