#include "cell/cell_world.hpp"

#include "cell/fake_worker.hpp"
#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/core/random.hpp"
#include "mulberryramp/storage/group_store.hpp"
#include "support/cell_parts.hpp"
#include "support/memory_files.hpp"

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <optional>

namespace mulberryramp::test {

namespace {

constexpr Millis StepTime{5};
constexpr Millis SyncTime{9};
constexpr Millis FaultTime{16000}; ///< Faults begin within this time.
constexpr Millis WholeTime{45000}; ///< All is healed and has to be done by now.
constexpr Millis ReportInterval{500};
constexpr Millis CancelBound{3000};
constexpr NodeId Voters = 3;
constexpr NodeId FrontendId = 100;
constexpr int WorkerCount = 4;
constexpr std::uint32_t MaxAttempts = 3;
constexpr std::int64_t TaskCpus = 1000;
constexpr int MaxLastingJobs = 2;
/// How long members of a gang wait for the others.
constexpr Millis GangTimeout{3000};

struct Voter {
  MemoryFiles Files;
  std::optional<GroupStore> Store;
  std::unique_ptr<CellNode> Node;
  std::uint64_t Incarnation = 1;
  std::optional<PersistBatch> Writing;
  Instant WriteEndsAt;
  Instant PausedUntil;
  Instant DownUntil;
  Instant CutUntil;
  Instant StalledUntil;
  bool IsGone = false;
};

struct InFlight {
  Instant At;
  CellMessage Message;
};

struct OrderInFlight {
  Instant At;
  NodeId From = 0;
  std::uint64_t Life = 0; ///< Of the node that sent it.
  std::string Worker;
  WorkerOrder Order;
  bool IsAnswered = true;
  std::uint64_t WorkerInstance = 0; ///< Life of the worker when it was sent.
};

struct AnswerInFlight {
  Instant At;
  NodeId To = 0;
  std::uint64_t Life = 0;
  OrderResult Result;
};

struct WorkerState {
  std::unique_ptr<FakeWorker> Worker;
  Instant CutUntil;
  Instant ReportAt;
  std::uint64_t Life = 0;
  /// Life that last answered each node: what its kept connections lead to.
  std::map<std::pair<NodeId, std::uint64_t>, std::uint64_t> ConnectedGeneration;
  std::map<std::uint64_t, std::pair<NodeId, std::uint64_t>> Holds;
};

/// One run of a gang, as its workers see it.
struct GangRun {
  Instant Since;
  std::optional<Instant> DoneAt; ///< Set once all members were there.
};

struct TrackedJob {
  JobSpec Spec;
  bool IsAccepted = false;
  bool IsCancelSent = false;
  std::optional<Instant> CancelledAt;
  std::optional<JobPhase> Phase;
};

class CellSimulation {
public:
  explicit CellSimulation(const CellScheduleOptions &Options)
      : Options{Options}, Rng{Options.Seed} {
    for (NodeId Id = 1; Id <= Voters; ++Id) {
      startVoter(Id, true);
    }
    CellNodeOptions Relay;
    Relay.Self = FrontendId;
    Relay.Seeds = {1, 2, 3};
    Front = std::make_unique<CellNode>(Relay, StoredGroup{}, Now);
    for (int Index = 0; Index < WorkerCount; ++Index) {
      const std::string Name = "w" + std::to_string(Index);
      Resources Capacity;
      Capacity.MilliCpus = 4 * TaskCpus;
      Capacity.MemoryMb = 100;
      Workers[Name].Worker = std::make_unique<FakeWorker>(
          Name, Capacity, Options.Seed * 31 + Index, Now);
    }
    LastLeader = 0;
  }

  CellScheduleResult run() {
    configure();
    while (Now < End) {
      Now += StepTime;
      if (Now < FaultsEnd) {
        injectFaults();
      }
      issueCalls();
      deliver();
      for (auto &[Id, Item] : VotersById) {
        stepVoter(Id, Item);
      }
      collect(FrontendId, 0, Front->step(Now, wall()));
      stepWorkers();
      check();
    }
    checkEnd();
    return Result;
  }

private:
  [[nodiscard]] WallTime wall() const {
    return WallTime{Now.time_since_epoch()};
  }

