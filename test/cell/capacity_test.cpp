#include "mulberryramp/cell/answers.hpp"
#include "mulberryramp/cell/message.hpp"
#include "mulberryramp/cell/orders.hpp"
#include "mulberryramp/cell/start_planner.hpp"
#include "support/cell_parts.hpp"

#include <CppUTest/TestHarness.h>

#include <utility>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

constexpr std::int64_t FullMilliCpus = 4000;
constexpr std::int64_t ShrunkMilliCpus = 1000;

/// A leader and one worker, whose first report states its full capacity.
struct CapacityFixture {
  CellState State;
  DispatchState Dispatch;
  Instant Now{Millis{100000}};

  CapacityFixture() {
    applyCommand(State, ConfigureCommand{makeTestConfiguration(1, 3)});
    lead(1);
    change(RegisterWorkerCommand{makeTestReport("w", FullMilliCpus)});
    report(1, FullMilliCpus);
  }

  void lead(Term FencingToken) {
    beginDispatch(Dispatch, State, FencingToken, Now);
  }

  void change(const CellCommand &Command) {
    onStateChange(Dispatch, State, applyCommand(State, Command), Now);
  }

  /// Handles a report. Returns the commands that it caused, which are not
  /// applied yet.
  std::vector<CellCommand> report(std::uint64_t Sequence,
                                  std::int64_t MilliCpus) {
    WorkerReport Report = makeTestReport("w", MilliCpus);
    Report.Sequence = Sequence;
    Report.StartTimeMs = State.Workers[worker()].Report.StartTimeMs;
    onWorkerReport(Dispatch, worker(), Report, Now);
    return std::exchange(Dispatch.Commands, {});
  }

  void reportAndApply(std::uint64_t Sequence, std::int64_t MilliCpus) {
    for (const CellCommand &Command : report(Sequence, MilliCpus)) {
      change(Command);
    }
  }

  /// Replaces the leader by a new one, which starts from a snapshot.
  void replaceLeader() {
    State = *decodeCellState(encodeCellState(State));
    lead(2);
  }

  [[nodiscard]] WorkerInstanceId worker() const {
    return findWorker(State, "w");
  }

  [[nodiscard]] std::int64_t recordedMilliCpus() const {
    return State.Workers[worker()].Report.Capacity.MilliCpus;
  }

  void submit(const std::string &Name, std::uint32_t Tasks,
              bool IsBestEffortCpu = false) {
    JobSpec Spec;
    StepSpec Step;
    Step.Tasks = Tasks;
    Step.Need.MilliCpus = 1000;
    Step.IsBestEffortCpu = IsBestEffortCpu;
    Step.Estimate = Millis{1000};
    Spec.Steps.push_back(Step);
    applyCommand(State, SubmitJobCommand{Name, "host", "/q/", Spec,
                                         WallTime{Now.time_since_epoch()}});
  }

  std::vector<TaskAssignment> plan() {
    return planStarts(Dispatch, State, Now, WallTime{Now.time_since_epoch()});
  }
};

} // namespace

TEST_GROUP(CellCapacity){};

/// The second report arrives before the entry of the first is committed.
TEST(CellCapacity, OnlyAChangeIsProposedAndOnlyOnce) {
  CapacityFixture Fixture;
  CHECK(Fixture.report(2, FullMilliCpus).empty());
  CHECK_EQUAL(1, Fixture.report(3, ShrunkMilliCpus).size());
  CHECK(Fixture.report(4, ShrunkMilliCpus).empty());
}

/// The capacity is back before the entry that shrinks it is committed.
TEST(CellCapacity, AChangeThatIsTakenBackBeforeItsCommitIsProposedToo) {
  CapacityFixture Fixture;
  auto Commands = Fixture.report(2, ShrunkMilliCpus);
  for (CellCommand &Command : Fixture.report(3, FullMilliCpus)) {
    Commands.push_back(std::move(Command));
  }
  CHECK_EQUAL(2, Commands.size());
  for (const CellCommand &Command : Commands) {
    Fixture.change(Command);
  }
  CHECK_EQUAL(FullMilliCpus, Fixture.recordedMilliCpus());
}

TEST(CellCapacity, AReportThatANewerOneOvertookIsIgnored) {
  CapacityFixture Fixture;
  Fixture.reportAndApply(3, ShrunkMilliCpus);
  CHECK(Fixture.report(2, FullMilliCpus).empty());
}

/// A new leader has seen no reports, so that the order has to follow from the
/// replicated state.
TEST(CellCapacity, AReportFromBeforeTheRecordedOneIsIgnoredByANewLeader) {
  CapacityFixture Fixture;
  Fixture.reportAndApply(3, ShrunkMilliCpus);
  Fixture.replaceLeader();
  CHECK(Fixture.report(2, FullMilliCpus).empty());
  CHECK_EQUAL(1, Fixture.report(4, FullMilliCpus).size());
}

/// The leader registers a new instance that answers a renewal before its first
/// report arrives. Its sequence numbers start again at 1.
TEST(CellCapacity, TheFirstReportOfANewInstanceReplacesThatOfThePreviousOne) {
  CapacityFixture Fixture;
  Fixture.reportAndApply(50, ShrunkMilliCpus);
  Fixture.Dispatch.Sessions.at(Fixture.worker()).IsReconciled = false;
  sendDueRenewals(Fixture.Dispatch, Fixture.State, Fixture.Now);
  CHECK_EQUAL(1, Fixture.Dispatch.Orders.size());
  OrderResult Result;
  Result.Id = Fixture.Dispatch.Orders.front().Id;
  Result.Verdict = OrderVerdict::Done;
  Result.StartTimeMs = 2;
  onOrderResult(Fixture.Dispatch, Fixture.State, Result, Fixture.Now,
                WallTime{});
  for (const CellCommand &Command :
       std::exchange(Fixture.Dispatch.Commands, {})) {
    Fixture.change(Command);
  }
  CHECK_EQUAL(2, Fixture.State.Workers[Fixture.worker()].Report.StartTimeMs);
  Fixture.reportAndApply(1, FullMilliCpus);
  CHECK_EQUAL(FullMilliCpus, Fixture.recordedMilliCpus());
}

/// Two tasks run on a worker that has room for one. Even a task that needs no
/// CPU of its own does not start there until the tasks fit again.
TEST(CellCapacity, NothingIsPlannedOnAWorkerThatIsOverItsCapacity) {
  CapacityFixture Fixture;
  Fixture.submit("running", 2);
  Fixture.change(AssignTasksCommand{Fixture.plan()});
  CHECK_EQUAL(2, Fixture.State.Workers[Fixture.worker()].Tasks);
  Fixture.reportAndApply(2, ShrunkMilliCpus);
  Fixture.submit("next", 1);
  Fixture.submit("best-effort", 1, true);
  CHECK(Fixture.plan().empty());
  Fixture.reportAndApply(3, FullMilliCpus);
  CHECK_EQUAL(2, Fixture.plan().size());
}
