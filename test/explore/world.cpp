#include "explore/world.hpp"

#include "mulberryramp/core/names.hpp"

#include <algorithm>
#include <sstream>
#include <xxhash.h>

namespace mulberryramp::test {

namespace {

// Virtual time. Faults are injected until FaultsEndMs, then all are healed. The
// schedule ends between EarliestEndMs and LatestEndMs.
constexpr std::int64_t FaultsEndMs = 16000;
constexpr std::int64_t EarliestEndMs = 34000;
constexpr std::int64_t LatestEndMs = 150000;
constexpr std::int64_t StepIntervalMs = 20;
constexpr std::int64_t WorkerTickIntervalMs = 20;
constexpr std::int64_t PollTimeoutMs = 1200;
constexpr std::int64_t CallTimeoutMs = 8000;
constexpr std::int64_t WallClockStartMs = 1'700'000'000'000;
constexpr std::size_t MaxViolations = 5;

struct SimulatedDaemon {
  NodeId Id = 0;
  std::string Centre;
  bool HasDisk = false;
  MemoryFiles Files;
  std::unique_ptr<Node> Core;
  std::uint64_t Incarnation = 1;
  std::uint64_t StartCount = 0;
  std::int64_t PausedUntil = 0;
  std::int64_t DriftPermille = 0;
  std::int64_t ClockOffsetMs = 0;
  std::int64_t WallClockSkewMs = 0;
  std::vector<std::function<void()>> Inbox;
  Revision LastRevision = 0;
  /// Last applied index that was checked, by group.
  std::map<std::string, LogIndex> CheckedIndexes;
};

struct SimulatedWorker {
  std::string Name;
  std::string Centre;
  std::string Rack;
  Resources Capacity;
  std::unique_ptr<WorkerCore> Core;
  std::uint64_t Incarnation = 1;
  std::int64_t PausedUntil = 0;
  std::int64_t DriftPermille = 0;
  std::int64_t RetryAt = 0;
  std::size_t DaemonIndex = 0;
  std::vector<NodeId> Daemons;
  WorkerFaults Faults;
};

/// A poll that a worker has sent and that has no answer yet.
struct OpenPoll {
  std::size_t Worker = 0;
  std::uint64_t Number = 0;
  std::uint64_t Incarnation = 0;
};

/// The state of a request as its client knows it.
struct ClientRequest {
  RequestSpec Spec;
  std::string Home;
  bool IsAccepted = false;
  bool IsCancelled = false;
  std::optional<Outcome> LastOutcome;
  std::int64_t FirstFinalAt = 0; ///< Time of the first final outcome.
  std::uint32_t SendCount = 0;
};

struct OpenChange {
  RulesApplyCall Call;
  std::optional<ChangeRecord> FirstRecord;
};

struct ScheduledEvent {
  std::int64_t At = 0;
  std::uint64_t Sequence = 0;
  std::function<void()> Run;

  bool operator<(const ScheduledEvent &Other) const {
    return At != Other.At ? At > Other.At : Sequence > Other.Sequence;
  }
};

struct TaskKey {
  std::string Key;
  std::uint32_t Ordinal = 0;
  auto operator<=>(const TaskKey &) const = default;
};

using GroupMember = mulberryramp::Member;

class Simulation {
public:
  explicit Simulation(const ScheduleOptions &Options)
      : Options{Options}, Rng{Options.Seed * 0x9E3779B97F4A7C15ULL + 7} {
    buildDeployment();
    startAll();
  }

  ScheduleResult run() {
    scheduleEvery(StepIntervalMs, [this] { stepAll(); });
    scheduleEvery(WorkerTickIntervalMs, [this] { tickWorkers(); });
    scheduleClients();
    scheduleFaults();
    after(FaultsEndMs, [this] { healFaults(); });
    while (!Events.empty() && !isScheduleFinished() &&
           Result.Violations.size() < MaxViolations) {
      const ScheduledEvent Next = Events.top();
      Events.pop();
      Time = Next.At;
      Next.Run();
    }
    finalChecks();
    return std::move(Result);
  }

private:
  /// Reports whether the schedule ends: once all accepted requests except
  /// services have an outcome, but not before EarliestEndMs, and at
  /// LatestEndMs in any case.
  bool isScheduleFinished() const {
    const std::int64_t Next = Events.top().At;
    const bool AllFinished =
        std::all_of(Requests.begin(), Requests.end(), [](const auto &Pair) {
          const ClientRequest &Submitted = Pair.second;
          return !Submitted.IsAccepted ||
                 Submitted.Spec.Kind == WorkKind::Service ||
                 (Submitted.LastOutcome &&
                  *Submitted.LastOutcome != Outcome::Pending);
        });
    return Next > LatestEndMs || (Next > EarliestEndMs && AllFinished);
  }

  // Virtual time and events.
  void after(std::int64_t Delay, std::function<void()> Run) {
    Events.push({Time + Delay, NextSequence, std::move(Run)});
    NextSequence += 1;
  }

  void scheduleEvery(std::int64_t Interval, const std::function<void()> &Run) {
    after(Interval, [this, Interval, Run] {
      Run();
      scheduleEvery(Interval, Run);
    });
  }

  Instant localNow(std::int64_t DriftPermille,
                   std::int64_t ClockOffsetMs) const {
    return Instant{
        Millis{100000 + ClockOffsetMs + Time + Time * DriftPermille / 1000}};
  }

  Instant nowOf(const SimulatedDaemon &Daemon) const {
    return localNow(Daemon.DriftPermille, Daemon.ClockOffsetMs);
  }

  Instant nowOf(const SimulatedWorker &Worker) const {
    return localNow(Worker.DriftPermille, 0);
  }

  WallTime wallClockOf(const SimulatedDaemon &Daemon) const {
    return WallTime{Millis{WallClockStartMs + Time + Daemon.WallClockSkewMs}};
  }

  void trace(const std::string &Line) {
    if (Options.IsTraced) {
      Result.Trace.push_back(std::to_string(Time) + " ms  " + Line);
    }
  }

  void violate(Invariant Violated, const std::string &Text) {
    if (Options.Checked.contains(Violated) &&
        Result.Violations.size() < MaxViolations) {
      Result.Violations.push_back({Violated, Time, Text});
      trace("VIOLATION " + std::string{nameOf(Violated)} + ": " + Text);
    }
  }

  // Deployment.
  void addNode(const std::string &Centre, const std::string &Region, bool Disk,
               const std::string &WitnessFor = "") {
    NodeSettings Node;
    Node.Id = static_cast<NodeId>(Deployment.Nodes.size() + 1);
    Node.Centre = Centre;
    Node.Region = Region;
    Node.HasDisk = Disk;
    Node.WitnessFor = WitnessFor;
    Node.Peer = {"127.0.0.1", static_cast<std::uint16_t>(1000 + Node.Id)};
    Node.Http = {"127.0.0.1", static_cast<std::uint16_t>(2000 + Node.Id)};
    Deployment.Nodes.push_back(Node);
  }

