#include "mulberryramp/job/state.hpp"

#include "support/cell_parts.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

constexpr std::int64_t TaskCpus = 1000;
const WallTime Noon{Millis{1000000}};

StepSpec step(std::uint32_t Tasks, std::vector<std::uint32_t> After = {}) {
  StepSpec Step;
  Step.Tasks = Tasks;
  Step.Need.MilliCpus = TaskCpus;
  Step.Estimate = Millis{500};
  Step.DependsOn = std::move(After);
  return Step;
}

/// A cell with one queue and workers of four tasks each.
struct Cell {
  CellState State;

  Cell() { applyCommand(State, ConfigureCommand{makeTestConfiguration(3, 2)}); }

  WorkerInstanceId join(const std::string &Name, std::int64_t StartTimeMs,
                        const std::string &Address = "") {
    WorkerReport Report = makeTestReport(Name, 4 * TaskCpus);
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
    Spec.FirstRunAt = Noon;
    Spec.RepeatInterval = Millis{1000};
    applyCommand(State, SubmitJobCommand{Name, "host", "/q/", Spec, Noon});
    return findJob(State, Name);
  }

  CellChange start(const TaskKey &Key, std::uint32_t Attempt,
                   WorkerInstanceId Worker) {
    return applyCommand(State, AssignTasksCommand{{{Key, Attempt, Worker}}});
  }

  CellChange end(const TaskKey &Key, std::uint32_t Attempt, EndKind Kind,
                 const std::string &Saved = "") {
    RecordTaskEndsCommand Command;
    Command.Ends.push_back({Key, Attempt, Kind, Saved});
    Command.At = Noon;
    return applyCommand(State, Command);
  }

  const Job &job(JobId Id) { return State.Jobs[Id]; }
};

} // namespace

TEST_GROUP(JobState){};

TEST(JobState, AJobIsDoneOnceAllTasksOfAllStepsAre) {
  Cell On;
  const WorkerInstanceId Worker = On.join("w", 1);
  const JobId Id = On.submit("j", {step(2), step(1, {0})});
  CHECK(JobPhase::Queued == On.job(Id).Phase);
  On.start({Id, 0, 0, 0}, 1, Worker);
  On.start({Id, 0, 0, 1}, 1, Worker);
  CHECK(JobPhase::Running == On.job(Id).Phase);
  On.end({Id, 0, 0, 0}, 1, EndKind::Done);
  On.end({Id, 0, 0, 1}, 1, EndKind::Done);
  CHECK(JobPhase::Running == On.job(Id).Phase);
  CHECK_EQUAL(1, On.start({Id, 0, 1, 0}, 1, Worker).Started.size());
  On.end({Id, 0, 1, 0}, 1, EndKind::Done);
  CHECK(JobPhase::Completed == On.job(Id).Phase);
  CHECK_EQUAL(0, On.State.Workers[Worker].Tasks);
  CHECK(On.State.Workers[Worker].Used == Resources{});
}

TEST(JobState, AStepDoesNotStartBeforeThoseThatItFollows) {
  Cell On;
  const WorkerInstanceId Worker = On.join("w", 1);
  const JobId Id = On.submit("j", {step(2), step(1, {0})});
  On.start({Id, 0, 0, 0}, 1, Worker);
  On.end({Id, 0, 0, 0}, 1, EndKind::Done);
  CHECK(On.start({Id, 0, 1, 0}, 1, Worker).Started.empty());
}

TEST(JobState, AGrantThatNoLongerFitsIsPassedOver) {
  Cell On;
  const WorkerInstanceId Worker = On.join("w", 1);
  const JobId Id = On.submit("j", {step(5)});
  for (std::uint32_t Task = 0; Task < 4; ++Task) {
    CHECK_EQUAL(1, On.start({Id, 0, 0, Task}, 1, Worker).Started.size());
  }
  CHECK(On.start({Id, 0, 0, 4}, 1, Worker).Started.empty());
  CHECK(On.start({Id, 0, 0, 0}, 2, Worker).Started.empty());
}

