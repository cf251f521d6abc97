#include "cell_replay.hpp"

#include "mulberryramp/cell/advice.hpp"
#include "mulberryramp/cell/answers.hpp"
#include "mulberryramp/cell/orders.hpp"
#include "mulberryramp/cell/pending_steps.hpp"
#include "mulberryramp/job/organisation_accounts.hpp"

#include <algorithm>
#include <ctime>
#include <functional>
#include <map>
#include <utility>

namespace mulberryramp::bench {

namespace {

constexpr Millis TickInterval{2};
constexpr Millis ReportInterval{1500};
constexpr Millis HelloInterval{500};
/// Time after the last arrival until which completions count.
constexpr Millis DrainTime{40000};
constexpr Millis RestoreTime{250};
constexpr std::size_t WorkersPerRack = 12;
constexpr double LateWorth = 0.2;
constexpr int LateFactor = 3;

double processorSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) / 1e9;
}

struct SimulatedRun {
  TaskName Task;
  std::uint32_t Attempt = 0;
  Instant WorkBeginsAt;
  double DoneBefore = 0; ///< Milliseconds of work that a checkpoint holds.
};

struct SimulatedWorker {
  double Speed = 1;
  std::vector<SimulatedRun> Running;
  std::vector<ReportedEnd> Ends;
  std::uint64_t LastEnd = 0;
  std::uint64_t OpenRenewal = 0; ///< Id of the renewal that waits, or 0.
  std::uint64_t Sequence = 1;
};

/// One replay.
class CellReplay {
public:
  CellReplay(const std::vector<LoadJob> &Jobs, const LoadOptions &Load,
             const CellReplayOptions &Options)
      : Jobs{Jobs}, Load{Load}, Options{Options},
        CompletedAt(Jobs.size(), Millis{-1}), Refused(Jobs.size(), false) {}

  CellReplayResult run() {
    begin();
    const Instant Last = Start + secondsToMillis(Load.Seconds) + DrainTime;
    for (Now = Start; Now < Last; Now += Millis{1}) {
      runEvents();
      addUtilization();
      if (Now >= NextTickAt) {
        tick();
      }
    }
    summarize();
    return Result;
  }

private:
  using Action = std::function<void()>;

  static Millis secondsToMillis(double Seconds) {
    return Millis{static_cast<std::int64_t>(Seconds * 1000)};
  }
  [[nodiscard]] WallTime wallNow() const {
    return WallTime{Now.time_since_epoch()};
  }
  void after(Millis Delay, Action Run) {
    Events.emplace(Now + Delay, std::move(Run));
  }

  void runEvents() {
    while (!Events.empty() && Events.begin()->first <= Now) {
      const Action Run = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Run();
    }
  }

  WorkerReport reportOf(std::size_t Index) {
    static constexpr double Sizes[] = {1, 1, 0.5, 2};
    static constexpr double Speeds[] = {0.8, 1, 1.25};
    SimulatedWorker &Worker = Workers[Index];
    Worker.Speed = Speeds[Index % 3];
    const double Size = Sizes[Index % 4];
    WorkerReport Report;
    Report.Name = "w" + std::to_string(Index);
    Report.StartTimeMs = 1;
    Report.Pool = "pool";
    Report.Address = Report.Name + ":1";
    Report.Rack = "r" + std::to_string(Index / WorkersPerRack);
    Report.Labels = {"a", Report.Rack};
    Report.Capacity.MilliCpus = static_cast<std::int64_t>(64000 * Size);
    Report.Capacity.MemoryMb = static_cast<std::int64_t>(262144 * Size);
    Report.Sequence = Worker.Sequence;
    Worker.Sequence += 1;
    Report.Clock = Now.time_since_epoch().count();
    return Report;
  }