  void buildDeployment() {
    Deployment.Timing.WorkerLease = Millis{2000};
    Deployment.Timing.WorkerWait = Millis{500};
    Deployment.Timing.SnapshotThreshold = Rng.percent(50) ? 24 : 512;
    switch (Rng.below(4)) {
    case 0:
      addNode("a", "r1", true);
      addNode("a", "r1", false);
      addNode("a", "r1", false);
      break;
    case 1:
      addNode("a", "r1", true);
      addNode("a", "r1", true);
      addNode("a", "r1", true);
      break;
    case 2:
      addNode("a", "r1", true);
      addNode("a", "r1", true);
      addNode("a", "r1", false);
      addNode("b", "r2", true);
      addNode("b", "r2", false);
      addNode("c", "r3", true, "b");
      addNode("c", "r3", false);
      break;
    default:
      for (const char *Centre : {"a", "b", "c"}) {
        addNode(Centre, std::string{"r"} + Centre, true);
        addNode(Centre, std::string{"r"} + Centre, false);
        addNode(Centre, std::string{"r"} + Centre, Rng.percent(50));
      }
      break;
    }
    Centres = centresOf(Deployment);
  }

  void startAll() {
    const bool Drifts = Options.Faults.contains(Fault::ClockDrift);
    for (const NodeSettings &Node : Deployment.Nodes) {
      auto &Daemon = Daemons[Node.Id];
      Daemon.Id = Node.Id;
      Daemon.Centre = Node.Centre;
      Daemon.HasDisk = Node.HasDisk;
      Daemon.ClockOffsetMs = static_cast<std::int64_t>(Rng.below(50000));
      if (Drifts) {
        Daemon.DriftPermille = static_cast<std::int64_t>(Rng.below(61)) - 30;
        Daemon.WallClockSkewMs =
            static_cast<std::int64_t>(Rng.below(2001)) - 1000;
      }
      if (Node.HasDisk) {
        Settings Config = Deployment;
        Config.Self = Node.Id;
        (void)Node::bootstrap(Config, Daemon.Files);
      } else {
        Daemon.Incarnation = freshIncarnation();
      }
      startDaemon(Daemon);
    }
    for (const std::string &Centre : Centres) {
      const std::uint64_t Count = 2 + Rng.below(3);
      for (std::uint64_t Index = 0; Index < Count; ++Index) {
        addWorker(Centre, Index, Drifts);
      }
    }
  }

  using NodeClass = mulberryramp::Node;

  std::uint64_t freshIncarnation() {
    NextIncarnation += 1;
    return NextIncarnation;
  }

  void startDaemon(SimulatedDaemon &Daemon) {
    Settings Config = Deployment;
    Config.Self = Daemon.Id;
    auto Started =
        NodeClass::start(Config, Daemon.HasDisk ? &Daemon.Files : nullptr,
                         Daemon.Incarnation, Rng.next(), nowOf(Daemon));
    if (!Started) {
      violate(Invariant::Progress,
              "daemon " + std::to_string(Daemon.Id) +
                  " cannot start: " + Started.error().Text);
      return;
    }
    Daemon.Core = std::move(*Started);
    Daemon.StartCount += 1;
    Daemon.CheckedIndexes.clear();
    Daemon.PausedUntil = 0;
    if (!Daemon.HasDisk) {
      Daemon.LastRevision = 0;
    }
  }

  void addWorker(const std::string &Centre, std::uint64_t Index, bool Drifts) {
    SimulatedWorker Worker;
    Worker.Name = Centre + "-w" + std::to_string(Index);
    Worker.Centre = Centre;
    Worker.Rack = "rack-" + std::to_string(Index % 2);
    Worker.Capacity = {4000 + static_cast<std::int64_t>(Rng.below(3)) * 2000,
                       8192, static_cast<std::int64_t>(Rng.below(2)), 4, 64};
    if (Drifts) {
      Worker.DriftPermille = static_cast<std::int64_t>(Rng.below(61)) - 30;
    }
    Worker.Faults.SplitsAnswers = Rng.percent(40);
    Worker.Faults.FailsEverything = Rng.percent(8);
    Worker.Faults.RefusesEverything = Rng.percent(5);
    for (const NodeSettings &Node : Deployment.Nodes) {
      if (Node.Centre == Centre) {
        Worker.Daemons.push_back(Node.Id);
      }
    }
    Workers.push_back(std::move(Worker));
    startWorker(Workers.back());
  }

  void startWorker(SimulatedWorker &Worker) {
    Worker.Incarnation = freshIncarnation();
    Worker.Core =
        std::make_unique<WorkerCore>(Worker.Name, Worker.Centre, Worker.Rack,
                                     Worker.Capacity, Worker.Incarnation);
    Worker.Core->Faults = Worker.Faults;
  }

  // Network.
  std::int64_t delayBetween(const std::string &From, const std::string &To) {
    std::int64_t Delay = From == To ? 1 : 8;
    Delay += static_cast<std::int64_t>(Rng.below(3));
    if (LossPercent != 0 && Rng.percent(10)) {
      Delay += static_cast<std::int64_t>(Rng.below(300));
    }
    return Delay;
  }

  bool isLost(NodeId From, NodeId To) {
    return PartitionedLinks.contains({From, To}) ||
           (LossPercent != 0 && Rng.percent(LossPercent));
  }

  void deliver(SimulatedDaemon &Daemon, const std::function<void()> &Run) {
    if (!Daemon.Core) {
      return;
    }
    if (Time < Daemon.PausedUntil) {
      Daemon.Inbox.push_back(Run);
      return;
    }
    Run();
  }

  void sendMessage(const PeerMessage &Message) {
    const auto DaemonIt = Daemons.find(Message.To);
    if (DaemonIt == Daemons.end() || isLost(Message.From, Message.To)) {
      return;
    }
    const std::int64_t Delay =
        delayBetween(Daemons[Message.From].Centre, DaemonIt->second.Centre);
    const auto Arrive = [this, Message] {
      SimulatedDaemon &To = Daemons[Message.To];
      deliver(To, [this, &To, Message] {
        if (To.Core) {
          To.Core->receive(Message, nowOf(To), wallClockOf(To));
        }
      });
    };
    after(Delay, Arrive);
    if (LossPercent != 0 && Rng.percent(5)) {
      after(Delay + static_cast<std::int64_t>(Rng.below(200)), Arrive);
    }
  }

  // Daemons.
  void stepAll() {
    for (auto &[Id, Daemon] : Daemons) {
      if (!Daemon.Core || Time < Daemon.PausedUntil) {
        continue;
      }
      for (auto &Run : std::exchange(Daemon.Inbox, {})) {
        Run();
      }
      step(Daemon);
    }
    checkLeaders();
    checkRuns();
  }

