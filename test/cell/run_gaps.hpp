#pragma once

#include "mulberryramp/cell/order.hpp"
#include "mulberryramp/core/fwd.hpp"
#include "mulberryramp/core/time.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

/// @file
/// @brief Invariant on the time for which a long-running task has no run.

namespace mulberryramp::test {

/// @brief Longest time for which a long-running task may have no run while
/// there is room for it: 6 s from the end of its last run, and then 3 s.
/// Callers are promised this; it is not to be tuned.
inline constexpr Millis MaxRunGap{9000};

/// @brief A leader that leads for less than this is taken for one that could
/// not serve: it has to be found by callers and workers, and to commit starts.
inline constexpr Millis MinServiceTime{2000};

/// @brief Facts about the cell at one step of a schedule.
struct RunGapStep {
  Instant Now;
  Millis StepTime{0};
  /// Capacity for two tasks is free on workers that can be reached.
  bool HasRoom = false;
  /// The voters cannot elect a leader, or have not had the time to.
  bool IsExcused = false;
  NodeId Leader = 0;         ///< Voter that leads and can be reached, or 0.
  std::set<TaskName> Wanted; ///< Tasks that have to run.
  std::map<TaskName, std::string> Runs; ///< Tasks that run, with the worker.
};

/// @brief A time for which a task had no run, from the end of its last run or
/// from the acceptance of its job on.
struct RunGap {
  TaskName Task;
  Instant Begin;
  Instant End;
  /// Part of it in which there was room and the cell was not excused.
  Millis Counted{0};
  std::string LastWorker;  ///< Empty if the task never ran.
  std::size_t Leaders = 0; ///< Leaders within the gap.
};

/// @brief Measures for how long long-running tasks have no run.
///
/// Counted time adds up over all leaders within a gap, so that a series of
/// elections excuses only the time without a leader. The time of a leader
/// counts once it has led for `MinServiceTime`.
class RunGaps {
public:
  /// @brief Takes in one step.
  /// @return The gaps that ended with it.
  std::vector<RunGap> step(const RunGapStep &Facts);

  /// @brief Returns the gaps that are open at the end of a schedule.
  [[nodiscard]] std::vector<RunGap> open(Instant Now) const;

private:
  struct OpenGap {
    Instant Begin;
    Millis Counted{0};
    Millis CountedOfLeader{0}; ///< Under the present leader.
    std::size_t Leaders = 0;
  };

  [[nodiscard]] RunGap close(const TaskName &Task, const OpenGap &Gap,
                             Instant Now) const;
  void changeLeader(const RunGapStep &Facts);

  std::map<TaskName, OpenGap> Gaps;
  std::map<TaskName, std::string> LastWorkers;
  NodeId Leader = 0;
  Millis LedFor{0};
};

} // namespace mulberryramp::test
