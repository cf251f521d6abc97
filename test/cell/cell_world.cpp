#include "cell/cell_world.hpp"

#include "cell/cap_schedule.hpp"
#include "cell/drain_schedule.hpp"
#include "cell/fake_worker.hpp"
#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/cell/crash_attribution.hpp"
#include "mulberryramp/core/digest.hpp"
#include "mulberryramp/core/random.hpp"
#include "mulberryramp/storage/group_store.hpp"
#include "support/cell_parts.hpp"
#include "support/memory_files.hpp"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>
#include <optional>

namespace mulberryramp::test {

namespace {

constexpr Millis StepTime{5};
constexpr Millis SyncTime{9};
constexpr Millis FaultPeriod{16000}; ///< New faults are injected until then.
/// Duration of a schedule. All faults end before, and all jobs have to be
/// finished by then.
constexpr Millis ScheduleTime{45000};
/// Duration of a schedule with tasks that crash workers. Each crash takes a
/// worker away for up to 5 s, until three jobs with five crashes are given up.
/// Crashes that coincide count for none of them, and each further trial of a
/// job waits for up to 30 s.
constexpr Millis ScheduleTimeWithCrashes{ScheduleTime + Millis{3 * 5 * 5000} +
                                         Millis{3 * 35000}};
/// Duration of a schedule with caps, which has twice as many jobs.
constexpr Millis ScheduleTimeWithCaps{ScheduleTime + Millis{30000}};
constexpr Millis ReportInterval{500};
constexpr Millis MaxCancelDelay{3000};
constexpr Millis KeyProbeInterval{50};
/// A capacity that has shrunk binds starts this long after it was reported, and
/// one report interval.
constexpr Millis ContactWindow{3000};
constexpr NodeId VoterCount = 3;
constexpr NodeId FrontendId = 100;
constexpr int WorkerCount = 4;
constexpr std::uint32_t MaxAttempts = 3;
constexpr std::int64_t TaskCpus = 1000;
constexpr int MaxLongRunningJobs = 2;
constexpr std::size_t MaxCrashingJobs = 3;
/// Crashes within `CrashWindow` of the start of a task, as the only suspect,
/// after which it may be given up.
constexpr std::uint32_t MinSoleCrashesToGiveUp = std::max(2U, MaxAttempts);
/// The leader sends a start up to 12 ms before it arrives, and notices a crash
/// up to 12 ms later, in steps of 5 ms. A start near the limit of
/// `SuspectWindow` may thus be within it for the leader.
constexpr Millis MaxNoticeDelay{40};
/// Crashes under a crashing task after which each start waits for a backoff of
/// at least `MinBackoff`. A leader may have missed one of them and then waits
/// 8 s; without a backoff it starts the task when the worker is back, after
/// 2 s to 5.3 s.
constexpr std::uint32_t MinCrashesToWait = 6;
constexpr Millis MinBackoff{6000};
/// Two crashes, or a crash and a cut, that are further apart than this have no
/// common cause for the leader, which notices them with some delay.
constexpr Millis CommonCauseWindow{1500};
/// A leader has attributed a crash after this time: the worker is down for up
/// to 5 s and reports 300 ms later.
constexpr Millis AttributionTime{6500};
constexpr std::int64_t WorkerCpus = 4 * TaskCpus;
/// Time for which members of a gang wait for the other members.
constexpr Millis GangTimeout{3000};

struct VoterState {
  MemoryFiles Files;
  std::optional<GroupStore> Store;
  std::unique_ptr<CellNode> Node;
  std::uint64_t Incarnation = 1;
  std::optional<PersistBatch> PendingWrite;
  Instant WriteEndsAt;
  Instant PausedUntil;
  Instant FrozenUntil; ///< Messages to it arrive then.
  Instant DownUntil;
  Instant PartitionedUntil;
  Instant DiskStalledUntil;
  Instant StopsAt; ///< When its process ends after a hand-over, if it is set.
  bool IsGone = false;
};

struct MessageInFlight {
  Instant DeliverAt;
  CellMessage Message;
};

struct OrderInFlight {
  Instant DeliverAt;
  NodeId From = 0;
  std::uint64_t ProcessGeneration = 0; ///< Of the sending node.
  std::string Worker;
  WorkerOrder Order;
  bool IsAnswered = true; ///< False for a delayed order.
  /// The connection is reset after the order was executed.
  bool LosesAnswer = false;
  /// Generation of the worker process when the order was sent.
  std::uint64_t WorkerGeneration = 0;
};

struct AnswerInFlight {
  Instant DeliverAt;
  NodeId To = 0;
  std::uint64_t ProcessGeneration = 0;
  OrderResult Result;
};

struct WorkerState {
  std::unique_ptr<FakeWorker> Worker;
  Instant PartitionedUntil;
  Instant DownUntil; ///< The process has crashed and starts again then.
  bool IsDown = false;
  Instant ResetUntil; ///< Its connections are reset until then.
  /// Times until which single nodes exchange nothing with this worker.
  std::map<NodeId, Instant> PathsCutUntil;
  Instant ReportAt;
  Instant ShrunkUntil;
  std::vector<std::pair<Instant, std::int64_t>>
      ReportedCpus; ///< Each reported capacity, with the first such report.
  std::uint64_t ProcessGeneration = 0;
  /// Generation of this worker that last answered each process of a node. The
  /// open connections of that process lead to it.
  std::map<std::pair<NodeId, std::uint64_t>, std::uint64_t> ConnectedGeneration;
  /// Node and process generation that wait for an answer, by order.
  std::map<std::uint64_t, std::pair<NodeId, std::uint64_t>> PendingRenewals;
};

/// A crash of a worker, a time without its orders and answers, or a change of
/// the leader, which has no worker.
struct Disturbance {
  Instant Begin;
  Instant End;
  std::string Worker;
  bool IsCrash = false;
};

/// Crash of a worker that had just started one task or gang only.
struct SoleCrash {
  std::string Worker;
  Instant StartedAt; ///< Earliest possible time of the start.
  Instant At;
  bool IsClear = false; ///< No other start was near the limit of the window.
};

/// One attempt of a gang, as its workers see it.
struct GangAttempt {
  Instant FirstSeenAt;
  std::optional<Instant> DoneAt; ///< Set once all members have started.
};

struct TrackedJob {
  JobSpec Spec;
  bool IsAccepted = false;
  bool IsCancelSent = false;
  std::optional<Instant> CancelledAt;
  std::optional<JobPhase> Phase;
  Instant PhaseReadAt; ///< When `Phase` was received.
};

/// A call of a caller without a reply.
struct OpenCallerCall {
  JobVerb Verb = JobVerb::Read;
  std::string Job;
  Instant SentAt;
};

class CellSimulation {
public:
  explicit CellSimulation(const CellScheduleOptions &Options)
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
    }
    LastLeader = 0;
    if (Options.Faults.contains(CellFault::ChangeKeys)) {
      Keys.emplace(Options.Seed, Options.Trap);
    }
  }

