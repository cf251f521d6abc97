#include "mulberryramp/job/state.hpp"

#include "mulberryramp/wire/codec.hpp"
#include "support/cell_parts.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

constexpr std::int64_t TaskMilliCpus = 1000;
const WallTime TestTime{Millis{1000000}};

StepSpec step(std::uint32_t Tasks, std::vector<std::uint32_t> DependsOn = {}) {
  StepSpec Step;
  Step.Tasks = Tasks;
  Step.Need.MilliCpus = TaskMilliCpus;
  Step.Estimate = Millis{500};
  Step.DependsOn = std::move(DependsOn);
  return Step;
}

/// @brief State of a cell with one queue and workers that can run four tasks
/// each.
struct CellFixture {
  CellState State;

  CellFixture() {
    applyCommand(State, ConfigureCommand{makeTestConfiguration(3, 2)});
  }

  WorkerInstanceId registerWorker(const std::string &Name,
                                  std::int64_t StartTimeMs,
                                  const std::string &Address = "") {
    WorkerReport Report = makeTestReport(Name, 4 * TaskMilliCpus);
    Report.StartTimeMs = StartTimeMs;
    if (!Address.empty()) {
      Report.Address = Address;
    }
    applyCommand(State, RegisterWorkerCommand{Report});
    return findWorker(State, Name);
  }

  JobId submit(const std::string &Name, std::vector<StepSpec> Steps,
               std::uint32_t RepeatCount = 0) {
    JobSpec Spec;
    Spec.Steps = std::move(Steps);
    Spec.RepeatCount = RepeatCount;
    Spec.FirstRunAt = TestTime;
    Spec.RepeatInterval = Millis{1000};
    applyCommand(State, SubmitJobCommand{Name, "host", "/q/", Spec, TestTime});
    return findJob(State, Name);
  }

  CellChange start(const TaskKey &Key, std::uint32_t Attempt,
                   WorkerInstanceId Worker) {
    return applyCommand(State, AssignTasksCommand{{{Key, Attempt, Worker}}});
  }

  CellChange end(const TaskKey &Key, std::uint32_t Attempt, EndKind Kind,
                 const std::string &Checkpoint = "") {
    RecordTaskEndsCommand Command;
    Command.Ends.push_back({Key, Attempt, Kind, Checkpoint});
    Command.At = TestTime;
    return applyCommand(State, Command);
  }

  const Job &job(JobId Id) { return State.Jobs[Id]; }
};

} // namespace

TEST_GROUP(JobState){};

TEST(JobState, JobCompletesOnceAllTasksOfAllStepsAreDone) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  const JobId Id = Fixture.submit("j", {step(2), step(1, {0})});
  CHECK(JobPhase::Queued == Fixture.job(Id).Phase);
  Fixture.start({Id, 0, 0, 0}, 1, Worker);
  Fixture.start({Id, 0, 0, 1}, 1, Worker);
  CHECK(JobPhase::Running == Fixture.job(Id).Phase);
  Fixture.end({Id, 0, 0, 0}, 1, EndKind::Done);
  Fixture.end({Id, 0, 0, 1}, 1, EndKind::Done);
  CHECK(JobPhase::Running == Fixture.job(Id).Phase);
  CHECK_EQUAL(1, Fixture.start({Id, 0, 1, 0}, 1, Worker).Started.size());
  Fixture.end({Id, 0, 1, 0}, 1, EndKind::Done);
  CHECK(JobPhase::Completed == Fixture.job(Id).Phase);
  CHECK_EQUAL(0, Fixture.State.Workers[Worker].Tasks);
  CHECK(Fixture.State.Workers[Worker].Used == Resources{});
}

TEST(JobState, StepDoesNotStartBeforeItsDependenciesAreDone) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  const JobId Id = Fixture.submit("j", {step(2), step(1, {0})});
  Fixture.start({Id, 0, 0, 0}, 1, Worker);
  Fixture.end({Id, 0, 0, 0}, 1, EndKind::Done);
  CHECK(Fixture.start({Id, 0, 1, 0}, 1, Worker).Started.empty());
}

