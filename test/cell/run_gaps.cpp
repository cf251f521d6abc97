#include "cell/run_gaps.hpp"

namespace mulberryramp::test {

std::vector<RunGap> RunGaps::step(const RunGapStep &Facts) {
  changeLeader(Facts);
  for (const auto &[Task, Worker] : Facts.Runs) {
    LastWorkers[Task] = Worker;
  }
  std::vector<RunGap> Ended;
  std::erase_if(Gaps, [&](const auto &Entry) {
    const bool IsOver =
        !Facts.Wanted.contains(Entry.first) || Facts.Runs.contains(Entry.first);
    if (IsOver) {
      Ended.push_back(close(Entry.first, Entry.second, Facts.Now));
    }
    return IsOver;
  });
  for (const TaskName &Task : Facts.Wanted) {
    if (Facts.Runs.contains(Task)) {
      continue;
    }
    const auto [It, IsNew] = Gaps.try_emplace(Task);
    if (IsNew) {
      It->second.Begin = Facts.Now;
      It->second.Leaders = Leader != 0 ? 1 : 0;
      continue;
    }
    if (Facts.HasRoom && !Facts.IsExcused) {
      (Leader != 0 ? It->second.CountedOfLeader : It->second.Counted) +=
          Facts.StepTime;
    }
  }
  return Ended;
}

std::vector<RunGap> RunGaps::open(Instant Now) const {
  std::vector<RunGap> Open;
  Open.reserve(Gaps.size());
  for (const auto &[Task, Gap] : Gaps) {
    Open.push_back(close(Task, Gap, Now));
  }
  return Open;
}

RunGap RunGaps::close(const TaskName &Task, const OpenGap &Gap,
                      Instant Now) const {
  const auto WorkerIt = LastWorkers.find(Task);
  return {Task,
          Gap.Begin,
          Now,
          Gap.Counted +
              (LedFor >= MinServiceTime ? Gap.CountedOfLeader : Millis{0}),
          WorkerIt != LastWorkers.end() ? WorkerIt->second : "",
          Gap.Leaders};
}

void RunGaps::changeLeader(const RunGapStep &Facts) {
  if (Facts.Leader == Leader) {
    LedFor += Facts.StepTime;
    return;
  }
  for (auto &[Task, Gap] : Gaps) {
    Gap.Counted += LedFor >= MinServiceTime ? Gap.CountedOfLeader : Millis{0};
    Gap.CountedOfLeader = Millis{0};
    Gap.Leaders += Facts.Leader != 0 ? 1 : 0;
  }
  Leader = Facts.Leader;
  LedFor = Millis{0};
}

} // namespace mulberryramp::test