  void violate(const std::string &Text) {
    Result.Violations.push_back(
        std::to_string((Now - Instant{Millis{100000}}).count()) +
        " ms: " + Text);
  }

  static CellNodeOptions voterOptions(NodeId Id, std::uint64_t Incarnation,
                                      std::uint64_t Seed) {
    CellNodeOptions Node;
    Node.Self = Id;
    Node.Seeds = {1, 2, 3};
    Node.IsVoter = true;
    Node.Incarnation = Incarnation;
    Node.Agreement.HasDynamicMembership = true;
    Node.Agreement.AllowsUnsafeRecovery = false;
    Node.Agreement.SnapshotThreshold = 60;
    Node.Agreement.TrailingEntries = 10;
    Node.Dispatch.ReportInterval = ReportInterval;
    Node.Seed = Seed;
    return Node;
  }

  void startVoter(NodeId Id, bool IsBootstrapVoter) {
    Voter &Item = VotersById[Id];
    StoredGroup Stored;
    Item.Store.emplace(*GroupStore::open(Item.Files, "cell", Stored));
    if (IsBootstrapVoter && Stored.LatestSnapshot.Voters.Voters.empty()) {
      Stored = bootstrapGroup({{1, 1}, {2, 1}, {3, 1}});
      PersistBatch First;
      First.NewSnapshot = Stored.LatestSnapshot;
      (void)Item.Store->write(First);
    }
    Item.Node = std::make_unique<CellNode>(
        voterOptions(Id, Item.Incarnation, Rng.next()), std::move(Stored), Now);
    Item.Writing.reset();
    Item.DownUntil = Instant{};
    Lives[Id] += 1;
  }

  void configure() {
    CellConfiguration Configuration = makeTestConfiguration(1, MaxAttempts);
    Configuration.Queues.front().LatencyTarget = Millis{500};
    Front->call(NextCall, ConfigureCall{Configuration}, Now);
    ConfigureId = NextCall;
    NextCall += 1;
  }

  // Faults.

  bool shouldInject(CellFault Kind, std::uint64_t OneIn) {
    return Options.Faults.contains(Kind) && Rng.below(OneIn) == 0;
  }

  /// One voter is harmed at a time, as the group tolerates.
  bool canInjectNodeFault() {
    return std::all_of(VotersById.begin(), VotersById.end(),
                       [this](const auto &Item) {
                         const Voter &Each = Item.second;
                         return Each.IsGone ||
                                (Each.Node && Now >= Each.PausedUntil &&
                                 Now >= Each.CutUntil);
                       }) &&
           Now >= NextNodeFaultAt;
  }

  Voter &randomVoter(NodeId &Id) {
    std::vector<NodeId> Present;
    for (const auto &[Each, Item] : VotersById) {
      if (!Item.IsGone) {
        Present.push_back(Each);
      }
    }
    Id = Present[Rng.below(Present.size())];
    return VotersById.at(Id);
  }

  Millis randomDuration(std::int64_t Least, std::int64_t Most) {
    return Millis{Least + static_cast<std::int64_t>(Rng.below(
                              static_cast<std::uint64_t>(Most - Least)))};
  }

  void stop(Voter &Item, Millis For) {
    Item.Node.reset();
    Item.Store.reset();
    Item.Writing.reset();
    Item.Files.crash(Rng.below(40));
    Item.DownUntil = Now + For;
  }

  void injectFaults() {
    injectNodeFaults();
    const std::string Name = "w" + std::to_string(Rng.below(WorkerCount));
    WorkerState &Item = Workers.at(Name);
    if (shouldInject(CellFault::PartitionWorker, 1200)) {
      Item.CutUntil = Now + randomDuration(300, 7000);
    }
    if (shouldInject(CellFault::RestartWorker, 1500)) {
      Item.Worker->restart(Now);
      Item.Life += 1;
      Item.Holds.clear();
      Item.ReportAt = Now + randomDuration(0, 300);
    }
    if (shouldInject(CellFault::DelayOrders, 600)) {
      LateUntil = Now + randomDuration(200, 1500);
    }
    if (shouldInject(CellFault::LoseMessages, 600)) {
      LossUntil = Now + randomDuration(200, 1500);
    }
  }

