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
/// From the order to stop a task until the worker reports its end.
constexpr Millis StopDelay{60};
/// From the start of a task on a bad worker until its failure.
constexpr Millis FailureDelay{200};
/// Default lease of a worker and the margin that the leader adds.
constexpr Millis LeaseDuration{13200};
constexpr Millis TickInterval{250};
constexpr Millis MaxReplayTime = std::chrono::hours{3};
/// Longest replay after the last event of the trace.
constexpr Millis ReplayTail = std::chrono::minutes{30};
/// Placement runs between two checks of the invariants of the ledger.
constexpr std::size_t RunsPerLedgerCheck = 64;

struct ScheduledEvent {
  Millis At{0};
  std::uint64_t Order = 0; ///< Preserves the order of simultaneous events.
  std::function<void()> Run;

  /// Reversed, as `std::priority_queue` yields the greatest element first.
  bool operator<(const ScheduledEvent &Rhs) const {
    return At != Rhs.At ? At > Rhs.At : Order > Rhs.Order;
  }
};

/// Event loop in virtual time that simulates the workers of a data centre.
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
      after(Event.At, [this, &Event] { handleEvent(Event); });
    }
    after(TickInterval, [this] { tick(); });
  }

  ReplayResult run() {
    const Millis LastEventAt =
        Recorded.Events.empty() ? Millis{0} : Recorded.Events.back().At;
    const Millis End = std::min(MaxReplayTime, LastEventAt + ReplayTail);
    while (!Queue.empty() && Queue.top().At <= End) {
      const Millis NextAt = Queue.top().At;
      accumulateUtilization(NextAt);
      Time = NextAt;
      while (!Queue.empty() && Queue.top().At == NextAt) {
        const auto Run = Queue.top().Run;
        Queue.pop();
        Run();
      }
      if (IsDirty) {
        decide();
      }
      if (isReplayDone(LastEventAt)) {
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

  void handleEvent(const TraceEvent &Event) {
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
    for (const TaskId OwnedTask : State.Requests[Id].Tasks) {
      const Task &TaskRow = State.Tasks[OwnedTask];
      if (TaskRow.State == TaskState::Assigned) {
        end(TaskRow.Attempt, StopDelay, AttemptEnd::Stopped);
      }
    }
  }

  /// Ends the tasks of a lost worker when its lease has expired.
  void lose(const std::string &Name) {
    const WorkerId Id = findWorker(State, Name);
    if (!Id.isSet()) {
      return;
    }
    Runtime.Workers[Id].IsConfirmed = false;
    for (const TaskId Assigned : State.Workers[Id].Tasks) {
      LostAttempts.insert(State.Tasks[Assigned].Attempt);
    }
    after(LeaseDuration, [this, Name, Id] {
      apply(State, RemoveWorkerCommand{Name, 1, false, wall()});
      Runtime.Workers.erase(Id);
      IsDirty = true;
    });
  }

  void end(AttemptId Attempt, Millis Delay, AttemptEnd End) {
    after(Delay, [this, Attempt, End] {
      if (LostAttempts.contains(Attempt) ||
          !State.ByAttempt.contains(Attempt)) {
        return;
      }
      const AttemptResult Ended{Attempt, End, "", "replayed"};
      const RequestId Owner = State.Tasks[State.ByAttempt.at(Attempt)].Owner;
      recordAttemptEnd(input(), Runtime, Ended);
      apply(State, EndAttemptsCommand{{Ended}, wall()});
      Result.EndMs = Time.count();
      if (State.Requests.contains(Owner) && needsStop(State.Requests[Owner])) {
        orderStops(Owner);
      }
      IsDirty = true;
    });
  }

  void tick() {
    constexpr std::uint64_t RetriesDiscardedPerTick = 1;
    Runtime.RetryCount -= std::min(Runtime.RetryCount, RetriesDiscardedPerTick);
    IsDirty = IsDirty || !State.QueuedRequests.empty();
    if (std::any_of(State.QueuedRequests.begin(), State.QueuedRequests.end(),
                    [this](RequestId Id) {
                      const WallTime StartBy = State.Requests[Id].Spec.StartBy;
                      return StartBy != WallTime{} && StartBy <= wall();
                    })) {
      apply(State, ExpireCommand{wall()});
    }
    after(TickInterval, [this] { tick(); });
  }

  void decide() {
    IsDirty = false;
    if (State.QueuedRequests.empty()) {
      return;
    }
    const auto Begin = std::chrono::steady_clock::now();
    PlacementRun Run = place(input(), Runtime, Options);
    std::set<AttemptId> PreemptedBefore = Runtime.Preempted;
    if (!Run.Blocked.empty() && Options.MayPreempt) {
      preempt(input(), Runtime, Run.Blocked);
    }
    const std::chrono::duration<double> Elapsed =
        std::chrono::steady_clock::now() - Begin;
    Result.PlacementSeconds += Elapsed.count();
    Result.DecisionMs.push_back(
        Elapsed.count() * 1000 /
        static_cast<double>(std::max<std::size_t>(Run.Placements.size(), 1)));
    Result.Runs += 1;
    Result.RequestsExamined += Run.RequestsExamined;
    for (const AttemptId Attempt : Runtime.Preempted) {
      if (PreemptedBefore.insert(Attempt).second) {
        Result.Preempted += 1;
        end(Attempt, StopDelay, AttemptEnd::Stopped);
      }
    }
    applyPlacements(Run);
  }

  void applyPlacements(const PlacementRun &Run) {
    apply(State, AssignCommand{Run.Placements, wall()});
    for (const Placement &Placed : Run.Placements) {
      for (const Assignment &Assigned : Placed.Tasks) {
        begin(Assigned.AssignedTask);
      }
    }
    if (Result.Runs % RunsPerLedgerCheck == 0) {
      Result.Overcommits += checkLedger(State).size();
    }
    IsDirty = IsDirty || Run.Placements.size() == Options.MaxPlacements;
  }

  void begin(TaskId Id) {
    const Task &TaskRow = State.Tasks[Id];
    if (TaskRow.State != TaskState::Assigned) {
      return;
    }
    const Request &Owner = State.Requests[TaskRow.Owner];
    Result.Placements += 1;
    Runtime.AttemptCount += 1;
    Runtime.RetryCount += TaskRow.Attempts > 1 ? 1 : 0;
    if (Started.insert(Id).second) {
      const std::int64_t WaitMs = (wall() - Owner.AcceptedAt).count();
      Result.WaitMsByClass[Owner.Spec.ClassName].push_back(WaitMs);
      Result.WaitMsByTeam[Owner.Spec.Team].push_back(WaitMs);
    }
    const Worker &WorkerRow = State.Workers[TaskRow.AssignedWorker];
    if (BadWorkers.contains(WorkerRow.Name)) {
      end(TaskRow.Attempt, FailureDelay, AttemptEnd::Failed);
    } else if (Owner.Spec.Kind != WorkKind::Service) {
      end(TaskRow.Attempt, RunTime[TaskRow.Owner], AttemptEnd::Done);
    }
  }

  /// Integrates the utilization of each resource over the time in which the
  /// queue is not empty.
  void accumulateUtilization(Millis Until) {
    if (State.QueuedRequests.empty()) {
      return;
    }
    const auto Length = static_cast<double>((Until - Time).count());
    Resources AssignedResources;
    Resources Capacity;
    for (const Worker &WorkerRow : State.Workers.rows()) {
      AssignedResources += WorkerRow.AssignedResources;
      Capacity += WorkerRow.Capacity;
    }
    QueuedMs += Length;
    const auto Add = [Length](double &Sum, std::int64_t Used,
                              std::int64_t Total) {
      Sum += Total > 0 ? Length * static_cast<double>(Used) /
                             static_cast<double>(Total)
                       : 0;
    };
    Add(CpuShare, AssignedResources.MilliCpus, Capacity.MilliCpus);
    Add(MemoryShare, AssignedResources.MemoryMb, Capacity.MemoryMb);
    Add(SlotShare, AssignedResources.Slots, Capacity.Slots);
  }

  /// Tells whether all events have happened and all finite requests have an
  /// outcome.
  bool isReplayDone(Millis LastEventAt) const {
    if (Time <= LastEventAt) {
      return false;
    }
    return std::none_of(State.Requests.rows().begin(),
                        State.Requests.rows().end(),
                        [](const Request &RequestRow) {
                          return RequestRow.Result == Outcome::Pending &&
                                 RequestRow.Spec.Kind != WorkKind::Service;
                        });
  }

  void finish() {
    if (QueuedMs > 0) {
      Result.MeanUtilization =
          std::max({CpuShare, MemoryShare, SlotShare}) / QueuedMs;
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
    for (const Request &RequestRow : State.Requests.rows()) {
      Result.Failed +=
          RequestRow.Result == Outcome::Failed && !RequestRow.IsCancelled;
      Result.Unfinished += RequestRow.Result == Outcome::Pending &&
                           RequestRow.Spec.Kind != WorkKind::Service;
    }
    Result.BoundMs = makespanLowerBound();
  }

  /// Maximum of the CPU work and the memory work at full use of all workers and
  /// of the end of each task that starts at its submission.
  std::int64_t makespanLowerBound() const {
    double Cpu = 0;
    double Memory = 0;
    double Latest = 0;
    for (const TraceEvent &Event : Recorded.Events) {
      const auto RunMs = static_cast<double>(Event.RunTime.count());
      const auto Tasks = static_cast<double>(Event.Spec.TaskCount);
      Cpu += RunMs * Tasks * static_cast<double>(Event.Spec.Need.MilliCpus);
      Memory += RunMs * Tasks * static_cast<double>(Event.Spec.Need.MemoryMb);
      Latest = std::max(Latest, static_cast<double>(Event.At.count()) + RunMs);
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
  bool IsDirty = true; ///< The next placement run may place more tasks.
  std::map<RequestId, Millis> RunTime;
  std::set<TaskId> Started;
  std::set<AttemptId> LostAttempts;
  std::set<std::string> BadWorkers;
  double QueuedMs = 0; ///< Time in which the queue was not empty.
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
