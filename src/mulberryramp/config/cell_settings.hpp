#pragma once

#include "mulberryramp/config/settings.hpp"

#include <optional>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief Settings of one node of a cell. A node is identified by its IPv4
/// address and discovers the other nodes through the seeds.
struct CellSettings {
  std::string Name;
  std::string Host; ///< IPv4 address of this node.
  std::string Centre;
  std::string Region;
  std::optional<Endpoint> Callers;   ///< API of callers.
  std::optional<Endpoint> Readiness; ///< Readiness probes of the load balancer.
  std::optional<Endpoint> Control;   ///< API of workers and operators.
  std::optional<Endpoint> Metrics;
  std::uint16_t PeerPort = 0; ///< Of the peer protocol; the same on all nodes.
  std::uint16_t ControlPort = 0;  ///< Of `Control`; the same on all nodes.
  std::vector<std::string> Seeds; ///< IPv4 addresses of some voters.
  bool IsVoter = false;     ///< The node is a voter of the replicated log.
  bool IsBootstrap = false; ///< Bootstraps a new cell with the seeds as voters.
  std::string DataFolder;   ///< Required of a voter.
  std::uint32_t MaxVoterFailures = 1; ///< Simultaneous losses to tolerate.
  std::optional<Endpoint> Advisor;
  std::uint32_t Descriptors = 1024; ///< Descriptors that the process may open.
  std::uint32_t MemoryMb = 0;       ///< Memory of the process; 0: no limit.
  std::uint32_t DiskMb = 0;     ///< Size of the disk; 0: no limit or no disk.
  Millis Lease{5400};           ///< Lease that the leader requests of a worker.
  Millis MaxLease{6000};        ///< Maximum lease that a worker accepts.
  Millis ReportInterval{1500};  ///< Between reports of a worker.
  Millis Retention{125000};     ///< How long finished jobs are kept.
  Millis ShutdownTimeout{5000}; ///< From the request to shut down to the exit.
};

/// @brief Returns how many connections to workers a leader keeps open: half of
/// its descriptors; the others are for calls, peers and files. While workers
/// are unresponsive, orders occupy several connections to each. If idle
/// connections were closed then, renewals would find none to reuse.
[[nodiscard]] constexpr long
maxKeptConnections(std::uint32_t Descriptors) noexcept {
  return static_cast<long>(Descriptors) / 2;
}

/// @brief Computes how large the encoded jobs may become so that a voter can
/// hold, store and send them within its memory and disk.
/// @return The number of bytes; 0: no limit.
[[nodiscard]] std::uint64_t
maxStateBytes(const CellSettings &Settings) noexcept;

/// @brief Parses and validates the settings of a node.
/// @param Source Name of the file, reported in findings.
/// @param Text Content of the INI file.
/// @return The settings, or all findings.
[[nodiscard]] tl::expected<CellSettings, Findings>
parseCellSettings(const std::string &Source, const std::string &Text);

/// @brief Converts the IPv4 address of a node to its number.
/// @return The number, or 0 if the text is not an IPv4 address.
[[nodiscard]] NodeId nodeIdOf(const std::string &Host) noexcept;

/// @brief Converts the number of a node to its IPv4 address.
[[nodiscard]] std::string hostOf(NodeId Node);

} // namespace mulberryramp