  void injectNodeFaults() {
    if (!canInjectNodeFault()) {
      return;
    }
    NodeId Id = 0;
    Voter &Item = randomVoter(Id);
    if (shouldInject(CellFault::KillNode, 500)) {
      stop(Item, randomDuration(50, 3000));
    } else if (shouldInject(CellFault::WipeNode, 1200)) {
      stop(Item, randomDuration(50, 2000));
      Item.Files.wipe();
      Item.Incarnation += 1000;
      NextNodeFaultAt = Now + Millis{6000};
    } else if (shouldInject(CellFault::ReplaceNode, 1500)) {
      stop(Item, Millis{1});
      Item.IsGone = true;
      const NodeId Fresh = NextVoter;
      NextVoter += 1;
      VotersById[Fresh].Incarnation = 5000 + Fresh;
      VotersById[Fresh].DownUntil = Now + randomDuration(50, 1500);
      NextNodeFaultAt = Now + Millis{8000};
    } else if (shouldInject(CellFault::PauseNode, 600)) {
      Item.PausedUntil = Now + randomDuration(200, 4000);
    } else if (shouldInject(CellFault::PartitionNode, 600)) {
      Item.CutUntil = Now + randomDuration(200, 4000);
    } else if (shouldInject(CellFault::StallDisk, 600)) {
      Item.StalledUntil = Now + randomDuration(200, 3000);
    } else if (shouldInject(CellFault::PowerOff, 1500)) {
      for (auto &[Each, Other] : VotersById) {
        if (!Other.IsGone) {
          stop(Other, randomDuration(50, 1500));
        }
      }
    }
  }

  // Callers.

  void issueCalls() {
    if (Front->isReadyForCallers(Now) && Now < FaultsEnd &&
        Rng.below(90) == 0) {
      submit();
    }
    if (shouldInject(CellFault::Cancel, 150) && !Jobs.empty() &&
        Now < FaultsEnd) {
      auto Item = Jobs.begin();
      std::advance(Item, static_cast<std::int64_t>(Rng.below(Jobs.size())));
      if (Item->second.IsAccepted) {
        cancel(Item->first, Item->second);
      }
    }
    if (Now >= ReadAt) {
      ReadAt = Now + Millis{400};
      for (auto &[Name, Item] : Jobs) {
        const bool IsOpen = !Item.Phase || !isTerminal(*Item.Phase);
        if (Item.IsAccepted && IsOpen) {
          call(JobVerb::Read, Name, {});
        } else if (!Item.IsAccepted && Now > FaultsEnd) {
          call(JobVerb::Submit, Name, Item.Spec);
        }
      }
      retryCancels();
    }
  }

  void retryCancels() {
    for (auto &[Name, Item] : Jobs) {
      if (Item.IsCancelSent && !Item.CancelledAt) {
        call(JobVerb::Cancel, Name, {});
      }
    }
  }

  void call(JobVerb Verb, const std::string &Name, const JobSpec &Spec) {
    Calls[NextCall] = {Verb, Name};
    Front->call(NextCall, JobCall{Verb, "host", "/q/" + Name, Spec}, Now);
    NextCall += 1;
  }

