#pragma once

#include "mulberryramp/storage/file_system.hpp"

#include <map>
#include <optional>
#include <string>

namespace mulberryramp::test {

/// @brief Files in memory that forget what was not synced.
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

  /// @brief Drops what was not synced, as a crash of the VM does.
  /// @param TornBytes Unsynced bytes of each file that last all the same.
  void crash(std::size_t TornBytes);
  /// @brief Drops everything, as a lost disk does.
  void wipe();
  /// @brief Lets the calls that change files fail after some more of them.
  void failAfter(std::size_t Calls) { CallsUntilFailure = Calls; }
  /// @brief Ends `failAfter`.
  void stopFailing() { CallsUntilFailure.reset(); }
  /// @brief Counts the calls that change files.
  [[nodiscard]] std::size_t calls() const { return Calls; }
  /// @brief Gives the present content of a file to a test that damages it.
  [[nodiscard]] std::string &content(const std::string &Name) {
    return Live.at(Name);
  }
  /// @brief Lists all files.
  [[nodiscard]] std::vector<std::string> names() const;

private:
  [[nodiscard]] StorageStatus consumeCall();

  std::map<std::string, std::string> Live;
  std::map<std::string, std::string> Synced;  ///< Content by present name.
  std::map<std::string, std::string> Lasting; ///< Names and content on disk.
  std::optional<std::size_t> CallsUntilFailure;
  std::size_t Calls = 0;
};

} // namespace mulberryramp::test
