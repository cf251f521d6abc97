#include "cell/busy_cell.hpp"
#include "mulberryramp/cell/crash_attribution.hpp"
#include "mulberryramp/cell/orders.hpp"
#include "mulberryramp/cell/trial_holds.hpp"
#include "mulberryramp/cell/wait_reasons.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

/// A long-running task is promised a run within 6 s of its last one and 3 s.
constexpr Millis MaxGap{9000};
/// Time from a start to the crash of its worker.
constexpr Millis TimeToCrash{300};

StepSpec makeStep(std::uint32_t Tasks, bool IsLongRunning) {
  StepSpec Step;
  Step.Tasks = Tasks;
  Step.Need.MilliCpus = 1000;
  Step.Estimate = Millis{20000};
  Step.IsLongRunning = IsLongRunning;
  return Step;
}

StepSpec makeGang(std::uint32_t Members) {
  StepSpec Step = makeStep(Members, false);
  Step.IsGang = true;
  return Step;
}

/// Lets the workers crash under a job, and checks that all its tasks run again
/// in time, each apart from other starts.
void checkRunsAgain(BusyCell &Cell, const std::string &Name) {
  Cell.run(TimeToCrash);
  Cell.crashUnder(Name);
  const Instant CrashedAt = Cell.now();
  CHECK(Cell.timeUntilRunning(Name, MaxGap) < MaxGap);
  Cell.run(SuspectWindow);
  CHECK(Cell.startedAlone(Name, CrashedAt));
}

} // namespace

TEST_GROUP(CellTrialHold){};

/// Guards against a service that never runs again after a crash of its worker,
/// as other tasks start on each worker more often than `SuspectWindow`.
TEST(CellTrialHold, AServiceRunsAgainBesideSteadyStarts) {
  for (const std::int64_t Interval : {100, 150, 250, 400, 500}) {
    BusyCellOptions Options;
    Options.QuickInterval = Millis{Interval};
    BusyCell Cell{Options};
    Cell.start("service", makeStep(1, true));
    checkRunsAgain(Cell, "service");
  }
}

/// Guards against a batch task that never runs again for the same reason.
TEST(CellTrialHold, ABatchTaskRunsAgainBesideSteadyStarts) {
  BusyCell Cell{{}};
  Cell.start("batch", makeStep(1, false));
  checkRunsAgain(Cell, "batch");
}

/// Guards against suspects of several steps that wait for each other's workers.
TEST(CellTrialHold, SeveralSuspectsRunAgainBesideSteadyStarts) {
  BusyCell Cell{{}};
  for (int Index = 0; Index < 6; ++Index) {
    Cell.start("service" + std::to_string(Index), makeStep(1, true));
  }
  Cell.run(TimeToCrash);
  const Instant CrashedAt = Cell.now();
  for (int Index = 0; Index < 6; ++Index) {
    Cell.crashUnder("service" + std::to_string(Index));
  }
  Cell.run(MaxGap);
  for (int Index = 0; Index < 6; ++Index) {
    const std::string Name = "service" + std::to_string(Index);
    CHECK(Cell.timeUntilRunning(Name, Millis{10}) == Millis{0});
    CHECK(Cell.startedAlone(Name, CrashedAt));
  }
}

/// Guards against the suspects of one step, of which few are tried at a time,
/// that take longer together than callers are promised.
TEST(CellTrialHold, AllTasksOfAServiceRunAgainBesideSteadyStarts) {
  BusyCell Cell{{}};
  Cell.start("service", makeStep(8, true));
  Cell.crashUnder("service");
  CHECK(Cell.timeUntilRunning("service", MaxGap) < MaxGap);
}

/// Guards against a gang with a suspect that never finds enough workers without
/// a recent start in the same plan.
TEST(CellTrialHold, AGangRunsAgainBesideSteadyStarts) {
  BusyCell Cell{{}};
  Cell.start("gang", makeGang(2));
  checkRunsAgain(Cell, "gang");
  StepSpec Apart = makeGang(8);
  Apart.MaxPerWorker = 1;
  Cell.start("wide", Apart);
  checkRunsAgain(Cell, "wide");
}