  void step(SimulatedDaemon &Daemon) {
    Result.Steps += 1;
    auto Output = Daemon.Core->step(nowOf(Daemon), wallClockOf(Daemon));
    if (!Output) {
      trace("daemon " + std::to_string(Daemon.Id) +
            " stops: " + Output.error().Text);
      killDaemon(Daemon, false);
      return;
    }
    if (Options.Faults.contains(Fault::PauseDaemon) && Time < FaultsEndMs &&
        Rng.below(2000) == 0) {
      pauseBeforeSending(Daemon, *Output);
      return;
    }
    checkDaemon(Daemon);
    sendOutput(Daemon, *Output);
  }

  void sendOutput(SimulatedDaemon &Daemon, const NodeOutput &Output) {
    for (const PeerMessage &Message : Output.Messages) {
      sendMessage(Message);
    }
    for (const CompletedPoll &Done : Output.Polls) {
      answerPoll(Daemon, Done);
    }
    for (const LocalResult &Done : Output.Results) {
      answerCall(Daemon, Done);
    }
  }

  /// Pauses a daemon after it made its decisions and before it sends them.
  /// The output is sent late, unless the daemon was killed in the meantime.
  void pauseBeforeSending(SimulatedDaemon &Daemon, const NodeOutput &Output) {
    const auto Length = static_cast<std::int64_t>(500 + Rng.below(4000));
    Daemon.PausedUntil = Time + Length;
    trace("pause daemon " + std::to_string(Daemon.Id) + " before sending for " +
          std::to_string(Length));
    const std::uint64_t ExpectedStartCount = Daemon.StartCount;
    after(Length, [this, &Daemon, Output, ExpectedStartCount] {
      if (Daemon.Core && Daemon.StartCount == ExpectedStartCount) {
        sendOutput(Daemon, Output);
      }
    });
  }

  void answerPoll(SimulatedDaemon &Daemon, const CompletedPoll &Done) {
    const auto PollIt = OpenPolls.find(Done.PollId);
    if (PollIt == OpenPolls.end()) {
      return;
    }
    const OpenPoll Poll = PollIt->second;
    OpenPolls.erase(PollIt);
    const CompletedPoll Sent = checkLeaseBeforeSend(Done, nowOf(Daemon));
    if (LossPercent != 0 && Rng.percent(LossPercent)) {
      return;
    }
    after(1 + static_cast<std::int64_t>(Rng.below(3)),
          [this, Poll, Sent] { handleReply(Poll, Sent.Reply); });
  }

  // Workers.
  bool isAlive(const OpenPoll &Poll) const {
    const SimulatedWorker &Worker = Workers[Poll.Worker];
    return Worker.Core && Worker.Incarnation == Poll.Incarnation;
  }

  void handleReply(const OpenPoll &Poll, const WorkerReply &Reply) {
    SimulatedWorker &Worker = Workers[Poll.Worker];
    const std::uint64_t Number = Poll.Number;
    if (!isAlive(Poll) || Time < Worker.PausedUntil) {
      return;
    }
    if (Number == Worker.Core->newestPoll() &&
        Reply.Verdict != PollVerdict::Accepted) {
      Worker.RetryAt = Time + 50;
      if (Reply.Verdict == PollVerdict::NotLeader) {
        Worker.DaemonIndex += 1;
      }
    }
    Worker.Core->handleReply(Number, Reply, nowOf(Worker));
  }

  void tickWorkers() {
    for (std::size_t Index = 0; Index < Workers.size(); ++Index) {
      SimulatedWorker &Worker = Workers[Index];
      if (!Worker.Core || Time < Worker.PausedUntil) {
        continue;
      }
      Worker.Core->tick(nowOf(Worker));
      const bool IsDue = !Worker.Core->isPollOpen() || Worker.Core->wantsPoll();
      if (IsDue && Time >= Worker.RetryAt) {
        sendPoll(Index);
      }
    }
  }

  void sendPoll(std::size_t Index) {
    SimulatedWorker &Worker = Workers[Index];
    const WorkerPoll Poll = Worker.Core->makePoll(nowOf(Worker));
    const std::uint64_t Number = Worker.Core->newestPoll();
    const NodeId To =
        Worker.Daemons[Worker.DaemonIndex % Worker.Daemons.size()];
    const std::uint64_t PollId = NextPoll;
    NextPoll += 1;
    const OpenPoll Open{Index, Number, Worker.Incarnation};
    OpenPolls[PollId] = Open;
    after(PollTimeoutMs, [this, Open, PollId] {
      SimulatedWorker &Poller = Workers[Open.Worker];
      OpenPolls.erase(PollId);
      if (isAlive(Open) && Poller.Core->isPollOpen() &&
          Poller.Core->newestPoll() == Open.Number) {
        Poller.Core->pollFailed(Open.Number);
        Poller.DaemonIndex += 1;
      }
    });
    if (LossPercent != 0 && Rng.percent(LossPercent)) {
      return;
    }
    after(1 + static_cast<std::int64_t>(Rng.below(3)), [this, To, PollId,
                                                        Poll] {
      SimulatedDaemon &Daemon = Daemons[To];
      deliver(Daemon, [this, &Daemon, PollId, Poll] {
        if (Daemon.Core) {
          Daemon.Core->poll(PollId, Poll, nowOf(Daemon), wallClockOf(Daemon));
        }
      });
    });
  }

  // Clients.
  void scheduleClients() {
    const std::uint64_t Count = 15 + Rng.below(25);
    for (std::uint64_t Index = 0; Index < Count; ++Index) {
      const auto At = static_cast<std::int64_t>(500 + Rng.below(FaultsEndMs));
      after(At, [this, Index] { submitNew(Index); });
    }
    const std::uint64_t Changes = 3 + Rng.below(8);
    for (std::uint64_t Index = 0; Index < Changes; ++Index) {
      const auto At = static_cast<std::int64_t>(1000 + Rng.below(FaultsEndMs));
      after(At, [this, Index] { submitConcurrentChanges(Index); });
    }
  }