  void submit() {
    const std::string Name = "j" + std::to_string(Jobs.size());
    JobSpec Spec;
    // More lasting tasks would leave no room for others to end.
    std::uint64_t Form = Rng.below(12);
    Form = Form == 0 && LastingJobs == MaxLastingJobs ? 1 : Form;
    LastingJobs += Form == 0 ? 1 : 0;
    Spec.Payload = Form == 0 ? "lasting" : Form == 3 ? "gang" : "work";
    const std::uint64_t Steps = Form == 0 ? 1 : 1 + Rng.below(3);
    for (std::uint64_t Index = 0; Index < Steps; ++Index) {
      StepSpec Step;
      Step.Tasks = static_cast<std::uint32_t>(1 + Rng.below(4));
      Step.Need.MilliCpus = TaskCpus;
      Step.Estimate = FakeWorker::WorkTime;
      Step.IsLongRunning = Form == 0;
      Step.IsSpeculative = Form == 1;
      if (Form == 2) {
        Step.MaxPerWorker = 1;
      }
      Step.IsGang = Form == 3;
      if (Index > 0) {
        Step.DependsOn.push_back(static_cast<std::uint32_t>(Index - 1));
      }
      Spec.Steps.push_back(Step);
    }
    Jobs[Name].Spec = Spec;
    Result.Submitted += 1;
    call(JobVerb::Submit, Name, Spec);
  }

  void cancel(const std::string &Name, TrackedJob &Item) {
    Item.IsCancelSent = true;
    call(JobVerb::Cancel, Name, {});
  }

  void takeReplies(const std::vector<LocalReply> &Replies) {
    for (const LocalReply &Done : Replies) {
      if (Done.CallId == ConfigureId &&
          Done.Reply.Verdict != CellVerdict::Done) {
        configure();
        continue;
      }
      const auto Found = Calls.find(Done.CallId);
      if (Found != Calls.end()) {
        handleReply(Found->second.first, Found->second.second, Done.Reply);
        Calls.erase(Found);
      }
    }
  }

  void handleReply(JobVerb Verb, const std::string &Name,
                   const CellReply &Reply) {
    TrackedJob &Item = Jobs.at(Name);
    if (Verb == JobVerb::Submit) {
      Item.IsAccepted = Item.IsAccepted || Reply.Verdict == CellVerdict::Done;
      return;
    }
    if (Verb == JobVerb::Cancel) {
      if (Reply.Verdict == CellVerdict::Done && !Item.CancelledAt) {
        Item.CancelledAt = Now;
      }
      return;
    }
    if (Reply.Verdict == CellVerdict::Gone) {
      violate("accepted job " + Name + " is not known");
    }
    if (Reply.Verdict != CellVerdict::Done) {
      return;
    }
    if (Item.Phase && isTerminal(*Item.Phase) && *Item.Phase != Reply.Phase) {
      violate("job " + Name + " was over and is " +
              std::string{nameOf(Reply.Phase)});
    }
    Item.Phase = Reply.Phase;
    if (Reply.Phase == JobPhase::Completed) {
      checkCompleted(Name, Item);
    }
  }

  void checkCompleted(const std::string &Name, const TrackedJob &Item) {
    for (std::uint32_t Step = 0; Step < Item.Spec.Steps.size(); ++Step) {
      for (std::uint32_t Task = 0; Task < Item.Spec.Steps[Step].Tasks; ++Task) {
        if (!DoneTasks.contains({Name, 0, Step, Task})) {
          violate("job " + Name + " is completed without task " +
                  std::to_string(Step) + "." + std::to_string(Task));
        }
      }
    }
  }

  // Messages.

  bool isCut(NodeId Id) const {
    const auto Found = VotersById.find(Id);
    return Found != VotersById.end() && Now < Found->second.CutUntil;
  }

  bool isLost() { return Now < LossUntil && Rng.percent(20); }

