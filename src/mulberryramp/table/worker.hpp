#pragma once

#include "mulberryramp/core/resources.hpp"
#include "mulberryramp/table/fwd.hpp"

#include <string>
#include <tuple>
#include <vector>

namespace mulberryramp {

/// @brief VM that runs tasks, as registered by its first poll.
struct Worker {
  std::string Name;
  std::uint64_t Incarnation = 0; ///< Identifies one run of the worker process.
  std::string Rack;
  Resources Capacity;
  Resources AssignedResources; ///< Sum of the resources of `Tasks`.
  std::vector<TaskId> Tasks;   ///< Tasks with an unfinished attempt here.
  bool IsDraining = false;

  static constexpr auto fields() {
    return std::make_tuple(&Worker::Name, &Worker::Incarnation, &Worker::Rack,
                           &Worker::Capacity, &Worker::AssignedResources,
                           &Worker::Tasks, &Worker::IsDraining);
  }
};

/// @brief Computes the free resources of a worker.
/// @param Row The worker.
/// @return Its capacity minus the assigned resources.
[[nodiscard]] constexpr Resources freeResources(const Worker &Row) noexcept {
  return Row.Capacity - Row.AssignedResources;
}

} // namespace mulberryramp