/// An assignment is planned on a state that may have changed before the command
/// is applied.
TEST(JobState, AssignmentThatNoLongerFitsIsSkipped) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  const JobId Id = Fixture.submit("j", {step(5)});
  for (std::uint32_t Task = 0; Task < 4; ++Task) {
    CHECK_EQUAL(1, Fixture.start({Id, 0, 0, Task}, 1, Worker).Started.size());
  }
  CHECK(Fixture.start({Id, 0, 0, 4}, 1, Worker).Started.empty());
  CHECK(Fixture.start({Id, 0, 0, 0}, 2, Worker).Started.empty());
}

/// The capacity of a running worker may shrink below what its tasks need.
TEST(JobState, NoTaskStartsOverACapacityThatHasShrunk) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  const JobId Id = Fixture.submit("j", {step(4)});
  const auto SetCapacity = [&](std::int64_t Tasks, std::uint64_t Sequence) {
    Resources Capacity;
    Capacity.MilliCpus = Tasks * TaskMilliCpus;
    applyCommand(Fixture.State,
                 UpdateCapacityCommand{Worker, Capacity, Sequence});
  };
  Fixture.start({Id, 0, 0, 0}, 1, Worker);
  Fixture.start({Id, 0, 0, 1}, 1, Worker);
  SetCapacity(1, 2);
  CHECK_EQUAL(2, Fixture.State.Workers[Worker].Tasks);
  CHECK_EQUAL(-TaskMilliCpus,
              availableResources(Fixture.State.Workers[Worker]).MilliCpus);
  CHECK(Fixture.start({Id, 0, 0, 2}, 1, Worker).Started.empty());
  Fixture.end({Id, 0, 0, 0}, 1, EndKind::Done);
  CHECK(Fixture.start({Id, 0, 0, 2}, 1, Worker).Started.empty());
  SetCapacity(2, 3);
  CHECK_EQUAL(1, Fixture.start({Id, 0, 0, 2}, 1, Worker).Started.size());
  CHECK(Fixture.start({Id, 0, 0, 3}, 1, Worker).Started.empty());
}

/// Reports reach the leader through any node, in any order.
TEST(JobState, CapacityOfAnOlderReportIsIgnored) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  Resources Shrunk;
  Shrunk.MilliCpus = TaskMilliCpus;
  applyCommand(Fixture.State, UpdateCapacityCommand{Worker, Shrunk, 7});
  Resources Former;
  Former.MilliCpus = 4 * TaskMilliCpus;
  for (const std::uint64_t Sequence : {6, 7}) {
    applyCommand(Fixture.State,
                 UpdateCapacityCommand{Worker, Former, Sequence});
  }
  CHECK(Shrunk == Fixture.State.Workers[Worker].Report.Capacity);
  applyCommand(Fixture.State, UpdateCapacityCommand{Worker, Former, 8});
  CHECK(Former == Fixture.State.Workers[Worker].Report.Capacity);
}

TEST(JobState, NoTaskStartsAfterTheJobIsCancelled) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  const JobId Id = Fixture.submit("j", {step(2)});
  Fixture.start({Id, 0, 0, 0}, 1, Worker);
  const CellChange Change =
      applyCommand(Fixture.State, CancelJobCommand{"j", TestTime});
  CHECK_EQUAL(1, Change.FinishedJobs.size());
  CHECK(Fixture.start({Id, 0, 0, 1}, 1, Worker).Started.empty());
  CHECK_EQUAL(1, Fixture.State.Workers[Worker].Tasks);
  Fixture.end({Id, 0, 0, 0}, 1, EndKind::Done);
  CHECK(JobPhase::Cancelled == Fixture.job(Id).Phase);
  CHECK_EQUAL(0, Fixture.State.Workers[Worker].Tasks);
}

/// An attempt that ends for a reason outside the task must not use up the
/// attempts of the job.
TEST(JobState, OnlyFailuresCountTowardsTheMaximumOfAttempts) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  const JobId Id = Fixture.submit("j", {step(1)});
  const TaskKey Key{Id, 0, 0, 0};
  std::uint32_t Attempt = 1;
  for (const EndKind Kind :
       {EndKind::Lost, EndKind::Stopped, EndKind::LeaseExpired,
        EndKind::Refused, EndKind::Failed}) {
    Fixture.start(Key, Attempt, Worker);
    Fixture.end(Key, Attempt, Kind);
    CHECK(JobPhase::Running == Fixture.job(Id).Phase);
    Attempt += 1;
  }
  Fixture.start(Key, Attempt, Worker);
  Fixture.end(Key, Attempt, EndKind::Failed);
  CHECK(JobPhase::Failed == Fixture.job(Id).Phase);
}

