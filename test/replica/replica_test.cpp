#include "mulberryramp/replica/internal.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

/// @brief Members of a group that exchange messages without delay, except over
/// partitioned links.
struct ReplicaGroupFixture {
  std::map<NodeId, Replica> Members;
  std::set<std::pair<NodeId, NodeId>> PartitionedLinks;
  Instant Now{Millis{1000}};

  explicit ReplicaGroupFixture(NodeId Count) {
    std::vector<Member> BootstrapVoters;
    for (NodeId Id = 1; Id <= Count; ++Id) {
      BootstrapVoters.push_back({Id, 1});
    }
    for (NodeId Id = 1; Id <= Count; ++Id) {
      Members[Id] = startReplica("g", {Id, 1}, options(Count),
                                 bootstrapGroup(BootstrapVoters), Id, Now);
    }
  }

  static ReplicaOptions options(NodeId Count) {
    ReplicaOptions Options;
    for (NodeId Id = 1; Id <= Count; ++Id) {
      Options.VoterNodes.insert(Id);
    }
    Options.SnapshotThreshold = 50;
    Options.TrailingEntries = 10;
    return Options;
  }

  /// @brief Saves, delivers messages and applies committed entries for 20
  /// rounds.
  void exchange() {
    for (int Round = 0; Round < 20; ++Round) {
      for (auto &[Id, State] : Members) {
        prepareSave(State);
        markSaved(State);
        for (const ReplicaMessage &Message : std::exchange(State.Outbox, {})) {
          const auto It = Members.find(Message.To.Node);
          if (It != Members.end() &&
              !PartitionedLinks.contains({Id, It->first})) {
            receive(It->second, Now, Message);
          }
        }
        while (nextCommitted(State) != nullptr) {
        }
        State.ReportedApplied = State.LastApplied;
      }
    }
  }

  /// @brief Advances virtual time in ticks of 20 ms.
  void advance(std::int64_t Ms) {
    for (std::int64_t Elapsed = 0; Elapsed < Ms; Elapsed += 20) {
      Now += Millis{20};
      for (auto &[Id, State] : Members) {
        tick(State, Now);
      }
      exchange();
    }
  }

  /// @brief Returns the member that can serve as leader, or null.
  Replica *leader() {
    for (auto &[Id, State] : Members) {
      if (canServeAsLeader(State, Now)) {
        return &State;
      }
    }
    return nullptr;
  }

  /// @brief Partitions all links of a node in both directions.
  void isolate(NodeId Id) {
    for (const auto &[Other, State] : Members) {
      PartitionedLinks.insert({Id, Other});
      PartitionedLinks.insert({Other, Id});
    }
  }
};

} // namespace

TEST_GROUP(ReplicaGroup){};

TEST(ReplicaGroup, ElectsOneLeaderAndCommits) {
  ReplicaGroupFixture Fixture{3};
  Fixture.advance(1500);
  Replica *Leader = Fixture.leader();
  CHECK(Leader != nullptr);
  const auto Index = propose(*Leader, "x");
  CHECK(Index.has_value());
  Fixture.advance(200);
  for (const auto &[Id, State] : Fixture.Members) {
    CHECK(State.LastApplied >= *Index);
  }
}

TEST(ReplicaGroup, PartitionedLeaderLosesItsLeaseBeforeAnotherIsElected) {
  ReplicaGroupFixture Fixture{3};
  Fixture.advance(1500);
  Replica *OldLeader = Fixture.leader();
  CHECK(OldLeader != nullptr);
  Fixture.isolate(OldLeader->Self.Node);
  for (int Step = 0; Step < 200; ++Step) {
    Fixture.advance(20);
    int ReadyLeaders = 0;
    for (const auto &[Id, State] : Fixture.Members) {
      ReadyLeaders += canServeAsLeader(State, Fixture.Now) ? 1 : 0;
    }
    CHECK(ReadyLeaders <= 1);
  }
  CHECK(Fixture.leader() != nullptr);
  CHECK(Fixture.leader() != OldLeader);
}

