#include "mulberryramp/node/node.hpp"
#include "support/memory_files.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using mulberryramp::test::MemoryFiles;

namespace {

constexpr WallTime WallStart{Millis{1'700'000'000'000}};

/// @brief A daemon that is the only node and thus the leader of its data
/// centre.
struct SingleNodeFixture {
  MemoryFiles Files;
  Settings Deployment;
  std::unique_ptr<Node> RunningNode;
  Instant Now{Millis{100000}};
  WallTime WallNow = WallStart;
  std::uint64_t NextId = 1;

  SingleNodeFixture() {
    Deployment.Self = 1;
    NodeSettings SelfSettings;
    SelfSettings.Id = 1;
    SelfSettings.Centre = "a";
    SelfSettings.Region = "r";
    SelfSettings.HasDisk = true;
    SelfSettings.Http = {"127.0.0.1", 8001};
    Deployment.Nodes.push_back(SelfSettings);
    CHECK(Node::bootstrap(Deployment, Files).has_value());
    restart();
    advance(4000);
  }

  void restart() {
    RunningNode.reset();
    auto Started = Node::start(Deployment, &Files, 1, 7, Now);
    CHECK(Started.has_value());
    RunningNode = std::move(*Started);
  }

  /// @brief Advances virtual time in steps of 20 ms and collects the completed
  /// polls and calls.
  NodeOutput advance(std::int64_t Ms) {
    NodeOutput Collected;
    for (std::int64_t Elapsed = 0; Elapsed < Ms; Elapsed += 20) {
      Now += Millis{20};
      WallNow += Millis{20};
      auto Output = RunningNode->step(Now, WallNow);
      CHECK(Output.has_value());
      Collected.Polls.insert(Collected.Polls.end(), Output->Polls.begin(),
                             Output->Polls.end());
      Collected.Results.insert(Collected.Results.end(), Output->Results.begin(),
                               Output->Results.end());
    }
    return Collected;
  }

  /// @brief Polls as a worker.
  /// @return The reply, or a refusal with the reason "no answer" if none came
  /// within the time.
  WorkerReply poll(const WorkerPoll &Poll, std::int64_t Ms = 60) {
    const std::uint64_t Id = NextId++;
    RunningNode->poll(Id, Poll, Now, WallNow);
    for (const CompletedPoll &Done : advance(Ms).Polls) {
      if (Done.PollId == Id) {
        return Done.Reply;
      }
    }
    WorkerReply NoAnswer;
    NoAnswer.Verdict = PollVerdict::Refused;
    NoAnswer.Reason = "no answer";
    return NoAnswer;
  }

  CallResult call(CallRequest Body, std::int64_t Ms = 100) {
    const std::uint64_t Id = NextId++;
    RunningNode->call(Id, std::move(Body), Now, WallNow);
    for (const LocalResult &Done : advance(Ms).Results) {
      if (Done.CallId == Id) {
        return Done.Result;
      }
    }
    return makeResult(CallStatus::Unknown, "no answer");
  }

  CallResult submit(const std::string &Key, bool IsIdempotent = true) {
    SubmitCall Call;
    Call.ReceivedAt = WallNow;
    Call.Spec.Customer = "c";
    Call.Spec.Team = "t";
    Call.Spec.Key = Key;
    Call.Spec.ClassName = "normal";
    Call.Spec.Need = {1000, 100, 0, 1, 0};
    Call.Spec.IsIdempotent = IsIdempotent;
    Call.Spec.IssuedAt = WallStart + Millis{1};
    return call(Call);
  }

  static WorkerPoll makePoll(std::uint64_t Incarnation) {
    WorkerPoll Poll;
    Poll.Name = "w";
    Poll.Incarnation = Incarnation;
    Poll.Centre = "a";
    Poll.Rack = "r";
    Poll.Capacity = {4000, 4000, 0, 4, 4};
    Poll.IsFullReport = true;
    return Poll;
  }

  /// @brief Announces a worker and gets the request for its full report.
  /// @return The poll that carries the full report.
  WorkerPoll confirm(std::uint64_t Incarnation) {
    WorkerPoll Poll = makePoll(Incarnation);
    (void)poll(Poll);
    const WorkerReply First = poll(Poll);
    CHECK(First.NeedsFullReport);
    Poll.Epoch = First.Epoch;
    Poll.Ack = First.Sequence;
    return Poll;
  }
};

} // namespace

TEST_GROUP(NodePoll) { SingleNodeFixture Fixture; };

TEST(NodePoll, StartIsRepeatedUntilItsReplyIsAcknowledged) {
  WorkerPoll Poll = Fixture.confirm(1);
  Fixture.submit("k");
  const WorkerReply First = Fixture.poll(Poll);
  CHECK_EQUAL(1U, First.Starts.size());
  const WorkerReply Repeated = Fixture.poll(Poll);
  CHECK_EQUAL(1U, Repeated.Starts.size());
  CHECK(First.Starts[0].Attempt == Repeated.Starts[0].Attempt);
  Poll.Ack = Repeated.Sequence;
  Poll.Reports.push_back(
      {First.Starts[0].Attempt, AttemptPhase::Running, "", {}, 0, 0});
  STRCMP_EQUAL("no answer", Fixture.poll(Poll).Reason.c_str());
}

