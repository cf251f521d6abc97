#pragma once

#include <cstddef>
#include <cstdint>

/// @file
/// @brief Forward declarations and defaults of the storage module: synced log
/// and snapshots of one replicated group.

namespace mulberryramp {

using LogIndex = std::uint64_t;
using Term = std::uint64_t;

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