/// Guards against a job being shown as running, and not counted as pending,
/// although workers refused all its starts.
TEST(JobState, AJobIsQueuedAgainOnceAllItsStartsAreRefused) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  const JobId Id = Fixture.submit("j", {step(2)});
  Fixture.start({Id, 0, 0, 0}, 1, Worker);
  Fixture.start({Id, 0, 0, 1}, 1, Worker);
  Fixture.end({Id, 0, 0, 0}, 1, EndKind::Refused);
  CHECK(JobPhase::Running == Fixture.job(Id).Phase);
  Fixture.end({Id, 0, 0, 1}, 1, EndKind::Refused);
  CHECK(JobPhase::Queued == Fixture.job(Id).Phase);
  Fixture.start({Id, 0, 0, 0}, 2, Worker);
  CHECK(JobPhase::Running == Fixture.job(Id).Phase);
  Fixture.end({Id, 0, 0, 0}, 2, EndKind::Refused);
  CHECK(JobPhase::Queued == Fixture.job(Id).Phase);
}

/// Guards against a job being shown as queued although one of its tasks has
/// begun, or may have.
TEST(JobState, AJobWithATaskThatMayHaveBegunIsNotQueuedAgain) {
  for (const EndKind Kind : {EndKind::Done, EndKind::Failed, EndKind::Lost,
                             EndKind::Stopped, EndKind::PossiblyCrashed}) {
    CellFixture Fixture;
    const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
    const JobId Id = Fixture.submit("j", {step(2)});
    Fixture.start({Id, 0, 0, 0}, 1, Worker);
    Fixture.start({Id, 0, 0, 1}, 1, Worker);
    Fixture.end({Id, 0, 0, 0}, 1, Kind);
    Fixture.end({Id, 0, 0, 1}, 1, EndKind::Refused);
    CHECK(JobPhase::Running == Fixture.job(Id).Phase);
  }
}

/// As above, for a worker that is deregistered with its tasks.
TEST(JobState, AJobWhoseWorkerIsGoneIsNotQueuedAgain) {
  CellFixture Fixture;
  const WorkerInstanceId Gone = Fixture.registerWorker("w", 1);
  const WorkerInstanceId Other = Fixture.registerWorker("v", 1, "other:1");
  const JobId Id = Fixture.submit("j", {step(1)});
  Fixture.start({Id, 0, 0, 0}, 1, Gone);
  applyCommand(Fixture.State, DeregisterWorkerCommand{Gone});
  Fixture.start({Id, 0, 0, 0}, 2, Other);
  Fixture.end({Id, 0, 0, 0}, 2, EndKind::Refused);
  CHECK(JobPhase::Running == Fixture.job(Id).Phase);
}

/// A job of a stored state has no record of whether a task has begun.
TEST(JobState, AJobStoredWithoutThatRecordIsNotQueuedAgain) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  const JobId Id = Fixture.submit("j", {step(1)});
  Fixture.start({Id, 0, 0, 0}, 1, Worker);
  Fixture.State.Jobs[Id].IsUnstarted = false;
  Fixture.end({Id, 0, 0, 0}, 1, EndKind::Refused);
  CHECK(JobPhase::Running == Fixture.job(Id).Phase);
}

/// An attempt that was presumed lost may still run. Its failure arrives after
/// the next attempt has started and counts towards the maximum of attempts.
TEST(JobState, LateFailureOfAnAttemptPresumedLostCounts) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  const JobId Id = Fixture.submit("j", {step(1)});
  const TaskKey Key{Id, 0, 0, 0};
  Fixture.start(Key, 1, Worker);
  Fixture.end(Key, 1, EndKind::Lost);
  Fixture.start(Key, 2, Worker);
  Fixture.end(Key, 1, EndKind::Failed);
  CHECK(JobPhase::Running == Fixture.job(Id).Phase);
  Fixture.end(Key, 2, EndKind::Failed);
  CHECK(JobPhase::Failed == Fixture.job(Id).Phase);
}

