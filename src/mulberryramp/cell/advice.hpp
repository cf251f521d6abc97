#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

/// @file
/// @brief Which workers a step may use, where an advisor outside decides.

namespace mulberryramp {

/// @brief Estimates how long the advisor takes to answer.
[[nodiscard]] Millis expectedAnswerTime(const AdvisorOptions &Rules,
                                        std::size_t Workers);

/// @brief Tells whether a step may be started on a worker now.
[[nodiscard]] bool isAdmitted(const StepAdvice &Advice, WorkerInstanceId Worker,
                              Instant Now);

/// @brief Tells whether a question about a step could be asked now; cheap, so
/// that candidates are rated only for questions that will be asked.
[[nodiscard]] bool canQueryAdvisor(const DispatchState &Dispatch,
                                   const StepAdvice &Advice,
                                   const AdvisorOptions &Rules, Instant Now);

/// @brief Asks about a step, unless a question is open or no node is free.
/// @param Workers Workers that would be used, best first.
/// @return True if it was asked.
bool queryAdvisor(DispatchState &Dispatch, const CellState &State,
                  const StepKey &Step, const AdvisorOptions &Rules,
                  const std::vector<WorkerInstanceId> &Workers, Instant Now);

/// @brief Gives up questions that were not answered in time.
void expireQueries(DispatchState &Dispatch, Instant Now);

} // namespace mulberryramp