  void begin() {
    Workers.resize(Options.Workers);
    applyCommand(State,
                 ConfigureCommand{makeLoadConfiguration(Load.Organisations)});
    Now = Start;
    Dispatch.Options.HasPreemption = Options.HasPreemption;
    Dispatch.Options.HasAdmissionControl = Options.HasAdmissionControl;
    beginDispatch(Dispatch, State, 1, Now);
    for (std::size_t Index = 0; Index < Workers.size(); ++Index) {
      const WorkerReport Report = reportOf(Index);
      TotalMilliCpus += static_cast<double>(Report.Capacity.MilliCpus);
      onStateChange(Dispatch, State,
                    applyCommand(State, RegisterWorkerCommand{Report}), Now);
      sendReport(Index);
    }
    sendHellos();
    for (std::size_t Index = 0; Index < Jobs.size(); ++Index) {
      after(Jobs[Index].At, [this, Index] { submit(Index); });
    }
  }

  void sendReport(std::size_t Index) {
    const WorkerReport Report = reportOf(Index);
    onWorkerReport(Dispatch, findWorker(State, Report.Name), Report, Now);
    after(ReportInterval, [this, Index] { sendReport(Index); });
  }

  void sendHellos() {
    for (std::size_t Node = 1; Node <= Options.Nodes; ++Node) {
      Dispatch.Nodes[static_cast<NodeId>(Node)].LastContactAt = Now;
    }
    after(HelloInterval, [this] { sendHellos(); });
  }

  void submit(std::size_t Index) {
    const LoadJob &Job = Jobs[Index];
    if (Options.HasAdmissionControl && isRefused(Job, Index)) {
      Refused[Index] = true;
      return;
    }
    const std::string Prefix = "/" + std::string{nameOf(Job.Class)} + "/";
    Proposals.emplace_back(
        SubmitJobCommand{"j" + std::to_string(Index), "host", Prefix, Job.Spec,
                         wallNow(), "org-" + std::to_string(Job.Organisation)});
    if (Job.Class == JobClass::Service) {
      after(Job.RunTimes.front().front(), [this, Index] {
        Proposals.emplace_back(
            CancelJobCommand{"j" + std::to_string(Index), wallNow()});
      });
    }
  }

  /// Decides as a node does; a refused job is not submitted again.
  [[nodiscard]] bool isRefused(const LoadJob &Job, std::size_t Index) const {
    const Organisation &Owner =
        State.Configuration.Organisations[Job.Organisation];
    const JobQueue &Queue =
        State.Configuration.Queues[static_cast<std::size_t>(Job.Class)];
    AdmissionRequest Request;
    Request.IsExcess = !Queue.IsPublic && !isOwedJob(State, Owner, wallNow());
    Request.Backlog = backlogOf(Dispatch.Backlog, Queue.Pool,
                                Request.IsExcess ? UINT32_MAX : Queue.Priority);
    Request.UsefulTime = usefulTimeOf(Job.Spec, Queue);
    Request.Hash = Index;
    return !decideAdmission(Request).IsAccepted;
  }

  void tick() {
    const double Before = processorSeconds();
    stepDispatch(Dispatch, State, Now, wallNow());
    const double Spent = processorSeconds() - Before;
    chargeProcessor(Spent);
    Proposals.insert(Proposals.end(),
                     std::make_move_iterator(Dispatch.Commands.begin()),
                     std::make_move_iterator(Dispatch.Commands.end()));
    Dispatch.Commands.clear();
    Dispatch.Events.clear();
    if (!Proposals.empty()) {
      after(Options.CommitTime,
            [this, Batch = std::exchange(Proposals, {})] { commit(Batch); });
    }
    for (WorkerOrder &Order : std::exchange(Dispatch.Orders, {})) {
      after(Options.OneWay,
            [this, Sent = std::move(Order)] { receiveOrder(Sent); });
    }
    for (RoutedQuery &Routed : std::exchange(Dispatch.OutgoingQueries, {})) {
      answerQuery(Routed.Query);
    }
  }

  void chargeProcessor(double Spent) {
    Result.DecisionSeconds += Spent;
    Result.LongestStepMs = std::max(Result.LongestStepMs, Spent * 1000);
    NextTickAt =
        Now + std::max(TickInterval,
                       secondsToMillis(Spent * Options.ProcessorFactor));
  }