  void submitNew(std::uint64_t Index) {
    ClientRequest Submitted;
    RequestSpec &Spec = Submitted.Spec;
    Spec.Customer = Rng.percent(50) ? "franchise" : "iftar";
    Spec.Team = "team-" + std::to_string(Rng.below(3));
    Spec.Key = "k" + std::to_string(Index);
    Spec.ClassName = "normal";
    Spec.IsIdempotent = Rng.percent(60);
    Spec.IssuedAt = WallTime{Millis{WallClockStartMs + Time}};
    Spec.Need = {1000 + static_cast<std::int64_t>(Rng.below(3)) * 1000, 1024, 0,
                 1, 0};
    Spec.Payload = "run-ms=" + std::to_string(50 + Rng.below(1500));
    if (Spec.IsIdempotent && Rng.percent(30)) {
      Spec.Kind = Rng.percent(50) ? WorkKind::Gang : WorkKind::Service;
      Spec.TaskCount = 1 + static_cast<std::uint32_t>(Rng.below(3));
    }
    if (Rng.percent(5)) {
      Spec.Need.MilliCpus = 1'000'000;
      Spec.StartBy = WallTime{Millis{WallClockStartMs + Time + 3000}};
    }
    if (Rng.percent(5)) {
      Spec.ClassName = "no-such-class";
    }
    Submitted.Home = homeOf(Centres, Spec.Customer, Spec.Key);
    Requests[Spec.Key] = std::move(Submitted);
    sendSubmit("k" + std::to_string(Index));
    if (Rng.percent(15)) {
      after(static_cast<std::int64_t>(Rng.below(1500)),
            [this, Index] { sendCancel("k" + std::to_string(Index)); });
    }
  }

  NodeId anyDaemon() {
    return 1 + static_cast<NodeId>(Rng.below(Deployment.Nodes.size()));
  }

  void sendCall(const CallRequest &Body,
                const std::function<void(const CallResult *)> &OnDone) {
    const NodeId To = anyDaemon();
    const std::uint64_t Id = NextCall;
    NextCall += 1;
    OpenCalls[Id] = OnDone;
    after(CallTimeoutMs, [this, Id] {
      const auto CallIt = OpenCalls.find(Id);
      if (CallIt != OpenCalls.end()) {
        const auto Expired = CallIt->second;
        OpenCalls.erase(CallIt);
        Expired(nullptr);
      }
    });
    after(1, [this, To, Id, Body] {
      SimulatedDaemon &Daemon = Daemons[To];
      deliver(Daemon, [this, &Daemon, Id, Body] {
        if (!Daemon.Core) {
          return;
        }
        CallRequest Stamped = Body;
        if (auto *Submit = std::get_if<SubmitCall>(&Stamped)) {
          Submit->ReceivedAt = wallClockOf(Daemon);
        }
        Daemon.Core->call(Id, Stamped, nowOf(Daemon), wallClockOf(Daemon));
      });
    });
  }

  void answerCall(SimulatedDaemon & /*Daemon*/, const LocalResult &Done) {
    if (LossPercent != 0 && Rng.percent(LossPercent)) {
      return;
    }
    const auto CallIt = OpenCalls.find(Done.CallId);
    if (CallIt == OpenCalls.end()) {
      return;
    }
    const auto OnDone = CallIt->second;
    OpenCalls.erase(CallIt);
    OnDone(&Done.Result);
  }

  void sendSubmit(const std::string &Key) {
    ClientRequest &Submitted = Requests[Key];
    Submitted.SendCount += 1;
    SubmitCall Call;
    Call.Spec = Submitted.Spec;
    const std::int64_t Sent = Time;
    sendCall(Call, [this, Key, Sent](const CallResult *Received) {
      onSubmitResult(Key, Received, Sent);
    });
  }

  void onSubmitResult(const std::string &Key, const CallResult *Received,
                      std::int64_t Sent) {
    ClientRequest &Submitted = Requests[Key];
    const bool WasAccepted =
        Received != nullptr && (Received->Status == CallStatus::Done ||
                                Received->Status == CallStatus::Refused);
    if (WasAccepted) {
      checkAnswer(Key, *Received, Sent);
      Submitted.IsAccepted = true;
      after(200 + static_cast<std::int64_t>(Rng.below(800)),
            [this, Key] { sendStatus(Key); });
      return;
    }
    if (Received != nullptr && Received->Status == CallStatus::Conflict) {
      violate(Invariant::Stable, "resend of " + Key + " conflicts with itself");
    }
    const bool MayHaveActed = Received != nullptr &&
                              Received->Status == CallStatus::Unknown &&
                              Received->Reason.starts_with("it may have run");
    const bool HasFinalOutcome = Submitted.LastOutcome &&
                                 *Submitted.LastOutcome != Outcome::Pending &&
                                 *Submitted.LastOutcome != Outcome::Unknown;
    if (!MayHaveActed && !HasFinalOutcome && Submitted.SendCount < 40) {
      after(100 + static_cast<std::int64_t>(Rng.below(900)),
            [this, Key] { sendSubmit(Key); });
    }
  }

  void sendStatus(const std::string &Key) {
    const ClientRequest &Submitted = Requests[Key];
    StatusCall Call;
    Call.Customer = Submitted.Spec.Customer;
    Call.Key = Key;
    Call.Wait = Millis{Rng.below(2) * 1000};
    const std::int64_t Sent = Time;
    sendCall(Call, [this, Key, Sent](const CallResult *Received) {
      if (Received != nullptr && Received->RequestInfo) {
        checkAnswer(Key, *Received, Sent);
      }
      const ClientRequest &Current = Requests[Key];
      const bool IsRefused = Current.LastOutcome == Outcome::NotRun;
      if (Received != nullptr && Received->Status == CallStatus::NotFound &&
          !IsRefused && !RecoveredGroups.contains(Current.Home)) {
        violate(Invariant::Progress, "accepted " + Key + " is not found");
      }
      after(500 + static_cast<std::int64_t>(Rng.below(1500)),
            [this, Key] { sendStatus(Key); });
    });
  }

  void sendCancel(const std::string &Key) {
    ClientRequest &Submitted = Requests[Key];
    Submitted.IsCancelled = true;
    CancelCall Call;
    Call.Customer = Submitted.Spec.Customer;
    Call.Key = Key;
    const std::int64_t Sent = Time;
    sendCall(Call, [this, Key, Sent](const CallResult *Received) {
      if (Received != nullptr && Received->RequestInfo) {
        checkAnswer(Key, *Received, Sent);
      }
    });
  }

