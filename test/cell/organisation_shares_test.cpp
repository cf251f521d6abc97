#include "mulberryramp/cell/organisation_shares.hpp"

#include "mulberryramp/cell/start_planner.hpp"
#include "mulberryramp/cell/step_order.hpp"
#include "mulberryramp/core/random.hpp"
#include "support/cell_parts.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

constexpr std::uint64_t Seeds = 3000;
constexpr Millis RoundTime{100};
constexpr std::int64_t WorkerCpus = 8000;

StepSpec stepOf(std::uint32_t Tasks, std::int64_t MilliCpus, Millis Estimate) {
  StepSpec Step;
  Step.Tasks = Tasks;
  Step.Need.MilliCpus = MilliCpus;
  Step.Estimate = Estimate;
  return Step;
}

/// A leader with workers whose tasks run for exactly their estimate. Each round
/// ends tasks, plans and starts. After each round it checks the caps, and that
/// nothing is left idle which a waiting step may use.
class ShareWorld {
public:
  ShareWorld(std::vector<Organisation> Organisations, int WorkerCount) {
    Configuration = makeTestConfiguration(1, 3);
    Configuration.Queues.front().LatencyTarget = Millis{1000};
    Configuration.RequiresKeys = true;
    Configuration.Organisations = std::move(Organisations);
    for (Organisation &Row : Configuration.Organisations) {
      Row.KeyDigests = {"key of " + Row.Name};
    }
    applyCommand(State, ConfigureCommand{Configuration});
    beginDispatch(Dispatch, State, 1, Now);
    for (int Index = 0; Index < WorkerCount; ++Index) {
      const WorkerReport Report =
          makeTestReport("w" + std::to_string(Index), WorkerCpus);
      apply(RegisterWorkerCommand{Report});
      onWorkerReport(Dispatch, findWorker(State, Report.Name), Report, Now);
    }
  }

  JobId submit(const std::string &Organisation, const StepSpec &Step) {
    JobSpec Spec;
    Spec.Steps = {Step};
    const std::string Name = "j" + std::to_string(NextJob);
    NextJob += 1;
    apply(SubmitJobCommand{Name, "host", "/q/", Spec, wallNow(),
                           "key of " + Organisation});
    return findJob(State, Name);
  }

  void setCap(const std::string &Name, std::int64_t MilliCpus) {
    Configuration.Version += 1;
    for (Organisation &Row : Configuration.Organisations) {
      Row.Cap.MilliCpus = Row.Name == Name ? MilliCpus : Row.Cap.MilliCpus;
    }
    apply(ConfigureCommand{Configuration});
  }

  void round() {
    Now += RoundTime;
    for (auto &[Id, Session] : Dispatch.Sessions) {
      Session.ReportedAt = Now;
      Session.NextRenewalAt = Now;
    }
    endDueTasks();
    const auto Assignments = planStarts(Dispatch, State, Now, wallNow());
    const CellChange Change = apply(AssignTasksCommand{Assignments});
    // The planner and the replicated check must agree.
    CHECK_EQUAL(Assignments.size(), Change.Started.size());
    for (const TaskAssignment &Started : Change.Started) {
      const Job &Owner = State.Jobs[Started.Key.Job];
      StartedTasks[Owner.Organisation] += 1;
      Running.push_back(
          {Now + Owner.Spec.Steps[Started.Key.Step].Estimate, Started});
      checkCap(Owner);
    }
    checkNothingIdle();
    Dispatch.Orders.clear();
    Dispatch.UnansweredOrders.clear();
    Dispatch.Events.clear();
  }

  [[nodiscard]] bool isDone(JobId Id) const {
    return State.Jobs[Id].Phase == JobPhase::Completed;
  }

  [[nodiscard]] std::int64_t used(const std::string &Organisation) const {
    return loadOf(State, Organisation).Used.MilliCpus;
  }