  void commit(const std::vector<CellCommand> &Batch) {
    const double Before = processorSeconds();
    for (const CellCommand &Command : Batch) {
      const CellChange Change = applyCommand(State, Command);
      if (std::holds_alternative<AssignTasksCommand>(Command)) {
        Dispatch.HasUncommittedStarts = false;
      }
      onStateChange(Dispatch, State, Change, Now);
      for (const JobId Id : Change.FinishedJobs) {
        if (State.Jobs[Id].Phase == JobPhase::Completed) {
          CompletedAt[indexOf(State.Jobs[Id].Name)] = Now - Start;
        }
      }
      for (const TaskAssignment &Assigned : Change.Started) {
        noteService(Assigned.Key);
      }
    }
    chargeProcessor(processorSeconds() - Before);
  }

  /// Records when all tasks of a service were assigned for the first time.
  void noteService(const TaskKey &Key) {
    const Job &Owner = State.Jobs[Key.Job];
    const std::size_t Index = indexOf(Owner.Name);
    if (Jobs[Index].Class == JobClass::Service &&
        CompletedAt[Index] < Millis{0} &&
        Owner.AssignedTasks == Owner.Spec.Steps.front().Tasks) {
      CompletedAt[Index] = Now - Start;
    }
  }

  static std::size_t indexOf(const std::string &Name) {
    return std::stoul(Name.substr(1));
  }

  void answerQuery(const AdviceQuery &Query) {
    const Job &Owner = State.Jobs[findJob(State, Query.Step.Job)];
    const AdvisorOptions &Advisor = *Owner.Queue.Advice;
    const std::uint64_t Admitted =
        Owner.Queue.Priority == 0 ? 70 : 35; // Percent of the workers.
    AdviceAnswer Answer;
    Answer.Id = Query.Id;
    Answer.IsAnswered = true;
    Answer.TicketTtl = Advisor.TicketTtl;
    for (const std::string &Name : Query.Workers) {
      std::uint64_t Seed = Load.Seed + Query.Step.Step;
      for (const char Character : Query.Step.Job + "@" + Name) {
        Seed = Seed * 131 + static_cast<unsigned char>(Character);
      }
      if (Random{Seed}.percent(Admitted)) {
        Answer.Admitted.push_back({Name, "t"});
      }
    }
    after(expectedAnswerTime(Advisor, Query.Workers.size()) +
              Options.OneWay * 4,
          [this, Answer] { onAdviceAnswer(Dispatch, State, Answer, Now); });
  }

  void receiveOrder(const WorkerOrder &Order) {
    SimulatedWorker &Worker = Workers[std::stoul(Order.Worker.substr(1))];
    switch (Order.Kind) {
    case WorkerOrderKind::Start:
      Result.Starts += 1;
      startTask(Worker, Order);
      break;
    case WorkerOrderKind::Stop:
      Result.Stops += 1;
      stopTask(Worker, Order);
      break;
    case WorkerOrderKind::Renew:
      receiveRenewal(Worker, Order);
      return;
    case WorkerOrderKind::Pace:
      break;
    }
    reply(resultOf(Order.Id));
  }

  OrderResult resultOf(std::uint64_t Id) const {
    OrderResult Answer;
    Answer.Id = Id;
    Answer.Verdict = OrderVerdict::Done;
    Answer.Clock = Now.time_since_epoch().count();
    return Answer;
  }

  void reply(OrderResult Answer) {
    after(Options.OneWay, [this, Answer = std::move(Answer)] {
      const double Before = processorSeconds();
      onOrderResult(Dispatch, State, Answer, Now, wallNow());
      chargeProcessor(processorSeconds() - Before);
    });
  }

  void startTask(SimulatedWorker &Worker, const WorkerOrder &Order) {
    const LoadJob &Job = Jobs[indexOf(Order.Task.Job)];
    SimulatedRun Run{Order.Task, Order.Attempt, Now, 0};
    if (!Order.Checkpoint.empty()) {
      Run.DoneBefore = std::stod(Order.Checkpoint);
      Run.WorkBeginsAt += RestoreTime;
    }
    Worker.Running.push_back(Run);
    if (Job.Class == JobClass::Service) {
      return;
    }
    const double Work = static_cast<double>(
        Job.RunTimes[Order.Task.Step][Order.Task.Task].count());
    const auto Left = Millis{static_cast<std::int64_t>(
        std::max(0.0, Work - Run.DoneBefore) / Worker.Speed)};
    after(Run.WorkBeginsAt - Now + Left,
          [this, &Worker, Task = Order.Task, Attempt = Order.Attempt] {
            endTask(Worker, Task, Attempt, EndKind::Done);
          });
  }