/// A member forgets at a restart when it last had contact with a leader, whose
/// lease may still be valid. It ignores vote requests for the shortest election
/// timeout.
TEST(ReplicaGroup, RestartedMemberGrantsNoVoteWhileALeaseMayBeValid) {
  Replica State = startReplica("g", {1, 1}, ReplicaGroupFixture::options(3),
                               bootstrapGroup({{1, 1}, {2, 1}, {3, 1}}), 1,
                               Instant{Millis{1000}});
  ReplicaMessage Request{
      "g", {2, 1}, {1, 1}, VoteRequest{5, false, false, 9, 4}};
  receive(State, Instant{Millis{1100}}, Request);
  CHECK(State.Outbox.empty());
  CHECK_EQUAL(0U, State.Hard.CurrentTerm);
  receive(State, Instant{Millis{1500}}, Request);
  CHECK_EQUAL(1U, State.Outbox.size());
}

/// A second vote in the same term could elect two leaders.
TEST(ReplicaGroup, MemberVotesOncePerTermEvenAfterARestart) {
  Replica State = startReplica("g", {1, 1}, ReplicaGroupFixture::options(3),
                               bootstrapGroup({{1, 1}, {2, 1}, {3, 1}}), 1,
                               Instant{Millis{0}});
  const Instant AfterLease{Millis{5000}};
  receive(State, AfterLease,
          {"g", {2, 1}, {1, 1}, VoteRequest{5, false, false, 9, 4}});
  StoredGroup Stored = bootstrapGroup({{1, 1}, {2, 1}, {3, 1}});
  Stored.Hard = State.Hard;
  Replica Restarted = startReplica("g", {1, 1}, ReplicaGroupFixture::options(3),
                                   Stored, 1, AfterLease);
  receive(Restarted, AfterLease + Millis{5000},
          {"g", {3, 1}, {1, 1}, VoteRequest{5, false, false, 9, 4}});
  CHECK_FALSE(std::get<VoteReply>(Restarted.Outbox.back().Body).IsGranted);
}

/// A node that lost its disk no longer knows its votes and entries. Its new
/// incarnation replaces the previous one in the configuration.
TEST(ReplicaGroup, NewIncarnationWithoutStateIsNoVoterUntilPromoted) {
  ReplicaGroupFixture Fixture{3};
  Fixture.advance(1500);
  NodeId RestartedNode = Fixture.leader()->Self.Node % 3 + 1;
  Fixture.Members[RestartedNode] =
      startReplica("g", {RestartedNode, 7}, ReplicaGroupFixture::options(3), {},
                   9, Fixture.Now);
  CHECK_FALSE(isVoter(Fixture.Members[RestartedNode], {RestartedNode, 7}));
  Fixture.advance(3000);
  CHECK(isVoter(*Fixture.leader(), {RestartedNode, 7}));
  CHECK_FALSE(isVoter(*Fixture.leader(), {RestartedNode, 1}));
  CHECK_EQUAL(3U, membership(*Fixture.leader()).Voters.size());
}

/// The replacement of a voter must hold all committed entries before it votes:
/// otherwise the loss of another voter right after it loses an entry.
TEST(ReplicaGroup, LeaderLossRightAfterAReplacementLosesNoEntry) {
  ReplicaGroupFixture Fixture{3};
  Fixture.advance(1500);
  const auto Index = propose(*Fixture.leader(), "kept");
  Fixture.advance(200);
  const NodeId ReplacedNode = Fixture.leader()->Self.Node % 3 + 1;
  Fixture.Members[ReplacedNode] =
      startReplica("g", {ReplacedNode, 7}, ReplicaGroupFixture::options(3), {},
                   9, Fixture.Now);
  while (!isVoter(*Fixture.leader(), {ReplacedNode, 7})) {
    Fixture.advance(20);
  }
  const NodeId FailedLeaderNode = Fixture.leader()->Self.Node;
  Fixture.Members.erase(FailedLeaderNode);
  Fixture.advance(3000);
  CHECK(Fixture.leader() != nullptr);
  const Replica &Leader = *Fixture.leader();
  STRCMP_EQUAL("kept",
               Leader.Entries[*Index - Leader.CompactedIndex - 1].Data.c_str());
}

