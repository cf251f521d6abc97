#include "mulberryramp/cell/message.hpp"
#include "mulberryramp/core/random.hpp"
#include "mulberryramp/replica/replica.hpp"
#include "mulberryramp/wire/fwd.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

constexpr std::size_t MiB = std::size_t{1} << 20;

std::string makeData(std::size_t Bytes, std::uint64_t Seed) {
  Random Rng{Seed};
  std::string Data(Bytes, '\0');
  for (std::size_t At = 0; At < Bytes; At += 4096) {
    Data[At] = static_cast<char>(Rng.below(256));
  }
  return Data;
}

/// @brief Voters and learners that exchange messages within 10 ms. Node 3 has
/// no state and needs a snapshot.
struct TransferFixture {
  std::map<NodeId, Replica> Members;
  Instant Now{Millis{1000}};
  /// Changes a message or drops it by returning false.
  std::function<bool(ReplicaMessage &)> Filter = [](ReplicaMessage &) {
    return true;
  };
  std::set<std::uint64_t> SentSnapshots; ///< Checksums.
  std::uint64_t ChunkBytes = 0;          ///< Sent by all members.
  std::uint64_t MaxBytesInRound = 0;
  std::size_t Heartbeats = 0; ///< Sent to node 3.
  std::size_t MaxMessageBytes = 0;
  bool IsMeasuringMessages = true;

  explicit TransferFixture(NodeId Voters, const std::string &Data) {
    std::vector<Member> Bootstrap;
    for (NodeId Id = 1; Id <= Voters; ++Id) {
      Bootstrap.push_back({Id, 1});
    }
    for (NodeId Id = 1; Id <= Voters; ++Id) {
      Members[Id] = startReplica("g", {Id, 1}, options(),
                                 bootstrapGroup(Bootstrap), Id, Now);
    }
    advanceUntil([&] { return leader() != nullptr; }, 3000);
    for (int Count = 0; Count < 20; ++Count) {
      (void)propose(*leader(), "x");
      advance(20);
    }
    advance(200);
    for (auto &[Id, State] : Members) {
      compact(State, Data);
    }
    restartReceiver(1);
  }

  static ReplicaOptions options() {
    ReplicaOptions Options;
    Options.VoterNodes = {1, 2, 3};
    Options.TrailingEntries = 5;
    return Options;
  }

  void restartReceiver(std::uint64_t Incarnation) {
    Members[3] = startReplica("g", {3, Incarnation}, options(), {}, 3, Now);
  }

  Replica *leader() {
    for (auto &[Id, State] : Members) {
      if (canServeAsLeader(State, Now)) {
        return &State;
      }
    }
    return nullptr;
  }

  void observe(const ReplicaMessage &Message) {
    if (const auto *Chunk = std::get_if<SnapshotChunk>(&Message.Body)) {
      SentSnapshots.insert(Chunk->Id.Checksum);
      ChunkBytes += Chunk->Data.size();
    }
    Heartbeats +=
        Message.To.Node == 3 &&
                std::holds_alternative<AppendEntriesRequest>(Message.Body)
            ? 1
            : 0;
    if (IsMeasuringMessages) {
      MaxMessageBytes =
          std::max(MaxMessageBytes, encodeCellMessage({1, 2, Message}).size());
    }
  }

  void advance(std::int64_t Ms) {
    for (std::int64_t Elapsed = 0; Elapsed < Ms; Elapsed += 10) {
      Now += Millis{10};
      std::vector<ReplicaMessage> Messages;
      const std::uint64_t BytesBefore = ChunkBytes;
      for (auto &[Id, State] : Members) {
        tick(State, Now);
        prepareSave(State);
        markSaved(State);
        for (ReplicaMessage &Message : std::exchange(State.Outbox, {})) {
          observe(Message);
          Messages.push_back(std::move(Message));
        }
        while (nextCommitted(State) != nullptr) {
        }
        State.ReportedApplied = State.LastApplied;
      }
      MaxBytesInRound = std::max(MaxBytesInRound, ChunkBytes - BytesBefore);
      for (ReplicaMessage &Message : Messages) {
        const auto It = Members.find(Message.To.Node);
        if (It != Members.end() && Filter(Message)) {
          receive(It->second, Now, Message);
        }
      }
    }
  }

  template <typename Condition>
  bool advanceUntil(Condition IsReached, std::int64_t MaxMs) {
    for (std::int64_t Elapsed = 0; Elapsed < MaxMs; Elapsed += 10) {
      if (IsReached()) {
        return true;
      }
      advance(10);
    }
    return IsReached();
  }

  std::size_t receivedBytes() {
    const auto &Incoming = Members[3].Incoming;
    return Incoming ? Incoming->Data.size() : 0;
  }

  bool hasInstalled() {
    return Members[3].LatestSnapshot.Index != 0 && leader() != nullptr &&
           Members[3].CommitIndex == leader()->CommitIndex;
  }

  bool isHalfway(std::size_t Bytes) { return receivedBytes() >= Bytes / 2; }
};

} // namespace

TEST_GROUP(ReplicaSnapshotTransfer){};

