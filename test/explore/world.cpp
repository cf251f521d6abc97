#include "explore/world.hpp"

#include "mulberryramp/core/names.hpp"

#include <algorithm>
#include <sstream>
#include <xxhash.h>

namespace mulberryramp::test {

namespace {

constexpr std::int64_t FaultsEndMs = 16000;
constexpr std::int64_t HealedMs = 34000;
constexpr std::int64_t LongestMs = 150000;
constexpr std::int64_t StepEveryMs = 20;
constexpr std::int64_t WorkerTickMs = 20;
constexpr std::int64_t PollTimeoutMs = 1200;
constexpr std::int64_t CallTimeoutMs = 8000;
constexpr std::int64_t WallBaseMs = 1'700'000'000'000;
constexpr std::size_t MaxViolations = 5;

struct SimulatedDaemon {
  NodeId Id = 0;
  std::string Centre;
  bool HasDisk = false;
  MemoryFiles Files;
  std::unique_ptr<Node> Core;
  std::uint64_t Incarnation = 1;
  std::uint64_t Lives = 0;
  std::int64_t PausedUntil = 0;
  std::int64_t DriftPermille = 0;
  std::int64_t Offset = 0;
  std::int64_t WallSkew = 0;
  std::vector<std::function<void()>> Inbox;
  Revision LastRevision = 0;
  std::map<std::string, LogIndex> Checked;
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
  std::size_t Turn = 0;
  std::vector<NodeId> Daemons;
  WorkerFaults Faults;
};

/// A poll that a worker waits for.
struct OpenPoll {
  std::size_t Worker = 0;
  std::uint64_t Number = 0;
  std::uint64_t Incarnation = 0;
};

/// A request as its caller knows it.
struct ClientRequest {
  RequestSpec Spec;
  std::string Home;
  bool IsAccepted = false;
  bool IsCancelled = false;
  std::optional<Outcome> LastOutcome;
  std::int64_t FirstFinalAt = 0; ///< When a caller first got a final outcome.
  std::uint32_t Sends = 0;
};

struct OpenChange {
  RulesApplyCall Call;
  std::optional<ChangeRecord> First;
};

struct Event {
  std::int64_t At = 0;
  std::uint64_t Order = 0;
  std::function<void()> Run;

  bool operator<(const Event &Other) const {
    return At != Other.At ? At > Other.At : Order > Other.Order;
  }
};

struct RunKey {
  std::string Key;
  std::uint32_t Ordinal = 0;
  auto operator<=>(const RunKey &) const = default;
};

using Member_ = mulberryramp::Member;

class Simulation {
public:
  explicit Simulation(const ScheduleOptions &Options)
      : Options{Options}, Rng{Options.Seed * 0x9E3779B97F4A7C15ULL + 7} {
    buildDeployment();
    startAll();
  }

  ScheduleResult run() {
    scheduleEvery(StepEveryMs, [this] { stepAll(); });
    scheduleEvery(WorkerTickMs, [this] { tickWorkers(); });
    scheduleClients();
    scheduleFaults();
    after(FaultsEndMs, [this] { healFaults(); });
    while (!Events.empty() && !isTerminal() &&
           Result.Violations.size() < MaxViolations) {
      const Event Next = Events.top();
      Events.pop();
      Time = Next.At;
      Next.Run();
    }
    finalChecks();
    return std::move(Result);
  }

private:
  /// After healing the schedule goes on until all work is settled.
  bool isTerminal() const {
    const std::int64_t Next = Events.top().At;
    const bool Settled =
        std::all_of(Requests.begin(), Requests.end(), [](const auto &Item) {
          const ClientRequest &Each = Item.second;
          return !Each.IsAccepted || Each.Spec.Kind == WorkKind::Service ||
                 (Each.LastOutcome && *Each.LastOutcome != Outcome::Pending);
        });
    return Next > LongestMs || (Next > HealedMs && Settled);
  }

  // Time and events.
  void after(std::int64_t Delay, std::function<void()> Run) {
    Events.push({Time + Delay, NextOrder, std::move(Run)});
    NextOrder += 1;
  }

  void scheduleEvery(std::int64_t Every, const std::function<void()> &Run) {
    after(Every, [this, Every, Run] {
      Run();
      scheduleEvery(Every, Run);
    });
  }

