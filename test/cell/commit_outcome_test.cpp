#include "mulberryramp/cell/cell_node.hpp"
#include "support/cell_parts.hpp"

#include <map>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

constexpr Millis StepTime{5};

/// A cell of one voter whose disk syncs a write when the test asks for it, so
/// that calls can arrive while commands before them are not committed.
class OneVoterCell {
public:
  OneVoterCell()
      : Node{makeSingleVoterOptions(1), bootstrapGroup({{1, 1}}), Now} {
    runFor(Millis{1500});
    call(ConfigureCall{makeTestConfiguration(1, 1)});
    runFor(Millis{100});
  }

  std::uint64_t call(CellCall Body) {
    NextCall += 1;
    Node.call(NextCall, std::move(Body), Now);
    return NextCall;
  }

  std::uint64_t submit(const std::string &Path, const std::string &Key = "") {
    JobCall Call{JobVerb::Submit, "host", Path, {}};
    StepSpec &Step = Call.Spec.Steps.emplace_back();
    Step.Tasks = 1;
    Step.Need.MilliCpus = 100;
    Step.Estimate = Millis{100};
    Call.Key = Key;
    return call(std::move(Call));
  }

  /// Runs steps without completing writes, so that nothing is committed.
  void runUncommitted() {
    for (int Count = 0; Count < 3; ++Count) {
      step();
    }
  }

  void runFor(Millis Time) {
    for (const Instant End = Now + Time; Now < End;) {
      step();
      if (std::exchange(IsWriting, false)) {
        Node.onWriteSynced();
      }
    }
  }

  /// Commits everything and returns the reply to a call.
  CellReply replyTo(std::uint64_t CallId) {
    runFor(Millis{100});
    CHECK(Replies.contains(CallId));
    return Replies[CallId];
  }

  CellVerdict verdictOf(std::uint64_t CallId) {
    return replyTo(CallId).Verdict;
  }

  CellVerdict read(const std::string &Path) {
    return verdictOf(call(JobCall{JobVerb::Read, "host", Path, {}}));
  }

  /// Reports a worker under a name and start time.
  std::uint64_t report(const std::string &Name, std::int64_t StartTimeMs,
                       bool IsDraining, const std::string &Address) {
    WorkerReport Report = makeTestReport(Name, 1000);
    Report.Address = Address;
    Report.StartTimeMs = StartTimeMs;
    Sequence += 1;
    Report.Sequence = Sequence;
    Report.IsDraining = IsDraining;
    return call(WorkerReportCall{Report});
  }

  [[nodiscard]] std::size_t workerCount() const {
    return Node.status().Workers;
  }

private:
  void step() {
    Now += StepTime;
    CellOutput Output = Node.step(Now, WallTime{Now.time_since_epoch()});
    IsWriting = IsWriting || Output.Write.has_value();
    for (LocalReply &Reply : Output.Replies) {
      Replies[Reply.CallId] = std::move(Reply.Reply);
    }
  }

  Instant Now{Millis{100000}};
  CellNode Node;
  bool IsWriting = false;
  std::uint64_t NextCall = 0;
  std::uint64_t Sequence = 0;
  std::map<std::uint64_t, CellReply> Replies;
};

CellConfiguration makeEmptyConfiguration(std::uint64_t Version) {
  CellConfiguration Configuration = makeTestConfiguration(Version, 1);
  Configuration.Queues.clear();
  return Configuration;
}

CellConfiguration makeConfigurationWithKey(std::uint64_t Version,
                                           const std::string &KeyDigest) {
  CellConfiguration Configuration = makeTestConfiguration(Version, 1);
  Configuration.RequiresKeys = true;
  Configuration.Organisations.emplace_back();
  Configuration.Organisations.back().Name = "one";
  Configuration.Organisations.back().KeyDigests = {KeyDigest};
  return Configuration;
}

} // namespace

TEST_GROUP(CellCommitOutcome){};

/// Guards against a submission being answered as accepted although a
/// configuration before it in the same log entry removed its queue.
TEST(CellCommitOutcome, ASubmissionBehindTheRemovalOfItsQueueIsNotFound) {
  OneVoterCell Cell;
  const std::uint64_t Configure =
      Cell.call(ConfigureCall{makeEmptyConfiguration(2)});
  const std::uint64_t Submit = Cell.submit("/q/j");
  CHECK(CellVerdict::NotFound == Cell.verdictOf(Submit));
  CHECK(CellVerdict::Done == Cell.verdictOf(Configure));
}

