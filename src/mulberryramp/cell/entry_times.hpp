#pragma once

#include "mulberryramp/job/state.hpp"
#include "mulberryramp/storage/fwd.hpp"

#include <map>

/// @file
/// @brief Times at which this node applied the entries that time bounds count
/// from.
///
/// A bound that counts from the election of a leader begins anew with each
/// leader, so that a series of elections extends it without limit. Every node
/// therefore notes when it applied such an entry, and a new leader counts from
/// there. No node applies an entry before it was proposed, so these bounds
/// never end too early. They end late on a node that applied the entry late,
/// such as one that restarted.

namespace mulberryramp {

/// @brief When this node applied an entry.
struct EntryTime {
  Instant AppliedAt;
  Term InTerm = 0; ///< Term of the entry; 0 if it came with a snapshot.
};

/// @brief Times of entries, kept by each voter whether it leads or not.
struct EntryTimes {
  /// Registration of each worker instance.
  std::map<WorkerInstanceId, EntryTime> Registrations;
  /// Last suspension of the leases of a worker, until they are resumed.
  std::map<WorkerInstanceId, EntryTime> LeaseSuspensions;
  /// Last crash of a worker under each unfinished task.
  std::map<TaskKey, Instant> Crashes;
};

/// @brief Notes the effects of an applied command.
/// @param State The state, which already has the effects.
void noteChange(EntryTimes &Times, const CellState &State,
                const CellChange &Change, EntryTime At);

/// @brief Notes a state that was restored from a snapshot. All that it holds
/// counts from then on.
void noteRestore(EntryTimes &Times, const CellState &State, Instant Now);

} // namespace mulberryramp
