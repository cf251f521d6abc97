#pragma once

#include "mulberryramp/core/identifier.hpp"

/// @file
/// @brief Forward declarations and identifiers of the table module.
///
/// The module holds the row types of workers, tasks and requests of one data
/// centre. They are plain data without behaviour and depend on core only.

namespace mulberryramp {

struct Worker;
struct Task;
struct Request;
struct RequestSpec;

using WorkerId = Identifier<Worker>;
using TaskId = Identifier<Task>;
using RequestId = Identifier<Request>;

/// @brief Number of one attempt to run a task; never reused in a group.
using AttemptId = std::uint64_t;

} // namespace mulberryramp
