#pragma once

#include "mulberryramp/core/identifier.hpp"

/// @file
/// @brief Forward declarations and limits of the job module: jobs of ordered
/// steps, the workers they run on and the configuration they obey, as one
/// replicated state.

namespace mulberryramp {

/// @brief Longest payload of a job, in bytes.
inline constexpr std::size_t MaxJobPayloadBytes = std::size_t{64} * 1024;
/// @brief Most steps of a job.
inline constexpr std::size_t MaxJobSteps = 256;
/// @brief Most tasks of a step.
inline constexpr std::uint32_t MaxStepTasks = 10000;

struct StepSpec;
struct JobSpec;
struct Job;
struct WorkerInstance;
struct WorkerReport;
struct CellConfiguration;
struct CellState;

using JobId = Identifier<Job>;
using WorkerInstanceId = Identifier<WorkerInstance>;

} // namespace mulberryramp
