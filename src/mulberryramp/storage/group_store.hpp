#pragma once

#include "mulberryramp/storage/file_system.hpp"
#include "mulberryramp/storage/records.hpp"

#include <string>

namespace mulberryramp {

/// @brief Durable log and snapshot of one group, in one folder.
///
/// A generation consists of a snapshot file and a log file. A new generation
/// becomes valid when its log file is renamed to its final name. Each record
/// holds one complete batch, so a batch is stored entirely or not at all.
/// After an error the same batch may be written again; a partial record of the
/// failed write is truncated first.
class GroupStore {
public:
  /// @brief Opens the folder of a group and reads its stored state.
  ///
  /// An incomplete last record is truncated, and files of other generations
  /// are removed.
  /// @param Files The file system; must outlive the store.
  /// @param Folder Folder of the group.
  /// @param Stored Receives the state; unchanged on an error.
  /// @return The store, or an error if the files are damaged or unreadable.
  [[nodiscard]] static tl::expected<GroupStore, StorageError>
  open(FileSystem &Files, std::string Folder, StoredGroup &Stored);

  /// @brief Writes a batch and syncs it; a batch with a snapshot starts a new
  /// generation.
  /// @param Batch The batch.
  /// @return Nothing, or an error after which the batch may not be durable.
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
  std::size_t LogBytes = 0;     ///< Synced bytes of the log file.
  bool HasPartialWrite = false; ///< The log may hold bytes after `LogBytes`.
};

} // namespace mulberryramp
