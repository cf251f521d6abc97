#pragma once

/// @file
/// @brief Forward declarations of the telemetry module: metrics for
/// collectors.

namespace mulberryramp {

class Metrics;
struct MetricsInput;

} // namespace mulberryramp
