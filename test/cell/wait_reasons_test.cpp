#include "mulberryramp/cell/wait_reasons.hpp"

#include "mulberryramp/cell/answers.hpp"
#include "mulberryramp/cell/crash_attribution.hpp"
#include "mulberryramp/cell/orders.hpp"
#include "mulberryramp/cell/start_planner.hpp"
#include "support/cell_parts.hpp"

#include <CppUTest/TestHarness.h>

#include <utility>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

/// Term of the leader of the fixture.
constexpr Term LeaderTerm = 4;
constexpr std::int64_t WorkerCpus = 1000;

/// A leader with worker "a", which has room for one task, and the long-running
/// job "one" with one task.
struct WaitFixture {
  CellState State;
  DispatchState Dispatch;
  Instant Now{Millis{100000}};
  StepSpec Step;

  WaitFixture() {
    applyCommand(State, ConfigureCommand{makeTestConfiguration(1, 3)});
    beginDispatch(Dispatch, State, LeaderTerm, Now);
    pass(Millis{10000}); // Later reasons did not begin under another leader.
    registerTestWorker(Dispatch, State, "a", WorkerCpus, Now);
    Step.Need.MilliCpus = WorkerCpus;
    Step.IsLongRunning = true;
  }

  [[nodiscard]] WallTime wallNow() const {
    return WallTime{Now.time_since_epoch()};
  }

  void submit(const std::string &Name = "one", const std::string &Key = "") {
    JobSpec Spec;
    Spec.Steps = {Step};
    applyCommand(State,
                 SubmitJobCommand{Name, "host", "/q/", Spec, wallNow(), Key});
  }

  /// Starts the only task of job "one" on worker "a".
  TaskLaunch &start() {
    submit();
    const auto Assignments = planStarts(Dispatch, State, Now, wallNow());
    CHECK_EQUAL(1, Assignments.size());
    onStateChange(Dispatch, State,
                  applyCommand(State, AssignTasksCommand{Assignments}), Now);
    return Dispatch.Launches.begin()->second;
  }

  /// Starts that task, and the worker confirms it.
  TaskLaunch &startAndConfirm() {
    TaskLaunch &Launch = start();
    Launch.Phase = LaunchPhase::Confirmed;
    Launch.PhaseSince = Now;
    return Launch;
  }

  /// Makes worker "a" miss an order.
  void loseWorker() {
    session().ConsecutiveMisses = 1;
    session().SilentSince = Now;
  }

  [[nodiscard]] WorkerSession &session(const std::string &Worker = "a") {
    return Dispatch.Sessions.at(findWorker(State, Worker));
  }

  [[nodiscard]] WorkerInstance &worker(const std::string &Name = "a") {
    return State.Workers[findWorker(State, Name)];
  }

  [[nodiscard]] JobTask &task() {
    return State.Jobs[findJob(State, "one")].Runs[0].Steps[0].Tasks[0];
  }

  [[nodiscard]] TaskKey key() const { return {findJob(State, "one"), 0, 0, 0}; }

  void pass(Millis Time) { Now += Time; }

  /// Keeps the workers from counting as silent.
  void hearFromWorkers() {
    for (auto &[Id, Session] : Dispatch.Sessions) {
      Session.ReportedAt = Now;
    }
  }

  /// Searches for waiting tasks.
  /// @return The lines, separated by line breaks.
  std::string look() {
    Dispatch.Events.clear();
    Dispatch.Waits.NextLookAt = Now;
    logWaits(Dispatch, State, Now, wallNow());
    std::string Lines;
    for (const std::string &Line : std::exchange(Dispatch.Events, {})) {
      Lines += (Lines.empty() ? "" : "\n") + Line;
    }
    return Lines;
  }

  /// Searches twice, far enough apart for the line of a long-running step.
  std::string lookTwice() {
    hearFromWorkers();
    STRCMP_EQUAL("", look().c_str());
    pass(MinLoggedReasonAge);
    hearFromWorkers();
    return look();
  }

  /// Returns the reason for which the planner starts no task of job "one".
  std::string_view reason() {
    hearFromWorkers();
    const WaitContext Context = makeWaitContext(Dispatch, State, Now);
    const auto Waits =
        explainWaiting(Context, {key().Job, 0, 0}, MaxTasksPerLook);
    return Waits.empty() ? "none" : nameOf(Waits.front().Why.Reason);
  }
};

void checkReason(std::string_view Expected, std::string_view Actual) {
  STRCMP_EQUAL(std::string{Expected}.c_str(), std::string{Actual}.c_str());
}

} // namespace

TEST_GROUP(CellWaitReasons){};

