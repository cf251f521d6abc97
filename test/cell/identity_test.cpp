#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/core/digest.hpp"
#include "support/cell_parts.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

constexpr NodeId VoterCount = 3;
constexpr Millis StepTime{5};
constexpr Millis MaxReplyTime{4000};

/// @brief Builds a configuration with the queues "/q/" and "/open/"; the latter
/// is public.
CellConfiguration makeConfiguration(std::uint64_t Version) {
  CellConfiguration Configuration = makeTestConfiguration(Version, 1);
  Configuration.RequiresKeys = true;
  JobQueue Open = makeTestQueue(1);
  Open.Prefix = "/open/";
  Open.IsPublic = true;
  Configuration.Queues.push_back(Open);
  return Configuration;
}

/// @brief Builds such a configuration with organisations and their keys.
CellConfiguration makeConfiguration(
    std::uint64_t Version,
    const std::vector<std::pair<std::string, std::vector<std::string>>>
        &Organisations) {
  CellConfiguration Configuration = makeConfiguration(Version);
  for (const auto &[Name, Keys] : Organisations) {
    Organisation &Row = Configuration.Organisations.emplace_back();
    Row.Name = Name;
    for (const std::string &Key : Keys) {
      Row.KeyDigests.push_back(sha256(Key));
    }
  }
  return Configuration;
}

JobCall makeCall(JobVerb Verb, const std::string &Path,
                 const std::string &Key) {
  JobCall Call{Verb, "host", Path, {}, Key.empty() ? "" : sha256(Key)};
  if (Verb == JobVerb::Submit) {
    StepSpec &Only = Call.Spec.Steps.emplace_back();
    Only.Tasks = 1;
    Only.Need.MilliCpus = 1000;
  }
  return Call;
}

/// @brief Three voters with disks that sync at once. Messages between nodes
/// take one step.
class KeyCell {
public:
  KeyCell() {
    for (NodeId Id = 1; Id <= VoterCount; ++Id) {
      CellNodeOptions Options;
      Options.Self = Id;
      Options.Seeds = {1, 2, 3};
      Options.IsVoter = true;
      Options.Incarnation = 1;
      Options.ReplicaParameters = makeCellReplicaOptions(1);
      Options.Seed = Id;
      Voters[Id] = std::make_unique<CellNode>(
          Options, bootstrapGroup({{1, 1}, {2, 1}, {3, 1}}), Now);
    }
    stepFor(Millis{2000});
  }

  /// Node that leads, other than @p Other.
  [[nodiscard]] NodeId leader(NodeId Other = 0) const {
    for (const auto &[Id, Node] : Voters) {
      if (Id != Other && Node->isLeading(Now)) {
        return Id;
      }
    }
    return 0;
  }

  /// Sends a call through a node.
  /// @return Id of the call in `Replies`.
  std::uint64_t send(NodeId Through, CellCall Body) {
    Voters.at(Through)->call(NextCall, std::move(Body), Now);
    NextCall += 1;
    return NextCall - 1;
  }

  /// Sends a call through a node and waits for its reply.
  CellVerdict ask(NodeId Through, CellCall Body) {
    const std::uint64_t Id = send(Through, std::move(Body));
    for (const Instant End = Now + MaxReplyTime;
         Now < End && !Replies.contains(Id);) {
      step();
    }
    CHECK_TEXT(Replies.contains(Id), "a call without a reply");
    return Replies[Id].Verdict;
  }

  CellVerdict ask(JobVerb Verb, const std::string &Path,
                  const std::string &Key) {
    return ask(leader(), makeCall(Verb, Path, Key));
  }

  void configure(const CellConfiguration &Configuration, NodeId Through = 0) {
    CHECK(CellVerdict::Done ==
          ask(Through == 0 ? leader() : Through, ConfigureCall{Configuration}));
  }

  void stepFor(Millis Time) {
    for (const Instant End = Now + Time; Now < End;) {
      step();
    }
  }

  void step() {
    Now += StepTime;
    for (const CellMessage &Message : std::exchange(Messages, {})) {
      const bool IsCut =
          Isolated.contains(Message.To) || Isolated.contains(Message.From);
      if (Paused.contains(Message.To)) {
        HeldMessages.push_back(Message);
      } else if (!IsCut) {
        Voters.at(Message.To)->receive(Message, Now, wallNow());
      }
    }
    for (NodeId Id = 1; Id <= VoterCount; ++Id) {
      if (!Paused.contains(Id)) {
        stepVoter(Id);
      }
    }
  }

