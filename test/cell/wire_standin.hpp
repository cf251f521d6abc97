#pragma once

#include "mulberryramp/cell/order.hpp"
#include "platform/json.hpp"

#include <optional>
#include <string>

/// @file
/// @brief The platform's side of the wire, for stand-ins of workers.

namespace mulberryramp::test {

/// @brief Renders the name of a task as workers know it.
[[nodiscard]] std::string renderTask(const TaskName &Task);

/// @brief Reads an order that a worker is sent.
/// @param Path Path of the call, which tells the kind.
/// @param Body Its JSON.
/// @return The order without an identifier, or nothing if it is none.
[[nodiscard]] std::optional<WorkerOrder> readOrder(const std::string &Path,
                                                   const std::string &Body);

/// @brief Renders the answer of a worker.
/// @param Result The answer.
/// @param Status Receives the HTTP status.
[[nodiscard]] std::string renderAnswer(const OrderResult &Result, int &Status);

} // namespace mulberryramp::test
