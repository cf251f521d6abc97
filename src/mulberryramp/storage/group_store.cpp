#include "mulberryramp/storage/group_store.hpp"

#include "mulberryramp/storage/record_codec.hpp"

#include <algorithm>
#include <charconv>

namespace mulberryramp {

namespace internal {

constexpr std::string_view LogPrefix = "log-";
constexpr std::string_view SnapshotPrefix = "snapshot-";
/// Digits of a generation in a file name, padded with zeros.
constexpr int GenerationDigits = 12;

std::string numberedName(std::string_view Prefix, std::uint64_t Number) {
  std::string Digits = std::to_string(Number);
  Digits.insert(0, GenerationDigits - Digits.size(), '0');
  return std::string{Prefix} + Digits;
}

std::uint64_t newestGeneration(const std::vector<std::string> &Names) {
  std::uint64_t Newest = 0;
  for (const std::string &Name : Names) {
    if (!Name.starts_with(LogPrefix) || Name.ends_with(".tmp")) {
      continue;
    }
    std::uint64_t Number = 0;
    std::from_chars(Name.data() + LogPrefix.size(), Name.data() + Name.size(),
                    Number);
    Newest = std::max(Newest, Number);
  }
  return Newest;
}

void applyBatch(const PersistBatch &Batch, StoredGroup &Group) {
  Group.Hard = Batch.Hard;
  if (Batch.TruncateFrom) {
    std::erase_if(Group.Entries, [&Batch](const Entry &LogEntry) {
      return LogEntry.Index >= *Batch.TruncateFrom;
    });
  }
  Group.Entries.insert(Group.Entries.end(), Batch.Entries.begin(),
                       Batch.Entries.end());
}

StorageStatus checkContiguous(const StoredGroup &Group) {
  LogIndex Expected = Group.LatestSnapshot.Index;
  for (const Entry &LogEntry : Group.Entries) {
    Expected += 1;
    if (LogEntry.Index != Expected) {
      return tl::make_unexpected(StorageError{
          "log entry " + std::to_string(Expected) + " is missing"});
    }
  }
  return {};
}

tl::expected<Snapshot, StorageError>
decodeSnapshotFile(const std::string &Content) {
  const auto Scan = scanRecords(Content);
  if (!Scan) {
    return tl::make_unexpected(Scan.error());
  }
  if (Scan->Bodies.size() != 1) {
    return tl::make_unexpected(
        StorageError{"damaged snapshot: expected exactly one record"});
  }
  return decodeSnapshot(Scan->Bodies.front());
}

} // namespace internal

std::string GroupStore::logName(std::uint64_t Number) const {
  return Folder + "/" + internal::numberedName(internal::LogPrefix, Number);
}

std::string GroupStore::snapshotName(std::uint64_t Number) const {
  return Folder + "/" +
         internal::numberedName(internal::SnapshotPrefix, Number);
}

StorageStatus GroupStore::replaceFile(const std::string &Name,
                                      const std::string &Bytes) {
  const std::string TempName = Name + ".tmp";
  return Files->write(TempName, Bytes)
      .and_then([&] { return Files->sync(TempName); })
      .and_then([&] { return Files->rename(TempName, Name); })
      .and_then([&] { return Files->syncFolder(Folder); });
}

void GroupStore::removeGeneration(std::uint64_t Number) {
  (void)Files->remove(logName(Number));
  (void)Files->remove(snapshotName(Number));
}

StorageStatus GroupStore::startGeneration(const PersistBatch &Batch) {
  const std::uint64_t Next = Generation + 1;
  PersistBatch LogBatch = Batch;
  LogBatch.NewSnapshot.reset();
  LogBatch.TruncateFrom.reset();
  const std::string Record = makeBatchRecord(LogBatch);
  auto Written =
      replaceFile(snapshotName(Next), makeSnapshotRecord(*Batch.NewSnapshot))
          .and_then([&] { return replaceFile(logName(Next), Record); });
  if (Written) {
    removeGeneration(Generation);
    Generation = Next;
    LogBytes = Record.size();
    HasPartialWrite = false;
  }
  return Written;
}

StorageStatus GroupStore::write(const PersistBatch &Batch) {
  if (Batch.NewSnapshot) {
    return startGeneration(Batch);
  }
  const std::string Name = logName(Generation);
  const std::string Record = makeBatchRecord(Batch);
  auto Written = truncateFailedWrite()
                     .and_then([&] { return Files->append(Name, Record); })
                     .and_then([&] { return Files->sync(Name); });
  HasPartialWrite = !Written;
  if (Written) {
    LogBytes += Record.size();
  }
  return Written;
}

StorageStatus GroupStore::truncateFailedWrite() {
  if (!HasPartialWrite) {
    return {};
  }
  return Files->truncate(logName(Generation), LogBytes);
}

tl::expected<GroupStore, StorageError>
GroupStore::open(FileSystem &Files, std::string Folder, StoredGroup &Stored) {
  GroupStore Store{Files, std::move(Folder)};
  if (auto Created = Files.makeFolder(Store.Folder).and_then([&] {
        return Files.syncFolder(".");
      });
      !Created) {
    return tl::make_unexpected(Created.error());
  }
  const auto Names = Files.list(Store.Folder);
  if (!Names) {
    return tl::make_unexpected(Names.error());
  }
  Store.Generation = internal::newestGeneration(*Names);
  const std::string Name = Store.logName(Store.Generation);
  StoredGroup Group;
  if (Store.Generation != 0) {
    const auto Snap = Files.read(Store.snapshotName(Store.Generation))
                          .and_then(internal::decodeSnapshotFile);
    if (!Snap) {
      return tl::make_unexpected(StorageError{
          Store.snapshotName(Store.Generation) + ": " + Snap.error().Text});
    }
    Group.LatestSnapshot = *Snap;
  } else if (std::find(Names->begin(), Names->end(),
                       internal::numberedName(internal::LogPrefix, 0)) ==
             Names->end()) {
    if (auto Created = Store.replaceFile(Name, ""); !Created) {
      return tl::make_unexpected(Created.error());
    }
  }
  const auto Content = Files.read(Name);
  if (!Content) {
    return tl::make_unexpected(Content.error());
  }
  const auto Scan = scanRecords(*Content);
  if (!Scan) {
    return tl::make_unexpected(StorageError{Name + ": " + Scan.error().Text});
  }
  for (const std::string_view Body : Scan->Bodies) {
    const auto Batch = decodeBatch(Body);
    if (!Batch) {
      return tl::make_unexpected(
          StorageError{Name + ": " + Batch.error().Text});
    }
    internal::applyBatch(*Batch, Group);
  }
  if (auto Contiguous = internal::checkContiguous(Group); !Contiguous) {
    return tl::make_unexpected(
        StorageError{Name + ": " + Contiguous.error().Text});
  }
  if (Scan->ValidBytes != Content->size()) {
    auto Truncated = Files.truncate(Name, Scan->ValidBytes).and_then([&] {
      return Files.sync(Name);
    });
    if (!Truncated) {
      return tl::make_unexpected(Truncated.error());
    }
  }
  Store.LogBytes = Scan->ValidBytes;
  if (Store.Generation > 0) {
    for (const std::string &FileName : *Names) {
      const bool IsStale =
          Store.Folder + "/" + FileName != Name &&
          Store.Folder + "/" + FileName != Store.snapshotName(Store.Generation);
      if (IsStale) {
        (void)Files.remove(Store.Folder + "/" + FileName);
      }
    }
  }
  Stored = std::move(Group);
  return Store;
}

} // namespace mulberryramp
