#include "mulberryramp/cell/answers.hpp"
#include "mulberryramp/cell/crash_attribution.hpp"
#include "mulberryramp/cell/orders.hpp"
#include "mulberryramp/cell/start_planner.hpp"
#include "mulberryramp/cell/trials.hpp"
#include "support/cell_parts.hpp"

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

/// A leader with workers that crash and return under another name at their
/// address.
class CrashFixture {
public:
  /// @param Rack Rack of all workers; empty: each has a rack of its own.
  explicit CrashFixture(int Workers, std::uint32_t MaxAttempts = 3,
                        std::string Rack = "")
      : Rack{std::move(Rack)} {
    applyCommand(State,
                 ConfigureCommand{makeTestConfiguration(1, MaxAttempts)});
    beginDispatch(Dispatch, State, 1, Now);
    for (int Index = 0; Index < Workers; ++Index) {
      registerWorker("w" + std::to_string(Index), "a" + std::to_string(Index));
    }
  }

  void submit(const std::string &Name, std::uint32_t Tasks,
              bool IsSpeculative = false) {
    JobSpec Spec;
    StepSpec Step;
    Step.Tasks = Tasks;
    Step.Need.MilliCpus = 100;
    Step.Estimate = Millis{1000};
    Step.IsSpeculative = IsSpeculative;
    Spec.Steps.push_back(Step);
    applyCommand(State, SubmitJobCommand{Name, "host", "/q/", Spec, wallNow()});
  }

  /// Plans, starts and confirms the pending tasks.
  /// @param Verdict Answer of the workers to the starts.
  /// @return Number of started tasks.
  std::size_t start(OrderVerdict Verdict = OrderVerdict::Done) {
    const auto Assignments = planStarts(Dispatch, State, Now, wallNow());
    change(AssignTasksCommand{Assignments});
    for (const WorkerOrder &Order : std::exchange(Dispatch.Orders, {})) {
      if (Order.Kind == WorkerOrderKind::Start) {
        answer(Order.Id, Verdict);
      }
    }
    return Assignments.size();
  }

  /// Lets a worker miss as many orders as it takes to count as unresponsive.
  void silence(const std::string &Worker) {
    Silent.insert(Worker);
    for (int Misses = 0; Misses < 2; ++Misses) {
      Now += RenewalRetryInterval;
      Dispatch.TouchedWorkers.insert(findWorker(State, Worker));
      renewTouched(Dispatch, State, Now);
      for (const WorkerOrder &Order : std::exchange(Dispatch.Orders, {})) {
        answer(Order.Id,
               Silent.contains(Order.Worker) ? OrderVerdict::Unanswered
                                             : OrderVerdict::Done,
               listTasks(Order.Worker));
      }
    }
    applyCommands();
  }

  /// Lets the next instance of a silent worker register, with no later entry.
  void registerNext(const std::string &Worker, const std::string &NewName) {
    const std::string Address =
        State.Workers[findWorker(State, Worker)].Report.Address;
    registerWorker(NewName, Address.substr(0, Address.find(':')));
  }

  /// Lets a silent worker return.
  void restart(const std::string &Worker, const std::string &NewName) {
    registerNext(Worker, NewName);
    proposeCommands();
  }

  /// Lets a worker list no task, and applies the ends that are proposed then.
  void listNothing(const std::string &Worker) {
    Silent.erase(Worker);
    Dispatch.TouchedWorkers.insert(findWorker(State, Worker));
    Now += RenewalRetryInterval;
    renewTouched(Dispatch, State, Now);
    for (const WorkerOrder &Order : std::exchange(Dispatch.Orders, {})) {
      answer(Order.Id, OrderVerdict::Done);
    }
    applyCommands();
  }

  /// Lets a worker crash right after the starts, and return.
  void crash(const std::string &Worker, const std::string &NewName) {
    silence(Worker);
    restart(Worker, NewName);
  }

  void announceExit(const std::string &Worker) {
    const WorkerInstanceId Id = findWorker(State, Worker);
    WorkerReport Report = State.Workers[Id].Report;
    Report.Sequence = 2;
    Report.IsDraining = true;
    onWorkerReport(Dispatch, Id, Report, Now);
    applyCommand(State, DrainWorkerCommand{Id});
  }