/// Guards against the incident: the task of a dead worker waited for the end of
/// the lease, and no line said so.
TEST(CellWaitReasons, ATaskOnASilentWorkerNamesTheEndOfItsLease) {
  WaitFixture Fixture;
  Fixture.startAndConfirm();
  Fixture.loseWorker();
  Fixture.session().LeaseEnd = Fixture.Now + Millis{18320};
  Fixture.pass(Millis{1000});
  STRCMP_EQUAL("event=waits job=one run=0 step=0 tasks=0 "
               "reason=worker-unresponsive since_ms=1000 allowed_ms=17320 "
               "worker=a term=4 inherited=no",
               Fixture.look().c_str());
}

/// Guards against a log that is filled with one wait.
TEST(CellWaitReasons, AReasonIsWrittenOnce) {
  WaitFixture Fixture;
  Fixture.startAndConfirm();
  Fixture.loseWorker();
  Fixture.pass(Millis{1000});
  CHECK_FALSE(Fixture.look().empty());
  Fixture.pass(Millis{1000});
  STRCMP_EQUAL("", Fixture.look().c_str());
}

/// Guards against a second reason that hides behind the first.
TEST(CellWaitReasons, AChangeOfTheReasonIsWritten) {
  WaitFixture Fixture;
  TaskLaunch &Launch = Fixture.startAndConfirm();
  Fixture.loseWorker();
  Fixture.pass(Millis{1000});
  CHECK_FALSE(Fixture.look().empty());
  Launch.IsEndProposed = true;
  STRCMP_EQUAL("", Fixture.look().c_str());
  Fixture.pass(MinLoggedReasonAge);
  STRCMP_EQUAL("event=waits job=one run=0 step=0 tasks=0 "
               "reason=end-uncommitted since_ms=1000 worker=a term=4 "
               "inherited=no",
               Fixture.look().c_str());
}

/// Guards against waits whose end has to be guessed, and against ends that are
/// dated to the search instead of the start.
TEST(CellWaitReasons, TheEndOfALoggedWaitHasItsLength) {
  WaitFixture Fixture;
  TaskLaunch &Launch = Fixture.startAndConfirm();
  Fixture.loseWorker();
  Fixture.pass(Millis{1000});
  CHECK_FALSE(Fixture.look().empty());
  Fixture.pass(Millis{500});
  Fixture.session().ConsecutiveMisses = 0;
  Launch.PhaseSince = Fixture.Now;
  Fixture.pass(Millis{400});
  STRCMP_EQUAL("event=wait-over job=one run=0 step=0 tasks=0 "
               "last_reason=worker-unresponsive waited_ms=1500 term=4",
               Fixture.look().c_str());
  STRCMP_EQUAL("", Fixture.look().c_str());
}

/// Guards against lines about tasks that run.
TEST(CellWaitReasons, ATaskThatRunsHasNoReason) {
  WaitFixture Fixture;
  Fixture.startAndConfirm();
  Fixture.pass(Millis{5000});
  STRCMP_EQUAL("", Fixture.look().c_str());
}

/// Guards against a task that is held by an unfinished start (hypothesis C of
/// the incident) without a line that tells which.
TEST(CellWaitReasons, AnUnfinishedStartIsNamedByItsPhase) {
  const std::pair<LaunchPhase, const char *> Cases[] = {
      {LaunchPhase::Sending, "start-unanswered"},
      {LaunchPhase::Unacknowledged, "start-doubtful"},
      {LaunchPhase::Recovered, "start-inherited"}};
  for (const auto &[Phase, Name] : Cases) {
    WaitFixture Fixture;
    TaskLaunch &Launch = Fixture.start();
    Launch.Phase = Phase;
    const auto Why = explainAssigned(Fixture.Dispatch, Launch);
    CHECK(Why.has_value());
    checkReason(Name, nameOf(Why->Reason));
    CHECK(Why->Since == Fixture.Now);
  }
}

/// Guards against a reason that seems to begin with each leader. The field
/// tells that it may be older.
TEST(CellWaitReasons, AWorkerThatANewLeaderHasNotReconciledIsInherited) {
  WaitFixture Fixture;
  Fixture.startAndConfirm();
  beginDispatch(Fixture.Dispatch, Fixture.State, LeaderTerm + 1, Fixture.Now);
  Fixture.session().LeaseEnd = Fixture.Now + Millis{5708};
  Fixture.pass(Millis{1000});
  STRCMP_EQUAL("event=waits job=one run=0 step=0 tasks=0 "
               "reason=worker-not-reconciled since_ms=1000 allowed_ms=4708 "
               "worker=a term=5 inherited=yes",
               Fixture.look().c_str());
}

