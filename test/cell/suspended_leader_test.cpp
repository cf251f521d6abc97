#include "cell/fake_worker.hpp"
#include "mulberryramp/cell/cell_node.hpp"
#include "support/cell_parts.hpp"

#include <map>
#include <memory>
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

/// Three voters with disks that sync at once, and one worker.
class SmallCell {
public:
  SmallCell() : Worker{"w0", makeCapacity(), 1, Now} {
    for (NodeId Id = 1; Id <= VoterCount; ++Id) {
      CellNodeOptions Options;
      Options.Self = Id;
      Options.Seeds = {1, 2, 3};
      Options.IsVoter = true;
      Options.Incarnation = 1;
      Options.ReplicaParameters = makeCellReplicaOptions(1);
      Options.Dispatch.ReportInterval = ReportInterval;
      Options.Seed = Id;
      Voters[Id] = std::make_unique<CellNode>(
          Options, bootstrapGroup({{1, 1}, {2, 1}, {3, 1}}), Now);
    }
    stepFor(Millis{2000});
    call(ConfigureCall{makeTestConfiguration(1, 1)});
    stepFor(Millis{2000});
  }

  [[nodiscard]] NodeId leader() const {
    for (const auto &[Id, Node] : Voters) {
      if (Id != Suspended && Node->isLeading(Now)) {
        return Id;
      }
    }
    return 0;
  }

  void stepFor(Millis Time) {
    for (const Instant End = Now + Time; Now < End;) {
      step();
    }
  }

  /// Submits a job and suspends the leader once it has sent the assignment of
  /// the task to the other voters, before their replies arrive.
  NodeId suspendLeaderDuringAssignment() {
    const NodeId Id = leader();
    JobSpec Spec;
    StepSpec &Only = Spec.Steps.emplace_back();
    Only.Tasks = 1;
    Only.Need.MilliCpus = TaskMilliCpus;
    Only.Estimate = FakeWorker::DefaultRunTime;
    call(JobCall{JobVerb::Submit, "host", "/q/j", Spec});
    while (Voters.at(Id)->status().Jobs == 0) {
      step();
    }
    const LogIndex Submitted = Voters.at(Id)->status().CommitIndex;
    while (LastSentIndex[Id] <= Submitted) {
      step();
    }
    Suspended = Id;
    return Id;
  }

  /// Resumes the suspended voter, which receives the replies to the entries it
  /// sent before.
  void resume() {
    const NodeId Id = std::exchange(Suspended, 0);
    for (const CellMessage &Reply : std::exchange(HeldReplies, {})) {
      Voters.at(Id)->receive(Reply, Now, wallNow());
    }
    stepVoter(Id);
  }

  std::map<NodeId, std::size_t> StartsSent;

private:
  static Resources makeCapacity() {
    Resources Capacity;
    Capacity.MilliCpus = 4 * TaskMilliCpus;
    return Capacity;
  }

  [[nodiscard]] WallTime wallNow() const {
    return WallTime{Now.time_since_epoch()};
  }

  void call(CellCall Body) {
    Voters.at(leader())->call(NextCall, std::move(Body), Now);
    NextCall += 1;
  }

  void step() {
    Now += StepTime;
    for (const CellMessage &Message : std::exchange(Messages, {})) {
      if (Message.To != Suspended) {
        Voters.at(Message.To)->receive(Message, Now, wallNow());
      } else if (isAppendReply(Message)) {
        HeldReplies.push_back(Message);
      }
    }
    if (leader() != 0 && Now >= ReportAt) {
      ReportAt = Now + ReportInterval;
      call(WorkerReportCall{Worker.report(Now)});
    }
    for (NodeId Id = 1; Id <= VoterCount; ++Id) {
      if (Id != Suspended) {
        stepVoter(Id);
      }
    }
  }

  static bool isAppendReply(const CellMessage &Message) {
    const auto *Body = std::get_if<ReplicaMessage>(&Message.Body);
    return Body != nullptr &&
           std::holds_alternative<AppendEntriesReply>(Body->Body);
  }

  void stepVoter(NodeId Id) {
    CellNode &Node = *Voters.at(Id);
    CellOutput Output = Node.step(Now, wallNow());
    if (Output.Write) {
      Node.onWriteSynced();
    }
    for (CellMessage &Message : Output.Messages) {
      const auto *Sent = std::get_if<ReplicaMessage>(&Message.Body);
      const auto *Append = Sent == nullptr
                               ? nullptr
                               : std::get_if<AppendEntriesRequest>(&Sent->Body);
      if (Append != nullptr && !Append->Entries.empty()) {
        LastSentIndex[Id] = Append->Entries.back().Index;
      }
      Messages.push_back(std::move(Message));
    }
    for (const WorkerOrder &Order : Output.Orders) {
      StartsSent[Id] += Order.Kind == WorkerOrderKind::Start ? 1 : 0;
      if (const auto Answer = Worker.handleOrder(Order, Now, false)) {
        Node.onOrderDone(*Answer, Now, wallNow());
      }
    }
  }

  Instant Now{Millis{100000}};
  FakeWorker Worker;
  std::map<NodeId, std::unique_ptr<CellNode>> Voters;
  std::vector<CellMessage> Messages;
  std::vector<CellMessage> HeldReplies; ///< Replies to the suspended voter.
  std::map<NodeId, LogIndex> LastSentIndex;
  NodeId Suspended = 0;
  Instant ReportAt;
  std::uint64_t NextCall = 1;
};

} // namespace

TEST_GROUP(CellSuspendedLeader){};

/// Guards against two runs of one task: a leader that is resumed after its
/// leader lease, when the next one may have started the task again, must not
/// start it when the assignment turns out to be committed.
TEST(CellSuspendedLeader, SendsNoStartAfterItsLeaseIsOver) {
  SmallCell Cell;
  const NodeId Former = Cell.suspendLeaderDuringAssignment();
  Cell.stepFor(Millis{7000});
  CHECK(Cell.leader() != 0);
  Cell.resume();
  CHECK_EQUAL(0, Cell.StartsSent[Former]);
}

/// A suspension within the leader lease costs no start.
TEST(CellSuspendedLeader, SendsStartsWithinItsLease) {
  SmallCell Cell;
  const NodeId Former = Cell.suspendLeaderDuringAssignment();
  Cell.stepFor(StepTime * 4);
  Cell.resume();
  CHECK_EQUAL(1, Cell.StartsSent[Former]);
}