TEST(JobState, NothingStartsOnceAJobIsCancelled) {
  Cell On;
  const WorkerInstanceId Worker = On.join("w", 1);
  const JobId Id = On.submit("j", {step(2)});
  On.start({Id, 0, 0, 0}, 1, Worker);
  const CellChange Change = applyCommand(On.State, CancelJobCommand{"j", Noon});
  CHECK_EQUAL(1, Change.FinishedJobs.size());
  CHECK(On.start({Id, 0, 0, 1}, 1, Worker).Started.empty());
  CHECK_EQUAL(1, On.State.Workers[Worker].Tasks);
  On.end({Id, 0, 0, 0}, 1, EndKind::Done);
  CHECK(JobPhase::Cancelled == On.job(Id).Phase);
  CHECK_EQUAL(0, On.State.Workers[Worker].Tasks);
}

TEST(JobState, OnlyOwnFailuresCountAsAttempts) {
  Cell On;
  const WorkerInstanceId Worker = On.join("w", 1);
  const JobId Id = On.submit("j", {step(1)});
  const TaskKey Key{Id, 0, 0, 0};
  std::uint32_t Attempt = 1;
  for (const EndKind Kind :
       {EndKind::Lost, EndKind::Stopped, EndKind::LeaseExpired,
        EndKind::Refused, EndKind::Failed}) {
    On.start(Key, Attempt, Worker);
    On.end(Key, Attempt, Kind);
    CHECK(JobPhase::Running == On.job(Id).Phase);
    Attempt += 1;
  }
  On.start(Key, Attempt, Worker);
  On.end(Key, Attempt, EndKind::Failed);
  CHECK(JobPhase::Failed == On.job(Id).Phase);
}

TEST(JobState, ALateFailureOfAStartThatWasGivenUpCounts) {
  Cell On;
  const WorkerInstanceId Worker = On.join("w", 1);
  const JobId Id = On.submit("j", {step(1)});
  const TaskKey Key{Id, 0, 0, 0};
  On.start(Key, 1, Worker);
  On.end(Key, 1, EndKind::Lost);
  On.start(Key, 2, Worker);
  On.end(Key, 1, EndKind::Failed);
  CHECK(JobPhase::Running == On.job(Id).Phase);
  On.end(Key, 2, EndKind::Failed);
  CHECK(JobPhase::Failed == On.job(Id).Phase);
}

TEST(JobState, ALateDoneEndsTheTaskAndLeavesItsSuccessorToBeStopped) {
  Cell On;
  const WorkerInstanceId First = On.join("w1", 1);
  const WorkerInstanceId Second = On.join("w2", 1);
  const JobId Id = On.submit("j", {step(1)});
  const TaskKey Key{Id, 0, 0, 0};
  On.start(Key, 1, First);
  On.end(Key, 1, EndKind::Lost);
  On.start(Key, 2, Second);
  const CellChange Change = On.end(Key, 1, EndKind::Done);
  CHECK(JobPhase::Completed == On.job(Id).Phase);
  CHECK_EQUAL(1, Change.WorkersToReconcile.size());
  CHECK(Second == Change.WorkersToReconcile.front());
  CHECK_EQUAL(0, On.State.Workers[Second].Tasks);
}

TEST(JobState, AGangFailsAsOneAndIsDoneAsOne) {
  Cell On;
  const WorkerInstanceId Worker = On.join("w", 1);
  StepSpec Gang = step(3);
  Gang.IsGang = true;
  const JobId Id = On.submit("j", {Gang});
  const auto StartAll = [&](std::uint32_t Attempt) {
    for (std::uint32_t Task = 0; Task < 3; ++Task) {
      On.start({Id, 0, 0, Task}, Attempt, Worker);
    }
  };
  StartAll(1);
  On.end({Id, 0, 0, 0}, 1, EndKind::Failed);
  On.end({Id, 0, 0, 1}, 1, EndKind::Failed);
  On.end({Id, 0, 0, 2}, 1, EndKind::GangBroken);
  CHECK(JobPhase::Running == On.job(Id).Phase);
  StartAll(2);
  On.end({Id, 0, 0, 1}, 2, EndKind::Done);
  CHECK(JobPhase::Completed == On.job(Id).Phase);
  CHECK_EQUAL(0, On.State.Workers[Worker].Tasks);
}

