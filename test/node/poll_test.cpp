#include "mulberryramp/node/node.hpp"
#include "support/memory_files.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using mulberryramp::test::MemoryFiles;

namespace {

constexpr WallTime WallStart{Millis{1'700'000'000'000}};

/// One daemon that leads its data centre alone.
struct Single {
  MemoryFiles Files;
  Settings Deployment;
  std::unique_ptr<Node> Core;
  Instant Now{Millis{100000}};
  WallTime WallNow = WallStart;
  std::uint64_t NextId = 1;

  Single() {
    Deployment.Self = 1;
    NodeSettings Mine;
    Mine.Id = 1;
    Mine.Centre = "a";
    Mine.Region = "r";
    Mine.HasDisk = true;
    Mine.Http = {"127.0.0.1", 8001};
    Deployment.Nodes.push_back(Mine);
    CHECK(Node::bootstrap(Deployment, Files).has_value());
    restart();
    pass(4000);
  }

  void restart() {
    Core.reset();
    auto Started = Node::start(Deployment, &Files, 1, 7, Now);
    CHECK(Started.has_value());
    Core = std::move(*Started);
  }

  NodeOutput pass(std::int64_t Ms) {
    NodeOutput All;
    for (std::int64_t Done = 0; Done < Ms; Done += 20) {
      Now += Millis{20};
      WallNow += Millis{20};
      auto Output = Core->step(Now, WallNow);
      CHECK(Output.has_value());
      All.Polls.insert(All.Polls.end(), Output->Polls.begin(),
                       Output->Polls.end());
      All.Results.insert(All.Results.end(), Output->Results.begin(),
                         Output->Results.end());
    }
    return All;
  }

  WorkerReply poll(const WorkerPoll &Poll, std::int64_t Ms = 60) {
    const std::uint64_t Id = NextId++;
    Core->poll(Id, Poll, Now, WallNow);
    for (const CompletedPoll &Done : pass(Ms).Polls) {
      if (Done.PollId == Id) {
        return Done.Reply;
      }
    }
    WorkerReply None;
    None.Verdict = PollVerdict::Refused;
    None.Reason = "no answer";
    return None;
  }