/// The end of an attempt that was presumed lost finishes the task, so that the
/// next attempt has to be stopped: its worker is listed for reconciliation.
TEST(JobState, LateDoneOfAnAttemptPresumedLostFinishesTheTask) {
  CellFixture Fixture;
  const WorkerInstanceId First = Fixture.registerWorker("w1", 1);
  const WorkerInstanceId Second = Fixture.registerWorker("w2", 1);
  const JobId Id = Fixture.submit("j", {step(1)});
  const TaskKey Key{Id, 0, 0, 0};
  Fixture.start(Key, 1, First);
  Fixture.end(Key, 1, EndKind::Lost);
  Fixture.start(Key, 2, Second);
  const CellChange Change = Fixture.end(Key, 1, EndKind::Done);
  CHECK(JobPhase::Completed == Fixture.job(Id).Phase);
  CHECK_EQUAL(1, Change.WorkersToReconcile.size());
  CHECK(Second == Change.WorkersToReconcile.front());
  CHECK_EQUAL(0, Fixture.State.Workers[Second].Tasks);
}

/// The ends of all members of a gang count as one failure, and one member that
/// is done completes the gang.
TEST(JobState, GangFailsAndCompletesAsAUnit) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  StepSpec GangStep = step(3);
  GangStep.IsGang = true;
  const JobId Id = Fixture.submit("j", {GangStep});
  const auto StartAllTasks = [&](std::uint32_t Attempt) {
    for (std::uint32_t Task = 0; Task < 3; ++Task) {
      Fixture.start({Id, 0, 0, Task}, Attempt, Worker);
    }
  };
  StartAllTasks(1);
  Fixture.end({Id, 0, 0, 0}, 1, EndKind::Failed);
  Fixture.end({Id, 0, 0, 1}, 1, EndKind::Failed);
  Fixture.end({Id, 0, 0, 2}, 1, EndKind::GangBroken);
  CHECK(JobPhase::Running == Fixture.job(Id).Phase);
  StartAllTasks(2);
  Fixture.end({Id, 0, 0, 1}, 2, EndKind::Done);
  CHECK(JobPhase::Completed == Fixture.job(Id).Phase);
  CHECK_EQUAL(0, Fixture.State.Workers[Worker].Tasks);
}

TEST(JobState, CheckpointIsKeptForTheNextAttempt) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  const JobId Id = Fixture.submit("j", {step(1)});
  const TaskKey Key{Id, 0, 0, 0};
  Fixture.start(Key, 1, Worker);
  Fixture.end(Key, 1, EndKind::Stopped, "half");
  STRCMP_EQUAL("half", findTask(Fixture.State, Key)->Checkpoint.c_str());
}

/// A report of the previous instance that arrives late must not take the tasks
/// back.
TEST(JobState, NewInstanceOfAWorkerTakesOverTheTasksOfThePreviousOne) {
  CellFixture Fixture;
  const WorkerInstanceId PreviousInstance = Fixture.registerWorker("w", 1);
  const JobId Id = Fixture.submit("j", {step(1)});
  Fixture.start({Id, 0, 0, 0}, 1, PreviousInstance);
  const WorkerInstanceId NewInstance = Fixture.registerWorker("w", 2);
  CHECK(PreviousInstance != NewInstance);
  CHECK(NewInstance == findTask(Fixture.State, {Id, 0, 0, 0})->Worker);
  CHECK_EQUAL(1, Fixture.State.Workers[NewInstance].Tasks);
  CHECK(NewInstance == Fixture.registerWorker("w", 1));
}

/// Only one process can listen on an address, so that the previous worker and
/// its attempts are gone.
TEST(JobState, WorkerAtAReusedAddressReplacesThePreviousWorker) {
  CellFixture Fixture;
  const WorkerInstanceId PreviousInstance =
      Fixture.registerWorker("w1", 1, "a:1");
  const JobId Id = Fixture.submit("j", {step(1)});
  Fixture.start({Id, 0, 0, 0}, 1, PreviousInstance);
  Fixture.registerWorker("w2", 2, "a:1");
  CHECK(!Fixture.State.Workers.contains(PreviousInstance));
  CHECK(JobTaskState::Waiting == findTask(Fixture.State, {Id, 0, 0, 0})->State);
}

