#include "mulberryramp/storage/group_store.hpp"
#include "mulberryramp/storage/record_codec.hpp"
#include "support/memory_files.hpp"

#include <cstdlib>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using mulberryramp::test::MemoryFiles;

namespace {

constexpr const char *LogFile = "g/log-000000000000";

PersistBatch makeBatch(LogIndex Index) {
  PersistBatch Batch;
  Batch.Hard.CurrentTerm = Index;
  Batch.Entries.push_back(
      {1, Index, EntryKind::Command, "entry " + std::to_string(Index)});
  return Batch;
}

GroupStore openStore(MemoryFiles &Files, StoredGroup &Stored) {
  auto Store = GroupStore::open(Files, "g", Stored);
  CHECK_TEXT(Store.has_value(), Store ? "" : Store.error().Text.c_str());
  return *Store;
}

void writeEntries(MemoryFiles &Files, LogIndex Count) {
  StoredGroup Stored;
  GroupStore Store = openStore(Files, Stored);
  for (LogIndex Index = 1; Index <= Count; ++Index) {
    CHECK(Store.write(makeBatch(Index)).has_value());
  }
}

} // namespace

TEST_GROUP(StorageGroupStore){};

TEST(StorageGroupStore, ReopenedStoreRestoresWrittenEntries) {
  MemoryFiles Files;
  writeEntries(Files, 3);
  Files.crash(0);
  StoredGroup Stored;
  openStore(Files, Stored);
  CHECK_EQUAL(3U, Stored.Entries.size());
  CHECK_EQUAL(3U, Stored.Hard.CurrentTerm);
}

/// A crash in the middle of a write leaves a part of the last record. The store
/// drops that part and accepts further entries.
TEST(StorageGroupStore, TruncatedLogLosesOnlyIncompleteRecords) {
  MemoryFiles IntactFiles;
  writeEntries(IntactFiles, 4);
  const std::string Content = IntactFiles.content(LogFile);
  const auto Scan = scanRecords(Content);
  const std::size_t RecordBytes = Content.size() / 4;
  CHECK_EQUAL(4U, Scan->Bodies.size());
  for (std::size_t Length = RecordBytes; Length <= Content.size(); ++Length) {
    MemoryFiles Files = IntactFiles;
    Files.content(LogFile).resize(Length);
    StoredGroup Stored;
    GroupStore Store = openStore(Files, Stored);
    CHECK_EQUAL(Length / RecordBytes, Stored.Entries.size());
    CHECK(Store.write(makeBatch(Stored.Entries.size() + 1)).has_value());
    StoredGroup Reopened;
    openStore(Files, Reopened);
    CHECK_EQUAL(Stored.Entries.size() + 1, Reopened.Entries.size());
  }
}

/// Records that follow a corrupt one show that it was synced: dropping it
/// could lose committed entries.
TEST(StorageGroupStore, CorruptByteBeforeTheLastRecordIsRejected) {
  MemoryFiles IntactFiles;
  writeEntries(IntactFiles, 4);
  const std::size_t RecordBytes = IntactFiles.content(LogFile).size() / 4;
  for (std::size_t Position = 0; Position < 3 * RecordBytes; ++Position) {
    MemoryFiles Files = IntactFiles;
    Files.content(LogFile)[Position] ^= 0x20;
    StoredGroup Stored;
    const auto Store = GroupStore::open(Files, "g", Stored);
    CHECK_FALSE(Store.has_value());
    CHECK(Store.error().Text.find("damaged") != std::string::npos);
    CHECK(Stored.Entries.empty());
  }
}

TEST(StorageGroupStore, TrailingZerosAreATornWrite) {
  MemoryFiles Files;
  writeEntries(Files, 2);
  Files.content(LogFile).append(100, '\0');
  StoredGroup Stored;
  openStore(Files, Stored);
  CHECK_EQUAL(2U, Stored.Entries.size());
}

/// The storage fails after each number of calls of a snapshot write, and a
/// crash follows that leaves up to 7 unsynced bytes of each file.
TEST(StorageGroupStore, CrashDuringASnapshotKeepsTheOldOrTheNewState) {
  for (std::size_t CallsUntilFailure = 0; CallsUntilFailure < 12;
       ++CallsUntilFailure) {
    MemoryFiles Files;
    writeEntries(Files, 5);
    StoredGroup Stored;
    GroupStore Store = openStore(Files, Stored);
    PersistBatch Batch;
    Batch.Hard.CurrentTerm = 5;
    Batch.NewSnapshot = Snapshot{4, 1, {}, "state at 4"};
    Batch.Entries = {Stored.Entries.back()};
    Files.failAfter(CallsUntilFailure);
    const bool IsWritten = Store.write(Batch).has_value();
    Files.crash(7);
    StoredGroup Reopened;
    openStore(Files, Reopened);
    CHECK_EQUAL(5U, Reopened.LatestSnapshot.Index + Reopened.Entries.size());
    if (IsWritten) {
      STRCMP_EQUAL("state at 4", Reopened.LatestSnapshot.Data.c_str());
    }
  }
}

