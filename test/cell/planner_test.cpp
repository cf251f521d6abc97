#include "mulberryramp/cell/answers.hpp"
#include "mulberryramp/cell/orders.hpp"
#include "mulberryramp/cell/start_planner.hpp"
#include "support/cell_parts.hpp"

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

/// Two equal registered workers.
struct TwoWorkerFixture {
  CellState State;
  DispatchState Dispatch;
  Instant Now{Millis{100000}};

  TwoWorkerFixture() {
    applyCommand(State, ConfigureCommand{makeTestConfiguration(1, 3)});
    beginDispatch(Dispatch, State, 1, Now);
    registerTestWorker(Dispatch, State, "a", 4000, Now);
    registerTestWorker(Dispatch, State, "b", 4000, Now);
  }

  [[nodiscard]] WallTime wallNow() const {
    return WallTime{Now.time_since_epoch()};
  }

  void submit(const std::string &Name) {
    JobSpec Spec;
    StepSpec Step;
    Step.Need.MilliCpus = 1000;
    Step.Estimate = Millis{1000};
    Spec.Steps.push_back(Step);
    applyCommand(State, SubmitJobCommand{Name, "host", "/q/", Spec, wallNow()});
  }

  /// Plans and starts the pending tasks. Returns the name of the worker of the
  /// first start, or "" if nothing was started.
  std::string planAndStart() {
    const auto Assignments = planStarts(Dispatch, State, Now, wallNow());
    if (Assignments.empty()) {
      return "";
    }
    onStateChange(Dispatch, State,
                  applyCommand(State, AssignTasksCommand{Assignments}), Now);
    return State.Workers[Assignments.front().Worker].Report.Name;
  }

  /// Loses the order to start a job on the first worker. The worker then
  /// answers a probe, which shows that it is running.
  void loseStartOrder() {
    submit("one");
    STRCMP_EQUAL("a", planAndStart().c_str());
    answerOrders(WorkerOrderKind::Start, OrderVerdict::Unanswered);
    renewTouched(Dispatch, State, Now);
    answerOrders(WorkerOrderKind::Renew, OrderVerdict::Done);
  }

  void answerOrders(WorkerOrderKind Kind, OrderVerdict Verdict) {
    for (const WorkerOrder &Order : std::exchange(Dispatch.Orders, {})) {
      if (Order.Kind != Kind) {
        continue;
      }
      OrderResult Result;
      Result.Id = Order.Id;
      Result.Verdict = Verdict;
      if (Verdict == OrderVerdict::Done) {
        Result.Clock = 1000;
        Result.StartTimeMs = Kind == WorkerOrderKind::Renew ? 1 : 0;
      }
      onOrderResult(Dispatch, State, Result, Now, wallNow());
    }
  }
};

} // namespace

TEST_GROUP(CellPlanner){};

TEST(CellPlanner, FillsOneOfTwoEqualWorkersBeforeTheOther) {
  TwoWorkerFixture Fixture;
  Fixture.submit("one");
  STRCMP_EQUAL("a", Fixture.planAndStart().c_str());
  Fixture.answerOrders(WorkerOrderKind::Start, OrderVerdict::Done);
  Fixture.submit("two");
  STRCMP_EQUAL("a", Fixture.planAndStart().c_str());
}

TEST(CellPlanner, PrefersOtherWorkersForSomeTimeAfterAMissedOrder) {
  TwoWorkerFixture Fixture;
  Fixture.loseStartOrder();
  Fixture.submit("two");
  STRCMP_EQUAL("b", Fixture.planAndStart().c_str());
  Fixture.answerOrders(WorkerOrderKind::Start, OrderVerdict::Done);
  Fixture.Now += Millis{3100};
  for (const char *Name : {"a", "b"}) {
    Fixture.Dispatch.Sessions.at(findWorker(Fixture.State, Name)).ReportedAt =
        Fixture.Now;
  }
  Fixture.submit("three");
  STRCMP_EQUAL("a", Fixture.planAndStart().c_str());
}

TEST(CellPlanner, UsesAWorkerThatMissedAnOrderIfThereIsNoOther) {
  TwoWorkerFixture Fixture;
  Fixture.loseStartOrder();
  Fixture.Dispatch.Sessions.at(findWorker(Fixture.State, "b")).IsReconciled =
      false;
  Fixture.submit("two");
  STRCMP_EQUAL("a", Fixture.planAndStart().c_str());
}

TEST(CellPlanner, ProbesTheWorkerOfAnUnansweredStartBeforeItsTimeout) {
  TwoWorkerFixture Fixture;
  Fixture.submit("one");
  STRCMP_EQUAL("a", Fixture.planAndStart().c_str());
  Fixture.Dispatch.Orders.clear();
  Fixture.Now += Millis{140};
  probeOverdueStarts(Fixture.Dispatch, Fixture.Now);
  renewTouched(Fixture.Dispatch, Fixture.State, Fixture.Now);
  CHECK(Fixture.Dispatch.Orders.empty());
  Fixture.Now += Millis{20};
  probeOverdueStarts(Fixture.Dispatch, Fixture.Now);
  renewTouched(Fixture.Dispatch, Fixture.State, Fixture.Now);
  CHECK_FALSE(Fixture.Dispatch.Orders.empty());
  CHECK(WorkerOrderKind::Renew == Fixture.Dispatch.Orders.front().Kind);
  // The worker does not list the task: the leader stops the task there before
  // it starts the task elsewhere.
  Fixture.Now += Millis{10};
  Fixture.answerOrders(WorkerOrderKind::Renew, OrderVerdict::Done);
  CHECK_EQUAL(1, Fixture.Dispatch.Orders.size());
  CHECK(WorkerOrderKind::Stop == Fixture.Dispatch.Orders.front().Kind);
  CHECK(Fixture.Dispatch.Commands.empty());
}

/// The first attempt of a speculative task was presumed lost on a worker, which
/// then restarts under its name. The start order may arrive late and reach the
/// new instance, which runs it beside the tasks that the leader knows of.
TEST(CellPlanner, ARestartedWorkerGetsNoStartsUntilAnOrphanIsStoppedThere) {
  TwoWorkerFixture Fixture;
  const WorkerInstanceId Former = findWorker(Fixture.State, "a");
  OrphanedStart Orphan;
  Orphan.Key.Task = 3;
  Orphan.Name = {"job", 0, 0, 3};
  Orphan.Attempt = 2;
  Orphan.StopAckedAt = Fixture.Now;
  Fixture.Dispatch.Sessions.at(Former).Orphans.push_back(Orphan);
  WorkerReport Restarted = makeTestReport("a", 4000);
  Restarted.StartTimeMs = 2;
  onStateChange(Fixture.Dispatch, Fixture.State,
                applyCommand(Fixture.State, RegisterWorkerCommand{Restarted}),
                Fixture.Now);
  const WorkerInstanceId Current = findWorker(Fixture.State, "a");
  onWorkerReport(Fixture.Dispatch, Current, Restarted, Fixture.Now);
  Fixture.Dispatch.Sessions.at(Current).IsReconciled = true;
  CHECK_FALSE(
      isSchedulable(Fixture.Dispatch, Fixture.State, Current, Fixture.Now));
  Fixture.Dispatch.Orders.clear();
  stopOrphans(Fixture.Dispatch, Fixture.State, Fixture.Now);
  CHECK_EQUAL(1, Fixture.Dispatch.Orders.size());
  CHECK(WorkerOrderKind::Stop == Fixture.Dispatch.Orders.front().Kind);
}
