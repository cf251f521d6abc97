#pragma once

#include "mulberryramp/worker/message.hpp"

#include <optional>
#include <string>

namespace mulberryramp::test {

/// @brief Renders a poll as a worker sends it.
[[nodiscard]] std::string renderPoll(const WorkerPoll &Poll);

/// @brief Reads the answer to a poll.
/// @return The answer, or nothing if it is malformed.
[[nodiscard]] std::optional<WorkerReply> parseReply(const std::string &Body);

} // namespace mulberryramp::test