TEST(JobState, RunsOfARepeatedJobOverlapAndMustAllBeDone) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  const JobId Id = Fixture.submit("j", {step(1)}, 2);
  CHECK(Fixture.job(Id).Runs.empty());
  applyCommand(Fixture.State, CreateRunCommand{Id, 0});
  applyCommand(Fixture.State, CreateRunCommand{Id, 0});
  applyCommand(Fixture.State, CreateRunCommand{Id, 1});
  CHECK_EQUAL(2, Fixture.job(Id).Runs.size());
  CHECK(TestTime + Millis{1000} == dueTime(Fixture.job(Id), 1));
  Fixture.start({Id, 1, 0, 0}, 1, Worker);
  Fixture.end({Id, 1, 0, 0}, 1, EndKind::Done);
  CHECK(JobPhase::Running == Fixture.job(Id).Phase);
  Fixture.start({Id, 0, 0, 0}, 1, Worker);
  Fixture.end({Id, 0, 0, 0}, 1, EndKind::Done);
  CHECK(JobPhase::Completed == Fixture.job(Id).Phase);
}

TEST(JobState, ConfigurationOfAnOlderOrEqualVersionIsIgnored) {
  CellFixture Fixture;
  CellConfiguration NewConfiguration = Fixture.State.Configuration;
  NewConfiguration.Queues.clear();
  applyCommand(Fixture.State, ConfigureCommand{NewConfiguration});
  CHECK_EQUAL(1, Fixture.State.Configuration.Queues.size());
  NewConfiguration.Version = 4;
  applyCommand(Fixture.State, ConfigureCommand{NewConfiguration});
  CHECK(Fixture.State.Configuration.Queues.empty());
}

TEST(JobState, QueueWithTheLongestMatchingPrefixIsChosen) {
  CellFixture Fixture;
  CellConfiguration Configuration = Fixture.State.Configuration;
  JobQueue InnerQueue = Configuration.Queues.front();
  InnerQueue.Prefix = "/q/inner/";
  Configuration.Queues.push_back(InnerQueue);
  STRCMP_EQUAL("/q/inner/",
               matchQueue(Configuration, "host", "/q/inner/x")->Prefix.c_str());
  STRCMP_EQUAL("/q/",
               matchQueue(Configuration, "host", "/q/x")->Prefix.c_str());
  CHECK(matchQueue(Configuration, "other", "/q/x") == nullptr);
}

TEST(JobState, InvalidJobSpecsAreRejected) {
  JobSpec Spec;
  CHECK(!validateJobSpec(Spec).empty());
  Spec.Steps = {step(1, {0})};
  CHECK(!validateJobSpec(Spec).empty());
  Spec.Steps = {step(0)};
  CHECK(!validateJobSpec(Spec).empty());
  Spec.Steps = {step(1), step(2, {0})};
  CHECK(validateJobSpec(Spec).empty());
  Spec.RepeatCount = 3;
  CHECK(!validateJobSpec(Spec).empty());
}

/// Guards against a second registration of one instance, and against the loss
/// of its own description: a renewal and a report discover it at the same time,
/// so that both commands are in the log in either order.
TEST(JobState, TheFirstReportDescribesAnInstanceThatARenewalDiscovered) {
  for (const bool IsReportFirst : {false, true}) {
    CellFixture Fixture;
    Fixture.registerWorker("w", 1);
    WorkerReport Report = makeTestReport("w", TaskMilliCpus);
    Report.StartTimeMs = 2;
    Report.Labels = {"b"};
    Report.IsDraining = true;
    WorkerReport Discovered;
    Discovered.Name = Report.Name;
    Discovered.Address = Report.Address;
    Discovered.Pool = Report.Pool;
    Discovered.StartTimeMs = 2;
    const RegisterWorkerCommand ByReport{Report};
    const RegisterWorkerCommand ByRenewal{Discovered, true};
    applyCommand(Fixture.State, IsReportFirst ? ByReport : ByRenewal);
    const WorkerInstanceId Worker = findWorker(Fixture.State, "w");
    applyCommand(Fixture.State, IsReportFirst ? ByRenewal : ByReport);
    // A repeated report changes nothing.
    Report.Labels = {"c"};
    CHECK(!applyCommand(Fixture.State, RegisterWorkerCommand{Report})
               .AnnouncedWorker.isSet());
    CHECK(Worker == findWorker(Fixture.State, "w"));
    CHECK_EQUAL(1, Fixture.State.Workers.size());
    CHECK(!Fixture.State.Workers[Worker].IsUnannounced);
    CHECK(Fixture.State.Workers[Worker].Report.IsDraining);
    STRCMP_EQUAL("b",
                 Fixture.State.Workers[Worker].Report.Labels.front().c_str());
  }
}

