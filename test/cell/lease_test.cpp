#include "cell/fake_worker.hpp"
#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/storage/group_store.hpp"
#include "support/cell_parts.hpp"
#include "support/memory_files.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

constexpr NodeId VoterCount = 3;
constexpr Millis StepTime{5};
constexpr Millis ReportInterval{500};
constexpr std::int64_t TaskMilliCpus = 1000;
/// A long-running task runs again within this time of its last run while a
/// worker has room.
constexpr Millis MaxTimeWithoutRun{9000};

/// Three voters with disks that sync at once, and workers with room for one
/// task each.
class LeaseCell {
public:
  LeaseCell() {
    for (NodeId Id = 1; Id <= VoterCount; ++Id) {
      startVoter(Id);
    }
    stepFor(Millis{2000});
    call(ConfigureCall{makeTestConfiguration(1, 1)});
    stepFor(Millis{500});
  }

  void addWorker(const std::string &Name) {
    Resources Capacity;
    Capacity.MilliCpus = TaskMilliCpus;
    Workers[Name] =
        std::make_unique<FakeWorker>(Name, Capacity, Workers.size() + 1, Now);
  }

  /// Ends the process of a worker for good.
  void loseWorker(const std::string &Name) { Lost.insert(Name); }

  void restartWorker(const std::string &Name) {
    Lost.erase(Name);
    Workers.at(Name)->restart(Now);
  }

  /// Drains a worker, which leaves and ends its process.
  void leave(const std::string &Name) {
    WorkerReport Report = Workers.at(Name)->report(Now);
    Report.IsDraining = true;
    call(WorkerReportCall{Report});
    stepFor(Millis{50});
    Lost.insert(Name);
    call(DeregisterWorkerCall{Name});
    stepFor(Millis{50});
  }

  /// Delivers start orders again, except those that are held.
  void passStarts() { HoldsStarts = false; }

  void submitLongRunning(const std::string &Name) {
    JobSpec Spec;
    Spec.Payload = "lasting";
    StepSpec &Only = Spec.Steps.emplace_back();
    Only.Tasks = 1;
    Only.Need.MilliCpus = TaskMilliCpus;
    Only.IsLongRunning = true;
    call(JobCall{JobVerb::Submit, "host", "/q/" + Name, Spec});
  }

  /// Suspends the leader for a time, so that another voter is elected.
  void suspendLeader(Millis Time) { SuspendedUntil[leader()] = Now + Time; }

  /// Ends the process of the leader. It starts again with its disk after a
  /// time.
  void killLeader(Millis Time) {
    const NodeId Killed = leader();
    if (Killed != 0) {
      SuspendedUntil[Killed] = Now + Time;
      Ended.insert(Killed);
    }
  }

  /// Keeps orders from a worker, while its reports arrive.
  void cutOrders(const std::string &Name) { WithoutOrders.insert(Name); }

  void stepFor(Millis Time) {
    for (const Instant End = Now + Time; Now < End;) {
      step();
    }
  }

  /// Steps until a task runs.
  /// @return The time that it took, or `Limit`.
  Millis stepUntilRunning(const std::string &Job, Millis Limit) {
    const Instant Begin = Now;
    while (workerOf(Job).empty() && Now - Begin < Limit) {
      step();
    }
    return Now - Begin;
  }

  /// Returns the worker that runs the task of a job, or an empty name.
  [[nodiscard]] std::string workerOf(const std::string &Job) const {
    for (const auto &[Name, Worker] : Workers) {
      if (Lost.contains(Name)) {
        continue;
      }
      for (const auto &[Task, Attempt] : Worker->running()) {
        if (Task.Job == Job) {
          return Name;
        }
      }
    }
    return {};
  }

  /// Keeps the start orders from being delivered from now on.
  void holdStarts() { HoldsStarts = true; }

  /// Delivers the first held order, late, to the instance that runs now.
  OrderResult deliverHeldStart() {
    const WorkerOrder &Order = HeldStarts.front();
    return *Workers.at(Order.Worker)->handleOrder(Order, Now, true);
  }

private:
  void startVoter(NodeId Id) {
    StoredGroup Stored;
    Stores.erase(Id);
    Stores.emplace(Id, *GroupStore::open(Files[Id], "cell", Stored));
    if (Stored.LatestSnapshot.Voters.Voters.empty()) {
      Stored = bootstrapGroup({{1, 1}, {2, 1}, {3, 1}});
      PersistBatch First;
      First.NewSnapshot = Stored.LatestSnapshot;
      (void)Stores.at(Id).write(First);
    }
    CellNodeOptions Options;
    Options.Self = Id;
    Options.Seeds = {1, 2, 3};
    Options.IsVoter = true;
    Options.Incarnation = 1;
    Options.ReplicaParameters = makeCellReplicaOptions(1);
    Options.Dispatch.ReportInterval = ReportInterval;
    Options.Seed = Id;
    Voters[Id] = std::make_unique<CellNode>(Options, std::move(Stored), Now);
  }

