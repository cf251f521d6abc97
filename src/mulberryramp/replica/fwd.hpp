#pragma once

#include "mulberryramp/storage/fwd.hpp"

/// @file
/// @brief Forward declarations and defaults of the replica module: agreement
/// of a group on one log.

namespace mulberryramp {

inline constexpr std::size_t MaxAppendBytes = 256U * 1024U;

struct ReplicaOptions;
struct Replica;
struct ReplicaMessage;

} // namespace mulberryramp