TEST(ReplicaGroup, FollowerBehindTheCompactedLogReceivesASnapshot) {
  ReplicaGroupFixture Fixture{3};
  Fixture.advance(1500);
  const NodeId LaggingNode = Fixture.leader()->Self.Node % 3 + 1;
  Fixture.isolate(LaggingNode);
  for (int Index = 0; Index < 500; ++Index) {
    (void)propose(*Fixture.leader(), "change " + std::to_string(Index));
    if (Index % 20 == 0) {
      Fixture.advance(20);
      for (auto &[Id, State] : Fixture.Members) {
        if (needsSnapshot(State)) {
          compact(State, "state at " + std::to_string(State.LastApplied));
        }
      }
    }
  }
  Fixture.PartitionedLinks.clear();
  Fixture.advance(3000);
  CHECK(Fixture.Members[LaggingNode].LatestSnapshot.Index > 0);
  CHECK_EQUAL(Fixture.leader()->CommitIndex,
              Fixture.Members[LaggingNode].CommitIndex);
}

TEST(ReplicaGroup, LeaderTransferNeedsNoElectionTimeout) {
  ReplicaGroupFixture Fixture{3};
  Fixture.advance(1500);
  Replica &OldLeader = *Fixture.leader();
  transferLeadership(OldLeader, Fixture.Now);
  CHECK_FALSE(canServeAsLeader(OldLeader, Fixture.Now));
  Fixture.advance(100);
  CHECK(Fixture.leader() != nullptr);
  CHECK(Fixture.leader() != &OldLeader);
}

/// Guards against two leaders at the same time: voters ignore the lease of a
/// leader that has asked a member to be elected, also if the request arrives
/// after the transfer was given up.
TEST(ReplicaGroup, AGivenUpTransferLeavesNoLeaseToTheOldLeader) {
  ReplicaGroupFixture Fixture{3};
  Fixture.advance(1500);
  Replica &OldLeader = *Fixture.leader();
  transferLeadership(OldLeader, Fixture.Now);
  tick(OldLeader, Fixture.Now);
  const auto RequestIt = std::find_if(
      OldLeader.Outbox.begin(), OldLeader.Outbox.end(),
      [](const ReplicaMessage &Message) {
        return std::holds_alternative<TimeoutNowRequest>(Message.Body);
      });
  CHECK(RequestIt != OldLeader.Outbox.end());
  const ReplicaMessage Delayed = *RequestIt;
  Replica &Target = Fixture.Members[Delayed.To.Node];
  Fixture.PartitionedLinks.insert({OldLeader.Self.Node, Target.Self.Node});
  Fixture.advance(OldLeader.Options.ElectionTimeoutMax.count());
  Fixture.PartitionedLinks.clear();
  Fixture.advance(100);
  Fixture.isolate(OldLeader.Self.Node);
  receive(Target, Fixture.Now, Delayed);
  for (int Round = 0; Round < 30; ++Round) {
    Fixture.advance(20);
    const auto Leaders = std::count_if(
        Fixture.Members.begin(), Fixture.Members.end(), [&](const auto &Row) {
          return canServeAsLeader(Row.second, Fixture.Now);
        });
    CHECK(Leaders <= 1);
  }
}

/// Guards against a leader giving up its term although it has not asked any
/// member to be elected.
TEST(ReplicaGroup, ATransferToAMemberThatNeverCatchesUpIsGivenUp) {
  ReplicaGroupFixture Fixture{3};
  Fixture.advance(1500);
  Replica &Leader = *Fixture.leader();
  const Term LeaderTerm = Leader.Hard.CurrentTerm;
  transferLeadership(Leader, Fixture.Now);
  CHECK(Leader.TransferTarget.has_value());
  const NodeId Target = Leader.TransferTarget->Node;
  // An entry that the target does not get.
  Fixture.PartitionedLinks.insert({Leader.Self.Node, Target});
  internal::appendAsLeader(Leader, EntryKind::Command, "x");
  Fixture.advance(Leader.Options.ElectionTimeoutMax.count() + 100);
  CHECK(canServeAsLeader(Leader, Fixture.Now));
  CHECK_EQUAL(LeaderTerm, Leader.Hard.CurrentTerm);
}

