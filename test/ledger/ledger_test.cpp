#include "mulberryramp/ledger/ledger.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

constexpr WallTime StartTime{Millis{1'000'000'000}};

/// @brief A ledger with two equal workers on two racks.
struct LedgerFixture {
  Ledger State;
  WallTime WallNow = StartTime;

  LedgerFixture() {
    apply(State, AnnounceCommand{"w1", 1, "r1", {8000, 8000, 0, 8, 8}});
    apply(State, AnnounceCommand{"w2", 1, "r2", {8000, 8000, 0, 8, 8}});
  }

  RequestSpec spec(const std::string &Key) const {
    RequestSpec Spec;
    Spec.Customer = "c";
    Spec.Team = "t";
    Spec.Key = Key;
    Spec.Need = {1000, 1000, 0, 1, 0};
    Spec.IssuedAt = WallNow;
    Spec.MaxAttempts = 3;
    return Spec;
  }

  RequestId accept(const RequestSpec &Spec) {
    return apply(State, AcceptCommand{Spec, digestOf(Spec), "", WallNow})
        .Accepted;
  }

  WorkerId worker(const std::string &Name) const {
    return findWorker(State, Name);
  }

  /// @brief Assigns all queued tasks of a request to one worker.
  void assign(RequestId Owner, const std::string &Name) {
    Placement NewPlacement{Owner, {}};
    for (const TaskId Id : State.Requests[Owner].Tasks) {
      if (State.Tasks[Id].State == TaskState::Queued) {
        NewPlacement.Tasks.push_back({Id, worker(Name)});
      }
    }
    apply(State, AssignCommand{{NewPlacement}, WallNow});
  }

  Task &task(RequestId Owner, std::size_t Index = 0) {
    return State.Tasks[State.Requests[Owner].Tasks[Index]];
  }

  /// @brief Ends the current attempt of a task.
  void end(RequestId Owner, AttemptEnd End, std::size_t Index = 0) {
    apply(State, EndAttemptsCommand{
                     {{task(Owner, Index).Attempt, End, "answer", "reason"}},
                     WallNow});
  }

  Outcome outcome(RequestId Owner) const {
    return State.Requests[Owner].Result;
  }

  /// @brief Fails the test for each violated invariant of the ledger.
  void checkInvariants() const {
    for (const std::string &Violation : checkLedger(State)) {
      FAIL(Violation.c_str());
    }
  }
};

} // namespace

TEST_GROUP(LedgerApply) { LedgerFixture Fixture; };

TEST(LedgerApply, DoneAttemptFinishesTheRequestAndKeepsItsAnswer) {
  const auto Id = Fixture.accept(Fixture.spec("k"));
  Fixture.assign(Id, "w1");
  Fixture.end(Id, AttemptEnd::Done);
  CHECK(Fixture.outcome(Id) == Outcome::Done);
  STRCMP_EQUAL("answer", Fixture.task(Id).Answer.c_str());
  CHECK(Fixture.State.Workers[Fixture.worker("w1")].AssignedResources ==
        Resources{});
  Fixture.checkInvariants();
}

/// A placement is planned on a state that may have changed before the command
/// is applied.
TEST(LedgerApply, AssignmentThatNoLongerFitsIsSkipped) {
  RequestSpec Spec = Fixture.spec("big");
  Spec.TaskCount = 9;
  const auto Id = Fixture.accept(Spec);
  Fixture.assign(Id, "w1");
  CHECK(Fixture.task(Id).State == TaskState::Queued);
  Fixture.checkInvariants();
}

TEST(LedgerApply, ResendReturnsTheSameRequestAndOtherContentConflicts) {
  const auto Id = Fixture.accept(Fixture.spec("k"));
  RequestSpec Spec = Fixture.spec("k");
  const auto Resent = apply(
      Fixture.State, AcceptCommand{Spec, digestOf(Spec), "", Fixture.WallNow});
  CHECK(Resent.Accept == AcceptVerdict::Resend);
  CHECK(Resent.Accepted == Id);
  Spec.Payload = "other";
  CHECK(apply(Fixture.State,
              AcceptCommand{Spec, digestOf(Spec), "", Fixture.WallNow})
            .Accept == AcceptVerdict::Conflict);
}

TEST(LedgerApply, CancelBeforeAssignmentEndsAsNotRun) {
  const auto Id = Fixture.accept(Fixture.spec("k"));
  apply(Fixture.State, CancelCommand{"c", "k", Fixture.WallNow});
  Fixture.assign(Id, "w1");
  CHECK(Fixture.outcome(Id) == Outcome::NotRun);
  CHECK(Fixture.task(Id).Attempt == 0);
}

TEST(LedgerApply, CancelAfterAssignmentWaitsForTheWorker) {
  const auto Id = Fixture.accept(Fixture.spec("k"));
  Fixture.assign(Id, "w1");
  apply(Fixture.State, CancelCommand{"c", "k", Fixture.WallNow});
  CHECK(Fixture.outcome(Id) == Outcome::Pending);
  Fixture.end(Id, AttemptEnd::Refused);
  CHECK(Fixture.outcome(Id) == Outcome::NotRun);
}

TEST(LedgerApply, CancelAfterAFailedAttemptIsNeverNotRun) {
  const auto Id = Fixture.accept(Fixture.spec("k"));
  Fixture.assign(Id, "w1");
  Fixture.end(Id, AttemptEnd::Failed);
  apply(Fixture.State, CancelCommand{"c", "k", Fixture.WallNow});
  CHECK(Fixture.outcome(Id) == Outcome::Failed);
}

TEST(LedgerApply, CancelAfterDoneKeepsTheOutcome) {
  const auto Id = Fixture.accept(Fixture.spec("k"));
  Fixture.assign(Id, "w1");
  Fixture.end(Id, AttemptEnd::Done);
  apply(Fixture.State, CancelCommand{"c", "k", Fixture.WallNow});
  CHECK(Fixture.outcome(Id) == Outcome::Done);
}

TEST(LedgerApply, LostNonIdempotentTaskIsUnknownAndNeverRequeued) {
  RequestSpec Spec = Fixture.spec("bill");
  Spec.IsIdempotent = false;
  Spec.MaxAttempts = 1;
  const auto Id = Fixture.accept(Spec);
  Fixture.assign(Id, "w1");
  const AttemptId Attempt = Fixture.task(Id).Attempt;
  apply(Fixture.State, RemoveWorkerCommand{"w1", 1, false, Fixture.WallNow});
  CHECK(Fixture.outcome(Id) == Outcome::Unknown);
  apply(Fixture.State,
        EndAttemptsCommand{{{Attempt, AttemptEnd::Done, "late", ""}},
                           Fixture.WallNow});
  CHECK(Fixture.outcome(Id) == Outcome::Done);
  STRCMP_EQUAL("late", Fixture.task(Id).Answer.c_str());
}

/// The first attempt was lost and may have run. The refusal of the second one
/// proves nothing about it.
TEST(LedgerApply, LateRefusalAfterAnEarlierLostAttemptIsNeverNotRun) {
  const auto Id = Fixture.accept(Fixture.spec("k"));
  Fixture.assign(Id, "w1");
  apply(Fixture.State, RemoveWorkerCommand{"w1", 1, false, Fixture.WallNow});
  Fixture.assign(Id, "w2");
  const AttemptId SecondAttempt = Fixture.task(Id).Attempt;
  apply(Fixture.State, CancelCommand{"c", "k", Fixture.WallNow});
  apply(Fixture.State, RemoveWorkerCommand{"w2", 1, false, Fixture.WallNow});
  CHECK(Fixture.outcome(Id) == Outcome::Unknown);
  apply(Fixture.State,
        EndAttemptsCommand{{{SecondAttempt, AttemptEnd::Refused, "", ""}},
                           Fixture.WallNow});
  CHECK(Fixture.outcome(Id) == Outcome::Failed);
}

TEST(LedgerApply, LostIdempotentTaskIsRequeuedAndItsLateAnswerIgnored) {
  const auto Id = Fixture.accept(Fixture.spec("k"));
  Fixture.assign(Id, "w1");
  const AttemptId FirstAttempt = Fixture.task(Id).Attempt;
  apply(Fixture.State, RemoveWorkerCommand{"w1", 1, false, Fixture.WallNow});
  Fixture.assign(Id, "w2");
  apply(Fixture.State,
        EndAttemptsCommand{{{FirstAttempt, AttemptEnd::Done, "old", ""}},
                           Fixture.WallNow});
  CHECK(Fixture.outcome(Id) == Outcome::Pending);
  Fixture.end(Id, AttemptEnd::Done);
  STRCMP_EQUAL("answer", Fixture.task(Id).Answer.c_str());
}

/// The worker may be assigned a task after its removal was proposed.
TEST(LedgerApply, RemovalIfIdleKeepsAWorkerWithAssignedTasks) {
  const auto Id = Fixture.accept(Fixture.spec("k"));
  Fixture.assign(Id, "w1");
  apply(Fixture.State, RemoveWorkerCommand{"w1", 1, true, Fixture.WallNow});
  CHECK(Fixture.worker("w1").isSet());
  CHECK(Fixture.task(Id).State == TaskState::Assigned);
}

TEST(LedgerApply, NewIncarnationIsIgnoredUntilTheFirstIsRemoved) {
  apply(Fixture.State, AnnounceCommand{"w1", 2, "r1", {64000, 1, 0, 1, 1}});
  CHECK_EQUAL(1U, Fixture.State.Workers[Fixture.worker("w1")].Incarnation);
}

TEST(LedgerApply, FailedGangMemberRequeuesTheWholeGang) {
  RequestSpec Spec = Fixture.spec("gang");
  Spec.Kind = WorkKind::Gang;
  Spec.TaskCount = 3;
  const auto Id = Fixture.accept(Spec);
  Fixture.assign(Id, "w1");
  Fixture.end(Id, AttemptEnd::Done, 0);
  Fixture.end(Id, AttemptEnd::Failed, 1);
  CHECK(needsStop(Fixture.State.Requests[Id]));
  Fixture.end(Id, AttemptEnd::Stopped, 2);
  for (std::size_t Index = 0; Index < 3; ++Index) {
    CHECK(Fixture.task(Id, Index).State == TaskState::Queued);
  }
  CHECK_FALSE(needsStop(Fixture.State.Requests[Id]));
}

TEST(LedgerApply, PartOfAGangIsNeverAssigned) {
  RequestSpec Spec = Fixture.spec("gang");
  Spec.Kind = WorkKind::Gang;
  Spec.TaskCount = 2;
  const auto Id = Fixture.accept(Spec);
  const TaskId FirstTask = Fixture.State.Requests[Id].Tasks[0];
  apply(Fixture.State,
        AssignCommand{{{Id, {{FirstTask, Fixture.worker("w1")}}}},
                      Fixture.WallNow});
  CHECK(Fixture.task(Id).State == TaskState::Queued);
}

TEST(LedgerApply, RequestQueuedPastItsLatestStartIsNotRun) {
  RequestSpec Spec = Fixture.spec("late");
  Spec.StartBy = Fixture.WallNow + Millis{100};
  const auto Id = Fixture.accept(Spec);
  apply(Fixture.State, ExpireCommand{Fixture.WallNow + Millis{99}});
  CHECK(Fixture.outcome(Id) == Outcome::Pending);
  apply(Fixture.State, ExpireCommand{Fixture.WallNow + Millis{100}});
  CHECK(Fixture.outcome(Id) == Outcome::NotRun);
}

/// A copy of a refused request that the network delivers late must not be
/// accepted and run.
TEST(LedgerApply, RefusalIsRetainedForDelayedCopies) {
  RequestSpec Spec = Fixture.spec("no");
  apply(Fixture.State,
        AcceptCommand{Spec, digestOf(Spec), "full", Fixture.WallNow});
  const auto DelayedCopy = apply(
      Fixture.State, AcceptCommand{Spec, digestOf(Spec), "", Fixture.WallNow});
  CHECK(DelayedCopy.Accept == AcceptVerdict::Resend);
  CHECK(Fixture.outcome(DelayedCopy.Accepted) == Outcome::NotRun);
  apply(Fixture.State, ExpireCommand{Fixture.WallNow + RefusalRetention +
                                     MaxClockSkew + Millis{1}});
  CHECK_FALSE(findRequest(Fixture.State, "c", "no").isSet());
}

/// Once its record is discarded, a resend of a non-idempotent request cannot be
/// distinguished from a new one and must not run a second time.
TEST(LedgerApply, ResendOfANonIdempotentRequestAfterRetentionIsIndeterminate) {
  RequestSpec Spec = Fixture.spec("bill");
  Spec.IsIdempotent = false;
  const auto Id = Fixture.accept(Spec);
  Fixture.assign(Id, "w1");
  Fixture.end(Id, AttemptEnd::Done);
  const WallTime Later =
      Fixture.WallNow + AnswerRetention + MaxClockSkew + Millis{1};
  apply(Fixture.State, ExpireCommand{Later});
  CHECK_FALSE(findRequest(Fixture.State, "c", "bill").isSet());
  CHECK(apply(Fixture.State, AcceptCommand{Spec, digestOf(Spec), "", Later})
            .Accept == AcceptVerdict::Indeterminate);
}

/// A recovery may lose the last entries of the log: work that looks queued may
/// have run, and a request that looks new may have been accepted before.
TEST(LedgerApply, RecoveryMakesQueuedWorkIndeterminate) {
  RequestSpec Bill = Fixture.spec("bill");
  Bill.IsIdempotent = false;
  const auto Queued = Fixture.accept(Bill);
  const auto Running = Fixture.accept(Fixture.spec("run"));
  Fixture.assign(Running, "w1");
  const AttemptId AttemptBeforeRecovery = Fixture.task(Running).Attempt;
  recordRecovery(Fixture.State);
  apply(Fixture.State, DataLossCommand{Fixture.WallNow + MaxClockSkew});
  CHECK(Fixture.outcome(Queued) == Outcome::Unknown);
  CHECK(isBeforeRecovery(Fixture.State, AttemptBeforeRecovery));
  RequestSpec LostBill = Fixture.spec("lost-bill");
  LostBill.IsIdempotent = false;
  CHECK(apply(Fixture.State,
              AcceptCommand{LostBill, digestOf(LostBill), "", Fixture.WallNow})
            .Accept == AcceptVerdict::Indeterminate);
}

/// Two members may recover from the same state one after the other. Attempts
/// assigned after either recovery must not share a number.
TEST(LedgerApply, TwoRecoveriesOfOneStateUseDistinctAttemptNumbers) {
  Ledger OtherLedger = Fixture.State;
  recordRecovery(Fixture.State);
  apply(Fixture.State, DataLossCommand{Fixture.WallNow});
  recordRecovery(OtherLedger);
  apply(OtherLedger, DataLossCommand{Fixture.WallNow + Millis{2000}});
  CHECK(OtherLedger.NextAttemptCount > Fixture.State.NextAttemptCount + 100000);
}

/// After a recovery, assignments of the previous leader may be missing from the
/// log although workers received them. Attempt numbers contain the term.
TEST(LedgerApply, AssignmentsOfTwoLeadersHaveDistinctAttemptNumbers) {
  const auto Id = Fixture.accept(Fixture.spec("k"));
  const TaskId QueuedTask = Fixture.State.Requests[Id].Tasks[0];
  Ledger OtherLedger = Fixture.State;
  const Placement NewPlacement{Id, {{QueuedTask, Fixture.worker("w1")}}};
  apply(Fixture.State, AssignCommand{{NewPlacement}, Fixture.WallNow, 1});
  apply(OtherLedger, AssignCommand{{NewPlacement}, Fixture.WallNow, 2});
  CHECK(Fixture.State.Tasks[QueuedTask].Attempt !=
        OtherLedger.Tasks[QueuedTask].Attempt);
}

TEST(LedgerApply, ResendOfAnIndeterminateIdempotentRequestRunsIt) {
  const RequestSpec Spec = Fixture.spec("k");
  const auto Id = Fixture.accept(Spec);
  recordRecovery(Fixture.State);
  apply(Fixture.State, DataLossCommand{Fixture.WallNow});
  CHECK(Fixture.outcome(Id) == Outcome::Unknown);
  apply(Fixture.State,
        AcceptCommand{Spec, digestOf(Spec), "", Fixture.WallNow});
  Fixture.assign(Id, "w1");
  Fixture.end(Id, AttemptEnd::Done);
  CHECK(Fixture.outcome(Id) == Outcome::Done);
}

TEST(LedgerApply, SnapshotRestoresRowsAndIndexes) {
  const auto Id = Fixture.accept(Fixture.spec("k"));
  Fixture.assign(Id, "w1");
  auto Restored = decodeLedger(encodeLedger(Fixture.State));
  CHECK(Restored.has_value());
  CHECK(findRequest(*Restored, "c", "k") == Id);
  CHECK(Restored->AssignedByTeam["t"] == Fixture.State.AssignedByTeam["t"]);
  CHECK_EQUAL(1U, Restored->ByAttempt.size());
  CHECK(encodeLedger(*Restored) == encodeLedger(Fixture.State));
}

TEST(LedgerApply, ManyCancellationsFinishEveryRequest) {
  for (int Index = 0; Index < 1000; ++Index) {
    Fixture.accept(Fixture.spec("k" + std::to_string(Index)));
  }
  for (int Index = 0; Index < 1000; ++Index) {
    apply(Fixture.State,
          CancelCommand{"c", "k" + std::to_string(Index), Fixture.WallNow});
  }
  CHECK(Fixture.State.QueuedRequests.empty());
  CHECK_EQUAL(1000U, Fixture.State.ByFinishedAt.size());
}
