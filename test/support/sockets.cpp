#include "support/sockets.hpp"

#include <sys/socket.h>

namespace mulberryramp::test {

void sendAll(int Socket, const std::string &Text) {
  for (std::size_t Sent = 0; Sent < Text.size();) {
    const ssize_t Count =
        ::send(Socket, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0) {
      return;
    }
    Sent += static_cast<std::size_t>(Count);
  }
}

std::string receiveAll(int Socket) {
  std::string Text;
  char Buffer[16384];
  for (ssize_t Count = 0;
       (Count = ::recv(Socket, Buffer, sizeof(Buffer), 0)) > 0;) {
    Text.append(Buffer, static_cast<std::size_t>(Count));
  }
  return Text;
}

} // namespace mulberryramp::test