/// Guards against starts on a worker of unknown labels: the leader that
/// proposed the assignment did not know of the new instance.
TEST(JobState, NoTaskIsAssignedToAnUnannouncedInstance) {
  CellFixture Fixture;
  WorkerReport Report = makeTestReport("w", 4 * TaskMilliCpus);
  applyCommand(Fixture.State, RegisterWorkerCommand{Report, true});
  const JobId Job = Fixture.submit("j", {step(1)});
  CHECK(Fixture.start({Job, 0, 0, 0}, 1, findWorker(Fixture.State, "w"))
            .Started.empty());
}

/// Guards against a log or snapshot of the previous build that this build
/// cannot read.
TEST(JobState, ReadsWorkersThatThePreviousBuildStored) {
  struct FormerInstance {
    WorkerReport Report;
    Resources Used;
    std::uint64_t LastAckedEnd = 0;
    std::uint32_t Tasks = 0;
    static constexpr auto fields() {
      return std::make_tuple(&FormerInstance::Report, &FormerInstance::Used,
                             &FormerInstance::LastAckedEnd,
                             &FormerInstance::Tasks);
    }
  };
  struct FormerRegister {
    WorkerReport Report;
    static constexpr auto fields() {
      return std::make_tuple(&FormerRegister::Report);
    }
  };
  const auto Instance = decode<WorkerInstance>(
      encode(FormerInstance{makeTestReport("w", 1), {}, 0, 0}));
  CHECK(Instance && !Instance->IsUnannounced);
  const auto Command = decode<RegisterWorkerCommand>(
      encode(FormerRegister{makeTestReport("w", 1)}));
  CHECK(Command && !Command->IsUnannounced);
}

/// Finished jobs with their complete descriptions make up most of the state.
/// What a caller may still ask for stays.
TEST(JobState, StrippedJobKeepsWhatCallersAskFor) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  JobSpec Spec;
  Spec.Payload = std::string(4000, 'p');
  Spec.Steps = {step(1), step(1, {0})};
  applyCommand(Fixture.State,
               SubmitJobCommand{"a", "host", "/q/", Spec, TestTime});
  const JobId Id = findJob(Fixture.State, "a");
  Fixture.start({Id, 0, 0, 0}, 1, Worker);
  Fixture.end({Id, 0, 0, 0}, 1, EndKind::Done);
  Fixture.start({Id, 0, 1, 0}, 1, Worker);
  Fixture.end({Id, 0, 1, 0}, 1, EndKind::Done);
  const Job Before = Fixture.job(Id);
  CHECK(Before.Phase == JobPhase::Completed);
  CHECK(canStrip(Fixture.State, Before));
  applyCommand(Fixture.State, StripJobsCommand{{Id}});
  const Job &After = Fixture.job(Id);
  CHECK(After.Spec.Payload.empty());
  CHECK(After.Spec.Steps.empty());
  CHECK(After.Runs.empty());
  STRCMP_EQUAL("a", After.Name.c_str());
  CHECK(After.Phase == JobPhase::Completed);
  CHECK(After.Queue.Prefix == Before.Queue.Prefix);
  CHECK(After.Organisation == Before.Organisation);
  CHECK(After.AcceptedAt == Before.AcceptedAt);
  CHECK(After.FinishedAt == Before.FinishedAt);
  CHECK_FALSE(canStrip(Fixture.State, After));
}

/// A job that still needs its description must not lose it: tasks start with
/// it, and assigned tasks occupy what it declares.
TEST(JobState, UnfinishedAndAssignedJobsAreNotStripped) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  const JobId Waiting = Fixture.submit("waiting", {step(1)});
  const JobId Cancelled = Fixture.submit("cancelled", {step(1)});
  Fixture.start({Cancelled, 0, 0, 0}, 1, Worker);
  applyCommand(Fixture.State, CancelJobCommand{"cancelled", TestTime});
  CHECK_FALSE(canStrip(Fixture.State, Fixture.job(Cancelled)));
  applyCommand(Fixture.State, StripJobsCommand{{Waiting, Cancelled, JobId{}}});
  CHECK_EQUAL(1U, Fixture.job(Waiting).Spec.Steps.size());
  CHECK_EQUAL(1U, Fixture.job(Cancelled).Spec.Steps.size());
  Fixture.end({Cancelled, 0, 0, 0}, 1, EndKind::Stopped);
  CHECK_EQUAL(0, Fixture.State.Workers[Worker].Used.MilliCpus);
  applyCommand(Fixture.State, StripJobsCommand{{Cancelled}});
  CHECK(Fixture.job(Cancelled).Spec.Steps.empty());
}

