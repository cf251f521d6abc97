#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/storage/group_store.hpp"
#include "support/cell_parts.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

constexpr NodeId Leader = 1;
constexpr std::int64_t Day = std::int64_t{24} * 60 * 60 * 1000;

/// @brief A cell of one voter and a worker "good" that answers all orders.
struct OneWorkerCell {
  Instant Now{Millis{Day}};
  std::uint64_t NextCall = 1;
  WorkerReport Good = makeTestReport("good", 4000);
  CellNode Node{makeSingleVoterOptions(Leader), bootstrapGroup({{Leader, 1}}),
                Now};
  bool IsReporting = true; ///< The worker sends reports.
  std::set<TaskName> Running;
  std::map<TaskName, std::uint32_t> Attempts;
  std::vector<WorkerOrder> Starts;
  std::set<std::string> OrderedWorkers;

  OneWorkerCell() {
    Good.StartTimeMs = Day;
    run(Millis{1500});
    call(ConfigureCall{makeTestConfiguration(1, 3)});
    run(Millis{100});
  }

  void call(CellCall Body) {
    Node.call(NextCall, std::move(Body), Now);
    NextCall += 1;
  }

  /// The worker crashes and starts again under its name and address.
  void restart() {
    Running.clear();
    Good.StartTimeMs = Now.time_since_epoch().count();
    Good.Sequence = 0;
    Good.Clock = 0;
  }

  void report() {
    Good.Sequence += 1;
    call(WorkerReportCall{Good});
  }

  [[nodiscard]] bool hasStarted(const std::string &Job) const {
    return std::any_of(
        Starts.begin(), Starts.end(),
        [&Job](const WorkerOrder &Start) { return Start.Task.Job == Job; });
  }

  void submit(const std::string &Name, const std::string &Label = "") {
    JobCall Call;
    Call.Verb = JobVerb::Submit;
    Call.Host = "host";
    Call.Path = "/q/" + Name;
    StepSpec Step;
    Step.Need.MilliCpus = 1000;
    Step.Estimate = Millis{60000};
    Step.Label = Label;
    Call.Spec.Steps.push_back(Step);
    call(std::move(Call));
  }

  void answer(const WorkerOrder &Order) {
    OrderedWorkers.insert(Order.Worker);
    if (Order.Worker != Good.Name) {
      return;
    }
    if (Order.Kind == WorkerOrderKind::Start) {
      Starts.push_back(Order);
      Running.insert(Order.Task);
      Attempts[Order.Task] = Order.Attempt;
    }
    OrderResult Result;
    Result.Id = Order.Id;
    Result.Verdict = OrderVerdict::Done;
    Result.Clock = Good.Clock;
    Result.StartTimeMs = Good.StartTimeMs;
    for (const TaskName &Task : Running) {
      RunningTask Listed;
      Listed.Task = Task;
      Listed.Attempt = Attempts[Task];
      Result.Running.push_back(Listed);
    }
    Node.onOrderDone(Result, Now, WallTime{Now.time_since_epoch()});
  }

  void run(Millis Time) {
    const Instant End = Now + Time;
    for (; Now < End; Now += Millis{10}) {
      Good.Clock += 10;
      if (IsReporting && Now.time_since_epoch().count() % 500 == 0) {
        report();
      }
      const WallTime WallNow{Now.time_since_epoch()};
      const CellOutput Output = Node.step(Now, WallNow);
      if (Output.Write) {
        Node.onWriteSynced();
      }
      for (const CellMessage &Message : Output.Messages) {
        Node.receive(Message, Now, WallNow);
      }
      for (const WorkerOrder &Order : Output.Orders) {
        answer(Order);
      }
    }
  }
};

} // namespace

TEST_GROUP(WorkerReports){};

