#pragma once

#include "mulberryramp/storage/fwd.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryramp {

/// @brief Reason for a failed file operation or for unusable stored data.
struct StorageError {
  std::string Text;
};

/// @brief Result of a file operation that returns no value.
using StorageStatus = tl::expected<void, StorageError>;

/// @brief Interface to the files below one data folder; tests replace it.
///
/// Names are relative to the folder. Content survives a crash only after
/// `sync`, and a new or changed name only after `syncFolder`.
class FileSystem {
public:
  virtual ~FileSystem() = default;

  /// @brief Reads a whole file.
  [[nodiscard]] virtual tl::expected<std::string, StorageError>
  read(const std::string &Name) = 0;
  /// @brief Lists the names in a folder, sorted.
  [[nodiscard]] virtual tl::expected<std::vector<std::string>, StorageError>
  list(const std::string &Folder) = 0;
  /// @brief Writes a file; creates it or replaces its content.
  [[nodiscard]] virtual StorageStatus write(const std::string &Name,
                                            std::string_view Bytes) = 0;
  /// @brief Appends to a file; creates it if missing.
  [[nodiscard]] virtual StorageStatus append(const std::string &Name,
                                             std::string_view Bytes) = 0;
  /// @brief Truncates a file to a size in bytes.
  [[nodiscard]] virtual StorageStatus truncate(const std::string &Name,
                                               std::size_t Bytes) = 0;
  /// @brief Makes the content of a file durable.
  [[nodiscard]] virtual StorageStatus sync(const std::string &Name) = 0;
  /// @brief Makes the names in a folder durable.
  [[nodiscard]] virtual StorageStatus syncFolder(const std::string &Folder) = 0;
  /// @brief Renames a file; atomically replaces an existing target.
  [[nodiscard]] virtual StorageStatus rename(const std::string &From,
                                             const std::string &To) = 0;
  /// @brief Removes a file.
  [[nodiscard]] virtual StorageStatus remove(const std::string &Name) = 0;
  /// @brief Creates a folder and its parents; succeeds if it exists.
  [[nodiscard]] virtual StorageStatus makeFolder(const std::string &Folder) = 0;
};

/// @brief Opens a data folder on the local disk.
/// @param Root The data folder; it is created if missing.
/// @return The file system, or why the folder cannot be used.
[[nodiscard]] tl::expected<std::unique_ptr<FileSystem>, StorageError>
openDiskFiles(const std::string &Root);

} // namespace mulberryramp
