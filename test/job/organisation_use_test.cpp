#include "mulberryramp/core/random.hpp"
#include "mulberryramp/job/organisation_accounts.hpp"
#include "mulberryramp/wire/codec.hpp"
#include "support/cell_parts.hpp"

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

const WallTime TestTime{Millis{1000000}};

/// A configuration with one queue and two organisations, whose keys have the
/// digests "ka" and "kb".
CellConfiguration configurationOf(std::uint64_t Version, Resources Cap,
                                  double Weight = 100) {
  CellConfiguration Configuration = makeTestConfiguration(Version, 2);
  Configuration.RequiresKeys = true;
  Configuration.Organisations = {{"a", {"ka"}, Weight, Cap},
                                 {"b", {"kb"}, Weight, {}}};
  return Configuration;
}

StepSpec stepOf(std::uint32_t Tasks, std::int64_t MilliCpus) {
  StepSpec Step;
  Step.Tasks = Tasks;
  Step.Need.MilliCpus = MilliCpus;
  Step.Estimate = Millis{500};
  return Step;
}

struct CapFixture {
  CellState State;
  WorkerInstanceId Worker;

  explicit CapFixture(std::int64_t CapMilliCpus, double Weight = 100) {
    applyCommand(State, ConfigureCommand{configurationOf(
                            1, Resources{CapMilliCpus}, Weight)});
    applyCommand(State, RegisterWorkerCommand{makeTestReport("w", 64000)});
    Worker = findWorker(State, "w");
  }

  JobId submit(const std::string &Name, StepSpec Step, WallTime At = TestTime,
               const std::string &Key = "ka") {
    JobSpec Spec;
    Spec.Steps = {std::move(Step)};
    applyCommand(State, SubmitJobCommand{Name, "host", "/q/", Spec, At, Key});
    return findJob(State, Name);
  }

  std::size_t start(JobId Id, std::uint32_t Tasks, std::uint32_t Attempt = 1) {
    AssignTasksCommand Command;
    for (std::uint32_t Task = 0; Task < Tasks; ++Task) {
      Command.Assignments.push_back({{Id, 0, 0, Task}, Attempt, Worker});
    }
    return applyCommand(State, Command).Started.size();
  }

  void end(JobId Id, std::uint32_t Task, EndKind Kind) {
    RecordTaskEndsCommand Command;
    Command.Ends.push_back({{Id, 0, 0, Task}, 1, Kind, ""});
    Command.At = TestTime;
    applyCommand(State, Command);
  }
};

} // namespace

TEST_GROUP(JobOrganisationUse){};

/// Guards against two leaders that exceed a cap together: what the earlier one
/// had assigned is committed after the later one has planned.
TEST(JobOrganisationUse, AssignmentsOverTheCapAreSkipped) {
  CapFixture Fixture{3500};
  const JobId First = Fixture.submit("j1", stepOf(2, 1000));
  const JobId Second = Fixture.submit("j2", stepOf(2, 1000));
  CHECK_EQUAL(2, Fixture.start(First, 2));
  CHECK_EQUAL(1, Fixture.start(Second, 2));
  CHECK_EQUAL(3000, loadOf(Fixture.State, "a").Used.MilliCpus);
  const JobId Other = Fixture.submit("j3", stepOf(9, 1000), TestTime, "kb");
  CHECK_EQUAL(9, Fixture.start(Other, 9));
}

/// Guards against best-effort steps, which reserve no processors on a worker,
/// that are left out of the cap.
TEST(JobOrganisationUse, BestEffortProcessorsCount) {
  CapFixture Fixture{3500};
  StepSpec Step = stepOf(9, 1000);
  Step.IsBestEffortCpu = true;
  const JobId Id = Fixture.submit("j", Step);
  CHECK_EQUAL(3, Fixture.start(Id, 9));
}