/// A report of an unknown pool ended the worker at the same address, and its
/// tasks were started a second time.
TEST(WorkerReports, AReportOfAnUnknownPoolReplacesNoWorker) {
  OneWorkerCell Cell;
  Cell.run(Millis{1500});
  Cell.submit("first");
  Cell.run(Millis{500});
  CHECK_EQUAL(1, Cell.Starts.size());
  WorkerReport Odd = Cell.Good;
  Odd.Name = "odd";
  Odd.Pool = "nowhere";
  Odd.StartTimeMs += 1;
  Cell.call(WorkerReportCall{Odd});
  Cell.run(Millis{10000});
  CHECK_EQUAL(1, Cell.Starts.size());
  CHECK(!Cell.OrderedWorkers.contains("odd"));
}

/// After a report with a start time in the far future, all reports of the
/// actual worker counted as those of an earlier instance.
TEST(WorkerReports, AStartTimeInTheFarFutureReplacesNoWorker) {
  OneWorkerCell Cell;
  Cell.run(Millis{1500});
  WorkerReport Odd = Cell.Good;
  Odd.StartTimeMs += 30 * Day;
  Cell.call(WorkerReportCall{Odd});
  Cell.run(Millis{3000});
  Cell.submit("first");
  Cell.run(Millis{3000});
  CHECK_EQUAL(1, Cell.Starts.size());
}

/// Guards against starts on a worker of another kind: a renewal discovered a
/// worker that had restarted, and the labels of the previous instance were kept
/// for good.
TEST(WorkerReports, ARestartedWorkerIsKnownOnlyByItsOwnReport) {
  OneWorkerCell Cell;
  Cell.Good.Labels = {"a"};
  Cell.restart();
  Cell.run(Millis{1500});
  Cell.submit("occupies", "a");
  Cell.run(Millis{500});
  CHECK(Cell.hasStarted("occupies"));
  Cell.IsReporting = false;
  Cell.restart();
  Cell.Good.Labels = {"b"};
  Cell.submit("former-kind", "a");
  Cell.submit("new-kind", "b");
  Cell.submit("any-kind");
  Cell.run(Millis{2000});
  CHECK_EQUAL(1, Cell.Starts.size());
  Cell.report();
  Cell.run(Millis{1000});
  CHECK(!Cell.hasStarted("former-kind"));
  CHECK(Cell.hasStarted("new-kind"));
  CHECK(Cell.hasStarted("any-kind"));
}

/// Guards against a worker that stays out of service: it restarted while it was
/// draining, and the new instance took over the drain state.
TEST(WorkerReports, AWorkerThatRestartsWhileItDrainsIsNotDraining) {
  OneWorkerCell Cell;
  Cell.run(Millis{1500});
  Cell.submit("occupies");
  Cell.run(Millis{500});
  CHECK_EQUAL(1, Cell.Starts.size());
  Cell.Good.IsDraining = true;
  Cell.run(Millis{1000});
  Cell.IsReporting = false;
  Cell.restart();
  Cell.Good.IsDraining = false;
  Cell.run(Millis{2000});
  Cell.report();
  Cell.submit("next");
  Cell.run(Millis{1000});
  CHECK(Cell.hasStarted("next"));
}

/// Guards against a report of the previous instance that arrives late and is
/// taken for the first one of the instance that a renewal discovered.
TEST(WorkerReports, ALateReportOfThePreviousInstanceAnnouncesNothing) {
  OneWorkerCell Cell;
  Cell.run(Millis{1500});
  Cell.submit("occupies");
  Cell.run(Millis{500});
  const WorkerReport Late = Cell.Good;
  Cell.IsReporting = false;
  Cell.restart();
  Cell.submit("next");
  Cell.run(Millis{2000});
  Cell.call(WorkerReportCall{Late});
  Cell.run(Millis{1000});
  CHECK_EQUAL(1, Cell.Starts.size());
  Cell.report();
  Cell.run(Millis{1000});
  CHECK(Cell.hasStarted("next"));
}