  /// Resumes a paused voter, which handles the calls it received itself before
  /// it reads what has arrived from other nodes meanwhile.
  void resume(NodeId Id) {
    Paused.erase(Id);
    stepVoter(Id);
    for (const CellMessage &Message : std::exchange(HeldMessages, {})) {
      Voters.at(Id)->receive(Message, Now, wallNow());
    }
  }

  [[nodiscard]] std::size_t countEvents(const std::string &Part) const {
    return static_cast<std::size_t>(std::count_if(
        Events.begin(), Events.end(), [&Part](const std::string &Line) {
          return Line.find(Part) != std::string::npos;
        }));
  }

  [[nodiscard]] bool hasEvent(const std::string &Part) const {
    return countEvents(Part) != 0;
  }

  Instant Now{Millis{100000}};
  std::vector<std::string> Events; ///< Log lines of all voters.
  std::map<NodeId, std::unique_ptr<CellNode>> Voters;
  std::set<NodeId> Paused;
  std::set<NodeId> Isolated; ///< Exchange no messages with other nodes.
  std::map<std::uint64_t, CellReply> Replies;

private:
  [[nodiscard]] WallTime wallNow() const {
    return WallTime{Now.time_since_epoch()};
  }

  void stepVoter(NodeId Id) {
    CellNode &Node = *Voters.at(Id);
    CellOutput Output = Node.step(Now, wallNow());
    if (Output.Write) {
      Node.onWriteSynced();
    }
    for (CellMessage &Message : Output.Messages) {
      Messages.push_back(std::move(Message));
    }
    Events.insert(Events.end(), Output.Events.begin(), Output.Events.end());
    for (LocalReply &Reply : Output.Replies) {
      Replies[Reply.CallId] = std::move(Reply.Reply);
    }
  }

  std::vector<CellMessage> Messages;
  std::vector<CellMessage> HeldMessages; ///< For paused voters.
  std::uint64_t NextCall = 1;
};

} // namespace

TEST_GROUP(CellIdentity){};

/// Guards against a call without a valid key being served, and against callers
/// learning that their key is wrong where none is needed.
TEST(CellIdentity, OnlyAKnownKeyIsServedOnAQueueThatIsNotPublic) {
  KeyCell Cell;
  CHECK(CellVerdict::Refused == Cell.ask(JobVerb::Submit, "/q/j", "k"));
  Cell.configure(makeConfiguration(1, {{"a", {"k1", "k2"}}}));
  for (const JobVerb Verb : {JobVerb::Submit, JobVerb::Read, JobVerb::Cancel}) {
    for (const char *Key : {"", "k", "k1 "}) {
      CHECK(CellVerdict::Unauthenticated == Cell.ask(Verb, "/q/j", Key));
      CHECK(CellVerdict::Unauthenticated == Cell.ask(Verb, "/q/", Key));
      CHECK(CellVerdict::NotFound == Cell.ask(Verb, "/other/j", Key));
    }
    CHECK(CellVerdict::Done == Cell.ask(JobVerb::Submit, "/open/o", "k"));
    CHECK(CellVerdict::Done == Cell.ask(Verb, "/open/o", ""));
  }
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Submit, "/q/j", "k1"));
  // A request that is invalid itself is checked first.
  CHECK(CellVerdict::Unauthenticated == Cell.ask(JobVerb::Check, "/q/j", "k"));
  CHECK(CellVerdict::NotFound == Cell.ask(JobVerb::Check, "/other/j", "k1"));
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Check, "/q/j", "k1"));
  // Both keys belong to the organisation of the job.
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Read, "/q/j", "k2"));
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Read, "/q/", "k2"));
}

/// A configuration without organisations behaves as before; one with an empty
/// list has no valid key.
TEST(CellIdentity, AnEmptyListOfOrganisationsIsNotAMissingOne) {
  KeyCell Cell;
  Cell.configure(makeTestConfiguration(1, 1));
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Submit, "/q/j", ""));
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Read, "/q/j", "any"));
  // An invalid request is answered with its error on any route, as before.
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Check, "/other/j", ""));
  Cell.configure(makeConfiguration(2, {}));
  for (const char *Key : {"", "any"}) {
    CHECK(CellVerdict::Unauthenticated ==
          Cell.ask(JobVerb::Submit, "/q/j", Key));
  }
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Submit, "/open/o", ""));
  // The job was accepted while its queue needed no key.
  Cell.configure(makeConfiguration(3, {{"a", {"k"}}}));
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Read, "/q/j", "k"));
  Cell.configure(makeTestConfiguration(4, 1));
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Read, "/q/j", ""));
}

