// Sockets and HTTP/1.1 for the stand-ins of the review: a blocking client and
// a small threaded server.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

inline std::int64_t steadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void sleepMs(std::int64_t Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds{Ms});
}

inline sockaddr_in socketAddress(const std::string &Host, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Host.c_str(), &Address.sin_addr);
  return Address;
}

// Tells whether a port is free on a loopback address.
inline bool isFree(const std::string &Host, int Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = socketAddress(Host, Port);
  const bool Free =
      ::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) ==
      0;
  ::close(Socket);
  return Free;
}

struct Message {
  std::string Method; // Requests only.
  std::string Path;
  int Status = 0; // Responses only; 0 without a complete response.
  std::map<std::string, std::string> Headers; // Names in lower case.
  std::string Body;
};

inline std::string lower(std::string Text) {
  for (char &Character : Text) {
    Character = static_cast<char>(
        std::tolower(static_cast<unsigned char>(Character)));
  }
  return Text;
}

// Reads one HTTP message from a socket; bytes after it stay in `Buffer`.
inline bool readMessage(int Socket, std::string &Buffer, Message &Out,
                        std::int64_t Deadline) {
  const auto More = [&] {
    const std::int64_t Left = Deadline - steadyMs();
    pollfd Waiting{Socket, POLLIN, 0};
    if (Left <= 0 || ::poll(&Waiting, 1, static_cast<int>(Left)) <= 0) {
      return false;
    }
    char Chunk[16384];
    const ssize_t Count = ::recv(Socket, Chunk, sizeof(Chunk), 0);
    if (Count <= 0) {
      return false;
    }
    Buffer.append(Chunk, static_cast<std::size_t>(Count));
    return true;
  };
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!More()) {
      return false;
    }
  }
  const std::string Head = Buffer.substr(0, End);
  std::size_t LineEnd = Head.find("\r\n");
  const std::string First = Head.substr(0, LineEnd);
  if (First.starts_with("HTTP/")) {
    Out.Status = std::atoi(First.c_str() + First.find(' ') + 1);
  } else {
    const std::size_t Space = First.find(' ');
    Out.Method = First.substr(0, Space);
    Out.Path = First.substr(Space + 1, First.rfind(' ') - Space - 1);
  }
  while (LineEnd != std::string::npos) {
    const std::size_t Begin = LineEnd + 2;
    LineEnd = Head.find("\r\n", Begin);
    const std::string Line = Head.substr(Begin, LineEnd - Begin);
    const std::size_t Colon = Line.find(':');
    if (Colon != std::string::npos) {
      const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Out.Headers[lower(Line.substr(0, Colon))] =
          Value == std::string::npos ? "" : Line.substr(Value);
    }
  }
  const auto Length = Out.Headers.find("content-length");
  const std::size_t Size =
      Length == Out.Headers.end() ? 0 : std::stoul(Length->second);
  while (Buffer.size() < End + 4 + Size) {
    if (!More()) {
      return false;
    }
  }
  Out.Body = Buffer.substr(End + 4, Size);
  Buffer.erase(0, End + 4 + Size);
  return true;
}

inline bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count = ::send(Socket, Bytes.data() + Sent,
                                 Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0) {
      return false;
    }
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

// Keeps one connection to a server and sends requests on it, one at a time.
class Client {
public:
  Client(std::string Host, int Port) : Host{std::move(Host)}, Port{Port} {}
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;
  ~Client() { close(); }

  // Status 0 means that no complete response came within the timeout.
  Message request(const std::string &Method, const std::string &Path,
                  const std::string &HostHeader, const std::string &Body,
                  std::int64_t TimeoutMs) {
    Message Answer;
    const std::int64_t Deadline = steadyMs() + TimeoutMs;
    if (Socket >= 0 && isClosedByPeer()) {
      close();
    }
    if (Socket < 0 && !connect(TimeoutMs)) {
      return Answer;
    }
    const std::string Bytes =
        Method + " " + Path + " HTTP/1.1\r\nHost: " + HostHeader +
        "\r\nContent-Type: application/json\r\nX-Deadline-Ms: " +
        std::to_string(TimeoutMs) +
        "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
        Body;
    if (!sendAll(Socket, Bytes) ||
        !readMessage(Socket, Buffer, Answer, Deadline)) {
      Answer = {};
      close();
    }
    return Answer;
  }

