#pragma once

#include "mulberryramp/storage/file_system.hpp"
#include "mulberryramp/storage/records.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace mulberryramp {

/// @brief Wraps a body with its length and checksums.
/// @param Body The body.
/// @return The record.
[[nodiscard]] std::string makeRecord(std::string_view Body);

/// @brief Bodies of a file, and where the last whole record ends.
struct RecordScan {
  std::vector<std::string> Bodies;
  std::size_t ValidBytes = 0;
};

/// @brief Reads the records of a file.
/// @param Content The file.
/// @return The whole records; a torn last record is left out, a damaged one
/// before the end is an error.
[[nodiscard]] tl::expected<RecordScan, StorageError>
scanRecords(std::string_view Content);

/// @brief Encodes a batch for the log.
[[nodiscard]] std::string encodeBatch(const PersistBatch &Batch);

/// @brief Decodes a batch from the log.
[[nodiscard]] tl::expected<PersistBatch, StorageError>
decodeBatch(std::string_view Body);

/// @brief Encodes a snapshot.
[[nodiscard]] std::string encodeSnapshot(const Snapshot &Snap);

/// @brief Decodes a snapshot.
[[nodiscard]] tl::expected<Snapshot, StorageError>
decodeSnapshot(std::string_view Body);

} // namespace mulberryramp