/// Guards against a key outliving the configuration that removed it, and
/// against a job following its key to another organisation.
TEST(CellIdentity, KeysChangeWithTheConfiguration) {
  KeyCell Cell;
  Cell.configure(makeConfiguration(1, {{"a", {"k1", "k2"}}, {"b", {"k3"}}}));
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Submit, "/q/j", "k1"));
  // k1 is removed, k2 moves to b, k4 is added.
  Cell.configure(makeConfiguration(2, {{"a", {"k4"}}, {"b", {"k3", "k2"}}}));
  CHECK(CellVerdict::Unauthenticated == Cell.ask(JobVerb::Read, "/q/j", "k1"));
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Read, "/q/j", "k4"));
  CHECK(CellVerdict::Gone == Cell.ask(JobVerb::Read, "/q/j", "k2"));
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Submit, "/q/j2", "k2"));
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Read, "/q/j2", "k3"));
  // A configuration of an earlier version changes nothing.
  Cell.configure(makeConfiguration(1, {{"a", {"k1"}}}));
  CHECK(CellVerdict::Unauthenticated == Cell.ask(JobVerb::Read, "/q/j", "k1"));
}

TEST(CellIdentity, AJobIsUnknownToAnotherOrganisation) {
  KeyCell Cell;
  Cell.configure(makeConfiguration(1, {{"a", {"k1"}}, {"b", {"k2"}}}));
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Submit, "/q/j", "k1"));
  for (const JobVerb Verb : {JobVerb::Submit, JobVerb::Read, JobVerb::Cancel}) {
    CHECK(CellVerdict::Gone == Cell.ask(Verb, "/q/j", "k2"));
    CHECK(CellVerdict::Done == Cell.ask(Verb, "/q/j", "k1"));
  }
}

/// Guards against a submission that is answered as accepted although a
/// configuration before it in the log removed its key, so that it was dropped.
TEST(CellIdentity, ASubmissionIsDeniedIfItsKeyWasRemovedBeforeItInTheLog) {
  KeyCell Cell;
  const NodeId Leader = Cell.leader();
  Cell.configure(makeConfiguration(1, {{"a", {"k"}}}));
  Cell.send(Leader, ConfigureCall{makeConfiguration(2, {{"a", {}}})});
  CHECK(CellVerdict::Unauthenticated ==
        Cell.ask(Leader, makeCall(JobVerb::Submit, "/q/j", "k")));
  Cell.configure(makeConfiguration(3, {{"a", {"k"}}}));
  CHECK(CellVerdict::Gone == Cell.ask(JobVerb::Read, "/q/j", "k"));
}

/// Guards against keys in the log, a log flooded by a caller that repeats its
/// call, and denials that leave no trace.
TEST(CellIdentity, DeniedCallsAreLoggedWithTheirDigestOnlyAndBounded) {
  KeyCell Cell;
  Cell.configure(makeConfiguration(1, {{"a", {"first", "second"}}}));
  const NodeId Leader = Cell.leader();
  Cell.Events.clear();
  Cell.configure(makeConfiguration(2, {{"a", {"second", "third"}}}));
  const std::string Key = abbreviateDigest(sha256("first"));
  CHECK(
      Cell.hasEvent("keys_added=1 keys_moved=0 keys_removed=1 removed=" + Key));
  CHECK(CellVerdict::Unauthenticated ==
        Cell.ask(JobVerb::Read, "/q/j", "first"));
  CHECK(CellVerdict::Unauthenticated == Cell.ask(JobVerb::Read, "/q/j", ""));
  CHECK(Cell.hasEvent("verb=read queue=/q/ key=" + Key +
                      " reason=unknown-key configuration=2 omitted=0"));
  CHECK(Cell.hasEvent("key=- reason=no-key"));
  Cell.stepFor(Millis{1000});
  Cell.Events.clear();
  for (int Call = 0; Call < 100; ++Call) {
    Cell.send(Leader, makeCall(JobVerb::Submit, "/q/j", "first"));
  }
  Cell.stepFor(Millis{100});
  CHECK_EQUAL(MaxDenialsPerSecond, Cell.countEvents("event=denied"));
  Cell.stepFor(Millis{1000});
  CHECK(CellVerdict::Unauthenticated ==
        Cell.ask(JobVerb::Submit, "/q/j", "first"));
  CHECK(Cell.hasEvent("omitted=90"));
  for (const char *Text : {"first", "second", "third"}) {
    CHECK_EQUAL(0, Cell.countEvents(Text));
  }
}

