#include "mulberryramp/cell/answers.hpp"
#include "mulberryramp/cell/message.hpp"
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
    beginDispatch(Dispatch, State, 1, Now);
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

  /// Sends a renewal, which the worker answers.
  /// @return The highest end that it acknowledges.
  std::uint64_t renew() {
    WorkerSession &Session = Dispatch.Sessions.at(findWorker(State, "w"));
    Session.NextRenewalAt = Now;
    Dispatch.TouchedWorkers.insert(findWorker(State, "w"));
    renewTouched(Dispatch, State, Now);
    std::uint64_t LastAckedEnd = 0;
    std::vector<WorkerOrder> Others;
    Now += Millis{10};
    for (const WorkerOrder &Order : std::exchange(Dispatch.Orders, {})) {
      if (Order.Kind != WorkerOrderKind::Renew) {
        Others.push_back(Order);
        continue;
      }
      LastAckedEnd = Order.LastAckedEnd;
      OrderResult Result;
      Result.Id = Order.Id;
      Result.Verdict = OrderVerdict::Done;
      Result.StartTimeMs = StartTimeMs;
      onOrderResult(Dispatch, State, Result, Now, wallNow());
    }
    Dispatch.Orders.insert(Dispatch.Orders.end(), Others.begin(), Others.end());
    return LastAckedEnd;
  }

  /// The worker confirms the open start order.
  void answerStart(bool IsNewConnection) {
    for (const WorkerOrder &Order : std::exchange(Dispatch.Orders, {})) {
      if (Order.Kind == WorkerOrderKind::Start) {
        OrderResult Result;
        Result.Id = Order.Id;
        Result.Verdict = OrderVerdict::Done;
        Result.IsNewConnection = IsNewConnection;
        onOrderResult(Dispatch, State, Result, Now, wallNow());
      }
    }
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

/// Guards against two runs of one task: a connection that a start opened may
/// lead to the next instance of the worker, whose ends have the same numbers.
/// An acknowledgement there would make it forget ends that nobody recorded.
TEST(CellNewInstance, ANewConnectionGetsNoAcknowledgementBeforeItIsVerified) {
  RestartedWorkerFixture Fixture;
  const WorkerInstanceId Worker = findWorker(Fixture.State, "w");
  RecordTaskEndsCommand Recorded;
  Recorded.Worker = Worker;
  Recorded.LastEnd = 16;
  applyCommand(Fixture.State, Recorded);
  // The start of the fixture is open: it may open a connection.
  CHECK_EQUAL(0, Fixture.renew());
  CHECK_EQUAL(0, Fixture.renew());
  Fixture.answerStart(true);
  CHECK_EQUAL(0, Fixture.renew());
  CHECK_EQUAL(16, Fixture.renew());
}

TEST(CellNewInstance, AStartOnAnOpenConnectionDelaysNoAcknowledgement) {
  RestartedWorkerFixture Fixture;
  RecordTaskEndsCommand Recorded;
  Recorded.Worker = findWorker(Fixture.State, "w");
  Recorded.LastEnd = 16;
  applyCommand(Fixture.State, Recorded);
  CHECK_EQUAL(0, Fixture.renew());
  Fixture.answerStart(false);
  CHECK_EQUAL(16, Fixture.renew());
}

/// Guards against the progress of the previous instance being compared with
/// that of an attempt that a new instance has started again, and against a rack
/// that is not its own.
TEST(CellNewInstance, AnInstanceThatARenewalDiscoversIsUnannounced) {
  RestartedWorkerFixture Fixture;
  Fixture.answer(WorkerOrderKind::Start, OrderVerdict::Done);
  TaskLaunch &Launch = Fixture.Dispatch.Launches.begin()->second;
  Launch.ProgressPercent = 80;
  Launch.ListedAt = Fixture.Now;
  Fixture.Dispatch.Sessions.begin()->second.Rack = "r1";
  Fixture.StartTimeMs = 2;
  Fixture.reconcile();
  for (const CellCommand &Command :
       std::exchange(Fixture.Dispatch.Commands, {})) {
    onStateChange(Fixture.Dispatch, Fixture.State,
                  applyCommand(Fixture.State, Command), Fixture.Now);
  }
  const WorkerInstanceId Worker = findWorker(Fixture.State, "w");
  const WorkerInstance &Instance = Fixture.State.Workers[Worker];
  CHECK_EQUAL(2, Instance.Report.StartTimeMs);
  CHECK(Instance.IsUnannounced);
  CHECK(Instance.Report.Capacity == Resources{});
  CHECK_EQUAL(1, Instance.Tasks);
  CHECK_EQUAL(0, Launch.ProgressPercent);
  CHECK(Launch.ListedAt == Instant{});
  // The crash hit the rack of the previous instance.
  STRCMP_EQUAL("r1", Fixture.Dispatch.Sessions.at(Worker).Rack.c_str());
  Fixture.reconcile();
  Fixture.Dispatch.Sessions.at(Worker).Clock = ClockSample{1000, Fixture.Now};
  CHECK(!isSchedulable(Fixture.Dispatch, Fixture.State, Worker, Fixture.Now));
  // Nothing else keeps the worker from getting tasks.
  Fixture.State.Workers[Worker].IsUnannounced = false;
  CHECK(isSchedulable(Fixture.Dispatch, Fixture.State, Worker, Fixture.Now));
  Fixture.State.Workers[Worker].IsUnannounced = true;
  // A new leader knows only the replicated state.
  Fixture.State = *decodeCellState(encodeCellState(Fixture.State));
  beginDispatch(Fixture.Dispatch, Fixture.State, 2, Fixture.Now);
  Fixture.reconcile();
  CHECK(!isSchedulable(Fixture.Dispatch, Fixture.State, Worker, Fixture.Now));
  CHECK(Fixture.isEndProposed());
}

/// Guards against a lease that ends between two renewals: the renewals of a
/// short lease waited as long as those of the default one.
TEST(CellNewInstance, AShortLeaseIsRenewedSeveralTimesBeforeItEnds) {
  RestartedWorkerFixture Fixture;
  Fixture.Dispatch.Options.Lease = Millis{1000};
  Fixture.answer(WorkerOrderKind::Start, OrderVerdict::Done);
  Fixture.reconcile();
  WorkerSession &Session = Fixture.Dispatch.Sessions.begin()->second;
  CHECK(Session.IsInstanceVerified);
  Session.NextRenewalAt = Fixture.Now;
  sendDueRenewals(Fixture.Dispatch, Fixture.State, Fixture.Now);
  CHECK_EQUAL(1, Fixture.Dispatch.Orders.size());
  const WorkerOrder &Renewal = Fixture.Dispatch.Orders.front();
  CHECK(Renewal.Expires != 0);
  CHECK(Renewal.Wait <= Fixture.Dispatch.Options.Lease / 4);
}
