#include "mulberryramp/http/server.hpp"

#include "mulberryramp/core/time.hpp"
#include "mulberryramp/http/client_table.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <deque>
#include <map>
#include <microhttpd.h>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace mulberryramp {

namespace internal {

/// Connections that are closed per tick for others that wait to be accepted. It
/// is not known how many wait, and ordinary clients keep idle ones for reuse.
constexpr std::size_t MaxClosedPerTick = 4;
/// First size of the buffer for a body whose length is not announced.
constexpr std::size_t FirstBodyBytes = 4096;
/// Receive buffer of a connection in the kernel. It bounds what arrives while
/// the server does not read, and is enough for 1 MB/s at 16 ms.
constexpr int ReceiveBufferBytes = 32 * 1024;
constexpr Millis SweepInterval{1000};

/// A request and its response; exists from the request line until libmicrohttpd
/// has completed the request.
struct HttpExchange {
  std::uint64_t Id = 0;
  ClientId Client = 0;
  HttpRequest Request;
  MHD_Connection *Connection = nullptr;
  std::optional<HttpResponse> Response;
  std::size_t AnnouncedBytes = 0; ///< Content-Length; 0 if there is none.
  std::size_t DiscardedBytes = 0;
  bool IsLarge = false;      ///< The body exceeds `LargeBodyBytes`.
  bool IsQueued = false;     ///< The request is or was in `LargeRequests`.
  bool IsDispatched = false; ///< The request handler has been called.
  bool IsSuspended = false;  ///< The connection waits for the response.
};

/// A connection; exists as long as that of libmicrohttpd.
struct ClientSlot {
  ClientId Id = 0;
  int Socket = -1;
};

void freeBody(void *Body) { delete static_cast<std::string *>(Body); }

/// Sends a response; its body is moved out.
MHD_Result sendResponse(MHD_Connection *Connection, HttpResponse &Answer) {
  auto *Body = new std::string{std::move(Answer.Body)}; // NOLINT: freeBody.
  MHD_Response *Response =
      MHD_create_response_from_buffer_with_free_callback_cls(
          Body->size(), Body->data(), &freeBody, Body);
  MHD_add_response_header(Response, MHD_HTTP_HEADER_CONTENT_TYPE,
                          Answer.ContentType.c_str());
  if (Answer.RetryAfterSeconds != 0) {
    MHD_add_response_header(Response, MHD_HTTP_HEADER_RETRY_AFTER,
                            std::to_string(Answer.RetryAfterSeconds).c_str());
  }
  const MHD_Result Queued = MHD_queue_response(
      Connection, static_cast<unsigned>(Answer.Status), Response);
  MHD_destroy_response(Response);
  return Queued;
}

/// Returns the announced length of a body, or 0 if there is none.
std::size_t announcedBytes(MHD_Connection *Connection) {
  const char *Text = MHD_lookup_connection_value(
      Connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  // libmicrohttpd has rejected what is no number.
  return Text == nullptr ? 0 : std::strtoull(Text, nullptr, 10);
}

MHD_Result addQueryParameter(void *Output, MHD_ValueKind /*Kind*/,
                             const char *Key, const char *Value) {
  auto &Query = *static_cast<std::map<std::string, std::string> *>(Output);
  Query[Key] = Value == nullptr ? "" : Value;
  return MHD_YES;
}

/// Combines repeated headers as RFC 9110 has it, so that a request with two
/// keys has no valid one.
MHD_Result addAuthorization(void *Output, MHD_ValueKind /*Kind*/,
                            const char *Name, const char *Value) {
  if (strcasecmp(Name, MHD_HTTP_HEADER_AUTHORIZATION) == 0) {
    auto &Combined = *static_cast<std::string *>(Output);
    Combined += Combined.empty() ? "" : ", ";
    Combined += Value == nullptr ? "" : Value;
  }
  return MHD_YES;
}

} // namespace internal

struct HttpServer::Impl {
  RequestHandler OnRequest;
  ClosedHandler OnClosed;
  MHD_Daemon *Daemon = nullptr;
  int Descriptor = -1;
  int ListeningSocket = -1;
  std::uint64_t NextId = 1;
  std::uint64_t Bytes = 0;
  ClientTable Clients;
  ClientId NextClient = 1;
  std::map<ClientId, internal::ClientSlot> Slots;
  std::map<std::uint64_t, internal::HttpExchange *> OpenExchanges;
  /// Complete requests with large bodies that wait for their dispatch.
  std::deque<std::uint64_t> LargeRequests;
  std::size_t OpenLargeRequests = 0; ///< Dispatched and not answered.
  Instant CurrentTime;
  Instant NextSweepAt;

