#pragma once

#include "mulberryramp/storage/fwd.hpp"

/// @file
/// @brief Forward declarations and defaults of the replica module.
///
/// The module implements Raft: the members of a group agree on one replicated
/// log. It is a deterministic state machine without I/O, clock or threads; the
/// caller passes in the time and the messages, writes the batches and sends the
/// messages. It depends on core, storage and wire only.

namespace mulberryramp {

/// @brief Payload of one AppendEntries request, in bytes, after which no
/// further entry is added.
inline constexpr std::size_t MaxAppendBytes = std::size_t{256} * 1024;

struct ReplicaOptions;
struct Replica;
struct ReplicaMessage;

} // namespace mulberryramp
