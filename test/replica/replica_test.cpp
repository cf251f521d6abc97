#include "mulberryramp/replica/replica.hpp"

#include <functional>
#include <map>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

/// Members whose messages arrive at once unless a link is cut.
struct Group {
  std::map<NodeId, Replica> Members;
  std::set<std::pair<NodeId, NodeId>> Cuts;
  Instant Now{Millis{1000}};

  explicit Group(NodeId Count) {
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

  void exchange() {
    for (int Round = 0; Round < 20; ++Round) {
      for (auto &[Id, State] : Members) {
        prepareSave(State);
        markSaved(State);
        for (const ReplicaMessage &Message : std::exchange(State.Outbox, {})) {
          const auto To = Members.find(Message.To.Node);
          if (To != Members.end() && !Cuts.contains({Id, To->first})) {
            receive(To->second, Now, Message);
          }
        }
        while (nextCommitted(State) != nullptr) {
        }
        State.ReportedApplied = State.LastApplied;
      }
    }
  }

  void pass(std::int64_t Ms) {
    for (std::int64_t Done = 0; Done < Ms; Done += 20) {
      Now += Millis{20};
      for (auto &[Id, State] : Members) {
        tick(State, Now);
      }
      exchange();
    }
  }

  Replica *leader() {
    for (auto &[Id, State] : Members) {
      if (canServeAsLeader(State, Now)) {
        return &State;
      }
    }
    return nullptr;
  }

  void isolate(NodeId Id) {
    for (const auto &[Other, State] : Members) {
      Cuts.insert({Id, Other});
      Cuts.insert({Other, Id});
    }
  }
};

} // namespace

TEST_GROUP(ReplicaGroup){};

TEST(ReplicaGroup, ElectsOneLeaderAndCommits) {
  Group Three{3};
  Three.pass(1500);
  Replica *Leader = Three.leader();
  CHECK(Leader != nullptr);
  const auto Index = propose(*Leader, "x");
  CHECK(Index.has_value());
  Three.pass(200);
  for (const auto &[Id, State] : Three.Members) {
    CHECK(State.LastApplied >= *Index);
  }
}

TEST(ReplicaGroup, LeaderCutOffLosesItsLeaseBeforeAnotherIsElected) {
  Group Three{3};
  Three.pass(1500);
  Replica *Old = Three.leader();
  CHECK(Old != nullptr);
  Three.isolate(Old->Self.Node);
  for (int Step = 0; Step < 200; ++Step) {
    Three.pass(20);
    int Ready = 0;
    for (const auto &[Id, State] : Three.Members) {
      Ready += canServeAsLeader(State, Three.Now) ? 1 : 0;
    }
    CHECK(Ready <= 1);
  }
  CHECK(Three.leader() != nullptr);
  CHECK(Three.leader() != Old);
}

