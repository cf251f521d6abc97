#pragma once

// JSON encoding of the worker's side of the poll protocol, written for tests
// and independent of the daemon's encoder and parser.

#include "mulberryramp/worker/message.hpp"

#include <optional>
#include <string>

namespace mulberryramp::test {

/// @brief Renders a poll as the JSON body that a worker sends.
[[nodiscard]] std::string renderPoll(const WorkerPoll &Poll);

/// @brief Parses the JSON answer to a poll.
/// @return The answer, or nullopt if it is malformed.
[[nodiscard]] std::optional<WorkerReply> parseReply(const std::string &Body);

} // namespace mulberryramp::test
