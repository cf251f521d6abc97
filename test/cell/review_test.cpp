#include "mulberryramp/cell/review.hpp"
#include "support/cell_parts.hpp"

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
    beginDispatch(Dispatch, State, 1, Now, WallTime{Millis{100000}});
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