/// A snapshot in one message exceeds the limit of a frame, is dropped each
/// time, and the member never catches up.
TEST(ReplicaSnapshotTransfer, SnapshotOfAnySizeArrivesInSmallMessages) {
  for (const std::size_t Size : {std::size_t{0}, std::size_t{1}, MiB, 8 * MiB,
                                 9 * MiB, 64 * MiB, 200 * MiB}) {
    const std::string Data = makeData(Size, Size);
    TransferFixture Fixture{1, Data};
    CHECK(Fixture.advanceUntil([&] { return Fixture.hasInstalled(); }, 60000));
    CHECK(Fixture.Members[3].LatestSnapshot.Data.str() == Data);
    CHECK(Fixture.MaxMessageBytes < MaxFrameBytes / 8);
    CHECK(Fixture.MaxBytesInRound <= MiB);
    CHECK_EQUAL(Size, Fixture.ChunkBytes);
    CHECK(Fixture.advanceUntil(
        [&] {
          return isVoter(*Fixture.leader(), {3, 1});
        },
        3000));
  }
}

/// Lost, damaged and reordered chunks and reports must neither end the transfer
/// nor get into the snapshot.
TEST(ReplicaSnapshotTransfer, LossAndDamageAreRepaired) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    const std::size_t Size = Seed == 1 ? 64 * MiB : 3 * MiB + Seed;
    const std::string Data = makeData(Size, Seed);
    TransferFixture Fixture{1, Data};
    Fixture.IsMeasuringMessages = false;
    Random Rng{Seed};
    Fixture.Filter = [&](ReplicaMessage &Message) {
      auto *Chunk = std::get_if<SnapshotChunk>(&Message.Body);
      if (Chunk != nullptr && !Chunk->Data.empty() && Rng.percent(5)) {
        Chunk->Data[Rng.below(Chunk->Data.size())] ^= 0x10;
      } else if (Chunk != nullptr && Rng.percent(3)) {
        Chunk->Offset += 1;
      }
      return !Rng.percent(10);
    };
    CHECK(Fixture.advanceUntil([&] { return Fixture.hasInstalled(); }, 200000));
    CHECK(Fixture.Members[3].LatestSnapshot.Data.str() == Data);
  }
}

/// Heartbeats that wait for the transfer would end the leader lease.
TEST(ReplicaSnapshotTransfer, HeartbeatsContinueDuringTheTransfer) {
  TransferFixture Fixture{1, makeData(64 * MiB, 1)};
  Fixture.IsMeasuringMessages = false;
  CHECK(
      Fixture.advanceUntil([&] { return Fixture.receivedBytes() > 0; }, 3000));
  Fixture.Heartbeats = 0;
  const Instant Begin = Fixture.Now;
  CHECK(Fixture.advanceUntil([&] { return Fixture.hasInstalled(); }, 20000));
  const auto Expected =
      static_cast<std::size_t>((Fixture.Now - Begin) / Millis{400});
  CHECK(Expected > 0);
  CHECK(Fixture.Heartbeats >= Expected);
}

/// A restarted receiver has lost its part and needs all of it again.
TEST(ReplicaSnapshotTransfer, RestartedReceiverBeginsAtOffsetZero) {
  const std::string Data = makeData(9 * MiB, 4);
  TransferFixture Fixture{1, Data};
  CHECK(Fixture.advanceUntil([&] { return Fixture.isHalfway(Data.size()); },
                             20000));
  // The same incarnation, as after a crash with an intact disk.
  Fixture.restartReceiver(1);
  CHECK_EQUAL(0U, Fixture.receivedBytes());
  CHECK(Fixture.advanceUntil([&] { return Fixture.hasInstalled(); }, 20000));
  CHECK(Fixture.Members[3].LatestSnapshot.Data.str() == Data);
}

/// A transfer that begins anew with each leader may never end.
TEST(ReplicaSnapshotTransfer, NewLeaderResumesTheSameSnapshot) {
  const std::string Data = makeData(9 * MiB, 5);
  TransferFixture Fixture{2, Data};
  CHECK(Fixture.advanceUntil([&] { return Fixture.isHalfway(Data.size()); },
                             20000));
  const Replica *OldLeader = Fixture.leader();
  transferLeadership(*Fixture.leader(), Fixture.Now);
  CHECK(Fixture.advanceUntil(
      [&] {
        return Fixture.leader() != nullptr && Fixture.leader() != OldLeader;
      },
      2000));
  CHECK(Fixture.receivedBytes() >= Data.size() / 2);
  CHECK(Fixture.advanceUntil([&] { return Fixture.hasInstalled(); }, 20000));
  CHECK(Fixture.Members[3].LatestSnapshot.Data.str() == Data);
  CHECK_EQUAL(1U, Fixture.SentSnapshots.size());
  CHECK(Fixture.ChunkBytes <= Data.size() + 2 * MiB);
}

