#pragma once

#include "mulberryramp/system/runtime.hpp"

#include <cstddef>
#include <vector>

namespace mulberryramp {

/// @brief Order in which queued requests are placed.
enum class QueueOrder : std::uint8_t {
  Fair,   ///< By aged priority, then by the dominant shares of the teams.
  Arrival ///< By arrival; a blocked request blocks all later ones.
};

/// @brief Names of the orders, by value.
constexpr std::array<std::string_view, 2>
nameTable(QueueOrder /*Order*/) noexcept {
  return {"fair", "arrival"};
}

/// @brief How a worker is chosen among those with enough free resources.
enum class WorkerChoice : std::uint8_t {
  BestFit, ///< Least free resources left, weighted by the customer's policy.
  FirstFit ///< First in the table.
};

/// @brief Names of the choices, by value.
constexpr std::array<std::string_view, 2>
nameTable(WorkerChoice /*Choice*/) noexcept {
  return {"best fit", "first fit"};
}

/// @brief Options of a placement run; the daemon uses the defaults.
struct PlacementOptions {
  QueueOrder Order = QueueOrder::Fair;
  WorkerChoice Choice = WorkerChoice::BestFit;
  bool MayPreempt = true;    ///< Preempt for classes that allow it.
  bool MayReserve = true;    ///< Reserve workers for large requests.
  Millis ReserveAfter{3000}; ///< Waiting time before workers are reserved.
  /// Maximum number of requests placed in one run.
  std::size_t MaxPlacements = MaxPlacementsPerRun;
};

/// @brief Result of one placement run.
struct PlacementRun {
  std::vector<Placement> Placements;
  std::vector<RequestId> Blocked;   ///< Not placed, in queue order.
  std::size_t RequestsExamined = 0; ///< Requests that were tried.
};

/// @brief Chooses workers for queued tasks.
/// @param Input Ledger, rules and time.
/// @param Runtime State of the data centre; its reservations are updated.
/// @param Options Options of the run.
/// @return Placements that fit together, and the blocked requests.
[[nodiscard]] PlacementRun place(const DecisionInput &Input,
                                 CentreRuntime &Runtime,
                                 const PlacementOptions &Options);

} // namespace mulberryramp
