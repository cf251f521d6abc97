#include "mulberryramp/node/hosted_group.hpp"

#include <utility>

namespace mulberryramp {

HostedGroup::HostedGroup(Replica Member, std::optional<GroupStore> Store,
                         GroupState &State)
    : Member{std::move(Member)}, Store{std::move(Store)}, State{&State} {
  this->State->onRestore(this->Member.LatestSnapshot.Data);
}

bool HostedGroup::applyCommitted() {
  bool HasApplied = false;
  State->onLeadership(Member);
  if (Member.HasNewSnapshot) {
    Member.HasNewSnapshot = false;
    State->onRestore(Member.LatestSnapshot.Data);
    HasApplied = true;
  }
  while (const Entry *LogEntry = nextCommitted(Member)) {
    State->onEntry(*LogEntry);
    HasApplied = true;
  }
  if (needsSnapshot(Member)) {
    compact(Member, State->snapshotData());
  }
  return HasApplied;
}

tl::expected<bool, StorageError> HostedGroup::save() {
  prepareSave(Member);
  if (!Member.HasUnsaved) {
    return false;
  }
  if (Store) {
    if (auto Written = Store->write(Member.Unsaved); !Written) {
      return tl::make_unexpected(Written.error());
    }
  }
  markSaved(Member);
  return true;
}

} // namespace mulberryramp
