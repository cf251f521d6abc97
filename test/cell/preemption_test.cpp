#include "mulberryramp/cell/preemption.hpp"

#include "mulberryramp/cell/orders.hpp"
#include "mulberryramp/cell/start_planner.hpp"
#include "support/cell_parts.hpp"

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

/// Two workers, an urgent queue "/u/" and a batch queue "/q/".
struct PreemptionFixture {
  CellState State;
  DispatchState Dispatch;
  Instant Now{Millis{100000}};

  PreemptionFixture() {
    CellConfiguration Configuration = makeTestConfiguration(1, 3);
    Configuration.Queues.front().Priority = 2;
    JobQueue Urgent = makeTestQueue(3);
    Urgent.Prefix = "/u/";
    Urgent.SlackFactor = 2;
    Urgent.LatencyTarget = Millis{600};
    Configuration.Queues.push_back(Urgent);
    applyCommand(State, ConfigureCommand{Configuration});
    Dispatch.Options.HasPreemption = true;
    beginDispatch(Dispatch, State, 1, Now);
    registerTestWorker(Dispatch, State, "a", 4000, Now);
    registerTestWorker(Dispatch, State, "b", 4000, Now);
  }

  [[nodiscard]] WallTime wallNow() const {
    return WallTime{Now.time_since_epoch()};
  }

  void submit(const std::string &Name, const std::string &Prefix,
              const StepSpec &Step) {
    JobSpec Spec;
    Spec.Steps.push_back(Step);
    applyCommand(State,
                 SubmitJobCommand{Name, "host", Prefix, Spec, wallNow()});
  }

  static StepSpec makeStep(std::int64_t MilliCpus, Millis Estimate,
                           bool IsCheckpointed) {
    StepSpec Step;
    Step.Need.MilliCpus = MilliCpus;
    Step.Estimate = Estimate;
    Step.IsCheckpointed = IsCheckpointed;
    return Step;
  }

  /// Plans and starts what has room; each start is confirmed at once.
  void plan() {
    for (WorkerSession *Session : {session("a"), session("b")}) {
      Session->ReportedAt = Now;
    }
    const auto Assignments = planStarts(Dispatch, State, Now, wallNow());
    onStateChange(Dispatch, State,
                  applyCommand(State, AssignTasksCommand{Assignments}), Now);
    Dispatch.Orders.clear();
    Dispatch.UnansweredOrders.clear();
    for (auto &[Key, Launch] : Dispatch.Launches) {
      Launch.Phase = LaunchPhase::Confirmed;
    }
  }

  WorkerSession *session(const std::string &Name) {
    return &Dispatch.Sessions.at(findWorker(State, Name));
  }

  /// Names of the jobs whose tasks the last plan chose to stop.
  [[nodiscard]] std::string preempted() const {
    std::string Names;
    for (const TaskKey &Key : Dispatch.Preemptions) {
      Names += State.Jobs[Key.Job].Name;
    }
    return Names;
  }

  /// Fills both workers, lets the tasks run, and submits an urgent job.
  void fillAndSubmitUrgent(const StepSpec &OnA, const StepSpec &OnB) {
    submit("1", "/q/", OnA);
    submit("2", "/q/", OnB);
    plan();
    CHECK_EQUAL(2U, Dispatch.Launches.size());
    Now += Millis{1000};
    submit("u", "/u/", makeStep(2000, Millis{1000}, false));
    plan();
    CHECK(Dispatch.Preemptions.empty()); // It may still find room.
    Now += Millis{200};
    plan();
  }
};

} // namespace

TEST_GROUP(CellPreemption){};

/// Load: short urgent jobs on a pool that is full of long batch tasks. Guards
/// against urgent jobs that wait for a batch task to end, and against work that
/// is thrown away although a checkpointed task could make room.
TEST(CellPreemption, StopsTheCheckpointedTaskForAnUrgentJob) {
  PreemptionFixture Fixture;
  Fixture.fillAndSubmitUrgent(
      PreemptionFixture::makeStep(4000, Millis{9000}, false),
      PreemptionFixture::makeStep(4000, Millis{9000}, true));
  STRCMP_EQUAL("2", Fixture.preempted().c_str());
}

/// Guards against a loss of more work than the urgent job needs.
TEST(CellPreemption, StopsNothingThatLosesMoreWorkThanItGains) {
  PreemptionFixture Fixture;
  Fixture.fillAndSubmitUrgent(
      PreemptionFixture::makeStep(4000, Millis{9000}, false),
      PreemptionFixture::makeStep(4000, Millis{9000}, false));
  STRCMP_EQUAL("", Fixture.preempted().c_str());
}

/// Guards against stops of tasks that make room by themselves sooner.
TEST(CellPreemption, StopsNoTaskThatEndsSoon) {
  PreemptionFixture Fixture;
  Fixture.fillAndSubmitUrgent(
      PreemptionFixture::makeStep(4000, Millis{1400}, true),
      PreemptionFixture::makeStep(4000, Millis{1400}, true));
  STRCMP_EQUAL("", Fixture.preempted().c_str());
}

/// Guards against a stop for each plan while the room of a stopped task is not
/// free yet.
TEST(CellPreemption, CountsRoomThatIsBeingFreed) {
  PreemptionFixture Fixture;
  Fixture.fillAndSubmitUrgent(
      PreemptionFixture::makeStep(4000, Millis{9000}, true),
      PreemptionFixture::makeStep(4000, Millis{9000}, true));
  CHECK_EQUAL(1U, Fixture.Dispatch.Preemptions.size());
  sendStop(Fixture.Dispatch, Fixture.State,
           Fixture.Dispatch.Launches.at(Fixture.Dispatch.Preemptions.front()),
           "preempted", Fixture.Now);
  Fixture.Dispatch.Preemptions.clear();
  Fixture.Now += Millis{100};
  Fixture.plan();
  CHECK(Fixture.Dispatch.Preemptions.empty());
}

/// Guards against preemption among jobs of one priority.
TEST(CellPreemption, StopsNoTaskOfTheSamePriority) {
  PreemptionFixture Fixture;
  Fixture.submit("1", "/u/",
                 PreemptionFixture::makeStep(4000, Millis{9000}, true));
  Fixture.submit("2", "/u/",
                 PreemptionFixture::makeStep(4000, Millis{9000}, true));
  Fixture.plan();
  Fixture.Now += Millis{1000};
  Fixture.submit("u", "/u/",
                 PreemptionFixture::makeStep(2000, Millis{1000}, false));
  Fixture.plan();
  Fixture.Now += Millis{200};
  Fixture.plan();
  STRCMP_EQUAL("", Fixture.preempted().c_str());
}