  CellState State;
  DispatchState Dispatch;
  Instant Now{Millis{100000}};
  std::map<std::string, std::uint64_t> StartedTasks;
  bool MayHold = false; ///< Steps keep part of a cap for themselves.

private:
  struct RunningTask {
    Instant EndsAt;
    TaskAssignment Assigned;
  };

  [[nodiscard]] WallTime wallNow() const {
    return WallTime{Now.time_since_epoch()};
  }

  CellChange apply(const CellCommand &Command) {
    CellChange Change = applyCommand(State, Command);
    onStateChange(Dispatch, State, Change, Now);
    return Change;
  }

  void endDueTasks() {
    RecordTaskEndsCommand Command;
    Command.At = wallNow();
    std::erase_if(Running, [&](const RunningTask &Task) {
      if (Task.EndsAt > Now) {
        return false;
      }
      Command.Ends.push_back(
          {Task.Assigned.Key, Task.Assigned.Attempt, EndKind::Done, ""});
      return true;
    });
    apply(Command);
  }

  /// Checks that what a start brings the use to is within the cap, unless the
  /// task is alone.
  void checkCap(const Job &Owner) {
    const Organisation &Row =
        *findOrganisation(State.Configuration, Owner.Organisation);
    const OrganisationLoad Load = loadOf(State, Owner.Organisation);
    CHECK(Row.Cap.MilliCpus == 0 || Load.Tasks == 1 ||
          Load.Used.MilliCpus <= Row.Cap.MilliCpus);
  }

  void checkNothingIdle() {
    std::int64_t Largest = 0;
    for (const WorkerInstance &Worker : State.Workers.rows()) {
      Largest = std::max(Largest, availableResources(Worker).MilliCpus);
    }
    for (const JobId Id : State.UnfinishedJobs) {
      const Job &Owner = State.Jobs[Id];
      const StepSpec &Step = Owner.Spec.Steps.front();
      const JobStep &Progress = Owner.Runs.front().Steps.front();
      const bool IsWaiting =
          Progress.Assigned + Progress.Done < Progress.Tasks.size();
      const Resources &Cap =
          findOrganisation(State.Configuration, Owner.Organisation)->Cap;
      const bool MayStart =
          IsWaiting && !Step.IsGang && Step.Need.MilliCpus <= Largest &&
          fitsUnderCap(Cap, loadOf(State, Owner.Organisation), Step.Need, 1);
      CHECK(!MayStart || (MayHold && Cap.MilliCpus != 0));
    }
  }

  CellConfiguration Configuration;
  std::vector<RunningTask> Running;
  int NextJob = 0;
};

std::int64_t randomUpTo(Random &Rng, std::uint64_t Limit) {
  return 1 + static_cast<std::int64_t>(Rng.below(Limit));
}

} // namespace

TEST_GROUP(CellOrganisationShares){};

/// Load: one organisation submits several times what it is owed. Guards against
/// jobs of the others that wait behind it, and against capacity left idle.
TEST(CellOrganisationShares, AHotOrganisationDelaysNoOther) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Random Rng{Seed};
    ShareWorld World{{{"hot", {}, 2, {}}, {"calm", {}, 5, {}}}, 2};
    std::vector<std::pair<JobId, Instant>> Calm;
    for (int Round = 0; Round < 12; ++Round) {
      for (int Index = 0; Index < 4; ++Index) {
        World.submit("hot", stepOf(4, 1000, Millis{200}));
      }
      if (Rng.percent(30)) {
        Calm.emplace_back(World.submit("calm", stepOf(2, 1000, Millis{200})),
                          World.Now);
      }
      World.round();
    }
    for (int Round = 0; Round < 3; ++Round) {
      World.round();
    }
    for (const auto &[Id, SubmittedAt] : Calm) {
      // Two of 16 slots are free within the run time of a task.
      CHECK(World.isDone(Id) || World.Now - SubmittedAt < Millis{500});
    }
    CHECK(World.StartedTasks["hot"] > 50);
  }
}