  void close() {
    if (Socket >= 0) {
      ::close(Socket);
    }
    Socket = -1;
    Buffer.clear();
  }

private:
  bool isClosedByPeer() const {
    char Byte = 0;
    const ssize_t Count =
        ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Count == 0 || (Count < 0 && errno != EAGAIN);
  }

  bool connect(std::int64_t TimeoutMs) {
    Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval Limit{TimeoutMs / 1000, (TimeoutMs % 1000) * 1000};
    ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
    const int Yes = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof(Yes));
    sockaddr_in Address = socketAddress(Host, Port);
    if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                  sizeof(Address)) != 0) {
      close();
      return false;
    }
    return true;
  }

  std::string Host;
  int Port;
  int Socket = -1;
  std::string Buffer;
};

struct Reply {
  int Status = 200;
  std::string Body = "{}";
  bool IsDropped = false; // Close the connection instead of answering.
};

// Serves requests with one thread for each connection. `stop` closes the
// listener and all connections, as the end of a process does.
class Server {
public:
  using Handler = std::function<Reply(const Message &)>;

  Server(std::string Host, int Port, Handler OnRequest)
      : Host{std::move(Host)}, Port{Port}, OnRequest{std::move(OnRequest)} {}
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;
  ~Server() { stop(); }

  bool start() {
    Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int Yes = 1;
    ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
    sockaddr_in Address = socketAddress(Host, Port);
    if (::bind(Listener, reinterpret_cast<sockaddr *>(&Address),
               sizeof(Address)) != 0 ||
        ::listen(Listener, 128) != 0) {
      ::close(Listener);
      Listener = -1;
      return false;
    }
    IsStopping = false;
    Acceptor = std::thread{[this] { acceptConnections(); }};
    return true;
  }

  void stop() {
    if (Listener < 0) {
      return;
    }
    IsStopping = true;
    ::shutdown(Listener, SHUT_RDWR);
    Acceptor.join();
    ::close(Listener);
    Listener = -1;
    {
      const std::lock_guard Lock{Mutex};
      for (const int Socket : Open) {
        // A killed process resets connections with unread data.
        ::shutdown(Socket, SHUT_RDWR);
      }
    }
    for (std::thread &Worker : Workers) {
      Worker.join();
    }
    Workers.clear();
  }

private:
  void acceptConnections() {
    while (!IsStopping) {
      const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0) {
        return;
      }
      const int Yes = 1;
      ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof(Yes));
      const std::lock_guard Lock{Mutex};
      Open.insert(Socket);
      Workers.emplace_back([this, Socket] { serve(Socket); });
    }
  }

  void serve(int Socket) {
    std::string Buffer;
    while (!IsStopping) {
      Message Request;
      if (!readMessage(Socket, Buffer, Request, steadyMs() + 600000)) {
        break;
      }
      const Reply Answer = OnRequest(Request);
      if (Answer.IsDropped || IsStopping ||
          !sendAll(Socket, "HTTP/1.1 " + std::to_string(Answer.Status) +
                               " X\r\nContent-Type: application/json\r\n"
                               "Content-Length: " +
                               std::to_string(Answer.Body.size()) +
                               "\r\n\r\n" + Answer.Body)) {
        break;
      }
    }
    const std::lock_guard Lock{Mutex};
    Open.erase(Socket);
    ::close(Socket);
  }

  std::string Host;
  int Port;
  Handler OnRequest;
  int Listener = -1;
  std::atomic<bool> IsStopping{false};
  std::thread Acceptor;
  std::mutex Mutex;
  std::set<int> Open;
  std::vector<std::thread> Workers;
};

} // namespace review