  /// Ends connections. libmicrohttpd notices it in its next run.
  void close(const std::vector<ClientId> &Victims) {
    for (const ClientId Id : Victims) {
      const auto It = Slots.find(Id);
      if (It != Slots.end()) {
        ::shutdown(It->second.Socket, SHUT_RDWR);
      }
    }
  }

  /// libmicrohttpd accepts no connection beyond the limit; further ones wait in
  /// the queue of the listening socket.
  void closeForWaitingConnections() {
    if (Clients.OpenCount < Clients.Limits.MaxConnections ||
        ListeningSocket < 0) {
      return;
    }
    pollfd Polled{ListeningSocket, POLLIN, 0};
    if (::poll(&Polled, 1, 0) > 0) {
      close(closeForWaitingClients(Clients, internal::MaxClosedPerTick,
                                   CurrentTime));
    }
  }

  [[nodiscard]] bool isClosing(ClientId Id) const {
    const auto It = Clients.Rows.find(Id);
    return It == Clients.Rows.end() || It->second.IsClosing;
  }

  static ClientId clientOf(MHD_Connection *Connection) {
    const MHD_ConnectionInfo *Info =
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return static_cast<internal::ClientSlot *>(Info->socket_context)->Id;
  }

  MHD_Result beginExchange(MHD_Connection *Connection, const char *Url,
                           const char *Method, void **Slot) {
    const ClientId Client = clientOf(Connection);
    if (isClosing(Client)) {
      return MHD_NO;
    }
    auto *Exchange =
        new internal::HttpExchange; // NOLINT: freed in endExchange.
    Exchange->Id = NextId;
    NextId += 1;
    Exchange->Client = Client;
    Exchange->Connection = Connection;
    Exchange->Request.Method = Method;
    Exchange->Request.Path = Url;
    const char *Host = MHD_lookup_connection_value(Connection, MHD_HEADER_KIND,
                                                   MHD_HTTP_HEADER_HOST);
    Exchange->Request.Host = Host == nullptr ? "" : Host;
    MHD_get_connection_values(Connection, MHD_HEADER_KIND,
                              internal::addAuthorization,
                              &Exchange->Request.Authorization);
    MHD_get_connection_values(Connection, MHD_GET_ARGUMENT_KIND,
                              internal::addQueryParameter,
                              &Exchange->Request.Query);
    OpenExchanges[Exchange->Id] = Exchange;
    *Slot = Exchange;
    setPhase(Clients, Client, ClientPhase::Receiving, CurrentTime);
    Exchange->AnnouncedBytes = internal::announcedBytes(Connection);
    return Exchange->AnnouncedBytes > MaxBodyBytes ? refuseAnnounced(*Exchange)
                                                   : MHD_YES;
  }

  /// Refuses a body that is announced to be too large. If it is also too large
  /// to be discarded, a response is only possible before the body is read.
  MHD_Result refuseAnnounced(internal::HttpExchange &Exchange) {
    refuseBody(Exchange, HttpLimit::BodySize);
    if (Exchange.AnnouncedBytes <= MaxDiscardedBytes) {
      return MHD_YES;
    }
    dispatch(Exchange);
    return Exchange.Response
               ? internal::sendResponse(Exchange.Connection, *Exchange.Response)
               : MHD_NO;
  }