/// As above, with the configuration in an earlier entry that is not committed.
TEST(CellCommitOutcome, ASubmissionBehindAnUncommittedRemovalIsNotFound) {
  OneVoterCell Cell;
  Cell.call(ConfigureCall{makeEmptyConfiguration(2)});
  Cell.runUncommitted();
  const std::uint64_t Submit = Cell.submit("/q/j");
  Cell.runUncommitted();
  CHECK(CellVerdict::NotFound == Cell.verdictOf(Submit));
}

/// Guards against all callers of an entry getting the answer of one of them.
TEST(CellCommitOutcome, EachCallerOfAnEntryGetsTheOutcomeOfItsOwnCommand) {
  OneVoterCell Cell;
  const std::uint64_t Before = Cell.submit("/q/before");
  Cell.call(ConfigureCall{makeEmptyConfiguration(2)});
  const std::uint64_t Between = Cell.submit("/q/between");
  Cell.call(ConfigureCall{makeTestConfiguration(3, 1)});
  const std::uint64_t After = Cell.submit("/q/after");
  CHECK(CellVerdict::Done == Cell.verdictOf(Before));
  CHECK(CellVerdict::NotFound == Cell.verdictOf(Between));
  CHECK(CellVerdict::Done == Cell.verdictOf(After));
  CHECK(CellVerdict::Done == Cell.read("/q/before"));
  CHECK(CellVerdict::Gone == Cell.read("/q/between"));
  CHECK(CellVerdict::Done == Cell.read("/q/after"));
}

/// Guards against a job being accepted with a key that was removed before it in
/// the log.
TEST(CellCommitOutcome, ASubmissionBehindTheRemovalOfItsKeyIsUnauthenticated) {
  OneVoterCell Cell;
  Cell.verdictOf(Cell.call(ConfigureCall{makeConfigurationWithKey(2, "a")}));
  Cell.call(ConfigureCall{makeConfigurationWithKey(3, "b")});
  Cell.runUncommitted();
  const std::uint64_t Submit = Cell.submit("/q/j", "a");
  CHECK(CellVerdict::Unauthenticated == Cell.verdictOf(Submit));
}

/// Guards against a submission being answered as accepted although the name was
/// taken in another queue before it in the log.
TEST(CellCommitOutcome, TheSecondOfTwoSubmissionsInDifferentQueuesIsGone) {
  OneVoterCell Cell;
  CellConfiguration Configuration = makeTestConfiguration(2, 1);
  Configuration.Queues.push_back(makeTestQueue(1));
  Configuration.Queues.back().Prefix = "/r/";
  Cell.verdictOf(Cell.call(ConfigureCall{Configuration}));
  const std::uint64_t First = Cell.submit("/q/j");
  const std::uint64_t Other = Cell.submit("/r/j");
  const std::uint64_t Repeated = Cell.submit("/q/j");
  CHECK(CellVerdict::Done == Cell.verdictOf(First));
  CHECK(CellVerdict::Gone == Cell.verdictOf(Other));
  CHECK(CellVerdict::Done == Cell.verdictOf(Repeated));
}

/// Guards against two cancels in one entry getting different answers: a job
/// that is over counts as cancelled for its caller.
TEST(CellCommitOutcome, ACancelBehindAnotherOneIsDone) {
  OneVoterCell Cell;
  Cell.verdictOf(Cell.submit("/q/j"));
  const JobCall Cancel{JobVerb::Cancel, "host", "/q/j", {}};
  const std::uint64_t First = Cell.call(Cancel);
  const std::uint64_t Second = Cell.call(Cancel);
  CHECK(CellVerdict::Done == Cell.verdictOf(First));
  CHECK(CellVerdict::Done == Cell.verdictOf(Second));
}

/// Guards against an operator being told that a configuration is active which a
/// later version before it in the log has overtaken.
TEST(CellCommitOutcome, AConfigurationBehindALaterOneIsOvertaken) {
  OneVoterCell Cell;
  const std::uint64_t Later =
      Cell.call(ConfigureCall{makeTestConfiguration(3, 1)});
  const std::uint64_t Earlier =
      Cell.call(ConfigureCall{makeEmptyConfiguration(2)});
  const std::uint64_t Submit = Cell.submit("/q/j");
  STRCMP_EQUAL("", Cell.replyTo(Later).Text.c_str());
  STRCMP_EQUAL("already overtaken", Cell.replyTo(Earlier).Text.c_str());
  CHECK(CellVerdict::Done == Cell.verdictOf(Submit));
}

/// Guards against a worker being told that it drains although its instance was
/// deregistered before in the log, by another worker at its address.
TEST(CellCommitOutcome, TheDrainOfAnInstanceThatIsGoneIsRefused) {
  OneVoterCell Cell;
  Cell.verdictOf(Cell.report("w1", 10, false, "a:1"));
  Cell.report("w2", 20, false, "a:1");
  Cell.runUncommitted();
  const std::uint64_t Drain = Cell.report("w1", 10, true, "a:1");
  CHECK(CellVerdict::Refused == Cell.verdictOf(Drain));
  CHECK_EQUAL(1, Cell.workerCount());
}