/// Parts of two different snapshots must not be put together.
TEST(ReplicaSnapshotTransfer, NewLeaderWithAnotherSnapshotBeginsAnew) {
  TransferFixture Fixture{2, makeData(9 * MiB, 6)};
  const Replica *OldLeader = Fixture.leader();
  const std::string Other = makeData(9 * MiB, 7);
  for (auto &[Id, State] : Fixture.Members) {
    if (Id != 3 && &State != OldLeader) {
      compact(State, Other);
    }
  }
  CHECK(
      Fixture.advanceUntil([&] { return Fixture.isHalfway(9 * MiB); }, 20000));
  transferLeadership(*Fixture.leader(), Fixture.Now);
  CHECK(Fixture.advanceUntil(
      [&] {
        return Fixture.leader() != nullptr && Fixture.leader() != OldLeader;
      },
      2000));
  CHECK(Fixture.advanceUntil([&] { return Fixture.hasInstalled(); }, 20000));
  CHECK(Fixture.Members[3].LatestSnapshot.Data.str() == Other);
}

/// Under load a leader takes snapshots faster than they can be sent. If each
/// one replaced the transfer, or if the entries after the sent one were
/// discarded, the receiver would never catch up.
TEST(ReplicaSnapshotTransfer, NewerSnapshotDoesNotReplaceTheTransfer) {
  const std::string Data = makeData(9 * MiB, 8);
  TransferFixture Fixture{1, Data};
  CHECK(
      Fixture.advanceUntil([&] { return Fixture.receivedBytes() > 0; }, 3000));
  // Under load the receiver stays some entries behind.
  const auto HasCaughtUp = [&] {
    const Replica &Receiver = Fixture.Members[3];
    return Receiver.LatestSnapshot.Index != 0 &&
           Receiver.CommitIndex + 100 >= Fixture.leader()->CommitIndex;
  };
  while (!HasCaughtUp() && Fixture.Now < Instant{Millis{30000}}) {
    for (int Count = 0; Count < 20; ++Count) {
      (void)propose(*Fixture.leader(), "y");
    }
    Fixture.advance(10);
    compact(*Fixture.leader(), Data + "newer");
  }
  CHECK(HasCaughtUp());
  CHECK(Fixture.Members[3].LatestSnapshot.Data.str() == Data);
  CHECK_EQUAL(1U, Fixture.SentSnapshots.size());
}

/// Entries that are kept for an unreachable receiver would fill the memory.
TEST(ReplicaSnapshotTransfer, StalledTransferKeepsNoEntries) {
  const std::string Data = makeData(9 * MiB, 9);
  TransferFixture Fixture{2, Data};
  CHECK(
      Fixture.advanceUntil([&] { return Fixture.receivedBytes() > 0; }, 3000));
  Fixture.Members.erase(3);
  Fixture.advance(TransferFixture::options().Transfer.GiveUpTimeout.count() +
                  1000);
  for (int Count = 0; Count < 50; ++Count) {
    (void)propose(*Fixture.leader(), "z");
    Fixture.advance(10);
  }
  Fixture.advance(500);
  compact(*Fixture.leader(), Data);
  CHECK_EQUAL(TransferFixture::options().TrailingEntries,
              Fixture.leader()->Entries.size());
}

/// A snapshot that differs from what its checksum says must not be installed.
TEST(ReplicaSnapshotTransfer, CompleteSnapshotIsVerified) {
  OutgoingSnapshot Transfer =
      beginTransfer(Snapshot{7, 2, {}, "state"}, Instant{Millis{5}});
  Transfer.Id.Checksum += 1;
  const auto Chunk = nextChunk(Transfer, {}, 3, Instant{Millis{5}});
  CHECK(Chunk.has_value());
  std::optional<IncomingSnapshot> Incoming;
  const ChunkOutcome Outcome = acceptChunk(Incoming, *Chunk);
  CHECK_FALSE(Outcome.IsComplete);
  CHECK_EQUAL(0U, Outcome.NextOffset);
  CHECK_FALSE(Incoming.has_value());
}

/// Late chunks of the transfer before must not undo the current one.
TEST(ReplicaSnapshotTransfer, ChunkOfAnEarlierTransferIsIgnored) {
  const TransferLimits Limits{.ChunkBytes = 2, .WindowBytes = 4};
  const Instant Now{Millis{5}};
  OutgoingSnapshot Earlier = beginTransfer(Snapshot{7, 2, {}, "abcd"}, Now);
  OutgoingSnapshot Current = beginTransfer(Snapshot{9, 2, {}, "efgh"}, Now);
  std::optional<IncomingSnapshot> Incoming;
  CHECK_EQUAL(
      2U,
      acceptChunk(Incoming, *nextChunk(Current, Limits, 3, Now)).NextOffset);
  CHECK(acceptChunk(Incoming, *nextChunk(Earlier, Limits, 3, Now)).IsObsolete);
  CHECK_EQUAL(9U, Incoming->Id.Index);
  // A leader of a later term may have an earlier snapshot.
  OutgoingSnapshot Later = beginTransfer(Snapshot{7, 2, {}, "abcd"}, Now);
  CHECK_EQUAL(
      2U, acceptChunk(Incoming, *nextChunk(Later, Limits, 4, Now)).NextOffset);
  CHECK_EQUAL(7U, Incoming->Id.Index);
}
