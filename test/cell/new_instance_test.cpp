#include "mulberryramp/cell/answers.hpp"
#include "mulberryramp/cell/orders.hpp"
#include "support/cell_parts.hpp"

#include <algorithm>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

/// One worker with a start order that was not answered.
struct RestartedWorkerFixture {
  CellState State;
  DispatchState Dispatch;
  Instant Now{Millis{100000}};
  std::int64_t StartTimeMs = 1;

  RestartedWorkerFixture() {
    applyCommand(State, ConfigureCommand{makeTestConfiguration(1, 3)});
    beginDispatch(Dispatch, State, 1, Now, wallNow());
    registerInstance(StartTimeMs);
    JobSpec Spec;
    StepSpec &Step = Spec.Steps.emplace_back();
    Step.Need.MilliCpus = 1000;
    applyCommand(State, SubmitJobCommand{"j", "host", "/q/", Spec, wallNow()});
    onStateChange(
        Dispatch, State,
        applyCommand(State, AssignTasksCommand{{{{findJob(State, "j"), 0, 0, 0},
                                                 1,
                                                 findWorker(State, "w")}}}),
        Now);
  }

  [[nodiscard]] WallTime wallNow() const {
    return WallTime{Now.time_since_epoch()};
  }

  void registerInstance(std::int64_t NewStartTimeMs) {
    StartTimeMs = NewStartTimeMs;
    WorkerReport Report = makeTestReport("w", 4000);
    Report.StartTimeMs = StartTimeMs;
    onStateChange(Dispatch, State,
                  applyCommand(State, RegisterWorkerCommand{Report}), Now);
    onWorkerReport(Dispatch, findWorker(State, "w"), Report, Now);
  }

  /// Answers the open orders of a kind; a renewal with an empty task list.
  void answer(WorkerOrderKind Kind, OrderVerdict Verdict) {
    Now += Millis{10};
    for (const WorkerOrder &Order : std::exchange(Dispatch.Orders, {})) {
      OrderResult Result;
      Result.Id = Order.Id;
      Result.Verdict = Verdict;
      Result.StartTimeMs = StartTimeMs;
      if (Order.Kind == Kind) {
        onOrderResult(Dispatch, State, Result, Now, wallNow());
      }
    }
    Now += Millis{10};
  }

  /// Requests the task list of the worker, which lacks the task.
  void reconcile() {
    Now += Millis{10};
    for (auto &[Id, Session] : Dispatch.Sessions) {
      Session.NeedsProbe = true;
      Dispatch.TouchedWorkers.insert(Id);
    }
    renewTouched(Dispatch, State, Now);
    answer(WorkerOrderKind::Renew, OrderVerdict::Done);
  }

  /// The worker acknowledges the open stop order.
  void answerStop() { answer(WorkerOrderKind::Stop, OrderVerdict::Done); }

  [[nodiscard]] bool isEndProposed() const {
    return std::any_of(Dispatch.Commands.begin(), Dispatch.Commands.end(),
                       [](const CellCommand &Command) {
                         const auto *Ends =
                             std::get_if<RecordTaskEndsCommand>(&Command);
                         return Ends != nullptr && !Ends->Ends.empty();
                       });
  }
};

} // namespace

TEST_GROUP(CellNewInstance){};

/// Guards against two runs of one task: a stop that the previous instance of a
/// worker acknowledged does not keep an order that is still under way from
/// starting the task on the new instance.
TEST(CellNewInstance, AStopOfThePreviousInstanceDoesNotEndAnUnansweredStart) {
  RestartedWorkerFixture Fixture;
  Fixture.answer(WorkerOrderKind::Start, OrderVerdict::Unanswered);
  TaskLaunch &Launch = Fixture.Dispatch.Launches.begin()->second;
  CHECK(Launch.Phase == LaunchPhase::Unacknowledged);
  CHECK(Launch.StopOrder != 0);
  OrderResult Stopped;
  Stopped.Id = Launch.StopOrder;
  Stopped.Verdict = OrderVerdict::Done;
  onOrderResult(Fixture.Dispatch, Fixture.State, Stopped, Fixture.Now,
                Fixture.wallNow());
  Fixture.registerInstance(2);
  Fixture.reconcile();
  CHECK(!Fixture.isEndProposed());
  Fixture.answerStop();
  Fixture.reconcile();
  CHECK(Fixture.isEndProposed());
}