  [[nodiscard]] WallTime wallNow() const {
    return WallTime{Now.time_since_epoch()};
  }

  [[nodiscard]] bool isSuspended(NodeId Id) const {
    const auto It = SuspendedUntil.find(Id);
    return It != SuspendedUntil.end() && Now < It->second;
  }

  [[nodiscard]] NodeId leader() const {
    for (const auto &[Id, Node] : Voters) {
      if (!isSuspended(Id) && Node->isLeading(Now)) {
        return Id;
      }
    }
    return 0;
  }

  void call(CellCall Body) {
    Voters.at(leader())->call(NextCall, std::move(Body), Now);
    NextCall += 1;
  }

  void step() {
    Now += StepTime;
    std::erase_if(Ended, [this](NodeId Id) {
      const bool IsDue = !isSuspended(Id);
      if (IsDue) {
        startVoter(Id);
      }
      return IsDue;
    });
    for (const CellMessage &Message : std::exchange(Messages, {})) {
      if (!isSuspended(Message.To)) {
        Voters.at(Message.To)->receive(Message, Now, wallNow());
      }
    }
    if (leader() != 0 && Now >= ReportAt) {
      ReportAt = Now + ReportInterval;
      for (const auto &[Name, Worker] : Workers) {
        if (!Lost.contains(Name)) {
          call(WorkerReportCall{Worker->report(Now)});
        }
      }
    }
    for (const auto &[Id, Node] : Voters) {
      if (!isSuspended(Id)) {
        stepVoter(Id, *Node);
      }
    }
    for (const auto &[Name, Worker] : Workers) {
      for (const OrderResult &Answer : Worker->advance(Now)) {
        answer(Answer);
      }
    }
  }

  /// Passes an answer to the leader; other voters do not know the order.
  void answer(const OrderResult &Answer) {
    if (leader() != 0) {
      Voters.at(leader())->onOrderDone(Answer, Now, wallNow());
    }
  }

  void stepVoter(NodeId Id, CellNode &Node) {
    CellOutput Output = Node.step(Now, wallNow());
    if (Output.Write) {
      (void)Stores.at(Id).write(*Output.Write);
      Node.onWriteSynced();
    }
    std::move(Output.Messages.begin(), Output.Messages.end(),
              std::back_inserter(Messages));
    for (const WorkerOrder &Order : Output.Orders) {
      OrderResult Unanswered;
      Unanswered.Id = Order.Id;
      if (Lost.contains(Order.Worker) || WithoutOrders.contains(Order.Worker)) {
        Node.onOrderDone(Unanswered, Now, wallNow());
      } else if (HoldsStarts && Order.Kind == WorkerOrderKind::Start) {
        HeldStarts.push_back(Order);
        Node.onOrderDone(Unanswered, Now, wallNow());
      } else if (const auto Answer =
                     Workers.at(Order.Worker)->handleOrder(Order, Now, false)) {
        Node.onOrderDone(*Answer, Now, wallNow());
      }
    }
  }

  Instant Now{Millis{100000}};
  std::map<std::string, std::unique_ptr<FakeWorker>> Workers;
  std::set<std::string> Lost;
  std::set<std::string> WithoutOrders;
  std::map<NodeId, MemoryFiles> Files;
  std::map<NodeId, GroupStore> Stores;
  std::set<NodeId> Ended; ///< Voters whose process has ended.
  std::map<NodeId, std::unique_ptr<CellNode>> Voters;
  std::map<NodeId, Instant> SuspendedUntil;
  std::vector<CellMessage> Messages;
  std::vector<WorkerOrder> HeldStarts;
  bool HoldsStarts = false;
  Instant ReportAt;
  std::uint64_t NextCall = 1;
};

/// Adds the worker w0 and starts a long-running task there.
void runOnFirstWorker(LeaseCell &Cell, const std::string &Job) {
  Cell.addWorker("w0");
  Cell.stepFor(Millis{500});
  Cell.submitLongRunning(Job);
  CHECK(Cell.stepUntilRunning(Job, Millis{1000}) < Millis{1000});
}

} // namespace

TEST_GROUP(Leases){};

/// Guards against a long-running task without a run: a worker that had started
/// a few seconds before an election died, and the next leader took its lease
/// for one of 18 s.
TEST(Leases, ATaskOfALostNewWorkerRunsAgainAfterAnElection) {
  LeaseCell Cell;
  runOnFirstWorker(Cell, "j");
  Cell.addWorker("w1");
  Cell.stepFor(Millis{1000});
  Cell.suspendLeader(Millis{2000});
  Cell.loseWorker("w0");
  CHECK(Cell.stepUntilRunning("j", Millis{30000}) <= MaxTimeWithoutRun);
}

/// Guards against a long-running task without a run: its worker had restarted
/// under its own name and died, and the bound for orders to its previous
/// instance held for a task that was assigned afterwards.
TEST(Leases, ATaskOfALostRestartedWorkerRunsAgain) {
  LeaseCell Cell;
  runOnFirstWorker(Cell, "j0");
  Cell.restartWorker("w0");
  CHECK(Cell.stepUntilRunning("j0", Millis{3000}) < Millis{3000});
  Cell.addWorker("w1");
  Cell.stepFor(Millis{1000});
  Cell.loseWorker("w0");
  CHECK(Cell.stepUntilRunning("j0", Millis{30000}) <= MaxTimeWithoutRun);
}