  void stopTask(SimulatedWorker &Worker, const WorkerOrder &Order) {
    const auto StopTime =
        static_cast<std::uint64_t>(Options.MaxStopTime.count());
    after(Millis{static_cast<std::int64_t>(StopTime / 4 +
                                           Source.below(StopTime * 3 / 4))},
          [this, &Worker, Task = Order.Task, Attempt = Order.Attempt] {
            endTask(Worker, Task, Attempt, EndKind::Stopped);
          });
  }

  void endTask(SimulatedWorker &Worker, const TaskName &Task,
               std::uint32_t Attempt, EndKind Kind) {
    const auto RunIt =
        std::find_if(Worker.Running.begin(), Worker.Running.end(),
                     [&](const SimulatedRun &Run) {
                       return Run.Task == Task && Run.Attempt == Attempt;
                     });
    if (RunIt == Worker.Running.end()) {
      return;
    }
    ReportedEnd End;
    Worker.LastEnd += 1;
    End.Number = Worker.LastEnd;
    End.Task = Task;
    End.Attempt = Attempt;
    End.Kind = Kind;
    if (Kind == EndKind::Stopped &&
        Jobs[indexOf(Task.Job)].Spec.Steps[Task.Step].IsCheckpointed) {
      const auto Worked =
          std::max(Millis{0}, Now - RunIt->WorkBeginsAt).count();
      End.Checkpoint = std::to_string(
          RunIt->DoneBefore + static_cast<double>(Worked) * Worker.Speed);
    }
    Worker.Ends.push_back(std::move(End));
    Worker.Running.erase(RunIt);
    answerRenewal(Worker);
  }

  void receiveRenewal(SimulatedWorker &Worker, const WorkerOrder &Order) {
    std::erase_if(Worker.Ends, [&](const ReportedEnd &End) {
      return End.Number <= Order.LastAckedEnd;
    });
    if (!Worker.Ends.empty() || Order.Wait.count() == 0) {
      reply(listOf(Worker, Order.Id));
      return;
    }
    Worker.OpenRenewal = Order.Id;
    after(Order.Wait, [this, &Worker, Id = Order.Id] {
      if (Worker.OpenRenewal == Id) {
        answerRenewal(Worker);
      }
    });
  }

  void answerRenewal(SimulatedWorker &Worker) {
    if (Worker.OpenRenewal != 0) {
      reply(listOf(Worker, std::exchange(Worker.OpenRenewal, 0)));
    }
  }

  [[nodiscard]] OrderResult listOf(const SimulatedWorker &Worker,
                                   std::uint64_t Id) const {
    OrderResult Answer = resultOf(Id);
    Answer.StartTimeMs = 1;
    for (const SimulatedRun &Run : Worker.Running) {
      RunningTask Row;
      Row.Task = Run.Task;
      Row.Attempt = Run.Attempt;
      Row.Percent = 100;
      const LoadJob &Job = Jobs[indexOf(Run.Task.Job)];
      if (Job.Class != JobClass::Service) {
        const double Work = static_cast<double>(
            Job.RunTimes[Run.Task.Step][Run.Task.Task].count());
        const double Done =
            Run.DoneBefore +
            static_cast<double>((Now - Run.WorkBeginsAt).count()) *
                Worker.Speed;
        Row.Percent = static_cast<std::uint32_t>(
            std::clamp(Done * 100 / Work, 0.0, 99.0));
      }
      Answer.Running.push_back(std::move(Row));
    }
    Answer.Ends = Worker.Ends;
    return Answer;
  }