  void collect(NodeId From, std::uint64_t Life, CellOutput Output) {
    for (CellMessage &Message : Output.Messages) {
      if (!isCut(From) && !isCut(Message.To) && !isLost()) {
        Network.push_back({Now + randomDuration(1, 12), std::move(Message)});
      }
    }
    for (WorkerOrder &Order : Output.Orders) {
      OrderInFlight Item;
      Item.At = Now + randomDuration(1, 12);
      Item.From = From;
      Item.Life = Life;
      Item.Worker = Order.Address.substr(0, Order.Address.find(':'));
      if (Now < LateUntil && Rng.percent(50)) {
        Item.At = Now + randomDuration(2000, 12000);
        Item.IsAnswered = false;
      }
      Item.WorkerInstance = Workers.at(Item.Worker).Life;
      if (Order.NeedsOpenConnection &&
          Workers.at(Item.Worker).ConnectedGeneration[{From, Life}] !=
              Item.WorkerInstance) {
        OrderResult Unsent;
        Unsent.Id = Order.Id;
        Unsent.Verdict = OrderVerdict::Unsent;
        Deadlines[{From, Life, Order.Id}] = Now + Order.Timeout;
        answer(From, Life, Unsent);
        continue;
      }
      Deadlines[{From, Life, Order.Id}] = Now + Order.Timeout;
      Item.Order = std::move(Order);
      Orders.push_back(std::move(Item));
    }
    if (Options.IsTraced) {
      for (const std::string &Line : Output.Events) {
        std::cout << (Now - Instant{Millis{100000}}).count() << " node=" << From
                  << ' ' << Line << '\n';
      }
    }
    takeReplies(Output.Replies);
  }

  void deliver() {
    std::vector<InFlight> Due;
    std::erase_if(Network, [&](InFlight &Item) {
      if (Item.At > Now) {
        return false;
      }
      Due.push_back(std::move(Item));
      return true;
    });
    for (const InFlight &Item : Due) {
      if (Item.Message.To == FrontendId) {
        Front->receive(Item.Message, Now, wall());
        continue;
      }
      const auto To = VotersById.find(Item.Message.To);
      const bool IsUp = To != VotersById.end() && To->second.Node &&
                        Now >= To->second.PausedUntil && !isCut(To->first);
      if (IsUp) {
        To->second.Node->receive(Item.Message, Now, wall());
      }
    }
    deliverOrders();
    deliverAnswers();
  }

  void deliverOrders() {
    std::vector<OrderInFlight> Due;
    std::erase_if(Orders, [&](OrderInFlight &Item) {
      if (Item.At > Now) {
        return false;
      }
      Due.push_back(std::move(Item));
      return true;
    });
    for (const OrderInFlight &Item : Due) {
      WorkerState &To = Workers.at(Item.Worker);
      // An order that a process holds back ends with the process.
      const bool IsForgotten =
          !Item.IsAnswered && Item.WorkerInstance != To.Life;
      if (Now < To.CutUntil || IsForgotten) {
        continue;
      }
      auto Answer = To.Worker->handleOrder(Item.Order, Now, !Item.IsAnswered);
      if (!Item.IsAnswered) {
        continue;
      }
      To.ConnectedGeneration[{Item.From, Item.Life}] = To.Life;
      if (Answer) {
        answer(Item.From, Item.Life, std::move(*Answer));
      } else {
        To.Holds[Item.Order.Id] = {Item.From, Item.Life};
      }
    }
  }

  void answer(NodeId To, std::uint64_t Life, OrderResult Answer) {
    Answers.push_back(
        {Now + randomDuration(1, 12), To, Life, std::move(Answer)});
  }

  void deliverAnswers() {
    for (const auto &[Key, Until] : std::map{Deadlines}) {
      if (Now >= Until) {
        OrderResult Late;
        Late.Id = std::get<2>(Key);
        giveAnswer(std::get<0>(Key), std::get<1>(Key), Late);
      }
    }
    std::vector<AnswerInFlight> Due;
    std::erase_if(Answers, [&](AnswerInFlight &Item) {
      if (Item.At > Now) {
        return false;
      }
      Due.push_back(std::move(Item));
      return true;
    });
    for (const AnswerInFlight &Item : Due) {
      giveAnswer(Item.To, Item.Life, Item.Result);
    }
  }