/// A candidate with the longer log but an older term learns the newer term from
/// the rejection of its pre-vote. Otherwise nobody could win the election.
TEST(ReplicaGroup, MemberWithTheLongerLogIsElectedDespiteAnOlderTerm) {
  ReplicaGroupFixture Fixture{2};
  Replica &LongerLog = Fixture.Members[1];
  Replica &NewerTerm = Fixture.Members[2];
  LongerLog.Entries.push_back({1, 1, EntryKind::Noop, ""});
  LongerLog.Hard.CurrentTerm = 1;
  NewerTerm.Hard.CurrentTerm = 4;
  Fixture.advance(5000);
  CHECK(Fixture.leader() == &LongerLog);
}

namespace {

/// @brief Sums the bytes of all entries in the outbox of a member that are
/// addressed to one node.
std::size_t entryBytesTo(const Replica &State, NodeId To) {
  std::size_t Bytes = 0;
  for (const ReplicaMessage &Message : State.Outbox) {
    const auto *Append = std::get_if<AppendEntriesRequest>(&Message.Body);
    if (Message.To.Node != To || Append == nullptr) {
      continue;
    }
    for (const Entry &LogEntry : Append->Entries) {
      Bytes += LogEntry.Data.size();
    }
  }
  return Bytes;
}

constexpr std::size_t EntryBytes = 1000;

} // namespace

/// Entries sent to a member that does not answer would fill the outbox of the
/// leader.
TEST(ReplicaGroup, UnresponsiveMemberIsSentNoEntries) {
  ReplicaGroupFixture Fixture{3};
  Fixture.advance(1500);
  Replica &Leader = *Fixture.leader();
  const NodeId UnresponsiveNode = Leader.Self.Node == 1 ? 2 : 1;
  Fixture.isolate(UnresponsiveNode);
  Fixture.advance(1500);
  Leader.Outbox.clear();
  for (int Round = 0; Round < 20; ++Round) {
    CHECK(propose(Leader, std::string(EntryBytes, 'x')).has_value());
    Fixture.Now += Millis{20};
    tick(Leader, Fixture.Now);
  }
  CHECK_EQUAL(0, entryBytesTo(Leader, UnresponsiveNode));
}

/// A follower that was paused rejects many stale requests at once. Each
/// rejection must not cause a resend of its own.
TEST(ReplicaGroup, RejectionsOfStaleAppendEntriesCauseOneResend) {
  ReplicaGroupFixture Fixture{3};
  Fixture.advance(1500);
  Replica &Leader = *Fixture.leader();
  const NodeId FollowerNode = Leader.Self.Node == 1 ? 2 : 1;
  const Member Follower{FollowerNode, 1};
  const LogIndex LastKnownIndex = lastIndex(Leader);
  const Instant SentAt = Fixture.Now;
  for (int Round = 0; Round < 40; ++Round) {
    CHECK(propose(Leader, std::string(EntryBytes, 'x')).has_value());
  }
  Fixture.Now += Millis{100};
  tick(Leader, Fixture.Now);
  Leader.Outbox.clear();
  for (int Round = 0; Round < 40; ++Round) {
    receive(Leader, Fixture.Now,
            {"g", Follower, Leader.Self,
             AppendEntriesReply{Leader.Hard.CurrentTerm, false, LastKnownIndex,
                                LastKnownIndex, SentAt}});
  }
  CHECK(entryBytesTo(Leader, FollowerNode) <= 40 * EntryBytes);
}

