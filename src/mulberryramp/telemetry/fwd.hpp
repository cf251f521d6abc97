#pragma once

/// @file
/// @brief Forward declarations of the telemetry module, which renders the
/// metrics of the daemon in the text format of Prometheus. It only reads the
/// state of other modules; none of them may depend on it.

namespace mulberryramp {

class Metrics;
struct MetricsInput;

} // namespace mulberryramp
