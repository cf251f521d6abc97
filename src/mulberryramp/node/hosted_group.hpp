#pragma once

#include "mulberryramp/node/fwd.hpp"
#include "mulberryramp/replica/replica.hpp"
#include "mulberryramp/storage/group_store.hpp"

#include <functional>
#include <optional>
#include <string>

namespace mulberryramp {

/// @brief Interface of a replicated state machine to its group.
class GroupState {
public:
  virtual ~GroupState() = default;

  /// @brief Ends calls that this daemon accepted as the leader of an earlier
  /// term.
  ///
  /// It is called before entries are applied, because they may be those of
  /// another leader and must not answer these calls.
  virtual void onLeadership(const Replica &Member) = 0;
  /// @brief Applies a committed entry.
  virtual void onEntry(const Entry &LogEntry) = 0;
  /// @brief Replaces the state by a snapshot; empty data means the initial
  /// state.
  virtual void onRestore(const std::string &Data) = 0;
  /// @brief Encodes the state after the last applied entry.
  [[nodiscard]] virtual std::string snapshotData() const = 0;
};

/// @brief Replica with its state machine and, on a VM with a disk, its store.
class HostedGroup {
public:
  /// @brief Hosts a group.
  /// @param Member The replica.
  /// @param Store Its store, or nothing on a VM without a disk.
  /// @param State State machine of the entries; must outlive the group.
  HostedGroup(Replica Member, std::optional<GroupStore> Store,
              GroupState &State);

  /// @brief Returns the replica.
  [[nodiscard]] Replica &replica() noexcept { return Member; }
  /// @copydoc replica
  [[nodiscard]] const Replica &replica() const noexcept { return Member; }

  /// @brief Applies the committed entries and compacts the log when due.
  /// @return True if anything was applied.
  bool applyCommitted();

  /// @brief Persists unsaved changes; required before messages are sent.
  /// @return True if there were unsaved changes, or the storage error.
  [[nodiscard]] tl::expected<bool, StorageError> save();

private:
  Replica Member;
  std::optional<GroupStore> Store;
  GroupState *State;
};

} // namespace mulberryramp
