#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

/// @file
/// @brief Admission of workers to steps by an external advisor: routes queries
/// over the nodes of the cell and records the answers in the dispatch state.
/// The node sends the queries.

namespace mulberryramp {

/// @brief Estimates the answer time of the advisor.
/// @param Advisor Advisor options of the queue.
/// @param Workers Number of workers in the query.
[[nodiscard]] Millis expectedAnswerTime(const AdvisorOptions &Advisor,
                                        std::size_t Workers);

/// @brief Tells whether an unexpired ticket admits a step to a worker.
[[nodiscard]] bool isAdmitted(const StepAdvice &Advice, WorkerInstanceId Worker,
                              Instant Now);

/// @brief Tells whether a query about a step can be sent now. The check is
/// cheap; callers score candidates only if it succeeds.
[[nodiscard]] bool canQueryAdvisor(const DispatchState &Dispatch,
                                   const StepAdvice &Advice,
                                   const AdvisorOptions &Advisor, Instant Now);

/// @brief Queues a query about a step, unless one is open, its retry time is
/// not reached or too few nodes are free.
/// @param Advisor Advisor options of the queue.
/// @param Workers Workers to be admitted, best first.
/// @return Whether the query was queued.
bool queryAdvisor(DispatchState &Dispatch, const CellState &State,
                  const StepKey &Step, const AdvisorOptions &Advisor,
                  const std::vector<WorkerInstanceId> &Workers, Instant Now);

/// @brief Drops queries whose timeout expired, and backs off the nodes that
/// they were routed to.
void expireQueries(DispatchState &Dispatch, Instant Now);

} // namespace mulberryramp
