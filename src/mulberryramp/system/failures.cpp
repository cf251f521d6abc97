#include "mulberryramp/system/failures.hpp"

#include <algorithm>

namespace mulberryramp {

namespace internal {

/// Failed requests in a row that make a worker suspect.
constexpr std::size_t SuspectAfter = 3;
/// Workers on which a request has to fail before it is taken for bad itself.
constexpr std::size_t BadJobAfter = 2;
/// Largest part of a data centre in quarantine: one worker in this many.
constexpr std::size_t QuarantineShare = 4;
constexpr Millis FirstQuarantine{30000};
constexpr std::uint32_t MaxQuarantineDoublings = 5;

std::size_t quarantined(const DecisionInput &Input, const CentreRuntime &View) {
  return static_cast<std::size_t>(std::count_if(
      View.Workers.begin(), View.Workers.end(), [&](const auto &Item) {
        return Item.second.QuarantineEnd > Input.Now ||
               Item.second.IsOnProbation;
      }));
}

void quarantine(const DecisionInput &Input, CentreRuntime &View,
                WorkerRuntime &Seen) {
  const std::size_t Most =
      std::max<std::size_t>(View.Workers.size() / QuarantineShare, 1);
  const bool Repeated = Seen.IsOnProbation;
  if (View.Workers.size() < 2 ||
      (!Repeated && quarantined(Input, View) >= Most)) {
    return;
  }
  const std::uint32_t Doublings =
      std::min(Seen.QuarantineCount, MaxQuarantineDoublings);
  Seen.QuarantineEnd = Input.Now + FirstQuarantine * (1U << Doublings);
  Seen.QuarantineCount += 1;
  Seen.IsOnProbation = true;
  Seen.FailedRequests.clear();
}

} // namespace internal

void recordAttemptEnd(const DecisionInput &Input, CentreRuntime &View,
                      const AttemptResult &Item) {
  const auto Found = Input.State.ByAttempt.find(Item.Attempt);
  if (Found == Input.State.ByAttempt.end()) {
    return;
  }
  const Task &Row = Input.State.Tasks[Found->second];
  const Worker *Place = Input.State.Workers.find(Row.Place);
  const auto Seen = View.Workers.find(Row.Place);
  if (Place == nullptr || Seen == View.Workers.end()) {
    return;
  }
  if (Item.End == AttemptEnd::Done) {
    Seen->second.FailedRequests.clear();
    Seen->second.IsOnProbation = false;
    Seen->second.QuarantineCount = 0;
    return;
  }
  const bool IsRefused = Item.End == AttemptEnd::Refused &&
                         !needsStop(Input.State.Requests[Row.Owner]);
  if (Item.End != AttemptEnd::Failed && !IsRefused) {
    return;
  }
  auto &Names = View.Failures[Row.Owner].WorkerNames;
  Names.insert(Place->Name);
  if (Names.size() >= internal::BadJobAfter) {
    return;
  }
  Seen->second.FailedRequests.insert(Row.Owner);
  if (Seen->second.IsOnProbation ||
      Seen->second.FailedRequests.size() >= internal::SuspectAfter) {
    internal::quarantine(Input, View, Seen->second);
  }
}

bool isRetryBudgetSpent(const Rules &InForce,
                        const CentreRuntime &View) noexcept {
  constexpr std::uint64_t FreeRetries = 20;
  return View.RetryCount >
         FreeRetries + View.AttemptCount * InForce.Retry.BudgetPercent / 100;
}

} // namespace mulberryramp
