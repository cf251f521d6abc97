#pragma once

#include "mulberryramp/core/fwd.hpp"

/// @file
/// @brief Forward declarations and limits of the worker module.
///
/// The module holds the messages between a worker and the leader of its data
/// centre. They are plain data; it depends on core and table only.

namespace mulberryramp {

/// @brief Maximum size of an assembled answer.
inline constexpr std::size_t MaxAnswerBytes = std::size_t{64} * 1024;
inline constexpr std::size_t MaxReportsPerPoll = 4096;
inline constexpr std::uint32_t MaxAnswerParts = 1024;

struct AttemptReport;
struct WorkerPoll;
struct StartOrder;
struct StopOrder;
struct WorkerReply;

} // namespace mulberryramp
