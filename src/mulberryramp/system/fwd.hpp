#pragma once

#include "mulberryramp/core/fwd.hpp"

/// @file
/// @brief Forward declarations and defaults of the system module: decisions of
/// a leader over the tables of its data centre.

namespace mulberryramp {

inline constexpr std::size_t MaxPlacementsPerRun = 512;

struct WorkerRuntime;
struct CentreRuntime;

} // namespace mulberryramp