  void refuseBody(internal::HttpExchange &Exchange, HttpLimit Limit) {
    Exchange.Request.RefusedBy = Limit;
    Exchange.Request.Body = std::string{};
    releaseBytes(Clients, Exchange.Client);
    countHit(Clients, Limit);
  }

  /// Reserves room for a body of at least the given size.
  bool growBody(internal::HttpExchange &Exchange, std::size_t Size) {
    std::string &Body = Exchange.Request.Body;
    if (Size <= Body.capacity()) {
      return true;
    }
    const std::size_t First =
        Exchange.AnnouncedBytes == 0
            ? internal::FirstBodyBytes
            : std::min(Exchange.AnnouncedBytes, internal::FirstBodyBytes);
    const std::size_t Wanted =
        std::max({Size, First, std::min(2 * Body.capacity(), MaxBodyBytes)});
    const Reservation Room =
        reserveBytes(Clients, Exchange.Client, Wanted, CurrentTime);
    close(Room.ToClose);
    if (Room.IsGranted) {
      Body.reserve(Wanted);
    }
    return Room.IsGranted;
  }

  /// Handles the next part of the body. libmicrohttpd calls it with a size of 0
  /// when the body is complete, and again when the connection is resumed.
  MHD_Result onBodyData(internal::HttpExchange &Exchange, const char *Data,
                        std::size_t *Size) {
    if (isClosing(Exchange.Client)) {
      return MHD_NO;
    }
    if (*Size == 0) {
      return onBodyEnd(Exchange);
    }
    Bytes += *Size;
    std::string &Body = Exchange.Request.Body;
    if (!Exchange.Request.RefusedBy) {
      if (Body.size() + *Size > MaxBodyBytes) {
        refuseBody(Exchange, HttpLimit::BodySize);
      } else if (!growBody(Exchange, Body.size() + *Size)) {
        refuseBody(Exchange, HttpLimit::Memory);
      } else {
        Body.append(Data, *Size);
      }
    }
    Exchange.DiscardedBytes += Exchange.Request.RefusedBy ? *Size : 0;
    *Size = 0;
    return Exchange.DiscardedBytes > MaxDiscardedBytes ? MHD_NO : MHD_YES;
  }

  MHD_Result onBodyEnd(internal::HttpExchange &Exchange) {
    if (!Exchange.IsDispatched && !Exchange.IsQueued) {
      if (Exchange.Request.Body.size() > LargeBodyBytes) {
        setPhase(Clients, Exchange.Client, ClientPhase::Waiting, CurrentTime);
        Exchange.IsQueued = true;
        LargeRequests.push_back(Exchange.Id);
      } else {
        dispatch(Exchange);
      }
    }
    if (isClosing(Exchange.Client)) {
      return MHD_NO;
    }
    if (Exchange.Response) {
      return internal::sendResponse(Exchange.Connection, *Exchange.Response);
    }
    Exchange.IsSuspended = true;
    MHD_suspend_connection(Exchange.Connection);
    return MHD_YES;
  }

  void dispatch(internal::HttpExchange &Exchange) {
    setPhase(Clients, Exchange.Client, ClientPhase::Waiting, CurrentTime);
    Exchange.IsDispatched = true;
    Exchange.IsLarge = Exchange.Request.Body.size() > LargeBodyBytes;
    OpenLargeRequests += Exchange.IsLarge ? 1 : 0;
    OnRequest(Exchange.Id, std::move(Exchange.Request));
  }

  /// Passes the large request on that has waited for the longest time.
  void dispatchLargeRequest() {
    while (!LargeRequests.empty() && OpenLargeRequests < MaxLargeRequests) {
      const auto It = OpenExchanges.find(LargeRequests.front());
      LargeRequests.pop_front();
      if (It != OpenExchanges.end()) {
        dispatch(*It->second);
        return;
      }
    }
  }

