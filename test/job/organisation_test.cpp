#include "mulberryramp/cell/message.hpp"
#include "mulberryramp/core/digest.hpp"
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

CellConfiguration makeConfiguration(std::uint64_t Version,
                                    const std::string &Name,
                                    const std::string &Key) {
  CellConfiguration Configuration = makeTestConfiguration(Version, 2);
  Configuration.RequiresKeys = true;
  if (!Name.empty()) {
    Configuration.Organisations.push_back({Name, {sha256(Key)}, 1, {}});
  }
  return Configuration;
}

JobSpec makeSpec() {
  JobSpec Spec;
  StepSpec &Only = Spec.Steps.emplace_back();
  Only.Tasks = 2;
  Only.Need.MilliCpus = TaskMilliCpus;
  return Spec;
}

CommandOutcome submit(CellState &State, const std::string &Name,
                      const std::string &Key) {
  return applyCommand(State, SubmitJobCommand{Name, "host", "/q/", makeSpec(),
                                              TestTime, sha256(Key)})
      .Outcome;
}

// Records as the build before organisations stored them.

struct FormerQueue : JobQueue {
  static constexpr auto fields() {
    return std::make_tuple(&JobQueue::Host, &JobQueue::Prefix, &JobQueue::Pool,
                           &JobQueue::Priority, &JobQueue::MaxAttempts,
                           &JobQueue::SlackFactor, &JobQueue::LatencyTarget,
                           &JobQueue::Advice);
  }
};

struct FormerConfiguration {
  std::uint64_t Version = 0;
  std::vector<FormerQueue> Queues;
  std::string SourceDocument;

  static constexpr auto fields() {
    return std::make_tuple(&FormerConfiguration::Version,
                           &FormerConfiguration::Queues,
                           &FormerConfiguration::SourceDocument);
  }
};

struct FormerConfigure {
  FormerConfiguration Configuration;

  static constexpr auto fields() {
    return std::make_tuple(&FormerConfigure::Configuration);
  }
};

struct FormerSubmit : SubmitJobCommand {
  static constexpr auto fields() {
    return std::make_tuple(&SubmitJobCommand::Name, &SubmitJobCommand::Host,
                           &SubmitJobCommand::Prefix, &SubmitJobCommand::Spec,
                           &SubmitJobCommand::At);
  }
};

struct FormerJob {
  std::string Name;
  JobSpec Spec;
  FormerQueue Queue;
  WallTime AcceptedAt;
  JobPhase Phase = JobPhase::Queued;
  std::vector<JobRun> Runs;
  std::uint32_t NextRun = 0;
  std::uint32_t AssignedTasks = 0;
  WallTime FinishedAt;

  static constexpr auto fields() {
    return std::make_tuple(
        &FormerJob::Name, &FormerJob::Spec, &FormerJob::Queue,
        &FormerJob::AcceptedAt, &FormerJob::Phase, &FormerJob::Runs,
        &FormerJob::NextRun, &FormerJob::AssignedTasks, &FormerJob::FinishedAt);
  }
};

struct FormerState {
  FormerConfiguration Configuration;
  Table<WorkerInstance> Workers;
  Table<FormerJob> Jobs;

  static constexpr auto fields() {
    return std::make_tuple(&FormerState::Configuration, &FormerState::Workers,
                           &FormerState::Jobs);
  }
};

FormerConfiguration makeFormerConfiguration() {
  FormerConfiguration Configuration;
  Configuration.Version = 3;
  Configuration.Queues.push_back({makeTestQueue(2)});
  return Configuration;
}

} // namespace

TEST_GROUP(JobOrganisations){};

TEST(JobOrganisations, AJobBelongsToTheOrganisationOfItsKey) {
  CellState State;
  applyCommand(State, ConfigureCommand{makeConfiguration(1, "a", "k")});
  CHECK(CommandOutcome::Done == submit(State, "j", "k"));
  STRCMP_EQUAL("a", State.Jobs[findJob(State, "j")].Organisation.c_str());
}

/// A leader checks a call before a configuration that is already in the log is
/// applied. The entry decides.
TEST(JobOrganisations, ASubmissionWithoutAValidKeyIsDroppedWhenApplied) {
  CellState State;
  applyCommand(State, ConfigureCommand{makeConfiguration(1, "a", "k")});
  applyCommand(State, ConfigureCommand{makeConfiguration(2, "a", "l")});
  CHECK(CommandOutcome::InvalidKey == submit(State, "j", "k"));
  CHECK(!findJob(State, "j").isSet());
  // The same submission, repeated, finds the job that was accepted before.
  CHECK(CommandOutcome::Done == submit(State, "j", "l"));
  applyCommand(State, ConfigureCommand{makeConfiguration(3, "a", "m")});
  CHECK(CommandOutcome::Done == submit(State, "j", "l"));
  CHECK_EQUAL(1, State.Jobs.size());
}

