#pragma once

#include "mulberryramp/system/view.hpp"

#include <cstddef>
#include <vector>

namespace mulberryramp {

/// @brief Order in which placement takes the queue.
enum class QueueOrder : std::uint8_t {
  Fair,   ///< By priority lifted by waiting, then by the shares of the teams.
  Arrival ///< By arrival, each request blocking those behind it.
};

/// @brief Names of the orders.
constexpr std::array<std::string_view, 2>
nameTable(QueueOrder /*Order*/) noexcept {
  return {"fair", "arrival"};
}

/// @brief How a worker is chosen among those with room.
enum class WorkerChoice : std::uint8_t {
  BestFit, ///< The least left, weighed by the customer's policy.
  FirstFit ///< The first in the table.
};

/// @brief Names of the choices.
constexpr std::array<std::string_view, 2>
nameTable(WorkerChoice /*Choice*/) noexcept {
  return {"best fit", "first fit"};
}

/// @brief Ways of placing; the defaults are what the daemon uses.
struct PlacementOptions {
  QueueOrder Order = QueueOrder::Fair;
  WorkerChoice Choice = WorkerChoice::BestFit;
  bool MayPreempt = true;    ///< Stop weaker work for classes that may.
  bool MayReserve = true;    ///< Keep workers for large requests.
  Millis ReserveAfter{3000}; ///< Waiting before workers are kept.
  std::size_t MaxPlacements =
      MaxPlacementsPerRun; ///< Requests placed in one run.
};

/// @brief Result of one run of placement.
struct PlacementRun {
  std::vector<Placement> Placements;
  std::vector<RequestId> Blocked; ///< Without a place, in order of the queue.
  std::size_t Considered = 0;     ///< Requests that were looked at.
};

/// @brief Chooses places for queued work.
/// @param Input Ledger, rules and time.
/// @param View The data centre; its held workers are renewed.
/// @param Options Ways of placing.
/// @return Placements that fit together.
[[nodiscard]] PlacementRun place(const DecisionInput &Input,
                                 CentreRuntime &Runtime,
                                 const PlacementOptions &Options);

} // namespace mulberryramp
