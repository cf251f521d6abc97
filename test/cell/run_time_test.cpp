#include "mulberryramp/cell/answers.hpp"
#include "mulberryramp/cell/dispatcher.hpp"
#include "support/cell_parts.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

constexpr Millis RunTime{10000};
constexpr Millis Tick{20};
constexpr std::uint32_t Workers = 4;
constexpr std::uint32_t TasksPerWorker = 2;
constexpr std::int64_t TaskCpus = 1000;

/// Workers that answer each order within a tick, and a job of one step whose
/// tasks fill them. At full speed a task takes `RunTime`.
class SteadyPool {
public:
  SteadyPool() {
    applyCommand(State, ConfigureCommand{makeTestConfiguration(1, 3)});
    beginDispatch(Dispatch, State, 1, Now);
    for (std::uint32_t Index = 0; Index < Workers; ++Index) {
      const WorkerReport Report = makeTestReport("w" + std::to_string(Index),
                                                 TaskCpus * TasksPerWorker);
      change(RegisterWorkerCommand{Report});
      Speeds[Report.Name] = 1;
    }
    JobSpec Spec;
    StepSpec Step;
    Step.Tasks = Workers * TasksPerWorker;
    Step.Need.MilliCpus = TaskCpus;
    Step.Estimate = RunTime;
    Spec.Steps.push_back(Step);
    change(SubmitJobCommand{"job", "host", "/q/", Spec, wallNow()});
  }

  void advance(Millis Time) {
    for (const Instant End = Now + Time; Now < End;) {
      Now += Tick;
      work();
      for (const WorkerInstanceId Id : State.Workers.ids()) {
        WorkerReport Report = State.Workers[Id].Report;
        Report.Sequence = ++Sequence;
        Report.Clock += (Now - StartTime).count();
        onWorkerReport(Dispatch, Id, Report, Now);
      }
      for (const WorkerOrder &Order : std::exchange(Dispatch.Orders, {})) {
        answer(Order);
      }
      stepDispatch(Dispatch, State, Now, wallNow());
      for (const CellCommand &Command : std::exchange(Dispatch.Commands, {})) {
        if (std::holds_alternative<AssignTasksCommand>(Command)) {
          Dispatch.HasUncommittedStarts = false;
        }
        change(Command);
      }
    }
  }

  /// Another node becomes the leader: it knows the replicated state only.
  void changeLeader() {
    beginDispatch(Dispatch, State, Dispatch.FencingToken + 1, Now);
  }

  /// Ends the tasks on a worker without a report.
  void loseTasks(const std::string &Worker) { Running[Worker].clear(); }

  /// Slows down a worker.
  void slowDown(const std::string &Worker, int Factor) {
    Speeds[Worker] = 1.0 / Factor;
  }

  [[nodiscard]] JobPhase phase() const {
    return State.Jobs[findJob(State, "job")].Phase;
  }

  [[nodiscard]] std::ptrdiff_t countEvents(const std::string &Part) const {
    return std::count_if(Dispatch.Events.begin(), Dispatch.Events.end(),
                         [&Part](const std::string &Line) {
                           return Line.find(Part) != std::string::npos;
                         });
  }

private:
  struct Execution {
    TaskName Task;
    std::uint32_t Attempt = 0;
    double Progress = 0; ///< 1 at the end.
  };

  [[nodiscard]] WallTime wallNow() const {
    return WallTime{Now.time_since_epoch()};
  }

  void change(const CellCommand &Command) {
    onStateChange(Dispatch, State, applyCommand(State, Command), Now);
  }

  /// Advances the tasks by a tick.
  void work() {
    for (auto &[Worker, Tasks] : Running) {
      for (Execution &Run : Tasks) {
        Run.Progress += Speeds[Worker] * static_cast<double>(Tick.count()) /
                        static_cast<double>(RunTime.count());
      }
    }
  }

  void answer(const WorkerOrder &Order) {
    std::vector<Execution> &Tasks = Running[Order.Worker];
    OrderResult Result;
    Result.Id = Order.Id;
    Result.Verdict = OrderVerdict::Done;
    Result.Clock = 1000 + (Now - StartTime).count();
    if (Order.Kind == WorkerOrderKind::Start) {
      Tasks.push_back({Order.Task, Order.Attempt, 0});
    } else if (Order.Kind == WorkerOrderKind::Stop) {
      endTasks(Order.Worker, EndKind::Stopped, [&](const Execution &Run) {
        return Run.Task == Order.Task && Run.Attempt == Order.Attempt;
      });
    } else {
      endTasks(Order.Worker, EndKind::Done,
               [](const Execution &Run) { return Run.Progress >= 1; });
      Result.StartTimeMs = 1;
      for (const Execution &Run : Tasks) {
        Result.Running.push_back(
            {Run.Task, Run.Attempt, "",
             static_cast<std::uint32_t>(Run.Progress * 100), 0});
      }
      Result.Ends = Ends[Order.Worker];
    }
    onOrderResult(Dispatch, State, Result, Now, wallNow());
  }

  template <typename Condition>
  void endTasks(const std::string &Worker, EndKind Kind, Condition HasEnded) {
    std::erase_if(Running[Worker], [&](const Execution &Run) {
      const bool IsOver = HasEnded(Run);
      if (IsOver) {
        std::vector<ReportedEnd> &Reported = Ends[Worker];
        Reported.push_back(
            {Reported.size() + 1, Run.Task, Run.Attempt, Kind, ""});
      }
      return IsOver;
    });
  }

  static constexpr Instant StartTime{Millis{100000}};

  CellState State;
  DispatchState Dispatch;
  Instant Now = StartTime;
  std::uint64_t Sequence = 1;
  std::map<std::string, double> Speeds;
  std::map<std::string, std::vector<Execution>> Running;
  std::map<std::string, std::vector<ReportedEnd>> Ends;
};

} // namespace

TEST_GROUP(CellRunTime){};

/// Guards against a step that never ends: a new leader took the time from its
/// election for the run time of the tasks that it found running, and stopped
/// each later attempt as too slow.
TEST(CellRunTime, ATaskRestartedAfterAnElectionIsNotStoppedAsSlow) {
  SteadyPool Pool;
  Pool.advance(RunTime * 85 / 100);
  Pool.changeLeader();
  Pool.loseTasks("w0");
  Pool.advance(RunTime * 3 / 2);
  CHECK_EQUAL(0, Pool.countEvents("why=slow"));
  CHECK(JobPhase::Completed == Pool.phase());
}

/// Guards against a task that is left on a slow worker: what it did before the
/// election was taken for its progress since then.
TEST(CellRunTime, ATaskThatSlowsDownAfterAnElectionIsMigrated) {
  SteadyPool Pool;
  Pool.advance(RunTime / 2);
  Pool.slowDown("w0", 10);
  Pool.changeLeader();
  Pool.advance(RunTime / 4);
  CHECK_EQUAL(TasksPerWorker, Pool.countEvents("why=slow"));
}