  CellScheduleResult run() {
    configure();
    while (Now < End) {
      Now += StepTime;
      if (Now < FaultsEnd) {
        injectFaults();
      }
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
    }
    checkFinalState();
    return Result;
  }

private:
  [[nodiscard]] std::int64_t sinceStart() const {
    return (Now - Instant{Millis{100000}}).count();
  }

  [[nodiscard]] WallTime wallNow() const {
    return WallTime{Now.time_since_epoch()};
  }

  void recordViolation(const std::string &Text) {
    Result.Violations.push_back(
        std::to_string((Now - Instant{Millis{100000}}).count()) +
        " ms: " + Text);
  }

  static Resources capacityOf(std::int64_t MilliCpus) {
    Resources Capacity;
    Capacity.MilliCpus = MilliCpus;
    Capacity.MemoryMb = 100;
    return Capacity;
  }

  static CellNodeOptions voterOptions(NodeId Id, std::uint64_t Incarnation,
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

  void startVoter(NodeId Id, bool IsBootstrapVoter) {
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
        voterOptions(Id, Voter.Incarnation, Rng.next()), std::move(Stored),
        Now);
    Voter.PendingWrite.reset();
    Voter.DownUntil = Instant{};
    ProcessGenerations[Id] += 1;
  }

  void configure() {
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

  [[nodiscard]] bool hasCaps() const {
    return Options.Faults.contains(CellFault::ChangeCap);
  }

  /// Changes the caps; raises them once the faults are over.
  void changeCaps() {
    if (!hasCaps() || (Now < FaultsEnd && Rng.below(300) != 0) ||
        AreCapsFinal) {
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

  // Faults.

  bool shouldInject(CellFault Kind, std::uint64_t OneIn) {
    return Options.Faults.contains(Kind) && Rng.below(OneIn) == 0;
  }

  /// Allows a fault only while no voter is down, paused or partitioned, because
  /// a group of three tolerates one failed voter.
  bool canInjectNodeFault() {
    return std::all_of(VotersById.begin(), VotersById.end(),
                       [this](const auto &Entry) {
                         const VoterState &Voter = Entry.second;
                         return Voter.IsGone ||
                                (Voter.Node && Now >= Voter.PausedUntil &&
                                 Now >= Voter.PartitionedUntil);
                       }) &&
           Now >= NextNodeFaultAt;
  }

  VoterState &randomVoter(NodeId &Id) {
    std::vector<NodeId> Present;
    for (const auto &[PresentId, Voter] : VotersById) {
      if (!Voter.IsGone) {
        Present.push_back(PresentId);
      }
    }
    Id = Present[Rng.below(Present.size())];
    return VotersById.at(Id);
  }

  Millis randomDuration(std::int64_t Min, std::int64_t Max) {
    return Millis{Min + static_cast<std::int64_t>(
                            Rng.below(static_cast<std::uint64_t>(Max - Min)))};
  }

  void crashVoter(VoterState &Voter, Millis Downtime) {
    Voter.Node.reset();
    Voter.Store.reset();
    Voter.PendingWrite.reset();
    Voter.Files.crash(Rng.below(40));
    Voter.DownUntil = Now + Downtime;
    Voter.StopsAt = Instant{};
  }

  void freezeVoter(NodeId Id, VoterState &Voter, Millis Time) {
    Voter.PausedUntil = Now + Time;
    Voter.FrozenUntil = Voter.PausedUntil;
    for (OrderInFlight &InFlight : Orders) {
      if (InFlight.From == Id && InFlight.IsAnswered && Rng.percent(50)) {
        InFlight.DeliverAt = Voter.FrozenUntil + randomDuration(1, 12);
      }
    }
  }

  void injectFaults() {
    injectNodeFaults();
    if (shouldInject(CellFault::ChangeKeys, 150) && !Keys->isOpen()) {
      Keys->change();
      configure();
    }
    const std::string Name = "w" + std::to_string(Rng.below(WorkerCount));
    WorkerState &State = Workers.at(Name);
    if (shouldInject(CellFault::PartitionWorker, 1200)) {
      State.PartitionedUntil = Now + randomDuration(300, 7000);
      Disturbances.push_back({Now, State.PartitionedUntil, Name, false});
    }
    if (shouldInject(CellFault::RestartWorker, 1500) && !State.IsDown) {
      restartWorker(Name, State);
      State.ReportAt = Now + randomDuration(0, 300);
    }
    if (shouldInject(CellFault::DrainWorker, 800) && !State.IsDown &&
        !Drains.contains(Name)) {
      beginDrain(Name, State);
    }
    if (shouldInject(CellFault::DelayOrders, 600)) {
      DelayOrdersUntil = Now + randomDuration(200, 1500);
    }
    if (shouldInject(CellFault::LoseMessages, 600)) {
      LoseMessagesUntil = Now + randomDuration(200, 1500);
    }
    if (shouldInject(CellFault::ShrinkWorker, 300)) {
      State.ShrunkUntil = Now + randomDuration(300, 9000);
      State.Worker->setCapacity(
          capacityOf(static_cast<std::int64_t>(Rng.below(4)) * TaskCpus));
    }
    if (shouldInject(CellFault::ResetConnections, 500)) {
      State.ResetUntil = Now + randomDuration(5, 3000);
      for (const auto &[Order, Sender] :
           std::exchange(State.PendingRenewals, {})) {
        sendReset(Sender.first, Sender.second, Order);
      }
    }
    if (shouldInject(CellFault::PartitionPath, 300)) {
      NodeId Id = 0;
      randomVoter(Id);
      State.PathsCutUntil[Id] = Now + randomDuration(300, 9000);
    }
    if (shouldInject(CellFault::CrashRack, 1200)) {
      const std::uint64_t FirstOfRack = Rng.below(2) * (WorkerCount / 2);
      for (std::uint64_t Index = 0; Index < WorkerCount / 2; ++Index) {
        const std::string Member = "w" + std::to_string(FirstOfRack + Index);
        if (!Workers.at(Member).IsDown) {
          crashWorker(Member, "rack");
        }
      }
    }
  }

  void restartWorker(const std::string &Name, WorkerState &State) {
    countCrash(Name, State);
    Drains.cancel(Name);
    State.Worker->restart(Now);
    State.ProcessGeneration += 1;
    State.PendingRenewals.clear();
  }

  /// Lets a worker drain, in half of the cases while its registration may not
  /// be committed yet.
  void beginDrain(const std::string &Name, WorkerState &State) {
    if (Rng.percent(50)) {
      restartWorker(Name, State);
      State.ReportAt = Now;
    }
    Drains.begin(Name, Now + randomDuration(0, 60));
  }

  /// Ends the process of a worker that has left; it starts again later.
  void endDrainedWorker(const std::string &Name) {
    WorkerState &State = Workers.at(Name);
    restartWorker(Name, State);
    State.IsDown = true;
    State.DownUntil = Now + randomDuration(500, 3000);
  }

  void countCrash(const std::string &Worker, const WorkerState &State) {
    Disturbances.push_back({Now, Now, Worker, true});
    for (const auto &[Task, Attempt] : State.Worker->running()) {
      Crashes[Task] += 1;
      LastCrashAt[Task] = Now;
    }
    for (const TaskName &Task : State.Worker->startedSince(Now - CrashWindow)) {
      if (isOnlySuspect(Task, State, CrashWindow)) {
        const bool IsClear =
            isOnlySuspect(Task, State, SuspectWindow + MaxNoticeDelay);
        SoleCrashes[Task].push_back({Worker, Now - CrashWindow, Now, IsClear});
      }
    }
  }

  /// Tells whether no other task or gang was started on a worker within a time.
  bool isOnlySuspect(const TaskName &Task, const WorkerState &State,
                     Millis Window) const {
    const std::vector<TaskName> Others =
        State.Worker->startedSince(Now - Window);
    return std::all_of(Others.begin(), Others.end(),
                       [&](const TaskName &Other) {
                         return Other == Task ||
                                (stepOf(Task).IsGang && Other.Job == Task.Job &&
                                 Other.Step == Task.Step);
                       });
  }

  /// Tells whether the leader must have counted a crash for the task: it saw
  /// the start, the crash and the return of the worker, and nothing else
  /// happened to any worker at that time.
  bool isCertain(const SoleCrash &Crash) const {
    return Crash.IsClear && Now > Crash.At + AttributionTime &&
           std::none_of(Disturbances.begin(), Disturbances.end(),
                        [&Crash](const Disturbance &Other) {
                          const bool IsItself = Other.IsCrash &&
                                                Other.Begin == Crash.At &&
                                                Other.Worker == Crash.Worker;
                          const bool IsNear =
                              Other.Begin - CommonCauseWindow <= Crash.At &&
                              Crash.At <= Other.End + CommonCauseWindow;
                          const bool IsInBetween =
                              Other.Begin <= Crash.At + AttributionTime &&
                              Crash.StartedAt <= Other.End + CommonCauseWindow;
                          const bool Concerns = Other.Worker.empty() ||
                                                Other.Worker == Crash.Worker;
                          return !IsItself &&
                                 (IsNear || (Concerns && IsInBetween));
                        });
  }

  /// Ends the process of a worker: its connections break, and connections to
  /// its address are refused until it starts again.
  void crashWorker(const std::string &Name, const std::string &Cause) {
    WorkerState &State = Workers.at(Name);
    countCrash(Name, State);
    Drains.cancel(Name);
    if (Options.IsTraced) {
      std::cout << sinceStart() << " worker crashed " << Name << " by " << Cause
                << ", running " << State.Worker->running().size() << '\n';
    }
    State.Worker->restart(Now);
    State.ProcessGeneration += 1;
    State.IsDown = true;
    State.DownUntil = Now + randomDuration(2000, 5000);
    if (Now >= State.PartitionedUntil) {
      for (const auto &[Order, Waiting] : State.PendingRenewals) {
        OrderResult Broken;
        Broken.Id = Order;
        sendAnswer(Waiting.first, Waiting.second, std::move(Broken));
      }
    }
    State.PendingRenewals.clear();
  }

  void crashIfDue(const std::string &Name, const WorkerState &State) {
    const auto Culprit = State.Worker->findDueCrash(Now);
    if (!Culprit) {
      return;
    }
    Result.TaskCrashes += 1;
    std::uint64_t &CrashesOfJob = TaskCrashesByJob[Culprit->Job];
    CrashesOfJob += 1;
    Result.MaxTaskCrashesOfJob =
        std::max(Result.MaxTaskCrashesOfJob, CrashesOfJob);
    crashWorker(Name, Culprit->Job + "." + std::to_string(Culprit->Step) + "." +
                          std::to_string(Culprit->Task));
  }

  void startCrashedWorker(const std::string &Name, WorkerState &State) {
    State.IsDown = false;
    if (Rng.percent(30)) {
      State.Worker->rename(Name + "-" +
                           std::to_string(State.ProcessGeneration));
    }
    State.Worker->restart(Now);
    State.ReportAt = Now + randomDuration(0, 300);
  }

  bool isCrashingTask(const TaskName &Task) const {
    return FakeWorker::crashesWorker(Jobs.at(Task.Job).Spec.Payload, Task);
  }

  bool isCrashingJob(const TrackedJob &Job) const {
    return Job.Spec.Payload.starts_with("crash");
  }

  /// Lets the workers grow again whose time is over.
  void restoreCapacities() {
    for (auto &[Name, State] : Workers) {
      if (State.ShrunkUntil != Instant{} && Now >= State.ShrunkUntil) {
        State.ShrunkUntil = Instant{};
        State.Worker->setCapacity(capacityOf(WorkerCpus));
      }
    }
  }

  void injectNodeFaults() {
    if (!canInjectNodeFault()) {
      return;
    }
    NodeId Id = 0;
    VoterState &Voter = randomVoter(Id);
    if (shouldInject(CellFault::KillNode, 500)) {
      crashVoter(Voter, randomDuration(50, 3000));
    } else if (shouldInject(CellFault::WipeNode, 1200)) {
      crashVoter(Voter, randomDuration(50, 2000));
      Voter.Files.wipe();
      Voter.Incarnation += 1000;
      NextNodeFaultAt = Now + Millis{6000};
    } else if (shouldInject(CellFault::ReplaceNode, 1500)) {
      crashVoter(Voter, Millis{1});
      Voter.IsGone = true;
      const NodeId NewId = NextVoterId;
      NextVoterId += 1;
      VotersById[NewId].Incarnation = 5000 + NewId;
      VotersById[NewId].DownUntil = Now + randomDuration(50, 1500);
      NextNodeFaultAt = Now + Millis{8000};
    } else if (shouldInject(CellFault::PauseNode, 600)) {
      Voter.PausedUntil = Now + randomDuration(200, 4000);
    } else if (shouldInject(CellFault::FreezeNode, 600)) {
      freezeVoter(Id, Voter, randomDuration(200, 9000));
    } else if (shouldInject(CellFault::PartitionNode, 600)) {
      Voter.PartitionedUntil = Now + randomDuration(200, 4000);
    } else if (shouldInject(CellFault::StallDisk, 600)) {
      Voter.DiskStalledUntil = Now + randomDuration(200, 3000);
    } else if (shouldInject(CellFault::HandOver, 600) &&
               Voter.StopsAt == Instant{}) {
      Voter.Node->beginShutdown(Now);
      Voter.StopsAt = Now + randomDuration(500, 4000);
    } else if (shouldInject(CellFault::PowerLoss, 1500)) {
      for (auto &[OtherId, OtherVoter] : VotersById) {
        if (!OtherVoter.IsGone) {
          crashVoter(OtherVoter, randomDuration(50, 1500));
        }
      }
    }
  }

  // Callers.

  void issueCalls() {
    if (Frontend->isReadyForCallers(Now) && Now < FaultsEnd &&
        Rng.below(hasCaps() ? 45 : 90) == 0) {
      submit();
    }
    if (shouldInject(CellFault::Cancel, 150) && !Jobs.empty() &&
        Now < FaultsEnd) {
      auto It = Jobs.begin();
      std::advance(It, static_cast<std::int64_t>(Rng.below(Jobs.size())));
      if (It->second.IsAccepted) {
        cancel(It->first, It->second);
      }
    }
    if (Now >= NextReadAt) {
      NextReadAt = Now + Millis{400};
      for (auto &[Name, Job] : Jobs) {
        const bool IsOpen = !Job.Phase || !isTerminal(*Job.Phase);
        if (Job.IsAccepted && IsOpen) {
          call(JobVerb::Read, Name, {});
        } else if (!Job.IsAccepted && Now > FaultsEnd) {
          call(JobVerb::Submit, Name, Job.Spec);
        }
      }
      retryCancels();
    }
    if (Keys && Now >= NextKeyProbeAt) {
      NextKeyProbeAt = Now + KeyProbeInterval;
      probeKey();
    }
  }

  /// Reads the queue with a key that may be invalid, through the frontend or
  /// through a voter, which may be a former leader.
  void probeKey() {
    NodeId Id = 0;
    VoterState &Voter = randomVoter(Id);
    const bool UsesVoter = Rng.percent(50) && Voter.Node;
    const std::string Key = Keys->randomKey();
    KeyProbes[NextCall] = {Key, Now};
    (UsesVoter ? *Voter.Node : *Frontend)
        .call(NextCall, JobCall{JobVerb::Read, "host", "/q/", {}, sha256(Key)},
              Now);
    NextCall += 1;
  }

  void checkKey(const std::string &Key, Instant SentAt, CellVerdict Verdict) {
    Result.KeyChecks += 1;
    const std::string Violation = Keys->check(Key, SentAt, Now, Verdict);
    if (!Violation.empty()) {
      recordViolation(Violation);
    }
  }

  void retryCancels() {
    for (auto &[Name, Job] : Jobs) {
      if (Job.IsCancelSent && !Job.CancelledAt) {
        call(JobVerb::Cancel, Name, {});
      }
    }
  }

  void call(JobVerb Verb, const std::string &Name, const JobSpec &Spec) {
    Calls[NextCall] = {Verb, Name, Now};
    JobCall Body{Verb, "host", "/q/" + Name, Spec};
    if (Keys) {
      Body.Key = sha256(KeyWorld::keyOf(Name));
    } else if (hasCaps()) {
      Body.Key = Caps.keyOf(Name);
    }
    Frontend->call(NextCall, std::move(Body), Now);
    NextCall += 1;
  }

  void submit() {
    const std::string Name = "j" + std::to_string(Jobs.size());
    JobSpec Spec;
    // 0: long-running, 1: speculative, 2: one task of a step per worker,
    // 3: gang, others: none of these.
    std::uint64_t JobKind = Rng.below(12);
    // Further long-running tasks would leave no capacity for the other jobs.
    JobKind =
        JobKind == 0 && LongRunningJobs == MaxLongRunningJobs ? 1 : JobKind;
    const bool IsCrashing = CrashingJobs < MaxCrashingJobs &&
                            shouldInject(CellFault::CrashingTask, 8);
    if (IsCrashing) {
      JobKind = Rng.percent(50) ? 1 : 4;
    }
    LongRunningJobs += JobKind == 0 ? 1 : 0;
    Spec.Payload = JobKind == 0 ? "lasting" : JobKind == 3 ? "gang" : "work";
    const std::uint64_t Steps = JobKind == 0 ? 1 : 1 + Rng.below(3);
    for (std::uint64_t Index = 0; Index < Steps; ++Index) {
      StepSpec Step;
      Step.Tasks = static_cast<std::uint32_t>(1 + Rng.below(4));
      Step.Need.MilliCpus = TaskCpus;
      Step.Estimate = FakeWorker::DefaultRunTime;
      Step.IsLongRunning = JobKind == 0;
      Step.IsSpeculative = JobKind == 1;
      if (JobKind == 2) {
        Step.MaxPerWorker = 1;
      }
      Step.IsGang = JobKind == 3;
      if (Index > 0) {
        Step.DependsOn.push_back(static_cast<std::uint32_t>(Index - 1));
      }
      Spec.Steps.push_back(Step);
    }
    if (IsCrashing) {
      CrashingJobs += 1;
      const std::uint64_t Step = Rng.below(Steps);
      Spec.Payload =
          Rng.percent(50)
              ? "crash"
              : "crash " + std::to_string(Step) + "." +
                    std::to_string(Rng.below(Spec.Steps[Step].Tasks));
    }
    Jobs[Name].Spec = Spec;
    Result.Submitted += 1;
    call(JobVerb::Submit, Name, Spec);
  }

  void cancel(const std::string &Name, TrackedJob &Job) {
    Job.IsCancelSent = true;
    call(JobVerb::Cancel, Name, {});
  }

  void onReplies(const std::vector<LocalReply> &Replies) {
    for (const LocalReply &Response : Replies) {
      if (Response.CallId == ConfigureId &&
          Response.Reply.Verdict != CellVerdict::Done) {
        configure();
        continue;
      }
      if (Response.CallId == ConfigureId) {
        Caps.onAcknowledged(Now);
      }
      if (Keys && Response.CallId == ConfigureId) {
        Keys->onAcknowledged(Now);
        ConfigureId = 0;
        continue;
      }
      if (const auto Left =
              Drains.onReply(Response.CallId, Response.Reply.Verdict, Now)) {
        endDrainedWorker(*Left);
        continue;
      }
      if (const auto Probe = KeyProbes.extract(Response.CallId)) {
        checkKey(Probe.mapped().first, Probe.mapped().second,
                 Response.Reply.Verdict);
        continue;
      }
      const auto It = Calls.find(Response.CallId);
      if (It != Calls.end()) {
        onReply(It->second, Response.Reply);
        Calls.erase(It);
      }
    }
  }

  void onReply(const OpenCallerCall &Call, const CellReply &Reply) {
    const std::string &Name = Call.Job;
    TrackedJob &Job = Jobs.at(Name);
    if (Keys) {
      checkKey(KeyWorld::keyOf(Name), Call.SentAt, Reply.Verdict);
    }
    if (Call.Verb == JobVerb::Submit) {
      Job.IsAccepted = Job.IsAccepted || Reply.Verdict == CellVerdict::Done;
      return;
    }
    if (Call.Verb == JobVerb::Cancel) {
      if (Reply.Verdict == CellVerdict::Done && !Job.CancelledAt) {
        Job.CancelledAt = Now;
      }
      return;
    }
    if (Reply.Verdict == CellVerdict::Gone) {
      recordViolation("accepted job " + Name + " is not known");
    }
    if (Reply.Verdict != CellVerdict::Done) {
      return;
    }
    const bool WasOver = Job.Phase && isTerminal(*Job.Phase);
    if (WasOver && *Job.Phase != Reply.Phase) {
      // Replies to reads that were open at the same time may arrive in any
      // order. Only a read that was sent after the job was seen over must show
      // it so, and no read may show another end.
      if (Call.SentAt > Job.PhaseReadAt || isTerminal(Reply.Phase)) {
        recordViolation("job " + Name + " was over and is " +
                        std::string{nameOf(Reply.Phase)});
      }
      return;
    }
    if (!WasOver) {
      Job.PhaseReadAt = Now;
    }
    Job.Phase = Reply.Phase;
    if (Reply.Phase == JobPhase::Completed) {
      checkCompleted(Name, Job);
    } else if (Reply.Phase == JobPhase::Failed) {
      checkFailed(Name, Job);
    }
  }

  /// Checks that a failed job has a task that failed as often as its queue
  /// allows, or that was as often the only one that workers had just started
  /// when they crashed. No other crash may fail a job.
  void checkFailed(const std::string &Name, const TrackedJob &Job) {
    if (!hasFailedEnough(Name, Job) && !hasCrashedEnough(Name, Job)) {
      recordViolation("job " + Name + " is failed without failures or crashes");
    }
  }

  /// Tells whether a task of a job ended as failed as often as its queue
  /// allows.
  bool hasFailedEnough(const std::string &Name, const TrackedJob &Job) {
    for (std::uint32_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
      std::uint32_t FailuresOfStep = 0;
      for (std::uint32_t Task = 0; Task < Job.Spec.Steps[Step].Tasks; ++Task) {
        // The failures of a gang count for all of its members.
        FailuresOfStep = (Job.Spec.Steps[Step].IsGang ? FailuresOfStep : 0) +
                         FailedEnds[{Name, 0, Step, Task}];
        if (FailuresOfStep >= MaxAttempts) {
          return true;
        }
      }
    }
    return false;
  }

  /// Tells whether enough workers crashed under a task of a job that was the
  /// only suspect.
  bool hasCrashedEnough(const std::string &Name, const TrackedJob &Job) {
    for (std::uint32_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
      for (std::uint32_t Task = 0; Task < Job.Spec.Steps[Step].Tasks; ++Task) {
        if (SoleCrashes[{Name, 0, Step, Task}].size() >=
            MinSoleCrashesToGiveUp) {
          return true;
        }
      }
    }
    return false;
  }

  void checkCompleted(const std::string &Name, const TrackedJob &Job) {
    for (std::uint32_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
      for (std::uint32_t Task = 0; Task < Job.Spec.Steps[Step].Tasks; ++Task) {
        if (!DoneTasks.contains({Name, 0, Step, Task})) {
          recordViolation("job " + Name + " is completed without task " +
                          std::to_string(Step) + "." + std::to_string(Task));
        }
      }
    }
  }

  // Messages and orders.

  bool isPartitioned(NodeId Id) const {
    const auto It = VotersById.find(Id);
    return It != VotersById.end() && Now < It->second.PartitionedUntil;
  }

  bool isMessageLost() { return Now < LoseMessagesUntil && Rng.percent(20); }

  void processOutput(NodeId From, std::uint64_t ProcessGeneration,
                     CellOutput Output) {
    for (CellMessage &Message : Output.Messages) {
      if (!isPartitioned(From) && !isPartitioned(Message.To) &&
          !isMessageLost()) {
        Network.push_back({Now + randomDuration(1, 12), std::move(Message)});
      }
    }
    for (WorkerOrder &Order : Output.Orders) {
      OrderInFlight InFlight;
      InFlight.DeliverAt = Now + randomDuration(1, 12);
      InFlight.From = From;
      InFlight.ProcessGeneration = ProcessGeneration;
      InFlight.Worker = Order.Address.substr(0, Order.Address.find(':'));
      if (Now < DelayOrdersUntil && Rng.percent(50)) {
        InFlight.DeliverAt = Now + randomDuration(2000, 12000);
        InFlight.IsAnswered = false;
      } else if (Now < Workers.at(InFlight.Worker).ResetUntil) {
        Deadlines[{From, ProcessGeneration, Order.Id}] = Now + Order.Timeout;
        if (Rng.percent(50)) {
          sendReset(From, ProcessGeneration, Order.Id);
          continue;
        }
        InFlight.LosesAnswer = true;
      }
      InFlight.WorkerGeneration = Workers.at(InFlight.Worker).ProcessGeneration;
      if (Order.NeedsOpenConnection &&
          Workers.at(InFlight.Worker)
                  .ConnectedGeneration[{From, ProcessGeneration}] !=
              InFlight.WorkerGeneration) {
        OrderResult Unsent;
        Unsent.Id = Order.Id;
        Unsent.Verdict = OrderVerdict::Unsent;
        Deadlines[{From, ProcessGeneration, Order.Id}] = Now + Order.Timeout;
        sendAnswer(From, ProcessGeneration, Unsent);
        continue;
      }
      Deadlines[{From, ProcessGeneration, Order.Id}] = Now + Order.Timeout;
      InFlight.Order = std::move(Order);
      Orders.push_back(std::move(InFlight));
    }
    if (Options.IsTraced) {
      for (const std::string &Line : Output.Events) {
        std::cout << (Now - Instant{Millis{100000}}).count() << " node=" << From
                  << ' ' << Line << '\n';
      }
    }
    onReplies(Output.Replies);
  }

  void deliver() {
    std::vector<MessageInFlight> Due;
    std::erase_if(Network, [&](MessageInFlight &InFlight) {
      if (InFlight.DeliverAt > Now) {
        return false;
      }
      Due.push_back(std::move(InFlight));
      return true;
    });
    for (const MessageInFlight &InFlight : Due) {
      if (InFlight.Message.To == FrontendId) {
        Frontend->receive(InFlight.Message, Now, wallNow());
        continue;
      }
      const auto It = VotersById.find(InFlight.Message.To);
      if (It != VotersById.end() && Now < It->second.FrozenUntil) {
        Network.push_back({It->second.FrozenUntil, InFlight.Message});
        continue;
      }
      const bool IsUp = It != VotersById.end() && It->second.Node &&
                        Now >= It->second.PausedUntil &&
                        !isPartitioned(It->first);
      if (IsUp) {
        It->second.Node->receive(InFlight.Message, Now, wallNow());
      }
    }
    deliverOrders();
    deliverAnswers();
  }

  void deliverOrders() {
    std::vector<OrderInFlight> Due;
    std::erase_if(Orders, [&](OrderInFlight &InFlight) {
      if (InFlight.DeliverAt > Now) {
        return false;
      }
      Due.push_back(std::move(InFlight));
      return true;
    });
    for (const OrderInFlight &InFlight : Due) {
      WorkerState &Target = Workers.at(InFlight.Worker);
      // An order that the worker process delays is lost when the process ends.
      const bool IsDiscarded =
          !InFlight.IsAnswered &&
          InFlight.WorkerGeneration != Target.ProcessGeneration;
      const bool IsPathCut = Now < Target.PathsCutUntil[InFlight.From];
      if (Now < Target.PartitionedUntil || IsPathCut || IsDiscarded) {
        continue;
      }
      if (Target.IsDown) {
        OrderResult Failed;
        Failed.Id = InFlight.Order.Id;
        Failed.Verdict = InFlight.WorkerGeneration == Target.ProcessGeneration
                             ? OrderVerdict::Unsent
                             : OrderVerdict::Unanswered;
        sendAnswer(InFlight.From, InFlight.ProcessGeneration,
                   std::move(Failed));
        continue;
      }
      auto Answer =
          Target.Worker->handleOrder(InFlight.Order, Now, !InFlight.IsAnswered);
      if (!InFlight.IsAnswered) {
        continue;
      }
      if (InFlight.LosesAnswer) {
        sendReset(InFlight.From, InFlight.ProcessGeneration, InFlight.Order.Id);
        continue;
      }
      std::uint64_t &Connected =
          Target
              .ConnectedGeneration[{InFlight.From, InFlight.ProcessGeneration}];
      if (Answer) {
        Answer->IsNewConnection = Connected != Target.ProcessGeneration;
      }
      Connected = Target.ProcessGeneration;
      if (Answer) {
        sendAnswer(InFlight.From, InFlight.ProcessGeneration,
                   std::move(*Answer));
      } else {
        Target.PendingRenewals[InFlight.Order.Id] = {
            InFlight.From, InFlight.ProcessGeneration};
      }
    }
  }

  /// Reports that the connection of an order was reset. Whether bytes were sent
  /// before does not show whether the worker executed the order; if none were,
  /// it did not.
  void sendReset(NodeId To, std::uint64_t ProcessGeneration,
                 std::uint64_t Order) {
    OrderResult Unanswered;
    Unanswered.Id = Order;
    sendAnswer(To, ProcessGeneration, Unanswered);
  }

  void sendAnswer(NodeId To, std::uint64_t ProcessGeneration,
                  OrderResult Answer) {
    Answers.push_back({Now + randomDuration(1, 12), To, ProcessGeneration,
                       std::move(Answer)});
  }

  void deliverAnswers() {
    for (const auto &[Key, Until] : std::map{Deadlines}) {
      if (Now >= Until) {
        OrderResult Unanswered;
        Unanswered.Id = std::get<2>(Key);
        deliverAnswer(std::get<0>(Key), std::get<1>(Key), Unanswered);
      }
    }
    std::vector<AnswerInFlight> Due;
    std::erase_if(Answers, [&](AnswerInFlight &InFlight) {
      if (InFlight.DeliverAt > Now) {
        return false;
      }
      Due.push_back(std::move(InFlight));
      return true;
    });
    for (const AnswerInFlight &InFlight : Due) {
      deliverAnswer(InFlight.To, InFlight.ProcessGeneration, InFlight.Result);
    }
  }

  void deliverAnswer(NodeId To, std::uint64_t ProcessGeneration,
                     const OrderResult &Answer) {
    if (Deadlines.erase({To, ProcessGeneration, Answer.Id}) == 0) {
      return;
    }
    const auto It = VotersById.find(To);
    if (It != VotersById.end() && It->second.Node &&
        ProcessGenerations.at(To) == ProcessGeneration) {
      if (Now < It->second.PausedUntil) {
        Deadlines[{To, ProcessGeneration, Answer.Id}] = It->second.PausedUntil;
        return;
      }
      It->second.Node->onOrderDone(Answer, Now, wallNow());
    }
  }

  // Nodes and workers.

  void stepVoter(NodeId Id, VoterState &Voter) {
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

  using GangKey = std::tuple<std::string, std::uint32_t, std::uint32_t>;
  using GangMembers = std::vector<std::pair<FakeWorker *, TaskName>>;

  /// Runs the gangs: the members of an attempt begin work once all of them have
  /// started, and end together.
  void stepGangs() {
    std::map<GangKey, GangMembers> Present;
    for (auto &[Name, State] : Workers) {
      for (const auto &[Task, Attempt] : State.Worker->running()) {
        if (stepOf(Task).IsGang) {
          Present[{Task.Job, Task.Step, Attempt}].emplace_back(
              State.Worker.get(), Task);
        }
      }
    }
    for (const auto &[Key, Members] : Present) {
      stepGang(Key, Members);
    }
    std::erase_if(Gangs, [&Present](const auto &Entry) {
      return !Present.contains(Entry.first);
    });
  }

  void stepGang(const GangKey &Key, const GangMembers &Members) {
    GangAttempt &Gang =
        Gangs.try_emplace(Key, GangAttempt{Now, {}}).first->second;
    const StepSpec &Step = stepOf(Members.front().second);
    const bool IsComplete = Members.size() == Step.Tasks;
    if (IsComplete && !Gang.DoneAt) {
      Gang.DoneAt = Now + FakeWorker::DefaultRunTime;
    } else if (IsComplete && Now >= *Gang.DoneAt) {
      const bool HasFailed = Rng.percent(5);
      for (const auto &[Worker, Task] : Members) {
        const bool IsCulprit = HasFailed && Task == Members.front().second;
        Worker->endIfRunning(Task, IsCulprit   ? EndKind::Failed
                                   : HasFailed ? EndKind::GangBroken
                                               : EndKind::Done);
      }
    } else if (!IsComplete &&
               (Gang.DoneAt || Now - Gang.FirstSeenAt > GangTimeout)) {
      for (const auto &[Worker, Task] : Members) {
        Worker->endIfRunning(Task, Gang.DoneAt ? EndKind::GangBroken
                                               : EndKind::GangTimedOut);
      }
    }
  }

  void stepWorkers() {
    stepGangs();
    for (auto &[Name, State] : Workers) {
      crashIfDue(Name, State);
      if (State.IsDown && Now >= State.DownUntil) {
        startCrashedWorker(Name, State);
      }
      if (!State.IsDown && Now >= State.PartitionedUntil) {
        reportIfDue(Name, State);
      }
      for (OrderResult &Answer : State.Worker->advance(Now)) {
        const auto RenewalIt = State.PendingRenewals.find(Answer.Id);
        if (RenewalIt != State.PendingRenewals.end() &&
            Now >= State.PartitionedUntil &&
            Now >= State.PathsCutUntil[RenewalIt->second.first]) {
          sendAnswer(RenewalIt->second.first, RenewalIt->second.second,
                     std::move(Answer));
        }
        if (RenewalIt != State.PendingRenewals.end()) {
          State.PendingRenewals.erase(RenewalIt);
        }
      }
      for (const WorkerEvent &Event : State.Worker->takeEvents()) {
        recordEvent(Name, Event);
      }
    }
  }

  void reportIfDue(const std::string &Name, WorkerState &State) {
    if (Now >= State.ReportAt || Drains.isFirstReportDue(Name, Now)) {
      State.ReportAt = Now + ReportInterval;
      WorkerReport Report = State.Worker->report(Now);
      Report.IsDraining = Drains.isDraining(Name, Now);
      noteReport(State, Report);
      if (Report.IsDraining) {
        Drains.onReportSent(Name, NextCall);
      }
      Frontend->call(NextCall, WorkerReportCall{Report}, Now);
      NextCall += 1;
    }
    if (Drains.isLeaveDue(Name, Now)) {
      Drains.onLeaveSent(Name, NextCall);
      Frontend->call(NextCall,
                     DeregisterWorkerCall{State.Worker->report(Now).Name}, Now);
      NextCall += 1;
    }
  }

  void noteReport(WorkerState &State, const WorkerReport &Report) {
    const std::int64_t MilliCpus = Report.Capacity.MilliCpus;
    if (State.ReportedCpus.empty() ||
        State.ReportedCpus.back().second != MilliCpus) {
      State.ReportedCpus.emplace_back(Now, MilliCpus);
    }
  }

  // Invariants.

  const StepSpec &stepOf(const TaskName &Task) const {
    return Jobs.at(Task.Job).Spec.Steps[Task.Step];
  }

  void recordEvent(const std::string &Worker, const WorkerEvent &Event) {
    const StepSpec &Step = stepOf(Event.Task);
    const std::string Text = Event.Task.Job + "." +
                             std::to_string(Event.Task.Step) + "." +
                             std::to_string(Event.Task.Task) + " attempt " +
                             std::to_string(Event.Attempt) + " on " + Worker;
    if (Options.IsTraced) {
      constexpr const char *Names[] = {"started", "ended", "acked-done",
                                       "acked-failed"};
      std::cout << (Now - Instant{Millis{100000}}).count() << " worker "
                << Names[static_cast<int>(Event.Kind)] << ' ' << Text
                << (Event.IsLate ? " late" : "") << '\n';
    }
    switch (Event.Kind) {
    case WorkerEvent::Type::Started:
      Result.Starts += 1;
      checkStart(Event, Step, Text);
      if (!Event.IsLate) {
        checkCapacityAtStart(Workers.at(Worker), Text);
        checkCapAtStart(Event.Task.Job);
        const std::string Violation = Drains.checkStart(Worker, Now);
        if (!Violation.empty()) {
          recordViolation(Violation + ", " + Text);
        }
      }
      break;
    case WorkerEvent::Type::Ended:
      if (Event.EndedAs == EndKind::Done) {
        DoneTasks.insert(Event.Task);
      } else if (Event.EndedAs == EndKind::Failed) {
        FailedEnds[Event.Task] += 1;
      }
      break;
    case WorkerEvent::Type::AckedDone:
      AckedDone[Event.Task] = Now;
      break;
    case WorkerEvent::Type::AckedFailed:
      AckedFailures[Event.Task] += 1;
      break;
    }
  }

  void checkStart(const WorkerEvent &Event, const StepSpec &Step,
                  const std::string &Text) {
    const auto AckedIt = AckedDone.find(Event.Task);
    // A copy of a speculative task may start up to a second after the task is
    // done. A delayed order to start a copy has no time limit.
    const Millis MaxDelay = Step.IsSpeculative ? Millis{1000} : Millis{0};
    const bool IsExempt =
        Step.IsLongRunning || (Step.IsSpeculative && Event.IsLate);
    if (AckedIt != AckedDone.end() && Now - AckedIt->second > MaxDelay &&
        !IsExempt) {
      recordViolation("start after its end was acknowledged: " + Text);
    }
    if (Step.IsGang) {
      checkGangStart(Event, Step, Text);
    }
    if (AckedFailures[Event.Task] >= MaxAttempts && !IsExempt) {
      recordViolation("start beyond the attempts: " + Text);
    }
    if (!Event.IsLate && isCrashingTask(Event.Task)) {
      checkStartOfCrashingTask(Event, Text);
    }
    for (const std::uint32_t Earlier : Step.DependsOn) {
      const auto &EarlierStep = Jobs.at(Event.Task.Job).Spec.Steps[Earlier];
      for (std::uint32_t Task = 0; Task < EarlierStep.Tasks; ++Task) {
        if (!DoneTasks.contains({Event.Task.Job, 0, Earlier, Task})) {
          recordViolation("start out of order: " + Text);
        }
      }
    }
    const auto &Cancelled = Jobs.at(Event.Task.Job).CancelledAt;
    if (Cancelled && Now - *Cancelled > MaxCancelDelay && !Event.IsLate) {
      recordViolation("start after the job was cancelled: " + Text);
    }
  }

  /// Checks that a task is not started again once enough workers crashed under
  /// it as the only suspect, and that it waits after any other crash.
  void checkStartOfCrashingTask(const WorkerEvent &Event,
                                const std::string &Text) {
    const auto &OfTask = SoleCrashes[Event.Task];
    const auto Certain = std::count_if(
        OfTask.begin(), OfTask.end(),
        [this](const SoleCrash &Crash) { return isCertain(Crash); });
    if (Certain >= MinSoleCrashesToGiveUp) {
      recordViolation("start after " + std::to_string(Certain) +
                      " workers crashed under it alone: " + Text);
    }
    if (Crashes[Event.Task] >= MinCrashesToWait &&
        Now - LastCrashAt[Event.Task] < MinBackoff) {
      recordViolation("start without a backoff after " +
                      std::to_string(Crashes[Event.Task]) +
                      " crashes: " + Text);
    }
  }

  /// Checks that the tasks on a worker, with those that are being stopped, need
  /// no more than the largest capacity that a start may still count on.
  void checkCapacityAtStart(const WorkerState &State, const std::string &Text) {
    const Instant BoundSince = Now - ContactWindow - ReportInterval;
    std::int64_t Allowed = 0;
    for (auto It = State.ReportedCpus.rbegin(); It != State.ReportedCpus.rend();
         ++It) {
      Allowed = std::max(Allowed, It->second);
      if (It->first <= BoundSince) {
        break;
      }
    }
    std::int64_t UsedMilliCpus = 0;
    for (const auto &[Task, Attempt] : State.Worker->running()) {
      UsedMilliCpus += stepOf(Task).Need.MilliCpus;
    }
    if (UsedMilliCpus > Allowed) {
      recordViolation("start over a capacity that has shrunk: " + Text);
    }
  }

  void checkCapAtStart(const std::string &Job) {
    if (!hasCaps()) {
      return;
    }
    std::map<std::string, std::int64_t> RunningTasks;
    for (const auto &[Name, State] : Workers) {
      for (const auto &[Task, Attempt] : State.Worker->running()) {
        RunningTasks[Task.Job] += 1;
      }
    }
    const std::string Violation = Caps.checkStart(Job, RunningTasks, Now);
    if (!Violation.empty()) {
      recordViolation(Violation);
    }
  }

  /// Checks that no member starts after the end of another member was
  /// acknowledged, and that members of two attempts never run at once.
  void checkGangStart(const WorkerEvent &Event, const StepSpec &Step,
                      const std::string &Text) {
    TaskName Member = Event.Task;
    for (Member.Task = 0; Member.Task < Step.Tasks; ++Member.Task) {
      if (AckedDone.contains(Member)) {
        recordViolation("start of a gang that is done: " + Text);
      }
    }
    for (const auto &[Name, State] : Workers) {
      for (const auto &[Task, Attempt] : State.Worker->running()) {
        if (Task.Job == Event.Task.Job && Task.Step == Event.Task.Step &&
            Attempt != Event.Attempt) {
          recordViolation("two runs of a gang at once: " + Text);
        }
      }
    }
  }

  void checkWorkers() {
    std::map<TaskName, std::string> Running;
    for (const auto &[Name, State] : Workers) {
      std::map<std::pair<std::string, std::uint32_t>, std::uint32_t>
          TasksOfStep;
      std::int64_t UsedMilliCpus = 0;
      for (const auto &[Task, Attempt] : State.Worker->running()) {
        const StepSpec &Step = stepOf(Task);
        UsedMilliCpus += Step.Need.MilliCpus;
        const auto Inserted = Running.emplace(Task, Name);
        if (!Inserted.second && !Step.IsSpeculative) {
          recordViolation("runs twice: " + Task.Job + "." +
                          std::to_string(Task.Step) + "." +
                          std::to_string(Task.Task) + " on " + Name + " and " +
                          Inserted.first->second);
        }
        TasksOfStep[{Task.Job, Task.Step}] += 1;
        if (Step.MaxPerWorker != 0 &&
            TasksOfStep[{Task.Job, Task.Step}] > Step.MaxPerWorker) {
          recordViolation("too many tasks of a step on " + Name);
        }
      }
      if (UsedMilliCpus > WorkerCpus) {
        recordViolation("overcommitted: " + Name);
      }
    }
  }

  void checkFinalState() {
    for (const auto &[Name, Job] : Jobs) {
      if (!Job.IsAccepted) {
        recordViolation("job " + Name + " was never accepted");
        continue;
      }
      const bool IsLongRunning = Job.Spec.Steps.front().IsLongRunning;
      const bool IsTerminal = Job.Phase && isTerminal(*Job.Phase);
      Result.Completed +=
          Job.Phase && *Job.Phase == JobPhase::Completed ? 1 : 0;
      if (Job.Phase && !isCrashingJob(Job) && *Job.Phase == JobPhase::Failed) {
        Result.FailedBystanders += 1;
        Result.BystandersFailedByCrashes += hasFailedEnough(Name, Job) ? 0 : 1;
      }
      if (!IsTerminal && !IsLongRunning && !Job.CancelledAt) {
        recordViolation("job " + Name +
                        " is not done: " + describeUnfinished(Name, Job));
      }
      if (IsLongRunning && !Job.CancelledAt) {
        checkLongRunning(Name, Job);
      }
    }
  }

  /// Tells whether an unfinished job crashes workers, and how its tasks met
  /// crashes.
  std::string describeUnfinished(const std::string &Name,
                                 const TrackedJob &Job) const {
    std::uint32_t Met = 0;
    std::size_t Sole = 0;
    Instant LastAt{};
    for (const auto &[Task, Count] : Crashes) {
      if (Task.Job == Name) {
        Met += Count;
        LastAt = std::max(LastAt, LastCrashAt.at(Task));
      }
    }
    for (const auto &[Task, Counted] : SoleCrashes) {
      Sole += Task.Job == Name ? Counted.size() : 0;
    }
    std::string Text = isCrashingJob(Job) ? "crashes workers" : "sound";
    Text += ", " + std::to_string(Met) + " crashes met";
    if (Met != 0) {
      Text += ", " + std::to_string(Sole) + " as the only suspect, the last " +
              std::to_string((Now - LastAt).count()) + " ms ago";
    }
    return Text;
  }

  /// Checks that the tasks of a long-running job run, unless all workers are
  /// full.
  void checkLongRunning(const std::string &Name, const TrackedJob &Job) {
    std::size_t RunningOfJob = 0;
    std::size_t RunningTasks = 0;
    for (const auto &[Worker, State] : Workers) {
      for (const auto &[Task, Attempt] : State.Worker->running()) {
        RunningTasks += 1;
        RunningOfJob += Task.Job == Name ? 1 : 0;
      }
    }
    const bool HasCapacity = RunningTasks < std::size_t{4} * WorkerCount;
    if (HasCapacity && RunningOfJob < Job.Spec.Steps.front().Tasks) {
      recordViolation("lasting job " + Name + " does not run");
    }
  }

  CellScheduleOptions Options;
  Random Rng;
  Instant Now{Millis{100000}};
  Instant FaultsEnd{Now + FaultPeriod};
  Instant End{Now + (Options.Faults.contains(CellFault::CrashingTask)
                         ? ScheduleTimeWithCrashes
                     : hasCaps() ? ScheduleTimeWithCaps
                                 : ScheduleTime)};
  std::map<NodeId, VoterState> VotersById;
  std::map<NodeId, std::uint64_t> ProcessGenerations;
  NodeId NextVoterId = VoterCount + 1;
  std::unique_ptr<CellNode> Frontend;
  std::map<std::string, WorkerState> Workers;
  std::vector<MessageInFlight> Network;
  std::vector<OrderInFlight> Orders;
  std::vector<AnswerInFlight> Answers;
  /// Times by which orders must be answered, by node, process generation and
  /// order.
  std::map<std::tuple<NodeId, std::uint64_t, std::uint64_t>, Instant> Deadlines;
  Instant DelayOrdersUntil;
  Instant LoseMessagesUntil;
  Instant NextNodeFaultAt{Now + Millis{2000}};
  Instant NextReadAt;
  std::map<std::string, TrackedJob> Jobs;
  std::map<std::uint64_t, OpenCallerCall> Calls;
  std::uint64_t NextCall = 1;
  int LongRunningJobs = 0;
  std::uint64_t ConfigureId = 0;
  std::uint64_t ConfigurationVersion = 1;
  CapSchedule Caps{TaskCpus, Options.IsCapTrap};
  bool AreCapsFinal = false;
  DrainSchedule Drains;
  std::optional<KeyWorld> Keys; ///< Set if callers need keys.
  /// Key and time of the open calls that only check a key, by call.
  std::map<std::uint64_t, std::pair<std::string, Instant>> KeyProbes;
  Instant NextKeyProbeAt;
  NodeId LastLeader = 0;
  std::map<GangKey, GangAttempt> Gangs;
  std::set<TaskName> DoneTasks;
  std::map<TaskName, Instant> AckedDone;
  std::map<TaskName, std::uint32_t> AckedFailures;
  std::map<TaskName, std::uint32_t> FailedEnds;
  std::size_t CrashingJobs = 0;
  /// Workers that crashed while the task ran there.
  std::map<TaskName, std::uint32_t> Crashes;
  /// Those of them that happened shortly after its start, with no other start.
  std::map<TaskName, std::vector<SoleCrash>> SoleCrashes;
  std::map<TaskName, Instant> LastCrashAt;
  std::vector<Disturbance> Disturbances;
  std::map<std::string, std::uint64_t> TaskCrashesByJob;
  CellScheduleResult Result;
};

} // namespace

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
  return Faults;
}

CellScheduleResult runCellSchedule(const CellScheduleOptions &Options) {
  return CellSimulation{Options}.run();
}

} // namespace mulberryramp::test
