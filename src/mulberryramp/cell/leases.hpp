#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

/// @file
/// @brief Leases of workers: until when an attempt may run.
///
/// A worker ends all its tasks with its lease, so that the tasks of an
/// unresponsive worker are started elsewhere only then. The bound has to hold
/// for orders that a former leader sent, and for those that reach the next
/// instance of a worker late. It may not begin anew with each leader: the end
/// of the lease of an unresponsive worker is recorded in the log.

namespace mulberryramp {

/// @brief A worker counts as unresponsive after this many consecutive misses: a
/// single order may get lost.
inline constexpr std::uint32_t UnresponsiveAfterMisses = 2;

/// @brief Computes the longest time from sending an order to the end of its
/// lease, with clock drift and margin.
/// @param Lease Length of the lease on the worker clock.
[[nodiscard]] Millis leaseBound(const DispatchOptions &Options, Millis Lease);

/// @brief Sets the bounds on the leases of a worker at the beginning of its
/// session.
void openLease(const DispatchState &Dispatch, WorkerSession &Session,
               WorkerInstanceId Id, const WorkerInstance &Worker, Instant Now);

/// @brief Extends the lease of a worker from now. The lease ends at a time of
/// the worker clock. It is computed from a lower bound of that clock, so that
/// no task outlives the lease by more than the clock drift.
/// @return End of the lease on the worker clock, in ms.
std::int64_t extendLease(const DispatchState &Dispatch, WorkerSession &Session,
                         Instant Now);

/// @brief Tells whether a lease may be granted to a worker: its clock is known
/// and its leases are not suspended.
[[nodiscard]] bool mayGrantLease(const WorkerSession &Session) noexcept;

/// @brief Handles an answer of the instance to an order that carried its own
/// fencing token: from then on it refuses orders for previous instances.
void onFenceAccepted(const DispatchState &Dispatch, WorkerSession &Session,
                     Instant Now);

/// @brief Returns the time after which an attempt does not run on its worker.
[[nodiscard]] Instant runBound(const WorkerSession &Session,
                               const TaskLaunch &Launch) noexcept;

/// @brief Presumes the attempts lost that cannot run any more on their worker,
/// except those whose start order is still unanswered.
void expireLeases(DispatchState &Dispatch, const CellState &State, Instant Now,
                  WallTime WallNow);

/// @brief Proposes to suspend the leases of workers that have become
/// unresponsive, and to resume those of workers that respond again.
void proposeLeaseChanges(DispatchState &Dispatch, const CellState &State,
                         Instant Now);

/// @brief Handles leases that were resumed.
void onLeasesResumed(DispatchState &Dispatch,
                     const std::vector<WorkerInstanceId> &Workers, Instant Now);

/// @brief Computes the fencing token of the orders for a worker instance. It
/// rises with the term of the leader and, within a term, with each instance, so
/// that an instance which has accepted an order refuses those for a previous
/// one.
[[nodiscard]] std::uint64_t
fencingTokenOf(Term LeaderTerm, const WorkerInstance &Worker) noexcept;

} // namespace mulberryramp
