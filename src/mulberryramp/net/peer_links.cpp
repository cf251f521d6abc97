#include "mulberryramp/net/peer_links.hpp"

#include "mulberryramp/core/time.hpp"
#include "mulberryramp/wire/frame.hpp"

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <functional>
#include <list>
#include <map>
#include <netinet/tcp.h>
#include <utility>

namespace mulberryramp {

namespace internal {

/// Maximum bytes that are read from a link at a time.
constexpr std::size_t ReadChunkBytes = 65536;
/// Links that are accepted at a time, and that the kernel queues until then.
/// The opening packet of a further one would be dropped.
constexpr int MaxAccepts = 128;

bool wouldBlock() { return errno == EWOULDBLOCK || errno == EAGAIN; }

/// Receives frames on a connection that a peer dialled.
class InboundLink final : public ACE_Event_Handler {
public:
  /// Called when the memory of the links has grown.
  using GrowthHandler = std::function<void()>;

  InboundLink(ACE_Reactor &Loop, PeerLinks::PayloadHandler &OnPayload,
              GrowthHandler OnGrowth, LinkCounters &Counters, Instant Now)
      : ACE_Event_Handler{&Loop}, OnPayload{OnPayload},
        OnGrowth{std::move(OnGrowth)}, Counters{Counters}, LastFrameAt{Now} {}

  ~InboundLink() override { close(); }

  /// Closes the link and frees its buffer.
  void close() {
    if (IsHandlingInput) {
      MustClose = true; // The reactor closes it after the call.
    } else if (IsOpen) {
      reactor()->remove_handler(this, READ_MASK | DONT_CALL);
      handle_close(get_handle(), READ_MASK);
    }
  }

  [[nodiscard]] std::size_t heldBytes() const { return Reader.heldBytes(); }
  /// Tells whether a frame has been incomplete for longer than `FrameTimeout`.
  [[nodiscard]] bool isFrameLate(Instant Now) const {
    return Reader.hasPartialFrame() && Now - PartialSince > FrameTimeout;
  }
  /// Tells whether a valid payload has arrived.
  [[nodiscard]] bool isTrusted() const noexcept { return IsTrusted; }
  /// Time of the last complete frame, at first of the connection.
  [[nodiscard]] Instant lastFrameAt() const noexcept { return LastFrameAt; }

  ACE_SOCK_Stream &stream() noexcept { return Stream; }
  [[nodiscard]] bool isOpen() const noexcept { return IsOpen && !MustClose; }

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
    const std::size_t HeldBefore = Reader.heldBytes();
    const bool HadPartialFrame = Reader.hasPartialFrame();
    const Instant LastFrameBefore = LastFrameAt;
    Reader.feed({Chunk.data(), static_cast<std::size_t>(BytesRead)});
    const bool IsValid = processFrames();
    Counters.InboundBytes += Reader.heldBytes() - HeldBefore;
    if (Reader.hasPartialFrame() &&
        (!HadPartialFrame || LastFrameAt != LastFrameBefore)) {
      PartialSince = SuspendAwareClock::now();
    }
    if (Reader.heldBytes() > HeldBefore) {
      IsHandlingInput = true;
      OnGrowth();
      IsHandlingInput = false;
    }
    return IsValid && !MustClose ? 0 : -1;
  }

  int handle_close(ACE_HANDLE /*Handle*/, ACE_Reactor_Mask /*Mask*/) override {
    Stream.close();
    Counters.InboundBytes -= Reader.heldBytes();
    Reader = FrameReader{};
    Counters.InboundBytes += Reader.heldBytes();
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
      IsTrusted = true;
      LastFrameAt = SuspendAwareClock::now();
    }
  }

