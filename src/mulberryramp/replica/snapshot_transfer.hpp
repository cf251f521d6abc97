#pragma once

#include "mulberryramp/core/time.hpp"
#include "mulberryramp/replica/message.hpp"

#include <cstddef>
#include <optional>
#include <string>

/// @file
/// @brief Transfer of a snapshot in verified chunks. The functions are pure;
/// the replica sends the messages.
///
/// The receiver accepts chunks in order and reports the offset that it needs
/// next. It keeps an incomplete snapshot over changes of the leader, so that a
/// new leader with the same snapshot resumes the transfer.

namespace mulberryramp {

/// @brief Limits of a transfer.
struct TransferLimits {
  /// Bytes of a chunk. On a link of 1,000 Mbit/s a message that follows a chunk
  /// waits for about 2 ms.
  std::size_t ChunkBytes = std::size_t{256} * 1024;
  /// Bytes in flight to one receiver; a heartbeat waits for 8 ms at most on a
  /// link of 1,000 Mbit/s. With a round trip of 20 ms it allows 50 MiB/s.
  std::size_t WindowBytes = std::size_t{1024} * 1024;
  /// Time without a report of progress after which chunks are sent again.
  Millis RetryInterval{500};
  /// Time without progress after which the transfer is given up, which frees
  /// its snapshot and the entries that are kept for it.
  Millis GiveUpTimeout{10000};
};

/// @brief Snapshot that is being sent, and its progress.
struct OutgoingSnapshot {
  Snapshot Source; ///< Shares its data with the replica.
  SnapshotId Id;
  std::uint64_t NextOffset = 0;  ///< First byte that is not in flight.
  std::uint64_t AckedOffset = 0; ///< Offset that the receiver reported last.
  bool IsProbeDue = true;  ///< One chunk is sent regardless of the window.
  bool HasReport = false;  ///< The receiver has reported since the last probe.
  Instant WaitingSince;    ///< Of the last report or probe.
  Instant LastProgressAt;  ///< When the reported offset last advanced.
  Instant ReportedChunkAt; ///< When the newest answered chunk was sent.
};

/// @brief Snapshot that is being received.
struct IncomingSnapshot {
  SnapshotId Id;
  Term LeaderTerm = 0; ///< Term of the leader that sent the last chunk.
  Membership Voters;
  std::string Data; ///< Verified bytes so far.
};

/// @brief What a received chunk led to.
struct ChunkOutcome {
  bool IsObsolete = false;      ///< Of an earlier transfer; no report is due.
  bool IsComplete = false;      ///< The snapshot is complete and verified.
  std::uint64_t NextOffset = 0; ///< Offset that is needed next.
};

/// @brief Starts to send a snapshot. It computes the checksum of the snapshot.
[[nodiscard]] OutgoingSnapshot beginTransfer(const Snapshot &Source,
                                             Instant Now);

/// @brief Makes the next chunk that may be in flight.
/// @param InTerm Term of the leader that sends it.
/// @return The chunk, or nothing if the window is full or all is sent.
[[nodiscard]] std::optional<SnapshotChunk>
nextChunk(OutgoingSnapshot &Transfer, const TransferLimits &Limits, Term InTerm,
          Instant Now);

/// @brief Records the report of the receiver.
void recordReport(OutgoingSnapshot &Transfer, const SnapshotChunkReply &Reply,
                  Instant Now);

/// @brief Tells whether a transfer has made no progress for too long.
[[nodiscard]] bool isStalled(const OutgoingSnapshot &Transfer,
                             const TransferLimits &Limits, Instant Now);

/// @brief Verifies a chunk and appends it to the incomplete snapshot.
/// @param Incoming The incomplete snapshot; replaced if the chunk belongs to
/// another one, and dropped if the complete one fails its checksum.
[[nodiscard]] ChunkOutcome
acceptChunk(std::optional<IncomingSnapshot> &Incoming,
            const SnapshotChunk &Chunk);

} // namespace mulberryramp