/// Load: organisations with a constant backlog. Guards against shares that do
/// not follow the weights.
TEST(CellOrganisationShares, ContendedSharesFollowTheWeights) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Random Rng{Seed};
    const double Weights[] = {100.0 * static_cast<double>(randomUpTo(Rng, 4)),
                              100.0 * static_cast<double>(randomUpTo(Rng, 4))};
    ShareWorld World{{{"a", {}, Weights[0], {}}, {"b", {}, Weights[1], {}}}, 3};
    const std::int64_t Cpus = 250 * randomUpTo(Rng, 4);
    for (int Index = 0; Index < 40; ++Index) {
      World.submit("a", stepOf(3, Cpus, Millis{300}));
      World.submit("b", stepOf(3, Cpus, Millis{300}));
    }
    World.round();
    const double Difference =
        static_cast<double>(World.used("a")) / Weights[0] -
        static_cast<double>(World.used("b")) / Weights[1];
    const double OneStep =
        3.0 * static_cast<double>(Cpus) / std::min(Weights[0], Weights[1]);
    CHECK(std::abs(Difference) <= OneStep + 1e-9);
  }
}

/// Load: caps that are lowered and raised while tasks of one size wait. Guards
/// against starts over a lowered cap, and against a raised one that is not
/// used.
TEST(CellOrganisationShares, AChangedCapIsNeverExceeded) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Random Rng{Seed};
    ShareWorld World{
        {{"a", {}, 100, Resources{6000}}, {"b", {}, 100, Resources{4000}}}, 2};
    for (int Round = 0; Round < 15; ++Round) {
      World.submit(Rng.percent(50) ? "a" : "b",
                   stepOf(static_cast<std::uint32_t>(randomUpTo(Rng, 8)), 1000,
                          Millis{100 * randomUpTo(Rng, 4)}));
      if (Rng.percent(30)) {
        World.setCap(Rng.percent(50) ? "a" : "b", 1000 * randomUpTo(Rng, 12));
      }
      World.MayHold = true;
      World.round();
    }
  }
}

/// Load: a gang whose size is near the cap, beside single tasks of the same
/// organisation that arrive all the time. Guards against the gang starving.
TEST(CellOrganisationShares, AGangUnderACapStarts) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Random Rng{Seed};
    ShareWorld World{{{"a", {}, 100, Resources{8000}}, {"b", {}, 100, {}}}, 2};
    World.MayHold = true;
    for (int Round = 0; Round < 3; ++Round) {
      World.submit("a", stepOf(4, 1000, Millis{100 * randomUpTo(Rng, 4)}));
      World.round();
    }
    StepSpec Gang =
        stepOf(static_cast<std::uint32_t>(4 + Rng.below(5)), 1000, Millis{200});
    Gang.IsGang = true;
    const JobId Id = World.submit("a", Gang);
    for (int Round = 0; Round < 40; ++Round) {
      World.submit("a", stepOf(2, 1000, Millis{100 * randomUpTo(Rng, 4)}));
      World.round();
    }
    CHECK(World.isDone(Id));
  }
}

/// Load: single tasks that take more than half of the cap, or more than all of
/// it, beside small ones that arrive all the time. Guards against wide tasks
/// that starve, and small ones that then wait for ever.
TEST(CellOrganisationShares, WideAndSmallTasksBothRun) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Random Rng{Seed};
    ShareWorld World{
        {{"a", {}, 100, Resources{5000}}, {"b", {}, 100, Resources{9000}}}, 3};
    World.MayHold = true;
    std::vector<JobId> Early;
    for (int Round = 0; Round < 6; ++Round) {
      Early.push_back(World.submit("a", stepOf(4, 1000, Millis{200})));
      World.round();
    }
    const std::int64_t Wide =
        3000 + 500 * static_cast<std::int64_t>(Rng.below(9));
    Early.push_back(World.submit("a", stepOf(1, Wide, Millis{300})));
    for (int Round = 0; Round < 70; ++Round) {
      if (Round % 2 == 0) {
        World.submit("a", stepOf(3, 1000, Millis{100 * randomUpTo(Rng, 3)}));
      }
      World.submit("b", stepOf(1, 1000, Millis{200}));
      World.round();
    }
    for (const JobId Id : Early) {
      CHECK(World.isDone(Id));
    }
  }
}

