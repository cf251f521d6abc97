#include "mulberryramp/http/async_client.hpp"

#include "mulberryramp/core/time.hpp"
#include "mulberryramp/http/transmission.hpp"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <curl/curl.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <sys/epoll.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>

namespace mulberryramp {

namespace {

/// Time that sent data may stay unacknowledged. After that the peer counts as
/// unresponsive and the connection is closed.
constexpr long TcpUserTimeoutMs = 1500;
/// Maximum number of easy handles that are kept for reuse.
constexpr std::size_t MaxIdleHandles = 64;
/// Number of connection pools. Before libcurl opens a connection it checks all
/// idle ones of its pool, and starts again after each that the server has
/// closed. With one pool, the loss of some tens of workers at once stopped the
/// event loop for 250 ms.
constexpr std::size_t PoolCount = 64;
/// A pool may keep more than its even share, as hosts are not spread evenly.
constexpr long PoolSharePercent = 150;
/// Maximum number of socket events that are handled per call of the handler.
constexpr int MaxEvents = 64;

/// Appends a part of a response. A response that is too large ends the
/// transfer, as if none had arrived.
std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *Output) {
  auto &Body = *static_cast<std::string *>(Output);
  if (Body.size() + Size * Count > MaxInboundResponseBytes) {
    return 0;
  }
  Body.append(Data, Size * Count);
  return Size * Count;
}

int setSocketOptions(void * /*Context*/, curl_socket_t Socket,
                     curlsocktype /*Purpose*/) {
  const unsigned TimeoutMs = TcpUserTimeoutMs;
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &TimeoutMs,
             sizeof(TimeoutMs));
  return CURL_SOCKOPT_OK;
}

curl_socket_t rejectNewConnection(void * /*Context*/, curlsocktype /*Purpose*/,
                                  curl_sockaddr * /*Address*/) {
  return CURL_SOCKET_BAD;
}

} // namespace

struct AsyncHttpClient::Impl final : public ACE_Event_Handler {
  /// Connections to some of the hosts, with the transfers on them.
  struct ConnectionPool {
    Impl *Client = nullptr;
    CURLM *Multi = nullptr;
    bool HasTimer = false;
    Instant TimerAt;
  };
  /// A request in progress.
  struct HttpTransfer {
    CURL *Handle = nullptr;
    ConnectionPool *Pool = nullptr;
    curl_slist *Headers = nullptr;
    std::string Body;
    std::string Received;
    AsyncHttpClient::Handler OnDone;
  };
  /// A socket that is registered with the epoll instance.
  struct WatchedSocket {
    ConnectionPool *Pool = nullptr;
    unsigned Events = 0;  ///< Registered epoll events.
    bool IsInUse = false; ///< libcurl waits for events of the socket.
  };

  explicit Impl(ACE_Reactor &Loop)
      : ACE_Event_Handler{&Loop}, EpollDescriptor{
                                      ::epoll_create1(EPOLL_CLOEXEC)} {
    Loop.register_handler(this, READ_MASK);
  }

  ~Impl() override {
    reactor()->remove_handler(this, READ_MASK | DONT_CALL);
    ::close(EpollDescriptor);
  }

  ACE_HANDLE get_handle() const override { return EpollDescriptor; }

