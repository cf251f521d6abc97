#pragma once

#include "celld/http_listeners.hpp"
#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/net/peer_links.hpp"

#include <memory>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief Metrics of a cell node, in the text format of Prometheus.
class CellMetrics {
public:
  CellMetrics();
  CellMetrics(const CellMetrics &) = delete;
  CellMetrics &operator=(const CellMetrics &) = delete;
  ~CellMetrics();

  /// @brief Adds a call to the histogram of call times.
  /// @param Seconds Time from the call to its answer.
  void observeCall(double Seconds);

  /// @brief Counts a call of a caller by its outcome: served (also if its queue
  /// or job does not exist), unauthenticated or refused.
  void countCall(CellVerdict Verdict);

  /// @brief Updates and renders all metrics.
  /// @param Node Current state of the node.
  /// @param Links Counters of the links to other nodes.
  /// @param StorageFailures Failed writes since the start.
  /// @param Clients What the clients of each listener hold.
  /// @return The text.
  [[nodiscard]] std::string
  render(const CellNodeStatus &Node, const LinkCounters &Links,
         std::uint64_t StorageFailures,
         const std::vector<HttpListeners::ListenerUsage> &Clients = {});

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
