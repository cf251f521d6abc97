#pragma once

#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/net/peer_links.hpp"

#include <memory>
#include <string>

namespace mulberryramp {

/// @brief Metrics of a node of a cell in the text format of Prometheus.
class CellMetrics {
public:
  CellMetrics();
  CellMetrics(const CellMetrics &) = delete;
  CellMetrics &operator=(const CellMetrics &) = delete;
  ~CellMetrics();

  /// @brief Notes how long a call took, in seconds.
  void observeCall(double Seconds);

  /// @brief Renders all metrics.
  [[nodiscard]] std::string render(const CellNodeView &Node,
                                   const LinkCounters &Links,
                                   std::uint64_t StorageFailures);

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