  void giveAnswer(NodeId To, std::uint64_t Life, const OrderResult &Answer) {
    if (Deadlines.erase({To, Life, Answer.Id}) == 0) {
      return;
    }
    const auto Found = VotersById.find(To);
    if (Found != VotersById.end() && Found->second.Node &&
        Lives.at(To) == Life) {
      if (Now < Found->second.PausedUntil) {
        Deadlines[{To, Life, Answer.Id}] = Found->second.PausedUntil;
        return;
      }
      Found->second.Node->onOrderDone(Answer, Now, wall());
    }
  }

  // Nodes and workers.

  void stepVoter(NodeId Id, Voter &Item) {
    if (Item.IsGone || Now < Item.PausedUntil) {
      return;
    }
    if (!Item.Node) {
      if (Now >= Item.DownUntil) {
        startVoter(Id, false);
      }
      return;
    }
    if (Item.Writing && Now >= Item.WriteEndsAt && Now >= Item.StalledUntil) {
      (void)Item.Store->write(*Item.Writing);
      Item.Writing.reset();
      Item.Node->writeDone();
    }
    CellOutput Output = Item.Node->step(Now, wall());
    if (Output.Write) {
      Item.Writing = std::move(Output.Write);
      Output.Write.reset();
      Item.WriteEndsAt = Now + SyncTime;
    }
    if (Item.Node->isLeading(Now) && LastLeader != Id) {
      LastLeader = Id;
      Result.LeaderChanges += 1;
    }
    collect(Id, Lives.at(Id), std::move(Output));
  }

  using GangKey = std::tuple<std::string, std::uint32_t, std::uint32_t>;
  using GangMembers = std::vector<std::pair<FakeWorker *, TaskName>>;

  /// Members of a gang work from when all of one run are there, and end
  /// together.
  void stepGangs() {
    std::map<GangKey, GangMembers> Present;
    for (auto &[Name, Item] : Workers) {
      for (const auto &[Task, Attempt] : Item.Worker->running()) {
        if (stepOf(Task).IsGang) {
          Present[{Task.Job, Task.Step, Attempt}].emplace_back(
              Item.Worker.get(), Task);
        }
      }
    }
    for (const auto &[Key, Members] : Present) {
      stepGang(Key, Members);
    }
    std::erase_if(Gangs, [&Present](const auto &Item) {
      return !Present.contains(Item.first);
    });
  }

  void stepGang(const GangKey &Key, const GangMembers &Members) {
    GangRun &Run = Gangs.try_emplace(Key, GangRun{Now, {}}).first->second;
    const StepSpec &Step = stepOf(Members.front().second);
    const bool IsWhole = Members.size() == Step.Tasks;
    if (IsWhole && !Run.DoneAt) {
      Run.DoneAt = Now + FakeWorker::WorkTime;
    } else if (IsWhole && Now >= *Run.DoneAt) {
      const bool HasFailed = Rng.percent(5);
      for (const auto &[Worker, Task] : Members) {
        const bool IsCulprit = HasFailed && Task == Members.front().second;
        Worker->endRun(Task, IsCulprit   ? EndKind::Failed
                             : HasFailed ? EndKind::GangBroken
                                         : EndKind::Done);
      }
    } else if (!IsWhole && (Run.DoneAt || Now - Run.Since > GangTimeout)) {
      for (const auto &[Worker, Task] : Members) {
        Worker->endRun(Task, Run.DoneAt ? EndKind::GangBroken
                                        : EndKind::GangTimedOut);
      }
    }
  }

  void stepWorkers() {
    stepGangs();
    for (auto &[Name, Item] : Workers) {
      if (Now >= Item.ReportAt && Now >= Item.CutUntil) {
        Item.ReportAt = Now + ReportInterval;
        Front->call(NextCall, WorkerReportCall{Item.Worker->report(Now)}, Now);
        NextCall += 1;
      }
      for (OrderResult &Answer : Item.Worker->advance(Now)) {
        const auto Hold = Item.Holds.find(Answer.Id);
        if (Hold != Item.Holds.end() && Now >= Item.CutUntil) {
          answer(Hold->second.first, Hold->second.second, std::move(Answer));
        }
        if (Hold != Item.Holds.end()) {
          Item.Holds.erase(Hold);
        }
      }
      for (const WorkerEvent &Deed : Item.Worker->takeEvents()) {
        note(Name, Deed);
      }
    }
  }

