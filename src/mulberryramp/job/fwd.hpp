#pragma once

#include "mulberryramp/core/identifier.hpp"

/// @file
/// @brief Forward declarations and limits of the job module.
///
/// The module holds the replicated state of a cell: its configuration, its
/// worker instances and its jobs, which consist of dependent steps. Commands
/// change this state deterministically. The module depends on core only: it
/// reads no clock and performs no I/O.

namespace mulberryramp {

/// @brief Maximum payload of a job, in bytes.
inline constexpr std::size_t MaxJobPayloadBytes = std::size_t{64} * 1024;
/// @brief Maximum number of steps of a job.
inline constexpr std::size_t MaxJobSteps = 256;
/// @brief Maximum number of tasks of a step.
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
