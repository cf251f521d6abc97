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

/// @brief Counters of the links since the start of the daemon.
struct LinkCounters {
  std::uint64_t BytesOut = 0;
  std::uint64_t CrossRegionBytesOut =
      0; ///< Part of `BytesOut` to other regions.
  std::uint64_t BytesIn = 0;
  std::uint64_t DroppedMessages = 0; ///< Messages for links without room.
  std::uint64_t MalformedFrames = 0; ///< Frames that closed their link.
  std::uint64_t DialAttempts = 0;
};

/// @brief TCP links to other daemons; payloads may get lost, never damaged, and
/// nothing waits for a slow or silent peer. A link is dialled when it is first
/// used, and again when it is used after a loss.
class PeerLinks {
public:
  /// @brief Called with each payload; a link that sent what is refused by
  /// `false` is closed.
  using PayloadHandler = std::function<bool(std::string_view)>;

  /// @brief Listens.
  /// @param Where Address and port for other daemons.
  /// @param Loop The event loop.
  /// @param OnPayload Called with each payload.
  /// @return The links, or why the port cannot be used.
  [[nodiscard]] static tl::expected<std::unique_ptr<PeerLinks>, std::string>
  open(const Endpoint &Where, ACE_Reactor &Loop, PayloadHandler OnPayload);

  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;
  ~PeerLinks();

  /// @brief Names the address of a peer; a changed one closes its link.
  /// @param Peer The peer.
  /// @param Where Its address and port for other daemons.
  /// @param IsCrossRegion Bytes to it are counted as leaving the region.
  void setPeerAddress(NodeId Peer, const Endpoint &Where, bool IsCrossRegion);

  /// @brief Tells whether a peer has an address.
  [[nodiscard]] bool hasPeer(NodeId Peer) const;

  /// @brief Queues a payload, or drops it if the link has no room or the peer
  /// no address.
  void send(NodeId Peer, std::string_view Payload);

  /// @brief Gives up stalled links and closes unused ones.
  void tick(Instant Now);

  /// @brief Reads the counters.
  [[nodiscard]] const LinkCounters &counters() const noexcept;

private:
  struct Impl;
  explicit PeerLinks(std::unique_ptr<Impl> Pimpl);

  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
