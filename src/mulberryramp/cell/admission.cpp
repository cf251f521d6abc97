#include "mulberryramp/cell/admission.hpp"

#include <algorithm>

namespace mulberryramp {

namespace {

/// A job beyond the rate of its organisation is refused if the waiting work
/// takes longer than this: it would wait behind all of it.
constexpr Millis MaxBacklogForExcess{100};
/// Callers that were refused return within this time after the earliest moment,
/// not all together.
constexpr Millis RetrySpread{2000};
/// A caller is never told to return sooner, as headers carry whole seconds.
constexpr Millis MinRetryAfter{1000};

AdmissionDecision refuse(Millis EarliestReturn, std::uint64_t Hash,
                         std::string_view Reason) {
  const Millis Spread{static_cast<std::int64_t>(
      Hash % static_cast<std::uint64_t>(RetrySpread.count()))};
  return {false, std::max(EarliestReturn, MinRetryAfter) + Spread, Reason};
}

} // namespace

Millis backlogOf(const PoolBacklog &Backlog, const std::string &Pool,
                 std::uint32_t MaxPriority) {
  Millis Sum{0};
  for (auto It = Backlog.lower_bound({Pool, 0});
       It != Backlog.end() && It->first.first == Pool &&
       It->first.second <= MaxPriority;
       ++It) {
    Sum += It->second;
  }
  return Sum;
}

AdmissionDecision decideAdmission(const AdmissionRequest &Request) {
  if (Request.IsExcess && Request.Backlog > MaxBacklogForExcess) {
    return refuse(Request.Backlog, Request.Hash, "beyond-rate");
  }
  if (!Request.IsExcess && Request.Backlog > Request.UsefulTime) {
    return refuse(Request.Backlog - Request.UsefulTime, Request.Hash,
                  "backlog");
  }
  return {};
}

} // namespace mulberryramp
