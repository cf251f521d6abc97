#pragma once

#include "mulberryramp/cell/dispatcher.hpp"
#include "mulberryramp/job/organisation_accounts.hpp"

#include <map>
#include <string>

/// @file
/// @brief What each organisation uses and may use, during one planning pass.

namespace mulberryramp {

/// @brief Resources that one organisation uses.
struct OrganisationUse {
  /// Sum over its tasks that run or may still run, and over those that the
  /// current pass assigns.
  Resources Used;
  Resources Cap; ///< An amount of 0 is no limit.
  double Weight = 1;
  /// Part of `Cap` that a waiting gang keeps; other steps may not use it.
  Resources Held;
  std::uint32_t Tasks = 0;        ///< Number of tasks in `Used`.
  std::uint64_t WaitingTasks = 0; ///< Unassigned tasks of ready steps.
  bool IsHeldByCap = false; ///< Its cap held back a step of the current pass.
};

/// @brief Use of all organisations. Jobs without an organisation count as one
/// with an empty name, without a cap and with the mean weight.
struct OrganisationShares {
  std::map<std::string, OrganisationUse> Rows;
  Resources Total;       ///< Capacity of the schedulable workers.
  double MeanWeight = 1; ///< Of the organisations in the configuration.
};

/// @brief Collects the use of the organisations that have tasks. It includes
/// attempts that are presumed lost and may still run.
/// @param Total Capacity of the schedulable workers.
[[nodiscard]] OrganisationShares collectShares(const DispatchState &Dispatch,
                                               const CellState &State,
                                               const Resources &Total,
                                               Instant Now);

/// @brief Returns the row of an organisation; adds it if there is none.
/// References to rows stay valid.
OrganisationUse &rowOf(OrganisationShares &Shares, const CellState &State,
                       const std::string &Organisation);

/// @brief Tells whether tasks may start together without passing the cap of
/// their organisation. A single task larger than the cap may run alone.
/// @param Need Resources of one task.
/// @param Tasks Number of tasks.
[[nodiscard]] bool fitsInCap(const OrganisationUse &Use, const Resources &Need,
                             std::size_t Tasks);

/// @brief Computes the dominant share of an organisation divided by its weight.
[[nodiscard]] double weightedShare(const OrganisationUse &Use,
                                   const Resources &Total);

/// @brief Keeps part of the cap for a step with unplaced tasks, so that steps
/// which are planned later do not take what becomes free.
///
/// A gang would otherwise never find all of it free, nor would a task that is
/// larger than those of later steps. A gang that is larger than the cap keeps
/// nothing.
/// @return Whether the cap holds the step back.
[[nodiscard]] bool holdForStep(OrganisationUse &Use, const StepSpec &Step);

/// @brief Counts tasks that the current pass assigns.
void addTasks(OrganisationUse &Use, const Resources &Need, std::uint32_t Tasks);

/// @brief Stores the use of all organisations for metrics, and logs whose cap
/// starts or stops to hold back steps.
void reportShares(DispatchState &Dispatch, const OrganisationShares &Shares,
                  Instant Now);

} // namespace mulberryramp
