#pragma once

#include "mulberryramp/storage/file_system.hpp"
#include "mulberryramp/storage/records.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace mulberryramp {

/// @brief Builds a record: a header with length and checksums, then the body.
[[nodiscard]] std::string makeRecord(std::string_view Body);

/// @brief Builds the record of a batch.
[[nodiscard]] std::string makeBatchRecord(const PersistBatch &Batch);

/// @brief Builds the record of a snapshot. The data is copied once.
[[nodiscard]] std::string makeSnapshotRecord(const Snapshot &Snap);

/// @brief Result of reading the records of a file.
struct RecordScan {
  /// Bodies of the complete records, within the content that was read.
  std::vector<std::string_view> Bodies;
  std::size_t ValidBytes = 0; ///< Bytes up to the end of the last one.
};

/// @brief Reads the records of a file.
/// @param Content Content of the file.
/// @return The complete records without an incomplete last one, which a crash
/// may leave; an error if a record before the end is damaged.
[[nodiscard]] tl::expected<RecordScan, StorageError>
scanRecords(std::string_view Content);

/// @brief Encodes a batch as the body of a log record.
[[nodiscard]] std::string encodeBatch(const PersistBatch &Batch);

/// @brief Decodes a batch from the body of a log record.
[[nodiscard]] tl::expected<PersistBatch, StorageError>
decodeBatch(std::string_view Body);

/// @brief Encodes a snapshot as the body of a record.
[[nodiscard]] std::string encodeSnapshot(const Snapshot &Snap);

/// @brief Decodes a snapshot from the body of a record.
[[nodiscard]] tl::expected<Snapshot, StorageError>
decodeSnapshot(std::string_view Body);

} // namespace mulberryramp
