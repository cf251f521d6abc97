#include "cell/drain_schedule.hpp"

namespace mulberryramp::test {

namespace {

/// An order that left the leader before the drain was confirmed arrives within
/// this time.
constexpr Millis MaxOrderTime{100};
/// Time for which a worker goes on after its drain was confirmed.
constexpr Millis DrainTime{1500};
constexpr Millis LeaveRetryInterval{500};

} // namespace

void DrainSchedule::begin(const std::string &Worker, Instant At) {
  Drains[Worker] = {At, false, std::nullopt, Instant{}};
}

void DrainSchedule::cancel(const std::string &Worker) {
  Drains.erase(Worker);
  std::erase_if(Calls, [&Worker](const auto &Open) {
    return Open.second.Worker == Worker;
  });
}

bool DrainSchedule::contains(const std::string &Worker) const {
  return Drains.contains(Worker);
}

bool DrainSchedule::isDraining(const std::string &Worker, Instant Now) const {
  const auto It = Drains.find(Worker);
  return It != Drains.end() && Now >= It->second.BeginsAt;
}

bool DrainSchedule::isFirstReportDue(const std::string &Worker, Instant Now) {
  if (!isDraining(Worker, Now) || Drains.at(Worker).IsReported) {
    return false;
  }
  Drains.at(Worker).IsReported = true;
  return true;
}

void DrainSchedule::onReportSent(const std::string &Worker,
                                 std::uint64_t Call) {
  Calls[Call] = {Worker, false};
}

bool DrainSchedule::isLeaveDue(const std::string &Worker, Instant Now) {
  const auto It = Drains.find(Worker);
  if (It == Drains.end() || !It->second.ConfirmedAt ||
      Now < It->second.NextLeaveAt) {
    return false;
  }
  It->second.NextLeaveAt = Now + LeaveRetryInterval;
  return true;
}

void DrainSchedule::onLeaveSent(const std::string &Worker, std::uint64_t Call) {
  Calls[Call] = {Worker, true};
}

std::optional<std::string>
DrainSchedule::onReply(std::uint64_t Call, CellVerdict Verdict, Instant Now) {
  const auto Open = Calls.extract(Call);
  if (!Open || Verdict != CellVerdict::Done) {
    return std::nullopt;
  }
  Drain &Row = Drains.at(Open.mapped().Worker);
  if (Open.mapped().IsLeave) {
    return Open.mapped().Worker;
  }
  if (!Row.ConfirmedAt) {
    Row.ConfirmedAt = Now;
    Row.NextLeaveAt = Now + DrainTime;
  }
  return std::nullopt;
}

std::string DrainSchedule::checkStart(const std::string &Worker,
                                      Instant Now) const {
  const auto It = Drains.find(Worker);
  const bool IsLate = It != Drains.end() && It->second.ConfirmedAt &&
                      Now > *It->second.ConfirmedAt + MaxOrderTime;
  return IsLate ? "start on a worker whose drain was confirmed " +
                      std::to_string((Now - *It->second.ConfirmedAt).count()) +
                      " ms before: " + Worker
                : "";
}

} // namespace mulberryramp::test
