#include "mulberryramp/system/admission.hpp"
#include "mulberryramp/system/failures.hpp"
#include "mulberryramp/system/placement.hpp"
#include "mulberryramp/system/preemption.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

/// @brief Ledger, rules and worker runtime of one data centre.
struct PlacementFixture {
  Ledger State;
  Rules ActiveRules;
  CentreRuntime Runtime;
  Instant Now{Millis{100000}};
  WallTime WallNow{Millis{1'000'000'000}};

  PlacementFixture() {
    ActiveRules = *parseRules(
        "r", "class name=urgent priority=100 preempts=yes # asked by A\n"
             "class name=low priority=1 ages-every-ms=1000 # asked by A\n");
  }

  DecisionInput input() const { return {State, ActiveRules, Now, WallNow}; }

  /// @brief Announces a worker that is confirmed and holds a lease.
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

  PlacementRun runPlacement() { return place(input(), Runtime, {}); }

  /// @brief Runs the placement, applies it to the ledger and fails the test for
  /// each violated invariant.
  PlacementRun placeAndApply() {
    PlacementRun Run = this->runPlacement();
    apply(State, AssignCommand{Run.Placements, WallNow});
    for (const std::string &Violation : checkLedger(State)) {
      FAIL(Violation.c_str());
    }
    return Run;
  }

  /// @brief Returns the name of the worker of a task, or "" if the task has
  /// none.
  std::string assignedWorkerName(RequestId Id, std::size_t Index = 0) const {
    const Worker *Row = State.Workers.find(
        State.Tasks[State.Requests[Id].Tasks[Index]].AssignedWorker);
    return Row == nullptr ? "" : Row->Name;
  }
};

constexpr Resources SmallTask{1000, 1000, 0, 1, 0};
constexpr Resources WorkerCapacity{8000, 8000, 0, 8, 8};

} // namespace

TEST_GROUP(SystemPlacement) { PlacementFixture Fixture; };

TEST(SystemPlacement, ChoosesTheWorkerWithTheBestFit) {
  Fixture.addWorker("large", "r", {16000, 16000, 0, 8, 8});
  Fixture.addWorker("small", "r", {2000, 2000, 0, 8, 8});
  const auto Id = Fixture.submit("k", SmallTask);
  Fixture.placeAndApply();
  STRCMP_EQUAL("small", Fixture.assignedWorkerName(Id).c_str());
}

TEST(SystemPlacement, IneligibleWorkersGetNoTasks) {
  const auto Draining = Fixture.addWorker("leaving", "r", WorkerCapacity);
  apply(Fixture.State, SetWorkerDrainingCommand{"leaving", 1, true});
  Fixture.Runtime.Workers[Fixture.addWorker("silent", "r", WorkerCapacity)]
      .LeaseEnd = Fixture.Now;
  Fixture.Runtime.Workers[Fixture.addWorker("unconfirmed", "r", WorkerCapacity)]
      .IsConfirmed = false;
  Fixture.Runtime.Workers[Fixture.addWorker("orphans", "r", WorkerCapacity)]
      .HasOrphans = true;
  Fixture.addWorker("drained", "r", WorkerCapacity);
  Fixture.ActiveRules.Drains.push_back({DrainScope::Worker, "drained"});
  Fixture.submit("k", SmallTask);
  CHECK(Fixture.State.Workers[Draining].IsDraining);
  CHECK(Fixture.runPlacement().Placements.empty());
}

TEST(SystemPlacement, GangIsPlacedAsAWholeOrNotAtAll) {
  Fixture.addWorker("w1", "r", {2000, 8000, 0, 8, 8});
  const auto Id =
      Fixture.submit("gang", SmallTask, "normal", WorkKind::Gang, 3);
  Fixture.placeAndApply();
  CHECK(Fixture.assignedWorkerName(Id).empty());
  Fixture.addWorker("w2", "r", {2000, 8000, 0, 8, 8});
  Fixture.placeAndApply();
  CHECK_FALSE(Fixture.assignedWorkerName(Id, 2).empty());
}

/// Small tasks that arrive all the time would use each worker that becomes free
/// if workers were not reserved for the gang.
TEST(SystemPlacement, GangIsNotStarvedByAStreamOfSmallTasks) {
  Fixture.addWorker("w1", "r", WorkerCapacity);
  Fixture.addWorker("w2", "r", WorkerCapacity);
  for (int Index = 0; Index < 16; ++Index) {
    Fixture.submit("first" + std::to_string(Index), SmallTask);
  }
  Fixture.placeAndApply();
  const auto Gang = Fixture.submit("gang", {8000, 8000, 0, 1, 0}, "normal",
                                   WorkKind::Gang, 2);
  bool IsPlaced = false;
  for (int Round = 0; Round < 40 && !IsPlaced; ++Round) {
    Fixture.Now += Millis{500};
    Fixture.WallNow += Millis{500};
    Fixture.submit("stream" + std::to_string(Round), SmallTask);
    Fixture.submit("stream'" + std::to_string(Round), SmallTask);
    for (const WorkerId Id : Fixture.State.Workers.ids()) {
      const Worker &Row = Fixture.State.Workers[Id];
      if (!Row.Tasks.empty()) {
        const AttemptId Attempt =
            Fixture.State.Tasks[Row.Tasks.front()].Attempt;
        apply(Fixture.State,
              EndAttemptsCommand{{{Attempt, AttemptEnd::Done, "", ""}},
                                 Fixture.WallNow});
      }
    }
    Fixture.placeAndApply();
    IsPlaced = !Fixture.assignedWorkerName(Gang).empty();
  }
  CHECK(IsPlaced);
}

/// A request may get a later start time while workers are reserved for it, for
/// instance after a failed attempt. The workers must not stay idle until then.
TEST(SystemPlacement, ReservationIsReleasedWhenItsRequestIsNotDue) {
  Fixture.addWorker("w1", "r", WorkerCapacity);
  const auto Large = Fixture.submit("large", {8000, 8000, 0, 1, 0});
  const auto First = Fixture.submit("first", SmallTask);
  apply(Fixture.State, AssignCommand{{{First,
                                       {{Fixture.State.Requests[First].Tasks[0],
                                         findWorker(Fixture.State, "w1")}}}},
                                     Fixture.WallNow});
  Fixture.WallNow += Millis{10000};
  Fixture.placeAndApply();
  CHECK_EQUAL(1U, Fixture.Runtime.ReservedWorkers.size());
  Fixture.State.Tasks[Fixture.State.Requests[Large].Tasks[0]].NotBefore =
      Fixture.WallNow + Millis{60000};
  Fixture.placeAndApply();
  CHECK_EQUAL(0U, Fixture.Runtime.ReservedWorkers.size());
  const auto Next = Fixture.submit("next", SmallTask);
  Fixture.placeAndApply();
  STRCMP_EQUAL("w1", Fixture.assignedWorkerName(Next).c_str());
}

/// A gang cannot start without all of its workers. When one is quarantined, the
/// other must become available to other requests.
TEST(SystemPlacement, GangReservationsEndTogetherIfOneWorkerIsUnavailable) {
  Fixture.addWorker("w1", "r", WorkerCapacity);
  const auto Unavailable = Fixture.addWorker("w2", "r", WorkerCapacity);
  for (const char *Name : {"w1", "w2"}) {
    const auto Id = Fixture.submit(std::string{"on "} + Name, SmallTask);
    apply(Fixture.State, AssignCommand{{{Id,
                                         {{Fixture.State.Requests[Id].Tasks[0],
                                           findWorker(Fixture.State, Name)}}}},
                                       Fixture.WallNow});
  }
  Fixture.submit("gang", {8000, 8000, 0, 1, 0}, "normal", WorkKind::Gang, 2);
  Fixture.WallNow += Millis{10000};
  Fixture.placeAndApply();
  CHECK_EQUAL(2U, Fixture.Runtime.ReservedWorkers.size());
  Fixture.Runtime.Workers[Unavailable].QuarantineEnd =
      Fixture.Now + Millis{60000};
  const auto Next = Fixture.submit("next", SmallTask);
  Fixture.placeAndApply();
  STRCMP_EQUAL("w1", Fixture.assignedWorkerName(Next).c_str());
}

TEST(SystemPlacement, TwoGangsDoNotBlockEachOther) {
  Fixture.addWorker("w1", "r", WorkerCapacity);
  Fixture.addWorker("w2", "r", WorkerCapacity);
  const auto First =
      Fixture.submit("a", {8000, 1000, 0, 1, 0}, "normal", WorkKind::Gang, 2);
  const auto Second =
      Fixture.submit("b", {8000, 1000, 0, 1, 0}, "normal", WorkKind::Gang, 2);
  Fixture.placeAndApply();
  CHECK(Fixture.assignedWorkerName(First).empty() !=
        Fixture.assignedWorkerName(Second).empty());
}

TEST(SystemPlacement, ServiceTasksAreSpreadOverRacks) {
  Fixture.addWorker("a1", "a", WorkerCapacity);
  Fixture.addWorker("a2", "a", WorkerCapacity);
  Fixture.addWorker("b1", "b", WorkerCapacity);
  Fixture.ActiveRules.Spreads.push_back({WorkKind::Service, 1});
  const auto Id =
      Fixture.submit("s", SmallTask, "normal", WorkKind::Service, 3);
  Fixture.placeAndApply();
  std::size_t Placed = 0;
  for (std::size_t Index = 0; Index < 3; ++Index) {
    Placed += Fixture.assignedWorkerName(Id, Index).empty() ? 0 : 1;
  }
  CHECK_EQUAL(2U, Placed);
}

TEST(SystemPlacement, QuotaLimitsTheResourcesOfATeam) {
  Fixture.addWorker("w", "r", WorkerCapacity);
  Fixture.ActiveRules.Quotas.push_back({"t", {2000, 8000, 0, 8, 8}, 1});
  for (int Index = 0; Index < 5; ++Index) {
    Fixture.submit("k" + std::to_string(Index), SmallTask);
  }
  Fixture.placeAndApply();
  CHECK_EQUAL(2000, Fixture.State.AssignedByTeam["t"].MilliCpus);
}

TEST(SystemPlacement, FloodOfOneTeamDoesNotBlockAnother) {
  Fixture.addWorker("w", "r", {4000, 8000, 0, 8, 8});
  for (int Index = 0; Index < 100; ++Index) {
    Fixture.submit("flood" + std::to_string(Index), SmallTask, "normal",
                   WorkKind::Batch, 1, "loud");
  }
  Fixture.WallNow += Millis{10};
  const auto Quiet =
      Fixture.submit("quiet", SmallTask, "normal", WorkKind::Batch, 1, "quiet");
  Fixture.placeAndApply();
  CHECK_FALSE(Fixture.assignedWorkerName(Quiet).empty());
}

TEST(SystemPlacement, AgingRaisesThePriorityOfWaitingRequests) {
  Fixture.addWorker("w", "r", {1000, 8000, 0, 8, 8});
  const auto Low = Fixture.submit("low", SmallTask, "low");
  Fixture.WallNow += Millis{60000};
  const auto Normal = Fixture.submit("normal", SmallTask);
  Fixture.placeAndApply();
  CHECK_FALSE(Fixture.assignedWorkerName(Low).empty());
  CHECK(Fixture.assignedWorkerName(Normal).empty());
}

TEST(SystemPlacement, UrgentRequestPreemptsTheTaskThatLosesLeastWork) {
  Fixture.addWorker("w1", "r", {1000, 8000, 0, 8, 8});
  Fixture.addWorker("w2", "r", {1000, 8000, 0, 8, 8});
  const auto OldRequest = Fixture.submit("old", SmallTask);
  Fixture.placeAndApply();
  Fixture.WallNow += Millis{60000};
  const auto YoungRequest = Fixture.submit("young", SmallTask);
  Fixture.placeAndApply();
  Fixture.submit("urgent", SmallTask, "urgent");
  const PlacementRun Run = Fixture.runPlacement();
  preempt(Fixture.input(), Fixture.Runtime, Run.Blocked);
  CHECK_EQUAL(1U, Fixture.Runtime.Preempted.size());
  const TaskId OldTask = Fixture.State.Requests[OldRequest].Tasks[0];
  const TaskId YoungTask = Fixture.State.Requests[YoungRequest].Tasks[0];
  CHECK_FALSE(
      Fixture.Runtime.Preempted.contains(Fixture.State.Tasks[OldTask].Attempt));
  CHECK(Fixture.Runtime.Preempted.contains(
      Fixture.State.Tasks[YoungTask].Attempt));
}

TEST(SystemPlacement, NonIdempotentTaskIsNeverPreempted) {
  Fixture.addWorker("w", "r", {1000, 8000, 0, 8, 8});
  const auto Bill = Fixture.submit("bill", SmallTask);
  Fixture.State.Requests[Bill].Spec.IsIdempotent = false;
  Fixture.placeAndApply();
  Fixture.submit("urgent", SmallTask, "urgent");
  preempt(Fixture.input(), Fixture.Runtime, Fixture.runPlacement().Blocked);
  CHECK(Fixture.Runtime.Preempted.empty());
}

/// Every attempt on every worker fails. The quarantine must not take all
/// workers out of service.
TEST(SystemPlacement, QuarantineIsLimitedToAQuarterOfTheWorkers) {
  for (int Index = 0; Index < 8; ++Index) {
    Fixture.addWorker("w" + std::to_string(Index), "r", WorkerCapacity);
  }
  for (int Round = 0; Round < 40; ++Round) {
    const auto Id = Fixture.submit("k" + std::to_string(Round), SmallTask);
    Fixture.placeAndApply();
    const AttemptId Attempt =
        Fixture.State.Tasks[Fixture.State.Requests[Id].Tasks[0]].Attempt;
    const AttemptResult Result{Attempt, AttemptEnd::Failed, "", "x"};
    recordAttemptEnd(Fixture.input(), Fixture.Runtime, Result);
    apply(Fixture.State, EndAttemptsCommand{{Result}, Fixture.WallNow});
    apply(Fixture.State,
          CancelCommand{"c", "k" + std::to_string(Round), Fixture.WallNow});
  }
  std::size_t Quarantined = 0;
  for (const auto &[Id, WorkerStatus] : Fixture.Runtime.Workers) {
    Quarantined += WorkerStatus.QuarantineEnd > Fixture.Now ? 1 : 0;
  }
  CHECK_EQUAL(2U, Quarantined);
}

/// A request that fails on every worker is itself at fault.
TEST(SystemPlacement, FailuresOfOneRequestPutNoWorkerOnProbation) {
  for (int Index = 0; Index < 4; ++Index) {
    Fixture.addWorker("w" + std::to_string(Index), "r", WorkerCapacity);
  }
  for (const WorkerId Target : Fixture.State.Workers.ids()) {
    const auto Id = Fixture.submit("bad", SmallTask);
    const TaskId FailedTask = Fixture.State.Requests[Id].Tasks[0];
    Fixture.State.Tasks[FailedTask].NotBefore = {};
    apply(Fixture.State,
          AssignCommand{{{Id, {{FailedTask, Target}}}}, Fixture.WallNow});
    const AttemptResult Result{Fixture.State.Tasks[FailedTask].Attempt,
                               AttemptEnd::Failed, "", "x"};
    recordAttemptEnd(Fixture.input(), Fixture.Runtime, Result);
    apply(Fixture.State, EndAttemptsCommand{{Result}, Fixture.WallNow});
  }
  for (const auto &[Id, WorkerStatus] : Fixture.Runtime.Workers) {
    CHECK_FALSE(WorkerStatus.IsOnProbation);
  }
}

/// Retries of many failing requests must not use up the capacity for new ones.
TEST(SystemPlacement, ExhaustedRetryBudgetBlocksRetries) {
  Fixture.addWorker("w", "r", WorkerCapacity);
  const auto Id = Fixture.submit("k", SmallTask);
  Fixture.State.Tasks[Fixture.State.Requests[Id].Tasks[0]].Attempts = 1;
  Fixture.Runtime.RetryCount = 1000;
  CHECK(Fixture.runPlacement().Placements.empty());
  Fixture.Runtime.RetryCount = 0;
  CHECK_EQUAL(1U, Fixture.runPlacement().Placements.size());
}

TEST(SystemPlacement, AdmissionErrorsNameTheirReason) {
  Fixture.ActiveRules.Quotas.push_back({"t", {2000, 8000, 0, 8, 8}, 1});
  Fixture.ActiveRules.Limits.push_back({"t", 0});
  RequestSpec Spec;
  Spec.Team = "t";
  Spec.ClassName = "nothing";
  Spec.Need = SmallTask;
  CHECK(admissionError(Fixture.input(), Fixture.Runtime, Spec)
            ->find("no rule for class") == 0);
  Spec.ClassName = "normal";
  CHECK(admissionError(Fixture.input(), Fixture.Runtime, Spec)
            ->find("the queue") == 0);
  Spec.Need.MilliCpus = 3000;
  CHECK(admissionError(Fixture.input(), Fixture.Runtime, Spec)
            ->find("can never run") == 0);
  Spec.Team = "other";
  CHECK(admissionError(Fixture.input(), Fixture.Runtime, Spec)
            ->find("team other has no quota") == 0);
}
