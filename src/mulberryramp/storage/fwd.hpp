#pragma once

#include <cstddef>
#include <cstdint>

/// @file
/// @brief Forward declarations and defaults of the storage module.
///
/// The module stores the log, the hard state and the snapshots of a replicated
/// group durably, and the incarnation of a data folder. It depends on core and
/// wire only and does not interpret the commands in the log.

namespace mulberryramp {

/// @brief Position of an entry in a replicated log, from 1; 0 is before the
/// first entry.
using LogIndex = std::uint64_t;
/// @brief Raft term; increases with each election.
using Term = std::uint64_t;

/// @brief Bytes before the body of a record: body length and two checksums.
inline constexpr std::size_t RecordHeaderBytes = 24;

struct Member;
struct Membership;
struct Entry;
struct HardState;
struct Snapshot;
struct PersistBatch;
struct StorageError;
class FileSystem;
class GroupStore;

} // namespace mulberryramp
