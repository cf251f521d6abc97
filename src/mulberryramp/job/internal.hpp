#pragma once

#include "mulberryramp/job/state.hpp"

/// @file
/// @brief Functions that the source files of the module share.

namespace mulberryramp::internal {

// state.cpp
/// Finds a task for changes, like `findTask`.
[[nodiscard]] JobTask *taskAt(CellState &State, const TaskKey &Key);
[[nodiscard]] JobStep &stepAt(CellState &State, const TaskKey &Key);
[[nodiscard]] const StepSpec &specAt(const CellState &State,
                                     const TaskKey &Key);
/// Returns an assigned task to the waiting state and frees its resources.
void unassignTask(CellState &State, const TaskKey &Key, JobTask &Task);
/// Records whether a task of a job has begun. A refused start has not, so that
/// a job without any other is queued again.
void recordBegin(Job &JobRow, EndKind Kind);
/// Records the end of an attempt, also if it is no longer assigned.
void recordTaskEnd(CellState &State, const TaskEnd &End, WallTime At,
                   CellChange &Change);

// worker_commands.cpp
CellChange apply(CellState &State, const RegisterWorkerCommand &Command);
CellChange apply(CellState &State, const DrainWorkerCommand &Command);
CellChange apply(CellState &State, const UpdateCapacityCommand &Command);
CellChange apply(CellState &State, const DeregisterWorkerCommand &Command);
CellChange apply(CellState &State, const LeaveWorkerCommand &Command);
CellChange apply(CellState &State, const SuspendLeasesCommand &Command);
CellChange apply(CellState &State, const ResumeLeasesCommand &Command);
CellChange apply(CellState &State, const EndFormerLeasesCommand &Command);
CellChange apply(CellState &State, const ConfirmAttemptsCommand &Command);

} // namespace mulberryramp::internal