TEST(JobState, ACheckpointIsKeptForTheNextStart) {
  Cell On;
  const WorkerInstanceId Worker = On.join("w", 1);
  const JobId Id = On.submit("j", {step(1)});
  const TaskKey Key{Id, 0, 0, 0};
  On.start(Key, 1, Worker);
  On.end(Key, 1, EndKind::Stopped, "half");
  STRCMP_EQUAL("half", findTask(On.State, Key)->Checkpoint.c_str());
}

TEST(JobState, ARebornWorkerTakesOverTheTasksOfItsFormerLife) {
  Cell On;
  const WorkerInstanceId Former = On.join("w", 1);
  const JobId Id = On.submit("j", {step(1)});
  On.start({Id, 0, 0, 0}, 1, Former);
  const WorkerInstanceId Present = On.join("w", 2);
  CHECK(Former != Present);
  CHECK(Present == findTask(On.State, {Id, 0, 0, 0})->Worker);
  CHECK_EQUAL(1, On.State.Workers[Present].Tasks);
  CHECK(Present == On.join("w", 1));
}

TEST(JobState, AnotherWorkerAtAnAddressEndsTheOneBefore) {
  Cell On;
  const WorkerInstanceId Former = On.join("w1", 1, "a:1");
  const JobId Id = On.submit("j", {step(1)});
  On.start({Id, 0, 0, 0}, 1, Former);
  On.join("w2", 2, "a:1");
  CHECK(!On.State.Workers.contains(Former));
  CHECK(JobTaskState::Waiting == findTask(On.State, {Id, 0, 0, 0})->State);
}

TEST(JobState, RepeatedRunsOverlapAndAllHaveToBeDone) {
  Cell On;
  const WorkerInstanceId Worker = On.join("w", 1);
  const JobId Id = On.submit("j", {step(1)}, 2);
  CHECK(On.job(Id).Runs.empty());
  applyCommand(On.State, CreateRunCommand{Id, 0});
  applyCommand(On.State, CreateRunCommand{Id, 0});
  applyCommand(On.State, CreateRunCommand{Id, 1});
  CHECK_EQUAL(2, On.job(Id).Runs.size());
  CHECK(Noon + Millis{1000} == dueTime(On.job(Id), 1));
  On.start({Id, 1, 0, 0}, 1, Worker);
  On.end({Id, 1, 0, 0}, 1, EndKind::Done);
  CHECK(JobPhase::Running == On.job(Id).Phase);
  On.start({Id, 0, 0, 0}, 1, Worker);
  On.end({Id, 0, 0, 0}, 1, EndKind::Done);
  CHECK(JobPhase::Completed == On.job(Id).Phase);
}

TEST(JobState, AnOlderOrEqualConfigurationChangesNothing) {
  Cell On;
  CellConfiguration Other = On.State.Configuration;
  Other.Queues.clear();
  applyCommand(On.State, ConfigureCommand{Other});
  CHECK_EQUAL(1, On.State.Configuration.Queues.size());
  Other.Version = 4;
  applyCommand(On.State, ConfigureCommand{Other});
  CHECK(On.State.Configuration.Queues.empty());
}

TEST(JobState, ThePathLeadsToTheQueueWithTheLongestPrefix) {
  Cell On;
  CellConfiguration Configuration = On.State.Configuration;
  JobQueue Inner = Configuration.Queues.front();
  Inner.Prefix = "/q/inner/";
  Configuration.Queues.push_back(Inner);
  STRCMP_EQUAL("/q/inner/",
               matchQueue(Configuration, "host", "/q/inner/x")->Prefix.c_str());
  STRCMP_EQUAL("/q/",
               matchQueue(Configuration, "host", "/q/x")->Prefix.c_str());
  CHECK(matchQueue(Configuration, "other", "/q/x") == nullptr);
}

TEST(JobState, AJobThatMakesNoSenseIsFound) {
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
