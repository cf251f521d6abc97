#pragma once

#include "mulberryramp/config/settings.hpp"

#include <map>
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
  /// Losses at the same time that the cell has to survive, each of its kind:
  /// voters, data centres, and regions.
  std::uint32_t MaxVoterFailures = 1;
  std::uint32_t MaxCentreFailures = 0;
  std::uint32_t MaxRegionFailures = 0;
  /// Regions of the data centres that have voters, by name of the data centre.
  std::map<std::string, std::string> RegionsByCentre;
  std::optional<Endpoint> Advisor;
  std::uint32_t Descriptors = 1024; ///< Descriptors that the process may open.
  std::uint32_t MemoryMb = 0;       ///< Memory of the process; 0: no limit.
  std::uint32_t DiskMb = 0; ///< Size of the disk; 0: no limit or no disk.
  /// Jobs that cannot be served in useful time are refused. Set by the feature
  /// `pressure`.
  bool HasOverloadControl = false;
  /// Urgent jobs that have no room stop tasks of lower priorities.
  bool HasPreemption = false;
  /// Lease that the leader requests of a worker; by default at most `MaxLease`.
  Millis Lease{5400};
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

/// @brief Computes how many voters may be lost at the same time.
///
/// The lost data centres or regions are those with the most voters. Voters are
/// assumed to be spread evenly over the data centres, as the seeds are.
[[nodiscard]] std::size_t maxLostVoters(const CellSettings &Settings);

/// @brief Computes how large the encoded jobs may become so that a voter can
/// hold, store and send them within its memory and disk.
/// @return The number of bytes; 0: no limit.
[[nodiscard]] std::uint64_t
maxStateBytes(const CellSettings &Settings) noexcept;

/// @brief Returns the memory on which the limits for clients are based, in MB:
/// `MemoryMb`, or a default if there is no limit.
[[nodiscard]] std::uint32_t
memoryMbForClients(const CellSettings &Settings) noexcept;

/// @brief Returns how many bytes of requests and responses the clients of all
/// listeners together may hold: an eighth of the memory, at least 8 MiB.
[[nodiscard]] std::uint64_t clientBytes(const CellSettings &Settings) noexcept;

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
