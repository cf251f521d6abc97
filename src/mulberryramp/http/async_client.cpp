#include "mulberryramp/http/async_client.hpp"

#include "mulberryramp/core/time.hpp"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <curl/curl.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>

namespace mulberryramp {

namespace {

/// Data that is not acknowledged for this long means a silent peer.
constexpr long TcpUserTimeoutMs = 1500;
/// Idle connections that are kept open in all.
constexpr long MaxIdleConnections = 1200;
/// Finished handles that are kept for reuse.
constexpr std::size_t MaxIdleHandles = 64;
/// Sockets that are handled at a time.
constexpr int MaxEvents = 64;

struct HttpTransfer {
  CURL *Handle = nullptr;
  curl_slist *Headers = nullptr;
  std::string Body;
  std::string Received;
  AsyncHttpClient::Handler OnDone;
};

/// A socket on the poll.
struct WatchedSocket {
  unsigned Events = 0;
  bool IsInUse = false; ///< The library waits for its events.
};

std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *Into) {
  static_cast<std::string *>(Into)->append(Data, Size * Count);
  return Size * Count;
}

int setSocketOptions(void * /*Context*/, curl_socket_t Socket,
                     curlsocktype /*Purpose*/) {
  const unsigned Limit = TcpUserTimeoutMs;
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &Limit, sizeof(Limit));
  return CURL_SOCKOPT_OK;
}

curl_socket_t rejectNewConnection(void * /*Context*/, curlsocktype /*Purpose*/,
                                  curl_sockaddr * /*Address*/) {
  return CURL_SOCKET_BAD;
}

} // namespace

struct AsyncHttpClient::Impl final : public ACE_Event_Handler {
  explicit Impl(ACE_Reactor &Loop)
      : ACE_Event_Handler{&Loop}, Poll{::epoll_create1(EPOLL_CLOEXEC)} {
    Loop.register_handler(this, READ_MASK);
  }

  ~Impl() override {
    reactor()->remove_handler(this, READ_MASK | DONT_CALL);
    ::close(Poll);
  }

  ACE_HANDLE get_handle() const override { return Poll; }