/// Guards against a long-running task without a run: each new leader waited for
/// a whole lease of a worker that had died long before.
TEST(Leases, AnyNumberOfElectionsExtendsNoLeaseOfALostWorker) {
  const Millis TimeBetweenElections{4000};
  LeaseCell Cell;
  runOnFirstWorker(Cell, "j");
  Cell.stepFor(Millis{30000}); // No bound of a new worker applies any more.
  Cell.addWorker("w1");
  Cell.stepFor(Millis{1000});
  Cell.loseWorker("w0");
  Millis Gap{0};
  for (int Election = 0; Election < 5 && Cell.workerOf("j").empty();
       ++Election) {
    Gap += Cell.stepUntilRunning("j", TimeBetweenElections);
    Cell.suspendLeader(Millis{1000});
  }
  CHECK(!Cell.workerOf("j").empty());
  CHECK(Gap <= MaxTimeWithoutRun);
}

/// Guards against two runs of one task: a start order for the previous instance
/// of a worker is executed late, and extends the lease of what the next
/// instance runs.
TEST(Leases, AnInstanceRefusesOrdersForThePreviousOne) {
  LeaseCell Cell;
  Cell.addWorker("w0");
  Cell.stepFor(Millis{500});
  Cell.holdStarts();
  Cell.submitLongRunning("j");
  Cell.stepFor(Millis{300});
  Cell.restartWorker("w0");
  Cell.stepFor(Millis{1000});
  const OrderResult Result = Cell.deliverHeldStart();
  CHECK(Result.Verdict == OrderVerdict::Refused);
  CHECK(Result.Reason == RefusalReason::StaleFencingToken);
}

TEST_GROUP(LeaseSeries){};

/// Returns how long a long-running task has no run while the leader is killed
/// at an interval. Its worker is lost for good.
/// @param HasRestarted The worker had restarted under its name just before, and
/// no order reached its last instance.
Millis timeWithoutRun(Millis Interval, bool HasRestarted) {
  const Millis RestartTime{500};
  LeaseCell Cell;
  runOnFirstWorker(Cell, "j");
  Cell.stepFor(Millis{30000}); // No bound of a new worker applies any more.
  Cell.addWorker("w1");
  Cell.stepFor(Millis{1000});
  Millis Gap{0};
  if (HasRestarted) {
    Cell.cutOrders("w0");
    Cell.restartWorker("w0");
    Cell.stepFor(Millis{600});
    Gap += Millis{600};
  }
  Cell.loseWorker("w0");
  while (Cell.workerOf("j").empty() && Gap < Millis{90000}) {
    Cell.killLeader(RestartTime);
    Gap += Cell.stepUntilRunning("j", Interval);
  }
  return Gap;
}

/// Guards against a long-running task without a run: a voter that starts again
/// counts the end of a lease from its restart, and then leads.
TEST(LeaseSeries, KillsOfLeadersExtendNoLeaseOfALostWorker) {
  for (const std::int64_t Ms : {2000, 5000, 7800, 10000}) {
    CHECK(timeWithoutRun(Millis{Ms}, false) <= MaxTimeWithoutRun);
  }
}

/// Guards against a long-running task without a run: the bound for orders to a
/// previous instance held for a task that its next instance never ran.
TEST(LeaseSeries, ATaskOfAnInstanceThatGotNoOrderRunsAgain) {
  CHECK(timeWithoutRun(Millis{60000}, true) <= MaxTimeWithoutRun);
}

/// Guards against the same over kills of leaders, each of which extends that
/// bound.
TEST(LeaseSeries, KillsOfLeadersExtendNoBoundOfAPreviousInstance) {
  CHECK(timeWithoutRun(Millis{5000}, true) <= MaxTimeWithoutRun);
}

/// Guards against two runs of one task: a worker left while a start order was
/// on its way, and its next process under that name, which the cell knows as a
/// new worker, executes the order late.
TEST(LeaseSeries, AnInstanceRefusesOrdersForOneThatHasLeft) {
  LeaseCell Cell;
  Cell.addWorker("w0");
  Cell.stepFor(Millis{500});
  Cell.holdStarts();
  Cell.submitLongRunning("j");
  Cell.stepFor(Millis{100});
  Cell.leave("w0");
  Cell.passStarts();
  Cell.addWorker("w1");
  CHECK(Cell.stepUntilRunning("j", Millis{2000}) < Millis{2000});
  STRCMP_EQUAL("w1", Cell.workerOf("j").c_str());
  Cell.restartWorker("w0");
  Cell.stepFor(Millis{3000});
  const OrderResult Result = Cell.deliverHeldStart();
  CHECK(Result.Verdict == OrderVerdict::Refused);
}