  /// Starts the only task of a job, lets its worker crash right after that,
  /// and passes the longest backoff.
  void startAndCrash(const std::string &JobName, const std::string &NewName) {
    CHECK_EQUAL(1, start());
    crash(workerOf(JobName, 0), NewName);
    pass(Millis{30000});
  }

  /// Replaces the leader by one that knows the replicated state and the times
  /// at which it applied the entries.
  void changeLeader() {
    beginDispatch(Dispatch, State, 2, Now);
    Dispatch.Commands.clear();
  }

  /// Replaces the leader by a voter that has just restored a snapshot.
  void restoreLeader() {
    noteRestore(Dispatch.Entries, State, Now);
    changeLeader();
  }

  /// Lets all workers answer a renewal, with the attempts that run there.
  void answerRenewals() {
    for (const WorkerInstanceId Id : State.Workers.ids()) {
      Dispatch.TouchedWorkers.insert(Id);
    }
    renewTouched(Dispatch, State, Now);
    for (const WorkerOrder &Order : std::exchange(Dispatch.Orders, {})) {
      answer(Order.Id, OrderVerdict::Done, listTasks(Order.Worker));
    }
    Dispatch.Commands.clear();
  }

  void reportAll() {
    Sequence += 1;
    for (const WorkerInstanceId Id : State.Workers.ids()) {
      WorkerReport Report = State.Workers[Id].Report;
      Report.Sequence = Sequence;
      onWorkerReport(Dispatch, Id, Report, Now);
    }
    answerRenewals();
  }

  /// Passes time, after which all workers are in contact.
  void pass(Millis Time) {
    Now += Time;
    reportAll();
  }

  /// Passes the time within which a crash is attributed to a start.
  void passCrashWindow() { Now += Millis{1000}; }

  std::string workerOf(const std::string &JobName, std::uint32_t Task) {
    return workerName(State, task(JobName, Task).Worker);
  }

  const JobTask &task(const std::string &JobName, std::uint32_t Task) {
    return *findTask(State, {findJob(State, JobName), 0, 0, Task});
  }

  JobPhase phaseOf(const std::string &JobName) {
    return State.Jobs[findJob(State, JobName)].Phase;
  }

private:
  [[nodiscard]] WallTime wallNow() const {
    return WallTime{Now.time_since_epoch()};
  }

  /// Applies a command as a voter that leads does.
  void change(const CellCommand &Command) {
    const CellChange Change = applyCommand(State, Command);
    noteChange(Dispatch.Entries, State, Change, {Now, 1});
    onStateChange(Dispatch, State, Change, Now);
  }

  void registerWorker(const std::string &Name, const std::string &Host) {
    WorkerReport Report = makeTestReport(Name, 4000);
    Report.Address = Host + ":1";
    Report.Rack = Rack.empty() ? Host : Rack;
    LastStartTimeMs += 1;
    Report.StartTimeMs = LastStartTimeMs;
    change(makeRegistration(Dispatch, State, Report, Now, wallNow()));
    onWorkerReport(Dispatch, findWorker(State, Name), Report, Now);
  }

  /// Lists the tasks that are assigned to a worker as running there.
  std::vector<RunningTask> listTasks(const std::string &Worker) {
    std::vector<RunningTask> Listed;
    for (const auto &[Key, Launch] : Dispatch.Launches) {
      if (Launch.Assignment.Worker == findWorker(State, Worker)) {
        RunningTask &Running = Listed.emplace_back();
        Running.Task = nameTask(State, Key);
        Running.Attempt = Launch.Assignment.Attempt;
      }
    }
    return Listed;
  }

  void answer(std::uint64_t Id, OrderVerdict Verdict,
              std::vector<RunningTask> Running = {}) {
    OrderResult Result;
    Result.Id = Id;
    Result.Running = std::move(Running);
    Result.Verdict = Verdict;
    if (Verdict == OrderVerdict::Done) {
      Result.Clock = 1000;
    }
    onOrderResult(Dispatch, State, Result, Now, wallNow());
  }

