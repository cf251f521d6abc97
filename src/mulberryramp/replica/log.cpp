#include "mulberryramp/replica/internal.hpp"

#include "mulberryramp/replica/membership_codec.hpp"

#include <algorithm>
#include <utility>

/// @file
/// @brief The log of a member, its unsaved changes, and its election timer.

namespace mulberryramp::internal {

const Entry &entryAt(const Replica &State, LogIndex Index) {
  return State.Entries[Index - State.CompactedIndex - 1];
}

Term termAt(const Replica &State, LogIndex Index) {
  if (Index == State.CompactedIndex) {
    return State.CompactedTerm;
  }
  if (Index < State.CompactedIndex || Index > lastIndex(State)) {
    return 0;
  }
  return entryAt(State, Index).InTerm;
}

Term lastTerm(const Replica &State) { return termAt(State, lastIndex(State)); }

std::size_t quorum(const Replica &State) {
  return membership(State).Voters.size() / 2 + 1;
}

bool isWitness(const Replica &State, NodeId Node) {
  return State.Options.WitnessNodes.contains(Node);
}

void markHardStateDirty(Replica &State) {
  State.Unsaved.Hard = State.Hard;
  State.HasUnsaved = true;
}

void send(Replica &State, const Member &To, ReplicaBody Body) {
  State.Outbox.push_back({State.Group, State.Self, To, std::move(Body)});
}

void resetElectionTimer(Replica &State, Instant Now) {
  const auto JitterRange =
      State.Options.ElectionTimeoutMax - State.Options.ElectionTimeoutMin;
  const auto Jitter = Millis{
      State.Rng.below(static_cast<std::uint64_t>(JitterRange.count()) + 1)};
  const int Factor = isWitness(State, State.Self.Node) ? 3 : 1;
  State.ElectionDeadline =
      Now + (State.Options.ElectionTimeoutMin + Jitter) * Factor;
}

void becomeFollower(Replica &State, Instant Now, Term InTerm) {
  if (InTerm > State.Hard.CurrentTerm) {
    State.Hard.CurrentTerm = InTerm;
    State.Hard.VotedFor.reset();
    markHardStateDirty(State);
    State.Leader.reset();
  }
  if (State.Role == ReplicaRole::Leader) {
    State.Leader.reset();
  }
  State.Role = ReplicaRole::Follower;
  State.VotesReceived.clear();
  State.TransferTarget.reset();
  State.HasRequestedElection = false;
  State.IsLeaderTransfer = false;
  for (auto &[To, Peer] : State.Peers) {
    Peer.Transfer.reset();
  }
  resetElectionTimer(State, Now);
}

void recordMembership(Replica &State, const Entry &LogEntry) {
  if (LogEntry.Kind == EntryKind::Membership ||
      LogEntry.Kind == EntryKind::Recovery) {
    State.Memberships.push_back(
        {LogEntry.Index, decodeMembership(LogEntry.Data)});
  }
}

void appendEntry(Replica &State, Entry LogEntry) {
  recordMembership(State, LogEntry);
  State.Unsaved.Entries.push_back(LogEntry);
  State.Unsaved.Hard = State.Hard;
  State.HasUnsaved = true;
  State.Entries.push_back(std::move(LogEntry));
}

void truncateFrom(Replica &State, LogIndex Index) {
  while (lastIndex(State) >= Index) {
    State.Entries.pop_back();
  }
  while (State.Memberships.size() > 1 &&
         State.Memberships.back().Index >= Index) {
    State.Memberships.pop_back();
  }
  State.SavedIndex = std::min(State.SavedIndex, Index - 1);
  State.SavingIndex = std::min(State.SavingIndex, Index - 1);
  std::erase_if(State.Unsaved.Entries, [Index](const Entry &LogEntry) {
    return LogEntry.Index >= Index;
  });
  if (!State.Unsaved.NewSnapshot) {
    const LogIndex Earlier = State.Unsaved.TruncateFrom.value_or(Index);
    State.Unsaved.TruncateFrom = std::min(Earlier, Index);
  }
  markHardStateDirty(State);
}

void discardEntriesUpTo(Replica &State, LogIndex Index) {
  if (Index <= State.CompactedIndex) {
    return;
  }
  State.CompactedTerm = termAt(State, Index);
  const auto DiscardCount =
      static_cast<std::ptrdiff_t>(Index - State.CompactedIndex);
  State.Entries.erase(State.Entries.begin(),
                      State.Entries.begin() + DiscardCount);
  State.CompactedIndex = Index;
}

void setSnapshot(Replica &State, Snapshot Snap) {
  State.LatestSnapshot = std::move(Snap);
  State.AppliedBytes = 0;
  State.Unsaved = {};
  State.Unsaved.Hard = State.Hard;
  State.Unsaved.NewSnapshot = State.LatestSnapshot;
  for (const Entry &LogEntry : State.Entries) {
    if (LogEntry.Index > State.LatestSnapshot.Index) {
      State.Unsaved.Entries.push_back(LogEntry);
    }
  }
  State.HasUnsaved = true;
}

void appendAsLeader(Replica &State, EntryKind Kind, std::string Data) {
  appendEntry(State, {State.Hard.CurrentTerm, lastIndex(State) + 1, Kind,
                      std::move(Data)});
}

} // namespace mulberryramp::internal