  /// Compares an answer with earlier answers for the same request. Answers may
  /// arrive out of order, so the outcome must be unchanged only for calls sent
  /// after the first final outcome arrived.
  void checkAnswer(const std::string &Key, const CallResult &Received,
                   std::int64_t Sent) {
    if (!Received.RequestInfo) {
      return;
    }
    ClientRequest &Submitted = Requests[Key];
    const RequestView &View = *Received.RequestInfo;
    if (View.Key != Key || View.Customer != Submitted.Spec.Customer) {
      violate(Invariant::Answer, "answer of " + View.Key + " for " + Key);
    }
    const bool HadFinalOutcome = Submitted.LastOutcome &&
                                 *Submitted.LastOutcome != Outcome::Unknown &&
                                 *Submitted.LastOutcome != Outcome::Pending;
    if (HadFinalOutcome && Sent > Submitted.FirstFinalAt &&
        *Submitted.LastOutcome != View.Result &&
        !RecoveredGroups.contains(Submitted.Home)) {
      violate(Invariant::Stable,
              Key + " was reported as " +
                  std::string{nameOf(*Submitted.LastOutcome)} + ", then " +
                  std::string{nameOf(View.Result)});
    }
    if (!HadFinalOutcome) {
      Submitted.LastOutcome = View.Result;
      Submitted.FirstFinalAt = Time;
    }
    if (View.Result == Outcome::NotRun && ReportedNotRun.insert(Key).second) {
      trace(Key + " is reported as not run: " + View.Reason);
      if (StartCounts.contains({Key, 0}) || StartCounts.contains({Key, 1}) ||
          StartCounts.contains({Key, 2})) {
        violate(Invariant::NotRun,
                Key + " ran before it was reported as not run");
      }
    }
    if (View.Result == Outcome::Done) {
      for (const TaskView &Task : View.Tasks) {
        const std::string Expected = expectedAnswer(
            Submitted.Spec.Customer, Key, Task.Ordinal, Submitted.Spec.Payload);
        if (Task.Answer != Expected) {
          violate(Invariant::Answer, Key + ": " + Task.Answer);
        }
      }
    }
  }

  // Operators.
  void submitConcurrentChanges(std::uint64_t Index) {
    const Revision Base = HighestAccepted;
    const std::uint64_t ContenderCount = 1 + Rng.below(3);
    for (std::uint64_t Contender = 0; Contender < ContenderCount; ++Contender) {
      const std::string Name =
          "op" + std::to_string(Index) + "-" + std::to_string(Contender);
      OpenChange Change;
      Change.Call.ChangeKey = Name;
      Change.Call.Operator = Name;
      Change.Call.Base = Base;
      Change.Call.Text = RuleText;
      Change.Call.Text.append("drain worker=none-").append(Name);
      Change.Call.Text.append("  # asked by ").append(Name).append("\n");
      Changes[Name] = std::move(Change);
      sendChange(Name, 0);
    }
  }

  void sendChange(const std::string &Name, int SendCount) {
    sendCall(Changes[Name].Call, [this, Name,
                                  SendCount](const CallResult *Received) {
      const bool HasVerdict =
          Received != nullptr && Received->Change.has_value();
      if (HasVerdict) {
        recordChangeVerdict(Name, *Received->Change);
      }
      const bool Resends = HasVerdict ? Rng.percent(30) : SendCount < 30;
      if (Resends && SendCount < 40) {
        after(200 + static_cast<std::int64_t>(Rng.below(2000)),
              [this, Name, SendCount] { sendChange(Name, SendCount + 1); });
      }
    });
  }

  void recordChangeVerdict(const std::string &Name,
                           const ChangeRecord &Record) {
    OpenChange &Change = Changes[Name];
    if (Change.FirstRecord && (Change.FirstRecord->Verdict != Record.Verdict ||
                               Change.FirstRecord->Number != Record.Number)) {
      violate(Invariant::Rules, "resend of " + Name + " got another answer");
    }
    if (!Change.FirstRecord) {
      Change.FirstRecord = Record;
    }
    if (Record.Verdict != ChangeVerdict::Accepted) {
      return;
    }
    const auto [Winner, Inserted] = Winners.try_emplace(Record.Number, Name);
    if (!Inserted && Winner->second != Name) {
      violate(Invariant::Rules,
              "revision " + std::to_string(Record.Number) + " has two winners");
    }
    if (Record.Number > HighestAccepted) {
      HighestAccepted = Record.Number;
      RuleText = Change.Call.Text;
    }
    Result.RulesAccepted = std::max(Result.RulesAccepted, Record.Number);
  }

  // Faults.
  void scheduleFaults() {
    if (Options.Faults.empty()) {
      return;
    }
    after(300 + static_cast<std::int64_t>(Rng.below(1800)), [this] {
      if (Time < FaultsEndMs) {
        injectFault();
        scheduleFaults();
      }
    });
  }

  SimulatedDaemon &randomDaemon() { return Daemons[anyDaemon()]; }

  void injectFault() {
    std::vector<Fault> Kinds{Options.Faults.begin(), Options.Faults.end()};
    const Fault Kind = Kinds[Rng.below(Kinds.size())];
    switch (Kind) {
    case Fault::KillDaemon:
      crashDaemon(randomDaemon(), false);
      break;
    case Fault::LoseDisk:
      if (Rng.percent(40)) {
        crashDaemon(randomDaemon(), true);
      }
      break;
    case Fault::PauseDaemon:
      pauseDaemon(randomDaemon());
      break;
    case Fault::Partition:
      partitionNetwork();
      break;
    case Fault::MessageLoss:
      dropMessages();
      break;
    case Fault::ClockDrift:
      break;
    case Fault::DiskError:
      failDisk(randomDaemon());
      break;
    case Fault::KillWorker:
      killWorker();
      break;
    case Fault::PauseWorker:
      pauseWorker();
      break;
    case Fault::CancelWave:
      cancelWave();
      break;
    case Fault::KillAfterRepair:
      killAfterRepair();
      break;
    case Fault::RestartCentre:
      if (Rng.percent(30)) {
        restartCentre();
      }
      break;
    }
  }

  void killDaemon(SimulatedDaemon &Daemon, bool LosesDisk) {
    if (!Daemon.Core) {
      return;
    }
    trace("kill daemon " + std::to_string(Daemon.Id) +
          (LosesDisk && Daemon.HasDisk ? " and its disk" : ""));
    Daemon.Core.reset();
    Daemon.Inbox.clear();
    if (LosesDisk || !Daemon.HasDisk) {
      Daemon.Files.wipe();
      Daemon.Incarnation = freshIncarnation();
      Daemon.LastRevision = 0;
      StateLosses[Daemon.Id] += 1;
    } else {
      Daemon.Files.crash(Rng.below(64));
    }
    const std::int64_t DownTimeMs =
        200 + static_cast<std::int64_t>(Rng.below(3000));
    after(DownTimeMs, [this, &Daemon] { restart(Daemon); });
  }

  void restart(SimulatedDaemon &Daemon) {
    if (Daemon.Core) {
      return;
    }
    trace("start daemon " + std::to_string(Daemon.Id));
    startDaemon(Daemon);
    if (KillNextAfterRepair) {
      KillNextAfterRepair = false;
      after(300 + static_cast<std::int64_t>(Rng.below(1200)),
            [this] { crashDaemon(randomDaemon(), false); });
    }
  }

  void crashDaemon(SimulatedDaemon &Daemon, bool LosesDisk) {
    killDaemon(Daemon, LosesDisk);
  }

  void killAfterRepair() {
    KillNextAfterRepair = true;
    crashDaemon(randomDaemon(), false);
  }

