#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

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
};

/// @brief Use of all organisations. Jobs without an organisation count as one
/// with an empty name, without a cap and with the mean weight.
struct OrganisationShares {
  std::map<std::string, OrganisationUse> Rows;
  Resources Total; ///< Capacity of the schedulable workers.
};

/// @brief Collects the use of all organisations. It includes attempts that are
/// presumed lost and may still run.
[[nodiscard]] OrganisationShares collectShares(const DispatchState &Dispatch,
                                               const CellState &State);

/// @brief Tells whether tasks may start together without passing the cap of
/// their organisation. A single task larger than the cap may run alone.
/// @param Need Resources of one task.
/// @param Tasks Number of tasks.
[[nodiscard]] bool fitsInCap(const OrganisationUse &Use, const Resources &Need,
                             std::size_t Tasks);

/// @brief Computes the dominant share of an organisation divided by its weight.
[[nodiscard]] double weightedShare(const OrganisationUse &Use,
                                   const Resources &Total);

} // namespace mulberryramp
