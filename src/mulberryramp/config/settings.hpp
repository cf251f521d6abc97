#pragma once

#include "mulberryramp/config/fwd.hpp"
#include "mulberryramp/core/finding.hpp"
#include "mulberryramp/core/fwd.hpp"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace mulberryramp {

/// @brief IP number and port.
struct Endpoint {
  std::string Host;
  std::uint16_t Port = 0;

  bool operator==(const Endpoint &) const = default;
};

/// @brief Renders an endpoint as `host:port`.
[[nodiscard]] std::string render(const Endpoint &Where);

/// @brief One entry VM of the deployment.
struct NodeSettings {
  NodeId Id = 0;
  std::string Centre; ///< Data centre.
  std::string Region;
  Endpoint Peer;          ///< For other daemons.
  Endpoint Http;          ///< For callers, workers and operators.
  bool HasDisk = false;   ///< The VM keeps files.
  std::string WitnessFor; ///< Data centre it is a witness of, or none.
};

/// @brief Times that all daemons share.
struct TimingSettings {
  Millis Heartbeat{100};          ///< Between heartbeats in a data centre.
  Millis ElectionTimeoutMin{400}; ///< Shortest silence before an election.
  Millis ElectionTimeoutMax{700}; ///< Longest silence before an election.
  Millis ConfigHeartbeat{500};    ///< Between heartbeats across centres.
  Millis WorkerLease{12000};      ///< Lease of a worker after a reply.
  Millis WorkerWait{4000};        ///< Longest wait of a worker's poll.
  std::size_t SnapshotThreshold = 512;
};

/// @brief Settings of the whole deployment; the same file serves all daemons.
struct Settings {
  NodeId Self = 0;
  std::string DataFolder; ///< Empty on a VM without a disk.
  /// The operator has found that no other voter of the configuration group has
  /// kept its memory; set by a switch at the start, never by the file.
  bool AllowsUnsafeConfigRecovery = false;
  std::vector<NodeSettings> Nodes;
  TimingSettings Timing;
};

/// @brief Parses settings in INI and checks them whole.
/// @param Source Name of the file, for findings.
/// @param Text Content of the file.
/// @param Self Number of this daemon; 0 takes it from the file.
/// @return The settings, or all findings.
[[nodiscard]] tl::expected<Settings, Findings>
parseSettings(const std::string &Source, const std::string &Text, NodeId Self);

/// @brief Finds a node.
/// @return The node, or null if there is none of that number.
[[nodiscard]] const NodeSettings *findNode(const Settings &Config, NodeId Id);

/// @brief Lists the data centres in order of name.
[[nodiscard]] std::vector<std::string> centresOf(const Settings &Config);

/// @brief Chooses the home of a request alike on every daemon.
/// @param Centres The data centres; undefined if empty.
/// @param Customer The customer.
/// @param Key The key of the request.
/// @return The data centre with the highest hash (rendezvous hashing).
[[nodiscard]] std::string homeOf(const std::vector<std::string> &Centres,
                                 std::string_view Customer,
                                 std::string_view Key);

} // namespace mulberryramp
