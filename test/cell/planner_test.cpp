#include "mulberryramp/cell/answers.hpp"
#include "mulberryramp/cell/orders.hpp"
#include "mulberryramp/cell/start_planner.hpp"
#include "support/cell_parts.hpp"

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

/// Two equal workers that answer.
struct Pair {
  CellState State;
  DispatchState Dispatch;
  Instant Now{Millis{100000}};

  Pair() {
    applyCommand(State, ConfigureCommand{makeTestConfiguration(1, 3)});
    beginDispatch(Dispatch, State, 1, Now, wall());
    join("a");
    join("b");
  }

  [[nodiscard]] WallTime wall() const {
    return WallTime{Now.time_since_epoch()};
  }

  void join(const std::string &Name) {
    const WorkerReport Report = makeTestReport(Name, 4000);
    onStateChange(Dispatch, State,
                  applyCommand(State, RegisterWorkerCommand{Report}), Now);
    onWorkerReport(Dispatch, findWorker(State, Name), Report, Now);
  }

  void submit(const std::string &Name) {
    JobSpec Spec;
    StepSpec Step;
    Step.Need.MilliCpus = 1000;
    Step.Estimate = Millis{1000};
    Spec.Steps.push_back(Step);
    applyCommand(State, SubmitJobCommand{Name, "host", "/q/", Spec, wall()});
  }

  /// Plans and starts; tells the worker of the first start.
  std::string place() {
    const auto Grants = planStarts(Dispatch, State, Now, wall());
    if (Grants.empty()) {
      return "";
    }
    onStateChange(Dispatch, State,
                  applyCommand(State, AssignTasksCommand{Grants}), Now);
    return State.Workers[Grants.front().Worker].Report.Name;
  }

  /// Loses the order to start a job on the first worker; a look then shows
  /// that the worker lives.
  void loseAnOrder() {
    submit("one");
    STRCMP_EQUAL("a", place().c_str());
    answer(WorkerOrderKind::Start, OrderVerdict::Unanswered);
    renewTouched(Dispatch, State, Now);
    answer(WorkerOrderKind::Renew, OrderVerdict::Done);
  }

  void answer(WorkerOrderKind Kind, OrderVerdict Verdict) {
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
      onOrderResult(Dispatch, State, Result, Now, wall());
    }
  }
};

} // namespace

TEST_GROUP(CellPlanner){};

TEST(CellPlanner, EqualWorkersAreFilledOneAfterTheOther) {
  Pair Of;
  Of.submit("one");
  STRCMP_EQUAL("a", Of.place().c_str());
  Of.answer(WorkerOrderKind::Start, OrderVerdict::Done);
  Of.submit("two");
  STRCMP_EQUAL("a", Of.place().c_str());
}

TEST(CellPlanner, AWorkerThatLostAnOrderIsTheSecondChoiceForAWhile) {
  Pair Of;
  Of.loseAnOrder();
  Of.submit("two");
  STRCMP_EQUAL("b", Of.place().c_str());
  Of.answer(WorkerOrderKind::Start, OrderVerdict::Done);
  Of.Now += Millis{3100};
  for (const char *Name : {"a", "b"}) {
    Of.Dispatch.Sessions.at(findWorker(Of.State, Name)).ReportedAt = Of.Now;
  }
  Of.submit("three");
  STRCMP_EQUAL("a", Of.place().c_str());
}

TEST(CellPlanner, AWorkerThatLostAnOrderIsStillUsedIfThereIsNoOther) {
  Pair Of;
  Of.loseAnOrder();
  Of.Dispatch.Sessions.at(findWorker(Of.State, "b")).IsReconciled = false;
  Of.submit("two");
  STRCMP_EQUAL("a", Of.place().c_str());
}

TEST(CellPlanner, AStartWithoutAnAnswerIsLookedForBeforeItTimesOut) {
  Pair Of;
  Of.submit("one");
  STRCMP_EQUAL("a", Of.place().c_str());
  Of.Dispatch.Orders.clear();
  Of.Now += Millis{140};
  probeOverdueStarts(Of.Dispatch, Of.Now);
  renewTouched(Of.Dispatch, Of.State, Of.Now);
  CHECK(Of.Dispatch.Orders.empty());
  Of.Now += Millis{20};
  probeOverdueStarts(Of.Dispatch, Of.Now);
  renewTouched(Of.Dispatch, Of.State, Of.Now);
  CHECK_FALSE(Of.Dispatch.Orders.empty());
  CHECK(WorkerOrderKind::Renew == Of.Dispatch.Orders.front().Kind);
  // The list does not show it: it is stopped before it is placed elsewhere.
  Of.Now += Millis{10};
  Of.answer(WorkerOrderKind::Renew, OrderVerdict::Done);
  CHECK_EQUAL(1, Of.Dispatch.Orders.size());
  CHECK(WorkerOrderKind::Stop == Of.Dispatch.Orders.front().Kind);
  CHECK(Of.Dispatch.Commands.empty());
}
