#include "mulberryramp/cell/reservation.hpp"

#include "mulberryramp/cell/advice.hpp"
#include "mulberryramp/cell/start_planner.hpp"
#include "support/cell_parts.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

constexpr Instant Start{Millis{100000}};
constexpr std::int64_t WorkerCpus = 32000;
constexpr std::int64_t WorkerAccelerators = 8;

WorkerInstanceId workerId(std::uint32_t Slot) {
  WorkerInstanceId Id;
  Id.Slot = Slot;
  Id.Version = 1;
  return Id;
}

/// Workers with accelerators under two queues: gangs of large tasks, and small
/// tasks of lower priority. Tasks run for exactly their estimate.
class AcceleratorPool {
public:
  /// @param Advice Set if starts need a ticket; the advisor admits each worker
  /// at once.
  explicit AcceleratorPool(
      std::size_t Workers,
      const std::optional<AdvisorOptions> &Advice = std::nullopt) {
    CellConfiguration Configuration = makeTestConfiguration(1, 3);
    JobQueue Gangs = Configuration.Queues.front();
    Gangs.Prefix = "/gangs/";
    Gangs.Priority = 1;
    Gangs.LatencyTarget = Millis{60000};
    Gangs.Advice = Advice;
    JobQueue Small = Gangs;
    Small.Prefix = "/small/";
    Small.Priority = 2;
    Configuration.Queues = {Gangs, Small};
    applyCommand(State, ConfigureCommand{Configuration});
    beginDispatch(Dispatch, State, 1, Now);
    for (std::size_t Index = 0; Index < Workers; ++Index) {
      WorkerReport Report =
          makeTestReport("w" + std::to_string(Index), WorkerCpus);
      Report.Capacity.Accelerators = WorkerAccelerators;
      change(RegisterWorkerCommand{Report});
      onWorkerReport(Dispatch, findWorker(State, Report.Name), Report, Now);
    }
  }

  void submit(const std::string &Prefix, std::uint32_t Tasks,
              std::int64_t Accelerators, bool IsGang, Millis RunTime) {
    const std::string Name = "job" + std::to_string(NextJob++);
    JobSpec Spec;
    StepSpec Step;
    Step.Tasks = Tasks;
    Step.Need.MilliCpus = 2800;
    Step.Need.Accelerators = Accelerators;
    Step.IsGang = IsGang;
    Step.Estimate = RunTime;
    Spec.Steps.push_back(Step);
    change(SubmitJobCommand{Name, "host", Prefix, Spec, wallNow()});
    LastSubmitted = Name;
  }

  /// Plans, and ends the tasks whose run time is over.
  void advance(Millis Step) {
    Now += Step;
    for (const WorkerInstanceId Id : State.Workers.ids()) {
      Dispatch.Sessions.at(Id).ReportedAt = Now;
    }
    endDueTasks();
    answerQueries();
    const auto Assignments = planStarts(Dispatch, State, Now, wallNow());
    if (!Assignments.empty()) {
      change(AssignTasksCommand{Assignments});
    }
    Dispatch.Orders.clear();
    Dispatch.Commands.clear();
    for (const JobId Id : State.UnfinishedJobs) {
      if (State.Jobs[Id].AssignedTasks != 0) {
        StartedAt.try_emplace(State.Jobs[Id].Name, Now);
      }
    }
  }

  [[nodiscard]] WallTime wallNow() const {
    return WallTime{Now.time_since_epoch()};
  }

  CellState State;
  DispatchState Dispatch;
  Instant Now = Start;
  std::string LastSubmitted;
  std::map<std::string, Instant> StartedAt;

private:
  void change(const CellCommand &Command) {
    onStateChange(Dispatch, State, applyCommand(State, Command), Now);
  }

  void answerQueries() {
    for (const RoutedQuery &Routed :
         std::exchange(Dispatch.OutgoingQueries, {})) {
      AdviceAnswer Answer;
      Answer.Id = Routed.Query.Id;
      Answer.IsAnswered = true;
      for (const std::string &Worker : Routed.Query.Workers) {
        Answer.Admitted.push_back({Worker, "ticket"});
      }
      onAdviceAnswer(Dispatch, State, Answer, Now);
    }
  }

  void endDueTasks() {
    RecordTaskEndsCommand Ends;
    Ends.At = wallNow();
    for (const auto &[Key, Launch] : Dispatch.Launches) {
      const Millis RunTime = State.Jobs[Key.Job].Spec.Steps[Key.Step].Estimate;
      if (Now - Launch.StartedAt >= RunTime) {
        Ends.Ends.push_back(
            {Key, Launch.Assignment.Attempt, EndKind::Done, ""});
      }
    }
    if (!Ends.Ends.empty()) {
      change(Ends);
    }
  }

  int NextJob = 0;
};

} // namespace

TEST_GROUP(CellReservation){};

TEST(CellReservation, SlotsAppearAsTasksEnd) {
  const std::vector<ExpectedRelease> Releases = {
      {Start + Millis{100}, {0, 0, 2, 0, 0}},
      {Start + Millis{300}, {0, 0, 4, 0, 0}}};
  const auto Slots = expectedSlots(workerId(1), {0, 0, 2, 0, 0}, Releases,
                                   {0, 0, 4, 0, 0}, 8, Start);
  CHECK_EQUAL(2, Slots.size());
  CHECK(Slots[0].FreeAt == Start + Millis{100});
  CHECK(Slots[1].FreeAt == Start + Millis{300});
}