  void proposeCommands() {
    stepDispatch(Dispatch, State, Now, wallNow());
    Dispatch.HasUncommittedStarts = false;
    Dispatch.Orders.clear();
    applyCommands();
  }

  /// Applies the proposed ends; planned starts are dropped, as the test plans.
  void applyCommands() {
    for (const CellCommand &Command : std::exchange(Dispatch.Commands, {})) {
      if (std::holds_alternative<RecordTaskEndsCommand>(Command)) {
        change(Command);
      }
    }
  }

  std::string Rack;
  CellState State;
  DispatchState Dispatch;
  Instant Now{Millis{100000}};
  std::int64_t LastStartTimeMs = 0;
  std::uint64_t Sequence = 10;
  std::set<std::string> Silent; ///< Workers that do not answer.
};

} // namespace

TEST_GROUP(CellCrash){};

/// Guards against one task crashing worker after worker.
TEST(CellCrash, AJobFailsAfterAsManyCrashesOfItsTaskAloneAsItHasAttempts) {
  CrashFixture Cell{4};
  Cell.submit("bad", 1);
  Cell.startAndCrash("bad", "n1");
  Cell.startAndCrash("bad", "n2");
  CHECK(JobPhase::Running == Cell.phaseOf("bad"));
  Cell.startAndCrash("bad", "n3");
  CHECK(JobPhase::Failed == Cell.phaseOf("bad"));
  CHECK_EQUAL(3, Cell.task("bad", 0).SoleCrashes);
}

/// Guards against a task that is started without limit: it crashes each worker
/// before the answer to its start arrives, so that no start is confirmed.
TEST(CellCrash, CrashesBeforeTheStartIsConfirmedCount) {
  CrashFixture Cell{6};
  Cell.submit("bad", 1);
  for (std::uint32_t Crash = 1; Crash <= 3; ++Crash) {
    CHECK_EQUAL(1, Cell.start(OrderVerdict::Unanswered));
    Cell.crash(Cell.workerOf("bad", 0), "n" + std::to_string(Crash));
    CHECK_EQUAL(Crash, Cell.task("bad", 0).SoleCrashes);
    Cell.pass(Millis{30000});
  }
  CHECK(JobPhase::Failed == Cell.phaseOf("bad"));
}

/// Guards against a job being given up for a single crash, which its worker may
/// have had for its own reasons.
TEST(CellCrash, AJobWithOneAttemptFailsAfterTwoCrashesOfItsTaskAlone) {
  CrashFixture Cell{4, 1};
  Cell.submit("bad", 1);
  Cell.startAndCrash("bad", "n1");
  CHECK(JobPhase::Running == Cell.phaseOf("bad"));
  Cell.startAndCrash("bad", "n2");
  CHECK(JobPhase::Failed == Cell.phaseOf("bad"));
}

/// Guards against a job being shown as failed because its workers crashed for
/// their own reasons, long after they started its task.
TEST(CellCrash, CrashesLongAfterTheStartFailNoJob) {
  CrashFixture Cell{6};
  Cell.submit("good", 1);
  for (int Crash = 1; Crash <= 5; ++Crash) {
    CHECK_EQUAL(1, Cell.start());
    Cell.passCrashWindow();
    Cell.crash(Cell.workerOf("good", 0), "n" + std::to_string(Crash));
    Cell.pass(Millis{30000});
  }
  CHECK(JobPhase::Running == Cell.phaseOf("good"));
  CHECK_EQUAL(5, Cell.task("good", 0).Crashes);
}

/// Guards against a job being shown as failed because of a task that is started
/// beside it each time.
TEST(CellCrash, CrashesBesideOtherStartsFailNoJob) {
  CrashFixture Cell{1, 1};
  Cell.submit("good", 1);
  Cell.submit("other", 1);
  CHECK_EQUAL(2, Cell.start());
  Cell.crash("w0", "n1");
  CHECK_EQUAL(0, Cell.task("good", 0).SoleCrashes);
  CHECK_EQUAL(1, Cell.task("good", 0).Crashes);
}

