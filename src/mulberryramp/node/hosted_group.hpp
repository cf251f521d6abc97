#pragma once

#include "mulberryramp/node/fwd.hpp"
#include "mulberryramp/replica/replica.hpp"
#include "mulberryramp/storage/group_store.hpp"

#include <functional>
#include <optional>
#include <string>

namespace mulberryramp {

/// @brief What a replicated state does with its log.
class GroupState {
public:
  virtual ~GroupState() = default;

  /// @brief Ends what waits for this daemon as the leader of an earlier term;
  /// called before entries are applied, which may be another leader's.
  virtual void onLeadership(const Replica &Member) = 0;
  /// @brief Applies a committed entry.
  virtual void onEntry(const Entry &LogEntry) = 0;
  /// @brief Replaces the state by a snapshot; an empty one means no state.
  virtual void onRestore(const std::string &Data) = 0;
  /// @brief Encodes the state as it is after the last applied entry.
  [[nodiscard]] virtual std::string snapshotData() const = 0;
};

/// @brief A replica with its disk, if there is one, and its state.
class HostedGroup {
public:
  /// @brief Hosts a group.
  /// @param Member The replica.
  /// @param Store Its disk, or nothing.
  /// @param State What the entries are applied to; has to outlive the group.
  HostedGroup(Replica Member, std::optional<GroupStore> Store,
              GroupState &State);

  /// @brief Reads the replica.
  [[nodiscard]] Replica &replica() noexcept { return Member; }
  /// @copydoc replica
  [[nodiscard]] const Replica &replica() const noexcept { return Member; }

  /// @brief Applies what is committed.
  /// @return True if anything was applied.
  bool applyCommitted();

  /// @brief Syncs what has to last before messages go out.
  /// @return True if anything was written, or why the disk failed.
  [[nodiscard]] tl::expected<bool, StorageError> save();

private:
  Replica Member;
  std::optional<GroupStore> Store;
  GroupState *State;
};

} // namespace mulberryramp
