#include "mulberryramp/cell/answers.hpp"
#include "mulberryramp/cell/review.hpp"
#include "support/cell_parts.hpp"

#include <utility>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

constexpr std::int64_t TailLatencyLimitMs = 100;

/// A worker with a latency-sensitive task and a batch task, both confirmed.
struct SharedWorkerFixture {
  CellState State;
  DispatchState Dispatch;
  Instant Now{Millis{100000}};
  TaskKey LatencyTask;
  TaskKey BatchTask;

  SharedWorkerFixture() {
    applyCommand(State, ConfigureCommand{makeTestConfiguration(1, 3)});
    const WorkerReport Report = makeTestReport("w", 4000);
    applyCommand(State, RegisterWorkerCommand{Report});
    const WorkerInstanceId Worker = findWorker(State, "w");
    beginDispatch(Dispatch, State, 1, Now);
    onWorkerReport(Dispatch, Worker, Report, Now);
    StepSpec Step;
    Step.Estimate = Millis{60000};
    Step.Need.MilliCpus = 1000;
    BatchTask = startTask("fill", Step, Worker);
    Step.IsLongRunning = true;
    Step.TailLatencyLimit = Millis{TailLatencyLimitMs};
    LatencyTask = startTask("serve", Step, Worker);
    Dispatch.Orders.clear();
  }

  TaskKey startTask(const std::string &Name, const StepSpec &Step,
                    WorkerInstanceId Worker) {
    JobSpec Spec;
    Spec.Steps.push_back(Step);
    applyCommand(State,
                 SubmitJobCommand{Name, "host", "/q/", Spec, WallTime{}});
    const TaskKey Key{findJob(State, Name), 0, 0, 0};
    onStateChange(Dispatch, State,
                  applyCommand(State, AssignTasksCommand{{{Key, 1, Worker}}}),
                  Now);
    TaskLaunch &Launch = Dispatch.Launches.at(Key);
    Launch.Phase = LaunchPhase::Confirmed;
    Launch.ProgressPercent = Step.IsLongRunning ? 100 : 1;
    return Key;
  }

  /// Advances time while the latency task reports a constant tail latency.
  void advance(std::int64_t Ms, std::int64_t TailLatency) {
    for (std::int64_t ElapsedMs = 0; ElapsedMs < Ms; ElapsedMs += 100) {
      Now += Millis{100};
      TaskLaunch &Launch = Dispatch.Launches.at(LatencyTask);
      Launch.Gauge = TailLatency;
      Dispatch.Launches.at(BatchTask).ProgressAt = Now;
      reviewLaunches(Dispatch, State, Now);
    }
  }

  /// The next leader finds both tasks running.
  void replaceLeader() {
    beginDispatch(Dispatch, State, 2, Now);
    for (auto &[Key, Launch] : Dispatch.Launches) {
      Launch.Phase = LaunchPhase::Confirmed;
      Launch.ProgressPercent = Key == LatencyTask ? 100 : 1;
    }
    Dispatch.Orders.clear();
  }

  /// Answers the open pace orders.
  void answerPaces(OrderVerdict Verdict) {
    for (const WorkerOrder &Order : std::exchange(Dispatch.Orders, {})) {
      OrderResult Result;
      Result.Id = Order.Id;
      Result.Verdict = Verdict;
      if (Order.Kind == WorkerOrderKind::Pace) {
        onOrderResult(Dispatch, State, Result, Now, WallTime{Millis{100000}});
      }
    }
  }

  std::vector<std::uint32_t> takePaces() {
    std::vector<std::uint32_t> Paces;
    for (const WorkerOrder &Order : Dispatch.Orders) {
      if (Order.Kind == WorkerOrderKind::Pace) {
        STRCMP_EQUAL("fill", Order.Task.Job.c_str());
        Paces.push_back(Order.Percent);
      }
    }
    Dispatch.Orders.clear();
    return Paces;
  }
};

} // namespace

TEST_GROUP(CellReview){};

TEST(CellReview, SendsNoPaceOrdersWhileTheTailLatencyIsWithinItsLimit) {
  SharedWorkerFixture Fixture;
  Fixture.advance(3000, TailLatencyLimitMs);
  CHECK(Fixture.takePaces().empty());
}