  void addUtilization() {
    if (Now - Start >= secondsToMillis(Load.Seconds) ||
        (Now - Start).count() % 100 != 0) {
      return;
    }
    double Used = 0;
    for (const SimulatedWorker &Worker : Workers) {
      for (const SimulatedRun &Run : Worker.Running) {
        Used += static_cast<double>(Jobs[indexOf(Run.Task.Job)]
                                        .Spec.Steps[Run.Task.Step]
                                        .Need.MilliCpus);
      }
    }
    Utilization += Used / TotalMilliCpus;
    UtilizationSamples += 1;
    if ((Now - Start).count() % 1000 == 0) {
      Result.Utilization.push_back(Used / TotalMilliCpus);
    }
  }

  /// Time from the arrival within which a job is in time: its longest chain of
  /// work on a worker of speed 1, with the slack of its queue.
  [[nodiscard]] Millis objectiveOf(const LoadJob &Job) const {
    Millis Chain{Job.Class == JobClass::Service ? 500 : 0};
    for (const auto &Times : Job.RunTimes) {
      Chain += Job.Class == JobClass::Service
                   ? Millis{0}
                   : *std::max_element(Times.begin(), Times.end());
    }
    const JobQueue &Queue =
        State.Configuration.Queues[static_cast<std::size_t>(Job.Class)];
    return Queue.LatencyTarget +
           Millis{static_cast<std::int64_t>(static_cast<double>(Chain.count()) *
                                            Queue.SlackFactor)};
  }

  void addOutcome(ClassResult &Row, std::size_t Index, double Weight) const {
    const Millis Objective = objectiveOf(Jobs[Index]);
    const Millis Taken = CompletedAt[Index] - Jobs[Index].At;
    const bool IsCompleted = CompletedAt[Index] >= Millis{0};
    const bool IsInTime = IsCompleted && Taken <= Objective;
    const bool IsLate =
        IsCompleted && !IsInTime && Taken <= Objective * LateFactor;
    Row.Jobs += 1;
    Row.InTime += IsInTime ? 1 : 0;
    Row.Late += IsLate ? 1 : 0;
    Row.Refused += Refused[Index] ? 1 : 0;
    Row.Owed += Weight;
    Row.Worth += IsInTime ? Weight : IsLate ? Weight * LateWorth : 0;
  }

  void summarize() {
    static constexpr double ClassWorth[] = {0.578, 2.3, 3.8};
    double MeanWork[3] = {};
    std::size_t Counts[3] = {};
    for (const LoadJob &Job : Jobs) {
      MeanWork[static_cast<std::size_t>(Job.Class)] += Job.CoreSeconds;
      Counts[static_cast<std::size_t>(Job.Class)] += 1;
    }
    Result.Organisations.resize(Load.Organisations);
    for (std::size_t Index = 0; Index < Jobs.size(); ++Index) {
      const auto Class = static_cast<std::size_t>(Jobs[Index].Class);
      const double Mean = MeanWork[Class] / static_cast<double>(Counts[Class]);
      const double Weight =
          ClassWorth[Class] *
          std::min(4.0, 0.3 + 0.7 * Jobs[Index].CoreSeconds / Mean);
      addOutcome(Result.Classes[Class], Index, Weight);
      addOutcome(Result.Organisations[Jobs[Index].Organisation], Index, Weight);
    }
    Result.MeanUtilization =
        Utilization / static_cast<double>(std::max(1, UtilizationSamples));
  }

  const std::vector<LoadJob> &Jobs;
  const LoadOptions &Load;
  const CellReplayOptions &Options;
  const Instant Start{Millis{100000}};
  Instant Now;
  Instant NextTickAt;
  CellState State;
  DispatchState Dispatch;
  Random Source{1};
  std::vector<SimulatedWorker> Workers;
  std::multimap<Instant, Action> Events;
  std::vector<CellCommand> Proposals;
  std::vector<Millis> CompletedAt; ///< From the start; negative: not yet.
  std::vector<bool> Refused;
  double TotalMilliCpus = 0;
  double Utilization = 0;
  int UtilizationSamples = 0;
  CellReplayResult Result;
};

} // namespace

CellReplayResult replayCell(const std::vector<LoadJob> &Jobs,
                            const LoadOptions &Load,
                            const CellReplayOptions &Options) {
  return CellReplay{Jobs, Load, Options}.run();
}

} // namespace mulberryramp::bench
