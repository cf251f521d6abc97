#include "cell/cell_load.hpp"

#include "cell/fake_worker.hpp"
#include "cell/load_shapes.hpp"
#include "cell/wire_standin.hpp"
#include "mulberryramp/cell/advice.hpp"
#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/cell/message.hpp"
#include "platform/gateway.hpp"
#include "support/cell_parts.hpp"

#include <algorithm>
#include <ctime>
#include <map>
#include <memory>

namespace mulberryramp::test {

namespace {

constexpr Millis ReportInterval{1500};
constexpr Millis HelloInterval{500};
constexpr Millis OneWayLatency{1}; ///< To a worker or a node, one way.
constexpr NodeId Leader = 1;
constexpr NodeId FirstQueryNode = 100;

double threadCpuSeconds() {
  timespec CpuTime{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &CpuTime);
  return static_cast<double>(CpuTime.tv_sec) +
         static_cast<double>(CpuTime.tv_nsec) / 1e9;
}

JobSpec specFor(const JobShape &Shape) {
  JobSpec Spec;
  Spec.Payload = loadPayload(Shape);
  for (std::uint32_t Index = 0; Index < 2; ++Index) {
    StepSpec Step;
    Step.Tasks = Shape.Tasks;
    Step.Need.MilliCpus = Shape.MilliCpus;
    Step.Need.MemoryMb = LoadTaskMemoryMb;
    Step.Estimate = Millis{Shape.RunTimeMs};
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
    CellNodeOptions Node = makeSingleVoterOptions(Leader);
    Node.Dispatch.ReportInterval = ReportInterval;
    LeaderNode = std::make_unique<CellNode>(Node, std::move(Stored), Now);
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
    const Instant TrafficStart = Now + Millis{6000};
    const Instant End = TrafficStart + Millis{Options.Seconds * 1000};
    Instant ShortAt = TrafficStart;
    Instant LongAt = TrafficStart;
    StalledFrom = Options.StallAtSecond < 0
                      ? End
                      : TrafficStart + Millis{Options.StallAtSecond * 1000};
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
    const auto &Counters = LeaderNode->status().Counters;
    Result.Starts = Counters.Starts;
    Result.Renewals = Counters.Renewals;
    Result.Queries = Counters.Queries;
    Result.MeanTurnaroundSeconds =
        Result.Completed == 0
            ? 0
            : TurnaroundSeconds / static_cast<double>(Result.Completed);
    return Result;
  }

private:
  [[nodiscard]] WallTime wallNow() const {
    return WallTime{Now.time_since_epoch()};
  }

  /// Calls a function and adds its CPU time to a total.
  template <typename Callable>
  auto timed(double &TotalSeconds, Callable &&Function) {
    const double Before = threadCpuSeconds();
    struct CpuTimer {
      double &TotalSeconds;
      double Before;
      ~CpuTimer() { TotalSeconds += threadCpuSeconds() - Before; }
    } Timer{TotalSeconds, Before};
    return Function();
  }

  [[nodiscard]] bool isStalled() const {
    return Now >= StalledFrom &&
           Now < StalledFrom + Millis{Options.StallSeconds * 1000};
  }

  std::uint64_t call(CellCall Body) {
    const std::uint64_t Id = NextCall;
    NextCall += 1;
    timed(Result.NodeSeconds,
          [&] { LeaderNode->call(Id, std::move(Body), Now); });
    return Id;
  }

  void configure() {
    if (!LeaderNode->isLeading(Now)) {
      return;
    }
    CellConfiguration Configuration;
    Configuration.Version = 1;
    Configuration.Queues = {loadQueue(ShortJob), loadQueue(LongJob)};
    call(ConfigureCall{Configuration});
    IsConfigured = true;
  }

  void submitDue(const JobShape &Shape, double PerSecond, Instant &At) {
    if (PerSecond <= 0) {
      return;
    }
    while (Now >= At) {
      At += Millis{static_cast<std::int64_t>(1000 / PerSecond)};
      const std::string Name = "00000000" + std::to_string(10000000 + NextJob);
      NextJob += 1;
      JobCall Body{JobVerb::Submit, "host", Shape.Prefix + Name,
                   specFor(Shape)};
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
      const CellMessage Hello{static_cast<NodeId>(FirstQueryNode + Index),
                              Leader, NodeHello{}};
      timed(Result.NodeSeconds,
            [&] { LeaderNode->receive(Hello, Now, wallNow()); });
    }
  }

  void reportWorkers() {
    for (auto &[Name, Worker] : Workers) {
      if (Now >= ReportAt[Name]) {
        ReportAt[Name] = Now + ReportInterval;
        call(WorkerReportCall{Worker.report(Now)});
      }
      (void)Worker.takeEvents();
      for (OrderResult &Answer : Worker.advance(Now)) {
        queueAnswer(std::move(Answer));
      }
    }
  }

  void queueAnswer(OrderResult Answer) {
    const auto It = OpenOrders.find(Answer.Id);
    if (It != OpenOrders.end() && !isStalled()) {
      AnswersInFlight.emplace(Now + OneWayLatency, std::move(Answer));
    }
  }

  void deliver() {
    while (!OrdersInFlight.empty() && OrdersInFlight.begin()->first <= Now) {
      const WorkerOrder Order = std::move(OrdersInFlight.begin()->second);
      OrdersInFlight.erase(OrdersInFlight.begin());
      if (isStalled()) {
        continue;
      }
      auto Answer = Workers.at(Order.Worker).handleOrder(Order, Now, false);
      if (Answer) {
        queueAnswer(std::move(*Answer));
      }
    }
    while (!AnswersInFlight.empty() && AnswersInFlight.begin()->first <= Now) {
      const OrderResult Answer = std::move(AnswersInFlight.begin()->second);
      AnswersInFlight.erase(AnswersInFlight.begin());
      OutboundResponse Response;
      Response.Body = encodeAnswer(Answer, Response.Status);
      finishOrder(Answer.Id, Response);
    }
    for (auto It = Deadlines.begin();
         It != Deadlines.end() && It->first <= Now;) {
      const std::uint64_t Id = It->second;
      It = Deadlines.erase(It);
      finishOrder(Id, {});
    }
    while (!AdviceInFlight.empty() && AdviceInFlight.begin()->first <= Now) {
      const auto Message = std::move(AdviceInFlight.begin()->second);
      AdviceInFlight.erase(AdviceInFlight.begin());
      timed(Result.NodeSeconds,
            [&] { LeaderNode->receive(Message, Now, wallNow()); });
    }
  }

  void finishOrder(std::uint64_t Id, const OutboundResponse &Response) {
    const auto It = OpenOrders.find(Id);
    if (It == OpenOrders.end()) {
      return;
    }
    const WorkerOrder Order = std::move(It->second);
    OpenOrders.erase(It);
    const OrderResult Decoded = timed(Result.CodecSeconds, [&] {
      return Protocol.decodeOrderResult(Order.Id, Order.Kind, Response);
    });
    timed(Result.NodeSeconds,
          [&] { LeaderNode->onOrderDone(Decoded, Now, wallNow()); });
  }

  void step() {
    const double Before = Result.NodeSeconds;
    CellOutput Output = timed(Result.NodeSeconds,
                              [&] { return LeaderNode->step(Now, wallNow()); });
    Result.SlowestStepSeconds =
        std::max(Result.SlowestStepSeconds, Result.NodeSeconds - Before);
    if (Output.Write) {
      LeaderNode->onWriteSynced();
    }
    for (const CellMessage &Message : Output.Messages) {
      timed(Result.CodecSeconds, [&] { return encodeCellMessage(Message); });
      if (const auto *Query = std::get_if<AdviceQuery>(&Message.Body)) {
        advise(Message.To, *Query);
      }
    }
    for (const AdviceQuery &Query : Output.Queries) {
      AdviceAnswer Unanswered;
      Unanswered.Id = Query.Id;
      timed(Result.NodeSeconds,
            [&] { LeaderNode->onAdviceDone(Unanswered, Now); });
    }
    for (WorkerOrder &Order : Output.Orders) {
      timed(Result.CodecSeconds, [&] { return Protocol.encodeOrder(Order); });
      Deadlines.emplace(Now + Order.Timeout, Order.Id);
      OpenOrders[Order.Id] = Order;
      OrdersInFlight.emplace(Now + OneWayLatency, std::move(Order));
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
    const Millis AnswerTime =
        expectedAnswerTime(*Queue.Advice, Query.Workers.size());
    AdviceInFlight.emplace(Now + AnswerTime,
                           CellMessage{Node, Leader, std::move(Answer)});
  }

  void recordCompletion(const std::string &Line) {
    const std::string Prefix = "event=job-over job=";
    if (!Line.starts_with(Prefix)) {
      return;
    }
    const std::string Name = Line.substr(Prefix.size(), 16);
    const auto It = SubmittedAt.find(Name);
    if (It != SubmittedAt.end()) {
      Result.Completed += 1;
      TurnaroundSeconds +=
          static_cast<double>((Now - It->second).count()) / 1000;
      SubmittedAt.erase(It);
    }
  }

  CellLoadOptions Options;
  platform::PlatformGateway Protocol;
  Instant Now{Millis{100000}};
  std::unique_ptr<CellNode> LeaderNode;
  std::map<std::string, FakeWorker> Workers;
  std::map<std::string, Instant> ReportAt;
  std::multimap<Instant, WorkerOrder> OrdersInFlight;
  std::multimap<Instant, OrderResult> AnswersInFlight;
  std::multimap<Instant, std::uint64_t> Deadlines;
  std::multimap<Instant, CellMessage> AdviceInFlight;
  std::map<std::uint64_t, WorkerOrder> OpenOrders;
  std::map<std::string, Instant> SubmittedAt;
  Instant NextHelloAt;
  Instant StalledFrom;
  std::uint64_t NextCall = 1;
  std::uint64_t NextJob = 0;
  bool IsConfigured = false;
  double TurnaroundSeconds = 0;
  CellLoadResult Result;
};

} // namespace

CellLoadResult runCellLoad(const CellLoadOptions &Options) {
  return LoadSimulation{Options}.run();
}

} // namespace mulberryramp::test
