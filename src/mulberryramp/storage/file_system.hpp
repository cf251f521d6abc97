#pragma once

#include "mulberryramp/storage/fwd.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mulberryramp {

/// @brief Why a file could not be read, written or synced.
struct StorageError {
  std::string Text;
};

/// @brief Outcome of a call that gives nothing back.
using StorageStatus = tl::expected<void, StorageError>;

/// @brief Files below one data folder; the interface that tests replace.
///
/// Names are relative to the folder. Content lasts through a crash only after
/// `sync`, and a new or changed name only after `syncFolder`.
class FileSystem {
public:
  virtual ~FileSystem() = default;

  /// @brief Reads a whole file.
  [[nodiscard]] virtual tl::expected<std::string, StorageError>
  read(const std::string &Name) = 0;
  /// @brief Lists the files of a folder in order of name.
  [[nodiscard]] virtual tl::expected<std::vector<std::string>, StorageError>
  list(const std::string &Folder) = 0;
  /// @brief Creates or replaces a file.
  [[nodiscard]] virtual StorageStatus write(const std::string &Name,
                                            std::string_view Bytes) = 0;
  /// @brief Appends to a file.
  [[nodiscard]] virtual StorageStatus append(const std::string &Name,
                                             std::string_view Bytes) = 0;
  /// @brief Cuts a file to a size in bytes.
  [[nodiscard]] virtual StorageStatus truncate(const std::string &Name,
                                               std::size_t Bytes) = 0;
  /// @brief Makes the content of a file last.
  [[nodiscard]] virtual StorageStatus sync(const std::string &Name) = 0;
  /// @brief Makes the names in a folder last.
  [[nodiscard]] virtual StorageStatus syncFolder(const std::string &Folder) = 0;
  /// @brief Renames a file over another in one step.
  [[nodiscard]] virtual StorageStatus rename(const std::string &From,
                                             const std::string &To) = 0;
  /// @brief Removes a file.
  [[nodiscard]] virtual StorageStatus remove(const std::string &Name) = 0;
  /// @brief Creates a folder; succeeds if it is there.
  [[nodiscard]] virtual StorageStatus makeFolder(const std::string &Folder) = 0;
};

/// @brief Opens the files below a folder of the machine.
/// @param Root The data folder; it is created if missing.
/// @return The file system, or why the folder cannot be used.
[[nodiscard]] tl::expected<std::unique_ptr<FileSystem>, StorageError>
openDiskFiles(const std::string &Root);

} // namespace mulberryramp
