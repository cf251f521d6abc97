#pragma once

#include "mulberryramp/config/settings.hpp"
#include "mulberryramp/net/fwd.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

class ACE_Reactor;

namespace mulberryramp {

/// @brief What the links that other daemons dialled may hold. Beyond it, links
/// without a valid payload so far are closed before others.
struct LinkLimits {
  /// Open links; the one without a frame for the longest time is closed.
  std::size_t MaxInbound = 512;
  /// Bytes of incomplete frames; the link whose frame has been incomplete for
  /// the longest time is closed.
  std::size_t MaxInboundBytes = 2 * MaxQueuedBytes;
};

/// @brief Counters of all links since the start of the daemon.
struct LinkCounters {
  std::uint64_t BytesOut = 0;
  /// Part of `BytesOut` that was sent to other regions.
  std::uint64_t CrossRegionBytesOut = 0;
  std::uint64_t BytesIn = 0;
  /// Messages to unknown peers, or on links that were closed or full.
  std::uint64_t DroppedMessages = 0;
  /// Invalid frames; each of them closed its link.
  std::uint64_t MalformedFrames = 0;
  std::uint64_t DialAttempts = 0;
  /// Links that `LinkLimits` or `FrameTimeout` closed.
  std::uint64_t LimitHits = 0;
  std::uint64_t InboundBytes = 0; ///< Memory for incomplete frames.
};

/// @brief TCP links to other daemons. A payload may be lost, but is never
/// delivered damaged, and a slow or unresponsive peer never blocks the caller.
/// A link is dialled when the first payload is sent, and again when one is sent
/// after the link was closed. Each daemon sends only on links that it dialled
/// itself and receives only on links that its peers dialled.
class PeerLinks {
public:
  /// @brief Called with each received payload. The link is closed if the
  /// function returns `false`, which means that the payload is malformed.
  using PayloadHandler = std::function<bool(std::string_view)>;

  /// @brief Starts to listen for other daemons.
  /// @param Address Address and port to listen on.
  /// @param Loop The event loop; must outlive the links.
  /// @param OnPayload Called with each received payload.
  /// @param Limits What the links of other daemons may hold.
  /// @return The links, or the reason that the port cannot be used.
  [[nodiscard]] static tl::expected<std::unique_ptr<PeerLinks>, std::string>
  open(const Endpoint &Address, ACE_Reactor &Loop, PayloadHandler OnPayload,
       const LinkLimits &Limits = {});

  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;
  ~PeerLinks();

  /// @brief Sets the address of a peer. If it differs from the current one, the
  /// link to the peer is closed and its queued payloads are lost.
  /// @param Peer The peer.
  /// @param Address Address and port on which the peer listens for daemons.
  /// @param IsCrossRegion Whether the peer is in another region; only used to
  /// count bytes.
  void setPeerAddress(NodeId Peer, const Endpoint &Address, bool IsCrossRegion);

  /// @brief Tells whether the address of a peer has been set.
  [[nodiscard]] bool hasPeer(NodeId Peer) const;

  /// @brief Queues a payload. It is dropped if the address of the peer is not
  /// set, if the link is closed and cannot be dialled yet, or if more than
  /// `MaxQueuedBytes` would be queued.
  void send(NodeId Peer, std::string_view Payload);

  /// @brief Closes stalled and idle links, and those with a frame that does not
  /// become complete; call it regularly.
  /// @param Now Current monotonic time.
  void tick(Instant Now);

  /// @brief Returns the counters of all links.
  [[nodiscard]] const LinkCounters &counters() const noexcept;

private:
  struct Impl;
  explicit PeerLinks(std::unique_ptr<Impl> Pimpl);

  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