TEST(ReplicaGroup, RestartedMemberGivesNoVoteWhileALeaseMayLast) {
  Replica State = startReplica("g", {1, 1}, Group::options(3),
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

TEST(ReplicaGroup, VoteIsGivenOncePerTermAlsoAfterARestart) {
  Replica State = startReplica("g", {1, 1}, Group::options(3),
                               bootstrapGroup({{1, 1}, {2, 1}, {3, 1}}), 1,
                               Instant{Millis{0}});
  const Instant Late{Millis{5000}};
  receive(State, Late,
          {"g", {2, 1}, {1, 1}, VoteRequest{5, false, false, 9, 4}});
  StoredGroup Stored = bootstrapGroup({{1, 1}, {2, 1}, {3, 1}});
  Stored.Hard = State.Hard;
  Replica Again = startReplica("g", {1, 1}, Group::options(3), Stored, 1, Late);
  receive(Again, Late + Millis{5000},
          {"g", {3, 1}, {1, 1}, VoteRequest{5, false, false, 9, 4}});
  CHECK_FALSE(std::get<VoteReply>(Again.Outbox.back().Body).IsGranted);
}

TEST(ReplicaGroup, NewLifeWithoutMemoryIsNoVoterUntilAdmitted) {
  Group Three{3};
  Three.pass(1500);
  NodeId Other = Three.leader()->Self.Node % 3 + 1;
  Three.Members[Other] =
      startReplica("g", {Other, 7}, Group::options(3), {}, 9, Three.Now);
  CHECK_FALSE(isVoter(Three.Members[Other], {Other, 7}));
  Three.pass(3000);
  CHECK(isVoter(*Three.leader(), {Other, 7}));
  CHECK_FALSE(isVoter(*Three.leader(), {Other, 1}));
  CHECK_EQUAL(3U, membership(*Three.leader()).Voters.size());
}

TEST(ReplicaGroup, SecondLossRightAfterARepairLosesNothing) {
  Group Three{3};
  Three.pass(1500);
  const auto Index = propose(*Three.leader(), "kept");
  Three.pass(200);
  const NodeId First = Three.leader()->Self.Node % 3 + 1;
  Three.Members[First] =
      startReplica("g", {First, 7}, Group::options(3), {}, 9, Three.Now);
  while (!isVoter(*Three.leader(), {First, 7})) {
    Three.pass(20);
  }
  const NodeId Second = Three.leader()->Self.Node;
  Three.Members.erase(Second);
  Three.pass(3000);
  CHECK(Three.leader() != nullptr);
  const Replica &Leader = *Three.leader();
  STRCMP_EQUAL("kept",
               Leader.Entries[*Index - Leader.CompactedIndex - 1].Data.c_str());
}

TEST(ReplicaGroup, FollowerHundredsOfChangesBehindGetsASnapshot) {
  Group Three{3};
  Three.pass(1500);
  const NodeId Behind = Three.leader()->Self.Node % 3 + 1;
  Three.isolate(Behind);
  for (int Index = 0; Index < 500; ++Index) {
    (void)propose(*Three.leader(), "change " + std::to_string(Index));
    if (Index % 20 == 0) {
      Three.pass(20);
      for (auto &[Id, State] : Three.Members) {
        if (needsSnapshot(State)) {
          compact(State, "state at " + std::to_string(State.LastApplied));
        }
      }
    }
  }
  Three.Cuts.clear();
  Three.pass(3000);
  CHECK(Three.Members[Behind].LatestSnapshot.Index > 0);
  CHECK_EQUAL(Three.leader()->CommitIndex, Three.Members[Behind].CommitIndex);
}

TEST(ReplicaGroup, TransferHandsLeadershipOverWithoutAWait) {
  Group Three{3};
  Three.pass(1500);
  Replica &Old = *Three.leader();
  transferLeadership(Old, Three.Now);
  CHECK_FALSE(canServeAsLeader(Old, Three.Now));
  Three.pass(100);
  CHECK(Three.leader() != nullptr);
  CHECK(Three.leader() != &Old);
}

TEST(ReplicaGroup, LongerLogWithOlderTermIsElected) {
  Group Two{2};
  Replica &Longer = Two.Members[1];
  Replica &Newer = Two.Members[2];
  Longer.Entries.push_back({1, 1, EntryKind::Noop, ""});
  Longer.Hard.CurrentTerm = 1;
  Newer.Hard.CurrentTerm = 4;
  Two.pass(5000);
  CHECK(Two.leader() == &Longer);
}

namespace {

/// Bytes of entries that a member is about to send to another.
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

TEST(ReplicaGroup, ASilentMemberIsSentNoEntries) {
  Group Three{3};
  Three.pass(1500);
  Replica &Leader = *Three.leader();
  const NodeId Silent = Leader.Self.Node == 1 ? 2 : 1;
  Three.isolate(Silent);
  Three.pass(1500);
  Leader.Outbox.clear();
  for (int Round = 0; Round < 20; ++Round) {
    CHECK(propose(Leader, std::string(EntryBytes, 'x')).has_value());
    Three.Now += Millis{20};
    tick(Leader, Three.Now);
  }
  CHECK_EQUAL(0, entryBytesTo(Leader, Silent));
}

TEST(ReplicaGroup, RefusalsOfOldAppendsCauseOneResend) {
  Group Three{3};
  Three.pass(1500);
  Replica &Leader = *Three.leader();
  const NodeId Frozen = Leader.Self.Node == 1 ? 2 : 1;
  const Member Other{Frozen, 1};
  const LogIndex Known = lastIndex(Leader);
  const Instant SentAt = Three.Now;
  for (int Round = 0; Round < 40; ++Round) {
    CHECK(propose(Leader, std::string(EntryBytes, 'x')).has_value());
  }
  Three.Now += Millis{100};
  tick(Leader, Three.Now);
  Leader.Outbox.clear();
  for (int Round = 0; Round < 40; ++Round) {
    receive(Leader, Three.Now,
            {"g", Other, Leader.Self,
             AppendEntriesReply{Leader.Hard.CurrentTerm, false, Known, Known,
                                SentAt}});
  }
  CHECK(entryBytesTo(Leader, Frozen) <= 40 * EntryBytes);
}

TEST(ReplicaGroup, ASaveUnderWayCoversNoEntryThatReplacesItsOwn) {
  Group Three{3};
  Replica &State = Three.Members.at(1);
  const Member First{2, 1};
  receive(State, Three.Now,
          {"g", First, State.Self,
           AppendEntriesRequest{
               1,
               0,
               0,
               {{1, 1, EntryKind::Noop, ""}, {1, 2, EntryKind::Command, "a"}},
               0,
               Three.Now}});
  CHECK(beginSave(State).has_value());
  const Member Second{3, 1};
  receive(State, Three.Now,
          {"g", Second, State.Self,
           AppendEntriesRequest{
               2, 1, 1, {{2, 2, EntryKind::Command, "b"}}, 0, Three.Now}});
  finishSave(State);
  CHECK_EQUAL(1, State.SavedIndex);
  CHECK(beginSave(State).has_value());
  finishSave(State);
  CHECK_EQUAL(2, State.SavedIndex);
}

namespace {

ReplicaOptions openOptions() {
  ReplicaOptions Options;
  Options.HasDynamicMembership = true;
  Options.AllowsUnsafeRecovery = false;
  return Options;
}

} // namespace

TEST(ReplicaGroup, AnOpenGroupKeepsAnOddNumberOfVoters) {
  Group Three{3};
  for (auto &[Id, State] : Three.Members) {
    State.Options = openOptions();
  }
  Three.pass(1500);
  Three.Members[4] = startReplica("g", {4, 7}, openOptions(), {}, 4, Three.Now);
  Three.Members[4].Options.VoterNodes = {1, 2, 3};
  Three.pass(4000);
  const Replica *Leader = Three.leader();
  CHECK(Leader != nullptr);
  CHECK(!isVoter(*Leader, {4, 7}));
  CHECK_EQUAL(3, membership(*Leader).Voters.size());
  CHECK_EQUAL(lastIndex(*Leader), lastIndex(Three.Members[4]));
}

TEST(ReplicaGroup, AnOpenGroupTakesANewNodeAndDropsTheOneItReplaces) {
  Group Three{3};
  for (auto &[Id, State] : Three.Members) {
    State.Options = openOptions();
  }
  Three.pass(1500);
  Three.isolate(3);
  Three.Members.erase(3);
  Three.pass(1000);
  Three.Members[4] = startReplica("g", {4, 7}, openOptions(), {}, 4, Three.Now);
  Three.Members[4].Options.VoterNodes = {1, 2};
  Three.pass(6000);
  const Replica *Leader = Three.leader();
  CHECK(Leader != nullptr);
  CHECK(isVoter(*Leader, {4, 7}));
  CHECK(!isVoter(*Leader, {3, 1}));
  CHECK_EQUAL(3, membership(*Leader).Voters.size());
}