/// A new leader rebuilds the orphans of workers from the tasks. Without them it
/// would start tasks next to an attempt that may still run.
TEST(JobState, JobWithALostAttemptOnAKnownWorkerIsNotStripped) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  const JobId Id = Fixture.submit("a", {step(1)});
  Fixture.start({Id, 0, 0, 0}, 1, Worker);
  RecordTaskEndsCommand Presumed;
  Presumed.Ends.push_back({{Id, 0, 0, 0}, 1, EndKind::Lost, "", true});
  applyCommand(Fixture.State, Presumed);
  applyCommand(Fixture.State, CancelJobCommand{"a", TestTime});
  applyCommand(Fixture.State, StripJobsCommand{{Id}});
  CHECK_EQUAL(1U, Fixture.job(Id).Spec.Steps.size());
  applyCommand(Fixture.State, DeregisterWorkerCommand{Worker});
  applyCommand(Fixture.State, StripJobsCommand{{Id}});
  CHECK(Fixture.job(Id).Spec.Steps.empty());
}

/// Guards against a crash that counts twice: a new leader took an attempt that
/// its worker did not list any more for one that may still run there.
TEST(JobState, AnAttemptThatIsKnownToBeOverIsNoLostAttempt) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  const JobId Id = Fixture.submit("a", {step(1)});
  Fixture.start({Id, 0, 0, 0}, 1, Worker);
  Fixture.end({Id, 0, 0, 0}, 1, EndKind::Lost);
  CHECK_FALSE(findTask(Fixture.State, {Id, 0, 0, 0})->LostOn.isSet());
}

/// Commands on tasks of a stripped job can arrive late; they must not refer to
/// its missing steps.
TEST(JobState, LateCommandsForAStrippedJobHaveNoEffect) {
  CellFixture Fixture;
  const WorkerInstanceId Worker = Fixture.registerWorker("w", 1);
  const JobId Id = Fixture.submit("a", {step(1)});
  applyCommand(Fixture.State, CancelJobCommand{"a", TestTime});
  applyCommand(Fixture.State, StripJobsCommand{{Id}});
  CHECK(Fixture.start({Id, 0, 0, 0}, 1, Worker).Started.empty());
  CHECK(Fixture.end({Id, 0, 0, 0}, 1, EndKind::Done).Ended.empty());
  CHECK(Fixture.end({Id, 0, 0, 0}, 1, EndKind::Crashed).Ended.empty());
  applyCommand(Fixture.State, CancelJobCommand{"a", TestTime});
  applyCommand(Fixture.State, CreateRunCommand{Id, 1});
  CHECK(findStepSpec(Fixture.State, {Id, 0, 0, 0}) == nullptr);
  applyCommand(Fixture.State, PurgeJobsCommand{{Id}});
  CHECK_FALSE(findJob(Fixture.State, "a").isSet());
}

/// The estimate decides whether a submission is refused; if it is not the same
/// on each voter and after a restart, or keeps what was removed, it misleads.
TEST(JobState, EstimatedBytesFollowTheJobs) {
  CellFixture Fixture;
  CHECK_EQUAL(0U, Fixture.State.JobBytes);
  const JobId Small = Fixture.submit("a", {step(1)});
  const std::uint64_t BytesOfOne = Fixture.State.JobBytes;
  const JobId Large = Fixture.submit("b", {step(1000)});
  CHECK(Fixture.State.JobBytes > BytesOfOne + 8000);
  const std::uint64_t Both = Fixture.State.JobBytes;
  rebuildIndex(Fixture.State);
  CHECK_EQUAL(Both, Fixture.State.JobBytes);
  applyCommand(Fixture.State, CancelJobCommand{"b", TestTime});
  applyCommand(Fixture.State, StripJobsCommand{{Large}});
  CHECK(Fixture.State.JobBytes < 2 * BytesOfOne);
  applyCommand(Fixture.State, PurgeJobsCommand{{Large}});
  CHECK_EQUAL(BytesOfOne, Fixture.State.JobBytes);
  applyCommand(Fixture.State, CancelJobCommand{"a", TestTime});
  applyCommand(Fixture.State, PurgeJobsCommand{{Small}});
  CHECK_EQUAL(0U, Fixture.State.JobBytes);
}
