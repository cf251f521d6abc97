#pragma once

#include "mulberryramp/config/settings.hpp"

#include <optional>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief Settings of one node of a cell. Nodes are named by their IP numbers
/// and find each other from seeds.
struct CellSettings {
  std::string Name;
  std::string Host; ///< Own IP number.
  std::string Centre;
  std::string Region;
  std::optional<Endpoint> Callers;   ///< For callers.
  std::optional<Endpoint> Readiness; ///< For the balancer.
  std::optional<Endpoint> Control;   ///< For workers and operators.
  std::optional<Endpoint> Metrics;
  std::uint16_t PeerPort = 0;     ///< For other nodes, the same on all.
  std::uint16_t ControlPort = 0;  ///< Of all nodes that serve `Control`.
  std::vector<std::string> Seeds; ///< IP numbers of some voters.
  bool IsVoter = false;           ///< The node keeps the log.
  bool IsBootstrap = false; ///< The seeds are the first voters of a new cell.
  std::string DataFolder;   ///< Of a voter.
  std::uint32_t MaxVoterFailures = 1; ///< Voters that may be lost at once.
  std::optional<Endpoint> Advisor;
  Millis Lease{4000};
  Millis MaxLease{6000}; ///< Longest lease that workers grant.
  Millis ReportInterval{1500};
  Millis Retention{125000};
  Millis ShutdownTimeout{5000}; ///< From the request to end until the end.
};

/// @brief Reads the settings of a node.
/// @param Source Name of the file, for findings.
/// @param Text Content of the file.
/// @return The settings, or all findings.
[[nodiscard]] tl::expected<CellSettings, Findings>
parseCellSettings(const std::string &Source, const std::string &Text);

/// @brief Numbers a node by its IP number.
/// @return The number, or 0 if the text is no IP number.
[[nodiscard]] NodeId nodeIdOf(const std::string &Host) noexcept;

/// @brief Renders the IP number of a node.
[[nodiscard]] std::string hostOf(NodeId Node);

} // namespace mulberryramp
