#pragma once

#include "mulberryramp/storage/file_system.hpp"

#include <map>
#include <optional>
#include <string>

namespace mulberryramp::test {

/// @brief File system in memory that loses unsynced data in a simulated crash
/// and can fail calls.
class MemoryFiles final : public FileSystem {
public:
  [[nodiscard]] tl::expected<std::string, StorageError>
  read(const std::string &Name) override;
  [[nodiscard]] tl::expected<std::vector<std::string>, StorageError>
  list(const std::string &Folder) override;
  [[nodiscard]] StorageStatus write(const std::string &Name,
                                    std::string_view Bytes) override;
  [[nodiscard]] StorageStatus append(const std::string &Name,
                                     std::string_view Bytes) override;
  [[nodiscard]] StorageStatus truncate(const std::string &Name,
                                       std::size_t Bytes) override;
  [[nodiscard]] StorageStatus sync(const std::string &Name) override;
  [[nodiscard]] StorageStatus syncFolder(const std::string &Folder) override;
  [[nodiscard]] StorageStatus rename(const std::string &From,
                                     const std::string &To) override;
  [[nodiscard]] StorageStatus remove(const std::string &Name) override;
  [[nodiscard]] StorageStatus makeFolder(const std::string &Folder) override;

  /// @brief Discards unsynced data, as a crash of the VM does, and ends
  /// `failAfter`.
  /// @param TornBytes Unsynced bytes at the end of each file that survive, as
  /// in a torn write.
  void crash(std::size_t TornBytes);
  /// @brief Discards all files, as the loss of the disk does, and ends
  /// `failAfter`.
  void wipe();
  /// @brief Makes calls that change files fail once `Calls` more of them have
  /// succeeded. A failing append writes half of its bytes.
  void failAfter(std::size_t Calls) { CallsUntilFailure = Calls; }
  /// @brief Makes calls succeed again.
  void stopFailing() { CallsUntilFailure.reset(); }
  /// @brief Returns the number of calls so far that change files.
  [[nodiscard]] std::size_t calls() const { return Calls; }
  /// @brief Returns the current content of a file, for tests that damage it.
  /// Throws `std::out_of_range` if the file does not exist.
  [[nodiscard]] std::string &content(const std::string &Name) {
    return Current.at(Name);
  }
  /// @brief Returns the names of all current files.
  [[nodiscard]] std::vector<std::string> names() const;

private:
  [[nodiscard]] StorageStatus consumeCall();

  // Content by file name, as the process sees it.
  std::map<std::string, std::string> Current;
  // Synced content by current file name.
  std::map<std::string, std::string> SyncedContent;
  // Names and content that survive a crash.
  std::map<std::string, std::string> Durable;
  std::optional<std::size_t> CallsUntilFailure;
  std::size_t Calls = 0;
};

} // namespace mulberryramp::test