  Instant localNow(std::int64_t DriftPermille, std::int64_t Offset) const {
    return Instant{
        Millis{100000 + Offset + Time + Time * DriftPermille / 1000}};
  }

  Instant nowOf(const SimulatedDaemon &Daemon) const {
    return localNow(Daemon.DriftPermille, Daemon.Offset);
  }

  Instant nowOf(const SimulatedWorker &Worker) const {
    return localNow(Worker.DriftPermille, 0);
  }

  WallTime wallOf(const SimulatedDaemon &Daemon) const {
    return WallTime{Millis{WallBaseMs + Time + Daemon.WallSkew}};
  }

  void trace(const std::string &Line) {
    if (Options.IsTraced) {
      Result.Trace.push_back(std::to_string(Time) + " ms  " + Line);
    }
  }

  void violate(Invariant What, const std::string &Text) {
    if (Options.Checked.contains(What) &&
        Result.Violations.size() < MaxViolations) {
      Result.Violations.push_back({What, Time, Text});
      trace("VIOLATION " + std::string{nameOf(What)} + ": " + Text);
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
      Daemon.Offset = static_cast<std::int64_t>(Rng.below(50000));
      if (Drifts) {
        Daemon.DriftPermille = static_cast<std::int64_t>(Rng.below(61)) - 30;
        Daemon.WallSkew = static_cast<std::int64_t>(Rng.below(2001)) - 1000;
      }
      if (Node.HasDisk) {
        Settings Mine = Deployment;
        Mine.Self = Node.Id;
        (void)Node::bootstrap(Mine, Daemon.Files);
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
    Settings Mine = Deployment;
    Mine.Self = Daemon.Id;
    auto Started =
        NodeClass::start(Mine, Daemon.HasDisk ? &Daemon.Files : nullptr,
                         Daemon.Incarnation, Rng.next(), nowOf(Daemon));
    if (!Started) {
      violate(Invariant::Progress,
              "daemon " + std::to_string(Daemon.Id) +
                  " cannot start: " + Started.error().Text);
      return;
    }
    Daemon.Core = std::move(*Started);
    Daemon.Lives += 1;
    Daemon.Checked.clear();
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
    return Cuts.contains({From, To}) ||
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
    const auto Found = Daemons.find(Message.To);
    if (Found == Daemons.end() || isLost(Message.From, Message.To)) {
      return;
    }
    const std::int64_t Delay =
        delayBetween(Daemons[Message.From].Centre, Found->second.Centre);
    const auto Arrive = [this, Message] {
      SimulatedDaemon &To = Daemons[Message.To];
      deliver(To, [this, &To, Message] {
        if (To.Core) {
          To.Core->receive(Message, nowOf(To), wallOf(To));
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
    auto Output = Daemon.Core->step(nowOf(Daemon), wallOf(Daemon));
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

  /// A pause between the decision and the sending.
  void pauseBeforeSending(SimulatedDaemon &Daemon, const NodeOutput &Output) {
    const auto Length = static_cast<std::int64_t>(500 + Rng.below(4000));
    Daemon.PausedUntil = Time + Length;
    trace("pause daemon " + std::to_string(Daemon.Id) + " before sending for " +
          std::to_string(Length));
    const std::uint64_t Life = Daemon.Lives;
    after(Length, [this, &Daemon, Output, Life] {
      if (Daemon.Core && Daemon.Lives == Life) {
        sendOutput(Daemon, Output);
      }
    });
  }

  void answerPoll(SimulatedDaemon &Daemon, const CompletedPoll &Done) {
    const auto Found = OpenPolls.find(Done.PollId);
    if (Found == OpenPolls.end()) {
      return;
    }
    const OpenPoll Poll = Found->second;
    OpenPolls.erase(Found);
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
        Worker.Turn += 1;
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
      const bool Due = !Worker.Core->isPollOpen() || Worker.Core->wantsPoll();
      if (Due && Time >= Worker.RetryAt) {
        sendPoll(Index);
      }
    }
  }

  void sendPoll(std::size_t Index) {
    SimulatedWorker &Worker = Workers[Index];
    const WorkerPoll Poll = Worker.Core->makePoll(nowOf(Worker));
    const std::uint64_t Number = Worker.Core->newestPoll();
    const NodeId To = Worker.Daemons[Worker.Turn % Worker.Daemons.size()];
    const std::uint64_t PollId = NextPoll;
    NextPoll += 1;
    const OpenPoll Open{Index, Number, Worker.Incarnation};
    OpenPolls[PollId] = Open;
    after(PollTimeoutMs, [this, Open, PollId] {
      SimulatedWorker &Late = Workers[Open.Worker];
      OpenPolls.erase(PollId);
      if (isAlive(Open) && Late.Core->isPollOpen() &&
          Late.Core->newestPoll() == Open.Number) {
        Late.Core->pollFailed(Open.Number);
        Late.Turn += 1;
      }
    });
    if (LossPercent != 0 && Rng.percent(LossPercent)) {
      return;
    }
    after(1 + static_cast<std::int64_t>(Rng.below(3)),
          [this, To, PollId, Poll] {
            SimulatedDaemon &Daemon = Daemons[To];
            deliver(Daemon, [this, &Daemon, PollId, Poll] {
              if (Daemon.Core) {
                Daemon.Core->poll(PollId, Poll, nowOf(Daemon), wallOf(Daemon));
              }
            });
          });
  }

  // Callers.
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
    ClientRequest Item;
    RequestSpec &Spec = Item.Spec;
    Spec.Customer = Rng.percent(50) ? "franchise" : "iftar";
    Spec.Team = "team-" + std::to_string(Rng.below(3));
    Spec.Key = "k" + std::to_string(Index);
    Spec.ClassName = "normal";
    Spec.IsIdempotent = Rng.percent(60);
    Spec.IssuedAt = WallTime{Millis{WallBaseMs + Time}};
    Spec.Need = {1000 + static_cast<std::int64_t>(Rng.below(3)) * 1000, 1024, 0,
                 1, 0};
    Spec.Payload = "run-ms=" + std::to_string(50 + Rng.below(1500));
    if (Spec.IsIdempotent && Rng.percent(30)) {
      Spec.Kind = Rng.percent(50) ? WorkKind::Gang : WorkKind::Service;
      Spec.TaskCount = 1 + static_cast<std::uint32_t>(Rng.below(3));
    }
    if (Rng.percent(5)) {
      Spec.Need.MilliCpus = 1'000'000;
      Spec.StartBy = WallTime{Millis{WallBaseMs + Time + 3000}};
    }
    if (Rng.percent(5)) {
      Spec.ClassName = "no-such-class";
    }
    Item.Home = homeOf(Centres, Spec.Customer, Spec.Key);
    Requests[Spec.Key] = std::move(Item);
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
                const std::function<void(const CallResult *)> &Take) {
    const NodeId To = anyDaemon();
    const std::uint64_t Id = NextCall;
    NextCall += 1;
    OpenCalls[Id] = Take;
    after(CallTimeoutMs, [this, Id] {
      const auto Found = OpenCalls.find(Id);
      if (Found != OpenCalls.end()) {
        const auto Late = Found->second;
        OpenCalls.erase(Found);
        Late(nullptr);
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
          Submit->ReceivedAt = wallOf(Daemon);
        }
        Daemon.Core->call(Id, Stamped, nowOf(Daemon), wallOf(Daemon));
      });
    });
  }

  void answerCall(SimulatedDaemon & /*Daemon*/, const LocalResult &Done) {
    if (LossPercent != 0 && Rng.percent(LossPercent)) {
      return;
    }
    const auto Found = OpenCalls.find(Done.CallId);
    if (Found == OpenCalls.end()) {
      return;
    }
    const auto Take = Found->second;
    OpenCalls.erase(Found);
    Take(&Done.Result);
  }

  void sendSubmit(const std::string &Key) {
    ClientRequest &Item = Requests[Key];
    Item.Sends += 1;
    SubmitCall Call;
    Call.Spec = Item.Spec;
    const std::int64_t Sent = Time;
    sendCall(Call, [this, Key, Sent](const CallResult *Got) {
      afterSubmit(Key, Got, Sent);
    });
  }

  void afterSubmit(const std::string &Key, const CallResult *Got,
                   std::int64_t Sent) {
    ClientRequest &Item = Requests[Key];
    const bool Accepted =
        Got != nullptr &&
        (Got->Status == CallStatus::Done || Got->Status == CallStatus::Refused);
    if (Accepted) {
      checkAnswer(Key, *Got, Sent);
      Item.IsAccepted = true;
      after(200 + static_cast<std::int64_t>(Rng.below(800)),
            [this, Key] { sendStatus(Key); });
      return;
    }
    if (Got != nullptr && Got->Status == CallStatus::Conflict) {
      violate(Invariant::Stable, "resend of " + Key + " conflicts with itself");
    }
    const bool Doubtful = Got != nullptr &&
                          Got->Status == CallStatus::Unknown &&
                          Got->Reason.starts_with("it may have run");
    const bool IsTold = Item.LastOutcome &&
                        *Item.LastOutcome != Outcome::Pending &&
                        *Item.LastOutcome != Outcome::Unknown;
    if (!Doubtful && !IsTold && Item.Sends < 40) {
      after(100 + static_cast<std::int64_t>(Rng.below(900)),
            [this, Key] { sendSubmit(Key); });
    }
  }

  void sendStatus(const std::string &Key) {
    const ClientRequest &Item = Requests[Key];
    StatusCall Call;
    Call.Customer = Item.Spec.Customer;
    Call.Key = Key;
    Call.Wait = Millis{Rng.below(2) * 1000};
    const std::int64_t Sent = Time;
    sendCall(Call, [this, Key, Sent](const CallResult *Got) {
      if (Got != nullptr && Got->RequestInfo) {
        checkAnswer(Key, *Got, Sent);
      }
      const ClientRequest &Asked = Requests[Key];
      const bool IsRefused = Asked.LastOutcome == Outcome::NotRun;
      if (Got != nullptr && Got->Status == CallStatus::NotFound && !IsRefused &&
          !RecoveredCentres.contains(Asked.Home)) {
        violate(Invariant::Progress, "accepted " + Key + " is not found");
      }
      after(500 + static_cast<std::int64_t>(Rng.below(1500)),
            [this, Key] { sendStatus(Key); });
    });
  }

  void sendCancel(const std::string &Key) {
    ClientRequest &Item = Requests[Key];
    Item.IsCancelled = true;
    CancelCall Call;
    Call.Customer = Item.Spec.Customer;
    Call.Key = Key;
    const std::int64_t Sent = Time;
    sendCall(Call, [this, Key, Sent](const CallResult *Got) {
      if (Got != nullptr && Got->RequestInfo) {
        checkAnswer(Key, *Got, Sent);
      }
    });
  }

  /// An answer to a call that was sent earlier may arrive later.
  void checkAnswer(const std::string &Key, const CallResult &Got,
                   std::int64_t Sent) {
    if (!Got.RequestInfo) {
      return;
    }
    ClientRequest &Item = Requests[Key];
    const RequestView &Seen = *Got.RequestInfo;
    if (Seen.Key != Key || Seen.Customer != Item.Spec.Customer) {
      violate(Invariant::Answer, "answer of " + Seen.Key + " for " + Key);
    }
    const bool WasFinal = Item.LastOutcome &&
                          *Item.LastOutcome != Outcome::Unknown &&
                          *Item.LastOutcome != Outcome::Pending;
    if (WasFinal && Sent > Item.FirstFinalAt &&
        *Item.LastOutcome != Seen.Result &&
        !RecoveredCentres.contains(Item.Home)) {
      violate(Invariant::Stable,
              Key + " was told " + std::string{nameOf(*Item.LastOutcome)} +
                  ", then " + std::string{nameOf(Seen.Result)});
    }
    if (!WasFinal) {
      Item.LastOutcome = Seen.Result;
      Item.FirstFinalAt = Time;
    }
    if (Seen.Result == Outcome::NotRun && ReportedNotRun.insert(Key).second) {
      trace(Key + " is told not run: " + Seen.Reason);
      if (RunCounts.contains({Key, 0}) || RunCounts.contains({Key, 1}) ||
          RunCounts.contains({Key, 2})) {
        violate(Invariant::NotRun, Key + " ran before it was told not run");
      }
    }
    if (Seen.Result == Outcome::Done) {
      for (const TaskView &Task : Seen.Tasks) {
        const std::string Wanted = expectedAnswer(
            Item.Spec.Customer, Key, Task.Ordinal, Item.Spec.Payload);
        if (Task.Answer != Wanted) {
          violate(Invariant::Answer, Key + ": " + Task.Answer);
        }
      }
    }
  }

  // Operators.
  void submitConcurrentChanges(std::uint64_t Index) {
    const Revision Base = HighestAccepted;
    const std::uint64_t Racers = 1 + Rng.below(3);
    for (std::uint64_t Racer = 0; Racer < Racers; ++Racer) {
      const std::string Name =
          "op" + std::to_string(Index) + "-" + std::to_string(Racer);
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

  void sendChange(const std::string &Name, int Sends) {
    sendCall(Changes[Name].Call, [this, Name, Sends](const CallResult *Got) {
      const bool Settled = Got != nullptr && Got->Change.has_value();
      if (Settled) {
        recordChangeVerdict(Name, *Got->Change);
      }
      const bool Again = Settled ? Rng.percent(30) : Sends < 30;
      if (Again && Sends < 40) {
        after(200 + static_cast<std::int64_t>(Rng.below(2000)),
              [this, Name, Sends] { sendChange(Name, Sends + 1); });
      }
    });
  }

  void recordChangeVerdict(const std::string &Name,
                           const ChangeRecord &Record) {
    OpenChange &Change = Changes[Name];
    if (Change.First && (Change.First->Verdict != Record.Verdict ||
                         Change.First->Number != Record.Number)) {
      violate(Invariant::Rules, "resend of " + Name + " got another answer");
    }
    if (!Change.First) {
      Change.First = Record;
    }
    if (Record.Verdict != ChangeVerdict::Accepted) {
      return;
    }
    const auto [Winner, Fresh] = Winners.try_emplace(Record.Number, Name);
    if (!Fresh && Winner->second != Name) {
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
    const std::int64_t Down = 200 + static_cast<std::int64_t>(Rng.below(3000));
    after(Down, [this, &Daemon] { restart(Daemon); });
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
      trace("disk of daemon " + std::to_string(Daemon.Id) + " fails soon");
      Daemon.Files.failAfter(Rng.below(6));
    }
  }

  void partitionNetwork() {
    std::set<std::pair<NodeId, NodeId>> Mine;
    const NodeId Victim = anyDaemon();
    const bool WholeCentre = Rng.percent(40);
    const bool OneWay = Rng.percent(30);
    for (const NodeSettings &From : Deployment.Nodes) {
      for (const NodeSettings &To : Deployment.Nodes) {
        const bool Inside = WholeCentre ? From.Centre == Daemons[Victim].Centre
                                        : From.Id == Victim;
        const bool Outside =
            WholeCentre ? To.Centre != Daemons[Victim].Centre : To.Id != Victim;
        if (Inside && Outside) {
          Mine.insert({From.Id, To.Id});
          if (!OneWay) {
            Mine.insert({To.Id, From.Id});
          }
        }
      }
    }
    trace(std::string{"cut "} + (WholeCentre ? "the centre of " : "") +
          "daemon " + std::to_string(Victim) + (OneWay ? " one way" : ""));
    Cuts.insert(Mine.begin(), Mine.end());
    after(500 + static_cast<std::int64_t>(Rng.below(6000)), [this, Mine] {
      for (const auto &Link : Mine) {
        Cuts.erase(Link);
      }
    });
  }

  void dropMessages() {
    LossPercent = 5 + Rng.below(30);
    trace("lose " + std::to_string(LossPercent) + " % of all messages");
    after(500 + static_cast<std::int64_t>(Rng.below(4000)),
          [this] { LossPercent = 0; });
  }

  void killWorker() {
    const std::size_t Index = Rng.below(Workers.size());
    trace("kill worker " + Workers[Index].Name);
    retire(Workers[Index]);
    after(100 + static_cast<std::int64_t>(Rng.below(4000)), [this, Index] {
      if (!Workers[Index].Core) {
        startWorker(Workers[Index]);
      }
    });
  }

  void retire(SimulatedWorker &Worker) { Worker.Core.reset(); }

  void pauseWorker() {
    SimulatedWorker &Worker = Workers[Rng.below(Workers.size())];
    Worker.PausedUntil =
        Time + 200 + static_cast<std::int64_t>(Rng.below(5000));
    trace("pause worker " + Worker.Name);
  }

  void cancelWave() {
    trace("a wave of cancellations");
    for (const auto &[Key, Item] : Requests) {
      if (Rng.percent(40)) {
        sendCancel(Key);
      }
    }
  }

  void healFaults() {
    trace("heal");
    Cuts.clear();
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
    checkRulesInForce(Daemon);
    if (Daemon.Core->centre().isServing()) {
      for (const std::string &Text :
           checkLedger(Daemon.Core->centre().ledger())) {
        violate(Invariant::Ledger, Text);
      }
    }
  }

  /// Rules by which a data centre decides, over all its leaders.
  void checkRulesInForce(const SimulatedDaemon &Daemon) {
    if (!Daemon.Core->centre().isServing() ||
        RecoveredCentres.contains(Daemon.Centre)) {
      return;
    }
    Revision &Last = InForceByCentre[Daemon.Centre];
    const Revision Number = Daemon.Core->rules().Number;
    if (Number < Last) {
      violate(Invariant::Rules, Daemon.Centre + " decides by revision " +
                                    std::to_string(Number) + " after " +
                                    std::to_string(Last));
    }
    Last = std::max(Last, Number);
  }

  void checkGroup(SimulatedDaemon &Daemon, const std::string &Group) {
    const Replica *Member = Daemon.Core->replica(Group);
    if (Member == nullptr) {
      return;
    }
    recordRecovery(*Member, Group);
    LogIndex &Last = Daemon.Checked[Group];
    for (LogIndex Index = std::max(Last, Member->CompactedIndex) + 1;
         Index <= Member->LastApplied; ++Index) {
      const Entry &LogEntry =
          Member->Entries[Index - Member->CompactedIndex - 1];
      const std::uint64_t Hash =
          XXH3_64bits(LogEntry.Data.data(), LogEntry.Data.size()) ^
          (LogEntry.InTerm << 8U) ^ static_cast<std::uint64_t>(LogEntry.Kind);
      const auto [Found, Fresh] = Committed[Group].try_emplace(Index, Hash);
      if (!Fresh && Found->second != Hash) {
        violate(Invariant::Agreement, "group " + Group +
                                          " disagrees on entry " +
                                          std::to_string(Index));
      }
    }
    Last = std::max(Last, Member->LastApplied);
  }

  /// A sole survivor may lack entries that were committed without it.
  void recordRecovery(const Replica &Member, const std::string &Group) {
    for (const Entry &LogEntry : Member.Entries) {
      if (LogEntry.Kind != EntryKind::Recovery ||
          !RecoveryTerms.insert({Group, LogEntry.InTerm}).second) {
        continue;
      }
      Committed[Group].clear();
      for (auto &[Id, Other] : Daemons) {
        Other.Checked[Group] = 0;
      }
      RecoveredCentres.insert(Group);
      Result.Recoveries += 1;
      trace("group " + Group + " recovers with a sole survivor");
    }
  }

  void checkLeaders() {
    for (const std::string &Centre : Centres) {
      int Deciding = 0;
      for (auto &[Id, Daemon] : Daemons) {
        const bool Alive = Daemon.Core && Daemon.Centre == Centre;
        if (Alive && Daemon.Core->centre().isServing() &&
            canServeAsLeader(*Daemon.Core->replica(Centre), nowOf(Daemon))) {
          Deciding += 1;
        }
      }
      if (Deciding > 1) {
        violate(Invariant::OneLeader, Centre + " has two leaders");
      }
    }
  }

  bool isActive(const SimulatedWorker &Worker, const RunRecord &Run) const {
    return Run.End == Instant{} && nowOf(Worker) < Worker.Core->leaseEnd();
  }

  void checkRuns() {
    std::map<RunKey, int> Active;
    for (SimulatedWorker &Worker : Workers) {
      if (!Worker.Core) {
        continue;
      }
      Resources Used;
      std::size_t &Seen = CheckedRunCounts[{Worker.Name, Worker.Incarnation}];
      const auto &Runs = Worker.Core->runs();
      for (; Seen < Runs.size(); ++Seen) {
        recordRun(Runs[Seen]);
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
                                         " runs in two places");
      }
    }
  }

  void recordRun(const RunRecord &Run) {
    int &Count = RunCounts[{Run.Key, Run.Ordinal}];
    Count += 1;
    trace("run " + Run.Key + "#" + std::to_string(Run.Ordinal) + " attempt " +
          std::to_string(Run.Attempt));
    if (!Run.IsIdempotent && Count > 1) {
      violate(Invariant::AtMostOnce, Run.Key + " ran twice");
    }
    if (ReportedNotRun.contains(Run.Key)) {
      violate(Invariant::NotRun, Run.Key + " runs after it was told not run");
    }
  }

  /// Whether a group lost the memory of so many voters that it cannot go on.
  bool hasLostQuorum(const std::string &Group) {
    const Replica *Best = nullptr;
    for (auto &[Id, Daemon] : Daemons) {
      const Replica *Member =
          Daemon.Core ? Daemon.Core->replica(Group) : nullptr;
      const bool Better =
          Member != nullptr &&
          (Best == nullptr ||
           std::pair{Member->Hard.CurrentTerm, lastIndex(*Member)} >
               std::pair{Best->Hard.CurrentTerm, lastIndex(*Best)});
      if (Better && !membership(*Member).Voters.empty()) {
        Best = Member;
      }
    }
    if (Best == nullptr) {
      return true;
    }
    std::size_t Alive = 0;
    int Losses = 0;
    for (const Member &Voter : membership(*Best).Voters) {
      Alive += Daemons[Voter.Node].Incarnation == Voter.Incarnation ? 1 : 0;
      Losses += StateLosses[Voter.Node];
    }
    const std::size_t Voters = membership(*Best).Voters.size();
    return Alive < Voters / 2 + 1 && Losses > 0;
  }

  bool hasLeader(const std::string &Group) {
    return std::any_of(Daemons.begin(), Daemons.end(), [&](auto &Item) {
      const Replica *Member =
          Item.second.Core ? Item.second.Core->replica(Group) : nullptr;
      return Member != nullptr && canServeAsLeader(*Member, nowOf(Item.second));
    });
  }

  std::string describeGroup(const std::string &Group) {
    std::ostringstream Text;
    for (auto &[Id, Daemon] : Daemons) {
      const Replica *Member =
          Daemon.Core ? Daemon.Core->replica(Group) : nullptr;
      if (Member == nullptr) {
        continue;
      }
      Text << " [" << Id << "/" << Daemon.Incarnation << " "
           << nameOf(Member->Role) << " term " << Member->Hard.CurrentTerm
           << " last " << lastIndex(*Member) << " voters";
      for (const Member_ &Voter : membership(*Member).Voters) {
        Text << " " << Voter.Node << "/" << Voter.Incarnation;
      }
      Text << "]";
    }
    return Text.str();
  }

  std::string describeRequest(const ClientRequest &Item) {
    std::ostringstream Text;
    Text << nameOf(Item.Spec.Kind) << " of " << Item.Spec.TaskCount << " in "
         << Item.Home;
    for (auto &[Id, Daemon] : Daemons) {
      if (!Daemon.Core || Daemon.Centre != Item.Home ||
          !Daemon.Core->centre().isServing()) {
        continue;
      }
      const Ledger &State = Daemon.Core->centre().ledger();
      const RequestId Found =
          findRequest(State, Item.Spec.Customer, Item.Spec.Key);
      const Request *Row = State.Requests.find(Found);
      if (Row == nullptr) {
        Text << ", not in the ledger";
        continue;
      }
      Text << ", " << nameOf(Row->Result)
           << (Row->IsCancelled ? " cancelled" : "")
           << (Row->IsRestarting ? " restarting" : "")
           << (Row->IsFailing ? " failing" : "");
      for (const TaskId Each : Row->Tasks) {
        const Task &Part = State.Tasks[Each];
        const Worker *Place = State.Workers.find(Part.AssignedWorker);
        Text << ", " << nameOf(Part.State) << " attempts " << Part.Attempts
             << " refusals " << Part.Refusals
             << (Place == nullptr ? "" : " on " + Place->Name);
      }
      const CentreRuntime &Runtime = Daemon.Core->centre().runtime();
      Text << "; retries " << Runtime.RetryCount << " of "
           << Runtime.AttemptCount << ", held "
           << Runtime.ReservedWorkers.size();
      for (const auto &[Place, Owner] : Runtime.ReservedWorkers) {
        const Request &Holder = State.Requests[Owner];
        Text << " for " << Holder.Spec.Key << " " << nameOf(Holder.Spec.Kind)
             << " of " << Holder.Spec.TaskCount << " x "
             << Holder.Spec.Need.MilliCpus;
      }
      for (const WorkerId Each : State.Workers.ids()) {
        const Worker &Place = State.Workers[Each];
        const auto Seen = Daemon.Core->centre().runtime().Workers.find(Each);
        const bool Known =
            Seen != Daemon.Core->centre().runtime().Workers.end();
        Text << "; " << Place.Name << " " << Place.AssignedResources.MilliCpus
             << "/" << Place.Capacity.MilliCpus << " tasks "
             << Place.Tasks.size()
             << (Known && Seen->second.IsConfirmed ? " confirmed" : "")
             << (Known && Seen->second.HasOrphans ? " orphans" : "")
             << (Known && Seen->second.IsOnProbation ? " probation" : "");
      }
    }
    return Text.str();
  }

  void finalChecks() {
    std::set<std::string> Dead;
    std::vector<std::string> Groups = Centres;
    Groups.emplace_back(ConfigGroup);
    for (const std::string &Group : Groups) {
      if (hasLeader(Group)) {
        continue;
      }
      if (hasLostQuorum(Group)) {
        Dead.insert(Group);
        Result.LostGroups += 1;
        trace("DEAD " + Group + describeGroup(Group));
      } else {
        violate(Invariant::Progress,
                "group " + Group + " has no leader: " + describeGroup(Group));
      }
    }
    checkSettled(Dead);
    if (!Dead.contains(ConfigGroup) &&
        !RecoveredCentres.contains(ConfigGroup)) {
      checkConverged(Dead);
    }
  }

  void checkSettled(const std::set<std::string> &Dead) {
    for (const auto &[Key, Item] : Requests) {
      if (!Item.IsAccepted) {
        continue;
      }
      Result.Accepted += 1;
      const bool Open =
          !Item.LastOutcome || *Item.LastOutcome == Outcome::Pending;
      Result.Settled += Open ? 0 : 1;
      const bool Endless = Item.Spec.Kind == WorkKind::Service;
      if (Open && !Endless && !Dead.contains(Item.Home) &&
          !RecoveredCentres.contains(Item.Home) && hasUsableWorkers(Item)) {
        violate(Invariant::Progress,
                Key + " has no outcome: " + describeRequest(Item));
      }
    }
  }

  /// Work that needs more than the good workers together stays queued.
  bool hasUsableWorkers(const ClientRequest &Item) const {
    std::int64_t Places = 0;
    for (const SimulatedWorker &Worker : Workers) {
      const bool Good = Worker.Centre == Item.Home &&
                        !Worker.Faults.FailsEverything &&
                        !Worker.Faults.RefusesEverything;
      const std::int64_t Fit =
          std::min(Worker.Capacity.MilliCpus / Item.Spec.Need.MilliCpus,
                   Worker.Capacity.Slots);
      Places += Good ? Fit : 0;
    }
    std::int64_t Services = 0;
    for (const auto &[Key, Other] : Requests) {
      Services +=
          Other.Home == Item.Home && Other.Spec.Kind == WorkKind::Service
              ? Other.Spec.TaskCount * 3
              : 0;
    }
    return Places >= Item.Spec.TaskCount + Services;
  }

  void checkConverged(const std::set<std::string> &Dead) {
    for (auto &[Id, Daemon] : Daemons) {
      if (Daemon.Core && !Dead.contains(Daemon.Centre) &&
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
  std::priority_queue<Event> Events;
  std::uint64_t NextOrder = 0;
  std::int64_t Time = 0;
  std::uint64_t NextIncarnation = 1000;
  std::set<std::pair<NodeId, NodeId>> Cuts;
  std::uint64_t LossPercent = 0;
  bool KillNextAfterRepair = false;
  std::uint64_t NextPoll = 1;
  std::uint64_t NextCall = 1;
  std::map<std::uint64_t, OpenPoll> OpenPolls;
  std::map<std::uint64_t, std::function<void(const CallResult *)>> OpenCalls;
  std::map<std::string, ClientRequest> Requests;
  std::set<std::string> ReportedNotRun;
  std::map<RunKey, int> RunCounts;
  std::map<std::pair<std::string, std::uint64_t>, std::size_t> CheckedRunCounts;
  std::map<std::string, OpenChange> Changes;
  std::map<Revision, std::string> Winners;
  Revision HighestAccepted = 0;
  std::map<std::string, Revision> InForceByCentre;
  std::string RuleText;
  std::map<std::string, std::map<LogIndex, std::uint64_t>> Committed;
  std::set<std::pair<std::string, Term>> RecoveryTerms;
  std::set<std::string> RecoveredCentres;
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
