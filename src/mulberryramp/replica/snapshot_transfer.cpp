#include "mulberryramp/replica/snapshot_transfer.hpp"

#include <algorithm>
#include <string_view>
#include <xxhash.h>

namespace mulberryramp {

namespace {

/// Most bytes that are reserved for an announced size, so that a malformed
/// message cannot exhaust the memory.
constexpr std::uint64_t MaxReservedBytes = std::uint64_t{1} << 30U;

std::uint64_t checksumOf(std::string_view Bytes) {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

/// Checksum of a chunk. It also covers the place of the chunk and the snapshot
/// that it belongs to.
std::uint64_t chunkChecksum(const SnapshotChunk &Chunk) {
  return XXH3_64bits_withSeed(Chunk.Data.data(), Chunk.Data.size(),
                              Chunk.Id.Checksum ^ Chunk.Offset);
}

bool isIntact(const SnapshotChunk &Chunk) {
  return Chunk.Offset <= Chunk.Id.Bytes &&
         Chunk.Data.size() <= Chunk.Id.Bytes - Chunk.Offset &&
         chunkChecksum(Chunk) == Chunk.Checksum;
}

void sendAgain(OutgoingSnapshot &Transfer, Instant Now) {
  Transfer.NextOffset = Transfer.AckedOffset;
  Transfer.WaitingSince = Now;
}

} // namespace

OutgoingSnapshot beginTransfer(const Snapshot &Source, Instant Now) {
  OutgoingSnapshot Transfer;
  Transfer.Source = Source;
  Transfer.Id = {Source.Index, Source.InTerm, Source.Data.size(),
                 checksumOf(Source.Data.str())};
  Transfer.WaitingSince = Now;
  Transfer.LastProgressAt = Now;
  return Transfer;
}

std::optional<SnapshotChunk> nextChunk(OutgoingSnapshot &Transfer,
                                       const TransferLimits &Limits,
                                       Term InTerm, Instant Now) {
  if (Now - Transfer.WaitingSince >= Limits.RetryInterval) {
    sendAgain(Transfer, Now);
    Transfer.IsProbeDue = true;
    Transfer.HasReport = false;
  }
  const std::uint64_t InFlight = Transfer.NextOffset - Transfer.AckedOffset;
  const bool HasRoom = Transfer.HasReport &&
                       Transfer.NextOffset < Transfer.Id.Bytes &&
                       InFlight + Limits.ChunkBytes <= Limits.WindowBytes;
  if (!HasRoom && !Transfer.IsProbeDue) {
    return std::nullopt;
  }
  Transfer.IsProbeDue = false;
  SnapshotChunk Chunk;
  Chunk.InTerm = InTerm;
  Chunk.Id = Transfer.Id;
  Chunk.Voters = Transfer.Source.Voters;
  Chunk.Offset = Transfer.NextOffset;
  Chunk.Data =
      Transfer.Source.Data.str().substr(Transfer.NextOffset, Limits.ChunkBytes);
  Chunk.Checksum = chunkChecksum(Chunk);
  Chunk.SentAt = Now;
  Transfer.NextOffset += Chunk.Data.size();
  return Chunk;
}

void recordReport(OutgoingSnapshot &Transfer, const SnapshotChunkReply &Reply,
                  Instant Now) {
  // An older report would undo what a newer one has shown.
  if (Reply.Id != Transfer.Id || Reply.SentAt < Transfer.ReportedChunkAt ||
      Reply.NextOffset > Transfer.Id.Bytes) {
    return;
  }
  Transfer.ReportedChunkAt = Reply.SentAt;
  Transfer.HasReport = true;
  if (Reply.NextOffset > Transfer.AckedOffset) {
    Transfer.AckedOffset = Reply.NextOffset;
    Transfer.NextOffset = std::max(Transfer.NextOffset, Reply.NextOffset);
    Transfer.WaitingSince = Now;
    Transfer.LastProgressAt = Now;
  } else if (Reply.NextOffset < Transfer.AckedOffset) {
    // The receiver has restarted, or the complete snapshot was damaged.
    Transfer.AckedOffset = Reply.NextOffset;
    sendAgain(Transfer, Now);
  } else if (Reply.ChunkOffset == Reply.NextOffset &&
             Transfer.NextOffset > Transfer.AckedOffset) {
    // The chunk that is needed next arrived damaged. If it was lost instead,
    // only the reports of later chunks arrive, and the timeout applies.
    sendAgain(Transfer, Now);
  }
}

bool isStalled(const OutgoingSnapshot &Transfer, const TransferLimits &Limits,
               Instant Now) {
  return Now - Transfer.LastProgressAt >= Limits.GiveUpTimeout;
}

ChunkOutcome acceptChunk(std::optional<IncomingSnapshot> &Incoming,
                         const SnapshotChunk &Chunk) {
  const bool IsSame = Incoming && Incoming->Id == Chunk.Id;
  if (Incoming && !IsSame && Chunk.InTerm == Incoming->LeaderTerm &&
      Chunk.Id.Index <= Incoming->Id.Index) {
    return {.IsObsolete = true};
  }
  const std::uint64_t Needed = IsSame ? Incoming->Data.size() : 0;
  if (!isIntact(Chunk)) {
    return {.NextOffset = Needed};
  }
  if (!IsSame) {
    Incoming = IncomingSnapshot{Chunk.Id, Chunk.InTerm, Chunk.Voters, {}};
    Incoming->Data.reserve(std::min(Chunk.Id.Bytes, MaxReservedBytes));
  }
  Incoming->LeaderTerm = Chunk.InTerm;
  if (Chunk.Offset != Needed) {
    return {.NextOffset = Needed};
  }
  Incoming->Data += Chunk.Data;
  if (Incoming->Data.size() != Chunk.Id.Bytes) {
    return {.NextOffset = Incoming->Data.size()};
  }
  if (checksumOf(Incoming->Data) != Chunk.Id.Checksum) {
    Incoming.reset();
    return {.NextOffset = 0};
  }
  return {.IsComplete = true, .NextOffset = Chunk.Id.Bytes};
}

} // namespace mulberryramp
