#include "mulberryramp/job/state.hpp"

#include "mulberryramp/wire/codec.hpp"
#include "support/cell_parts.hpp"

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

const WallTime TestTime{Millis{1000000}};

/// A worker that runs the only task of a job, as attempt 1.
class CountFixture {
public:
  CountFixture() {
    applyCommand(State, ConfigureCommand{makeTestConfiguration(1, 9)});
    applyCommand(State, RegisterWorkerCommand{report("w", 1)});
    First = findWorker(State, "w");
    JobSpec Spec;
    Spec.Steps.emplace_back().Estimate = Millis{500};
    applyCommand(State, SubmitJobCommand{"j", "host", "/q/", Spec, TestTime});
    Key = {findJob(State, "j"), 0, 0, 0};
    assign(1, First);
  }

  void assign(std::uint32_t Attempt, WorkerInstanceId Worker) {
    applyCommand(State, AssignTasksCommand{{{Key, Attempt, Worker}}});
  }

  void end(EndKind Kind) {
    RecordTaskEndsCommand Command;
    Command.Ends.push_back({Key, 1, Kind, ""});
    applyCommand(State, Command);
  }

  /// Registers an instance at the address of the worker.
  /// @param Attempt Attempt that the command names as crashed with `Crashed`.
  CellChange registerNext(const std::string &Name, std::int64_t StartTimeMs,
                          std::uint32_t Attempt, WorkerInstanceId Crashed) {
    RegisterWorkerCommand Command{report(Name, StartTimeMs)};
    Command.At = TestTime;
    Command.Crashes.push_back(
        {Crashed, {{Key, Attempt, EndKind::CrashedWithOthers, ""}}});
    return applyCommand(State, Command);
  }

  const JobTask &task() { return *findTask(State, Key); }

  CellState State;
  TaskKey Key;
  WorkerInstanceId First;

private:
  static WorkerReport report(const std::string &Name,
                             std::int64_t StartTimeMs) {
    WorkerReport Report = makeTestReport(Name, 4000);
    Report.StartTimeMs = StartTimeMs;
    Report.Address = "host:1";
    return Report;
  }
};

} // namespace

TEST_GROUP(JobCrashCount){};

/// Guards against a crash that counts twice: the registration is proposed again
/// with each report until it is applied, also by the instance after the next.
TEST(JobCrashCount, ACrashThatIsProposedAgainCountsOnce) {
  CountFixture Fixture;
  CHECK_EQUAL(1, Fixture.registerNext("n", 2, 1, Fixture.First).Crashes.size());
  Fixture.registerNext("n", 2, 1, Fixture.First);
  Fixture.registerNext("m", 3, 1, Fixture.First);
  CHECK_EQUAL(1, Fixture.task().Crashes);
  CHECK(JobTaskState::Waiting == Fixture.task().State);
}

/// Guards against a crash that is not counted, as the attempt was recorded as
/// lost between the proposal and the entry.
TEST(JobCrashCount, TheCrashOfAnAttemptThatWasLostInBetweenCounts) {
  CountFixture Fixture;
  Fixture.end(EndKind::Lost);
  Fixture.registerNext("n", 2, 1, Fixture.First);
  CHECK_EQUAL(1, Fixture.task().Crashes);
  CHECK_FALSE(Fixture.task().LostOn.isSet());
}

/// Guards against an attempt being accused that was assigned after the leader
/// attributed the crash.
TEST(JobCrashCount, AnAttemptThatTheCommandDoesNotNameIsLost) {
  CountFixture Fixture;
  Fixture.end(EndKind::Refused);
  Fixture.assign(2, Fixture.First);
  RegisterWorkerCommand Command{makeTestReport("n", 4000)};
  Command.Report.StartTimeMs = 2;
  Command.Report.Address = "host:1";
  const CellChange Change = applyCommand(Fixture.State, Command);
  CHECK_EQUAL(1, Change.Ended.size());
  CHECK(EndKind::Lost == Change.Ended.front().Kind);
  CHECK_EQUAL(0, Fixture.task().Crashes);
}

/// Guards against a crash being counted for an attempt that runs on the next
/// instance, or was started again.
TEST(JobCrashCount, AListedOrANewAttemptKeepsNoEndOfAnEarlierCrash) {
  CountFixture Fixture;
  Fixture.registerNext("w", 2, 1, Fixture.First);
  const WorkerInstanceId Second = findWorker(Fixture.State, "w");
  CHECK(EndKind::CrashedWithOthers == Fixture.task().EndIfUnlisted);
  applyCommand(Fixture.State,
               ConfirmAttemptsCommand{{{Fixture.Key, 2, Second}}});
  CHECK(EndKind::CrashedWithOthers == Fixture.task().EndIfUnlisted);
  applyCommand(Fixture.State,
               ConfirmAttemptsCommand{{{Fixture.Key, 1, Second}}});
  CHECK(EndKind::Lost == Fixture.task().EndIfUnlisted);
  Fixture.registerNext("w", 3, 1, Second);
  Fixture.end(EndKind::CrashedWithOthers);
  Fixture.assign(2, findWorker(Fixture.State, "w"));
  CHECK(EndKind::Lost == Fixture.task().EndIfUnlisted);
}

/// Guards against stored logs and snapshots of the former build that can no
/// longer be read.
TEST(JobCrashCount, CommandsAndTasksOfTheFormerBuildAreRead) {
  struct FormerRegister {
    WorkerReport Report;
    bool IsUnannounced = false;
    static constexpr auto fields() {
      return std::make_tuple(&FormerRegister::Report,
                             &FormerRegister::IsUnannounced);
    }
  };
  struct FormerTask {
    JobTaskState State = JobTaskState::Assigned;
    std::uint32_t Attempt = 1;
    std::uint32_t Failures = 0;
    WorkerInstanceId Worker;
    std::string Checkpoint;
    static constexpr auto fields() {
      return std::make_tuple(&FormerTask::State, &FormerTask::Attempt,
                             &FormerTask::Failures, &FormerTask::Worker,
                             &FormerTask::Checkpoint);
    }
  };
  const auto Command = decode<RegisterWorkerCommand>(
      encode(FormerRegister{makeTestReport("w", 1), true}));
  CHECK(Command && Command->IsUnannounced && Command->Crashes.empty());
  const auto Task = decode<JobTask>(encode(FormerTask{}));
  CHECK(Task && Task->EndIfUnlisted == EndKind::Lost);
}
