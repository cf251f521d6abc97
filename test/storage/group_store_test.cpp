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

PersistBatch batchOf(LogIndex Index) {
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
    CHECK(Store.write(batchOf(Index)).has_value());
  }
}

} // namespace

TEST_GROUP(StorageGroupStore){};

TEST(StorageGroupStore, FindsWhatWasWritten) {
  MemoryFiles Files;
  writeEntries(Files, 3);
  Files.crash(0);
  StoredGroup Stored;
  openStore(Files, Stored);
  CHECK_EQUAL(3U, Stored.Entries.size());
  CHECK_EQUAL(3U, Stored.Hard.CurrentTerm);
}

TEST(StorageGroupStore, FileCutAtEachByteOfTheLastRecordsLosesOnlyThem) {
  MemoryFiles Whole;
  writeEntries(Whole, 4);
  const std::string Content = Whole.content(LogFile);
  const auto Scan = scanRecords(Content);
  const std::size_t Each = Content.size() / 4;
  CHECK_EQUAL(4U, Scan->Bodies.size());
  for (std::size_t Bytes = Each; Bytes <= Content.size(); ++Bytes) {
    MemoryFiles Files = Whole;
    Files.content(LogFile).resize(Bytes);
    StoredGroup Stored;
    GroupStore Store = openStore(Files, Stored);
    CHECK_EQUAL(Bytes / Each, Stored.Entries.size());
    CHECK(Store.write(batchOf(Stored.Entries.size() + 1)).has_value());
    StoredGroup Again;
    openStore(Files, Again);
    CHECK_EQUAL(Stored.Entries.size() + 1, Again.Entries.size());
  }
}

TEST(StorageGroupStore, DamagedByteBeforeTheLastRecordIsRefused) {
  MemoryFiles Whole;
  writeEntries(Whole, 4);
  const std::size_t Each = Whole.content(LogFile).size() / 4;
  for (std::size_t At = 0; At < 3 * Each; ++At) {
    MemoryFiles Files = Whole;
    Files.content(LogFile)[At] ^= 0x20;
    StoredGroup Stored;
    const auto Store = GroupStore::open(Files, "g", Stored);
    CHECK_FALSE(Store.has_value());
    CHECK(Store.error().Text.find("damaged") != std::string::npos);
    CHECK(Stored.Entries.empty());
  }
}

TEST(StorageGroupStore, ZerosBehindTheLastRecordAreATornTail) {
  MemoryFiles Files;
  writeEntries(Files, 2);
  Files.content(LogFile).append(100, '\0');
  StoredGroup Stored;
  openStore(Files, Stored);
  CHECK_EQUAL(2U, Stored.Entries.size());
}

TEST(StorageGroupStore, CrashAtEachCallOfASnapshotKeepsOldOrNew) {
  for (std::size_t Calls = 0; Calls < 12; ++Calls) {
    MemoryFiles Files;
    writeEntries(Files, 5);
    StoredGroup Stored;
    GroupStore Store = openStore(Files, Stored);
    PersistBatch Batch;
    Batch.Hard.CurrentTerm = 5;
    Batch.NewSnapshot = Snapshot{4, 1, {}, "state at 4"};
    Batch.Entries = {Stored.Entries.back()};
    Files.failAfter(Calls);
    const bool Written = Store.write(Batch).has_value();
    Files.crash(7);
    StoredGroup Left;
    openStore(Files, Left);
    CHECK_EQUAL(5U, Left.LatestSnapshot.Index + Left.Entries.size());
    if (Written) {
      STRCMP_EQUAL("state at 4", Left.LatestSnapshot.Data.c_str());
    }
  }
}

TEST(StorageGroupStore, FailedWriteIsReportedAndLeavesWhatWasSynced) {
  MemoryFiles Files;
  writeEntries(Files, 2);
  StoredGroup Stored;
  GroupStore Store = openStore(Files, Stored);
  Files.failAfter(0);
  CHECK_FALSE(Store.write(batchOf(3)).has_value());
  Files.crash(1000);
  StoredGroup Left;
  openStore(Files, Left);
  CHECK_EQUAL(2U, Left.Entries.size());
}

TEST(StorageGroupStore, FailedSyncIsReported) {
  MemoryFiles Files;
  writeEntries(Files, 2);
  StoredGroup Stored;
  GroupStore Store = openStore(Files, Stored);
  Files.failAfter(1);
  CHECK_FALSE(Store.write(batchOf(3)).has_value());
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
  StoredGroup Left;
  openStore(Files, Left);
  CHECK_EQUAL(3U, Left.Entries.size());
  STRCMP_EQUAL("other", Left.Entries.back().Data.c_str());
}

TEST(StorageGroupStore, FilesOfTheMachineWorkTheSameWay) {
  char Name[] = "/tmp/mulberryramp-store-XXXXXX";
  const std::string Root = mkdtemp(Name);
  auto Files = openDiskFiles(Root);
  CHECK(Files.has_value());
  StoredGroup Stored;
  auto Store = GroupStore::open(**Files, "g", Stored);
  CHECK(Store.has_value());
  CHECK(Store->write(batchOf(1)).has_value());
  PersistBatch Batch;
  Batch.NewSnapshot = Snapshot{1, 1, {}, "state"};
  CHECK(Store->write(Batch).has_value());
  StoredGroup Left;
  CHECK(GroupStore::open(**Files, "g", Left).has_value());
  STRCMP_EQUAL("state", Left.LatestSnapshot.Data.c_str());
  CHECK_EQUAL(2U, (*Files)->list("g")->size());
}
