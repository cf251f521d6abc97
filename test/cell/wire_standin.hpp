#pragma once

#include "mulberryramp/cell/order.hpp"
#include "platform/json.hpp"

#include <optional>
#include <string>

/// @file
/// @brief Worker side of the platform's HTTP protocol: decodes orders and
/// encodes answers for fake workers.

namespace mulberryramp::test {

/// @brief Encodes a task name as "job.run.step.task".
[[nodiscard]] std::string encodeTaskName(const TaskName &Task);

/// @brief Decodes an order that was sent to a worker.
/// @param Path Path of the HTTP request; it determines the kind of order.
/// @param Body JSON body of the request.
/// @return The order without its identifier, or nothing if the body is not a
/// JSON object, the task name is malformed or the path is unknown. A task name
/// with a part that is not a number throws as std::stoul does.
[[nodiscard]] std::optional<WorkerOrder> decodeOrder(const std::string &Path,
                                                     const std::string &Body);

/// @brief Encodes the answer of a worker as JSON.
/// @param Result The answer; lists are encoded if it has a start time.
/// @param Status Receives the HTTP status: 200 if the order was executed, else
/// 409.
[[nodiscard]] std::string encodeAnswer(const OrderResult &Result, int &Status);

} // namespace mulberryramp::test
