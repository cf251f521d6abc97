#include "cell/cell_load.hpp"

#include "cell/fake_worker.hpp"
#include "cell/load_shapes.hpp"
#include "cell/wire_standin.hpp"
#include "mulberryramp/cell/advice.hpp"
#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/cell/message.hpp"
#include "platform/gateway.hpp"

#include <algorithm>
#include <ctime>
#include <map>
#include <memory>

namespace mulberryramp::test {

namespace {

constexpr Millis ReportInterval{1500};
constexpr Millis HelloInterval{500};
constexpr Millis Way{1}; ///< To a worker or a node, one way.
constexpr NodeId Leader = 1;
constexpr NodeId FirstHelper = 100;

double processorTime() {
  timespec Spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Spent);
  return static_cast<double>(Spent.tv_sec) +
         static_cast<double>(Spent.tv_nsec) / 1e9;
}

JobSpec specFor(const JobShape &Kind) {
  JobSpec Spec;
  Spec.Payload = loadPayload(Kind);
  for (std::uint32_t Index = 0; Index < 2; ++Index) {
    StepSpec Step;
    Step.Tasks = Kind.Tasks;
    Step.Need.MilliCpus = Kind.MilliCpus;
    Step.Need.MemoryMb = LoadTaskMemoryMb;
    Step.Estimate = Millis{Kind.RunTimeMs};
    if (Index != 0) {
      Step.DependsOn.push_back(Index - 1);
    }
    Spec.Steps.push_back(Step);
  }
  return Spec;
}

class LoadSimulation {
public:
  explicit LoadSimulation(const CellLoadOptions &Options) : Options{Options} {
    StoredGroup Stored = bootstrapGroup({{Leader, 1}});
    CellNodeOptions Node;
    Node.Self = Leader;
    Node.Seeds = {Leader};
    Node.IsVoter = true;
    Node.Incarnation = 1;
    Node.Agreement.HasDynamicMembership = true;
    Node.Agreement.AllowsUnsafeRecovery = false;
    Node.Agreement.TargetVoters = 1;
    Node.Agreement.SnapshotThreshold = 2000;
    Node.Agreement.TrailingEntries = 500;
    Node.Dispatch.ReportInterval = ReportInterval;
    Subject = std::make_unique<CellNode>(Node, std::move(Stored), Now);
    for (std::size_t Index = 0; Index < Options.Workers; ++Index) {
      const std::string Name = "w" + std::to_string(Index);
      Resources Capacity;
      Capacity.MilliCpus = LoadWorkerCpus;
      Capacity.MemoryMb = LoadWorkerMemoryMb;
      Workers.emplace(Name, FakeWorker{Name, Capacity, Index, Now});
      const auto Offset = static_cast<std::int64_t>(Index) *
                          ReportInterval.count() /
                          static_cast<std::int64_t>(Options.Workers);
      ReportAt[Name] = Now + Millis{Offset};
    }
  }

  CellLoadResult run() {
    const Instant Traffic = Now + Millis{6000};
    const Instant End = Traffic + Millis{Options.Seconds * 1000};
    Instant ShortAt = Traffic;
    Instant LongAt = Traffic;
    StalledFrom =
        Options.StallAt < 0 ? End : Traffic + Millis{Options.StallAt * 1000};
    while (Now < End) {
      Now += Millis{Options.StepMs};
      if (!IsConfigured) {
        configure();
      }
      submitDue(ShortJob, Options.ShortJobsPerSecond, ShortAt);
      submitDue(LongJob, Options.LongJobsPerSecond, LongAt);
      sendHellos();
      reportWorkers();
      deliver();
      step();
    }
    const auto &Counters = Subject->view().Counters;
    Result.Starts = Counters.Starts;
    Result.Renewals = Counters.Renewals;
    Result.Queries = Counters.Queries;
    Result.MeanTurnaround =
        Result.Completed == 0
            ? 0
            : Turnaround / static_cast<double>(Result.Completed);
    return Result;
  }

private:
  [[nodiscard]] WallTime wall() const {
    return WallTime{Now.time_since_epoch()};
  }

