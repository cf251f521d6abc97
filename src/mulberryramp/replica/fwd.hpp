#pragma once

#include "mulberryramp/storage/fwd.hpp"

/// @file
/// @brief Forward declarations and defaults of the replica module: agreement
/// of a group on one log.

namespace mulberryramp {

inline constexpr std::size_t MaxAppendBytes = std::size_t{256} * 1024;

struct ReplicaOptions;
struct Replica;
struct ReplicaMessage;

} // namespace mulberryramp