  PeerLinks::PayloadHandler &OnPayload;
  GrowthHandler OnGrowth;
  LinkCounters &Counters;
  ACE_SOCK_Stream Stream;
  FrameReader Reader;
  Instant LastFrameAt;
  Instant PartialSince; ///< Begin of the partial frame, if there is one.
  bool IsTrusted = false;
  bool IsOpen = false;
  bool IsHandlingInput = false;
  bool MustClose = false;
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
  Impl(ACE_Reactor &Loop, PayloadHandler OnPayload, const LinkLimits &Limits)
      : ACE_Event_Handler{&Loop}, OnPayload{std::move(OnPayload)},
        Limits{Limits} {}

  ~Impl() override {
    if (IsListening) {
      reactor()->remove_handler(this, ACCEPT_MASK | DONT_CALL);
      Acceptor.close();
    }
  }

  ACE_HANDLE get_handle() const override { return Acceptor.get_handle(); }

  int handle_input(ACE_HANDLE /*Handle*/) override {
    for (int Accepted = 0; Accepted < internal::MaxAccepts; ++Accepted) {
      auto Link = std::make_unique<internal::InboundLink>(
          *reactor(), OnPayload, [this] { closeHoldingLinks(); }, Counters,
          SuspendAwareClock::now());
      if (Acceptor.accept(Link->stream()) != 0) {
        break;
      }
      if (Link->start()) {
        Inbound.push_back(std::move(Link));
        closeExcessLinks();
      }
    }
    return 0;
  }

  /// Finds the link without a complete frame for the longest time; those
  /// without any valid payload come first.
  template <typename Predicate>
  internal::InboundLink *findLeastActive(const Predicate &IsCandidate) {
    internal::InboundLink *Found = nullptr;
    for (const auto &Link : Inbound) {
      if (Link->isOpen() && IsCandidate(*Link) &&
          (Found == nullptr ||
           std::pair{Link->isTrusted(), Link->lastFrameAt()} <
               std::pair{Found->isTrusted(), Found->lastFrameAt()})) {
        Found = Link.get();
      }
    }
    return Found;
  }

  void closeForLimit(internal::InboundLink &Link) {
    Counters.LimitHits += 1;
    Link.close();
  }

  void closeExcessLinks() {
    const auto OpenLinks = static_cast<std::size_t>(
        std::count_if(Inbound.begin(), Inbound.end(),
                      [](const auto &Link) { return Link->isOpen(); }));
    if (OpenLinks > Limits.MaxInbound) {
      closeForLimit(
          *findLeastActive([](const internal::InboundLink &) { return true; }));
    }
  }

  void closeHoldingLinks() {
    std::uint64_t Held = Counters.InboundBytes;
    while (Held > Limits.MaxInboundBytes) {
      auto *Link = findLeastActive([](const internal::InboundLink &Candidate) {
        return Candidate.heldBytes() > internal::ReadChunkBytes;
      });
      if (Link == nullptr) {
        return;
      }
      Held -= Link->heldBytes();
      closeForLimit(*Link);
    }
  }

  bool listen(const Endpoint &Address) {
    const ACE_INET_Addr SocketAddress{Address.Port, Address.Host.c_str()};
    if (Acceptor.open(SocketAddress, 1, PF_INET, internal::MaxAccepts) != 0) {
      return false;
    }
    Acceptor.enable(ACE_NONBLOCK);
    IsListening = reactor()->register_handler(this, ACCEPT_MASK) == 0;
    return IsListening;
  }

  PayloadHandler OnPayload;
  LinkLimits Limits;
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
                PayloadHandler OnPayload, const LinkLimits &Limits) {
  auto Pimpl = std::make_unique<Impl>(Loop, std::move(OnPayload), Limits);
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
  for (const auto &Link : Pimpl->Inbound) {
    if (Link->isOpen() && Link->isFrameLate(Now)) {
      Pimpl->closeForLimit(*Link);
    }
  }
  Pimpl->Inbound.remove_if([](const auto &Link) { return !Link->isOpen(); });
  for (auto &[Node, Link] : Pimpl->Outbound) {
    Link->tick(Now);
  }
}

const LinkCounters &PeerLinks::counters() const noexcept {
  return Pimpl->Counters;
}

} // namespace mulberryramp