/// Guards against a task being blamed alone although another was started within
/// `CrashWindow` before the crash: the leader notices a crash with a delay.
TEST(CellCrash, AStartJustBeforeTheCrashWindowIsASuspectToo) {
  CrashFixture Cell{1};
  Cell.submit("other", 1);
  CHECK_EQUAL(1, Cell.start());
  Cell.pass(CrashWindow + Millis{50} - RenewalRetryInterval);
  Cell.submit("bad", 1);
  CHECK_EQUAL(1, Cell.start());
  // The first order fails one renewal later.
  Cell.crash("w0", "n1");
  CHECK_EQUAL(1, Cell.task("bad", 0).Crashes);
  CHECK_EQUAL(0, Cell.task("bad", 0).SoleCrashes);
}

/// Guards against a job being failed by a leader that recovered its task and
/// takes the beginning of its own term for the start.
TEST(CellCrash, ACrashAfterAChangeOfLeaderDoesNotCountAsOneAfterTheStart) {
  CrashFixture Cell{2, 1};
  Cell.submit("good", 1);
  CHECK_EQUAL(1, Cell.start());
  const std::string Worker = Cell.workerOf("good", 0);
  Cell.pass(Millis{60000});
  Cell.changeLeader();
  Cell.answerRenewals();
  Cell.crash(Worker, "n1");
  CHECK_EQUAL(1, Cell.task("good", 0).Crashes);
  CHECK_EQUAL(0, Cell.task("good", 0).SoleCrashes);
}

/// Guards against a task crashing its workers as fast as they come back.
TEST(CellCrash, TheBackoffOfASuspectDoublesFromItsSecondCrashOn) {
  JobTask Task;
  Task.Crashes = 1;
  CHECK(Millis{0} == trialBackoff(Task, StepSpec{}));
  std::vector<std::int64_t> Backoffs;
  for (Task.Crashes = 2; Task.Crashes < 9; ++Task.Crashes) {
    Backoffs.push_back(trialBackoff(Task, StepSpec{}).count());
  }
  CHECK((std::vector<std::int64_t>{1000, 2000, 4000, 8000, 16000, 30000,
                                   30000} == Backoffs));
}

/// Guards against a long-running task without a run for longer than 9 s, as its
/// workers crashed again and again for other reasons.
TEST(CellCrash, TheBackoffOfALongRunningTaskIsShort) {
  JobTask Task;
  Task.PossibleCrashes = 20;
  StepSpec Spec;
  Spec.IsLongRunning = true;
  const Millis Longest = trialBackoff(Task, Spec) * 3 / 2;
  CHECK(Longest > Millis{0});
  CHECK(Longest <= Millis{6000});
}

/// Guards against a suspect being tried again within its backoff, also by a
/// leader that did not see its crashes.
TEST(CellCrash, ASuspectWaitsForItsBackoffUnderAnyLeader) {
  CrashFixture Cell{6, 9};
  Cell.submit("bad", 1);
  for (int Crash = 1; Crash <= 4; ++Crash) {
    Cell.startAndCrash("bad", "n" + std::to_string(Crash));
  }
  CHECK_EQUAL(1, Cell.start());
  Cell.crash(Cell.workerOf("bad", 0), "n5");
  Cell.pass(Millis{6000});
  CHECK_EQUAL(0, Cell.start());
  Cell.changeLeader();
  Cell.pass(Millis{1900});
  CHECK_EQUAL(0, Cell.start());
  Cell.pass(Millis{4200});
  CHECK_EQUAL(1, Cell.start());
}

/// Guards against a start with the backoff of one crash less, planned between
/// the entry that frees the task and a later one that counts the crash.
TEST(CellCrash, TheEntryThatFreesTheTaskCountsTheCrash) {
  CrashFixture Cell{4, 9};
  Cell.submit("bad", 1);
  Cell.startAndCrash("bad", "n1");
  CHECK_EQUAL(1, Cell.start());
  const std::string Worker = Cell.workerOf("bad", 0);
  Cell.silence(Worker);
  Cell.registerNext(Worker, "n2");
  CHECK_EQUAL(2, Cell.task("bad", 0).SoleCrashes);
  CHECK_EQUAL(0, Cell.start());
}

