#include "mulberryramp/system/failures.hpp"

#include <algorithm>

namespace mulberryramp {

namespace internal {

/// Failed requests in a row that make a worker suspect.
constexpr std::size_t SuspectAfter = 3;
/// Workers on which a request has to fail before it is taken for bad itself.
constexpr std::size_t BadRequestAfter = 2;
/// Largest part of a data centre in quarantine: one worker in this many.
constexpr std::size_t QuarantineShare = 4;
constexpr Millis FirstQuarantine{30000};
constexpr std::uint32_t MaxQuarantineDoublings = 5;

std::size_t quarantined(const DecisionInput &Input,
                        const CentreRuntime &Runtime) {
  return static_cast<std::size_t>(std::count_if(
      Runtime.Workers.begin(), Runtime.Workers.end(), [&](const auto &Item) {
        return Item.second.QuarantineEnd > Input.Now ||
               Item.second.IsOnProbation;
      }));
}

void quarantine(const DecisionInput &Input, CentreRuntime &Runtime,
                WorkerRuntime &WorkerStatus) {
  const std::size_t Most =
      std::max<std::size_t>(Runtime.Workers.size() / QuarantineShare, 1);
  const bool Repeated = WorkerStatus.IsOnProbation;
  if (Runtime.Workers.size() < 2 ||
      (!Repeated && quarantined(Input, Runtime) >= Most)) {
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
  const auto Found = Input.State.ByAttempt.find(Result.Attempt);
  if (Found == Input.State.ByAttempt.end()) {
    return;
  }
  const Task &Row = Input.State.Tasks[Found->second];
  const Worker *Place = Input.State.Workers.find(Row.AssignedWorker);
  const auto Seen = Runtime.Workers.find(Row.AssignedWorker);
  if (Place == nullptr || Seen == Runtime.Workers.end()) {
    return;
  }
  if (Result.End == AttemptEnd::Done) {
    Seen->second.FailedRequests.clear();
    Seen->second.IsOnProbation = false;
    Seen->second.QuarantineCount = 0;
    return;
  }
  const bool IsRefused = Result.End == AttemptEnd::Refused &&
                         !needsStop(Input.State.Requests[Row.Owner]);
  if (Result.End != AttemptEnd::Failed && !IsRefused) {
    return;
  }
  auto &Names = Runtime.Failures[Row.Owner].WorkerNames;
  Names.insert(Place->Name);
  if (Names.size() >= internal::BadRequestAfter) {
    return;
  }
  Seen->second.FailedRequests.insert(Row.Owner);
  if (Seen->second.IsOnProbation ||
      Seen->second.FailedRequests.size() >= internal::SuspectAfter) {
    internal::quarantine(Input, Runtime, Seen->second);
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
