#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/storage/group_store.hpp"
#include "support/cell_parts.hpp"

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
  CellNode Node{options(), bootstrapGroup({{Leader, 1}}), Now};
  std::set<TaskName> Running;
  std::vector<WorkerOrder> Starts;
  std::set<std::string> OrderedWorkers;

  OneWorkerCell() {
    Good.StartTimeMs = Day;
    run(Millis{1500});
    call(ConfigureCall{makeTestConfiguration(1, 3)});
    run(Millis{100});
  }

  static CellNodeOptions options() {
    CellNodeOptions Options;
    Options.Self = Leader;
    Options.Seeds = {Leader};
    Options.IsVoter = true;
    Options.Incarnation = 1;
    Options.ReplicaParameters = makeCellReplicaOptions(0);
    return Options;
  }

  void call(CellCall Body) {
    Node.call(NextCall, std::move(Body), Now);
    NextCall += 1;
  }

  void submit(const std::string &Name) {
    JobCall Call;
    Call.Verb = JobVerb::Submit;
    Call.Host = "host";
    Call.Path = "/q/" + Name;
    StepSpec Step;
    Step.Need.MilliCpus = 1000;
    Step.Estimate = Millis{60000};
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
    }
    OrderResult Result;
    Result.Id = Order.Id;
    Result.Verdict = OrderVerdict::Done;
    Result.Clock = Good.Clock;
    Result.StartTimeMs = Good.StartTimeMs;
    for (const TaskName &Task : Running) {
      RunningTask Listed;
      Listed.Task = Task;
      Listed.Attempt = 1;
      Result.Running.push_back(Listed);
    }
    Node.onOrderDone(Result, Now, WallTime{Now.time_since_epoch()});
  }

  void run(Millis Time) {
    const Instant End = Now + Time;
    for (; Now < End; Now += Millis{10}) {
      Good.Clock += 10;
      if (Now.time_since_epoch().count() % 500 == 0) {
        Good.Sequence += 1;
        call(WorkerReportCall{Good});
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