/// Guards against a crash that is not counted because the leader ended between
/// the registration of the next instance and the entry with the end.
TEST(CellCrash, ANewLeaderCountsACrashThatItsPredecessorAttributed) {
  CrashFixture Cell{4, 9};
  Cell.submit("bad", 1);
  CHECK_EQUAL(1, Cell.start());
  const std::string Worker = Cell.workerOf("bad", 0);
  Cell.silence(Worker);
  Cell.registerNext(Worker, Worker);
  Cell.changeLeader();
  Cell.listNothing(Worker);
  CHECK(JobTaskState::Waiting == Cell.task("bad", 0).State);
  CHECK_EQUAL(1, Cell.task("bad", 0).SoleCrashes);
}

/// Guards against a sound task that waits without limit because each leader
/// counts the backoff from its own election.
TEST(CellCrash, ElectionsDoNotExtendTheBackoff) {
  CrashFixture Cell{6, 9};
  Cell.submit("bad", 1);
  for (int Crash = 1; Crash <= 4; ++Crash) {
    Cell.startAndCrash("bad", "n" + std::to_string(Crash));
  }
  CHECK_EQUAL(1, Cell.start());
  Cell.crash(Cell.workerOf("bad", 0), "n5");
  // The backoff of 8 s lasts up to 12 s with its spread.
  for (int Election = 0; Election < 4; ++Election) {
    Cell.pass(Millis{3000});
    Cell.changeLeader();
    Cell.reportAll();
  }
  CHECK_EQUAL(1, Cell.start());
}

/// Guards against a suspect that is tried again too early by a voter that knows
/// from a snapshot that workers crashed, but not when, and against a sound one
/// that waits longer with each election after that.
TEST(CellCrash, ABackoffBeginsWithARestoredSnapshot) {
  CrashFixture Cell{6, 9};
  Cell.submit("bad", 1);
  for (int Crash = 1; Crash <= 5; ++Crash) {
    Cell.startAndCrash("bad", "n" + std::to_string(Crash));
  }
  Cell.restoreLeader();
  Cell.pass(Millis{7900});
  CHECK_EQUAL(0, Cell.start());
  Cell.changeLeader();
  Cell.pass(Millis{4100});
  CHECK_EQUAL(1, Cell.start());
}

/// Guards against a job being given up for the crash that another one caused.
TEST(CellCrash, VictimsOfACrashAreStartedApartFromTheCause) {
  CrashFixture Cell{4};
  Cell.submit("bad", 1);
  Cell.submit("good", 2);
  CHECK_EQUAL(3, Cell.start());
  const std::string First = Cell.workerOf("bad", 0);
  CHECK_EQUAL(First, Cell.workerOf("good", 0));
  Cell.crash(First, "n1");
  Cell.passCrashWindow();
  // One suspect of each step is tried at a time.
  CHECK_EQUAL(2, Cell.start());
  const std::string Second = Cell.workerOf("bad", 0);
  CHECK(Second != Cell.workerOf("good", 0));
  Cell.crash(Second, "n2");
  CHECK_EQUAL(1, Cell.task("bad", 0).SoleCrashes);
  CHECK_EQUAL(0, Cell.task("good", 0).SoleCrashes);
  CHECK_EQUAL(0, Cell.task("good", 1).SoleCrashes);
  CHECK_EQUAL(1, Cell.task("good", 0).Crashes);
}

/// Guards against suspects that are never given up because they crash half of
/// their rack at the same time again and again, which looks like one cause for
/// all of them.
TEST(CellCrash, SuspectsOfASmallRackAreTriedOneAfterTheOther) {
  CrashFixture Cell{4, 3, "rack"};
  Cell.submit("bad", 1);
  Cell.submit("worse", 1);
  CHECK_EQUAL(2, Cell.start());
  CHECK_EQUAL(Cell.workerOf("bad", 0), Cell.workerOf("worse", 0));
  Cell.crash(Cell.workerOf("bad", 0), "n1");
  Cell.pass(Millis{3000});
  CHECK_EQUAL(1, Cell.start());
  Cell.pass(SuspectWindow - Millis{1});
  CHECK_EQUAL(0, Cell.start());
  Cell.pass(Millis{1});
  CHECK_EQUAL(1, Cell.start());
}