  // Invariants.

  const StepSpec &stepOf(const TaskName &Task) const {
    return Jobs.at(Task.Job).Spec.Steps[Task.Step];
  }

  void note(const std::string &Worker, const WorkerEvent &Deed) {
    const StepSpec &Step = stepOf(Deed.Task);
    const std::string Text = Deed.Task.Job + "." +
                             std::to_string(Deed.Task.Step) + "." +
                             std::to_string(Deed.Task.Task) + " attempt " +
                             std::to_string(Deed.Attempt) + " on " + Worker;
    if (Options.IsTraced) {
      constexpr const char *Names[] = {"started", "ended", "acked-done",
                                       "acked-failed"};
      std::cout << (Now - Instant{Millis{100000}}).count() << " worker "
                << Names[static_cast<int>(Deed.What)] << ' ' << Text
                << (Deed.IsLate ? " late" : "") << '\n';
    }
    switch (Deed.What) {
    case WorkerEvent::Kind::Started:
      Result.Starts += 1;
      checkStart(Deed, Step, Text);
      break;
    case WorkerEvent::Kind::Ended:
      if (Deed.EndedAs == EndKind::Done) {
        DoneTasks.insert(Deed.Task);
      }
      break;
    case WorkerEvent::Kind::AckedDone:
      AckedDone[Deed.Task] = Now;
      break;
    case WorkerEvent::Kind::AckedFailed:
      AckedFailures[Deed.Task] += 1;
      break;
    }
  }

  void checkStart(const WorkerEvent &Deed, const StepSpec &Step,
                  const std::string &Text) {
    const auto Acked = AckedDone.find(Deed.Task);
    // Copies have a time bound, and late orders none.
    const Millis Allowed = Step.IsSpeculative ? Millis{1000} : Millis{0};
    const bool IsExempt =
        Step.IsLongRunning || (Step.IsSpeculative && Deed.IsLate);
    if (Acked != AckedDone.end() && Now - Acked->second > Allowed &&
        !IsExempt) {
      violate("start after its end was acknowledged: " + Text);
    }
    if (Step.IsGang) {
      checkGangStart(Deed, Step, Text);
    }
    if (AckedFailures[Deed.Task] >= MaxAttempts && !IsExempt) {
      violate("start beyond the attempts: " + Text);
    }
    for (const std::uint32_t Earlier : Step.DependsOn) {
      const auto &Before = Jobs.at(Deed.Task.Job).Spec.Steps[Earlier];
      for (std::uint32_t Task = 0; Task < Before.Tasks; ++Task) {
        if (!DoneTasks.contains({Deed.Task.Job, 0, Earlier, Task})) {
          violate("start out of order: " + Text);
        }
      }
    }
    const auto &Cancelled = Jobs.at(Deed.Task.Job).CancelledAt;
    if (Cancelled && Now - *Cancelled > CancelBound && !Deed.IsLate) {
      violate("start after the job was cancelled: " + Text);
    }
  }

  /// One end of a member stands for all, and two runs are never mixed.
  void checkGangStart(const WorkerEvent &Deed, const StepSpec &Step,
                      const std::string &Text) {
    TaskName Member = Deed.Task;
    for (Member.Task = 0; Member.Task < Step.Tasks; ++Member.Task) {
      if (AckedDone.contains(Member)) {
        violate("start of a gang that is done: " + Text);
      }
    }
    for (const auto &[Name, Item] : Workers) {
      for (const auto &[Task, Attempt] : Item.Worker->running()) {
        if (Task.Job == Deed.Task.Job && Task.Step == Deed.Task.Step &&
            Attempt != Deed.Attempt) {
          violate("two runs of a gang at once: " + Text);
        }
      }
    }
  }

