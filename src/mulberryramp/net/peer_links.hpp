#pragma once

#include "mulberryramp/config/settings.hpp"
#include "mulberryramp/net/fwd.hpp"
#include "mulberryramp/node/call.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

class ACE_Reactor;

namespace mulberryramp {

/// @brief Counters of the links since the start of the daemon.
struct LinkCounters {
  std::uint64_t BytesOut = 0;
  std::uint64_t BytesOutOfRegion = 0; ///< Part of `BytesOut` to other regions.
  std::uint64_t BytesIn = 0;
  std::uint64_t Dropped = 0;   ///< Messages for links without room.
  std::uint64_t Malformed = 0; ///< Frames that closed their link.
  std::uint64_t Redials = 0;
};

/// @brief TCP links to all other daemons; messages may get lost, never
/// damaged, and nothing waits for a slow or silent peer.
class PeerLinks {
public:
  using MessageHandler = std::function<void(PeerMessage)>;

  /// @brief Listens and begins to dial.
  /// @param Deployment The settings.
  /// @param Loop The event loop.
  /// @param OnMessage Called with each message.
  /// @return The links, or why the port cannot be used.
  [[nodiscard]] static tl::expected<std::unique_ptr<PeerLinks>, std::string>
  open(const Settings &Deployment, ACE_Reactor &Loop, MessageHandler OnMessage);

  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;
  ~PeerLinks();

  /// @brief Queues a message, or drops it if the link has no room.
  void send(const PeerMessage &Message);

  /// @brief Dials lost peers again and gives up stalled links.
  void tick(Instant Now);

  /// @brief Reads the counters.
  [[nodiscard]] const LinkCounters &counters() const noexcept;

private:
  struct Impl;
  explicit PeerLinks(std::unique_ptr<Impl> Parts);

  std::unique_ptr<Impl> Parts;
};

} // namespace mulberryramp