/// Guards against a suspect that begins its trial just after another one has
/// crashed a worker of the same small rack.
TEST(CellCrash, NoTrialBeginsInASmallRackJustAfterACrash) {
  CrashFixture Cell{4, 3, "rack"};
  Cell.submit("bad", 1);
  Cell.submit("worse", 1);
  CHECK_EQUAL(2, Cell.start());
  Cell.crash(Cell.workerOf("bad", 0), "n1");
  Cell.pass(Millis{3000});
  CHECK_EQUAL(1, Cell.start());
  Cell.crash(Cell.workerOf("bad", 0), "n2");
  CHECK_EQUAL(0, Cell.start());
  Cell.pass(CommonCauseWindow);
  CHECK_EQUAL(1, Cell.start());
}

/// Guards against sound tasks being held back in a rack that is large enough to
/// tell the crashes of a few suspects from a common cause.
TEST(CellCrash, SuspectsOfALargeRackAreTriedTogether) {
  CrashFixture Cell{8, 3, "rack"};
  Cell.submit("bad", 1);
  Cell.submit("worse", 1);
  CHECK_EQUAL(2, Cell.start());
  Cell.crash(Cell.workerOf("bad", 0), "n1");
  Cell.pass(Millis{3000});
  CHECK_EQUAL(2, Cell.start());
}

/// Guards against two trials that excuse each other: half of the other workers
/// of a rack is a common cause of their crashes.
TEST(CellCrash, TrialsOfARackOfFiveThatCrashTogetherAreBlamed) {
  CrashFixture Cell{5, 3, "rack"};
  Cell.submit("bad", 1);
  Cell.submit("worse", 1);
  CHECK_EQUAL(2, Cell.start());
  Cell.crash(Cell.workerOf("bad", 0), "n1");
  Cell.pass(Millis{3000});
  const std::size_t Started = Cell.start();
  Cell.crash(Cell.workerOf("bad", 0), "n2");
  if (Started == 2) {
    Cell.crash(Cell.workerOf("worse", 0), "n3");
    CHECK_EQUAL(1, Cell.task("worse", 0).SoleCrashes);
  }
  CHECK_EQUAL(1, Cell.task("bad", 0).SoleCrashes);
}

/// Guards against starts beside a task that may crash the worker at once.
TEST(CellCrash, NoTaskIsStartedBesideASuspectThatWasJustStarted) {
  CrashFixture Cell{1};
  Cell.submit("bad", 1);
  CHECK_EQUAL(1, Cell.start());
  Cell.crash("w0", "n1");
  Cell.passCrashWindow();
  CHECK_EQUAL(1, Cell.start());
  Cell.submit("good", 1);
  CHECK_EQUAL(0, Cell.start());
  Cell.passCrashWindow();
  CHECK_EQUAL(1, Cell.start());
}

/// Guards against a speculative task crashing several workers before the first
/// crash is known.
TEST(CellCrash, ASpeculativeTaskWaitsOnceTwoWorkersStoppedToAnswerUnderIt) {
  CrashFixture Cell{4};
  Cell.submit("bad", 1, true);
  CHECK_EQUAL(1, Cell.start());
  const std::string First = Cell.workerOf("bad", 0);
  Cell.silence(First);
  Cell.passCrashWindow();
  CHECK_EQUAL(1, Cell.start());
  const std::string Second = Cell.workerOf("bad", 0);
  Cell.silence(Second);
  CHECK_EQUAL(0, Cell.start());
  Cell.restart(First, "n1");
  CHECK_EQUAL(0, Cell.start());
  Cell.restart(Second, "n2");
  CHECK_EQUAL(2, Cell.task("bad", 0).SoleCrashes);
}

/// Guards against tasks being suspected because a worker left as announced.
TEST(CellCrash, AWorkerThatAnnouncedItsExitDidNotCrash) {
  CrashFixture Cell{2};
  Cell.submit("good", 1);
  CHECK_EQUAL(1, Cell.start());
  const std::string Worker = Cell.workerOf("good", 0);
  Cell.announceExit(Worker);
  Cell.crash(Worker, "n1");
  CHECK_FALSE(isCrashSuspect(Cell.task("good", 0)));
}
