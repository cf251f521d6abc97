#pragma once

#include "mulberryramp/config/fwd.hpp"
#include "mulberryramp/core/finding.hpp"
#include "mulberryramp/core/fwd.hpp"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace mulberryramp {

/// @brief IPv4 address and port.
struct Endpoint {
  std::string Host;
  std::uint16_t Port = 0;

  bool operator==(const Endpoint &) const = default;
};

/// @brief Renders an endpoint as `host:port`.
[[nodiscard]] std::string render(const Endpoint &Address);

/// @brief Settings of a daemon and of the frontend VM that runs it.
struct NodeSettings {
  NodeId Id = 0;
  std::string Centre; ///< Name of the data centre.
  std::string Region;
  Endpoint Peer;          ///< Listen address for other daemons.
  Endpoint Http;          ///< Listen address of the HTTP API.
  bool HasDisk = false;   ///< The VM has a persistent disk.
  std::string WitnessFor; ///< Data centre it is a witness of, or empty.
};

/// @brief Timeouts and intervals; the same on all daemons.
struct TimingSettings {
  Millis Heartbeat{100};               ///< Heartbeat interval in a data centre.
  Millis ElectionTimeoutMin{400};      ///< Lower bound of the random timeout.
  Millis ElectionTimeoutMax{700};      ///< Upper bound of the random timeout.
  Millis ConfigHeartbeat{500};         ///< Heartbeat interval across centres.
  Millis WorkerLease{12000};           ///< Lease granted by a reply to a poll.
  Millis WorkerWait{4000};             ///< Maximum duration of a long poll.
  std::size_t SnapshotThreshold = 512; ///< Log entries between snapshots.
};

/// @brief Settings of the deployment; all daemons read the same file.
struct Settings {
  NodeId Self = 0;        ///< Number of this daemon.
  std::string DataFolder; ///< Empty on a VM without a disk.
  /// Permits an unsafe recovery of the configuration group. The operator must
  /// have verified that all other voters have lost their state. Set by a
  /// command line flag only, never by the file.
  bool AllowsUnsafeConfigRecovery = false;
  std::vector<NodeSettings> Nodes;
  TimingSettings Timing;
};

/// @brief Parses and validates the settings.
/// @param Source Name of the file, reported in findings.
/// @param Text Content of the INI file.
/// @param Self Number of this daemon; if 0, the file specifies it.
/// @return The settings, or all findings.
[[nodiscard]] tl::expected<Settings, Findings>
parseSettings(const std::string &Source, const std::string &Text, NodeId Self);

/// @brief Finds a node by its number.
/// @return The node, or null if the settings don't list it.
[[nodiscard]] const NodeSettings *findNode(const Settings &Config, NodeId Id);

/// @brief Lists the names of the data centres in ascending order.
[[nodiscard]] std::vector<std::string> centresOf(const Settings &Config);

/// @brief Chooses the home of a request by rendezvous hashing, so that every
/// daemon chooses the same data centre.
/// @param Centres Names of the data centres; must not be empty.
/// @param Customer Customer of the request.
/// @param Key Key of the request.
/// @return The data centre with the highest hash.
[[nodiscard]] std::string homeOf(const std::vector<std::string> &Centres,
                                 std::string_view Customer,
                                 std::string_view Key);

} // namespace mulberryramp
