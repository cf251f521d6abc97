#include "cell/busy_cell.hpp"

#include "mulberryramp/cell/answers.hpp"
#include "mulberryramp/cell/crash_attribution.hpp"
#include "mulberryramp/cell/orders.hpp"
#include "support/cell_parts.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp::test {

namespace {

constexpr Millis StepTime{10};
constexpr Millis ReportInterval{500};
constexpr Millis ElectionTime{400};
constexpr std::int64_t WorkerCpus = 16000;

JobQueue makeQueue(const std::string &Prefix, std::uint32_t Priority) {
  JobQueue Queue = makeTestQueue(3);
  Queue.Prefix = Prefix;
  Queue.Priority = Priority;
  Queue.LatencyTarget = Millis{1000};
  return Queue;
}

} // namespace

BusyCell::BusyCell(const BusyCellOptions &Options) : Options{Options} {
  CellConfiguration Configuration;
  Configuration.Version = 1;
  Configuration.Queues = {makeQueue("/quick/", 0), makeQueue("/low/", 1),
                          makeQueue("/advised/", 1)};
  AdvisorOptions &Advisor = Configuration.Queues.back().Advice.emplace();
  Advisor.DecisionMs = static_cast<double>(Options.AdviceTime.count());
  Advisor.TicketTtl = Options.TicketTtl;
  applyCommand(State, ConfigureCommand{Configuration});
  elect();
  for (int Index = 0; Index < Options.Workers; ++Index) {
    WorkerReport Report =
        makeTestReport("w" + std::to_string(Index), WorkerCpus);
    Report.Rack = "r" + std::to_string(Index % Options.Racks);
    if (static_cast<std::size_t>(Index) < Options.Labels.size()) {
      Report.Labels = {Options.Labels[static_cast<std::size_t>(Index)]};
    }
    apply(RegisterWorkerCommand{Report});
  }
  NextQuickAt = Now;
  run(Millis{2000});
}

void BusyCell::start(const std::string &Name, const StepSpec &Step,
                     const std::string &Prefix) {
  submit(Name, Step, Prefix);
  (void)timeUntilRunning(Name, Millis{10000});
}

void BusyCell::crashUnder(const std::string &Name) {
  const Job &Owner = State.Jobs[findJob(State, Name)];
  for (std::uint32_t Task = 0; Task < Owner.Spec.Steps.front().Tasks; ++Task) {
    endTask(Name, Task, EndKind::CrashedWithOthers);
  }
}

void BusyCell::endTask(const std::string &Name, std::uint32_t Task,
                       EndKind Kind) {
  const TaskKey Key{findJob(State, Name), 0, 0, Task};
  RecordTaskEndsCommand Command;
  Command.At = wallNow();
  Command.Ends.push_back({Key, findTask(State, Key)->Attempt, Kind, ""});
  apply(Command);
}

void BusyCell::run(Millis Time) {
  for (const Instant End = Now + Time; Now < End;) {
    step();
  }
}

Millis BusyCell::timeUntilRunning(const std::string &Name, Millis MaxTime) {
  const Instant Begin = Now;
  while (Now < Begin + MaxTime && !isRunning(Name)) {
    step();
  }
  return Now - Begin;
}

void BusyCell::elect() {
  Now += ElectionTime;
  CurrentTerm += 1;
  beginDispatch(Dispatch, State, CurrentTerm, Now);
  ReportAt = Now;
}

void BusyCell::cancel(const std::string &Name) {
  apply(CancelJobCommand{Name, wallNow()});
}

void BusyCell::silence(const std::string &Worker, Instant Until) {
  SilentUntil[Worker] = Until;
  const WorkerInstanceId Id = findWorker(State, Worker);
  Dispatch.Sessions.at(Id).NeedsProbe = true;
  Dispatch.TouchedWorkers.insert(Id);
}

bool BusyCell::startedAlone(const std::string &Name, Instant Since) const {
  return std::none_of(
      Starts.begin(), Starts.end(), [&](const BusyCellStart &Own) {
        return Own.Job == Name && Own.At >= Since &&
               std::any_of(Starts.begin(), Starts.end(),
                           [&](const BusyCellStart &Other) {
                             return Other.Job != Name &&
                                    Other.Worker == Own.Worker &&
                                    Other.At > Own.At - SuspectWindow &&
                                    Other.At < Own.At + SuspectWindow;
                           });
      });
}

std::size_t BusyCell::heldWorkers() const {
  std::size_t Held = 0;
  for (const auto &[Key, Wait] : Dispatch.TrialWaits) {
    Held += Wait.Held.size();
  }
  return Held;
}

JobTaskState BusyCell::stateOf(const std::string &Name,
                               std::uint32_t Task) const {
  return findTask(State, {findJob(State, Name), 0, 0, Task})->State;
}

WallTime BusyCell::wallNow() const { return WallTime{Now.time_since_epoch()}; }

bool BusyCell::isSilent(const std::string &Worker) const {
  const auto It = SilentUntil.find(Worker);
  return It != SilentUntil.end() && Now < It->second;
}

void BusyCell::apply(const CellCommand &Command) {
  const CellChange Change = applyCommand(State, Command);
  noteChange(Dispatch.Entries, State, Change, {Now, CurrentTerm});
  onStateChange(Dispatch, State, Change, Now);
}

