#include "mulberryramp/cell/advice.hpp"
#include "mulberryramp/cell/answers.hpp"
#include "support/cell_parts.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

constexpr Millis StepTime{50};
constexpr Millis ReportInterval{1500};
/// Time without a leader at an election.
constexpr Millis ElectionTime{400};

/// A task that runs on the worker of the fixture.
struct ListedTask {
  std::uint32_t Attempt = 0;
  std::uint32_t Percent = 0;
  Instant StartedAt;
};

/// A leader that is replaced again and again, and one worker that answers each
/// order at once.
class SeriesFixture {
public:
  explicit SeriesFixture(
      const CellConfiguration &Configuration = makeTestConfiguration(1, 3)) {
    applyCommand(State, ConfigureCommand{Configuration});
    elect();
    registerTestWorker(Dispatch, State, "w", 1000, Now);
  }

  /// Submits a job of one task that takes the whole worker.
  void submit(const std::string &Name, const std::string &Prefix,
              Millis Estimate) {
    JobSpec Spec;
    StepSpec &Only = Spec.Steps.emplace_back();
    Only.Need.MilliCpus = 1000;
    Only.Estimate = Estimate;
    Only.IsCheckpointed = true;
    apply(SubmitJobCommand{Name, "host", Prefix, Spec, wallNow()});
  }

  /// Replaces the leader.
  void elect() {
    Now += ElectionTime;
    CurrentTerm += 1;
    beginDispatch(Dispatch, State, CurrentTerm, Now);
  }

  /// Lets the leader work for a time.
  void lead(Millis Time) {
    for (const Instant End = Now + Time; Now < End;) {
      Now += StepTime;
      if (Now >= ReportAt) {
        ReportAt = Now + ReportInterval;
        report();
      }
      for (auto &[Name, Task] : Running) {
        if (PercentTime) {
          Task.Percent =
              static_cast<std::uint32_t>((Now - Task.StartedAt) / *PercentTime);
        }
      }
      deliverAdvice();
      stepDispatch(Dispatch, State, Now, wallNow());
      for (const WorkerOrder &Order : std::exchange(Dispatch.Orders, {})) {
        answer(Order);
      }
      for (const CellCommand &Command : std::exchange(Dispatch.Commands, {})) {
        if (std::holds_alternative<AssignTasksCommand>(Command)) {
          Dispatch.HasUncommittedStarts = false;
        }
        apply(Command);
      }
      takeQueries();
    }
  }

  /// Replaces the leader a number of times, at the given interval.
  void electEvery(Millis Interval, int Count) {
    for (int Election = 0; Election < Count; ++Election) {
      elect();
      lead(Interval - ElectionTime);
    }
  }

  /// Time that a task needs for one percent; it makes no progress without it.
  std::optional<Millis> PercentTime;
  /// Time until the worker exits; it drains if set.
  std::optional<Millis> Remaining;
  Millis AdviceTime{0}; ///< Time that the advisor takes for an answer.
  int Starts = 0;
  int Stops = 0; ///< Running attempts that were stopped.
  CellState State;
  DispatchState Dispatch;
  Instant Now{Millis{100000}};

private:
  [[nodiscard]] WallTime wallNow() const {
    return WallTime{Now.time_since_epoch()};
  }

  void apply(const CellCommand &Command) {
    onStateChange(Dispatch, State, applyCommand(State, Command), Now);
  }

  void report() {
    const WorkerInstanceId Worker = findWorker(State, "w");
    WorkerReport Report = makeTestReport("w", 1000);
    Sequence += 1;
    Report.Sequence = Sequence;
    Report.Clock = Now.time_since_epoch().count();
    if (Remaining) {
      Report.IsDraining = true;
      Report.Remaining = *Remaining;
      apply(DrainWorkerCommand{Worker});
    }
    onWorkerReport(Dispatch, Worker, Report, Now);
  }

  void answer(const WorkerOrder &Order) {
    OrderResult Result;
    Result.Id = Order.Id;
    Result.Verdict = OrderVerdict::Done;
    Result.Clock = Now.time_since_epoch().count();
    Result.StartTimeMs = 1;
    if (Order.Kind == WorkerOrderKind::Start) {
      Starts += 1;
      Running[Order.Task] = {Order.Attempt, 0, Now};
    } else if (Order.Kind == WorkerOrderKind::Stop) {
      stop(Order);
    } else if (Order.Kind == WorkerOrderKind::Renew) {
      for (const auto &[Name, Task] : Running) {
        Result.Running.push_back({Name, Task.Attempt, "", Task.Percent, 0});
      }
    }
    onOrderResult(Dispatch, State, Result, Now, wallNow());
  }

  /// A stop of an attempt that does not run counts for nothing: a new leader
  /// sends one for each attempt that was recorded as lost.
  void stop(const WorkerOrder &Order) {
    const auto TaskIt = Running.find(Order.Task);
    if (TaskIt != Running.end() && TaskIt->second.Attempt == Order.Attempt) {
      Stops += 1;
      Running.erase(TaskIt);
    }
  }

  /// The nodes that query the advisor are not affected by an election.
  void takeQueries() {
    for (RoutedQuery &Routed : std::exchange(Dispatch.OutgoingQueries, {})) {
      AdviceAnswer Answer;
      Answer.Id = Routed.Query.Id;
      Answer.IsAnswered = true;
      for (const std::string &Worker : Routed.Query.Workers) {
        Answer.Admitted.push_back({Worker, "ticket"});
      }
      Advice.emplace(Now + AdviceTime, std::move(Answer));
    }
  }

  void deliverAdvice() {
    while (!Advice.empty() && Now >= Advice.begin()->first) {
      onAdviceAnswer(Dispatch, State, Advice.begin()->second, Now);
      Advice.erase(Advice.begin());
    }
  }