/// Guards against a leader that was partitioned from the others serving a key
/// that they have revoked: its lease has to be over before.
TEST(CellIdentity, APartitionedFormerLeaderServesNoRevokedKey) {
  KeyCell Cell;
  Cell.configure(makeConfiguration(1, {{"a", {"k"}}}));
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Submit, "/q/j", "k"));
  const NodeId Former = Cell.leader();
  Cell.Isolated = {Former};
  std::set<std::uint64_t> Calls;
  bool IsRevoked = false;
  for (const Instant End = Cell.Now + Millis{4000}; Cell.Now < End;) {
    const NodeId Next = Cell.leader(Former);
    if (Next != 0 && !IsRevoked) {
      Cell.configure(makeConfiguration(2, {{"a", {}}}), Next);
      IsRevoked = true;
    }
    const auto Id = Cell.send(Former, makeCall(JobVerb::Read, "/q/j", "k"));
    if (IsRevoked) {
      Calls.insert(Id);
    }
    Cell.step();
  }
  CHECK(IsRevoked);
  std::size_t Refused = 0;
  for (const std::uint64_t Id : Calls) {
    const auto ReplyIt = Cell.Replies.find(Id);
    const bool IsAnswered = ReplyIt != Cell.Replies.end();
    CHECK(!IsAnswered || CellVerdict::Done != ReplyIt->second.Verdict);
    Refused +=
        IsAnswered && CellVerdict::Refused == ReplyIt->second.Verdict ? 1 : 0;
  }
  CHECK(Refused > 0);
  Cell.Isolated.clear();
  Cell.stepFor(Millis{3000});
  CHECK(CellVerdict::Unauthenticated ==
        Cell.ask(Former, makeCall(JobVerb::Read, "/q/j", "k")));
}

/// Guards against a leader that was paused for longer than its lease serving
/// the calls that have arrived meanwhile with its outdated configuration.
TEST(CellIdentity, APausedFormerLeaderServesNoRevokedKey) {
  KeyCell Cell;
  Cell.configure(makeConfiguration(1, {{"a", {"k"}}}));
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Submit, "/q/j", "k"));
  const NodeId Former = Cell.leader();
  const NodeId Frontend = Former == 1 ? 2 : 1;
  Cell.Paused = {Former};
  // Sent to the former leader, which is still the only one that is known.
  const std::uint64_t Held =
      Cell.send(Frontend, makeCall(JobVerb::Read, "/q/j", "k"));
  Cell.stepFor(Millis{1500});
  const NodeId Next = Cell.leader(Former);
  CHECK(Next != 0);
  Cell.configure(makeConfiguration(2, {{"a", {}}}), Next);
  const std::uint64_t Own =
      Cell.send(Former, makeCall(JobVerb::Read, "/q/j", "k"));
  Cell.resume(Former);
  CHECK(!Cell.Voters.at(Former)->isLeading(Cell.Now));
  CHECK(!Cell.Replies.contains(Own));
  Cell.stepFor(Millis{3000});
  // The new leader was asked again before the configuration.
  CHECK(CellVerdict::Done == Cell.Replies.at(Held).Verdict);
  CHECK(CellVerdict::Unauthenticated == Cell.Replies.at(Own).Verdict);
}

/// Guards against a new leader that checks keys before it has applied the
/// configuration that its predecessor acknowledged.
TEST(CellIdentity, ANewLeaderServesNoKeyThatItsPredecessorRevoked) {
  KeyCell Cell;
  Cell.configure(makeConfiguration(1, {{"a", {"k"}}}));
  CHECK(CellVerdict::Done == Cell.ask(JobVerb::Submit, "/q/j", "k"));
  const NodeId Former = Cell.leader();
  Cell.configure(makeConfiguration(2, {{"a", {}}}));
  Cell.Isolated = {Former};
  std::size_t Denied = 0;
  for (const Instant End = Cell.Now + Millis{3000}; Cell.Now < End;) {
    const NodeId Next = Cell.leader(Former);
    if (Next == 0) {
      Cell.step();
      continue;
    }
    CHECK(CellVerdict::Unauthenticated ==
          Cell.ask(Next, makeCall(JobVerb::Read, "/q/j", "k")));
    Denied += 1;
  }
  CHECK(Denied > 0);
}
