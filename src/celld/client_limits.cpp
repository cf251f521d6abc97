#include "celld/client_limits.hpp"

#include <algorithm>

namespace mulberryramp {

namespace {

/// Descriptors that a node opens for itself: two for each of the 64 connection
/// pools of its HTTP client, and those of listeners, files and the event loop.
constexpr std::size_t OwnDescriptors = 192;
/// Connections of clients if there are hardly more descriptors than that.
constexpr std::size_t MinConnections = 16;
/// Part of the other descriptors that clients may take. A voter needs half of
/// them for connections to workers (`maxKeptConnections`).
constexpr std::size_t ClientDescriptorShare = 2;
constexpr std::size_t VoterClientDescriptorShare = 4;
/// Part of the descriptors that links of other nodes may take.
constexpr std::size_t LinkDescriptorShare = 8;
/// Part of the memory that the buffers of connections may take.
constexpr std::uint64_t ConnectionMemoryShare = 8;
/// Part of the connections and bytes of readiness and metrics, each.
constexpr std::size_t ProbeShare = 16;
constexpr std::size_t MinProbeConnections = 4;

/// Divides what is left after both probes between callers and control.
template <typename Amount>
Amount mainShare(Amount Total, Amount Probe, std::size_t Listeners) {
  const Amount Rest = Total - std::min<Amount>(Total, 2 * Probe);
  return Rest / std::max<std::size_t>(Listeners, 1);
}

} // namespace

ClientLimits planClientLimits(const CellSettings &Settings) {
  const std::size_t Available =
      Settings.Descriptors -
      std::min<std::size_t>(Settings.Descriptors, OwnDescriptors);
  const std::size_t OfDescriptors =
      std::max(Available / (Settings.IsVoter ? VoterClientDescriptorShare
                                             : ClientDescriptorShare),
               MinConnections);
  const std::uint64_t OfMemory =
      (std::uint64_t{memoryMbForClients(Settings)} << 20U) /
      ConnectionMemoryShare / ConnectionBufferBytes;
  const std::size_t Connections =
      std::min<std::size_t>(OfDescriptors, OfMemory);
  const std::uint64_t HeldBytes = clientBytes(Settings);
  const std::size_t Listeners =
      (Settings.Callers ? 1U : 0U) + (Settings.Control ? 1U : 0U);
  const HttpLimits Probe{
      std::max(Connections / ProbeShare, MinProbeConnections),
      HeldBytes / ProbeShare};
  const HttpLimits Main{mainShare(Connections, Probe.MaxConnections, Listeners),
                        mainShare(HeldBytes, Probe.MaxHeldBytes, Listeners)};
  return {Main, Main, Probe, Probe, Settings.Descriptors / LinkDescriptorShare};
}

} // namespace mulberryramp