/// A reply may wait in the daemon until the leader lease has expired. Sent
/// then, its starts could contradict those of a new leader.
TEST(NodePoll, ReplyIsWithheldOnceTheLeaderLeaseHasExpired) {
  CompletedPoll Done;
  Done.Reply.Verdict = PollVerdict::Accepted;
  Done.Reply.Starts.resize(1);
  Done.LeaderLeaseEnd = Instant{Millis{100}};
  CHECK(checkLeaseBeforeSend(Done, Instant{Millis{99}}).Reply.Verdict ==
        PollVerdict::Accepted);
  const CompletedPoll Withheld =
      checkLeaseBeforeSend(Done, Instant{Millis{100}});
  CHECK(Withheld.Reply.Verdict == PollVerdict::NotLeader);
  CHECK(Withheld.Reply.Starts.empty());
}

TEST(NodePoll, PartsOfAnAnswerMayArriveInAnyOrder) {
  WorkerPoll Poll = Fixture.confirm(1);
  Fixture.submit("k");
  const WorkerReply Reply = Fixture.poll(Poll);
  Poll.Ack = Reply.Sequence;
  const AttemptId Attempt = Reply.Starts[0].Attempt;
  Poll.Reports = {
      {Attempt, AttemptPhase::Done, "", AnswerPart{1, 2, "b"}, 0, 0}};
  (void)Fixture.poll(Poll);
  CHECK(Fixture.call(StatusCall{"", "c", "k", {}}).RequestInfo->Result ==
        Outcome::Pending);
  Poll.IsFullReport = false;
  Poll.Reports = {
      {Attempt, AttemptPhase::Done, "", AnswerPart{0, 2, "a"}, 0, 0}};
  (void)Fixture.poll(Poll);
  const CallResult Done = Fixture.call(StatusCall{"", "c", "k", {}});
  CHECK(Done.RequestInfo->Result == Outcome::Done);
  STRCMP_EQUAL("ab", Done.RequestInfo->Tasks[0].Answer.c_str());
}

TEST(NodePoll, AnswerWithInconsistentPartsFails) {
  WorkerPoll Poll = Fixture.confirm(1);
  Fixture.submit("k", false);
  const WorkerReply Reply = Fixture.poll(Poll);
  Poll.Ack = Reply.Sequence;
  const AttemptId Attempt = Reply.Starts[0].Attempt;
  Poll.Reports = {
      {Attempt, AttemptPhase::Done, "", AnswerPart{0, 2, "a"}, 0, 0},
      {Attempt, AttemptPhase::Done, "", AnswerPart{0, 3, "x"}, 0, 0}};
  (void)Fixture.poll(Poll);
  CHECK(Fixture.call(StatusCall{"", "c", "k", {}}).RequestInfo->Result ==
        Outcome::Failed);
}

TEST(NodePoll, ChangedCapacityWithinOneIncarnationIsRefused) {
  WorkerPoll Poll = Fixture.confirm(1);
  Poll.Capacity.MilliCpus = 64000;
  CHECK(Fixture.poll(Poll).Verdict == PollVerdict::Refused);
}

/// The tasks of the first incarnation may run until its lease expires.
TEST(NodePoll, NewIncarnationWaitsUntilTheLeaseOfTheFirstHasExpired) {
  WorkerPoll Poll = Fixture.confirm(1);
  Fixture.submit("k", false);
  CHECK_EQUAL(1U, Fixture.poll(Poll).Starts.size());
  const WorkerPoll NewIncarnation = SingleNodeFixture::makePoll(2);
  CHECK(Fixture.poll(NewIncarnation).Verdict == PollVerdict::Wait);
  Fixture.advance(14000);
  CHECK(Fixture.call(StatusCall{"", "c", "k", {}}).RequestInfo->Result ==
        Outcome::Unknown);
  (void)Fixture.poll(NewIncarnation);
  CHECK(Fixture.poll(NewIncarnation).Verdict == PollVerdict::Accepted);
}

/// An ordered start may still be executed. Only a refusal by the worker proves
/// that it was not.
TEST(NodePoll, CancelledAttemptIsNotRunOnlyAfterTheWorkerRefusedIt) {
  WorkerPoll Poll = Fixture.confirm(1);
  Fixture.submit("k");
  const WorkerReply Reply = Fixture.poll(Poll);
  const AttemptId Attempt = Reply.Starts[0].Attempt;
  Fixture.call(CancelCall{"", "c", "k"});
  const WorkerReply StopReply = Fixture.poll(Poll);
  CHECK_EQUAL(1U, StopReply.Stops.size());
  CHECK(Fixture.call(StatusCall{"", "c", "k", {}}).RequestInfo->Result ==
        Outcome::Pending);
  Poll.Ack = StopReply.Sequence;
  Poll.Reports = {{Attempt, AttemptPhase::Refused, "", {}, 0, 0}};
  (void)Fixture.poll(Poll);
  CHECK(Fixture.call(StatusCall{"", "c", "k", {}}).RequestInfo->Result ==
        Outcome::NotRun);
}

