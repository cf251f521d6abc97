#include "mulberryramp/system/admission.hpp"
#include "mulberryramp/system/failures.hpp"
#include "mulberryramp/system/placement.hpp"
#include "mulberryramp/system/preemption.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

struct Centre {
  Ledger State;
  Rules ActiveRules;
  CentreRuntime Runtime;
  Instant Now{Millis{100000}};
  WallTime WallNow{Millis{1'000'000'000}};

  Centre() {
    ActiveRules = *parseRules(
        "r", "class name=urgent priority=100 preempts=yes # asked by A\n"
             "class name=low priority=1 ages-every-ms=1000 # asked by A\n");
  }

  DecisionInput input() const { return {State, ActiveRules, Now, WallNow}; }

  WorkerId addWorker(const std::string &Name, const std::string &Rack,
                     Resources Capacity) {
    apply(State, AnnounceCommand{Name, 1, Rack, Capacity});
    const WorkerId Id = findWorker(State, Name);
    Runtime.Workers[Id].IsConfirmed = true;
    Runtime.Workers[Id].LeaseEnd = Now + Millis{60000};
    return Id;
  }

  RequestId submit(const std::string &Key, Resources Need,
                   const std::string &Class = "normal",
                   WorkKind Kind = WorkKind::Batch, std::uint32_t Count = 1,
                   const std::string &Team = "t") {
    RequestSpec Spec;
    Spec.Customer = "c";
    Spec.Team = Team;
    Spec.Key = Key;
    Spec.ClassName = Class;
    Spec.Kind = Kind;
    Spec.TaskCount = Count;
    Spec.Need = Need;
    applyRules(ActiveRules, Spec, WallNow);
    return apply(State, AcceptCommand{Spec, digestOf(Spec), "", WallNow})
        .Accepted;
  }

  PlacementRun run() { return place(input(), Runtime, {}); }

  PlacementRun runAndApply() {
    PlacementRun Run = this->run();
    apply(State, AssignCommand{Run.Placements, WallNow});
    for (const std::string &Text : checkLedger(State)) {
      FAIL(Text.c_str());
    }
    return Run;
  }

  std::string placeOf(RequestId Id, std::size_t Index = 0) const {
    const Worker *Row = State.Workers.find(
        State.Tasks[State.Requests[Id].Tasks[Index]].AssignedWorker);
    return Row == nullptr ? "" : Row->Name;
  }
};

constexpr Resources Small{1000, 1000, 0, 1, 0};
constexpr Resources Machine{8000, 8000, 0, 8, 8};

} // namespace

TEST_GROUP(SystemPlacement) { Centre It; };

TEST(SystemPlacement, ChoosesTheWorkerThatIsFilledBest) {
  It.addWorker("large", "r", {16000, 16000, 0, 8, 8});
  It.addWorker("small", "r", {2000, 2000, 0, 8, 8});
  const auto Id = It.submit("k", Small);
  It.runAndApply();
  STRCMP_EQUAL("small", It.placeOf(Id).c_str());
}

TEST(SystemPlacement, GivesNoWorkToWorkersThatMustNotGetAny) {
  const auto Leaving = It.addWorker("leaving", "r", Machine);
  apply(It.State, SetWorkerDrainingCommand{"leaving", 1, true});
  It.Runtime.Workers[It.addWorker("silent", "r", Machine)].LeaseEnd = It.Now;
  It.Runtime.Workers[It.addWorker("unconfirmed", "r", Machine)].IsConfirmed =
      false;
  It.Runtime.Workers[It.addWorker("orphans", "r", Machine)].HasOrphans = true;
  It.addWorker("drained", "r", Machine);
  It.ActiveRules.Drains.push_back({DrainScope::Worker, "drained"});
  It.submit("k", Small);
  CHECK(It.State.Workers[Leaving].IsDraining);
  CHECK(It.run().Placements.empty());
}

TEST(SystemPlacement, GangIsPlacedWholeOrNotAtAll) {
  It.addWorker("w1", "r", {2000, 8000, 0, 8, 8});
  const auto Id = It.submit("gang", Small, "normal", WorkKind::Gang, 3);
  It.runAndApply();
  CHECK(It.placeOf(Id).empty());
  It.addWorker("w2", "r", {2000, 8000, 0, 8, 8});
  It.runAndApply();
  CHECK_FALSE(It.placeOf(Id, 2).empty());
}

TEST(SystemPlacement, GangIsNotStarvedByAStreamOfSmallTasks) {
  It.addWorker("w1", "r", Machine);
  It.addWorker("w2", "r", Machine);
  for (int Index = 0; Index < 16; ++Index) {
    It.submit("first" + std::to_string(Index), Small);
  }
  It.runAndApply();
  const auto Gang =
      It.submit("gang", {8000, 8000, 0, 1, 0}, "normal", WorkKind::Gang, 2);
  bool IsPlaced = false;
  for (int Round = 0; Round < 40 && !IsPlaced; ++Round) {
    It.Now += Millis{500};
    It.WallNow += Millis{500};
    It.submit("stream" + std::to_string(Round), Small);
    It.submit("stream'" + std::to_string(Round), Small);
    for (const WorkerId Id : It.State.Workers.ids()) {
      const Worker &Row = It.State.Workers[Id];
      if (!Row.Tasks.empty()) {
        const AttemptId Attempt = It.State.Tasks[Row.Tasks.front()].Attempt;
        apply(It.State, EndAttemptsCommand{
                            {{Attempt, AttemptEnd::Done, "", ""}}, It.WallNow});
      }
    }
    It.runAndApply();
    IsPlaced = !It.placeOf(Gang).empty();
  }
  CHECK(IsPlaced);
}

TEST(SystemPlacement, WorkersAreHeldNoLongerThanTheirRequestIsDue) {
  It.addWorker("w1", "r", Machine);
  const auto Large = It.submit("large", {8000, 8000, 0, 1, 0});
  const auto First = It.submit("first", Small);
  apply(It.State, AssignCommand{{{First,
                                  {{It.State.Requests[First].Tasks[0],
                                    findWorker(It.State, "w1")}}}},
                                It.WallNow});
  It.WallNow += Millis{10000};
  It.runAndApply();
  CHECK_EQUAL(1U, It.Runtime.ReservedWorkers.size());
  It.State.Tasks[It.State.Requests[Large].Tasks[0]].NotBefore =
      It.WallNow + Millis{60000};
  It.runAndApply();
  CHECK_EQUAL(0U, It.Runtime.ReservedWorkers.size());
  const auto Next = It.submit("next", Small);
  It.runAndApply();
  STRCMP_EQUAL("w1", It.placeOf(Next).c_str());
}

TEST(SystemPlacement, HoldsEndTogetherWhenOneHeldWorkerIsLost) {
  It.addWorker("w1", "r", Machine);
  const auto Lost = It.addWorker("w2", "r", Machine);
  for (const char *Name : {"w1", "w2"}) {
    const auto Id = It.submit(std::string{"on "} + Name, Small);
    apply(It.State, AssignCommand{{{Id,
                                    {{It.State.Requests[Id].Tasks[0],
                                      findWorker(It.State, Name)}}}},
                                  It.WallNow});
  }
  It.submit("gang", {8000, 8000, 0, 1, 0}, "normal", WorkKind::Gang, 2);
  It.WallNow += Millis{10000};
  It.runAndApply();
  CHECK_EQUAL(2U, It.Runtime.ReservedWorkers.size());
  It.Runtime.Workers[Lost].QuarantineEnd = It.Now + Millis{60000};
  const auto Next = It.submit("next", Small);
  It.runAndApply();
  STRCMP_EQUAL("w1", It.placeOf(Next).c_str());
}

TEST(SystemPlacement, TwoGangsDoNotBlockEachOther) {
  It.addWorker("w1", "r", Machine);
  It.addWorker("w2", "r", Machine);
  const auto First =
      It.submit("a", {8000, 1000, 0, 1, 0}, "normal", WorkKind::Gang, 2);
  const auto Second =
      It.submit("b", {8000, 1000, 0, 1, 0}, "normal", WorkKind::Gang, 2);
  It.runAndApply();
  CHECK(It.placeOf(First).empty() != It.placeOf(Second).empty());
}

TEST(SystemPlacement, ServiceTasksAreSpreadOverRacks) {
  It.addWorker("a1", "a", Machine);
  It.addWorker("a2", "a", Machine);
  It.addWorker("b1", "b", Machine);
  It.ActiveRules.Spreads.push_back({WorkKind::Service, 1});
  const auto Id = It.submit("s", Small, "normal", WorkKind::Service, 3);
  It.runAndApply();
  std::size_t Placed = 0;
  for (std::size_t Index = 0; Index < 3; ++Index) {
    Placed += It.placeOf(Id, Index).empty() ? 0 : 1;
  }
  CHECK_EQUAL(2U, Placed);
}

TEST(SystemPlacement, QuotaBoundsWhatATeamHolds) {
  It.addWorker("w", "r", Machine);
  It.ActiveRules.Quotas.push_back({"t", {2000, 8000, 0, 8, 8}, 1});
  for (int Index = 0; Index < 5; ++Index) {
    It.submit("k" + std::to_string(Index), Small);
  }
  It.runAndApply();
  CHECK_EQUAL(2000, It.State.GrantedByTeam["t"].MilliCpus);
}

TEST(SystemPlacement, FloodOfOneTeamLeavesRoomForAnother) {
  It.addWorker("w", "r", {4000, 8000, 0, 8, 8});
  for (int Index = 0; Index < 100; ++Index) {
    It.submit("flood" + std::to_string(Index), Small, "normal", WorkKind::Batch,
              1, "loud");
  }
  It.WallNow += Millis{10};
  const auto Quiet =
      It.submit("quiet", Small, "normal", WorkKind::Batch, 1, "quiet");
  It.runAndApply();
  CHECK_FALSE(It.placeOf(Quiet).empty());
}

TEST(SystemPlacement, WaitingRaisesThePriorityOfLowWork) {
  It.addWorker("w", "r", {1000, 8000, 0, 8, 8});
  const auto Low = It.submit("low", Small, "low");
  It.WallNow += Millis{60000};
  const auto Normal = It.submit("normal", Small);
  It.runAndApply();
  CHECK_FALSE(It.placeOf(Low).empty());
  CHECK(It.placeOf(Normal).empty());
}

TEST(SystemPlacement, UrgentWorkPushesOutTheLeastLoss) {
  It.addWorker("w1", "r", {1000, 8000, 0, 8, 8});
  It.addWorker("w2", "r", {1000, 8000, 0, 8, 8});
  const auto Old = It.submit("old", Small);
  It.runAndApply();
  It.WallNow += Millis{60000};
  const auto Young = It.submit("young", Small);
  It.runAndApply();
  It.submit("urgent", Small, "urgent");
  const PlacementRun Run = It.run();
  preempt(It.input(), It.Runtime, Run.Blocked);
  CHECK_EQUAL(1U, It.Runtime.Preempted.size());
  const TaskId Spared = It.State.Requests[Old].Tasks[0];
  const TaskId Victim = It.State.Requests[Young].Tasks[0];
  CHECK_FALSE(It.Runtime.Preempted.contains(It.State.Tasks[Spared].Attempt));
  CHECK(It.Runtime.Preempted.contains(It.State.Tasks[Victim].Attempt));
}

TEST(SystemPlacement, NonIdempotentWorkIsNeverPushedOut) {
  It.addWorker("w", "r", {1000, 8000, 0, 8, 8});
  const auto Bill = It.submit("bill", Small);
  It.State.Requests[Bill].Spec.IsIdempotent = false;
  It.runAndApply();
  It.submit("urgent", Small, "urgent");
  preempt(It.input(), It.Runtime, It.run().Blocked);
  CHECK(It.Runtime.Preempted.empty());
}

TEST(SystemPlacement, WorkerThatFailsEverythingIsQuarantinedButNotAll) {
  for (int Index = 0; Index < 8; ++Index) {
    It.addWorker("w" + std::to_string(Index), "r", Machine);
  }
  for (int Round = 0; Round < 40; ++Round) {
    const auto Id = It.submit("k" + std::to_string(Round), Small);
    It.runAndApply();
    const AttemptId Attempt =
        It.State.Tasks[It.State.Requests[Id].Tasks[0]].Attempt;
    const AttemptResult End{Attempt, AttemptEnd::Failed, "", "x"};
    recordAttemptEnd(It.input(), It.Runtime, End);
    apply(It.State, EndAttemptsCommand{{End}, It.WallNow});
    apply(It.State,
          CancelCommand{"c", "k" + std::to_string(Round), It.WallNow});
  }
  std::size_t Quarantined = 0;
  for (const auto &[Id, Seen] : It.Runtime.Workers) {
    Quarantined += Seen.QuarantineEnd > It.Now ? 1 : 0;
  }
  CHECK_EQUAL(2U, Quarantined);
}

TEST(SystemPlacement, BadJobDoesNotPutWorkersInQuarantine) {
  for (int Index = 0; Index < 4; ++Index) {
    It.addWorker("w" + std::to_string(Index), "r", Machine);
  }
  for (const WorkerId Place : It.State.Workers.ids()) {
    const auto Id = It.submit("bad", Small);
    const TaskId Item = It.State.Requests[Id].Tasks[0];
    It.State.Tasks[Item].NotBefore = {};
    apply(It.State, AssignCommand{{{Id, {{Item, Place}}}}, It.WallNow});
    const AttemptResult End{It.State.Tasks[Item].Attempt, AttemptEnd::Failed,
                            "", "x"};
    recordAttemptEnd(It.input(), It.Runtime, End);
    apply(It.State, EndAttemptsCommand{{End}, It.WallNow});
  }
  for (const auto &[Id, Seen] : It.Runtime.Workers) {
    CHECK_FALSE(Seen.IsOnProbation);
  }
}

TEST(SystemPlacement, SpentRetryBudgetHoldsRetriesBack) {
  It.addWorker("w", "r", Machine);
  const auto Id = It.submit("k", Small);
  It.State.Tasks[It.State.Requests[Id].Tasks[0]].Attempts = 1;
  It.Runtime.RetryCount = 1000;
  CHECK(It.run().Placements.empty());
  It.Runtime.RetryCount = 0;
  CHECK_EQUAL(1U, It.run().Placements.size());
}

TEST(SystemPlacement, RefusalsSayWhy) {
  It.ActiveRules.Quotas.push_back({"t", {2000, 8000, 0, 8, 8}, 1});
  It.ActiveRules.Limits.push_back({"t", 0});
  RequestSpec Spec;
  Spec.Team = "t";
  Spec.ClassName = "nothing";
  Spec.Need = Small;
  CHECK(
      admissionError(It.input(), It.Runtime, Spec)->find("no rule for class") ==
      0);
  Spec.ClassName = "normal";
  CHECK(admissionError(It.input(), It.Runtime, Spec)->find("the queue") == 0);
  Spec.Need.MilliCpus = 3000;
  CHECK(admissionError(It.input(), It.Runtime, Spec)->find("can never run") ==
        0);
  Spec.Team = "other";
  CHECK(admissionError(It.input(), It.Runtime, Spec)
            ->find("team other has no quota") == 0);
}
