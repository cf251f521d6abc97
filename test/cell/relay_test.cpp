#include "mulberryramp/cell/relay.hpp"

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

constexpr NodeId Self = 100;

/// A relay that knows two voters; time passes in steps.
struct Bench {
  Instant Now{Millis{10000}};
  CallRelay Relay{Self, {1, 2}, Now};

  void lead(NodeId Node) {
    Relay.receive(Node, NodeWelcome{Node, true, {1, 2}}, Now);
  }

  void pass(std::int64_t Ms) {
    for (std::int64_t Done = 0; Done < Ms; Done += 50) {
      Now += Millis{50};
      Relay.tick(Now);
    }
  }

  /// Lists the calls among the messages, and forgets the messages.
  std::vector<std::pair<NodeId, std::uint64_t>> takeCalls() {
    std::vector<std::pair<NodeId, std::uint64_t>> Calls;
    for (const CellMessage &Message : Relay.takeMessages()) {
      if (const auto *Call = std::get_if<RelayedCall>(&Message.Body)) {
        Calls.emplace_back(Message.To, Call->Id);
      }
    }
    return Calls;
  }
};

} // namespace

TEST_GROUP(CellRelay){};

TEST(CellRelay, TakesACallToTheLeaderAndItsAnswerBack) {
  Bench On;
  On.lead(2);
  On.Relay.call(7, ReadConfigurationCall{}, On.Now);
  const auto Calls = On.takeCalls();
  CHECK_EQUAL(1, Calls.size());
  CHECK_EQUAL(2, Calls.front().first);
  On.Relay.receive(2, RelayedReply{Calls.front().second, true, false, {}},
                   On.Now);
  const auto Replies = On.Relay.takeReplies();
  CHECK_EQUAL(1, Replies.size());
  CHECK_EQUAL(7, Replies.front().CallId);
}

TEST(CellRelay, ACallThatWasNeverSentIsRefusedOnceTheLeaderIsGoneForLong) {
  Bench On;
  On.Relay.call(7, ReadConfigurationCall{}, On.Now);
  On.pass(NoLeaderTimeout.count() + 100);
  const auto Replies = On.Relay.takeReplies();
  CHECK_EQUAL(1, Replies.size());
  CHECK(CellVerdict::Refused == Replies.front().Reply.Verdict);
  On.Relay.call(8, ReadConfigurationCall{}, On.Now);
  On.pass(50);
  CHECK_EQUAL(1, On.Relay.takeReplies().size());
}

TEST(CellRelay, ACallThatWasSentIsNeverRefused) {
  Bench On;
  On.lead(2);
  On.Relay.call(7, JobCall{}, On.Now);
  On.pass(RelayTimeout.count() + 100);
  const auto Replies = On.Relay.takeReplies();
  CHECK_EQUAL(1, Replies.size());
  CHECK(CellVerdict::Unknown == Replies.front().Reply.Verdict);
}

TEST(CellRelay, AnOpenCallFollowsTheLeader) {
  Bench On;
  On.lead(1);
  On.Relay.call(7, JobCall{}, On.Now);
  (void)On.takeCalls();
  On.lead(2);
  const auto Calls = On.takeCalls();
  CHECK_EQUAL(1, Calls.size());
  CHECK_EQUAL(2, Calls.front().first);
}

TEST(CellRelay, AnAnswerOfOneThatDoesNotLeadKeepsTheCall) {
  Bench On;
  On.lead(1);
  On.Relay.call(7, JobCall{}, On.Now);
  const auto Calls = On.takeCalls();
  On.Relay.receive(1, RelayedReply{Calls.front().second, false, false, {}},
                   On.Now);
  CHECK(On.Relay.takeReplies().empty());
  On.lead(2);
  CHECK_EQUAL(1, On.takeCalls().size());
}

TEST(CellRelay, IsServedWhileALeaderWithAConfigurationAnswers) {
  Bench On;
  CHECK(!On.Relay.hasRecentLeader(On.Now));
  On.lead(1);
  CHECK(On.Relay.hasRecentLeader(On.Now));
  On.pass(ReadinessTimeout.count() + 100);
  CHECK(!On.Relay.hasRecentLeader(On.Now));
}
