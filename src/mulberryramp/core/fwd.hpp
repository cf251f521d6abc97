#pragma once

#include <chrono>
#include <cstdint>

/// @file
/// @brief Forward declarations and defaults of the core module: identifiers,
/// time, resources, findings, name tables and dense tables.

namespace mulberryramp {

using Millis = std::chrono::milliseconds;

struct SuspendAwareClock;

/// @brief A moment on the clock that goes on counting while a VM is suspended.
using Instant = std::chrono::time_point<SuspendAwareClock, Millis>;

/// @brief A moment of civil time, comparable between machines.
using WallTime = std::chrono::sys_time<Millis>;

/// @brief Number of a daemon in the deployment; 0 means no daemon.
using NodeId = std::uint32_t;

template <typename Value> struct Identifier;
template <typename Value> class Table;
struct Resources;
struct Finding;
class Findings;
class Random;

} // namespace mulberryramp
