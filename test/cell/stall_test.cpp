#include "mulberryramp/cell/review.hpp"
#include "support/cell_parts.hpp"

#include <utility>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

/// Two workers that run the tasks of one step, listed at 0 %.
struct ProgressFixture {
  CellState State;
  DispatchState Dispatch;
  Instant Now{Millis{100000}};
  std::vector<TaskKey> Tasks;

  ProgressFixture(std::uint32_t Count, bool IsGang) {
    applyCommand(State, ConfigureCommand{makeTestConfiguration(1, 3)});
    beginDispatch(Dispatch, State, 1, Now);
    for (const char *Name : {"w0", "w1"}) {
      const WorkerReport Report = makeTestReport(Name, 4000);
      onStateChange(Dispatch, State,
                    applyCommand(State, RegisterWorkerCommand{Report}), Now);
      onWorkerReport(Dispatch, findWorker(State, Name), Report, Now);
    }
    JobSpec Spec;
    StepSpec &Step = Spec.Steps.emplace_back();
    Step.Need.MilliCpus = 1000;
    Step.Estimate = Millis{1000};
    Step.Tasks = Count;
    Step.IsGang = IsGang;
    applyCommand(State, SubmitJobCommand{"j", "host", "/q/", Spec, WallTime{}});
    for (std::uint32_t Task = 0; Task < Count; ++Task) {
      Tasks.push_back({findJob(State, "j"), 0, 0, Task});
    }
    start(1);
  }

  /// Starts an attempt of all tasks, in turn on the two workers.
  void start(std::uint32_t Attempt) {
    AssignTasksCommand Assign;
    for (const TaskKey &Key : Tasks) {
      Assign.Assignments.push_back(
          {Key, Attempt, findWorker(State, Key.Task % 2 == 0 ? "w0" : "w1")});
    }
    onStateChange(Dispatch, State, applyCommand(State, Assign), Now);
    for (const TaskKey &Key : Tasks) {
      TaskLaunch &Launch = Dispatch.Launches.at(Key);
      Launch.Phase = LaunchPhase::Confirmed;
      Launch.Baseline = ProgressSample{0, Now};
      Launch.ListedAt = Now;
      Launch.ProgressAt = Now;
    }
    Dispatch.Orders.clear();
  }

  void list(std::uint32_t Task, std::uint32_t Percent) {
    TaskLaunch &Launch = Dispatch.Launches.at(Tasks[Task]);
    Launch.ProgressPercent = Percent;
    Launch.ProgressAt = Now;
  }

  /// Reviews the launches for a time and returns the number of stop orders.
  std::size_t review(std::int64_t Ms) {
    for (std::int64_t ElapsedMs = 0; ElapsedMs < Ms; ElapsedMs += 100) {
      Now += Millis{100};
      reviewLaunches(Dispatch, State, Now);
    }
    return std::exchange(Dispatch.Orders, {}).size();
  }

  /// The worker has stopped the only task.
  void endStopped(std::uint32_t Attempt) {
    RecordTaskEndsCommand Command;
    Command.Ends.push_back({Tasks.front(), Attempt, EndKind::Stopped, ""});
    onStateChange(Dispatch, State, applyCommand(State, Command), Now);
  }
};

} // namespace

TEST_GROUP(CellStall){};

/// Guards against restarts of a healthy task without end: it runs for 1,000 s,
/// so that each percent takes 10 s, and its estimate is 1 s.
TEST(CellStall, AHealthyTaskWithALowEstimateIsNotStopped) {
  ProgressFixture Fixture{1, false};
  CHECK_EQUAL(0, Fixture.review(2000));
  Fixture.Now += Millis{8000};
  for (std::uint32_t Percent = 1; Percent < 20; ++Percent) {
    Fixture.list(0, Percent);
    CHECK_EQUAL(0, Fixture.review(10000));
  }
}

/// Guards against tasks that hang for good.
TEST(CellStall, ATaskThatMakesNoMoreProgressIsStopped) {
  ProgressFixture Fixture{1, false};
  Fixture.Now += Millis{100};
  Fixture.list(0, 10);
  CHECK_EQUAL(0, Fixture.review(2500));
  CHECK_EQUAL(1, Fixture.review(200));
}

/// Guards against restarts without end before the first percent, when the speed
/// of the task is not known.
TEST(CellStall, ATaskGetsMoreTimeForItsFirstProgressAfterEachStop) {
  ProgressFixture Fixture{1, false};
  std::uint32_t Attempt = 1;
  for (; Attempt < 9 && Fixture.review(10000) != 0; ++Attempt) {
    Fixture.endStopped(Attempt);
    Fixture.start(Attempt + 1);
  }
  CHECK_EQUAL(3, Attempt);
}

/// Guards against the stop of a task that could make no progress while it was
/// suspended.
TEST(CellStall, AResumedTaskHasNotStalled) {
  ProgressFixture Fixture{1, false};
  Fixture.Now += Millis{20000};
  Fixture.Dispatch.Launches.at(Fixture.Tasks[0]).PaceAt = Fixture.Now;
  CHECK_EQUAL(0, Fixture.review(2000));
}

/// Guards against a gang that hangs for good, and against the stop of a gang of
/// which one member still makes progress.
TEST(CellStall, AGangIsStoppedOnceAllItsMembersMakeNoProgress) {
  ProgressFixture Fixture{2, true};
  for (std::uint32_t Percent = 1; Percent < 10; ++Percent) {
    Fixture.list(0, Percent);
    CHECK_EQUAL(0, Fixture.review(1000));
  }
  // 9 % in 8 s: 5 % of the expected run time are 4.4 s.
  CHECK_EQUAL(0, Fixture.review(5000));
  CHECK_EQUAL(2, Fixture.review(1500));
  // The member on w1 was the first that made no progress.
  CHECK(Fixture.Dispatch.Sessions.at(findWorker(Fixture.State, "w0"))
            .BackoffUntil <= Fixture.Now);
  CHECK(Fixture.Dispatch.Sessions.at(findWorker(Fixture.State, "w1"))
            .BackoffUntil > Fixture.Now);
}

/// Guards against the stop of a gang whose progress is not known.
TEST(CellStall, AGangWithAnUnlistedMemberOrASilentWorkerHasNotStalled) {
  for (const bool IsUnlisted : {false, true}) {
    ProgressFixture Fixture{2, true};
    if (IsUnlisted) {
      Fixture.Dispatch.Launches.at(Fixture.Tasks[1]).ListedAt = Instant{};
    } else {
      Fixture.Dispatch.Sessions.at(findWorker(Fixture.State, "w1"))
          .ConsecutiveMisses = 1;
    }
    CHECK_EQUAL(0, Fixture.review(10000));
  }
}
