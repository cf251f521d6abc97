#include "mulberryramp/http/server.hpp"

#include <arpa/inet.h>
#include <map>
#include <microhttpd.h>
#include <netinet/in.h>
#include <optional>
#include <strings.h>
#include <unistd.h>
#include <utility>

namespace mulberryramp {

namespace internal {

constexpr int PayloadTooLarge = 413;

/// A request and its response; exists from the request line until libmicrohttpd
/// has completed the request.
struct HttpExchange {
  std::uint64_t Id = 0;
  HttpRequest Request;
  MHD_Connection *Connection = nullptr;
  std::optional<HttpResponse> Response;
  bool IsTooLarge = false;   ///< The body exceeds `MaxBodyBytes`.
  bool IsDispatched = false; ///< The request handler has been called.
  bool IsSuspended = false;  ///< The connection waits for the response.
};

MHD_Result sendResponse(MHD_Connection *Connection,
                        const HttpResponse &Answer) {
  MHD_Response *Response = MHD_create_response_from_buffer(
      Answer.Body.size(), const_cast<char *>(Answer.Body.data()), // NOLINT
      MHD_RESPMEM_MUST_COPY);
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
  std::uint64_t NextId = 1;
  std::uint64_t Bytes = 0;
  std::map<std::uint64_t, internal::HttpExchange *> OpenExchanges;

  MHD_Result beginExchange(MHD_Connection *Connection, const char *Url,
                           const char *Method, void **Slot) {
    auto *Exchange =
        new internal::HttpExchange; // NOLINT: freed in endExchange.
    Exchange->Id = NextId;
    NextId += 1;
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
    return MHD_YES;
  }

  /// Handles the next part of the body. libmicrohttpd calls it with a size of 0
  /// when the body is complete, and again when the connection is resumed. A
  /// body that is too large is read to its end but not stored.
  MHD_Result onBodyData(internal::HttpExchange &Exchange, const char *Data,
                        std::size_t *Size) {
    if (*Size != 0) {
      Exchange.IsTooLarge = Exchange.IsTooLarge ||
                            Exchange.Request.Body.size() + *Size > MaxBodyBytes;
      Bytes += *Size;
      if (!Exchange.IsTooLarge) {
        Exchange.Request.Body.append(Data, *Size);
      }
      *Size = 0;
      return MHD_YES;
    }
    if (Exchange.IsTooLarge) {
      return internal::sendResponse(
          Exchange.Connection,
          {internal::PayloadTooLarge, "application/json",
           R"({"status":"invalid","reason":"the body is too large"})"});
    }
    if (Exchange.Response) {
      return internal::sendResponse(Exchange.Connection, *Exchange.Response);
    }
    if (!Exchange.IsDispatched) {
      Exchange.IsDispatched = true;
      OnRequest(Exchange.Id, std::move(Exchange.Request));
    }
    if (Exchange.Response) {
      return internal::sendResponse(Exchange.Connection, *Exchange.Response);
    }
    Exchange.IsSuspended = true;
    MHD_suspend_connection(Exchange.Connection);
    return MHD_YES;
  }

  void endExchange(internal::HttpExchange *Exchange) {
    OpenExchanges.erase(Exchange->Id);
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
                   ClosedHandler OnClosed) {
  auto Pimpl = std::make_unique<Impl>();
  Pimpl->OnRequest = std::move(OnRequest);
  Pimpl->OnClosed = std::move(OnClosed);
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_port = htons(Address.Port);
  inet_pton(AF_INET, Address.Host.c_str(), &SocketAddress.sin_addr);
  Pimpl->Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, Address.Port, nullptr, nullptr,
      &Impl::onAccess, Pimpl.get(), MHD_OPTION_SOCK_ADDR, &SocketAddress,
      MHD_OPTION_CONNECTION_LIMIT, MaxHttpConnections,
      MHD_OPTION_CONNECTION_TIMEOUT, HttpIdleTimeoutSeconds,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
      &Impl::onCompleted, Pimpl.get(), MHD_OPTION_END);
  if (Pimpl->Daemon == nullptr) {
    return tl::make_unexpected("cannot listen for HTTP on " + render(Address));
  }
  const MHD_DaemonInfo *Info =
      MHD_get_daemon_info(Pimpl->Daemon, MHD_DAEMON_INFO_EPOLL_FD);
  Pimpl->Descriptor = Info->epoll_fd;
  return std::unique_ptr<HttpServer>{new HttpServer{std::move(Pimpl)}};
}

int HttpServer::descriptor() const noexcept { return Pimpl->Descriptor; }

void HttpServer::run() { MHD_run(Pimpl->Daemon); }

void HttpServer::respond(std::uint64_t Id, HttpResponse Response) {
  const auto It = Pimpl->OpenExchanges.find(Id);
  if (It == Pimpl->OpenExchanges.end() || It->second->Response) {
    return;
  }
  internal::HttpExchange &Exchange = *It->second;
  Pimpl->Bytes += Response.Body.size() + Exchange.Request.Path.size();
  Exchange.Response = std::move(Response);
  if (Exchange.IsSuspended) {
    Exchange.IsSuspended = false;
    MHD_resume_connection(Exchange.Connection);
  }
}

std::size_t HttpServer::openRequests() const noexcept {
  return Pimpl->OpenExchanges.size();
}

std::uint64_t HttpServer::bytes() const noexcept { return Pimpl->Bytes; }

void HttpServer::stopListening() {
  const MHD_socket Listener = MHD_quiesce_daemon(Pimpl->Daemon);
  if (Listener != MHD_INVALID_SOCKET) {
    ::close(Listener);
  }
}

} // namespace mulberryramp