TEST(StorageGroupStore, FailedWriteIsReportedAndKeepsSyncedEntries) {
  MemoryFiles Files;
  writeEntries(Files, 2);
  StoredGroup Stored;
  GroupStore Store = openStore(Files, Stored);
  Files.failAfter(0);
  CHECK_FALSE(Store.write(makeBatch(3)).has_value());
  Files.crash(1000);
  StoredGroup Reopened;
  openStore(Files, Reopened);
  CHECK_EQUAL(2U, Reopened.Entries.size());
}

TEST(StorageGroupStore, FailedSyncIsReported) {
  MemoryFiles Files;
  writeEntries(Files, 2);
  StoredGroup Stored;
  GroupStore Store = openStore(Files, Stored);
  Files.failAfter(1);
  CHECK_FALSE(Store.write(makeBatch(3)).has_value());
}

TEST(StorageGroupStore, TruncationReplacesEntries) {
  MemoryFiles Files;
  writeEntries(Files, 4);
  StoredGroup Stored;
  GroupStore Store = openStore(Files, Stored);
  PersistBatch Batch;
  Batch.TruncateFrom = 3;
  Batch.Entries.push_back({2, 3, EntryKind::Command, "other"});
  CHECK(Store.write(Batch).has_value());
  StoredGroup Reopened;
  openStore(Files, Reopened);
  CHECK_EQUAL(3U, Reopened.Entries.size());
  STRCMP_EQUAL("other", Reopened.Entries.back().Data.c_str());
}

TEST(StorageGroupStore, StoreWorksOnDiskFiles) {
  char FolderTemplate[] = "/tmp/mulberryramp-store-XXXXXX";
  const std::string Folder = mkdtemp(FolderTemplate);
  auto Files = openDiskFiles(Folder);
  CHECK(Files.has_value());
  StoredGroup Stored;
  auto Store = GroupStore::open(**Files, "g", Stored);
  CHECK(Store.has_value());
  CHECK(Store->write(makeBatch(1)).has_value());
  PersistBatch Batch;
  Batch.NewSnapshot = Snapshot{1, 1, {}, "state"};
  CHECK(Store->write(Batch).has_value());
  StoredGroup Reopened;
  CHECK(GroupStore::open(**Files, "g", Reopened).has_value());
  STRCMP_EQUAL("state", Reopened.LatestSnapshot.Data.c_str());
  CHECK_EQUAL(2U, (*Files)->list("g")->size());
}

/// A decoder that bounds stored data by a limit for external input cannot read
/// back a snapshot that the store itself has written, and the node never starts
/// again.
TEST(StorageGroupStore, SnapshotOfAnySizeIsReadBack) {
  constexpr std::size_t MiB = std::size_t{1} << 20;
  for (const std::size_t Size :
       {MiB, 8 * MiB - 1, 8 * MiB, 8 * MiB + 1, 9 * MiB, 64 * MiB, 200 * MiB}) {
    MemoryFiles Files;
    StoredGroup Stored;
    GroupStore Store = openStore(Files, Stored);
    PersistBatch Batch;
    Batch.NewSnapshot = Snapshot{4, 1, {}, std::string(Size, 's')};
    CHECK(Store.write(Batch).has_value());
    StoredGroup Reopened;
    openStore(Files, Reopened);
    CHECK_EQUAL(4U, Reopened.LatestSnapshot.Index);
    CHECK_EQUAL(Size, Reopened.LatestSnapshot.Data.size());
    CHECK(Reopened.LatestSnapshot.Data == Batch.NewSnapshot->Data);
  }
}

/// Entries of a batch are read back as well if together they exceed the limit
/// for external input.
TEST(StorageGroupStore, LogRecordOfAnySizeIsReadBack) {
  MemoryFiles Files;
  StoredGroup Stored;
  GroupStore Store = openStore(Files, Stored);
  PersistBatch Batch;
  for (LogIndex Index = 1; Index <= 3; ++Index) {
    Batch.Entries.push_back({1, Index, EntryKind::Command,
                             std::string(std::size_t{9} << 20U, 'e')});
  }
  CHECK(Store.write(Batch).has_value());
  StoredGroup Reopened;
  openStore(Files, Reopened);
  CHECK(Reopened.Entries == Batch.Entries);
}
