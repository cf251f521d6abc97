#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// @brief Seeded schedules of faults over the nodes of a cell and workers in
/// memory, in virtual time, with the promises about jobs as invariants.

namespace mulberryramp::test {

/// @brief What may go wrong in a schedule.
enum class CellFault : std::uint8_t {
  KillNode,        ///< A voter ends and starts again with its disk.
  WipeNode,        ///< A voter loses its disk.
  ReplaceNode,     ///< A voter is gone; an empty one comes under a new number.
  PauseNode,       ///< A voter stands still.
  PartitionNode,   ///< A voter is cut off from the other nodes.
  StallDisk,       ///< A disk answers nothing for a while.
  PartitionWorker, ///< Orders and reports of a worker are lost.
  RestartWorker,   ///< A worker comes back under its name, knowing nothing.
  DelayOrders,     ///< Orders get no answer and are carried out seconds later.
  LoseMessages,    ///< Messages between nodes get lost.
  PowerOff,        ///< All voters lose power at once.
  Cancel           ///< Callers cancel jobs.
};

/// @brief Names of the faults.
constexpr std::array<std::string_view, 12>
nameTable(CellFault /*Kind*/) noexcept {
  return {"kill-node",   "wipe-node",     "replace-node", "pause-node",
          "cut-node",    "stall-disk",    "cut-worker",   "restart-worker",
          "late-orders", "lose-messages", "power-off",    "cancel"};
}

/// @brief What a schedule is drawn from.
struct CellScheduleOptions {
  std::uint64_t Seed = 1;
  std::set<CellFault> Faults;
  bool IsTraced = false; ///< Prints what the nodes log.
};

/// @brief What a schedule showed.
struct CellScheduleResult {
  std::vector<std::string> Violations; ///< With the time in ms.
  std::uint64_t Submitted = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Starts = 0;
  std::uint64_t LeaderChanges = 0;
};

/// @brief Lists all faults.
[[nodiscard]] std::set<CellFault> allCellFaults();

/// @brief Plays a schedule.
[[nodiscard]] CellScheduleResult
runCellSchedule(const CellScheduleOptions &Options);

} // namespace mulberryramp::test