/// Guards against hypothesis B of the incident, a backoff that no line shows.
TEST(CellWaitReasons, ABackoffAfterCrashesNamesItsEnd) {
  WaitFixture Fixture;
  Fixture.submit();
  Fixture.task().Crashes = 3;
  Fixture.Dispatch.Entries.Crashes[Fixture.key()] = Fixture.Now;
  const auto DueAt =
      trialDueAt(Fixture.Dispatch, Fixture.key(), Fixture.task(), StepSpec{});
  Fixture.pass(Millis{1000});
  STRCMP_EQUAL(("event=waits job=one run=0 step=0 tasks=0 "
                "reason=crash-backoff since_ms=1000 allowed_ms=" +
                std::to_string((*DueAt - Fixture.Now).count()) +
                " term=4 inherited=no")
                   .c_str(),
               Fixture.look().c_str());
}

/// Guards against a suspect that waits for a rack while workers have room.
TEST(CellWaitReasons, ASuspectWaitsForARackWithoutTrials) {
  WaitFixture Fixture;
  Fixture.submit();
  Fixture.task().Crashes = 1;
  checkReason("not-planned", Fixture.reason());
  Fixture.Dispatch.RecentCrashes.push_back(
      {Fixture.session().Rack, Fixture.Now});
  checkReason("no-rack-for-trial", Fixture.reason());
  Fixture.session().LastStartAt = Fixture.Now;
  checkReason("recent-start", Fixture.reason());
}

/// Guards against a pool that seems to have no room although its workers are
/// only kept out. Each cause is counted.
TEST(CellWaitReasons, APoolWithoutSchedulableWorkersNamesWhatKeepsThemOut) {
  WaitFixture Fixture;
  for (const char *Name : {"b", "c", "d", "e", "f"}) {
    registerTestWorker(Fixture.Dispatch, Fixture.State, Name, WorkerCpus,
                       Fixture.Now);
  }
  Fixture.submit();
  Fixture.loseWorker();
  Fixture.session("b").IsReconciled = false;
  Fixture.session("c").Orphans.emplace_back();
  Fixture.worker("d").Report.IsDraining = true;
  Fixture.worker("e").IsUnannounced = true;
  Fixture.session("f").BackoffUntil = Fixture.Now + Millis{60000};
  STRCMP_EQUAL("event=waits job=one run=0 step=0 tasks=0 "
               "reason=no-schedulable-worker since_ms=1000 term=4 inherited=no "
               "workers=6 unresponsive=1 not-reconciled=1 orphaned-starts=1 "
               "unannounced=1 draining=1 backoff=1",
               Fixture.lookTwice().c_str());
}

/// Guards against a full or unsuitable pool that is taken for a fault.
TEST(CellWaitReasons, RoomLabelsAndReservationsAreToldApart) {
  WaitFixture Fixture;
  Fixture.submit();
  Fixture.worker().Used.MilliCpus = 1;
  checkReason("no-room", Fixture.reason());
  Fixture.worker().Used.MilliCpus = 0;
  StepReservation Reservation{
      true, {findWorker(Fixture.State, "a")}, Fixture.Now, Fixture.Now};
  Fixture.Dispatch.Reservations[{{7, 7}, 0, 0}] = Reservation;
  checkReason("workers-reserved", Fixture.reason());
  Fixture.Dispatch.Reservations[{Fixture.key().Job, 0, 0}] = Reservation;
  checkReason("not-planned", Fixture.reason());
  Fixture.Step.Label = "gpu";
  Fixture.State.Jobs[Fixture.key().Job].Spec.Steps[0].Label = "gpu";
  checkReason("unsuitable-workers", Fixture.reason());
}

/// Guards against a gang whose members seem to have room one by one.
TEST(CellWaitReasons, AGangNeedsRoomForAllItsMembers) {
  WaitFixture Fixture;
  Fixture.Step.IsGang = true;
  Fixture.Step.Tasks = 2;
  Fixture.submit();
  checkReason("no-room", Fixture.reason());
  registerTestWorker(Fixture.Dispatch, Fixture.State, "b", WorkerCpus,
                     Fixture.Now);
  checkReason("not-planned", Fixture.reason());
  Fixture.State.Jobs[Fixture.key().Job].Runs[0].Steps[0].Assigned = 1;
  checkReason("gang-incomplete", Fixture.reason());
}

/// Guards against a cap that looks like a lack of room.
TEST(CellWaitReasons, ACapNamesItsOrganisation) {
  WaitFixture Fixture;
  CellConfiguration Configuration = makeTestConfiguration(2, 3);
  Organisation Capped;
  Capped.Name = "library";
  Capped.KeyDigests = {"key"};
  Capped.Cap.MilliCpus = WorkerCpus;
  Configuration.RequiresKeys = true;
  Configuration.Organisations = {Capped};
  applyCommand(Fixture.State, ConfigureCommand{Configuration});
  registerTestWorker(Fixture.Dispatch, Fixture.State, "b", WorkerCpus,
                     Fixture.Now);
  Fixture.submit("first", "key");
  onStateChange(Fixture.Dispatch, Fixture.State,
                applyCommand(Fixture.State,
                             AssignTasksCommand{
                                 planStarts(Fixture.Dispatch, Fixture.State,
                                            Fixture.Now, Fixture.wallNow())}),
                Fixture.Now);
  Fixture.Dispatch.Launches.begin()->second.Phase = LaunchPhase::Confirmed;
  Fixture.submit("one", "key");
  STRCMP_EQUAL("event=waits job=one run=0 step=0 tasks=0 "
               "reason=organisation-cap since_ms=1000 term=4 inherited=no "
               "organisation=library",
               Fixture.lookTwice().c_str());
}

