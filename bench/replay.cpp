#include "replay.hpp"

#include "mulberryramp/system/admission.hpp"
#include "mulberryramp/system/failures.hpp"
#include "mulberryramp/system/preemption.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <queue>

namespace mulberryramp::bench {

namespace {

constexpr WallTime WallBase{Millis{1'700'000'000'000}};
constexpr Instant NowBase{Millis{1'000'000}};
constexpr Millis StopDelay{60};  ///< From the order to its report.
constexpr Millis FailAfter{200}; ///< A bad worker fails a task this soon.
constexpr Millis LeaseLength{13200};
constexpr Millis TickEvery{250};
constexpr Millis LongestReplay = std::chrono::hours{3};
constexpr Millis ReplayTail = std::chrono::minutes{30};
/// Placements are checked against the invariants once in this many runs.
constexpr std::size_t CheckEvery = 64;

struct ScheduledEvent {
  Millis At{0};
  std::uint64_t Order = 0;
  std::function<void()> Run;

  bool operator<(const ScheduledEvent &Other) const {
    return At != Other.At ? At > Other.At : Order > Other.Order;
  }
};

class Replayer {
public:
  Replayer(const Trace &Recorded, const Rules &ActiveRules,
           const PlacementOptions &Options)
      : Recorded{Recorded}, ActiveRules{ActiveRules}, Options{Options} {
    Runtime.Centre = "bench";
    for (std::size_t Index = 0; Index < Recorded.Workers; ++Index) {
      addWorker("w" + std::to_string(Index));
    }
    for (const TraceEvent &Event : Recorded.Events) {
      after(Event.At, [this, &Event] { take(Event); });
    }
    after(TickEvery, [this] { tick(); });
  }

  ReplayResult run() {
    const Millis Last =
        Recorded.Events.empty() ? Millis{0} : Recorded.Events.back().At;
    const Millis End = std::min(LongestReplay, Last + ReplayTail);
    while (!Queue.empty() && Queue.top().At <= End) {
      const Millis Next = Queue.top().At;
      accumulateUtilization(Next);
      Time = Next;
      while (!Queue.empty() && Queue.top().At == Next) {
        const auto Run = Queue.top().Run;
        Queue.pop();
        Run();
      }
      if (IsDirty) {
        decide();
      }
      if (isTerminal(Last)) {
        break;
      }
    }
    finish();
    return std::move(Result);
  }

private:
  void after(Millis Delay, std::function<void()> Run) {
    Queue.push({Time + Delay, NextOrder, std::move(Run)});
    NextOrder += 1;
  }

  [[nodiscard]] WallTime wall() const { return WallBase + Time; }
  [[nodiscard]] DecisionInput input() const {
    return {State, ActiveRules, NowBase + Time, wall()};
  }

  void addWorker(const std::string &Name) {
    const std::size_t Index = std::stoul(Name.substr(1));
    const std::string Rack =
        "rack-" + std::to_string(Index / Recorded.WorkersPerRack);
    apply(State, AnnounceCommand{Name, 1, Rack, Recorded.Capacity});
    WorkerRuntime &WorkerStatus = Runtime.Workers[findWorker(State, Name)];
    WorkerStatus.IsConfirmed = true;
    WorkerStatus.LeaseEnd = Instant::max();
    IsDirty = true;
  }

  void take(const TraceEvent &Event) {
    switch (Event.Kind) {
    case TraceEventKind::Submit:
      submit(Event);
      break;
    case TraceEventKind::Cancel:
      cancel(Event.Name);
      break;
    case TraceEventKind::Lose:
      lose(Event.Name);
      break;
    case TraceEventKind::Return:
      addWorker(Event.Name);
      break;
    case TraceEventKind::Fail:
      BadWorkers.insert(Event.Name);
      break;
    }
  }

  void submit(const TraceEvent &Event) {
    AcceptCommand Command;
    Command.Spec = Event.Spec;
    Command.Digest = digestOf(Event.Spec);
    Command.At = wall();
    Command.Refusal = admissionError(input(), Runtime, Event.Spec).value_or("");
    applyRules(ActiveRules, Command.Spec, wall());
    const RequestId Id = apply(State, Command).Accepted;
    RunTime[Id] = Event.RunTime;
    IsDirty = true;
  }

  void cancel(const std::string &Key) {
    for (const char *Customer : {"franchise", "iftar"}) {
      const RequestId Id = findRequest(State, Customer, Key);
      if (!Id.isSet()) {
        continue;
      }
      apply(State, CancelCommand{Customer, Key, wall()});
      orderStops(Id);
    }
    IsDirty = true;
  }

  void orderStops(RequestId Id) {
    for (const TaskId Item : State.Requests[Id].Tasks) {
      const Task &Row = State.Tasks[Item];
      if (Row.State == TaskState::Assigned) {
        end(Row.Attempt, StopDelay, AttemptEnd::Stopped);
      }
    }
  }

