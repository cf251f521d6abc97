#include "mulberryramp/storage/record_codec.hpp"

#include "mulberryramp/wire/codec.hpp"

#include <cstring>
#include <xxhash.h>

namespace mulberryramp {

namespace internal {

struct RecordHeader {
  std::uint64_t BodyBytes = 0;
  std::uint64_t BodySum = 0;
  std::uint64_t HeaderSum = 0;
};

static_assert(sizeof(RecordHeader) == RecordHeaderBytes);

std::uint64_t headerSum(const RecordHeader &Header) {
  return XXH3_64bits(&Header, sizeof(Header) - sizeof(Header.HeaderSum));
}

bool isZero(std::string_view Bytes) {
  return Bytes.find_first_not_of('\0') == std::string_view::npos;
}

/// Room for the fields of a snapshot besides its data and voters.
constexpr std::size_t SnapshotFieldBytes = 64;

void writeHeader(std::string &Record) {
  const std::string_view Body =
      std::string_view{Record}.substr(RecordHeaderBytes);
  RecordHeader Header;
  Header.BodyBytes = Body.size();
  Header.BodySum = XXH3_64bits(Body.data(), Body.size());
  Header.HeaderSum = headerSum(Header);
  std::memcpy(Record.data(), &Header, sizeof(Header));
}

template <typename T>
tl::expected<T, StorageError> decodeBody(std::string_view Body) {
  auto Value = decodeStored<T>(Body);
  if (!Value) {
    return tl::make_unexpected(StorageError{Value.error().Text});
  }
  return std::move(*Value);
}

} // namespace internal

std::string makeRecord(std::string_view Body) {
  std::string Record(RecordHeaderBytes, '\0');
  Record.append(Body);
  internal::writeHeader(Record);
  return Record;
}

std::string makeBatchRecord(const PersistBatch &Batch) {
  std::string Record(RecordHeaderBytes, '\0');
  encodeTo(Record, Batch);
  internal::writeHeader(Record);
  return Record;
}

std::string makeSnapshotRecord(const Snapshot &Snap) {
  std::string Record;
  Record.reserve(RecordHeaderBytes + internal::SnapshotFieldBytes +
                 Snap.Data.size());
  Record.assign(RecordHeaderBytes, '\0');
  encodeTo(Record, Snap);
  internal::writeHeader(Record);
  return Record;
}

tl::expected<RecordScan, StorageError> scanRecords(std::string_view Content) {
  RecordScan Scan;
  while (Content.size() - Scan.ValidBytes >= RecordHeaderBytes) {
    const std::string_view Rest = Content.substr(Scan.ValidBytes);
    internal::RecordHeader Header;
    std::memcpy(&Header, Rest.data(), sizeof(Header));
    if (Header.HeaderSum != internal::headerSum(Header)) {
      // A crash may leave a tail of zeros that was allocated but not written.
      if (internal::isZero(Rest)) {
        return Scan;
      }
      return tl::make_unexpected(StorageError{"damaged record header at byte " +
                                              std::to_string(Scan.ValidBytes)});
    }
    if (Header.BodyBytes > Rest.size() - RecordHeaderBytes) {
      return Scan;
    }
    const std::string_view Body =
        Rest.substr(RecordHeaderBytes, Header.BodyBytes);
    const bool IsLast = RecordHeaderBytes + Body.size() == Rest.size();
    if (XXH3_64bits(Body.data(), Body.size()) != Header.BodySum) {
      if (IsLast) {
        return Scan;
      }
      return tl::make_unexpected(StorageError{"damaged record at byte " +
                                              std::to_string(Scan.ValidBytes)});
    }
    Scan.Bodies.push_back(Body);
    Scan.ValidBytes += RecordHeaderBytes + Body.size();
  }
  return Scan;
}

std::string encodeBatch(const PersistBatch &Batch) { return encode(Batch); }

tl::expected<PersistBatch, StorageError> decodeBatch(std::string_view Body) {
  return internal::decodeBody<PersistBatch>(Body);
}

std::string encodeSnapshot(const Snapshot &Snap) { return encode(Snap); }

tl::expected<Snapshot, StorageError> decodeSnapshot(std::string_view Body) {
  return internal::decodeBody<Snapshot>(Body);
}

} // namespace mulberryramp
