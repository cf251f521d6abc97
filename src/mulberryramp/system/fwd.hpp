#pragma once

#include "mulberryramp/core/fwd.hpp"

/// @file
/// @brief Forward declarations and limits of the system module.
///
/// The module holds the decisions of a data centre's leader over the ledger's
/// tables: admission, eligibility, placement, preemption and quarantine. It
/// reads the ledger and writes only the leader's volatile `CentreRuntime`; it
/// does not depend on replica, node, or on any clock, socket or thread.

namespace mulberryramp {

/// Maximum number of requests placed in one placement run.
inline constexpr std::size_t MaxPlacementsPerRun = 512;

struct WorkerRuntime;
struct CentreRuntime;

} // namespace mulberryramp
