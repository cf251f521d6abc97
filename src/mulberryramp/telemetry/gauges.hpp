#pragma once

#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <cstdint>
#include <string>

namespace mulberryramp {

/// @brief Registry of gauges whose values are set before each rendering.
struct Gauges {
  prometheus::Registry Registry;

  /// @brief Sets the value of a gauge and creates the gauge at the first call.
  /// @param Name Name of the metric.
  /// @param Help Help text; must be the same in all calls for the metric.
  /// @param Value New value.
  void set(const char *Name, const char *Help, double Value) {
    prometheus::BuildGauge()
        .Name(Name)
        .Help(Help)
        .Register(Registry)
        .Add({})
        .Set(Value);
  }

  /// @copydoc set
  void set(const char *Name, const char *Help, std::uint64_t Value) {
    set(Name, Help, static_cast<double>(Value));
  }

  /// @brief Renders all metrics in the text format of Prometheus.
  [[nodiscard]] std::string render() const {
    return prometheus::TextSerializer{}.Serialize(Registry.Collect());
  }
};

} // namespace mulberryramp