  int handle_input(ACE_HANDLE /*Handle*/) override {
    std::array<epoll_event, MaxEvents> Events{};
    const int Count = ::epoll_wait(Poll, Events.data(), MaxEvents, 0);
    for (int Index = 0; Index < Count; ++Index) {
      const epoll_event &Event = Events[static_cast<std::size_t>(Index)];
      const auto Found = Watched.find(Event.data.fd);
      if (Found == Watched.end() || !Found->second.IsInUse) {
        unwatch(Event.data.fd);
        continue;
      }
      int Ready = 0;
      Ready |= (Event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
      Ready |= (Event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
      Ready |=
          (Event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
      notifySocket(Event.data.fd, Ready);
    }
    return 0;
  }

  void notifySocket(curl_socket_t Socket, int Events) {
    int Running = 0;
    curl_multi_socket_action(Multi, Socket, Events, &Running);
  }

  /// The sockets have a poll of their own, since they may be closed before
  /// they are taken off it.
  static int onSocket(CURL * /*Handle*/, curl_socket_t Socket, int What,
                      void *Self, void * /*Watched*/) {
    auto &Client = *static_cast<Impl *>(Self);
    if (What == CURL_POLL_REMOVE) {
      // Mostly the next request on the connection wants the same; until then
      // an event ends the watching.
      const auto Found = Client.Watched.find(Socket);
      if (Found != Client.Watched.end()) {
        Found->second.IsInUse = false;
      }
      return 0;
    }
    unsigned Wanted = 0;
    Wanted |= (What & CURL_POLL_IN) != 0 ? EPOLLIN : 0U;
    Wanted |= (What & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U;
    Client.watch(Socket, Wanted);
    return 0;
  }

  void watch(curl_socket_t Socket, unsigned Wanted) {
    const auto [Found, IsNew] = Watched.try_emplace(Socket);
    Found->second.IsInUse = true;
    if (!IsNew && Found->second.Events == Wanted) {
      return;
    }
    Found->second.Events = Wanted;
    epoll_event Event{};
    Event.data.fd = Socket;
    Event.events = Wanted;
    ::epoll_ctl(Poll, IsNew ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, Socket, &Event);
  }

  void unwatch(curl_socket_t Socket) {
    if (Watched.erase(Socket) != 0) {
      epoll_event Event{};
      ::epoll_ctl(Poll, EPOLL_CTL_DEL, Socket, &Event);
    }
  }

  static int onClose(void *Self, curl_socket_t Socket) {
    static_cast<Impl *>(Self)->unwatch(Socket);
    return ::close(Socket);
  }

  static int onTimer(CURLM * /*Multi*/, long Ms, void *Self) {
    auto &Client = *static_cast<Impl *>(Self);
    Client.HasTimer = Ms >= 0;
    Client.TimerAt = SuspendAwareClock::now() + Millis{std::max(Ms, 0L)};
    return 0;
  }

  CURL *takeHandle() {
    if (Idle.empty()) {
      return curl_easy_init();
    }
    CURL *Handle = Idle.back();
    Idle.pop_back();
    return Handle;
  }

  void finish(CURL *Handle, CURLcode Code) {
    const auto Found = Open.find(Handle);
    std::unique_ptr<HttpTransfer> Item = std::move(Found->second);
    Open.erase(Found);
    OutboundResponse Response;
    long Status = 0;
    curl_off_t Begun = 0;
    curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
    curl_easy_getinfo(Handle, CURLINFO_PRETRANSFER_TIME_T, &Begun);
    if (Code == CURLE_OK) {
      Response.Status = static_cast<int>(Status);
      Response.Body = std::move(Item->Received);
    } else {
      Response.IsUnsent = Code == CURLE_COULDNT_CONNECT || Begun == 0;
    }
    curl_multi_remove_handle(Multi, Handle);
    curl_slist_free_all(Item->Headers);
    if (Idle.size() < MaxIdleHandles) {
      curl_easy_reset(Handle);
      Idle.push_back(Handle);
    } else {
      curl_easy_cleanup(Handle);
    }
    Item->OnDone(std::move(Response));
  }

  void processCompletedTransfers() {
    int Left = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi, &Left)) {
      if (Message->msg == CURLMSG_DONE) {
        finish(Message->easy_handle, Message->data.result);
      }
    }
  }

  int Poll; ///< Descriptor that becomes readable when a socket is ready.
  CURLM *Multi = nullptr;
  bool HasTimer = false;
  Instant TimerAt;
  std::unordered_map<curl_socket_t, WatchedSocket> Watched;
  std::unordered_map<CURL *, std::unique_ptr<HttpTransfer>> Open;
  std::vector<CURL *> Idle;
};

AsyncHttpClient::AsyncHttpClient(ACE_Reactor &Loop, long MaxPerHost)
    : Pimpl{std::make_unique<Impl>(Loop)} {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  Pimpl->Multi = curl_multi_init();
  curl_multi_setopt(Pimpl->Multi, CURLMOPT_SOCKETFUNCTION, &Impl::onSocket);
  curl_multi_setopt(Pimpl->Multi, CURLMOPT_SOCKETDATA, Pimpl.get());
  curl_multi_setopt(Pimpl->Multi, CURLMOPT_TIMERFUNCTION, &Impl::onTimer);
  curl_multi_setopt(Pimpl->Multi, CURLMOPT_TIMERDATA, Pimpl.get());
  curl_multi_setopt(Pimpl->Multi, CURLMOPT_MAX_HOST_CONNECTIONS, MaxPerHost);
  curl_multi_setopt(Pimpl->Multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
}

AsyncHttpClient::~AsyncHttpClient() {
  for (auto &[Handle, Item] : Pimpl->Open) {
    curl_multi_remove_handle(Pimpl->Multi, Handle);
    curl_slist_free_all(Item->Headers);
    curl_easy_cleanup(Handle);
  }
  for (CURL *Handle : Pimpl->Idle) {
    curl_easy_cleanup(Handle);
  }
  curl_multi_cleanup(Pimpl->Multi);
}

void AsyncHttpClient::send(OutboundRequest Request, Handler OnDone) {
  auto Item = std::make_unique<HttpTransfer>();
  Item->Body = std::move(Request.Body);
  Item->OnDone = std::move(OnDone);
  Item->Handle = Pimpl->takeHandle();
  for (const std::string &Header : Request.Headers) {
    Item->Headers = curl_slist_append(Item->Headers, Header.c_str());
  }
  // Without this, bodies of 1 KiB and more wait for an interim answer.
  Item->Headers = curl_slist_append(Item->Headers, "Expect:");
  CURL *Handle = Item->Handle;
  curl_easy_setopt(Handle, CURLOPT_URL, Request.Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE,
                   static_cast<long>(Item->Body.size()));
  curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Item->Body.c_str());
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Item->Headers);
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Request.Timeout.count()));
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &appendBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Item->Received);
  curl_easy_setopt(Handle, CURLOPT_SOCKOPTFUNCTION, &setSocketOptions);
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETFUNCTION, &Impl::onClose);
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETDATA, Pimpl.get());
  if (Request.NeedsOpenConnection) {
    curl_easy_setopt(Handle, CURLOPT_OPENSOCKETFUNCTION, &rejectNewConnection);
  }
  Pimpl->Open[Handle] = std::move(Item);
  curl_multi_add_handle(Pimpl->Multi, Handle);
}

void AsyncHttpClient::run() {
  if (Pimpl->HasTimer && SuspendAwareClock::now() >= Pimpl->TimerAt) {
    Pimpl->HasTimer = false;
    Pimpl->notifySocket(CURL_SOCKET_TIMEOUT, 0);
  }
  Pimpl->processCompletedTransfers();
}

Millis AsyncHttpClient::waitTime(Millis Longest) const {
  if (!Pimpl->HasTimer) {
    return Longest;
  }
  const Millis Left = Pimpl->TimerAt - SuspendAwareClock::now();
  return std::clamp(Left, Millis{0}, Longest);
}

} // namespace mulberryramp