  CallResult call(CallRequest Body, std::int64_t Ms = 100) {
    const std::uint64_t Id = NextId++;
    Core->call(Id, std::move(Body), Now, WallNow);
    for (const LocalResult &Done : pass(Ms).Results) {
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

  static WorkerPoll pollOf(std::uint64_t Incarnation) {
    WorkerPoll Poll;
    Poll.Name = "w";
    Poll.Incarnation = Incarnation;
    Poll.Centre = "a";
    Poll.Rack = "r";
    Poll.Capacity = {4000, 4000, 0, 4, 4};
    Poll.IsFullReport = true;
    return Poll;
  }

  /// Announces a worker and gets it confirmed.
  WorkerPoll confirm(std::uint64_t Incarnation) {
    WorkerPoll Poll = pollOf(Incarnation);
    (void)poll(Poll);
    const WorkerReply First = poll(Poll);
    CHECK(First.NeedsFullReport);
    Poll.Epoch = First.Epoch;
    Poll.Ack = First.Sequence;
    return Poll;
  }
};

} // namespace

TEST_GROUP(NodePoll) { Single It; };

TEST(NodePoll, StartIsOrderedOnceAndAgainAfterALostReply) {
  WorkerPoll Poll = It.confirm(1);
  It.submit("k");
  const WorkerReply First = It.poll(Poll);
  CHECK_EQUAL(1U, First.Starts.size());
  const WorkerReply Again = It.poll(Poll);
  CHECK_EQUAL(1U, Again.Starts.size());
  CHECK(First.Starts[0].Attempt == Again.Starts[0].Attempt);
  Poll.Ack = Again.Sequence;
  Poll.Reports.push_back(
      {First.Starts[0].Attempt, AttemptPhase::Running, "", {}, 0, 0});
  STRCMP_EQUAL("no answer", It.poll(Poll).Reason.c_str());
}

TEST(NodePoll, AnswerIsWithheldOnceTheLeaseIsOver) {
  CompletedPoll Done;
  Done.Reply.Verdict = PollVerdict::Accepted;
  Done.Reply.Starts.resize(1);
  Done.LeaderLeaseEnd = Instant{Millis{100}};
  CHECK(checkLeaseBeforeSend(Done, Instant{Millis{99}}).Reply.Verdict ==
        PollVerdict::Accepted);
  const CompletedPoll Late = checkLeaseBeforeSend(Done, Instant{Millis{100}});
  CHECK(Late.Reply.Verdict == PollVerdict::NotLeader);
  CHECK(Late.Reply.Starts.empty());
}

TEST(NodePoll, PartsOfAnAnswerMayComeInAnyOrder) {
  WorkerPoll Poll = It.confirm(1);
  It.submit("k");
  const WorkerReply Reply = It.poll(Poll);
  Poll.Ack = Reply.Sequence;
  const AttemptId Attempt = Reply.Starts[0].Attempt;
  Poll.Reports = {
      {Attempt, AttemptPhase::Done, "", AnswerPart{1, 2, "b"}, 0, 0}};
  (void)It.poll(Poll);
  CHECK(It.call(StatusCall{"", "c", "k", {}}).RequestInfo->Result ==
        Outcome::Pending);
  Poll.IsFullReport = false;
  Poll.Reports = {
      {Attempt, AttemptPhase::Done, "", AnswerPart{0, 2, "a"}, 0, 0}};
  (void)It.poll(Poll);
  const CallResult Done = It.call(StatusCall{"", "c", "k", {}});
  CHECK(Done.RequestInfo->Result == Outcome::Done);
  STRCMP_EQUAL("ab", Done.RequestInfo->Tasks[0].Answer.c_str());
}

TEST(NodePoll, AnswerWithContradictingPartsFails) {
  WorkerPoll Poll = It.confirm(1);
  It.submit("k", false);
  const WorkerReply Reply = It.poll(Poll);
  Poll.Ack = Reply.Sequence;
  const AttemptId Attempt = Reply.Starts[0].Attempt;
  Poll.Reports = {
      {Attempt, AttemptPhase::Done, "", AnswerPart{0, 2, "a"}, 0, 0},
      {Attempt, AttemptPhase::Done, "", AnswerPart{0, 3, "x"}, 0, 0}};
  (void)It.poll(Poll);
  CHECK(It.call(StatusCall{"", "c", "k", {}}).RequestInfo->Result ==
        Outcome::Failed);
}

TEST(NodePoll, ChangedCapacityInOneLifeIsRefused) {
  WorkerPoll Poll = It.confirm(1);
  Poll.Capacity.MilliCpus = 64000;
  CHECK(It.poll(Poll).Verdict == PollVerdict::Refused);
}

TEST(NodePoll, SecondLifeWaitsUntilTheLeaseOfTheFirstIsOver) {
  WorkerPoll Poll = It.confirm(1);
  It.submit("k", false);
  CHECK_EQUAL(1U, It.poll(Poll).Starts.size());
  const WorkerPoll Second = Single::pollOf(2);
  CHECK(It.poll(Second).Verdict == PollVerdict::Wait);
  It.pass(14000);
  CHECK(It.call(StatusCall{"", "c", "k", {}}).RequestInfo->Result ==
        Outcome::Unknown);
  (void)It.poll(Second);
  CHECK(It.poll(Second).Verdict == PollVerdict::Accepted);
}

TEST(NodePoll, CancelledAttemptIsNotRunOnlyOnceTheWorkerSaysSo) {
  WorkerPoll Poll = It.confirm(1);
  It.submit("k");
  const WorkerReply Reply = It.poll(Poll);
  const AttemptId Attempt = Reply.Starts[0].Attempt;
  It.call(CancelCall{"", "c", "k"});
  const WorkerReply Stop = It.poll(Poll);
  CHECK_EQUAL(1U, Stop.Stops.size());
  CHECK(It.call(StatusCall{"", "c", "k", {}}).RequestInfo->Result ==
        Outcome::Pending);
  Poll.Ack = Stop.Sequence;
  Poll.Reports = {{Attempt, AttemptPhase::Refused, "", {}, 0, 0}};
  (void)It.poll(Poll);
  CHECK(It.call(StatusCall{"", "c", "k", {}}).RequestInfo->Result ==
        Outcome::NotRun);
}

TEST(NodePoll, UnknownRunningAttemptIsStoppedAndBlocksNewWork) {
  WorkerPoll Poll = It.confirm(1);
  Poll.Reports = {{999, AttemptPhase::Running, "", {}, 0, 0}};
  const WorkerReply Reply = It.poll(Poll);
  CHECK_EQUAL(1U, Reply.Stops.size());
  It.submit("k");
  Poll.Ack = Reply.Sequence;
  CHECK(It.poll(Poll).Starts.empty());
}

TEST(NodePoll, TaskAboveItsGrantIsThrottledOnce) {
  WorkerPoll Poll = It.confirm(1);
  It.submit("k");
  const WorkerReply Reply = It.poll(Poll);
  Poll.Ack = Reply.Sequence;
  Poll.Reports = {
      {Reply.Starts[0].Attempt, AttemptPhase::Running, "", {}, 9000, 0}};
  const WorkerReply Hold = It.poll(Poll);
  CHECK_EQUAL(1U, Hold.Stops.size());
  CHECK(Hold.Stops[0].Mode == StopMode::Throttle);
}

TEST(NodePoll, CallThatCameTooLateIsNotTakenIn) {
  SubmitCall Call;
  Call.ReceivedAt = It.WallNow - MaxCallAge - Millis{1};
  Call.Spec.Customer = "c";
  Call.Spec.Key = "late";
  Call.Spec.ClassName = "normal";
  CHECK(It.call(Call).Status == CallStatus::Unavailable);
  CHECK(It.call(StatusCall{"", "c", "late", {}}).Status ==
        CallStatus::NotFound);
}

TEST(NodePoll, RestartKeepsTheLedgerAndTheAnswer) {
  WorkerPoll Poll = It.confirm(1);
  It.submit("k", false);
  const WorkerReply Reply = It.poll(Poll);
  Poll.Ack = Reply.Sequence;
  Poll.Reports = {{Reply.Starts[0].Attempt, AttemptPhase::Done, "",
                   AnswerPart{0, 1, "whole"}, 0, 0}};
  (void)It.poll(Poll);
  It.Files.crash(0);
  It.restart();
  It.pass(4000);
  const CallResult Again = It.submit("k", false);
  CHECK(Again.RequestInfo->Result == Outcome::Done);
  STRCMP_EQUAL("whole", Again.RequestInfo->Tasks[0].Answer.c_str());
}

TEST(NodePoll, FullDiskStopsTheNode) {
  It.Files.failAfter(0);
  It.Core->call(77, SubmitCall{"", {}, It.WallNow}, It.Now, It.WallNow);
  CHECK_FALSE(It.Core->step(It.Now + Millis{20}, It.WallNow).has_value());
}

TEST(NodePoll, AnEpochFarAheadDoesNotDeposeTheLeader) {
  Single Daemon;
  WorkerPoll Poll;
  Poll.Name = "stranger";
  Poll.Incarnation = 1;
  Poll.Centre = "a";
  Poll.IsFullReport = true;
  Poll.Epoch = std::uint64_t{1} << 62U;
  CHECK(PollVerdict::Refused == Daemon.poll(Poll).Verdict);
  CHECK(Daemon.Core->isReadyForCallers(Daemon.Now));
}

TEST(NodePoll, EpochsAheadDeposeTheLeaderOnceAMinuteAtMost) {
  Single Daemon;
  WorkerPoll Poll;
  Poll.Name = "stranger";
  Poll.Incarnation = 1;
  Poll.Centre = "a";
  Poll.IsFullReport = true;
  Poll.Epoch = 50;
  CHECK(PollVerdict::NotLeader == Daemon.poll(Poll).Verdict);
  Daemon.pass(4000);
  CHECK(Daemon.Core->isReadyForCallers(Daemon.Now));
  Poll.Epoch = 90;
  CHECK(PollVerdict::Refused == Daemon.poll(Poll).Verdict);
  CHECK(Daemon.Core->isReadyForCallers(Daemon.Now));
}
