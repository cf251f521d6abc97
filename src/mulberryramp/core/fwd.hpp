#pragma once

#include <chrono>
#include <cstdint>

/// @file
/// @brief Forward declarations of the core module.
///
/// The module holds basic types for all others: identifiers, time, resources,
/// findings, name tables and dense tables. It depends on no other module.

namespace mulberryramp {

/// @brief Duration in whole milliseconds.
using Millis = std::chrono::milliseconds;

struct SuspendAwareClock;

/// @brief A time point of the clock that keeps counting while a VM is
/// suspended.
using Instant = std::chrono::time_point<SuspendAwareClock, Millis>;

/// @brief A wall clock time, comparable between machines.
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
