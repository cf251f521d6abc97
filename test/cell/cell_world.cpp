#include "cell/cell_world.hpp"

#include "cell/cell_simulation.hpp"
#include "support/cell_parts.hpp"

namespace mulberryramp::test {

namespace {

constexpr Millis StepTime{5};
constexpr Millis SyncTime{9};

} // namespace

CellSimulation::CellSimulation(const CellScheduleOptions &Options)
    : Options{Options}, Rng{Options.Seed} {
  for (NodeId Id = 1; Id <= VoterCount; ++Id) {
    startVoter(Id, true);
  }
  CellNodeOptions FrontendOptions;
  FrontendOptions.Self = FrontendId;
  FrontendOptions.Seeds = {1, 2, 3};
  Frontend = std::make_unique<CellNode>(FrontendOptions, StoredGroup{}, Now);
  for (int Index = 0; Index < WorkerCount; ++Index) {
    const std::string Name = "w" + std::to_string(Index);
    Workers[Name].Worker = std::make_unique<FakeWorker>(
        Name, capacityOf(WorkerCpus), Options.Seed * 31 + Index, Now);
    Workers[Name].StartedAt = Now;
  }
  LastLeader = 0;
  beginLeaderSeries();
  if (Options.Faults.contains(CellFault::SteadyStarts)) {
    SteadyInterval = randomDuration(100, 500);
  }
  if (Options.Faults.contains(CellFault::ChangeKeys)) {
    Keys.emplace(Options.Seed, Options.Trap);
  }
}

CellScheduleResult CellSimulation::run() {
  configure();
  while (Now < End) {
    Now += StepTime;
    if (Now < FaultsEnd) {
      injectFaults();
    }
    joinDueWorkers();
    restoreCapacities();
    changeCaps();
    issueCalls();
    deliver();
    for (auto &[Id, Voter] : VotersById) {
      stepVoter(Id, Voter);
    }
    processOutput(FrontendId, 0, Frontend->step(Now, wallNow()));
    stepWorkers();
    checkWorkers();
    checkRunGaps(StepTime);
  }
  for (const RunGap &Gap : LongRunGaps.open(Now)) {
    checkRunGap(Gap);
  }
  checkFinalState();
  return Result;
}

std::int64_t CellSimulation::sinceStart() const {
  return (Now - Instant{Millis{100000}}).count();
}

WallTime CellSimulation::wallNow() const {
  return WallTime{Now.time_since_epoch()};
}

void CellSimulation::recordViolation(const std::string &Text) {
  Result.Violations.push_back(
      std::to_string((Now - Instant{Millis{100000}}).count()) + " ms: " + Text);
}

Resources CellSimulation::capacityOf(std::int64_t MilliCpus) {
  Resources Capacity;
  Capacity.MilliCpus = MilliCpus;
  Capacity.MemoryMb = 100;
  return Capacity;
}

CellNodeOptions CellSimulation::voterOptions(NodeId Id,
                                             std::uint64_t Incarnation,
                                             std::uint64_t Seed) {
  CellNodeOptions Node;
  Node.Self = Id;
  Node.Seeds = {1, 2, 3};
  Node.IsVoter = true;
  Node.Incarnation = Incarnation;
  Node.ReplicaParameters = makeCellReplicaOptions(1);
  Node.ReplicaParameters.SnapshotThreshold = 60;
  Node.ReplicaParameters.TrailingEntries = 10;
  // The snapshots of this world are sent in many chunks as well.
  Node.ReplicaParameters.Transfer.ChunkBytes = 512;
  Node.ReplicaParameters.Transfer.WindowBytes = 2048;
  Node.Dispatch.ReportInterval = ReportInterval;
  Node.Seed = Seed;
  return Node;
}

void CellSimulation::startVoter(NodeId Id, bool IsBootstrapVoter) {
  VoterState &Voter = VotersById[Id];
  StoredGroup Stored;
  Voter.Store.emplace(*GroupStore::open(Voter.Files, "cell", Stored));
  if (IsBootstrapVoter && Stored.LatestSnapshot.Voters.Voters.empty()) {
    Stored = bootstrapGroup({{1, 1}, {2, 1}, {3, 1}});
    PersistBatch First;
    First.NewSnapshot = Stored.LatestSnapshot;
    (void)Voter.Store->write(First);
  }
  Voter.Node = std::make_unique<CellNode>(
      voterOptions(Id, Voter.Incarnation, Rng.next()), std::move(Stored), Now);
  Voter.PendingWrite.reset();
  Voter.DownUntil = Instant{};
  ProcessGenerations[Id] += 1;
}

void CellSimulation::configure() {
  CellConfiguration Configuration =
      makeTestConfiguration(ConfigurationVersion, MaxAttempts);
  Configuration.Queues.front().LatencyTarget = Millis{500};
  if (hasCaps()) {
    Caps.addTo(Configuration);
  }
  if (Keys) {
    Configuration = Keys->configuration(std::move(Configuration));
    Keys->onSent(Now);
  }
  Frontend->call(NextCall, ConfigureCall{Configuration}, Now);
  ConfigureId = NextCall;
  NextCall += 1;
}

bool CellSimulation::hasCaps() const {
  return Options.Faults.contains(CellFault::ChangeCap);
}

void CellSimulation::changeCaps() {
  if (!hasCaps() || (Now < FaultsEnd && Rng.below(300) != 0) || AreCapsFinal) {
    return;
  }
  AreCapsFinal = Now >= FaultsEnd;
  if (AreCapsFinal) {
    Caps.raise();
  } else {
    Caps.change(Rng);
  }
  ConfigurationVersion += 1;
  configure();
}

void CellSimulation::stepVoter(NodeId Id, VoterState &Voter) {
  if (Voter.IsGone || Now < Voter.PausedUntil) {
    return;
  }
  if (!Voter.Node) {
    if (Now >= Voter.DownUntil) {
      startVoter(Id, false);
    }
    return;
  }
  if (Voter.StopsAt != Instant{} && Now >= Voter.StopsAt) {
    crashVoter(Voter, randomDuration(50, 2000));
    return;
  }
  if (Voter.PendingWrite && Now >= Voter.WriteEndsAt &&
      Now >= Voter.DiskStalledUntil) {
    (void)Voter.Store->write(*Voter.PendingWrite);
    Voter.PendingWrite.reset();
    Voter.Node->onWriteSynced();
  }
  CellOutput Output = Voter.Node->step(Now, wallNow());
  if (Output.Write) {
    Voter.PendingWrite = std::move(Output.Write);
    Output.Write.reset();
    Voter.WriteEndsAt = Now + SyncTime;
  }
  if (Voter.Node->isLeading(Now) && LastLeader != Id) {
    LastLeader = Id;
    Result.LeaderChanges += 1;
    Disturbances.push_back({Now, Now, "", false});
  }
  processOutput(Id, ProcessGenerations.at(Id), std::move(Output));
}
std::set<CellFault> allCellFaults() {
  std::set<CellFault> Faults;
  for (std::size_t Index = 0; Index < nameTable(CellFault{}).size(); ++Index) {
    Faults.insert(static_cast<CellFault>(Index));
  }
  Faults.erase(CellFault::CrashingTask);
  Faults.erase(CellFault::CrashRack);
  Faults.erase(CellFault::ChangeCap);
  Faults.erase(CellFault::DrainWorker);
  Faults.erase(CellFault::HandOver);
  Faults.erase(CellFault::LeaderSeries);
  Faults.erase(CellFault::LoseWorker);
  Faults.erase(CellFault::SteadyStarts);
  return Faults;
}

CellScheduleResult runCellSchedule(const CellScheduleOptions &Options) {
  return CellSimulation{Options}.run();
}

} // namespace mulberryramp::test