/// An entry is replaced while the previous one at its index is being written.
/// The end of that write must not count the new entry as saved.
TEST(ReplicaGroup, SaveInProgressDoesNotCoverEntriesThatReplaceItsOwn) {
  ReplicaGroupFixture Fixture{3};
  Replica &State = Fixture.Members.at(1);
  const Member FirstLeader{2, 1};
  receive(State, Fixture.Now,
          {"g", FirstLeader, State.Self,
           AppendEntriesRequest{
               1,
               0,
               0,
               {{1, 1, EntryKind::Noop, ""}, {1, 2, EntryKind::Command, "a"}},
               0,
               Fixture.Now}});
  CHECK(beginSave(State).has_value());
  const Member SecondLeader{3, 1};
  receive(State, Fixture.Now,
          {"g", SecondLeader, State.Self,
           AppendEntriesRequest{
               2, 1, 1, {{2, 2, EntryKind::Command, "b"}}, 0, Fixture.Now}});
  finishSave(State);
  CHECK_EQUAL(1, State.SavedIndex);
  CHECK(beginSave(State).has_value());
  finishSave(State);
  CHECK_EQUAL(2, State.SavedIndex);
}

namespace {

ReplicaOptions dynamicMembershipOptions() {
  ReplicaOptions Options;
  Options.HasDynamicMembership = true;
  Options.AllowsUnsafeRecovery = false;
  return Options;
}

} // namespace

/// A fourth node stays a learner: an even number of voters tolerates no more
/// failures.
TEST(ReplicaGroup, DynamicMembershipKeepsAnOddNumberOfVoters) {
  ReplicaGroupFixture Fixture{3};
  for (auto &[Id, State] : Fixture.Members) {
    State.Options = dynamicMembershipOptions();
  }
  Fixture.advance(1500);
  Fixture.Members[4] =
      startReplica("g", {4, 7}, dynamicMembershipOptions(), {}, 4, Fixture.Now);
  Fixture.Members[4].Options.VoterNodes = {1, 2, 3};
  Fixture.advance(4000);
  const Replica *Leader = Fixture.leader();
  CHECK(Leader != nullptr);
  CHECK(!isVoter(*Leader, {4, 7}));
  CHECK_EQUAL(3, membership(*Leader).Voters.size());
  CHECK_EQUAL(lastIndex(*Leader), lastIndex(Fixture.Members[4]));
}

TEST(ReplicaGroup, DynamicMembershipReplacesALostVoterWithANewNode) {
  ReplicaGroupFixture Fixture{3};
  for (auto &[Id, State] : Fixture.Members) {
    State.Options = dynamicMembershipOptions();
  }
  Fixture.advance(1500);
  Fixture.isolate(3);
  Fixture.Members.erase(3);
  Fixture.advance(1000);
  Fixture.Members[4] =
      startReplica("g", {4, 7}, dynamicMembershipOptions(), {}, 4, Fixture.Now);
  Fixture.Members[4].Options.VoterNodes = {1, 2};
  Fixture.advance(6000);
  const Replica *Leader = Fixture.leader();
  CHECK(Leader != nullptr);
  CHECK(isVoter(*Leader, {4, 7}));
  CHECK(!isVoter(*Leader, {3, 1}));
  CHECK_EQUAL(3, membership(*Leader).Voters.size());
}

/// A few large entries would fill the memory and the disk long before their
/// number makes a snapshot due.
TEST(ReplicaGroup, LargeEntriesMakeASnapshotDueAndAreNotKept) {
  ReplicaGroupFixture Fixture{1};
  Fixture.advance(1500);
  Replica &State = *Fixture.leader();
  State.Options.SnapshotThresholdBytes = 10000;
  for (int Count = 0; Count < 9; ++Count) {
    (void)propose(State, std::string(1000, 'x'));
    Fixture.advance(20);
  }
  CHECK_FALSE(needsSnapshot(State));
  (void)propose(State, std::string(1000, 'x'));
  (void)propose(State, std::string(1000, 'x'));
  Fixture.advance(20);
  CHECK(needsSnapshot(State));
  State.Options.SnapshotThresholdBytes = 3500;
  compact(State, std::string(20000, 's'));
  CHECK_EQUAL(3U, State.Entries.size());
  CHECK_FALSE(needsSnapshot(State));
  // After a large snapshot the next one is due later, so that the time spent
  // on snapshots stays in proportion to the log.
  for (int Count = 0; Count < 15; ++Count) {
    (void)propose(State, std::string(1000, 'x'));
  }
  Fixture.advance(20);
  CHECK_FALSE(needsSnapshot(State));
}
