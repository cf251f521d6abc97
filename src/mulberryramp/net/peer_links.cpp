#include "mulberryramp/net/peer_links.hpp"

#include "mulberryramp/core/time.hpp"
#include "mulberryramp/wire/frame.hpp"

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>

#include <array>
#include <cerrno>
#include <list>
#include <map>
#include <netinet/tcp.h>
#include <utility>

namespace mulberryramp {

namespace internal {

constexpr std::size_t ReadChunkBytes = 65536;

bool wouldBlock() { return errno == EWOULDBLOCK || errno == EAGAIN; }

/// Receives the frames of one peer that dialled.
class InboundLink final : public ACE_Event_Handler {
public:
  InboundLink(ACE_Reactor &Loop, PeerLinks::PayloadHandler &OnPayload,
              LinkCounters &Counters)
      : ACE_Event_Handler{&Loop}, OnPayload{OnPayload}, Counters{Counters} {}

  ~InboundLink() override {
    if (IsOpen) {
      reactor()->remove_handler(this, READ_MASK | DONT_CALL);
      Stream.close();
    }
  }

  ACE_SOCK_Stream &stream() noexcept { return Stream; }
  [[nodiscard]] bool isOpen() const noexcept { return IsOpen; }

  bool start() {
    Stream.enable(ACE_NONBLOCK);
    IsOpen = reactor()->register_handler(this, READ_MASK) == 0;
    return IsOpen;
  }

  ACE_HANDLE get_handle() const override { return Stream.get_handle(); }

  int handle_input(ACE_HANDLE /*Handle*/) override {
    static thread_local std::array<char, ReadChunkBytes> Chunk;
    const ssize_t Got = Stream.recv(Chunk.data(), Chunk.size());
    if (Got < 0 && wouldBlock()) {
      return 0;
    }
    if (Got <= 0) {
      return -1;
    }
    Counters.BytesIn += static_cast<std::uint64_t>(Got);
    Reader.feed({Chunk.data(), static_cast<std::size_t>(Got)});
    return processFrames() ? 0 : -1;
  }

  int handle_close(ACE_HANDLE /*Handle*/, ACE_Reactor_Mask /*Mask*/) override {
    Stream.close();
    IsOpen = false;
    return 0;
  }

private:
  bool processFrames() {
    while (true) {
      auto Frame = Reader.next();
      if (!Frame) {
        Counters.MalformedFrames += 1;
        return false;
      }
      if (!*Frame) {
        return true;
      }
      if (!OnPayload(**Frame)) {
        Counters.MalformedFrames += 1;
        return false;
      }
    }
  }

  PeerLinks::PayloadHandler &OnPayload;
  LinkCounters &Counters;
  ACE_SOCK_Stream Stream;
  FrameReader Reader;
  bool IsOpen = false;
};

/// Sends frames to one peer that this daemon dials.
class OutboundLink final : public ACE_Event_Handler {
public:
  OutboundLink(ACE_Reactor &Loop, const Endpoint &Where, bool IsCrossRegion,
               LinkCounters &Counters)
      : ACE_Event_Handler{&Loop}, Where{Where},
        IsCrossRegion{IsCrossRegion}, Counters{Counters} {}

  ~OutboundLink() override { closeStream(); }

  ACE_HANDLE get_handle() const override { return Stream.get_handle(); }

  void send(const std::string &Frame) {
    const Instant Now = SuspendAwareClock::now();
    LastSendAt = Now;
    if (State == LinkState::Closed && Now >= NextDialAt) {
      dial(Now);
    }
    if (State == LinkState::Closed ||
        Queue.size() - Sent + Frame.size() > MaxQueuedBytes) {
      Counters.DroppedMessages += 1;
      return;
    }
    const bool WasEmpty = Queue.size() == Sent;
    if (WasEmpty) {
      ProgressAt = Now;
    }
    Queue += Frame;
    if (WasEmpty && State == LinkState::Open) {
      flush();
    }
  }

  [[nodiscard]] const Endpoint &where() const noexcept { return Where; }

  void tick(Instant Now) {
    if (State == LinkState::Open && Now - LastSendAt > LinkIdleTimeout) {
      closeStream();
      return;
    }
    const bool Waits = State == LinkState::Dialling || Queue.size() != Sent;
    if (State != LinkState::Closed && Waits &&
        Now - ProgressAt > LinkStallTimeout) {
      closeStream();
      NextDialAt = Now + RedialInterval;
    }
  }

  int handle_output(ACE_HANDLE /*Handle*/) override {
    if (State == LinkState::Dialling) {
      completeDial();
    }
    if (State == LinkState::Open) {
      flush();
    }
    return 0;
  }

  int handle_input(ACE_HANDLE /*Handle*/) override {
    std::array<char, 256> Ignored{};
    const ssize_t Got = Stream.recv(Ignored.data(), Ignored.size());
    if (Got == 0 || (Got < 0 && !wouldBlock())) {
      lose();
    }
    return 0;
  }

  int handle_close(ACE_HANDLE /*Handle*/, ACE_Reactor_Mask /*Mask*/) override {
    return 0;
  }

private:
  enum class LinkState : std::uint8_t { Closed, Dialling, Open };

  void dial(Instant Now) {
    Counters.DialAttempts += 1;
    ProgressAt = Now;
    NextDialAt = Now + RedialInterval;
    const ACE_INET_Addr Address{Where.Port, Where.Host.c_str()};
    ACE_SOCK_Connector Connector;
    const int Result =
        Connector.connect(Stream, Address, &ACE_Time_Value::zero);
    if (Result != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
      Stream.close();
      return;
    }
    State = LinkState::Dialling;
    Stream.enable(ACE_NONBLOCK);
    reactor()->register_handler(this, READ_MASK | WRITE_MASK);
  }

