#pragma once

/// @file
/// @brief Forward declarations of the telemetry module, which renders the
/// metrics of a daemon in the text format of Prometheus. It only reads the
/// state of other modules; only the daemons may depend on it.

namespace mulberryramp {

class Metrics;
struct MetricsInput;

} // namespace mulberryramp