/// Guards against a task that could never start, and against others beside it.
TEST(JobOrganisationUse, ATaskLargerThanTheCapRunsAlone) {
  CapFixture Fixture{3500};
  const JobId Large = Fixture.submit("large", stepOf(2, 5000));
  const JobId Small = Fixture.submit("small", stepOf(1, 100));
  CHECK_EQUAL(1, Fixture.start(Small, 1));
  CHECK_EQUAL(0, Fixture.start(Large, 2));
  Fixture.end(Small, 0, EndKind::Done);
  CHECK_EQUAL(1, Fixture.start(Large, 2));
}

/// Guards against part of a gang that starts although the rest has no room
/// under the cap, and waits for it in vain.
TEST(JobOrganisationUse, AGangStartsWholeOrNotAtAll) {
  CapFixture Fixture{3500};
  StepSpec Gang = stepOf(3, 1000);
  Gang.IsGang = true;
  const JobId Small = Fixture.submit("small", stepOf(1, 600));
  const JobId Id = Fixture.submit("gang", Gang);
  CHECK_EQUAL(1, Fixture.start(Small, 1));
  CHECK_EQUAL(0, Fixture.start(Id, 3));
  Fixture.end(Small, 0, EndKind::Done);
  CHECK_EQUAL(3, Fixture.start(Id, 3));
}

/// Guards against a lowered cap that stops tasks or lets others start, and a
/// raised one that takes no effect.
TEST(JobOrganisationUse, AChangedCapAppliesToLaterStarts) {
  CapFixture Fixture{3500};
  const JobId Id = Fixture.submit("j", stepOf(4, 1000));
  CHECK_EQUAL(3, Fixture.start(Id, 4));
  applyCommand(Fixture.State,
               ConfigureCommand{configurationOf(2, Resources{2000})});
  Fixture.end(Id, 0, EndKind::Done);
  CHECK_EQUAL(0, Fixture.start(Id, 4));
  CHECK_EQUAL(2, loadOf(Fixture.State, "a").Tasks);
  applyCommand(Fixture.State,
               ConfigureCommand{configurationOf(3, Resources{3000})});
  CHECK_EQUAL(1, Fixture.start(Id, 4));
}

/// Guards against a sum that drifts from the assigned tasks over attempts that
/// end in each way, and against a snapshot that loses it.
TEST(JobOrganisationUse, TheSumEqualsThatOfTheAssignedTasks) {
  for (std::uint64_t Seed = 1; Seed <= 3000; ++Seed) {
    Random Rng{Seed};
    CapFixture Fixture{6000};
    std::vector<JobId> Jobs;
    for (int Index = 0; Index < 6; ++Index) {
      StepSpec Step = stepOf(1 + static_cast<std::uint32_t>(Rng.below(4)),
                             500 + static_cast<std::int64_t>(Rng.below(3000)));
      Step.IsGang = Rng.percent(30);
      Step.IsSpeculative = Rng.percent(30);
      Jobs.push_back(Fixture.submit("j" + std::to_string(Index), Step, TestTime,
                                    Rng.percent(70) ? "ka" : "kb"));
    }
    for (int Round = 0; Round < 40; ++Round) {
      const JobId Id = Jobs[Rng.below(Jobs.size())];
      const auto Task = static_cast<std::uint32_t>(Rng.below(4));
      if (Rng.percent(50)) {
        Fixture.start(Id, 4, 1 + static_cast<std::uint32_t>(Rng.below(3)));
      } else if (Rng.percent(10)) {
        WorkerReport Report = makeTestReport("w", 64000);
        Report.StartTimeMs = Round + 2;
        applyCommand(Fixture.State, RegisterWorkerCommand{Report});
        Fixture.Worker = findWorker(Fixture.State, "w");
      } else {
        Fixture.end(Id, Task, static_cast<EndKind>(Rng.below(11)));
      }
      CellState Copy = Fixture.State;
      rebuildIndex(Copy);
      CHECK(Copy.Loads == Fixture.State.Loads);
    }
    CHECK(loadOf(Fixture.State, "a").Used.MilliCpus <= 6000);
  }
}