  int handle_input(ACE_HANDLE /*Handle*/) override {
    std::array<epoll_event, MaxEvents> Events{};
    const int Count =
        ::epoll_wait(EpollDescriptor, Events.data(), MaxEvents, 0);
    for (int Index = 0; Index < Count; ++Index) {
      const epoll_event &Event = Events[static_cast<std::size_t>(Index)];
      const auto It = WatchedSockets.find(Event.data.fd);
      if (It == WatchedSockets.end() || !It->second.IsInUse) {
        unwatch(Event.data.fd);
        continue;
      }
      int CurlEvents = 0;
      CurlEvents |= (Event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
      CurlEvents |= (Event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
      CurlEvents |=
          (Event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
      notifySocket(*It->second.Pool, Event.data.fd, CurlEvents);
    }
    return 0;
  }

  static void notifySocket(const ConnectionPool &Pool, curl_socket_t Socket,
                           int Events) {
    int Running = 0;
    curl_multi_socket_action(Pool.Multi, Socket, Events, &Running);
  }

  /// Called by libcurl when the events that it waits for on a socket change.
  /// The sockets are registered with an epoll instance of the client and not
  /// with the reactor, since libcurl may close a socket before it asks to
  /// remove it.
  static int onSocket(CURL * /*Handle*/, curl_socket_t Socket, int PollAction,
                      void *Context, void * /*SocketData*/) {
    auto &Pool = *static_cast<ConnectionPool *>(Context);
    Impl &Client = *Pool.Client;
    if (PollAction == CURL_POLL_REMOVE) {
      // The next request on the connection usually needs the same events, so
      // the socket stays registered. If an event occurs before that, the
      // socket is removed.
      const auto It = Client.WatchedSockets.find(Socket);
      if (It != Client.WatchedSockets.end()) {
        It->second.IsInUse = false;
      }
      return 0;
    }
    unsigned EpollEvents = 0;
    EpollEvents |= (PollAction & CURL_POLL_IN) != 0 ? EPOLLIN : 0U;
    EpollEvents |= (PollAction & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U;
    Client.watch(Pool, Socket, EpollEvents);
    return 0;
  }

  void watch(ConnectionPool &Pool, curl_socket_t Socket, unsigned EpollEvents) {
    const auto [It, Inserted] = WatchedSockets.try_emplace(Socket);
    It->second.Pool = &Pool;
    It->second.IsInUse = true;
    if (!Inserted && It->second.Events == EpollEvents) {
      return;
    }
    It->second.Events = EpollEvents;
    epoll_event Event{};
    Event.data.fd = Socket;
    Event.events = EpollEvents;
    ::epoll_ctl(EpollDescriptor, Inserted ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
                Socket, &Event);
  }

  void unwatch(curl_socket_t Socket) {
    if (WatchedSockets.erase(Socket) != 0) {
      epoll_event Event{};
      ::epoll_ctl(EpollDescriptor, EPOLL_CTL_DEL, Socket, &Event);
    }
  }

  static int onClose(void *Self, curl_socket_t Socket) {
    static_cast<Impl *>(Self)->unwatch(Socket);
    return ::close(Socket);
  }

  static int onTimer(CURLM * /*Multi*/, long Ms, void *Context) {
    auto &Pool = *static_cast<ConnectionPool *>(Context);
    Pool.HasTimer = Ms >= 0;
    Pool.TimerAt = SuspendAwareClock::now() + Millis{std::max(Ms, 0L)};
    return 0;
  }

  void openPools(long MaxPerHost, long MaxKept) {
    const auto Count = static_cast<long>(PoolCount);
    const long MaxKeptPerPool =
        std::max(MaxKept * PoolSharePercent / 100 / Count, 1L);
    for (ConnectionPool &Pool : Pools) {
      Pool.Client = this;
      Pool.Multi = curl_multi_init();
      curl_multi_setopt(Pool.Multi, CURLMOPT_SOCKETFUNCTION, &Impl::onSocket);
      curl_multi_setopt(Pool.Multi, CURLMOPT_SOCKETDATA, &Pool);
      curl_multi_setopt(Pool.Multi, CURLMOPT_TIMERFUNCTION, &Impl::onTimer);
      curl_multi_setopt(Pool.Multi, CURLMOPT_TIMERDATA, &Pool);
      curl_multi_setopt(Pool.Multi, CURLMOPT_MAX_HOST_CONNECTIONS, MaxPerHost);
      curl_multi_setopt(Pool.Multi, CURLMOPT_MAXCONNECTS, MaxKeptPerPool);
    }
  }

  /// Returns the pool of the host and port of a URL.
  ConnectionPool &poolOf(std::string_view Url) {
    const std::size_t Scheme = Url.find("://");
    const std::size_t Begin = Scheme == std::string_view::npos ? 0 : Scheme + 3;
    const std::string_view Host =
        Url.substr(Begin, Url.find('/', Begin) - Begin);
    return Pools[std::hash<std::string_view>{}(Host) % PoolCount];
  }

  CURL *acquireHandle() {
    if (IdleHandles.empty()) {
      return curl_easy_init();
    }
    CURL *Handle = IdleHandles.back();
    IdleHandles.pop_back();
    return Handle;
  }

  void completeTransfer(CURL *Handle, CURLcode Code) {
    const auto It = OpenTransfers.find(Handle);
    std::unique_ptr<HttpTransfer> Transfer = std::move(It->second);
    OpenTransfers.erase(It);
    OutboundResponse Response;
    long Status = 0;
    curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
    Response.SentBytes = sentBytes(Handle);
    Response.IsNewConnection = hasOpenedConnection(Handle);
    if (Code == CURLE_OK) {
      Response.Status = static_cast<int>(Status);
      Response.Body = std::move(Transfer->Received);
    } else {
      Response.IsUnsent = Response.SentBytes == 0;
    }
    curl_multi_remove_handle(Transfer->Pool->Multi, Handle);
    curl_slist_free_all(Transfer->Headers);
    if (IdleHandles.size() < MaxIdleHandles) {
      curl_easy_reset(Handle);
      IdleHandles.push_back(Handle);
    } else {
      curl_easy_cleanup(Handle);
    }
    Transfer->OnDone(std::move(Response));
  }

  void processCompletedTransfers(ConnectionPool &Pool) {
    int Remaining = 0;
    while (CURLMsg *Message = curl_multi_info_read(Pool.Multi, &Remaining)) {
      if (Message->msg == CURLMSG_DONE) {
        completeTransfer(Message->easy_handle, Message->data.result);
      }
    }
  }

  int EpollDescriptor; ///< Readable when a registered socket has events.
  std::array<ConnectionPool, PoolCount> Pools;
  std::unordered_map<curl_socket_t, WatchedSocket> WatchedSockets;
  std::unordered_map<CURL *, std::unique_ptr<HttpTransfer>> OpenTransfers;
  std::vector<CURL *> IdleHandles;
};

AsyncHttpClient::AsyncHttpClient(ACE_Reactor &Loop, long MaxPerHost,
                                 long MaxKept)
    : Pimpl{std::make_unique<Impl>(Loop)} {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  Pimpl->openPools(MaxPerHost, MaxKept);
}

AsyncHttpClient::~AsyncHttpClient() {
  for (auto &[Handle, Transfer] : Pimpl->OpenTransfers) {
    curl_multi_remove_handle(Transfer->Pool->Multi, Handle);
    curl_slist_free_all(Transfer->Headers);
    curl_easy_cleanup(Handle);
  }
  for (CURL *Handle : Pimpl->IdleHandles) {
    curl_easy_cleanup(Handle);
  }
  for (const Impl::ConnectionPool &Pool : Pimpl->Pools) {
    curl_multi_cleanup(Pool.Multi);
  }
}

void AsyncHttpClient::send(OutboundRequest Request, Handler OnDone) {
  auto Transfer = std::make_unique<Impl::HttpTransfer>();
  Transfer->Body = std::move(Request.Body);
  Transfer->OnDone = std::move(OnDone);
  Transfer->Handle = Pimpl->acquireHandle();
  for (const std::string &Header : Request.Headers) {
    Transfer->Headers = curl_slist_append(Transfer->Headers, Header.c_str());
  }
  // Without this, libcurl sends "Expect: 100-continue" with bodies of 1 KiB and
  // more and waits for the interim response.
  Transfer->Headers = curl_slist_append(Transfer->Headers, "Expect:");
  CURL *Handle = Transfer->Handle;
  curl_easy_setopt(Handle, CURLOPT_URL, Request.Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE,
                   static_cast<long>(Transfer->Body.size()));
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Transfer->Body.c_str());
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Transfer->Headers);
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Request.Timeout.count()));
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &appendBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Transfer->Received);
  curl_easy_setopt(Handle, CURLOPT_SOCKOPTFUNCTION, &setSocketOptions);
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETFUNCTION, &Impl::onClose);
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETDATA, Pimpl.get());
  sendAtMostOnce(Handle);
  if (Request.NeedsOpenConnection) {
    curl_easy_setopt(Handle, CURLOPT_OPENSOCKETFUNCTION, &rejectNewConnection);
  }
  Impl::ConnectionPool &Pool = Pimpl->poolOf(Request.Url);
  Transfer->Pool = &Pool;
  Pimpl->OpenTransfers[Handle] = std::move(Transfer);
  curl_multi_add_handle(Pool.Multi, Handle);
}

void AsyncHttpClient::run() {
  const Instant Now = SuspendAwareClock::now();
  for (Impl::ConnectionPool &Pool : Pimpl->Pools) {
    if (Pool.HasTimer && Now >= Pool.TimerAt) {
      Pool.HasTimer = false;
      Impl::notifySocket(Pool, CURL_SOCKET_TIMEOUT, 0);
    }
    Pimpl->processCompletedTransfers(Pool);
  }
}

Millis AsyncHttpClient::waitTime(Millis MaxWait) const {
  const Instant Now = SuspendAwareClock::now();
  Millis Wait = MaxWait;
  for (const Impl::ConnectionPool &Pool : Pimpl->Pools) {
    if (Pool.HasTimer) {
      Wait = std::clamp(Pool.TimerAt - Now, Millis{0}, Wait);
    }
  }
  return Wait;
}

} // namespace mulberryramp
