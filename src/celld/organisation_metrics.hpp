#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

#include <prometheus/registry.h>

#include <set>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief Gauges of the organisations in the metrics of a cell node.
///
/// The number of series is bounded: the organisations beyond `MaxNamed` are
/// summed under the name "other". An organisation that uses nothing and waits
/// for nothing has no series. Jobs without an organisation are named "public".
class OrganisationMetrics {
public:
  static constexpr std::size_t MaxNamed = 32;

  /// @brief Sets the gauges in a registry.
  void update(prometheus::Registry &Registry,
              const std::vector<OrganisationStatus> &Organisations);

private:
  std::set<std::string> Named; ///< Organisations with series of their own.
  std::set<std::string> Shown; ///< Labels that the last update has set.
  std::string LeastServed;     ///< Label of that gauge; empty if there is none.
};

} // namespace mulberryramp