TEST(CellReview, SlowsAndThenSuspendsABatchTaskDuringALatencyViolation) {
  SharedWorkerFixture Fixture;
  Fixture.advance(3000, TailLatencyLimitMs + 1);
  const auto Paces = Fixture.takePaces();
  CHECK_EQUAL(2, Paces.size());
  CHECK(Paces[0] < 100 && Paces[0] > 0);
  CHECK_EQUAL(0, Paces[1]);
}

TEST(CellReview, ResumesABatchTaskOnceTheTailLatencyHasRecovered) {
  SharedWorkerFixture Fixture;
  Fixture.advance(3000, TailLatencyLimitMs + 1);
  (void)Fixture.takePaces();
  Fixture.advance(3000, TailLatencyLimitMs / 2);
  const auto Paces = Fixture.takePaces();
  CHECK_EQUAL(2, Paces.size());
  CHECK_EQUAL(100, Paces[1]);
}

TEST(CellReview, StopsTheTasksOfACancelledJob) {
  SharedWorkerFixture Fixture;
  applyCommand(Fixture.State, CancelJobCommand{"serve", WallTime{}});
  Fixture.advance(100, 0);
  CHECK_EQUAL(1, Fixture.Dispatch.Orders.size());
  CHECK(WorkerOrderKind::Stop == Fixture.Dispatch.Orders.front().Kind);
  STRCMP_EQUAL("serve", Fixture.Dispatch.Orders.front().Task.Job.c_str());
}

/// Guards against a task that stays suspended for good: its leader was replaced
/// while the task was paced.
TEST(CellReview, ANewLeaderSetsThePaceOfATaskThatItFoundRunning) {
  SharedWorkerFixture Fixture;
  Fixture.advance(3000, TailLatencyLimitMs + 1);
  Fixture.replaceLeader();
  // The tail latency is neither over the limit nor recovered.
  Fixture.advance(3000, TailLatencyLimitMs - 1);
  CHECK(Fixture.takePaces().empty());
  Fixture.advance(3000, TailLatencyLimitMs / 2);
  const auto Paces = Fixture.takePaces();
  CHECK_EQUAL(1, Paces.size());
  CHECK_EQUAL(100, Paces[0]);
}

/// Guards against orders for all running tasks of a cell that paces none.
TEST(CellReview, ANewLeaderSetsNoPaceWithoutATailLatencyLimit) {
  SharedWorkerFixture Fixture;
  Fixture.State.Jobs[Fixture.LatencyTask.Job]
      .Spec.Steps.front()
      .TailLatencyLimit = Millis{0};
  Fixture.replaceLeader();
  Fixture.advance(3000, 0);
  CHECK(Fixture.takePaces().empty());
}

/// Guards against a task that stays suspended for good: the order that ended
/// the suspension got lost.
TEST(CellReview, AnUnansweredPaceOrderIsRepeated) {
  SharedWorkerFixture Fixture;
  Fixture.advance(3000, TailLatencyLimitMs + 1);
  (void)Fixture.takePaces();
  Fixture.advance(2000, TailLatencyLimitMs / 2);
  Fixture.answerPaces(OrderVerdict::Unanswered);
  Fixture.advance(2000, TailLatencyLimitMs / 2);
  const auto Paces = Fixture.takePaces();
  CHECK_EQUAL(1, Paces.size());
  CHECK_EQUAL(100, Paces[0]);
  // The lost order may still be executed within `MaxOrderDelay`.
  Fixture.advance(30000, TailLatencyLimitMs / 2);
  CHECK_EQUAL(1, Fixture.takePaces().size());
}

/// Guards against an answer about an earlier attempt of the task.
TEST(CellReview, AnAnswerAboutAnEarlierAttemptChangesNoPace) {
  SharedWorkerFixture Fixture;
  Fixture.advance(100, TailLatencyLimitMs + 1);
  Fixture.advance(1000, TailLatencyLimitMs + 1);
  TaskLaunch &Launch = Fixture.Dispatch.Launches.at(Fixture.BatchTask);
  CHECK(Launch.PacePercent < 100);
  Launch.Assignment.Attempt += 1;
  Fixture.answerPaces(OrderVerdict::Unanswered);
  CHECK(Launch.IsPaceKnown);
}