  /// Runs what the node does and adds its time up.
  template <typename Work> auto timed(double &Sum, Work &&Do) {
    const double Before = processorTime();
    struct Adder {
      double &Sum;
      double Before;
      ~Adder() { Sum += processorTime() - Before; }
    } Add{Sum, Before};
    return Do();
  }

  [[nodiscard]] bool isStalled() const {
    return Now >= StalledFrom &&
           Now < StalledFrom + Millis{Options.StallFor * 1000};
  }

  std::uint64_t call(CellCall Body) {
    const std::uint64_t Id = NextCall;
    NextCall += 1;
    timed(Result.NodeSeconds, [&] { Subject->call(Id, std::move(Body), Now); });
    return Id;
  }

  void configure() {
    if (!Subject->isLeading(Now)) {
      return;
    }
    CellConfiguration Configuration;
    Configuration.Version = 1;
    Configuration.Queues = {loadQueue(ShortJob), loadQueue(LongJob)};
    call(ConfigureCall{Configuration});
    IsConfigured = true;
  }

  void submitDue(const JobShape &Kind, double PerSecond, Instant &At) {
    if (PerSecond <= 0) {
      return;
    }
    while (Now >= At) {
      At += Millis{static_cast<std::int64_t>(1000 / PerSecond)};
      const std::string Name = "00000000" + std::to_string(10000000 + NextJob);
      NextJob += 1;
      JobCall Body{JobVerb::Submit, "host", Kind.Prefix + Name, specFor(Kind)};
      call(std::move(Body));
      SubmittedAt[Name] = Now;
      Result.Submitted += 1;
    }
  }

  void sendHellos() {
    if (Now < NextHelloAt) {
      return;
    }
    NextHelloAt = Now + HelloInterval;
    for (std::size_t Index = 0; Index < Options.Nodes; ++Index) {
      const CellMessage Hello{static_cast<NodeId>(FirstHelper + Index), Leader,
                              NodeHello{}};
      timed(Result.NodeSeconds, [&] { Subject->receive(Hello, Now, wall()); });
    }
  }

  void reportWorkers() {
    for (auto &[Name, Item] : Workers) {
      if (Now >= ReportAt[Name]) {
        ReportAt[Name] = Now + ReportInterval;
        call(WorkerReportCall{Item.report(Now)});
      }
      (void)Item.takeEvents();
      for (OrderResult &Each : Item.advance(Now)) {
        queueAnswer(std::move(Each));
      }
    }
  }

  void queueAnswer(OrderResult Each) {
    const auto Found = OpenOrders.find(Each.Id);
    if (Found != OpenOrders.end() && !isStalled()) {
      Answers.emplace(Now + Way, std::move(Each));
    }
  }

  void deliver() {
    while (!Sent.empty() && Sent.begin()->first <= Now) {
      const WorkerOrder Order = std::move(Sent.begin()->second);
      Sent.erase(Sent.begin());
      if (isStalled()) {
        continue;
      }
      auto Answer = Workers.at(Order.Worker).handleOrder(Order, Now, false);
      if (Answer) {
        queueAnswer(std::move(*Answer));
      }
    }
    while (!Answers.empty() && Answers.begin()->first <= Now) {
      const OrderResult Each = std::move(Answers.begin()->second);
      Answers.erase(Answers.begin());
      OutboundResponse Response;
      Response.Body = renderAnswer(Each, Response.Status);
      finishOrder(Each.Id, Response);
    }
    for (auto Item = Deadlines.begin();
         Item != Deadlines.end() && Item->first <= Now;) {
      const std::uint64_t Id = Item->second;
      Item = Deadlines.erase(Item);
      finishOrder(Id, {});
    }
    while (!Advice.empty() && Advice.begin()->first <= Now) {
      const auto Told = std::move(Advice.begin()->second);
      Advice.erase(Advice.begin());
      timed(Result.NodeSeconds, [&] { Subject->receive(Told, Now, wall()); });
    }
  }

