#pragma once

#include "mulberryramp/core/identifier.hpp"

/// @file
/// @brief Forward declarations and defaults of the table module: workers,
/// tasks and requests of one data centre.

namespace mulberryramp {

struct Worker;
struct Task;
struct Request;
struct RequestSpec;

using WorkerId = Identifier<Worker>;
using TaskId = Identifier<Task>;
using RequestId = Identifier<Request>;

/// @brief Number of one try to run a task; never used twice in a group.
using AttemptId = std::uint64_t;

} // namespace mulberryramp