  void restartCentre() {
    const std::string Centre = Centres[Rng.below(Centres.size())];
    trace("all daemons of " + Centre + " restart");
    for (auto &[Id, Daemon] : Daemons) {
      if (Daemon.Centre == Centre) {
        killDaemon(Daemon, false);
      }
    }
  }

  void pauseDaemon(SimulatedDaemon &Daemon) {
    const auto Length = static_cast<std::int64_t>(100 + Rng.below(5000));
    Daemon.PausedUntil = std::max(Daemon.PausedUntil, Time + Length);
    trace("pause daemon " + std::to_string(Daemon.Id) + " for " +
          std::to_string(Length));
  }

  void failDisk(SimulatedDaemon &Daemon) {
    if (Daemon.HasDisk && Daemon.Core) {
      trace("disk of daemon " + std::to_string(Daemon.Id) + " will fail soon");
      Daemon.Files.failAfter(Rng.below(6));
    }
  }

  void partitionNetwork() {
    std::set<std::pair<NodeId, NodeId>> Links;
    const NodeId Victim = anyDaemon();
    const bool IsWholeCentre = Rng.percent(40);
    const bool IsOneWay = Rng.percent(30);
    for (const NodeSettings &From : Deployment.Nodes) {
      for (const NodeSettings &To : Deployment.Nodes) {
        const bool IsFromInside = IsWholeCentre
                                      ? From.Centre == Daemons[Victim].Centre
                                      : From.Id == Victim;
        const bool IsToOutside = IsWholeCentre
                                     ? To.Centre != Daemons[Victim].Centre
                                     : To.Id != Victim;
        if (IsFromInside && IsToOutside) {
          Links.insert({From.Id, To.Id});
          if (!IsOneWay) {
            Links.insert({To.Id, From.Id});
          }
        }
      }
    }
    trace(std::string{"partition "} +
          (IsWholeCentre ? "the data centre of " : "") + "daemon " +
          std::to_string(Victim) + (IsOneWay ? " one way" : ""));
    PartitionedLinks.insert(Links.begin(), Links.end());
    after(500 + static_cast<std::int64_t>(Rng.below(6000)), [this, Links] {
      for (const auto &Link : Links) {
        PartitionedLinks.erase(Link);
      }
    });
  }

  void dropMessages() {
    LossPercent = 5 + Rng.below(30);
    trace("drop " + std::to_string(LossPercent) + " % of messages");
    after(500 + static_cast<std::int64_t>(Rng.below(4000)),
          [this] { LossPercent = 0; });
  }

  void killWorker() {
    const std::size_t Index = Rng.below(Workers.size());
    trace("kill worker " + Workers[Index].Name);
    stopWorker(Workers[Index]);
    after(100 + static_cast<std::int64_t>(Rng.below(4000)), [this, Index] {
      if (!Workers[Index].Core) {
        startWorker(Workers[Index]);
      }
    });
  }

  void stopWorker(SimulatedWorker &Worker) { Worker.Core.reset(); }

  void pauseWorker() {
    SimulatedWorker &Worker = Workers[Rng.below(Workers.size())];
    Worker.PausedUntil =
        Time + 200 + static_cast<std::int64_t>(Rng.below(5000));
    trace("pause worker " + Worker.Name);
  }

  void cancelWave() {
    trace("cancel many requests at once");
    for (const auto &[Key, Submitted] : Requests) {
      if (Rng.percent(40)) {
        sendCancel(Key);
      }
    }
  }

  void healFaults() {
    trace("heal");
    PartitionedLinks.clear();
    LossPercent = 0;
    for (auto &[Id, Daemon] : Daemons) {
      Daemon.PausedUntil = 0;
      Daemon.Files.stopFailing();
      if (!Daemon.Core) {
        restart(Daemon);
      }
    }
    for (SimulatedWorker &Worker : Workers) {
      Worker.PausedUntil = 0;
      if (!Worker.Core) {
        startWorker(Worker);
      }
    }
  }

  // Checks.
  void checkDaemon(SimulatedDaemon &Daemon) {
    const Revision Number = Daemon.Core->rulesState().Number;
    if (Number < Daemon.LastRevision) {
      violate(Invariant::Rules, "daemon " + std::to_string(Daemon.Id) +
                                    " went back to revision " +
                                    std::to_string(Number));
    }
    Daemon.LastRevision = Number;
    for (const std::string &Group : Centres) {
      checkGroup(Daemon, Group);
    }
    checkGroup(Daemon, ConfigGroup);
    checkActiveRules(Daemon);
    if (Daemon.Core->centre().isServing()) {
      for (const std::string &Text :
           checkLedger(Daemon.Core->centre().ledger())) {
        violate(Invariant::Ledger, Text);
      }
    }
  }

  /// Checks that successive leaders of a data centre never go back to an older
  /// revision of the rules.
  void checkActiveRules(const SimulatedDaemon &Daemon) {
    if (!Daemon.Core->centre().isServing() ||
        RecoveredGroups.contains(Daemon.Centre)) {
      return;
    }
    Revision &Last = ActiveRevisions[Daemon.Centre];
    const Revision Number = Daemon.Core->rules().Number;
    if (Number < Last) {
      violate(Invariant::Rules, Daemon.Centre + " applies revision " +
                                    std::to_string(Number) + " after " +
                                    std::to_string(Last));
    }
    Last = std::max(Last, Number);
  }

  void checkGroup(SimulatedDaemon &Daemon, const std::string &Group) {
    const Replica *State = Daemon.Core->replica(Group);
    if (State == nullptr) {
      return;
    }
    recordRecovery(*State, Group);
    LogIndex &Last = Daemon.CheckedIndexes[Group];
    for (LogIndex Index = std::max(Last, State->CompactedIndex) + 1;
         Index <= State->LastApplied; ++Index) {
      const Entry &LogEntry = State->Entries[Index - State->CompactedIndex - 1];
      const std::uint64_t Hash =
          XXH3_64bits(LogEntry.Data.data(), LogEntry.Data.size()) ^
          (LogEntry.InTerm << 8U) ^ static_cast<std::uint64_t>(LogEntry.Kind);
      const auto [HashIt, Inserted] = Committed[Group].try_emplace(Index, Hash);
      if (!Inserted && HashIt->second != Hash) {
        violate(Invariant::Agreement, "group " + Group +
                                          " disagrees on entry " +
                                          std::to_string(Index));
      }
    }
    Last = std::max(Last, State->LastApplied);
  }

  /// Restarts the agreement check of a group after an unsafe recovery: the
  /// sole survivor may lack entries that were committed without it.
  void recordRecovery(const Replica &State, const std::string &Group) {
    for (const Entry &LogEntry : State.Entries) {
      if (LogEntry.Kind != EntryKind::Recovery ||
          !RecoveryTerms.insert({Group, LogEntry.InTerm}).second) {
        continue;
      }
      Committed[Group].clear();
      for (auto &[Id, Other] : Daemons) {
        Other.CheckedIndexes[Group] = 0;
      }
      RecoveredGroups.insert(Group);
      Result.Recoveries += 1;
      trace("group " + Group + " recovers with a sole survivor");
    }
  }

