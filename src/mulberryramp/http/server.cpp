#include "mulberryramp/http/server.hpp"

#include <arpa/inet.h>
#include <map>
#include <microhttpd.h>
#include <netinet/in.h>
#include <optional>
#include <unistd.h>
#include <utility>

namespace mulberryramp {

namespace internal {

constexpr int PayloadTooLarge = 413;

struct Exchange {
  std::uint64_t Id = 0;
  HttpRequest Request;
  MHD_Connection *Connection = nullptr;
  std::optional<HttpResponse> Response;
  bool IsTooLarge = false;
  bool IsDispatched = false;
  bool IsSuspended = false;
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

MHD_Result addQueryParameter(void *Into, MHD_ValueKind /*Kind*/,
                             const char *Key, const char *Value) {
  auto &Query = *static_cast<std::map<std::string, std::string> *>(Into);
  Query[Key] = Value == nullptr ? "" : Value;
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
  std::map<std::uint64_t, internal::Exchange *> Open;

  MHD_Result begin(MHD_Connection *Connection, const char *Url,
                   const char *Method, void **Slot) {
    auto *Item = new internal::Exchange; // NOLINT: freed in finish.
    Item->Id = NextId;
    NextId += 1;
    Item->Connection = Connection;
    Item->Request.Method = Method;
    Item->Request.Path = Url;
    const char *Host = MHD_lookup_connection_value(Connection, MHD_HEADER_KIND,
                                                   MHD_HTTP_HEADER_HOST);
    Item->Request.Host = Host == nullptr ? "" : Host;
    MHD_get_connection_values(Connection, MHD_GET_ARGUMENT_KIND,
                              internal::addQueryParameter,
                              &Item->Request.Query);
    Open[Item->Id] = Item;
    *Slot = Item;
    return MHD_YES;
  }

  MHD_Result take(internal::Exchange &Item, const char *Data,
                  std::size_t *Size) {
    if (*Size != 0) {
      Item.IsTooLarge =
          Item.IsTooLarge || Item.Request.Body.size() + *Size > MaxBodyBytes;
      Bytes += *Size;
      if (!Item.IsTooLarge) {
        Item.Request.Body.append(Data, *Size);
      }
      *Size = 0;
      return MHD_YES;
    }
    if (Item.IsTooLarge) {
      return internal::sendResponse(
          Item.Connection,
          {internal::PayloadTooLarge, "application/json",
           R"({"status":"invalid","reason":"the body is too large"})"});
    }
    if (Item.Response) {
      return internal::sendResponse(Item.Connection, *Item.Response);
    }
    if (!Item.IsDispatched) {
      Item.IsDispatched = true;
      OnRequest(Item.Id, std::move(Item.Request));
    }
    if (Item.Response) {
      return internal::sendResponse(Item.Connection, *Item.Response);
    }
    Item.IsSuspended = true;
    MHD_suspend_connection(Item.Connection);
    return MHD_YES;
  }

  void finish(internal::Exchange *Item) {
    Open.erase(Item->Id);
    if (Item->IsDispatched && !Item->Response) {
      OnClosed(Item->Id);
    }
    delete Item; // NOLINT: made in begin.
  }

  static MHD_Result onAccess(void *Self, MHD_Connection *Connection,
                             const char *Url, const char *Method,
                             const char * /*Version*/, const char *Data,
                             std::size_t *Size, void **Slot) {
    auto &Server = *static_cast<Impl *>(Self);
    if (*Slot == nullptr) {
      return Server.begin(Connection, Url, Method, Slot);
    }
    return Server.take(*static_cast<internal::Exchange *>(*Slot), Data, Size);
  }

  static void onCompleted(void *Self, MHD_Connection * /*Connection*/,
                          void **Slot, MHD_RequestTerminationCode /*Code*/) {
    if (*Slot != nullptr) {
      static_cast<Impl *>(Self)->finish(
          static_cast<internal::Exchange *>(*Slot));
      *Slot = nullptr;
    }
  }
};

HttpServer::HttpServer(std::unique_ptr<Impl> Pimpl) : Pimpl{std::move(Pimpl)} {}

HttpServer::~HttpServer() {
  for (auto &[Id, Item] : Pimpl->Open) {
    if (Item->IsSuspended) {
      Item->IsSuspended = false;
      MHD_resume_connection(Item->Connection);
    }
  }
  MHD_stop_daemon(Pimpl->Daemon);
}

tl::expected<std::unique_ptr<HttpServer>, std::string>
HttpServer::listen(const Endpoint &Where, RequestHandler OnRequest,
                   ClosedHandler OnClosed) {
  auto Pimpl = std::make_unique<Impl>();
  Pimpl->OnRequest = std::move(OnRequest);
  Pimpl->OnClosed = std::move(OnClosed);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Where.Port);
  inet_pton(AF_INET, Where.Host.c_str(), &Address.sin_addr);
  Pimpl->Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, Where.Port, nullptr, nullptr,
      &Impl::onAccess, Pimpl.get(), MHD_OPTION_SOCK_ADDR, &Address,
      MHD_OPTION_CONNECTION_LIMIT, MaxHttpConnections,
      MHD_OPTION_CONNECTION_TIMEOUT, HttpIdleTimeoutSeconds,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
      &Impl::onCompleted, Pimpl.get(), MHD_OPTION_END);
  if (Pimpl->Daemon == nullptr) {
    return tl::make_unexpected("cannot listen for HTTP on " + render(Where));
  }
  const MHD_DaemonInfo *Info =
      MHD_get_daemon_info(Pimpl->Daemon, MHD_DAEMON_INFO_EPOLL_FD);
  Pimpl->Descriptor = Info->epoll_fd;
  return std::unique_ptr<HttpServer>{new HttpServer{std::move(Pimpl)}};
}

int HttpServer::descriptor() const noexcept { return Pimpl->Descriptor; }

void HttpServer::run() { MHD_run(Pimpl->Daemon); }

void HttpServer::respond(std::uint64_t Id, HttpResponse Response) {
  const auto Found = Pimpl->Open.find(Id);
  if (Found == Pimpl->Open.end() || Found->second->Response) {
    return;
  }
  internal::Exchange &Item = *Found->second;
  Pimpl->Bytes += Response.Body.size() + Item.Request.Path.size();
  Item.Response = std::move(Response);
  if (Item.IsSuspended) {
    Item.IsSuspended = false;
    MHD_resume_connection(Item.Connection);
  }
}

std::size_t HttpServer::openRequests() const noexcept {
  return Pimpl->Open.size();
}

std::uint64_t HttpServer::bytes() const noexcept { return Pimpl->Bytes; }

void HttpServer::stopListening() {
  const MHD_socket Listener = MHD_quiesce_daemon(Pimpl->Daemon);
  if (Listener != MHD_INVALID_SOCKET) {
    ::close(Listener);
  }
}

} // namespace mulberryramp