/// Guards against the leave of a worker being refused because another command
/// removed it first.
TEST(CellCommitOutcome, TheLeaveOfAnInstanceThatIsGoneIsDone) {
  OneVoterCell Cell;
  Cell.verdictOf(Cell.report("w1", 10, true, "a:1"));
  const std::uint64_t First = Cell.call(DeregisterWorkerCall{"w1"});
  const std::uint64_t Second = Cell.call(DeregisterWorkerCall{"w1"});
  CHECK(CellVerdict::Done == Cell.verdictOf(First));
  CHECK(CellVerdict::Done == Cell.verdictOf(Second));
  CHECK_EQUAL(0, Cell.workerCount());
}

/// Guards against a registration that another instance has overtaken being
/// answered as one that took effect.
TEST(CellCommitOutcome, ARegistrationBehindThatOfALaterInstanceIsOvertaken) {
  OneVoterCell Cell;
  const std::uint64_t Later = Cell.report("w1", 20, false, "a:1");
  const std::uint64_t Earlier = Cell.report("w1", 10, false, "a:1");
  STRCMP_EQUAL("", Cell.replyTo(Later).Text.c_str());
  STRCMP_EQUAL("already overtaken", Cell.replyTo(Earlier).Text.c_str());
}

/// Guards against a worker being told that it drains although only its
/// registration, which was not committed yet, had an effect.
TEST(CellCommitOutcome, ADrainBehindTheRegistrationOfItsInstanceTakesEffect) {
  OneVoterCell Cell;
  Cell.report("w1", 10, false, "a:1");
  Cell.runUncommitted();
  const std::uint64_t Drain = Cell.report("w1", 10, true, "a:1");
  CHECK(CellVerdict::Done == Cell.verdictOf(Drain));
  // Only a draining worker can leave.
  Cell.verdictOf(Cell.call(DeregisterWorkerCall{"w1"}));
  CHECK_EQUAL(0, Cell.workerCount());
}

/// Guards against a leave being answered without effect because the drain
/// before it is not committed yet.
TEST(CellCommitOutcome, ALeaveBehindTheDrainOfItsInstanceTakesEffect) {
  OneVoterCell Cell;
  Cell.verdictOf(Cell.report("w1", 10, false, "a:1"));
  Cell.report("w1", 10, true, "a:1");
  Cell.runUncommitted();
  const std::uint64_t Leave = Cell.call(DeregisterWorkerCall{"w1"});
  CHECK(CellVerdict::Done == Cell.verdictOf(Leave));
  CHECK_EQUAL(0, Cell.workerCount());
}

/// As above, with a draining worker that is not registered yet.
TEST(CellCommitOutcome, ALeaveBehindTheRegistrationOfItsInstanceTakesEffect) {
  OneVoterCell Cell;
  Cell.report("w1", 10, true, "a:1");
  Cell.runUncommitted();
  const std::uint64_t Leave = Cell.call(DeregisterWorkerCall{"w1"});
  CHECK(CellVerdict::Done == Cell.verdictOf(Leave));
  CHECK_EQUAL(0, Cell.workerCount());
}

/// Guards against a late leave of an earlier instance removing the one that
/// replaced it under its name.
TEST(CellCommitOutcome,
     ALeaveBehindTheRegistrationOfALaterInstanceHasNoEffect) {
  OneVoterCell Cell;
  Cell.verdictOf(Cell.report("w1", 10, true, "a:1"));
  Cell.report("w1", 20, false, "a:1");
  Cell.runUncommitted();
  const std::uint64_t Leave = Cell.call(DeregisterWorkerCall{"w1"});
  CHECK(CellVerdict::Done == Cell.verdictOf(Leave));
  CHECK_EQUAL(1, Cell.workerCount());
}

/// Guards against the repetition of an accepted submission being denied because
/// its queue began to require keys before it in the log.
TEST(CellCommitOutcome, ARepetitionWithAKeyBehindTheFirstUseOfKeysIsDone) {
  OneVoterCell Cell;
  const std::uint64_t First = Cell.submit("/q/j", "a");
  Cell.call(ConfigureCall{makeConfigurationWithKey(2, "a")});
  const std::uint64_t Repeated = Cell.submit("/q/j", "a");
  CHECK(CellVerdict::Done == Cell.verdictOf(First));
  CHECK(CellVerdict::Done == Cell.verdictOf(Repeated));
}