  /// The tasks of a lost worker are over when its lease is.
  void lose(const std::string &Name) {
    const WorkerId Id = findWorker(State, Name);
    if (!Id.isSet()) {
      return;
    }
    Runtime.Workers[Id].IsConfirmed = false;
    for (const TaskId Item : State.Workers[Id].Tasks) {
      LostAttempts.insert(State.Tasks[Item].Attempt);
    }
    after(LeaseLength, [this, Name, Id] {
      apply(State, RemoveWorkerCommand{Name, 1, false, wall()});
      Runtime.Workers.erase(Id);
      IsDirty = true;
    });
  }

  void end(AttemptId Attempt, Millis Delay, AttemptEnd How) {
    after(Delay, [this, Attempt, How] {
      if (LostAttempts.contains(Attempt) ||
          !State.ByAttempt.contains(Attempt)) {
        return;
      }
      const AttemptResult Item{Attempt, How, "", "replayed"};
      const RequestId Owner = State.Tasks[State.ByAttempt.at(Attempt)].Owner;
      recordAttemptEnd(input(), Runtime, Item);
      apply(State, EndAttemptsCommand{{Item}, wall()});
      Result.EndMs = Time.count();
      if (State.Requests.contains(Owner) && needsStop(State.Requests[Owner])) {
        orderStops(Owner);
      }
      IsDirty = true;
    });
  }

  void tick() {
    constexpr std::uint64_t CalmedRetries = 1;
    Runtime.RetryCount -= std::min(Runtime.RetryCount, CalmedRetries);
    IsDirty = IsDirty || !State.QueuedRequests.empty();
    if (std::any_of(State.QueuedRequests.begin(), State.QueuedRequests.end(),
                    [this](RequestId Id) {
                      const WallTime By = State.Requests[Id].Spec.StartBy;
                      return By != WallTime{} && By <= wall();
                    })) {
      apply(State, ExpireCommand{wall()});
    }
    after(TickEvery, [this] { tick(); });
  }

  void decide() {
    IsDirty = false;
    if (State.QueuedRequests.empty()) {
      return;
    }
    const auto Begin = std::chrono::steady_clock::now();
    PlacementRun Run = place(input(), Runtime, Options);
    std::set<AttemptId> Before = Runtime.Preempted;
    if (!Run.Blocked.empty() && Options.MayPreempt) {
      preempt(input(), Runtime, Run.Blocked);
    }
    const std::chrono::duration<double> Took =
        std::chrono::steady_clock::now() - Begin;
    Result.PlacementSeconds += Took.count();
    Result.DecisionMs.push_back(
        Took.count() * 1000 /
        static_cast<double>(std::max<std::size_t>(Run.Placements.size(), 1)));
    Result.Runs += 1;
    Result.Considered += Run.Considered;
    for (const AttemptId Attempt : Runtime.Preempted) {
      if (Before.insert(Attempt).second) {
        Result.Preempted += 1;
        end(Attempt, StopDelay, AttemptEnd::Stopped);
      }
    }
    grant(Run);
  }

  void grant(const PlacementRun &Run) {
    apply(State, AssignCommand{Run.Placements, wall()});
    for (const Placement &Item : Run.Placements) {
      for (const Assignment &One : Item.Tasks) {
        begin(One.AssignedTask);
      }
    }
    if (Result.Runs % CheckEvery == 0) {
      Result.Overcommits += checkLedger(State).size();
    }
    IsDirty = IsDirty || Run.Placements.size() == Options.MaxPlacements;
  }

  void begin(TaskId Id) {
    const Task &Row = State.Tasks[Id];
    if (Row.State != TaskState::Assigned) {
      return;
    }
    const Request &Owner = State.Requests[Row.Owner];
    Result.Placements += 1;
    Runtime.AttemptCount += 1;
    Runtime.RetryCount += Row.Attempts > 1 ? 1 : 0;
    if (Started.insert(Id).second) {
      const std::int64_t Waited = (wall() - Owner.AcceptedAt).count();
      Result.WaitMsByClass[Owner.Spec.ClassName].push_back(Waited);
      Result.WaitMsByTeam[Owner.Spec.Team].push_back(Waited);
    }
    const Worker &Place = State.Workers[Row.AssignedWorker];
    if (BadWorkers.contains(Place.Name)) {
      end(Row.Attempt, FailAfter, AttemptEnd::Failed);
    } else if (Owner.Spec.Kind != WorkKind::Service) {
      end(Row.Attempt, RunTime[Row.Owner], AttemptEnd::Done);
    }
  }