void BusyCell::submit(const std::string &Name, const StepSpec &Step,
                      const std::string &Prefix) {
  JobSpec Spec;
  Spec.Steps.push_back(Step);
  apply(SubmitJobCommand{Name, "host", Prefix, Spec, wallNow()});
}

void BusyCell::submitQuick() {
  StepSpec Step;
  Step.Tasks = static_cast<std::uint32_t>(Options.Workers);
  Step.Need.MilliCpus = 1000;
  Step.Estimate = Options.QuickRunTime;
  Step.MaxPerWorker = 1;
  const std::string Name = "quick" + std::to_string(QuickJobs);
  QuickJobs += 1;
  QuickSubmittedAt[Name] = Now;
  submit(Name, Step, "/quick/");
}

void BusyCell::report() {
  Sequence += 1;
  for (const WorkerInstanceId Id : State.Workers.ids()) {
    WorkerReport Report = State.Workers[Id].Report;
    if (!isSilent(Report.Name)) {
      Report.Sequence = Sequence;
      Report.Clock = Now.time_since_epoch().count();
      onWorkerReport(Dispatch, Id, Report, Now);
    }
  }
}

void BusyCell::endQuickTasks() {
  RecordTaskEndsCommand Command;
  Command.At = wallNow();
  while (!QuickEnds.empty() && QuickEnds.begin()->first <= Now) {
    const auto &[Task, Attempt] = QuickEnds.begin()->second;
    Command.Ends.push_back(
        {{findJob(State, Task.Job), Task.Run, Task.Step, Task.Task},
         Attempt,
         EndKind::Done,
         ""});
    QuickEnds.erase(QuickEnds.begin());
  }
  if (!Command.Ends.empty()) {
    apply(Command);
  }
}

void BusyCell::answer(const WorkerOrder &Order) {
  OrderResult Result;
  Result.Id = Order.Id;
  if (isSilent(Order.Worker)) {
    onOrderResult(Dispatch, State, Result, Now, wallNow());
    return;
  }
  Result.Verdict = OrderVerdict::Done;
  Result.Clock = Now.time_since_epoch().count();
  Result.StartTimeMs = 1;
  if (Order.Kind == WorkerOrderKind::Start) {
    Starts.push_back({Now, Order.Worker, Order.Task.Job});
    if (const auto It = QuickSubmittedAt.find(Order.Task.Job);
        It != QuickSubmittedAt.end()) {
      LongestQuickWait = std::max(LongestQuickWait, Now - It->second);
      QuickEnds.emplace(Now + Options.QuickRunTime,
                        std::pair{Order.Task, Order.Attempt});
    }
  } else if (Order.Kind == WorkerOrderKind::Renew) {
    for (const auto &[Key, Launch] : Dispatch.Launches) {
      if (workerName(State, Launch.Assignment.Worker) == Order.Worker) {
        Result.Running.push_back({nameTask(State, Key),
                                  Launch.Assignment.Attempt, "",
                                  percentOf(Key, Launch), 0});
      }
    }
  }
  onOrderResult(Dispatch, State, Result, Now, wallNow());
}

std::uint32_t BusyCell::percentOf(const TaskKey &Key,
                                  const TaskLaunch &Launch) const {
  const StepSpec &Spec = *findStepSpec(State, Key);
  return Spec.IsLongRunning
             ? 100
             : static_cast<std::uint32_t>((Now - Launch.StartedAt) * 100 /
                                          Spec.Estimate);
}

void BusyCell::takeQueries() {
  for (RoutedQuery &Routed : std::exchange(Dispatch.OutgoingQueries, {})) {
    AdviceAnswer Answer;
    Answer.Id = Routed.Query.Id;
    Answer.IsAnswered = true;
    for (const std::string &Worker : Routed.Query.Workers) {
      Answer.Admitted.push_back({Worker, "ticket"});
    }
    Advice.emplace(Now + Options.AdviceTime, std::move(Answer));
  }
}

void BusyCell::deliverAdvice() {
  while (!Advice.empty() && Now >= Advice.begin()->first) {
    onAdviceAnswer(Dispatch, State, Advice.begin()->second, Now);
    Advice.erase(Advice.begin());
  }
}

void BusyCell::step() {
  Now += StepTime;
  if (Now >= ReportAt) {
    ReportAt = Now + ReportInterval;
    report();
  }
  endQuickTasks();
  deliverAdvice();
  if (Now >= NextQuickAt) {
    NextQuickAt = Now + Options.QuickInterval;
    submitQuick();
  }
  stepDispatch(Dispatch, State, Now, wallNow());
  for (const CellCommand &Command : std::exchange(Dispatch.Commands, {})) {
    if (std::holds_alternative<AssignTasksCommand>(Command)) {
      Dispatch.HasUncommittedStarts = false;
    }
    apply(Command);
  }
  for (const WorkerOrder &Order : std::exchange(Dispatch.Orders, {})) {
    answer(Order);
  }
  takeQueries();
  for (std::string &Line : std::exchange(Dispatch.Events, {})) {
    Events.push_back(std::move(Line));
  }
}

bool BusyCell::isRunning(const std::string &Name) const {
  const Job &Owner = State.Jobs[findJob(State, Name)];
  const JobStep &Step = findRun(Owner, 0)->Steps.front();
  return Step.Assigned == Step.Tasks.size();
}

} // namespace mulberryramp::test
