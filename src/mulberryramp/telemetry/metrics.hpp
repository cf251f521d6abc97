#pragma once

#include "mulberryramp/net/peer_links.hpp"
#include "mulberryramp/node/node.hpp"
#include "mulberryramp/telemetry/fwd.hpp"

#include <memory>
#include <string>

namespace mulberryramp {

/// @brief State from which the metrics are computed.
struct MetricsInput {
  const Node &Daemon;
  const LinkCounters &Links;
  Instant Now;
  std::size_t OpenRequests = 0; ///< HTTP requests in progress.
  std::uint64_t HttpBytes = 0;  ///< Bytes of HTTP bodies and paths.
};

/// @brief Metrics of a daemon, in the text format of Prometheus.
class Metrics {
public:
  Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;
  ~Metrics();

  /// @brief Adds a step of the daemon to the histogram of step times.
  /// @param Seconds Duration of the step.
  void observeStep(double Seconds);

  /// @brief Updates and renders all metrics.
  /// @param Input State from which the values are computed.
  /// @return The text.
  [[nodiscard]] std::string render(const MetricsInput &Input);

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