  /// Takes over a response, or closes the connection if there is no room.
  void setResponse(internal::HttpExchange &Exchange, HttpResponse Response) {
    OpenLargeRequests -= Exchange.IsLarge ? 1 : 0;
    Exchange.IsLarge = false;
    Bytes += Response.Body.size() + Exchange.Request.Path.size();
    const Reservation Room = reserveBytes(
        Clients, Exchange.Client, Response.Body.capacity(), CurrentTime);
    close(Room.ToClose);
    if (Room.IsGranted) {
      setPhase(Clients, Exchange.Client, ClientPhase::Responding, CurrentTime);
      Exchange.Response = std::move(Response);
      return;
    }
    close(closeClient(Clients, Exchange.Client, HttpLimit::Memory));
  }

  void endExchange(internal::HttpExchange *Exchange) {
    OpenExchanges.erase(Exchange->Id);
    OpenLargeRequests -= Exchange->IsLarge ? 1 : 0;
    releaseBytes(Clients, Exchange->Client);
    setPhase(Clients, Exchange->Client, ClientPhase::Idle, CurrentTime);
    if (Exchange->IsDispatched && !Exchange->Response) {
      OnClosed(Exchange->Id);
    }
    delete Exchange; // NOLINT: made in beginExchange.
  }

  static MHD_Result onAccess(void *Self, MHD_Connection *Connection,
                             const char *Url, const char *Method,
                             const char * /*Version*/, const char *Data,
                             std::size_t *Size, void **Slot) {
    auto &Server = *static_cast<Impl *>(Self);
    if (*Slot == nullptr) {
      return Server.beginExchange(Connection, Url, Method, Slot);
    }
    return Server.onBodyData(*static_cast<internal::HttpExchange *>(*Slot),
                             Data, Size);
  }

  static void onCompleted(void *Self, MHD_Connection * /*Connection*/,
                          void **Slot, MHD_RequestTerminationCode /*Code*/) {
    if (*Slot != nullptr) {
      static_cast<Impl *>(Self)->endExchange(
          static_cast<internal::HttpExchange *>(*Slot));
      *Slot = nullptr;
    }
  }

