#pragma once

#include "mulberryramp/core/resources.hpp"
#include "mulberryramp/table/fwd.hpp"

#include <string>
#include <tuple>
#include <vector>

namespace mulberryramp {

/// @brief A VM that runs tasks, as it announced itself.
struct Worker {
  std::string Name;
  std::uint64_t Incarnation = 0; ///< One life of the worker's process.
  std::string Rack;
  Resources Capacity;
  Resources Granted;         ///< Sum of the needs of `Tasks`.
  std::vector<TaskId> Tasks; ///< Tasks with an attempt here that is not over.
  bool IsDraining = false;

  static constexpr auto fields() {
    return std::make_tuple(&Worker::Name, &Worker::Incarnation, &Worker::Rack,
                           &Worker::Capacity, &Worker::Granted, &Worker::Tasks,
                           &Worker::IsDraining);
  }
};

/// @brief Computes what a worker has left.
/// @param Row The worker.
/// @return Capacity less what is granted.
[[nodiscard]] constexpr Resources freeResources(const Worker &Row) noexcept {
  return Row.Capacity - Row.Granted;
}

} // namespace mulberryramp
