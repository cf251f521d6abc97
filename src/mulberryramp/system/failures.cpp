#include "mulberryramp/system/failures.hpp"

#include <algorithm>

namespace mulberryramp {

namespace internal {

/// Failed requests without a success between them that put a worker into
/// quarantine.
constexpr std::size_t SuspectRequestCount = 3;
/// Workers on which a request has to fail before the failures are attributed to
/// the request instead of the workers.
constexpr std::size_t BadRequestWorkerCount = 2;
/// At most one in this many workers of a data centre is in quarantine, but one
/// of two or more always may be; a worker that fails on probation may always
/// return to it.
constexpr std::size_t WorkersPerQuarantined = 4;
constexpr Millis FirstQuarantine{30000};
constexpr std::uint32_t MaxQuarantineDoublings = 5;

std::size_t countQuarantined(const DecisionInput &Input,
                             const CentreRuntime &Runtime) {
  return static_cast<std::size_t>(
      std::count_if(Runtime.Workers.begin(), Runtime.Workers.end(),
                    [&](const auto &WorkerEntry) {
                      return WorkerEntry.second.QuarantineEnd > Input.Now ||
                             WorkerEntry.second.IsOnProbation;
                    }));
}

void quarantine(const DecisionInput &Input, CentreRuntime &Runtime,
                WorkerRuntime &WorkerStatus) {
  const std::size_t MaxQuarantined =
      std::max<std::size_t>(Runtime.Workers.size() / WorkersPerQuarantined, 1);
  const bool IsRepeated = WorkerStatus.IsOnProbation;
  if (Runtime.Workers.size() < 2 ||
      (!IsRepeated && countQuarantined(Input, Runtime) >= MaxQuarantined)) {
    return;
  }
  const std::uint32_t Doublings =
      std::min(WorkerStatus.QuarantineCount, MaxQuarantineDoublings);
  WorkerStatus.QuarantineEnd = Input.Now + FirstQuarantine * (1U << Doublings);
  WorkerStatus.QuarantineCount += 1;
  WorkerStatus.IsOnProbation = true;
  WorkerStatus.FailedRequests.clear();
}

} // namespace internal

void recordAttemptEnd(const DecisionInput &Input, CentreRuntime &Runtime,
                      const AttemptResult &Result) {
  const auto TaskIt = Input.State.ByAttempt.find(Result.Attempt);
  if (TaskIt == Input.State.ByAttempt.end()) {
    return;
  }
  const Task &Row = Input.State.Tasks[TaskIt->second];
  const Worker *AssignedRow = Input.State.Workers.find(Row.AssignedWorker);
  const auto RuntimeIt = Runtime.Workers.find(Row.AssignedWorker);
  if (AssignedRow == nullptr || RuntimeIt == Runtime.Workers.end()) {
    return;
  }
  if (Result.End == AttemptEnd::Done) {
    RuntimeIt->second.FailedRequests.clear();
    RuntimeIt->second.IsOnProbation = false;
    RuntimeIt->second.QuarantineCount = 0;
    return;
  }
  const bool IsRefused = Result.End == AttemptEnd::Refused &&
                         !needsStop(Input.State.Requests[Row.Owner]);
  if (Result.End != AttemptEnd::Failed && !IsRefused) {
    return;
  }
  auto &Names = Runtime.Failures[Row.Owner].WorkerNames;
  Names.insert(AssignedRow->Name);
  if (Names.size() >= internal::BadRequestWorkerCount) {
    return;
  }
  RuntimeIt->second.FailedRequests.insert(Row.Owner);
  if (RuntimeIt->second.IsOnProbation ||
      RuntimeIt->second.FailedRequests.size() >=
          internal::SuspectRequestCount) {
    internal::quarantine(Input, Runtime, RuntimeIt->second);
  }
}

bool isRetryBudgetSpent(const Rules &ActiveRules,
                        const CentreRuntime &Runtime) noexcept {
  constexpr std::uint64_t FreeRetries = 20;
  return Runtime.RetryCount >
         FreeRetries +
             Runtime.AttemptCount * ActiveRules.Retry.BudgetPercent / 100;
}

} // namespace mulberryramp