  void completeDial() {
    int Error = 0;
    int Size = sizeof(Error);
    Stream.get_option(SOL_SOCKET, SO_ERROR, &Error, &Size);
    if (Error != 0) {
      lose();
      return;
    }
    int Yes = 1;
    int UserTimeoutMs = static_cast<int>(LinkStallTimeout.count());
    Stream.set_option(IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof(Yes));
    Stream.set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs,
                      sizeof(UserTimeoutMs));
    State = LinkState::Open;
  }

  void flush() {
    while (Queue.size() != Sent) {
      const ssize_t Done =
          Stream.send(Queue.data() + Sent, Queue.size() - Sent);
      if (Done < 0 && wouldBlock()) {
        reactor()->mask_ops(this, READ_MASK | WRITE_MASK,
                            ACE_Reactor::SET_MASK);
        return;
      }
      if (Done <= 0) {
        lose();
        return;
      }
      Sent += static_cast<std::size_t>(Done);
      Counters.BytesOut += static_cast<std::uint64_t>(Done);
      Counters.CrossRegionBytesOut +=
          IsCrossRegion ? static_cast<std::uint64_t>(Done) : 0;
      ProgressAt = SuspendAwareClock::now();
    }
    Queue.clear();
    Sent = 0;
    reactor()->mask_ops(this, READ_MASK, ACE_Reactor::SET_MASK);
  }

  void lose() {
    closeStream();
    NextDialAt = SuspendAwareClock::now() + RedialInterval;
  }

  void closeStream() {
    if (State == LinkState::Closed) {
      return;
    }
    reactor()->remove_handler(this, READ_MASK | WRITE_MASK | DONT_CALL);
    Stream.close();
    State = LinkState::Closed;
    Queue.clear();
    Sent = 0;
  }

  Endpoint Where;
  bool IsCrossRegion;
  LinkCounters &Counters;
  ACE_SOCK_Stream Stream;
  LinkState State = LinkState::Closed;
  std::string Queue;
  std::size_t Sent = 0;
  Instant NextDialAt;
  Instant ProgressAt;
  Instant LastSendAt;
};

} // namespace internal

struct PeerLinks::Impl final : public ACE_Event_Handler {
  Impl(ACE_Reactor &Loop, PayloadHandler OnPayload)
      : ACE_Event_Handler{&Loop}, OnPayload{std::move(OnPayload)} {}

  ~Impl() override {
    if (IsListening) {
      reactor()->remove_handler(this, ACCEPT_MASK | DONT_CALL);
      Acceptor.close();
    }
  }

  ACE_HANDLE get_handle() const override { return Acceptor.get_handle(); }

  int handle_input(ACE_HANDLE /*Handle*/) override {
    auto Link = std::make_unique<internal::InboundLink>(*reactor(), OnPayload,
                                                        Counters);
    if (Acceptor.accept(Link->stream()) == 0 && Link->start()) {
      Inbound.push_back(std::move(Link));
    }
    return 0;
  }

  bool listen(const Endpoint &Where) {
    const ACE_INET_Addr Address{Where.Port, Where.Host.c_str()};
    if (Acceptor.open(Address, 1) != 0) {
      return false;
    }
    Acceptor.enable(ACE_NONBLOCK);
    IsListening = reactor()->register_handler(this, ACCEPT_MASK) == 0;
    return IsListening;
  }

  PayloadHandler OnPayload;
  LinkCounters Counters;
  ACE_SOCK_Acceptor Acceptor;
  bool IsListening = false;
  std::list<std::unique_ptr<internal::InboundLink>> Inbound;
  std::map<NodeId, std::unique_ptr<internal::OutboundLink>> Outbound;
};

PeerLinks::PeerLinks(std::unique_ptr<Impl> Pimpl) : Pimpl{std::move(Pimpl)} {}
PeerLinks::~PeerLinks() = default;

tl::expected<std::unique_ptr<PeerLinks>, std::string>
PeerLinks::open(const Endpoint &Where, ACE_Reactor &Loop,
                PayloadHandler OnPayload) {
  auto Pimpl = std::make_unique<Impl>(Loop, std::move(OnPayload));
  if (!Pimpl->listen(Where)) {
    return tl::make_unexpected("cannot listen for daemons on " + render(Where));
  }
  return std::unique_ptr<PeerLinks>{new PeerLinks{std::move(Pimpl)}};
}

void PeerLinks::setPeerAddress(NodeId Peer, const Endpoint &Where,
                               bool IsCrossRegion) {
  const auto Found = Pimpl->Outbound.find(Peer);
  if (Found != Pimpl->Outbound.end() && Found->second->where() == Where) {
    return;
  }
  Pimpl->Outbound[Peer] = std::make_unique<internal::OutboundLink>(
      *Pimpl->reactor(), Where, IsCrossRegion, Pimpl->Counters);
}

bool PeerLinks::hasPeer(NodeId Peer) const {
  return Pimpl->Outbound.contains(Peer);
}

void PeerLinks::send(NodeId Peer, std::string_view Payload) {
  const auto Found = Pimpl->Outbound.find(Peer);
  if (Found == Pimpl->Outbound.end()) {
    Pimpl->Counters.DroppedMessages += 1;
    return;
  }
  Found->second->send(makeFrame(Payload));
}

void PeerLinks::tick(Instant Now) {
  Pimpl->Inbound.remove_if([](const auto &Link) { return !Link->isOpen(); });
  for (auto &[Node, Link] : Pimpl->Outbound) {
    Link->tick(Now);
  }
}

const LinkCounters &PeerLinks::counters() const noexcept {
  return Pimpl->Counters;
}

} // namespace mulberryramp
