#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/cell/relay.hpp"
#include "mulberryramp/storage/group_store.hpp"

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

constexpr NodeId Self = 100;

/// A relay with two seed voters, in virtual time.
struct RelayFixture {
  Instant Now{Millis{10000}};
  CallRelay Relay{Self, {1, 2}, Now, 1};

  void announceLeader(NodeId Node) {
    Relay.receive(Node, NodeWelcome{Node, true, {1, 2}}, Now);
  }

  void advance(std::int64_t Ms) {
    for (std::int64_t ElapsedMs = 0; ElapsedMs < Ms; ElapsedMs += 50) {
      Now += Millis{50};
      Relay.tick(Now);
    }
  }

  /// Moves out the messages and returns target and identifier of each relayed
  /// call.
  std::vector<std::pair<NodeId, std::uint64_t>> takeCalls() {
    std::vector<std::pair<NodeId, std::uint64_t>> Calls;
    for (const CellMessage &Message : Relay.drainMessages()) {
      if (const auto *Call = std::get_if<RelayedCall>(&Message.Body)) {
        Calls.emplace_back(Message.To, Call->Id);
      }
    }
    return Calls;
  }
};

} // namespace

TEST_GROUP(CellRelay){};

TEST(CellRelay, ForwardsACallToTheLeaderAndReturnsItsReply) {
  RelayFixture Fixture;
  Fixture.announceLeader(2);
  Fixture.Relay.call(7, ReadConfigurationCall{}, Fixture.Now);
  const auto Calls = Fixture.takeCalls();
  CHECK_EQUAL(1, Calls.size());
  CHECK_EQUAL(2, Calls.front().first);
  Fixture.Relay.receive(2, RelayedReply{Calls.front().second, true, false, {}},
                        Fixture.Now);
  const auto Replies = Fixture.Relay.drainReplies();
  CHECK_EQUAL(1, Replies.size());
  CHECK_EQUAL(7, Replies.front().CallId);
}

TEST(CellRelay, RefusesAnUnsentCallAfterTheNoLeaderTimeout) {
  RelayFixture Fixture;
  Fixture.Relay.call(7, ReadConfigurationCall{}, Fixture.Now);
  Fixture.advance(NoLeaderTimeout.count() + 100);
  const auto Replies = Fixture.Relay.drainReplies();
  CHECK_EQUAL(1, Replies.size());
  CHECK(CellVerdict::Refused == Replies.front().Reply.Verdict);
  Fixture.Relay.call(8, ReadConfigurationCall{}, Fixture.Now);
  Fixture.advance(50);
  CHECK_EQUAL(1, Fixture.Relay.drainReplies().size());
}

TEST(CellRelay, AnswersASentCallWithUnknownAfterTheRelayTimeout) {
  RelayFixture Fixture;
  Fixture.announceLeader(2);
  Fixture.Relay.call(7, JobCall{}, Fixture.Now);
  Fixture.advance(RelayTimeout.count() + 100);
  const auto Replies = Fixture.Relay.drainReplies();
  CHECK_EQUAL(1, Replies.size());
  CHECK(CellVerdict::Unknown == Replies.front().Reply.Verdict);
}

TEST(CellRelay, ResendsAnOpenCallToANewLeader) {
  RelayFixture Fixture;
  Fixture.announceLeader(1);
  Fixture.Relay.call(7, JobCall{}, Fixture.Now);
  (void)Fixture.takeCalls();
  Fixture.announceLeader(2);
  const auto Calls = Fixture.takeCalls();
  CHECK_EQUAL(1, Calls.size());
  CHECK_EQUAL(2, Calls.front().first);
}

TEST(CellRelay, KeepsACallOpenAfterTheReplyOfANonLeader) {
  RelayFixture Fixture;
  Fixture.announceLeader(1);
  Fixture.Relay.call(7, JobCall{}, Fixture.Now);
  const auto Calls = Fixture.takeCalls();
  Fixture.Relay.receive(1, RelayedReply{Calls.front().second, false, false, {}},
                        Fixture.Now);
  CHECK(Fixture.Relay.drainReplies().empty());
  Fixture.announceLeader(2);
  CHECK_EQUAL(1, Fixture.takeCalls().size());
}

TEST(CellRelay, HasARecentLeaderUntilTheReadinessTimeoutAfterItsLastContact) {
  RelayFixture Fixture;
  CHECK(!Fixture.Relay.hasRecentLeader(Fixture.Now));
  Fixture.announceLeader(1);
  CHECK(Fixture.Relay.hasRecentLeader(Fixture.Now));
  Fixture.advance(ReadinessTimeout.count() + 100);
  CHECK(!Fixture.Relay.hasRecentLeader(Fixture.Now));
}