  Term CurrentTerm = 0;
  Instant ReportAt;
  std::uint64_t Sequence = 1;
  std::map<TaskName, ListedTask> Running;
  std::multimap<Instant, AdviceAnswer> Advice;
};

} // namespace

TEST_GROUP(ElectionSeries){};

/// Guards against the stop of a healthy task after an election: the new leader
/// knows neither its speed nor that its first percent took long. It needs 4 s
/// for each percent, and its estimate is too low.
TEST(ElectionSeries, AHealthyTaskIsNotStoppedAsStalled) {
  SeriesFixture Series;
  Series.PercentTime = Millis{4000};
  Series.submit("j", "/q/", Millis{1000});
  Series.lead(Millis{60000});
  CHECK_EQUAL(1, Series.Stops); // The first attempt, before its first percent.
  // The elections come at different times of a percent.
  Series.electEvery(Millis{7000}, 5);
  CHECK_EQUAL(1, Series.Stops);
}

/// Returns the number of stops of a task that makes no progress, within 60 s.
int countStopsOfHungTask(Millis ElectionInterval) {
  SeriesFixture Series;
  Series.submit("j", "/q/", Millis{100000});
  Series.electEvery(ElectionInterval,
                    static_cast<int>(Millis{60000} / ElectionInterval));
  return Series.Stops;
}

TEST(ElectionSeries, AHungTaskIsStoppedWithoutASeries) {
  CHECK(countStopsOfHungTask(Millis{60000}) > 0);
  CHECK(countStopsOfHungTask(Millis{10000}) > 0);
}

/// Guards against a task that hangs for as long as elections follow each other:
/// each leader counts the time without progress anew.
TEST(ElectionSeries, AHungTaskIsStoppedOverElectionsEvery5s) {
  CHECK(countStopsOfHungTask(Millis{5000}) > 0);
}

TEST(ElectionSeries, AHungTaskIsStoppedOverElectionsEvery2s) {
  CHECK(countStopsOfHungTask(Millis{2000}) > 0);
}

/// Guards against the eviction of a task that ends long before its draining
/// worker exits: a new leader takes the time until the exit as 0 until the next
/// report.
TEST(ElectionSeries, ATaskThatEndsBeforeItsWorkerExitsIsNotEvicted) {
  SeriesFixture Series;
  Series.PercentTime = Millis{200};
  Series.submit("j", "/q/", Millis{20000});
  Series.lead(Millis{2000});
  Series.Remaining = Millis{60000};
  Series.lead(Millis{4000});
  CHECK_EQUAL(0, Series.Stops);
  // The reports come at different times after the elections.
  Series.electEvery(Millis{2000}, 3);
  CHECK_EQUAL(0, Series.Stops);
}

/// Returns the number of starts of a step whose advisor takes `AdviceTime` for
/// each answer, within 60 s.
int countStartsWithAdvice(Millis AdviceTime, Millis ElectionInterval) {
  CellConfiguration Configuration = makeTestConfiguration(1, 3);
  AdvisorOptions &Advisor = Configuration.Queues.front().Advice.emplace();
  Advisor.DecisionMs = static_cast<double>(AdviceTime.count());
  Advisor.TicketTtl = Millis{10000};
  SeriesFixture Series{Configuration};
  Series.AdviceTime = AdviceTime;
  Series.PercentTime = Millis{1000};
  Series.submit("j", "/q/", Millis{100000});
  Series.electEvery(ElectionInterval,
                    static_cast<int>(Millis{60000} / ElectionInterval));
  return Series.Starts;
}

TEST(ElectionSeries, AStepGetsAdviceThatTakesLessThanATerm) {
  CHECK(countStartsWithAdvice(Millis{1700}, Millis{60000}) > 0);
  CHECK(countStartsWithAdvice(Millis{1700}, Millis{5000}) > 0);
  CHECK(countStartsWithAdvice(Millis{1000}, Millis{2000}) > 0);
}

/// Guards against a step that never gets advice: the answers to the queries of
/// a former leader are dropped, so that one that takes longer than a term never
/// counts.
TEST(ElectionSeries, AStepGetsAdviceThatTakesLongerThanATerm) {
  CHECK(countStartsWithAdvice(Millis{1700}, Millis{2000}) > 0);
}

/// Returns the number of tasks that are stopped within 30 s for an urgent step
/// with a latency target of 30 s, which waits for 5 s before it preempts.
int countPreemptions(Millis ElectionInterval) {
  CellConfiguration Configuration = makeTestConfiguration(1, 3);
  Configuration.Queues.front().Priority = 2;
  JobQueue Urgent = makeTestQueue(3);
  Urgent.Prefix = "/u/";
  Urgent.SlackFactor = 20;
  Urgent.LatencyTarget = Millis{30000};
  Configuration.Queues.push_back(Urgent);
  SeriesFixture Series{Configuration};
  Series.Dispatch.Options.HasPreemption = true;
  Series.PercentTime = Millis{1000};
  Series.submit("batch", "/q/", Millis{100000});
  Series.lead(Millis{2000});
  Series.submit("urgent", "/u/", Millis{10000});
  Series.electEvery(ElectionInterval,
                    static_cast<int>(Millis{30000} / ElectionInterval));
  return Series.Stops;
}

TEST(ElectionSeries, AnUrgentStepGetsRoomWithoutASeries) {
  CHECK(countPreemptions(Millis{30000}) > 0);
  CHECK(countPreemptions(Millis{10000}) > 0);
}

/// Guards against an urgent step for which no task is stopped: each leader
/// counts anew how long the step has waited.
TEST(ElectionSeries, AnUrgentStepGetsRoomOverElectionsEvery5s) {
  CHECK(countPreemptions(Millis{5000}) > 0);
}
