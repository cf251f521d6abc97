#pragma once

#include "mulberryramp/core/resources.hpp"

#include <string>
#include <tuple>
#include <vector>

namespace mulberryramp {

/// @brief An organisation whose callers submit jobs, each with one of its keys.
struct Organisation {
  std::string Name; ///< Unique within a configuration.
  /// SHA-256 digests of its API keys, see `sha256`. A key belongs to one
  /// organisation only.
  std::vector<std::string> KeyDigests;
  /// Share of the resources if there is too little room, relative to the other
  /// organisations. Also the rate of jobs, in jobs per second, that the
  /// organisation is owed.
  double Weight = 1;
  /// Resources that its tasks may use at the same time on all workers; an
  /// amount of 0 is no limit.
  Resources Cap;

  bool operator==(const Organisation &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&Organisation::Name, &Organisation::KeyDigests,
                           &Organisation::Weight, &Organisation::Cap);
  }
};

} // namespace mulberryramp