  void checkLeaders() {
    for (const std::string &Centre : Centres) {
      int LeaderCount = 0;
      for (auto &[Id, Daemon] : Daemons) {
        const bool IsRunning = Daemon.Core && Daemon.Centre == Centre;
        if (IsRunning && Daemon.Core->centre().isServing() &&
            canServeAsLeader(*Daemon.Core->replica(Centre), nowOf(Daemon))) {
          LeaderCount += 1;
        }
      }
      if (LeaderCount > 1) {
        violate(Invariant::OneLeader, Centre + " has two leaders");
      }
    }
  }

  bool isActive(const SimulatedWorker &Worker, const RunRecord &Run) const {
    return Run.End == Instant{} && nowOf(Worker) < Worker.Core->leaseEnd();
  }

  void checkRuns() {
    std::map<TaskKey, int> Active;
    for (SimulatedWorker &Worker : Workers) {
      if (!Worker.Core) {
        continue;
      }
      Resources Used;
      std::size_t &CheckedCount =
          CheckedRuns[{Worker.Name, Worker.Incarnation}];
      const auto &Runs = Worker.Core->runs();
      for (; CheckedCount < Runs.size(); ++CheckedCount) {
        recordRun(Runs[CheckedCount]);
      }
      for (const RunRecord &Run : Runs) {
        if (isActive(Worker, Run)) {
          Used += Run.Need;
          Active[{Run.Key, Run.Ordinal}] += 1;
        }
      }
      if (!fitsIn(Used, Worker.Core->capacity())) {
        violate(Invariant::Capacity, Worker.Name + " is overcommitted");
      }
    }
    for (const auto &[Key, Count] : Active) {
      if (Count > 1) {
        violate(Invariant::OnePlace, Key.Key + "#" +
                                         std::to_string(Key.Ordinal) +
                                         " runs on two workers");
      }
    }
  }

  void recordRun(const RunRecord &Run) {
    int &Count = StartCounts[{Run.Key, Run.Ordinal}];
    Count += 1;
    trace("run " + Run.Key + "#" + std::to_string(Run.Ordinal) + " attempt " +
          std::to_string(Run.Attempt));
    if (!Run.IsIdempotent && Count > 1) {
      violate(Invariant::AtMostOnce, Run.Key + " ran twice");
    }
    if (ReportedNotRun.contains(Run.Key)) {
      violate(Invariant::NotRun,
              Run.Key + " runs after it was reported as not run");
    }
  }

  /// Reports whether so many voters lost their state that the group has no
  /// quorum and cannot elect a leader.
  bool hasLostQuorum(const std::string &Group) {
    const Replica *Newest = nullptr;
    for (auto &[Id, Daemon] : Daemons) {
      const Replica *State =
          Daemon.Core ? Daemon.Core->replica(Group) : nullptr;
      const bool IsNewer =
          State != nullptr &&
          (Newest == nullptr ||
           std::pair{State->Hard.CurrentTerm, lastIndex(*State)} >
               std::pair{Newest->Hard.CurrentTerm, lastIndex(*Newest)});
      if (IsNewer && !membership(*State).Voters.empty()) {
        Newest = State;
      }
    }
    if (Newest == nullptr) {
      return true;
    }
    std::size_t LivingVoters = 0;
    int Losses = 0;
    for (const Member &Voter : membership(*Newest).Voters) {
      LivingVoters +=
          Daemons[Voter.Node].Incarnation == Voter.Incarnation ? 1 : 0;
      Losses += StateLosses[Voter.Node];
    }
    const std::size_t Voters = membership(*Newest).Voters.size();
    return LivingVoters < Voters / 2 + 1 && Losses > 0;
  }

  bool hasLeader(const std::string &Group) {
    return std::any_of(Daemons.begin(), Daemons.end(), [&](auto &Pair) {
      const Replica *State =
          Pair.second.Core ? Pair.second.Core->replica(Group) : nullptr;
      return State != nullptr && canServeAsLeader(*State, nowOf(Pair.second));
    });
  }

  std::string describeGroup(const std::string &Group) {
    std::ostringstream Text;
    for (auto &[Id, Daemon] : Daemons) {
      const Replica *State =
          Daemon.Core ? Daemon.Core->replica(Group) : nullptr;
      if (State == nullptr) {
        continue;
      }
      Text << " [" << Id << "/" << Daemon.Incarnation << " "
           << nameOf(State->Role) << " term " << State->Hard.CurrentTerm
           << " last " << lastIndex(*State) << " voters";
      for (const GroupMember &Voter : membership(*State).Voters) {
        Text << " " << Voter.Node << "/" << Voter.Incarnation;
      }
      Text << "]";
    }
    return Text.str();
  }

  std::string describeRequest(const ClientRequest &Submitted) {
    std::ostringstream Text;
    Text << nameOf(Submitted.Spec.Kind) << " of " << Submitted.Spec.TaskCount
         << " in " << Submitted.Home;
    for (auto &[Id, Daemon] : Daemons) {
      if (!Daemon.Core || Daemon.Centre != Submitted.Home ||
          !Daemon.Core->centre().isServing()) {
        continue;
      }
      const Ledger &State = Daemon.Core->centre().ledger();
      const RequestId MatchingId =
          findRequest(State, Submitted.Spec.Customer, Submitted.Spec.Key);
      const Request *Row = State.Requests.find(MatchingId);
      if (Row == nullptr) {
        Text << ", not in the ledger";
        continue;
      }
      Text << ", " << nameOf(Row->Result)
           << (Row->IsCancelled ? " cancelled" : "")
           << (Row->IsRestarting ? " restarting" : "")
           << (Row->IsFailing ? " failing" : "");
      for (const TaskId TaskRowId : Row->Tasks) {
        const Task &TaskRow = State.Tasks[TaskRowId];
        const Worker *AssignedTo = State.Workers.find(TaskRow.AssignedWorker);
        Text << ", " << nameOf(TaskRow.State) << " attempts "
             << TaskRow.Attempts << " refusals " << TaskRow.Refusals
             << (AssignedTo == nullptr ? "" : " on " + AssignedTo->Name);
      }
      const CentreRuntime &Runtime = Daemon.Core->centre().runtime();
      Text << "; retries " << Runtime.RetryCount << " of "
           << Runtime.AttemptCount << ", reserved "
           << Runtime.ReservedWorkers.size();
      for (const auto &[ReservedId, Owner] : Runtime.ReservedWorkers) {
        const Request &Reserving = State.Requests[Owner];
        Text << " for " << Reserving.Spec.Key << " "
             << nameOf(Reserving.Spec.Kind) << " of "
             << Reserving.Spec.TaskCount << " x "
             << Reserving.Spec.Need.MilliCpus;
      }
      for (const WorkerId WorkerRowId : State.Workers.ids()) {
        const Worker &WorkerRow = State.Workers[WorkerRowId];
        const auto RuntimeIt =
            Daemon.Core->centre().runtime().Workers.find(WorkerRowId);
        const bool IsKnown =
            RuntimeIt != Daemon.Core->centre().runtime().Workers.end();
        Text << "; " << WorkerRow.Name << " "
             << WorkerRow.AssignedResources.MilliCpus << "/"
             << WorkerRow.Capacity.MilliCpus << " tasks "
             << WorkerRow.Tasks.size()
             << (IsKnown && RuntimeIt->second.IsConfirmed ? " confirmed" : "")
             << (IsKnown && RuntimeIt->second.HasOrphans ? " orphans" : "")
             << (IsKnown && RuntimeIt->second.IsOnProbation ? " probation"
                                                            : "");
      }
    }
    return Text.str();
  }

