#pragma once

#include "mulberryramp/core/fwd.hpp"

/// @file
/// @brief Forward declarations and limits of the system module.
///
/// The module holds the decisions of a data centre's leader over the ledger's
/// tables: admission, eligibility, placement, preemption and quarantine. It
/// never changes the ledger; what it remembers between runs is the leader's
/// volatile `CentreRuntime`. It does not depend on replica or node, nor on any
/// clock, socket or thread.

namespace mulberryramp {

/// @brief Maximum number of requests placed in one placement run.
inline constexpr std::size_t MaxPlacementsPerRun = 512;

struct WorkerRuntime;
struct CentreRuntime;

} // namespace mulberryramp
