#pragma once

#include "mulberryramp/storage/file_system.hpp"
#include "mulberryramp/storage/records.hpp"

#include <string>

namespace mulberryramp {

/// @brief Synced log and snapshot of one group in one folder.
///
/// A generation is a snapshot file and a log file; a new generation becomes
/// valid when its log file gets its name. A record holds one whole batch.
/// After an error the same batch may be written again; what the failed write
/// left behind is cut off first.
class GroupStore {
public:
  /// @brief Opens the folder of a group and reads what lasts.
  /// @param Files The files; they have to outlive the store.
  /// @param Folder Folder of the group.
  /// @param Found Receives the state; untouched on an error.
  /// @return The store, or the damage that was found.
  [[nodiscard]] static tl::expected<GroupStore, StorageError>
  open(FileSystem &Files, std::string Folder, StoredGroup &Stored);

  /// @brief Writes a batch and syncs it.
  /// @param Batch The batch.
  /// @return Nothing, or why the batch may not have lasted.
  [[nodiscard]] StorageStatus write(const PersistBatch &Batch);

private:
  GroupStore(FileSystem &Files, std::string Folder)
      : Files{&Files}, Folder{std::move(Folder)} {}

  [[nodiscard]] std::string logName(std::uint64_t Number) const;
  [[nodiscard]] std::string snapshotName(std::uint64_t Number) const;
  [[nodiscard]] StorageStatus startGeneration(const PersistBatch &Batch);
  [[nodiscard]] StorageStatus replaceFile(const std::string &Name,
                                          const std::string &Bytes);
  void removeGeneration(std::uint64_t Number);
  [[nodiscard]] StorageStatus truncateFailedWrite();

  FileSystem *Files;
  std::string Folder;
  std::uint64_t Generation = 0;
  std::size_t LogBytes = 0; ///< Synced bytes of the log file.
  bool HasFailed = false;   ///< Bytes behind `LogBytes` may be left over.
};

} // namespace mulberryramp