  static void onConnection(void *Self, MHD_Connection *Connection,
                           void **Context,
                           MHD_ConnectionNotificationCode Code) {
    auto &Server = *static_cast<Impl *>(Self);
    if (Code == MHD_CONNECTION_NOTIFY_STARTED) {
      const MHD_ConnectionInfo *Info = MHD_get_connection_info(
          Connection, MHD_CONNECTION_INFO_CONNECTION_FD);
      const ClientId Id = Server.NextClient;
      Server.NextClient += 1;
      internal::ClientSlot &Slot = Server.Slots[Id];
      Slot = {Id, Info->connect_fd};
      *Context = &Slot;
      addClient(Server.Clients, Id, Server.CurrentTime);
      return;
    }
    const ClientId Id = static_cast<internal::ClientSlot *>(*Context)->Id;
    removeClient(Server.Clients, Id);
    Server.Slots.erase(Id);
  }
};

HttpServer::HttpServer(std::unique_ptr<Impl> Pimpl) : Pimpl{std::move(Pimpl)} {}

HttpServer::~HttpServer() {
  for (auto &[Id, Exchange] : Pimpl->OpenExchanges) {
    if (Exchange->IsSuspended) {
      Exchange->IsSuspended = false;
      MHD_resume_connection(Exchange->Connection);
    }
  }
  MHD_stop_daemon(Pimpl->Daemon);
}

tl::expected<std::unique_ptr<HttpServer>, std::string>
HttpServer::listen(const Endpoint &Address, RequestHandler OnRequest,
                   ClosedHandler OnClosed, const HttpLimits &Limits) {
  auto Pimpl = std::make_unique<Impl>();
  Pimpl->Clients.Limits = Limits;
  Pimpl->CurrentTime = SuspendAwareClock::now();
  Pimpl->OnRequest = std::move(OnRequest);
  Pimpl->OnClosed = std::move(OnClosed);
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_port = htons(Address.Port);
  inet_pton(AF_INET, Address.Host.c_str(), &SocketAddress.sin_addr);
  Pimpl->Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, Address.Port, nullptr, nullptr,
      &Impl::onAccess, Pimpl.get(), MHD_OPTION_SOCK_ADDR, &SocketAddress,
      MHD_OPTION_CONNECTION_LIMIT, static_cast<unsigned>(Limits.MaxConnections),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionBufferBytes,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
      &Impl::onCompleted, Pimpl.get(), MHD_OPTION_NOTIFY_CONNECTION,
      &Impl::onConnection, Pimpl.get(), MHD_OPTION_END);
  if (Pimpl->Daemon == nullptr) {
    return tl::make_unexpected("cannot listen for HTTP on " + render(Address));
  }
  const MHD_DaemonInfo *Info =
      MHD_get_daemon_info(Pimpl->Daemon, MHD_DAEMON_INFO_EPOLL_FD);
  Pimpl->Descriptor = Info->epoll_fd;
  // Accepted connections inherit the size.
  Info = MHD_get_daemon_info(Pimpl->Daemon, MHD_DAEMON_INFO_LISTEN_FD);
  Pimpl->ListeningSocket = Info->listen_fd;
  ::setsockopt(Info->listen_fd, SOL_SOCKET, SO_RCVBUF,
               &internal::ReceiveBufferBytes,
               sizeof(internal::ReceiveBufferBytes));
  return std::unique_ptr<HttpServer>{new HttpServer{std::move(Pimpl)}};
}

int HttpServer::descriptor() const noexcept { return Pimpl->Descriptor; }

void HttpServer::run() { MHD_run(Pimpl->Daemon); }

void HttpServer::tick(Instant Now) {
  Pimpl->CurrentTime = Now;
  if (Now >= Pimpl->NextSweepAt) {
    Pimpl->NextSweepAt = Now + internal::SweepInterval;
    Pimpl->close(expireClients(Pimpl->Clients, Now));
  }
  Pimpl->closeForWaitingConnections();
  Pimpl->dispatchLargeRequest();
}

bool HttpServer::makeRoomForResponse(std::uint64_t Bytes) {
  const Reservation Room =
      makeRoom(Pimpl->Clients, 0, Bytes, Pimpl->CurrentTime);
  Pimpl->close(Room.ToClose);
  return Room.IsGranted;
}

void HttpServer::respond(std::uint64_t Id, HttpResponse Response) {
  const auto It = Pimpl->OpenExchanges.find(Id);
  if (It == Pimpl->OpenExchanges.end() || It->second->Response) {
    return;
  }
  internal::HttpExchange &Exchange = *It->second;
  Pimpl->setResponse(Exchange, std::move(Response));
  if (Exchange.IsSuspended) {
    Exchange.IsSuspended = false;
    MHD_resume_connection(Exchange.Connection);
  }
}

std::size_t HttpServer::openRequests() const noexcept {
  return Pimpl->OpenExchanges.size();
}

std::uint64_t HttpServer::bytes() const noexcept { return Pimpl->Bytes; }

HttpUsage HttpServer::usage() const noexcept {
  return {Pimpl->Clients.OpenCount, Pimpl->Clients.HeldBytes,
          Pimpl->Clients.LimitHits};
}

void HttpServer::stopListening() {
  const MHD_socket Listener = MHD_quiesce_daemon(Pimpl->Daemon);
  Pimpl->ListeningSocket = -1;
  if (Listener != MHD_INVALID_SOCKET) {
    ::close(Listener);
  }
}

} // namespace mulberryramp
