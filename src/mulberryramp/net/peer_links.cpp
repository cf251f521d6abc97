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

/// Maximum bytes that are read from a link at a time.
constexpr std::size_t ReadChunkBytes = 65536;

bool wouldBlock() { return errno == EWOULDBLOCK || errno == EAGAIN; }

/// Receives frames on a connection that a peer dialled.
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
    const ssize_t BytesRead = Stream.recv(Chunk.data(), Chunk.size());
    if (BytesRead < 0 && wouldBlock()) {
      return 0;
    }
    if (BytesRead <= 0) {
      return -1;
    }
    Counters.BytesIn += static_cast<std::uint64_t>(BytesRead);
    Reader.feed({Chunk.data(), static_cast<std::size_t>(BytesRead)});
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

/// Sends frames to one peer on a connection that this daemon dials. Nothing is
/// received on it; bytes that arrive are discarded.
class OutboundLink final : public ACE_Event_Handler {
public:
  OutboundLink(ACE_Reactor &Loop, const Endpoint &Address, bool IsCrossRegion,
               LinkCounters &Counters)
      : ACE_Event_Handler{&Loop}, Address{Address},
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
        SendBuffer.size() - SentBytes + Frame.size() > MaxQueuedBytes) {
      Counters.DroppedMessages += 1;
      return;
    }
    const bool WasEmpty = SendBuffer.size() == SentBytes;
    if (WasEmpty) {
      LastProgressAt = Now;
    }
    SendBuffer += Frame;
    if (WasEmpty && State == LinkState::Open) {
      flush();
    }
  }

  [[nodiscard]] const Endpoint &address() const noexcept { return Address; }

  void tick(Instant Now) {
    if (State == LinkState::Open && Now - LastSendAt > LinkIdleTimeout) {
      closeStream();
      return;
    }
    const bool IsWaiting =
        State == LinkState::Dialling || SendBuffer.size() != SentBytes;
    if (State != LinkState::Closed && IsWaiting &&
        Now - LastProgressAt > LinkStallTimeout) {
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
    const ssize_t BytesRead = Stream.recv(Ignored.data(), Ignored.size());
    if (BytesRead == 0 || (BytesRead < 0 && !wouldBlock())) {
      closeForRedial();
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
    LastProgressAt = Now;
    NextDialAt = Now + RedialInterval;
    const ACE_INET_Addr SocketAddress{Address.Port, Address.Host.c_str()};
    ACE_SOCK_Connector Connector;
    const int Result =
        Connector.connect(Stream, SocketAddress, &ACE_Time_Value::zero);
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
      closeForRedial();
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
    while (SendBuffer.size() != SentBytes) {
      const ssize_t BytesWritten = Stream.send(SendBuffer.data() + SentBytes,
                                               SendBuffer.size() - SentBytes);
      if (BytesWritten < 0 && wouldBlock()) {
        reactor()->mask_ops(this, READ_MASK | WRITE_MASK,
                            ACE_Reactor::SET_MASK);
        return;
      }
      if (BytesWritten <= 0) {
        closeForRedial();
        return;
      }
      SentBytes += static_cast<std::size_t>(BytesWritten);
      Counters.BytesOut += static_cast<std::uint64_t>(BytesWritten);
      Counters.CrossRegionBytesOut +=
          IsCrossRegion ? static_cast<std::uint64_t>(BytesWritten) : 0;
      LastProgressAt = SuspendAwareClock::now();
    }
    SendBuffer.clear();
    SentBytes = 0;
    reactor()->mask_ops(this, READ_MASK, ACE_Reactor::SET_MASK);
  }

  /// Closes the link after an error; the peer is dialled again after
  /// `RedialInterval`, when the next frame is sent.
  void closeForRedial() {
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
    SendBuffer.clear();
    SentBytes = 0;
  }

  Endpoint Address;
  bool IsCrossRegion;
  LinkCounters &Counters;
  ACE_SOCK_Stream Stream;
  LinkState State = LinkState::Closed;
  std::string SendBuffer;
  std::size_t SentBytes = 0; ///< Part of `SendBuffer` that has been sent.
  Instant NextDialAt;        ///< The peer is not dialled before this time.
  Instant LastProgressAt;    ///< Of the dial, or of sending the buffer.
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

  bool listen(const Endpoint &Address) {
    const ACE_INET_Addr SocketAddress{Address.Port, Address.Host.c_str()};
    if (Acceptor.open(SocketAddress, 1) != 0) {
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
PeerLinks::open(const Endpoint &Address, ACE_Reactor &Loop,
                PayloadHandler OnPayload) {
  auto Pimpl = std::make_unique<Impl>(Loop, std::move(OnPayload));
  if (!Pimpl->listen(Address)) {
    return tl::make_unexpected("cannot listen for daemons on " +
                               render(Address));
  }
  return std::unique_ptr<PeerLinks>{new PeerLinks{std::move(Pimpl)}};
}

void PeerLinks::setPeerAddress(NodeId Peer, const Endpoint &Address,
                               bool IsCrossRegion) {
  const auto It = Pimpl->Outbound.find(Peer);
  if (It != Pimpl->Outbound.end() && It->second->address() == Address) {
    return;
  }
  Pimpl->Outbound[Peer] = std::make_unique<internal::OutboundLink>(
      *Pimpl->reactor(), Address, IsCrossRegion, Pimpl->Counters);
}

bool PeerLinks::hasPeer(NodeId Peer) const {
  return Pimpl->Outbound.contains(Peer);
}

void PeerLinks::send(NodeId Peer, std::string_view Payload) {
  const auto It = Pimpl->Outbound.find(Peer);
  if (It == Pimpl->Outbound.end()) {
    Pimpl->Counters.DroppedMessages += 1;
    return;
  }
  It->second->send(makeFrame(Payload));
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