/// Guards against an advisor whose denials look like a lack of workers.
TEST(CellWaitReasons, AMissingAdmissionNamesTheDenialsAndTheNextQuery) {
  WaitFixture Fixture;
  CellConfiguration Configuration = makeTestConfiguration(2, 3);
  Configuration.Queues.front().Advice = AdvisorOptions{};
  applyCommand(Fixture.State, ConfigureCommand{Configuration});
  Fixture.submit();
  StepAdvice &Advice = Fixture.Dispatch.Advice[{Fixture.key().Job, 0, 0}];
  Advice.Denied.insert(findWorker(Fixture.State, "a"));
  Advice.RetryAt = Fixture.Now + Millis{3000};
  STRCMP_EQUAL("event=waits job=one run=0 step=0 tasks=0 reason=no-admission "
               "since_ms=1000 allowed_ms=2000 term=4 inherited=no denied=1 "
               "query=none",
               Fixture.lookTwice().c_str());
}

/// Guards against a group of voters that does not commit while all tasks wait.
TEST(CellWaitReasons, AnAssignmentThatIsNotCommittedHoldsAllTasks) {
  WaitFixture Fixture;
  Fixture.submit();
  Fixture.Dispatch.HasUncommittedStarts = true;
  Fixture.Dispatch.LastPlanAt = Fixture.Now;
  checkReason("not-planned", Fixture.reason());
  Fixture.pass(Millis{500});
  checkReason("assignments-uncommitted", Fixture.reason());
}

/// Guards against a leader that spends its processor on the waits of an
/// overload, and against lines about usual waits.
TEST(CellWaitReasons, AStepThatIsNotLongRunningGetsALineAfterSomeTime) {
  WaitFixture Fixture;
  Fixture.Step.IsLongRunning = false;
  Fixture.worker().Used.MilliCpus = WorkerCpus;
  Fixture.submit();
  Fixture.pass(MinLoggedWait - Millis{1});
  Fixture.hearFromWorkers();
  Fixture.look();
  CHECK(Fixture.Dispatch.Waits.Waits.empty());
  Fixture.pass(Millis{1});
  STRCMP_EQUAL("", Fixture.look().c_str());
  Fixture.pass(MinLoggedWait);
  Fixture.hearFromWorkers();
  STRCMP_EQUAL("event=waits job=one run=0 step=0 tasks=0 reason=no-room "
               "since_ms=3000 term=4 inherited=no",
               Fixture.look().c_str());
}

/// Guards against a search whose cost grows with workers times tasks, and
/// against steps that are never explained because others come first.
TEST(CellWaitReasons, ASearchExplainsABoundedNumberOfStepsInTurn) {
  WaitFixture Fixture;
  Fixture.worker().Used.MilliCpus = WorkerCpus;
  Fixture.Step.Tasks = MaxTasksPerLook + 10;
  for (std::size_t Job = 0; Job < 2 * MaxLongRunningStepsPerLook; ++Job) {
    Fixture.submit("job" + std::to_string(Job));
  }
  Fixture.hearFromWorkers();
  Fixture.look();
  CHECK_EQUAL(MaxLongRunningStepsPerLook * MaxTasksPerLook,
              Fixture.Dispatch.Waits.Waits.size());
  Fixture.look();
  CHECK_EQUAL(2 * MaxLongRunningStepsPerLook * MaxTasksPerLook,
              Fixture.Dispatch.Waits.Waits.size());
}

/// Guards against a search in each step of the leader.
TEST(CellWaitReasons, SearchesAreAnIntervalApart) {
  WaitFixture Fixture;
  Fixture.submit();
  Fixture.worker().Used.MilliCpus = WorkerCpus;
  Fixture.look();
  Fixture.Dispatch.Waits.Waits.clear();
  Fixture.pass(WaitLookInterval - Millis{1});
  logWaits(Fixture.Dispatch, Fixture.State, Fixture.Now, Fixture.wallNow());
  CHECK(Fixture.Dispatch.Waits.Waits.empty());
  Fixture.pass(Millis{1});
  logWaits(Fixture.Dispatch, Fixture.State, Fixture.Now, Fixture.wallNow());
  CHECK_EQUAL(1, Fixture.Dispatch.Waits.Waits.size());
}