  void finalChecks() {
    std::set<std::string> LostGroups;
    std::vector<std::string> Groups = Centres;
    Groups.emplace_back(ConfigGroup);
    for (const std::string &Group : Groups) {
      if (hasLeader(Group)) {
        continue;
      }
      if (hasLostQuorum(Group)) {
        LostGroups.insert(Group);
        Result.LostGroups += 1;
        trace("quorum lost: " + Group + describeGroup(Group));
      } else {
        violate(Invariant::Progress,
                "group " + Group + " has no leader: " + describeGroup(Group));
      }
    }
    checkFinished(LostGroups);
    if (!LostGroups.contains(ConfigGroup) &&
        !RecoveredGroups.contains(ConfigGroup)) {
      checkConverged(LostGroups);
    }
  }

  void checkFinished(const std::set<std::string> &LostGroups) {
    for (const auto &[Key, Submitted] : Requests) {
      if (!Submitted.IsAccepted) {
        continue;
      }
      Result.Accepted += 1;
      const bool IsPending =
          !Submitted.LastOutcome || *Submitted.LastOutcome == Outcome::Pending;
      Result.Finished += IsPending ? 0 : 1;
      const bool IsService = Submitted.Spec.Kind == WorkKind::Service;
      if (IsPending && !IsService && !LostGroups.contains(Submitted.Home) &&
          !RecoveredGroups.contains(Submitted.Home) &&
          hasUsableWorkers(Submitted)) {
        violate(Invariant::Progress,
                Key + " has no outcome: " + describeRequest(Submitted));
      }
    }
  }

  /// Reports whether the workers that accept and finish tasks have capacity for
  /// the request beside the services of its home. Other requests stay queued.
  bool hasUsableWorkers(const ClientRequest &Submitted) const {
    std::int64_t FittingTasks = 0;
    for (const SimulatedWorker &Worker : Workers) {
      const bool IsUsable = Worker.Centre == Submitted.Home &&
                            !Worker.Faults.FailsEverything &&
                            !Worker.Faults.RefusesEverything;
      const std::int64_t FitCount =
          std::min(Worker.Capacity.MilliCpus / Submitted.Spec.Need.MilliCpus,
                   Worker.Capacity.Slots);
      FittingTasks += IsUsable ? FitCount : 0;
    }
    std::int64_t ServiceTasks = 0;
    for (const auto &[Key, Other] : Requests) {
      ServiceTasks +=
          Other.Home == Submitted.Home && Other.Spec.Kind == WorkKind::Service
              ? Other.Spec.TaskCount * 3
              : 0;
    }
    return FittingTasks >= Submitted.Spec.TaskCount + ServiceTasks;
  }

  void checkConverged(const std::set<std::string> &LostGroups) {
    for (auto &[Id, Daemon] : Daemons) {
      if (Daemon.Core && !LostGroups.contains(Daemon.Centre) &&
          Daemon.Core->rules().Number < HighestAccepted) {
        violate(Invariant::Rules,
                "daemon " + std::to_string(Id) + " has revision " +
                    std::to_string(Daemon.Core->rules().Number) + " of " +
                    std::to_string(HighestAccepted));
      }
    }
  }

  ScheduleOptions Options;
  Random Rng;
  Settings Deployment;
  std::vector<std::string> Centres;
  std::map<NodeId, SimulatedDaemon> Daemons;
  std::vector<SimulatedWorker> Workers;
  std::priority_queue<ScheduledEvent> Events;
  std::uint64_t NextSequence = 0;
  std::int64_t Time = 0;
  std::uint64_t NextIncarnation = 1000;
  std::set<std::pair<NodeId, NodeId>> PartitionedLinks;
  std::uint64_t LossPercent = 0;
  bool KillNextAfterRepair = false;
  std::uint64_t NextPoll = 1;
  std::uint64_t NextCall = 1;
  std::map<std::uint64_t, OpenPoll> OpenPolls;
  std::map<std::uint64_t, std::function<void(const CallResult *)>> OpenCalls;
  std::map<std::string, ClientRequest> Requests;
  std::set<std::string> ReportedNotRun;
  std::map<TaskKey, int> StartCounts;
  /// Number of attempts already checked, by name and incarnation of a worker.
  std::map<std::pair<std::string, std::uint64_t>, std::size_t> CheckedRuns;
  std::map<std::string, OpenChange> Changes;
  /// Key of the accepted change, by revision.
  std::map<Revision, std::string> Winners;
  Revision HighestAccepted = 0;
  /// Newest revision that a leader has applied, by data centre.
  std::map<std::string, Revision> ActiveRevisions;
  std::string RuleText;
  /// Hashes of the applied entries, by group and index.
  std::map<std::string, std::map<LogIndex, std::uint64_t>> Committed;
  std::set<std::pair<std::string, Term>> RecoveryTerms;
  std::set<std::string> RecoveredGroups;
  /// Number of kills that lost the state, by daemon.
  std::map<NodeId, int> StateLosses;
  ScheduleResult Result;
};

} // namespace

ScheduleResult runSchedule(const ScheduleOptions &Options) {
  return Simulation{Options}.run();
}

std::set<Fault> allFaults() {
  std::set<Fault> All;
  for (std::size_t Index = 0; Index < enumeratorCount<Fault>(); ++Index) {
    All.insert(static_cast<Fault>(Index));
  }
  return All;
}

std::set<Invariant> allInvariants() {
  std::set<Invariant> All;
  for (std::size_t Index = 0; Index < enumeratorCount<Invariant>(); ++Index) {
    All.insert(static_cast<Invariant>(Index));
  }
  return All;
}

} // namespace mulberryramp::test