/// Guards against jobs beyond the owed rate that are not marked, and against a
/// clock of a new leader that is behind and would stop the bucket.
TEST(JobOrganisationUse, JobsBeyondTheOwedRateAreExcess) {
  CapFixture Fixture{0, 2};
  const auto IsExcess = [&Fixture](const std::string &Name, Millis At) {
    const JobId Id = Fixture.submit(Name, stepOf(1, 1), TestTime + At);
    return Fixture.State.Jobs[Id].IsExcess;
  };
  CHECK_FALSE(IsExcess("j1", Millis{0}));
  CHECK_FALSE(IsExcess("j2", Millis{0}));
  CHECK_TRUE(IsExcess("j3", Millis{0}));
  CHECK_TRUE(IsExcess("j4", Millis{499}));
  CHECK_FALSE(IsExcess("j5", Millis{500}));
  CHECK_TRUE(IsExcess("j6", Millis{-2000}));
  CHECK_FALSE(IsExcess("j7", Millis{-1500}));
  CHECK_TRUE(IsExcess("j8", Millis{-1499}));
}

/// Guards against a new leader or a restored voter that starts with other
/// buckets than the rest, and a snapshot of the previous build that is refused.
TEST(JobOrganisationUse, SnapshotsKeepTheBuckets) {
  CapFixture Fixture{0, 1};
  Fixture.submit("j1", stepOf(1, 1));
  const auto Restored = decode<CellState>(encode(Fixture.State));
  CHECK(Restored.has_value());
  CHECK(Restored->Rates == Fixture.State.Rates);
  CHECK_EQUAL(1, Restored->Rates.size());
  struct FormerState {
    CellConfiguration Configuration;
    Table<WorkerInstance> Workers;
    Table<Job> Jobs;

    static constexpr auto fields() {
      return std::make_tuple(&FormerState::Configuration, &FormerState::Workers,
                             &FormerState::Jobs);
    }
  };
  const auto FromFormer = decode<CellState>(encode(FormerState{}));
  CHECK(FromFormer.has_value());
  CHECK(FromFormer->Rates.empty());
}

/// Guards against rates that differ from the weight over a long time: each
/// weight, large or below one, gets its jobs and the depth of the bucket.
TEST(JobOrganisationUse, TheRateOfRegularJobsIsTheWeight) {
  for (const double Weight : {0.0, 0.001, 0.3, 1.0, 31.0, 250.5}) {
    RateBucket Bucket = fullBucket(Weight, TestTime);
    std::int64_t Regular = 0;
    constexpr std::int64_t Seconds = 10000;
    for (std::int64_t At = 0; At < Seconds * 1000; At += 1) {
      Regular += takeJob(Bucket, Weight, TestTime + Millis{At}) ? 1 : 0;
    }
    const double Owed = Weight * Seconds;
    CHECK(static_cast<double>(Regular) >= Owed - 1);
    CHECK(static_cast<double>(Regular) <= Owed + std::max(1.0, Weight));
  }
}

/// Guards against a gang that waits for ever, as it is larger than the cap. The
/// cap may change between the check on submission and the entry.
TEST(JobOrganisationUse, AGangLargerThanTheCapIsRefused) {
  CapFixture Fixture{3500};
  StepSpec Gang = stepOf(4, 1000);
  Gang.IsGang = true;
  CHECK_FALSE(Fixture.submit("j", Gang).isSet());
  JobSpec Spec;
  Spec.Steps = {Gang};
  const CellChange Change =
      applyCommand(Fixture.State,
                   SubmitJobCommand{"j", "host", "/q/", Spec, TestTime, "ka"});
  CHECK(CommandOutcome::OverCap == Change.Outcome);
  Gang.Tasks = 3;
  CHECK_TRUE(Fixture.submit("j", Gang).isSet());
}
