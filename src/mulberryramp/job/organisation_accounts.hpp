#pragma once

#include "mulberryramp/job/state.hpp"

#include <optional>

/// @file
/// @brief Accounts of the organisations in the replicated state of a cell: what
/// their assigned tasks use, and their buckets.

namespace mulberryramp {

/// @brief Finds the organisation of a job.
/// @return The organisation, or null if the job has none or the configuration
/// no longer has it; valid while the configuration is unchanged.
[[nodiscard]] const Organisation *findOwner(const CellState &State,
                                            const Job &JobRow);

/// @brief Finds the first gang of a job that is larger than a cap, so that it
/// could never run.
/// @return The index of its step, or nothing.
[[nodiscard]] std::optional<std::size_t>
findGangOverCap(const JobSpec &Spec, const Resources &Cap) noexcept;

/// @brief Returns what the assigned tasks of an organisation use.
[[nodiscard]] OrganisationLoad loadOf(const CellState &State,
                                      const std::string &Organisation);

/// @brief Counts a task of a step that was assigned.
void addLoad(CellState &State, const Job &JobRow, const StepSpec &Step);

/// @brief Removes a task of a step that is no longer assigned.
void removeLoad(CellState &State, const Job &JobRow, const StepSpec &Step);

/// @brief Computes all loads from the assigned tasks.
void rebuildLoads(CellState &State);

/// @brief Tells whether a task may start under the cap of its organisation. The
/// members of a gang start together, so those that are not assigned yet count
/// as well.
/// @param Key An existing task of the job.
[[nodiscard]] bool isUnderCap(const CellState &State, const Job &Owner,
                              const TaskKey &Key);

/// @brief Takes a job from the bucket of an organisation.
/// @return False if the organisation has submitted more than it is owed.
[[nodiscard]] bool takeOwedJob(CellState &State, const Organisation &Owner,
                               WallTime At);

/// @brief Tells whether an organisation is owed one more job; takes none.
[[nodiscard]] bool isOwedJob(const CellState &State, const Organisation &Owner,
                             WallTime At);

/// @brief Removes the buckets of organisations that the configuration no longer
/// has.
void pruneRates(CellState &State);

} // namespace mulberryramp