  void finishOrder(std::uint64_t Id, const OutboundResponse &Response) {
    const auto Found = OpenOrders.find(Id);
    if (Found == OpenOrders.end()) {
      return;
    }
    const WorkerOrder Order = std::move(Found->second);
    OpenOrders.erase(Found);
    const OrderResult Decoded = timed(Result.CodecSeconds, [&] {
      return Protocol.decodeOrderAnswer(Order.Id, Order.Kind, Response);
    });
    timed(Result.NodeSeconds,
          [&] { Subject->onOrderDone(Decoded, Now, wall()); });
  }

  void step() {
    const double Before = Result.NodeSeconds;
    CellOutput Output =
        timed(Result.NodeSeconds, [&] { return Subject->step(Now, wall()); });
    Result.SlowestStep =
        std::max(Result.SlowestStep, Result.NodeSeconds - Before);
    if (Output.Write) {
      Subject->writeDone();
    }
    for (const CellMessage &Message : Output.Messages) {
      timed(Result.CodecSeconds, [&] { return encodeCellMessage(Message); });
      if (const auto *Asked = std::get_if<AdviceQuery>(&Message.Body)) {
        advise(Message.To, *Asked);
      }
    }
    for (const AdviceQuery &Query : Output.Queries) {
      AdviceAnswer None;
      None.Id = Query.Id;
      timed(Result.NodeSeconds, [&] { Subject->onAdviceDone(None, Now); });
    }
    for (WorkerOrder &Order : Output.Orders) {
      timed(Result.CodecSeconds, [&] { return Protocol.encodeOrder(Order); });
      Deadlines.emplace(Now + Order.Timeout, Order.Id);
      OpenOrders[Order.Id] = Order;
      Sent.emplace(Now + Way, std::move(Order));
    }
    for (const std::string &Line : Output.Events) {
      recordCompletion(Line);
    }
  }

  void advise(NodeId Node, const AdviceQuery &Query) {
    AdviceAnswer Answer;
    Answer.Id = Query.Id;
    Answer.IsAnswered = true;
    const std::string Step = Query.Step.Job + std::to_string(Query.Step.Step);
    for (const std::string &Worker : Query.Workers) {
      if (isAdmittedByAdvisor(Step, Worker)) {
        Answer.Admitted.push_back({Worker, "ticket"});
      }
    }
    const bool IsShort = Query.Timeout < Millis{1400};
    const JobQueue Queue = loadQueue(IsShort ? ShortJob : LongJob);
    const Millis Takes =
        expectedAnswerTime(*Queue.Advice, Query.Workers.size());
    Advice.emplace(Now + Takes, CellMessage{Node, Leader, std::move(Answer)});
  }

  void recordCompletion(const std::string &Line) {
    const std::string Mark = "event=job-over job=";
    if (!Line.starts_with(Mark)) {
      return;
    }
    const std::string Name = Line.substr(Mark.size(), 16);
    const auto Found = SubmittedAt.find(Name);
    if (Found != SubmittedAt.end()) {
      Result.Completed += 1;
      Turnaround += static_cast<double>((Now - Found->second).count()) / 1000;
      SubmittedAt.erase(Found);
    }
  }

  CellLoadOptions Options;
  platform::PlatformGateway Protocol;
  Instant Now{Millis{100000}};
  std::unique_ptr<CellNode> Subject;
  std::map<std::string, FakeWorker> Workers;
  std::map<std::string, Instant> ReportAt;
  std::multimap<Instant, WorkerOrder> Sent;
  std::multimap<Instant, OrderResult> Answers;
  std::multimap<Instant, std::uint64_t> Deadlines;
  std::multimap<Instant, CellMessage> Advice;
  std::map<std::uint64_t, WorkerOrder> OpenOrders;
  std::map<std::string, Instant> SubmittedAt;
  Instant NextHelloAt;
  Instant StalledFrom;
  std::uint64_t NextCall = 1;
  std::uint64_t NextJob = 0;
  bool IsConfigured = false;
  double Turnaround = 0;
  CellLoadResult Result;
};

} // namespace

CellLoadResult runCellLoad(const CellLoadOptions &Options) {
  return LoadSimulation{Options}.run();
}

} // namespace mulberryramp::test
