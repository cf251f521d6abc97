#include "mulberryramp/ledger/ledger.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

constexpr WallTime Start{Millis{1'000'000'000}};

struct Bench {
  Ledger State;
  WallTime At = Start;

  Bench() {
    apply(State, AnnounceCommand{"w1", 1, "r1", {8000, 8000, 0, 8, 8}});
    apply(State, AnnounceCommand{"w2", 1, "r2", {8000, 8000, 0, 8, 8}});
  }

  RequestSpec spec(const std::string &Key) const {
    RequestSpec Spec;
    Spec.Customer = "c";
    Spec.Team = "t";
    Spec.Key = Key;
    Spec.Need = {1000, 1000, 0, 1, 0};
    Spec.IssuedAt = At;
    Spec.MaxAttempts = 3;
    return Spec;
  }

  RequestId accept(const RequestSpec &Spec) {
    return apply(State, AcceptCommand{Spec, digestOf(Spec), "", At}).Accepted;
  }

  WorkerId worker(const std::string &Name) const {
    return findWorker(State, Name);
  }

  void assign(RequestId Owner, const std::string &Name) {
    Placement Wanted{Owner, {}};
    for (const TaskId Id : State.Requests[Owner].Tasks) {
      if (State.Tasks[Id].State == TaskState::Queued) {
        Wanted.Tasks.push_back({Id, worker(Name)});
      }
    }
    apply(State, AssignCommand{{Wanted}, At});
  }

  Task &task(RequestId Owner, std::size_t Index = 0) {
    return State.Tasks[State.Requests[Owner].Tasks[Index]];
  }

  void end(RequestId Owner, AttemptEnd End, std::size_t Index = 0) {
    apply(State,
          EndAttemptsCommand{
              {{task(Owner, Index).Attempt, End, "answer", "reason"}}, At});
  }

  Outcome outcome(RequestId Owner) const {
    return State.Requests[Owner].Result;
  }

  void checkWhole() const {
    for (const std::string &Text : checkLedger(State)) {
      FAIL(Text.c_str());
    }
  }
};

} // namespace

TEST_GROUP(LedgerApply) { Bench It; };

TEST(LedgerApply, DoneKeepsTheAnswer) {
  const auto Id = It.accept(It.spec("k"));
  It.assign(Id, "w1");
  It.end(Id, AttemptEnd::Done);
  CHECK(It.outcome(Id) == Outcome::Done);
  STRCMP_EQUAL("answer", It.task(Id).Answer.c_str());
  CHECK(It.State.Workers[It.worker("w1")].Granted == Resources{});
  It.checkWhole();
}

TEST(LedgerApply, GrantThatNoLongerFitsIsPassedOver) {
  RequestSpec Spec = It.spec("big");
  Spec.TaskCount = 9;
  const auto Id = It.accept(Spec);
  It.assign(Id, "w1");
  CHECK(It.task(Id).State == TaskState::Queued);
  It.checkWhole();
}

TEST(LedgerApply, ResendGetsTheSameRequestAndAnotherContentAConflict) {
  const auto Id = It.accept(It.spec("k"));
  RequestSpec Spec = It.spec("k");
  const auto Again =
      apply(It.State, AcceptCommand{Spec, digestOf(Spec), "", It.At});
  CHECK(Again.Accept == AcceptVerdict::Resend);
  CHECK(Again.Accepted == Id);
  Spec.Payload = "other";
  CHECK(
      apply(It.State, AcceptCommand{Spec, digestOf(Spec), "", It.At}).Accept ==
      AcceptVerdict::Conflict);
}

TEST(LedgerApply, CancelBeforeAssignmentWinsAndIsNotRun) {
  const auto Id = It.accept(It.spec("k"));
  apply(It.State, CancelCommand{"c", "k", It.At});
  It.assign(Id, "w1");
  CHECK(It.outcome(Id) == Outcome::NotRun);
  CHECK(It.task(Id).Attempt == 0);
}

TEST(LedgerApply, CancelAfterAssignmentWaitsForTheWorker) {
  const auto Id = It.accept(It.spec("k"));
  It.assign(Id, "w1");
  apply(It.State, CancelCommand{"c", "k", It.At});
  CHECK(It.outcome(Id) == Outcome::Pending);
  It.end(Id, AttemptEnd::Refused);
  CHECK(It.outcome(Id) == Outcome::NotRun);
}

TEST(LedgerApply, CancelAfterAnEarlierAttemptIsNeverNotRun) {
  const auto Id = It.accept(It.spec("k"));
  It.assign(Id, "w1");
  It.end(Id, AttemptEnd::Failed);
  apply(It.State, CancelCommand{"c", "k", It.At});
  CHECK(It.outcome(Id) == Outcome::Failed);
}

TEST(LedgerApply, CompletionThatCameFirstBeatsTheCancel) {
  const auto Id = It.accept(It.spec("k"));
  It.assign(Id, "w1");
  It.end(Id, AttemptEnd::Done);
  apply(It.State, CancelCommand{"c", "k", It.At});
  CHECK(It.outcome(Id) == Outcome::Done);
}

TEST(LedgerApply, LostNonIdempotentTaskIsUnknownAndNeverQueuedAgain) {
  RequestSpec Spec = It.spec("bill");
  Spec.IsIdempotent = false;
  Spec.MaxAttempts = 1;
  const auto Id = It.accept(Spec);
  It.assign(Id, "w1");
  const AttemptId Attempt = It.task(Id).Attempt;
  apply(It.State, RemoveWorkerCommand{"w1", 1, false, It.At});
  CHECK(It.outcome(Id) == Outcome::Unknown);
  apply(It.State,
        EndAttemptsCommand{{{Attempt, AttemptEnd::Done, "late", ""}}, It.At});
  CHECK(It.outcome(Id) == Outcome::Done);
  STRCMP_EQUAL("late", It.task(Id).Answer.c_str());
}

TEST(LedgerApply, RefusalOfALaterAttemptInDoubtIsNeverNotRun) {
  const auto Id = It.accept(It.spec("k"));
  It.assign(Id, "w1");
  apply(It.State, RemoveWorkerCommand{"w1", 1, false, It.At});
  It.assign(Id, "w2");
  const AttemptId Second = It.task(Id).Attempt;
  apply(It.State, CancelCommand{"c", "k", It.At});
  apply(It.State, RemoveWorkerCommand{"w2", 1, false, It.At});
  CHECK(It.outcome(Id) == Outcome::Unknown);
  apply(It.State,
        EndAttemptsCommand{{{Second, AttemptEnd::Refused, "", ""}}, It.At});
  CHECK(It.outcome(Id) == Outcome::Failed);
}

TEST(LedgerApply, LostIdempotentTaskIsQueuedAgainAndItsOldAnswerDropped) {
  const auto Id = It.accept(It.spec("k"));
  It.assign(Id, "w1");
  const AttemptId Old = It.task(Id).Attempt;
  apply(It.State, RemoveWorkerCommand{"w1", 1, false, It.At});
  It.assign(Id, "w2");
  apply(It.State,
        EndAttemptsCommand{{{Old, AttemptEnd::Done, "old", ""}}, It.At});
  CHECK(It.outcome(Id) == Outcome::Pending);
  It.end(Id, AttemptEnd::Done);
  STRCMP_EQUAL("answer", It.task(Id).Answer.c_str());
}

TEST(LedgerApply, IdleRemovalSparesAWorkerThatWasGivenWork) {
  const auto Id = It.accept(It.spec("k"));
  It.assign(Id, "w1");
  apply(It.State, RemoveWorkerCommand{"w1", 1, true, It.At});
  CHECK(It.worker("w1").isSet());
  CHECK(It.task(Id).State == TaskState::Assigned);
}

TEST(LedgerApply, SecondLifeOfAWorkerWaitsForTheFirst) {
  apply(It.State, AnnounceCommand{"w1", 2, "r1", {64000, 1, 0, 1, 1}});
  CHECK_EQUAL(1U, It.State.Workers[It.worker("w1")].Incarnation);
}

TEST(LedgerApply, FailedMemberOfAGangStartsAllAgainTogether) {
  RequestSpec Spec = It.spec("gang");
  Spec.Kind = WorkKind::Gang;
  Spec.TaskCount = 3;
  const auto Id = It.accept(Spec);
  It.assign(Id, "w1");
  It.end(Id, AttemptEnd::Done, 0);
  It.end(Id, AttemptEnd::Failed, 1);
  CHECK(needsStop(It.State.Requests[Id]));
  It.end(Id, AttemptEnd::Stopped, 2);
  for (std::size_t Index = 0; Index < 3; ++Index) {
    CHECK(It.task(Id, Index).State == TaskState::Queued);
  }
  CHECK_FALSE(needsStop(It.State.Requests[Id]));
}

TEST(LedgerApply, PartOfAGangIsNeverGranted) {
  RequestSpec Spec = It.spec("gang");
  Spec.Kind = WorkKind::Gang;
  Spec.TaskCount = 2;
  const auto Id = It.accept(Spec);
  const TaskId First = It.State.Requests[Id].Tasks[0];
  apply(It.State, AssignCommand{{{Id, {{First, It.worker("w1")}}}}, It.At});
  CHECK(It.task(Id).State == TaskState::Queued);
}

TEST(LedgerApply, QueuedPastItsLatestStartIsNotRun) {
  RequestSpec Spec = It.spec("late");
  Spec.StartBy = It.At + Millis{100};
  const auto Id = It.accept(Spec);
  apply(It.State, ExpireCommand{It.At + Millis{99}});
  CHECK(It.outcome(Id) == Outcome::Pending);
  apply(It.State, ExpireCommand{It.At + Millis{100}});
  CHECK(It.outcome(Id) == Outcome::NotRun);
}

TEST(LedgerApply, RefusalIsKeptForDelayedCopies) {
  RequestSpec Spec = It.spec("no");
  apply(It.State, AcceptCommand{Spec, digestOf(Spec), "full", It.At});
  const auto Copy =
      apply(It.State, AcceptCommand{Spec, digestOf(Spec), "", It.At});
  CHECK(Copy.Accept == AcceptVerdict::Resend);
  CHECK(It.outcome(Copy.Accepted) == Outcome::NotRun);
  apply(It.State,
        ExpireCommand{It.At + RefusalRetention + MaxClockSkew + Millis{1}});
  CHECK_FALSE(findRequest(It.State, "c", "no").isSet());
}

TEST(LedgerApply, ResendAfterTheAnswerIsDroppedDoesNotRunABillAgain) {
  RequestSpec Spec = It.spec("bill");
  Spec.IsIdempotent = false;
  const auto Id = It.accept(Spec);
  It.assign(Id, "w1");
  It.end(Id, AttemptEnd::Done);
  const WallTime Later = It.At + AnswerRetention + MaxClockSkew + Millis{1};
  apply(It.State, ExpireCommand{Later});
  CHECK_FALSE(findRequest(It.State, "c", "bill").isSet());
  CHECK(
      apply(It.State, AcceptCommand{Spec, digestOf(Spec), "", Later}).Accept ==
      AcceptVerdict::Indeterminate);
}

TEST(LedgerApply, RecoveryPutsQueuedWorkInDoubt) {
  RequestSpec Bill = It.spec("bill");
  Bill.IsIdempotent = false;
  const auto Queued = It.accept(Bill);
  const auto Running = It.accept(It.spec("run"));
  It.assign(Running, "w1");
  const AttemptId Before = It.task(Running).Attempt;
  recordRecovery(It.State);
  apply(It.State, DataLossCommand{It.At + MaxClockSkew});
  CHECK(It.outcome(Queued) == Outcome::Unknown);
  CHECK(isBeforeRecovery(It.State, Before));
  RequestSpec Lost = It.spec("lost-bill");
  Lost.IsIdempotent = false;
  CHECK(
      apply(It.State, AcceptCommand{Lost, digestOf(Lost), "", It.At}).Accept ==
      AcceptVerdict::Indeterminate);
}

TEST(LedgerApply, TwoRecoveriesOfTheSameStateNumberAttemptsApart) {
  Ledger Other = It.State;
  recordRecovery(It.State);
  apply(It.State, DataLossCommand{It.At});
  recordRecovery(Other);
  apply(Other, DataLossCommand{It.At + Millis{2000}});
  CHECK(Other.NextAttemptCount > It.State.NextAttemptCount + 100000);
}

TEST(LedgerApply, GrantsOfTwoLeadersNeverShareANumber) {
  const auto Id = It.accept(It.spec("k"));
  const TaskId Item = It.State.Requests[Id].Tasks[0];
  Ledger Other = It.State;
  const Placement Wanted{Id, {{Item, It.worker("w1")}}};
  apply(It.State, AssignCommand{{Wanted}, It.At, 1});
  apply(Other, AssignCommand{{Wanted}, It.At, 2});
  CHECK(It.State.Tasks[Item].Attempt != Other.Tasks[Item].Attempt);
}

TEST(LedgerApply, ResendOfAnIdempotentRequestInDoubtRunsIt) {
  const RequestSpec Spec = It.spec("k");
  const auto Id = It.accept(Spec);
  recordRecovery(It.State);
  apply(It.State, DataLossCommand{It.At});
  CHECK(It.outcome(Id) == Outcome::Unknown);
  apply(It.State, AcceptCommand{Spec, digestOf(Spec), "", It.At});
  It.assign(Id, "w1");
  It.end(Id, AttemptEnd::Done);
  CHECK(It.outcome(Id) == Outcome::Done);
}

TEST(LedgerApply, SnapshotRestoresRowsAndIndexes) {
  const auto Id = It.accept(It.spec("k"));
  It.assign(Id, "w1");
  auto Restored = decodeLedger(encodeLedger(It.State));
  CHECK(Restored.has_value());
  CHECK(findRequest(*Restored, "c", "k") == Id);
  CHECK(Restored->GrantedByTeam["t"] == It.State.GrantedByTeam["t"]);
  CHECK_EQUAL(1U, Restored->ByAttempt.size());
  CHECK(encodeLedger(*Restored) == encodeLedger(It.State));
}

TEST(LedgerApply, WaveOfCancellationsSettlesEach) {
  for (int Index = 0; Index < 1000; ++Index) {
    It.accept(It.spec("k" + std::to_string(Index)));
  }
  for (int Index = 0; Index < 1000; ++Index) {
    apply(It.State, CancelCommand{"c", "k" + std::to_string(Index), It.At});
  }
  CHECK(It.State.QueuedRequests.empty());
  CHECK_EQUAL(1000U, It.State.ByFinishedAt.size());
}
