#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/cell/dispatcher.hpp"
#include "mulberryramp/cell/fwd.hpp"
#include "mulberryramp/replica/replica.hpp"

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

/// Latency target of quick jobs; work that waits for longer is late.
constexpr Millis QuickJobTarget{400};

Replica startVoter(Instant Now) {
  return startReplica("cell", {1, 1}, makeCellReplicaOptions(1),
                      bootstrapGroup({{1, 1}, {2, 1}, {3, 1}}), 7, Now);
}

} // namespace

TEST_GROUP(CellElection){};

TEST(CellElection, AVoterWithoutALeaderStandsWithinTheTargetOfQuickJobs) {
  const Instant Start{Millis{100000}};
  Replica Voter = startVoter(Start);
  Instant Now = Start;
  while (Voter.Role == ReplicaRole::Follower && Now - Start < Millis{2000}) {
    Now += Millis{5};
    tick(Voter, Now);
  }
  CHECK(Voter.Role == ReplicaRole::PreCandidate);
  CHECK(Now - Start <= QuickJobTarget);
}

TEST(CellElection, APauseOfALeaderOf100MsCostsItNothing) {
  const Millis Pause{100};
  const Millis RoundTrip{40}; // Two regions, and a sync of the disk.
  const ReplicaOptions Options = makeCellReplicaOptions(2);
  const Millis Lease =
      Options.ElectionTimeoutMin * (100 - Options.LeaseDriftPercent) / 100;
  CHECK(Options.HeartbeatInterval + Pause + RoundTrip < Lease);
}

/// All voters lose power for 3.5 s; the next leader renews the leases half a
/// second later. Tasks whose renewal was due just when the power was lost must
/// still run then.
TEST(CellElection, RunningTasksSurviveACellWithoutPowerForSeconds) {
  const Millis TimeWithoutLeader{4000};
  const Millis AckDelay{400}; // A renewal waits for the commit of ends.
  const DispatchOptions Options;
  CHECK(Options.Lease >= TimeWithoutLeader + Options.RenewalWait + AckDelay);
}

/// A frontend that is cut off from the voters leaves the rotation soon, but an
/// election takes none out of it.
TEST(CellElection, AFrontendStaysReadyThroughAnElection) {
  const ReplicaOptions Options = makeCellReplicaOptions(2);
  CHECK(ReadinessTimeout >= LeaderTimeout + Options.ElectionTimeoutMax);
  CHECK(ReadinessTimeout <= RelayTimeout);
}