  /// Share of the scarcest resource, over the time in which work waited.
  void accumulateUtilization(Millis Until) {
    if (State.QueuedRequests.empty()) {
      return;
    }
    const auto Length = static_cast<double>((Until - Time).count());
    Resources Granted;
    Resources Whole;
    for (const Worker &Row : State.Workers.rows()) {
      Granted += Row.Granted;
      Whole += Row.Capacity;
    }
    Waited += Length;
    const auto Add = [Length](double &Sum, std::int64_t Part,
                              std::int64_t All) {
      Sum += All > 0
                 ? Length * static_cast<double>(Part) / static_cast<double>(All)
                 : 0;
    };
    Add(CpuShare, Granted.MilliCpus, Whole.MilliCpus);
    Add(MemoryShare, Granted.MemoryMb, Whole.MemoryMb);
    Add(SlotShare, Granted.Slots, Whole.Slots);
  }

  bool isTerminal(Millis Last) const {
    if (Time <= Last) {
      return false;
    }
    return std::none_of(State.Requests.rows().begin(),
                        State.Requests.rows().end(), [](const Request &Row) {
                          return Row.Result == Outcome::Pending &&
                                 Row.Spec.Kind != WorkKind::Service;
                        });
  }

  void finish() {
    if (Waited > 0) {
      Result.MeanUtilization =
          std::max({CpuShare, MemoryShare, SlotShare}) / Waited;
    }
    double Sum = 0;
    std::size_t Count = 0;
    for (const auto &[Name, Values] : Result.WaitMsByClass) {
      for (const std::int64_t Value : Values) {
        Sum += static_cast<double>(Value);
        Count += 1;
      }
    }
    Result.MeanWaitMs = Count == 0 ? 0 : Sum / static_cast<double>(Count);
    Result.Overcommits += checkLedger(State).size();
    for (const Request &Row : State.Requests.rows()) {
      Result.Failed += Row.Result == Outcome::Failed && !Row.IsCancelled;
      Result.Unfinished +=
          Row.Result == Outcome::Pending && Row.Spec.Kind != WorkKind::Service;
    }
    Result.BoundMs = makespanLowerBound();
  }

  std::int64_t makespanLowerBound() const {
    double Cpu = 0;
    double Memory = 0;
    double Latest = 0;
    for (const TraceEvent &Event : Recorded.Events) {
      const auto Run = static_cast<double>(Event.RunTime.count());
      const auto Tasks = static_cast<double>(Event.Spec.TaskCount);
      Cpu += Run * Tasks * static_cast<double>(Event.Spec.Need.MilliCpus);
      Memory += Run * Tasks * static_cast<double>(Event.Spec.Need.MemoryMb);
      Latest = std::max(Latest, static_cast<double>(Event.At.count()) + Run);
    }
    const auto Workers = static_cast<double>(Recorded.Workers);
    const double ByCpu =
        Cpu / (Workers * static_cast<double>(Recorded.Capacity.MilliCpus));
    const double ByMemory =
        Memory / (Workers * static_cast<double>(Recorded.Capacity.MemoryMb));
    return static_cast<std::int64_t>(std::max({ByCpu, ByMemory, Latest}));
  }

  const Trace &Recorded;
  const Rules &ActiveRules;
  const PlacementOptions &Options;
  Ledger State;
  CentreRuntime Runtime;
  std::priority_queue<ScheduledEvent> Queue;
  std::uint64_t NextOrder = 0;
  Millis Time{0};
  bool IsDirty = true;
  std::map<RequestId, Millis> RunTime;
  std::set<TaskId> Started;
  std::set<AttemptId> LostAttempts;
  std::set<std::string> BadWorkers;
  double Waited = 0;
  double CpuShare = 0;
  double MemoryShare = 0;
  double SlotShare = 0;
  ReplayResult Result;
};

} // namespace

ReplayResult replay(const Trace &Recorded, const Rules &ActiveRules,
                    const PlacementOptions &Options) {
  return Replayer{Recorded, ActiveRules, Options}.run();
}

PlacementOptions baselineOptions() {
  PlacementOptions Options;
  Options.Order = QueueOrder::Arrival;
  Options.Choice = WorkerChoice::FirstFit;
  Options.MayReserve = false;
  Options.MayPreempt = false;
  return Options;
}

Rules benchRules() {
  return *parseRules(
      "bench",
      "class name=urgent priority=100 preempts=yes # asked by the benchmark\n"
      "class name=nightly priority=10 ages-every-ms=60000 # asked by the "
      "benchmark\n"
      "policy customer=iftar weigh=packing # asked by the benchmark\n"
      "limit team=* queue=100000 # asked by the benchmark\n");
}

std::int64_t percentile(std::vector<std::int64_t> Values, double Percent) {
  if (Values.empty()) {
    return 0;
  }
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Percent / 100 * static_cast<double>(Values.size())));
  const std::size_t At = std::max<std::size_t>(Rank, 1) - 1;
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(At),
                   Values.end());
  return Values[At];
}

} // namespace mulberryramp::bench
