#pragma once

#include "mulberryramp/core/resources.hpp"
#include "mulberryramp/job/fwd.hpp"

#include <string>
#include <vector>

namespace mulberryramp {

/// @brief What a worker says of itself.
struct WorkerReport {
  std::string Name;
  std::int64_t StartTimeMs =
      0; ///< Civil time of its start; tells its lives apart.
  std::string Pool;
  std::string Address; ///< `host:port` for orders.
  std::string Centre;  ///< Data centre.
  std::string Rack;
  std::vector<std::string> Labels;
  Resources Capacity;
  bool IsDraining = false;
  Millis Remaining{0};        ///< Least time that a draining worker has left.
  std::uint64_t Sequence = 0; ///< Rises with each report of a life.
  std::int64_t Clock = 0;     ///< Steady clock of the worker, in ms.

  bool operator==(const WorkerReport &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&WorkerReport::Name, &WorkerReport::StartTimeMs,
                           &WorkerReport::Pool, &WorkerReport::Address,
                           &WorkerReport::Centre, &WorkerReport::Rack,
                           &WorkerReport::Labels, &WorkerReport::Capacity,
                           &WorkerReport::IsDraining, &WorkerReport::Remaining,
                           &WorkerReport::Sequence, &WorkerReport::Clock);
  }
};

/// @brief One life of a worker, from its start to its end.
struct WorkerInstance {
  WorkerReport Report; ///< Clock and sequence are those of the first.
  Resources Used;      ///< Of all tasks that are assigned to it.
  std::uint64_t LastAckedEnd = 0; ///< Ends up to this number are in the state.
  std::uint32_t Tasks = 0;        ///< Assigned tasks.

  static constexpr auto fields() {
    return std::make_tuple(&WorkerInstance::Report, &WorkerInstance::Used,
                           &WorkerInstance::LastAckedEnd,
                           &WorkerInstance::Tasks);
  }
};

} // namespace mulberryramp