/// An attempt that the ledger does not know uses resources of the worker that
/// the ledger counts as free.
TEST(NodePoll, UnknownRunningAttemptIsStoppedAndBlocksNewStarts) {
  WorkerPoll Poll = Fixture.confirm(1);
  Poll.Reports = {{999, AttemptPhase::Running, "", {}, 0, 0}};
  const WorkerReply Reply = Fixture.poll(Poll);
  CHECK_EQUAL(1U, Reply.Stops.size());
  Fixture.submit("k");
  Poll.Ack = Reply.Sequence;
  CHECK(Fixture.poll(Poll).Starts.empty());
}

TEST(NodePoll, TaskOverItsLimitIsThrottled) {
  WorkerPoll Poll = Fixture.confirm(1);
  Fixture.submit("k");
  const WorkerReply Reply = Fixture.poll(Poll);
  Poll.Ack = Reply.Sequence;
  Poll.Reports = {
      {Reply.Starts[0].Attempt, AttemptPhase::Running, "", {}, 9000, 0}};
  const WorkerReply ThrottleReply = Fixture.poll(Poll);
  CHECK_EQUAL(1U, ThrottleReply.Stops.size());
  CHECK(ThrottleReply.Stops[0].Mode == StopMode::Throttle);
}

TEST(NodePoll, CallOlderThanTheMaximumAgeIsNotAccepted) {
  SubmitCall Call;
  Call.ReceivedAt = Fixture.WallNow - MaxCallAge - Millis{1};
  Call.Spec.Customer = "c";
  Call.Spec.Key = "late";
  Call.Spec.ClassName = "normal";
  CHECK(Fixture.call(Call).Status == CallStatus::Unavailable);
  CHECK(Fixture.call(StatusCall{"", "c", "late", {}}).Status ==
        CallStatus::NotFound);
}

TEST(NodePoll, RestartKeepsTheLedgerAndTheAnswer) {
  WorkerPoll Poll = Fixture.confirm(1);
  Fixture.submit("k", false);
  const WorkerReply Reply = Fixture.poll(Poll);
  Poll.Ack = Reply.Sequence;
  Poll.Reports = {{Reply.Starts[0].Attempt, AttemptPhase::Done, "",
                   AnswerPart{0, 1, "whole"}, 0, 0}};
  (void)Fixture.poll(Poll);
  Fixture.Files.crash(0);
  Fixture.restart();
  Fixture.advance(4000);
  const CallResult Resent = Fixture.submit("k", false);
  CHECK(Resent.RequestInfo->Result == Outcome::Done);
  STRCMP_EQUAL("whole", Resent.RequestInfo->Tasks[0].Answer.c_str());
}

TEST(NodePoll, FailedWriteStopsTheNode) {
  Fixture.Files.failAfter(0);
  Fixture.RunningNode->call(77, SubmitCall{"", {}, Fixture.WallNow},
                            Fixture.Now, Fixture.WallNow);
  CHECK_FALSE(
      Fixture.RunningNode->step(Fixture.Now + Millis{20}, Fixture.WallNow)
          .has_value());
}

/// A worker with a wrong epoch must not be able to raise the term without
/// limit.
TEST(NodePoll, EpochFarAheadDoesNotMakeTheLeaderStepDown) {
  SingleNodeFixture Daemon;
  WorkerPoll Poll;
  Poll.Name = "stranger";
  Poll.Incarnation = 1;
  Poll.Centre = "a";
  Poll.IsFullReport = true;
  Poll.Epoch = std::uint64_t{1} << 62U;
  CHECK(PollVerdict::Refused == Daemon.poll(Poll).Verdict);
  CHECK(Daemon.RunningNode->isReadyForCallers(Daemon.Now));
}

/// Repeated polls with ever higher epochs must not keep the data centre without
/// a leader.
TEST(NodePoll, HigherEpochsMakeTheLeaderStepDownAtMostOnceAMinute) {
  SingleNodeFixture Daemon;
  WorkerPoll Poll;
  Poll.Name = "stranger";
  Poll.Incarnation = 1;
  Poll.Centre = "a";
  Poll.IsFullReport = true;
  Poll.Epoch = 50;
  CHECK(PollVerdict::NotLeader == Daemon.poll(Poll).Verdict);
  Daemon.advance(4000);
  CHECK(Daemon.RunningNode->isReadyForCallers(Daemon.Now));
  Poll.Epoch = 90;
  CHECK(PollVerdict::Refused == Daemon.poll(Poll).Verdict);
  CHECK(Daemon.RunningNode->isReadyForCallers(Daemon.Now));
}