/// Guards against an attempt that is left out of the cap although it may still
/// run, and against one that holds the cap after its lease has ended.
TEST(CellOrganisationShares, AttemptsThatMayStillRunCount) {
  ShareWorld World{{{"a", {}, 100, Resources{4000}}}, 2};
  World.submit("a", stepOf(9, 1000, Millis{500}));
  WorkerSession &Session = World.Dispatch.Sessions.begin()->second;
  OrphanedStart Orphan;
  Orphan.Organisation = "a";
  Orphan.Need.MilliCpus = 1000;
  Session.Orphans = {Orphan, Orphan};
  Session.Orphans.front().WasConfirmed = true;
  Session.LeaseEnd = World.Now + 2 * RoundTime;
  Session.UnknownTasks = {{"a", Resources{500}}};
  World.MayHold = true;
  World.round();
  CHECK_EQUAL(1000, World.used("a"));
  Session.UnknownTasks.clear();
  World.round();
  CHECK_EQUAL(3000, World.used("a"));
}

/// Guards against excess jobs that are served before regular ones, and against
/// another order than before in a deployment without organisations.
TEST(CellOrganisationShares, ExcessComesAfterAllPriorities) {
  PendingStep Regular;
  Regular.Priority = 9;
  Regular.IsFarOverdue = true;
  PendingStep Excess;
  Excess.IsExcess = true;
  CHECK(Regular < Excess);
  CHECK_FALSE(Excess < Regular);
}

/// Guards against a share that is read once: the organisation of the first step
/// would then get all its steps in a row. Priorities come before shares.
TEST(CellOrganisationShares, TheOrderFollowsTheSharesDuringThePass) {
  std::vector<PendingStep> Steps(5);
  for (std::uint32_t Index = 0; Index < Steps.size(); ++Index) {
    Steps[Index].Key.Step = Index;
    Steps[Index].Priority = Index < 4 ? 0 : 1;
  }
  OrganisationUse A;
  OrganisationUse B;
  B.Used.MilliCpus = 1500;
  const Resources Total{10000};
  StepOrder Order{Steps, {&A, &A, &A, &B, &B}, Total};
  const std::size_t Expected[] = {0, 1, 3, 2, 4};
  for (const std::size_t Step : Expected) {
    CHECK_EQUAL(Step, Order.next());
    addTasks(Step < 3 ? A : B, Resources{1000}, 1);
  }
  CHECK_EQUAL(Steps.size(), Order.next());
}

/// Guards against a log line per plan, or none, when a cap holds back steps.
TEST(CellOrganisationShares, TheStartAndTheEndOfAHoldAreLogged) {
  DispatchState Dispatch;
  OrganisationShares Shares;
  Shares.Rows["a"].IsHeldByCap = true;
  Instant Now{Millis{1000}};
  const auto LinesAfter = [&](Millis Time) {
    Now += Time;
    Dispatch.Events.clear();
    reportShares(Dispatch, Shares, Now);
    return Dispatch.Events.size();
  };
  CHECK_EQUAL(1, LinesAfter(Millis{0}));
  CHECK_EQUAL(0, LinesAfter(Millis{12}));
  Shares.Rows["a"].IsHeldByCap = false;
  CHECK_EQUAL(0, LinesAfter(Millis{12}));
  CHECK_EQUAL(1, LinesAfter(Millis{1000}));
  CHECK_EQUAL(0, LinesAfter(Millis{1000}));
}