  void check() {
    std::map<TaskName, std::string> Running;
    for (const auto &[Name, Item] : Workers) {
      std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> OnStep;
      std::int64_t Used = 0;
      for (const auto &[Task, Attempt] : Item.Worker->running()) {
        const StepSpec &Step = stepOf(Task);
        Used += Step.Need.MilliCpus;
        const auto Other = Running.emplace(Task, Name);
        if (!Other.second && !Step.IsSpeculative) {
          violate("runs twice: " + Task.Job + "." + std::to_string(Task.Step) +
                  "." + std::to_string(Task.Task) + " on " + Name + " and " +
                  Other.first->second);
        }
        OnStep[{Task.Job, Task.Step}] += 1;
        if (Step.MaxPerWorker != 0 &&
            OnStep[{Task.Job, Task.Step}] > Step.MaxPerWorker) {
          violate("too many tasks of a step on " + Name);
        }
      }
      if (Used > 4 * TaskCpus) {
        violate("overcommitted: " + Name);
      }
    }
  }

  void checkEnd() {
    for (const auto &[Name, Item] : Jobs) {
      if (!Item.IsAccepted) {
        violate("job " + Name + " was never accepted");
        continue;
      }
      const bool IsLongRunning = Item.Spec.Steps.front().IsLongRunning;
      const bool IsOver = Item.Phase && isTerminal(*Item.Phase);
      Result.Completed +=
          Item.Phase && *Item.Phase == JobPhase::Completed ? 1 : 0;
      if (!IsOver && !IsLongRunning && !Item.CancelledAt) {
        violate("job " + Name + " is not done");
      }
      if (IsLongRunning && !Item.CancelledAt) {
        checkLasting(Name, Item);
      }
    }
  }

  /// With few workers not all lasting tasks have room.
  void checkLasting(const std::string &Name, const TrackedJob &Item) {
    std::size_t Here = 0;
    std::size_t All = 0;
    for (const auto &[Worker, State] : Workers) {
      for (const auto &[Task, Attempt] : State.Worker->running()) {
        All += 1;
        Here += Task.Job == Name ? 1 : 0;
      }
    }
    const bool HasRoom = All < std::size_t{4} * WorkerCount;
    if (HasRoom && Here < Item.Spec.Steps.front().Tasks) {
      violate("lasting job " + Name + " does not run");
    }
  }

  CellScheduleOptions Options;
  Random Rng;
  Instant Now{Millis{100000}};
  Instant FaultsEnd{Now + FaultTime};
  Instant End{Now + WholeTime};
  std::map<NodeId, Voter> VotersById;
  std::map<NodeId, std::uint64_t> Lives;
  NodeId NextVoter = Voters + 1;
  std::unique_ptr<CellNode> Front;
  std::map<std::string, WorkerState> Workers;
  std::vector<InFlight> Network;
  std::vector<OrderInFlight> Orders;
  std::vector<AnswerInFlight> Answers;
  std::map<std::tuple<NodeId, std::uint64_t, std::uint64_t>, Instant> Deadlines;
  Instant LateUntil;
  Instant LossUntil;
  Instant NextNodeFaultAt{Now + Millis{2000}};
  Instant ReadAt;
  std::map<std::string, TrackedJob> Jobs;
  std::map<std::uint64_t, std::pair<JobVerb, std::string>> Calls;
  std::uint64_t NextCall = 1;
  int LastingJobs = 0;
  std::uint64_t ConfigureId = 0;
  NodeId LastLeader = 0;
  std::map<GangKey, GangRun> Gangs;
  std::set<TaskName> DoneTasks;
  std::map<TaskName, Instant> AckedDone;
  std::map<TaskName, std::uint32_t> AckedFailures;
  CellScheduleResult Result;
};

} // namespace

std::set<CellFault> allCellFaults() {
  std::set<CellFault> All;
  for (std::size_t Index = 0; Index < nameTable(CellFault{}).size(); ++Index) {
    All.insert(static_cast<CellFault>(Index));
  }
  return All;
}

CellScheduleResult runCellSchedule(const CellScheduleOptions &Options) {
  return CellSimulation{Options}.run();
}

} // namespace mulberryramp::test
