#include "mulberryramp/cell/review.hpp"
#include "support/cell_parts.hpp"

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

constexpr std::int64_t TailLimitMs = 100;

/// A worker with a serving task and one that fills beside it, both confirmed.
struct Shared {
  CellState State;
  DispatchState Dispatch;
  Instant Now{Millis{100000}};
  TaskKey Serving;
  TaskKey Filler;

  Shared() {
    applyCommand(State, ConfigureCommand{makeTestConfiguration(1, 3)});
    const WorkerReport Report = makeTestReport("w", 4000);
    applyCommand(State, RegisterWorkerCommand{Report});
    const WorkerInstanceId Worker = findWorker(State, "w");
    beginDispatch(Dispatch, State, 1, Now, WallTime{Millis{100000}});
    onWorkerReport(Dispatch, Worker, Report, Now);
    StepSpec Step;
    Step.Estimate = Millis{60000};
    Step.Need.MilliCpus = 1000;
    Filler = begin("fill", Step, Worker);
    Step.IsLongRunning = true;
    Step.TailLatencyLimit = Millis{TailLimitMs};
    Serving = begin("serve", Step, Worker);
    Dispatch.Orders.clear();
  }

  TaskKey begin(const std::string &Name, const StepSpec &Step,
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
    Launch.Percent = Step.IsLongRunning ? 100 : 1;
    return Key;
  }

  /// Lets the tail be at a value for a while.
  void pass(std::int64_t Ms, std::int64_t Tail) {
    for (std::int64_t Done = 0; Done < Ms; Done += 100) {
      Now += Millis{100};
      TaskLaunch &Launch = Dispatch.Launches.at(Serving);
      Launch.Gauge = Tail;
      Dispatch.Launches.at(Filler).ProgressAt = Now;
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

TEST(CellReview, ATailInBoundsChangesNothing) {
  Shared On;
  On.pass(3000, TailLimitMs);
  CHECK(On.takePaces().empty());
}

TEST(CellReview, WhatFillsIsPacedAndThenStoppedWhileATailIsOverItsLimit) {
  Shared On;
  On.pass(3000, TailLimitMs + 1);
  const auto Paces = On.takePaces();
  CHECK_EQUAL(2, Paces.size());
  CHECK(Paces[0] < 100 && Paces[0] > 0);
  CHECK_EQUAL(0, Paces[1]);
}

TEST(CellReview, WhatWasPacedGoesOnOnceTheTailIsCalm) {
  Shared On;
  On.pass(3000, TailLimitMs + 1);
  (void)On.takePaces();
  On.pass(3000, TailLimitMs / 2);
  const auto Paces = On.takePaces();
  CHECK_EQUAL(2, Paces.size());
  CHECK_EQUAL(100, Paces[1]);
}

TEST(CellReview, TasksOfACancelledJobAreStopped) {
  Shared On;
  applyCommand(On.State, CancelJobCommand{"serve", WallTime{}});
  On.pass(100, 0);
  CHECK_EQUAL(1, On.Dispatch.Orders.size());
  CHECK(WorkerOrderKind::Stop == On.Dispatch.Orders.front().Kind);
  STRCMP_EQUAL("serve", On.Dispatch.Orders.front().Task.Job.c_str());
}