/// Guards against a suspect that needs a worker that is admitted and has no
/// recent start at the same moment, while its ticket expires before.
TEST(CellTrialHold, ASuspectWithAdviceRunsAgainBesideSteadyStarts) {
  for (const std::int64_t Ttl : {400, 700, 2000}) {
    for (const std::int64_t AdviceTime : {20, 450}) {
      BusyCellOptions Options;
      Options.TicketTtl = Millis{Ttl};
      Options.AdviceTime = Millis{AdviceTime};
      BusyCell Cell{Options};
      Cell.start("service", makeStep(1, true), "/advised/");
      checkRunsAgain(Cell, "service");
      Cell.start("gang", makeGang(3), "/advised/");
      checkRunsAgain(Cell, "gang");
    }
  }
}

/// Guards against suspects that may only run on one worker.
TEST(CellTrialHold, SuspectsOfOneLabelledWorkerRunAgainBesideSteadyStarts) {
  BusyCellOptions Options;
  Options.Labels = {"gpu"};
  BusyCell Cell{Options};
  StepSpec Step = makeStep(1, true);
  Step.Label = "gpu";
  Cell.start("one", Step);
  Cell.start("two", Step);
  Cell.start("three", Step);
  Cell.run(TimeToCrash);
  const Instant CrashedAt = Cell.now();
  for (const std::string Name : {"one", "two", "three"}) {
    Cell.crashUnder(Name);
  }
  Cell.run(MaxGap);
  for (const std::string Name : {"one", "two", "three"}) {
    CHECK(Cell.timeUntilRunning(Name, Millis{10}) == Millis{0});
    CHECK(Cell.startedAlone(Name, CrashedAt));
  }
}

/// Guards against a suspect for which a rack has neither a worker without a
/// recent start nor a trial to spare.
TEST(CellTrialHold, SuspectsOfSmallRacksRunAgainBesideSteadyStarts) {
  BusyCellOptions Options;
  Options.Workers = 4;
  Options.Racks = 1;
  BusyCell Cell{Options};
  Cell.start("one", makeStep(2, true));
  Cell.start("two", makeStep(2, true));
  Cell.crashUnder("one");
  Cell.crashUnder("two");
  Cell.run(MaxGap);
  CHECK(Cell.timeUntilRunning("one", Millis{10}) == Millis{0});
  CHECK(Cell.timeUntilRunning("two", Millis{10}) == Millis{0});
}

/// Guards against a wait that begins anew with each leader.
TEST(CellTrialHold, AServiceRunsAgainOverElectionsEvery2s) {
  BusyCell Cell{{}};
  Cell.start("service", makeStep(1, true));
  Cell.crashUnder("service");
  Millis Gap{0};
  for (int Election = 0; Election < 4; ++Election) {
    Gap += Cell.timeUntilRunning("service", Millis{1600});
    Cell.elect();
  }
  CHECK(Cell.timeUntilRunning("service", Millis{10}) == Millis{0});
}

/// Guards against urgent tasks that wait for as long as suspects of a lower
/// priority are tried one after the other.
TEST(CellTrialHold, UrgentTasksWaitForOneHoldAndOneTrialAtMost) {
  BusyCellOptions Options;
  Options.Workers = 1;
  Options.Racks = 1;
  BusyCell Cell{Options};
  for (int Index = 0; Index < 6; ++Index) {
    Cell.start("batch" + std::to_string(Index), makeStep(1, false));
  }
  for (int Index = 0; Index < 6; ++Index) {
    Cell.crashUnder("batch" + std::to_string(Index));
  }
  Cell.run(Millis{20000});
  CHECK(Cell.timeUntilRunning("batch5", Millis{10}) == Millis{0});
  constexpr Millis PlanTime{100};
  CHECK(Cell.longestQuickWait() <= SuspectWindow * 2 + PlanTime * 2);
}

/// Guards against workers that stay closed once the suspect is gone.
TEST(CellTrialHold, AHoldEndsWithItsJob) {
  BusyCell Cell{{}};
  Cell.start("service", makeStep(1, true));
  Cell.crashUnder("service");
  Cell.run(Millis{500});
  CHECK_EQUAL(1, Cell.heldWorkers());
  Cell.cancel("service");
  Cell.run(Millis{20});
  CHECK_EQUAL(0, Cell.heldWorkers());
}

