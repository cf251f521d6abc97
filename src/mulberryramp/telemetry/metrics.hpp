#pragma once

#include "mulberryramp/net/peer_links.hpp"
#include "mulberryramp/node/node.hpp"
#include "mulberryramp/telemetry/fwd.hpp"

#include <memory>
#include <string>

namespace mulberryramp {

/// @brief What the metrics are read from.
struct MetricsInput {
  const Node &Daemon;
  const LinkCounters &Links;
  Instant Now;
  std::size_t OpenRequests = 0; ///< HTTP requests without an answer.
  std::uint64_t HttpBytes = 0;
};

/// @brief Metrics of a daemon in the text format of Prometheus.
class Metrics {
public:
  Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;
  ~Metrics();

  /// @brief Notes how long a step of the daemon took.
  void observeStep(double Seconds);

  /// @brief Renders all metrics.
  /// @param Input Where the present values are read.
  /// @return The text.
  [[nodiscard]] std::string render(const MetricsInput &Input);

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