TEST(CellReservation, ChoosesTheEarliestSlotsAndKeepsFormerWorkers) {
  const std::vector<ExpectedSlot> Slots = {{Start + Millis{2000}, workerId(1)},
                                           {Start + Millis{900}, workerId(2)},
                                           {Start + Millis{1000}, workerId(3)}};
  const StepReservation First = chooseReservation(Slots, 2, {});
  CHECK(First.Workers == (std::set{workerId(2), workerId(3)}));
  CHECK(First.StartsAt == Start + Millis{1000});
  const StepReservation Second = chooseReservation(Slots, 2, {workerId(1)});
  CHECK(Second.Workers == (std::set{workerId(1), workerId(2)}));
  CHECK(chooseReservation(Slots, 4, {}).Workers.empty());
}

/// Load pattern: whole-worker gangs beside a stream of small tasks that keeps
/// three quarters of all accelerators in use.
TEST(CellReservation, AGangStartsOnceTheTasksThatRanAtItsArrivalEnded) {
  AcceleratorPool Pool{8};
  const Millis LongestSmallTask{1300};
  constexpr int GangAt = 300;
  std::string Gang;
  // A task of 1 s on average each 20 ms: 50 of the 64 accelerators.
  for (int Step = 0; Step < 600; ++Step) {
    if (Step % 2 == 0) {
      Pool.submit("/small/", 1, 1, false, Millis{700 + Step * 7 % 601});
    }
    if (Step == GangAt) {
      Pool.submit("/gangs/", 3, WorkerAccelerators, true, Millis{1000});
      Gang = Pool.LastSubmitted;
    }
    Pool.advance(Millis{10});
  }
  CHECK(Pool.StartedAt.contains(Gang));
  const Instant GangSubmittedAt = Start + Millis{GangAt * 10};
  const Millis ReplanInterval{100};
  CHECK(Pool.StartedAt[Gang] - GangSubmittedAt <=
        LongestSmallTask + ReplanInterval);
}

/// Load pattern: more gangs than fit. Half of the pool stays for other steps.
TEST(CellReservation, SmallTasksProgressBesideWaitingGangs) {
  AcceleratorPool Pool{8};
  for (int Gang = 0; Gang < 6; ++Gang) {
    Pool.submit("/gangs/", 3, WorkerAccelerators, true, Millis{4000});
  }
  Pool.advance(Millis{10});
  Pool.submit("/small/", 8, 1, false, Millis{500});
  const std::string Small = Pool.LastSubmitted;
  for (int Step = 0; Step < 20; ++Step) {
    Pool.advance(Millis{10});
  }
  CHECK(Pool.StartedAt.contains(Small));
}

/// Load pattern: a step of more large tasks than there are workers. Its tickets
/// expire while the first tasks run.
TEST(CellReservation, AStepWithMoreLargeTasksThanWorkersIsStartedInWaves) {
  AcceleratorPool Pool{2, AdvisorOptions{10, 1, Millis{2000}}};
  Pool.submit("/gangs/", 6, WorkerAccelerators, false, Millis{3000});
  for (int Step = 0; Step < 950; ++Step) {
    Pool.advance(Millis{10});
  }
  CHECK_EQUAL(0, Pool.State.UnfinishedJobs.size());
}

/// Load pattern: a task that ends before the gang can start costs it nothing.
TEST(CellReservation, ShortTasksAreBackfilledOnReservedWorkers) {
  AcceleratorPool Pool{2};
  Pool.submit("/small/", 1, 6, false, Millis{5000});
  Pool.advance(Millis{10});
  Pool.submit("/gangs/", 1, WorkerAccelerators, false, Millis{1000});
  Pool.submit("/gangs/", 1, WorkerAccelerators, false, Millis{1000});
  Pool.advance(Millis{10});
  Pool.submit("/small/", 1, 2, false, Millis{500});
  const std::string Short = Pool.LastSubmitted;
  Pool.advance(Millis{10});
  CHECK(Pool.StartedAt.contains(Short));
}

/// Load pattern: more work than fits in time. The earliest deadline first alone
/// would make each run late by the same backlog.
TEST(CellReservation, ARunThatMissesItsSoftDeadlineIsPlannedAfterThoseInTime) {
  AcceleratorPool Pool{1};
  Pool.submit("/gangs/", 1, WorkerAccelerators, false, Millis{75000});
  Pool.advance(Millis{10});
  // Its soft deadline, 90 s after its submission, is missed after 69 s.
  Pool.submit("/gangs/", 1, WorkerAccelerators, false, Millis{30000});
  const std::string Late = Pool.LastSubmitted;
  for (int Second = 0; Second < 74; ++Second) {
    Pool.advance(Millis{1000});
  }
  Pool.submit("/gangs/", 1, WorkerAccelerators, false, Millis{1000});
  const std::string InTime = Pool.LastSubmitted;
  Pool.advance(Millis{1000});
  CHECK(Pool.StartedAt.contains(InTime));
  CHECK_FALSE(Pool.StartedAt.contains(Late));
  Pool.advance(Millis{1000});
  CHECK(Pool.StartedAt.contains(Late));
}