/// Jobs on public queues must not count towards the caller's organisation.
TEST(JobOrganisations, AJobOfAPublicQueueHasNoOrganisation) {
  CellState State;
  CellConfiguration Configuration = makeConfiguration(1, "a", "k");
  Configuration.Queues.front().IsPublic = true;
  applyCommand(State, ConfigureCommand{Configuration});
  CHECK(CommandOutcome::Done == submit(State, "j", "k"));
  CHECK(State.Jobs[findJob(State, "j")].Organisation.empty());
}

/// Guards against losing accepted jobs with their organisation.
TEST(JobOrganisations, JobsOfARemovedOrganisationRunToTheirEnd) {
  CellState State;
  applyCommand(State, ConfigureCommand{makeConfiguration(1, "a", "k")});
  applyCommand(State,
               RegisterWorkerCommand{makeTestReport("w", 4 * TaskMilliCpus)});
  const WorkerInstanceId Worker = findWorker(State, "w");
  CHECK(CommandOutcome::Done == submit(State, "j", "k"));
  const JobId Id = findJob(State, "j");
  applyCommand(State, AssignTasksCommand{{{{Id, 0, 0, 0}, 1, Worker}}});
  applyCommand(State, ConfigureCommand{makeConfiguration(2, "", "")});
  // A task that was not started before is started, too.
  CHECK_EQUAL(
      1, applyCommand(State, AssignTasksCommand{{{{Id, 0, 0, 1}, 1, Worker}}})
             .Started.size());
  RecordTaskEndsCommand Ends;
  Ends.Ends = {{{Id, 0, 0, 0}, 1, EndKind::Done, ""},
               {{Id, 0, 0, 1}, 1, EndKind::Done, ""}};
  applyCommand(State, Ends);
  CHECK(JobPhase::Completed == State.Jobs[Id].Phase);
  STRCMP_EQUAL("a", State.Jobs[Id].Organisation.c_str());
}

/// Guards against a node that refuses its own log after an upgrade.
TEST(JobOrganisations, EntriesOfTheFormerBuildAreRead) {
  using FormerCommand =
      std::variant<FormerSubmit, CancelJobCommand, FormerConfigure>;
  const FormerSubmit Submission{
      {"j", "host", "/q/", makeSpec(), TestTime, "not stored"}};
  const auto Commands = decodeCommands(encode(std::vector<FormerCommand>{
      FormerConfigure{makeFormerConfiguration()}, Submission}));
  CHECK(Commands.has_value());
  CellState State;
  for (const CellCommand &Command : *Commands) {
    CHECK(CommandOutcome::Done == applyCommand(State, Command).Outcome);
  }
  CHECK(!State.Configuration.RequiresKeys);
  CHECK(findJob(State, "j").isSet());
}

/// Guards against a node that refuses its own snapshot after an upgrade, and
/// against keys that are not known after a snapshot was restored.
TEST(JobOrganisations, SnapshotsOfThisAndTheFormerBuildAreRead) {
  FormerState Former;
  Former.Configuration = makeFormerConfiguration();
  FormerJob FormerRow;
  FormerRow.Name = "j";
  FormerRow.Queue = Former.Configuration.Queues.front();
  Former.Jobs.insert(FormerRow);
  auto State = decodeCellState(encode(Former));
  CHECK(State.has_value());
  CHECK(!State->Configuration.RequiresKeys);
  const Job &Restored = State->Jobs[findJob(*State, "j")];
  CHECK(Restored.Organisation.empty() && !Restored.IsExcess);
  applyCommand(*State, ConfigureCommand{makeConfiguration(4, "a", "k")});
  CHECK(CommandOutcome::Done == submit(*State, "j2", "k"));
  const auto Current = decodeCellState(encodeCellState(*State));
  CHECK(Current.has_value());
  CHECK(findOrganisationByKey(*Current, sha256("k")) != nullptr);
  STRCMP_EQUAL("a",
               Current->Jobs[findJob(*Current, "j2")].Organisation.c_str());
}