/// Guards against a caller being told that a job was not accepted although an
/// earlier transmission of the same call was: its reply was lost, and meanwhile
/// the queue or the key was removed, or the key was moved to another
/// organisation, to which the job is unknown.
TEST(CellRelay, ADenialAfterAnEarlierTransmissionIsUnknown) {
  for (const CellVerdict Verdict :
       {CellVerdict::Refused, CellVerdict::NotFound, CellVerdict::Gone,
        CellVerdict::Unauthenticated, CellVerdict::Overloaded}) {
    RelayFixture Fixture;
    Fixture.announceLeader(1);
    Fixture.Relay.call(7, JobCall{}, Fixture.Now);
    Fixture.Relay.call(8, JobCall{JobVerb::Submit, "", "", {}}, Fixture.Now);
    (void)Fixture.takeCalls();
    Fixture.announceLeader(2);
    const auto Calls = Fixture.takeCalls();
    CHECK_EQUAL(2, Calls.size());
    CellReply Denial;
    Denial.Verdict = Verdict;
    for (const auto &[To, Id] : Calls) {
      Fixture.Relay.receive(To, RelayedReply{Id, true, false, Denial},
                            Fixture.Now);
    }
    const auto Replies = Fixture.Relay.drainReplies();
    // A read has no effect, so the denial of its last transmission holds.
    CHECK(Verdict == Replies[0].Reply.Verdict);
    CHECK(CellVerdict::Unknown == Replies[1].Reply.Verdict);
  }
}

/// Guards against a caller being told that its cancel had no effect although an
/// earlier transmission cancelled the job: its reply was lost, and meanwhile
/// the queue or the key was removed.
TEST(CellRelay, ADenialAfterAnEarlierTransmissionOfACancelIsUnknown) {
  for (const CellVerdict Verdict : {CellVerdict::Refused, CellVerdict::NotFound,
                                    CellVerdict::Unauthenticated}) {
    RelayFixture Fixture;
    Fixture.announceLeader(1);
    Fixture.Relay.call(7, JobCall{JobVerb::Cancel, "", "", {}}, Fixture.Now);
    (void)Fixture.takeCalls();
    Fixture.announceLeader(2);
    CellReply Denial;
    Denial.Verdict = Verdict;
    Fixture.Relay.receive(
        2,
        RelayedReply{Fixture.takeCalls().front().second, true, false, Denial},
        Fixture.Now);
    const auto Replies = Fixture.Relay.drainReplies();
    CHECK(CellVerdict::Unknown == Replies[0].Reply.Verdict);
  }
}

/// Guards against a cancel being left open although its job is known to be
/// gone: no cancelled job is removed before its retention ends.
TEST(CellRelay, AGoneJobIsPassedOnToTheCallerOfARepeatedCancel) {
  RelayFixture Fixture;
  Fixture.announceLeader(1);
  Fixture.Relay.call(7, JobCall{JobVerb::Cancel, "", "", {}}, Fixture.Now);
  (void)Fixture.takeCalls();
  Fixture.announceLeader(2);
  CellReply Gone;
  Gone.Verdict = CellVerdict::Gone;
  Fixture.Relay.receive(
      2, RelayedReply{Fixture.takeCalls().front().second, true, false, Gone},
      Fixture.Now);
  CHECK(CellVerdict::Gone == Fixture.Relay.drainReplies()[0].Reply.Verdict);
}

TEST(CellRelay, ADenialOfTheOnlyTransmissionIsPassedOn) {
  RelayFixture Fixture;
  Fixture.announceLeader(1);
  Fixture.Relay.call(7, JobCall{JobVerb::Submit, "", "", {}}, Fixture.Now);
  CellReply Denial;
  Denial.Verdict = CellVerdict::NotFound;
  Fixture.Relay.receive(
      1, RelayedReply{Fixture.takeCalls().front().second, true, false, Denial},
      Fixture.Now);
  CHECK(CellVerdict::NotFound ==
        Fixture.Relay.drainReplies().front().Reply.Verdict);
}

/// Guards against a reply to the wrong call: a reply to a call of the previous
/// process of a node arrives late, when its next process has an open call.
TEST(CellRelay, ALateReplyToThePreviousProcessAnswersNoCallOfTheNextOne) {
  const Instant Now{Millis{10000}};
  std::uint64_t FormerId = 0;
  for (const std::uint64_t Seed : {11U, 12U}) {
    CellNodeOptions Options;
    Options.Self = Self;
    Options.Seeds = {1};
    Options.Seed = Seed;
    CellNode Node{Options, StoredGroup{}, Now};
    Node.receive({1, Self, NodeWelcome{1, true, {1}}}, Now, WallTime{});
    Node.call(7, ReadConfigurationCall{}, Now);
    std::uint64_t Id = 0;
    for (const CellMessage &Message : Node.step(Now, WallTime{}).Messages) {
      if (const auto *Call = std::get_if<RelayedCall>(&Message.Body)) {
        Id = Call->Id;
      }
    }
    CHECK(Id != 0);
    Node.receive({1, Self, RelayedReply{FormerId, true, false, {}}}, Now,
                 WallTime{});
    CHECK(Node.step(Now, WallTime{}).Replies.empty());
    FormerId = Id;
  }
}