/// Guards against a start of a sound task of the same step on the worker that
/// is held for a suspect.
TEST(CellTrialHold, OnlySuspectsOfAStepUseItsHeldWorker) {
  BusyCellOptions Options;
  Options.Labels = {"gpu"};
  BusyCell Cell{Options};
  StepSpec Step = makeStep(2, false);
  Step.Label = "gpu";
  Cell.start("batch", Step);
  Cell.run(TimeToCrash);
  Cell.endTask("batch", 0, EndKind::CrashedWithOthers);
  Cell.run(MinWaitForHold + Millis{100});
  CHECK_EQUAL(1, Cell.heldWorkers());
  Cell.endTask("batch", 1, EndKind::Stopped);
  Cell.run(Millis{200});
  CHECK(JobTaskState::Waiting == Cell.stateOf("batch", 1));
  CHECK_EQUAL(1, Cell.heldWorkers());
  CHECK(Cell.timeUntilRunning("batch", MaxGap) < MaxGap);
}

/// Guards against a suspect that waits for a worker that no longer responds.
TEST(CellTrialHold, AnUnresponsiveWorkerIsGivenUp) {
  BusyCell Cell{{}};
  Cell.start("service", makeStep(1, true));
  Cell.crashUnder("service");
  Cell.run(Millis{400});
  CHECK_EQUAL(1, Cell.heldWorkers());
  const WorkerInstanceId Held =
      Cell.dispatch().TrialWaits.begin()->second.Held.begin()->first;
  Cell.silence(workerName(Cell.state(), Held), Cell.now() + Millis{20000});
  CHECK(Cell.timeUntilRunning("service", MaxGap) < MaxGap);
  CHECK_EQUAL(1, Cell.dispatch().Counters.TrialHoldsAbandoned);
}

/// Guards against holds of a cell that has workers without recent starts.
TEST(CellTrialHold, NoWorkerIsHeldIfOneHasNoRecentStart) {
  BusyCellOptions Options;
  Options.QuickInterval = Millis{2500};
  BusyCell Cell{Options};
  Cell.start("service", makeStep(1, true));
  Cell.run(Millis{1500});
  Cell.crashUnder("service");
  CHECK(Cell.timeUntilRunning("service", MaxGap) < Millis{300});
  CHECK_EQUAL(0, Cell.dispatch().Counters.TrialHolds);
}

/// Guards against an explanation that does not tell a wait that will end from
/// one without an end.
TEST(CellTrialHold, TheExplanationNamesTheHeldWorkerAndTheEndOfTheWait) {
  BusyCell Cell{{}};
  Cell.start("service", makeStep(1, true));
  Cell.crashUnder("service");
  const StepKey Step{findJob(Cell.state(), "service"), 0, 0};
  const auto Explain = [&] {
    return explainWaiting(
               makeWaitContext(Cell.dispatch(), Cell.state(), Cell.now()), Step,
               1)
        .front()
        .Why;
  };
  Cell.run(MinWaitForHold / 2);
  WaitExplanation Why = Explain();
  CHECK(WaitReason::RecentStart == Why.Reason);
  CHECK_FALSE(Why.Worker.isSet());
  STRCMP_EQUAL(" held=0", Why.Detail.c_str());
  Cell.run(MinWaitForHold);
  Why = Explain();
  CHECK(WaitReason::RecentStart == Why.Reason);
  CHECK(Why.Worker == Cell.dispatch().TrialWaits.at(Step).Held.begin()->first);
  CHECK(Why.EndsAt && *Why.EndsAt <= Cell.now() + SuspectWindow);
  STRCMP_EQUAL(" held=1", Why.Detail.c_str());
  CHECK_EQUAL(1, Cell.dispatch().Counters.TrialHolds);
}

/// Guards against a suspect that is passed over again and again: as each trial
/// in its rack ends, a less urgent suspect takes the next one.
TEST(CellTrialHold, AnUrgentSuspectIsTriedBeforeThoseThatWaitedForLonger) {
  BusyCellOptions Options;
  Options.Workers = 4;
  Options.Racks = 1;
  BusyCell Cell{Options};
  Cell.start("urgent", makeStep(1, false), "/quick/");
  for (int Index = 0; Index < 10; ++Index) {
    Cell.start("batch" + std::to_string(Index), makeStep(1, false));
  }
  Cell.run(TimeToCrash);
  for (int Index = 0; Index < 10; ++Index) {
    Cell.crashUnder("batch" + std::to_string(Index));
  }
  Cell.run(Millis{1000});
  Cell.crashUnder("urgent");
  // The hold of another suspect, its trial, and the time until the next plan.
  CHECK(Cell.timeUntilRunning("urgent", MaxGap) <=
        MinWaitForHold + SuspectWindow * 2 + Millis{100});
}
