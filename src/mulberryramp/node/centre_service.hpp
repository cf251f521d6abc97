#pragma once

#include "mulberryramp/node/call.hpp"
#include "mulberryramp/node/hosted_group.hpp"
#include "mulberryramp/system/placement.hpp"
#include "mulberryramp/system/runtime.hpp"

#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief Options of the service of one data centre.
struct CentreOptions {
  std::string Centre;
  std::size_t CentreIndex = 0;
  std::size_t CentreCount = 1;
  Millis WorkerLease{12000};
  Millis WorkerWait{4000};
  PlacementOptions Placing;
};

/// @brief Reply to a worker's poll with its destination.
struct CompletedPoll {
  std::uint64_t PollId = 0;
  WorkerReply Reply;
  Instant LeaderLeaseEnd; ///< The reply must not be sent later.
};

/// @brief Checks the leader's lease again right before a reply is sent.
/// @param Done The reply as decided.
/// @param Now Current monotonic time, read again for this call: the process may
/// have been paused since the decision.
/// @return The reply, or `NotLeader` instead if the lease has expired.
[[nodiscard]] CompletedPoll checkLeaseBeforeSend(CompletedPoll Done,
                                                 Instant Now);

/// @brief Counters of a data centre's service since the daemon started.
struct CentreCounters {
  std::uint64_t Accepted = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Polls = 0;
  std::uint64_t PlacementRuns = 0;
  std::uint64_t RequestsExamined = 0;
  std::uint64_t Starts = 0;
  std::uint64_t EndedAttempts = 0;
  std::uint64_t Preempted = 0;
  std::uint64_t LostWorkers = 0;
};

/// @brief Service of one data centre on one daemon.
///
/// It applies the group's log to the ledger on every member. While this daemon
/// leads the group, it also executes calls, answers workers' polls and runs the
/// placement.
class CentreService final : public GroupState {
public:
  explicit CentreService(CentreOptions Options);

  void onLeadership(const Replica &Member) override;
  void onEntry(const Entry &LogEntry) override;
  void onRestore(const std::string &Data) override;
  [[nodiscard]] std::string snapshotData() const override;

  /// @brief Executes a call; undefined unless `isServing`.
  void call(Replica &Member, const CallOrigin &Origin, const CallRequest &Body,
            Instant Now, WallTime WallNow);

  /// @brief Processes a worker's poll; undefined unless `isServing`.
  void poll(Replica &Member, std::uint64_t PollId, const WorkerPoll &Poll,
            Instant Now, WallTime WallNow);

  /// @brief Drops a poll whose connection was closed.
  void cancelPoll(std::uint64_t PollId);

  /// @brief Starts or stops serving with the leadership; while serving, runs
  /// all periodic decisions and answers polls and waiting calls.
  /// @param Newest Rules of the configuration group.
  void tick(Replica &Member, const RulesState &Newest, Instant Now,
            WallTime WallNow);

  /// @brief Tells whether this daemon serves the data centre as its leader.
  [[nodiscard]] bool isServing() const noexcept { return IsServing; }

  /// @brief Answers all waiting polls and calls at the next tick; for shutdown.
  void answerLongPolls() noexcept { IsAnsweringAll = true; }

  /// @brief Moves out the results of completed calls.
  [[nodiscard]] std::vector<CompletedCall> drainCallResults();
  /// @brief Moves out the replies to completed polls.
  [[nodiscard]] std::vector<CompletedPoll> drainPollReplies();

  /// @brief Returns the ledger.
  [[nodiscard]] const Ledger &ledger() const noexcept { return State; }
  /// @brief Returns the active rules of the data centre.
  [[nodiscard]] const Rules &activeRules() const noexcept {
    return ActiveRules;
  }
  /// @brief Returns the leader's volatile state.
  [[nodiscard]] const CentreRuntime &runtime() const noexcept {
    return Runtime;
  }
  /// @brief Returns the counters.
  [[nodiscard]] const CentreCounters &counters() const noexcept {
    return Counters;
  }

private:
  struct Waiter {
    CallOrigin Origin;
    RequestId Owner;
    Instant Deadline;
  };

  struct OpenCall {
    CallOrigin Origin;
    bool IsCancel = false;
    std::string Customer;
    std::string Key;
  };

  struct ParkedPoll {
    std::uint64_t PollId = 0;
    std::string Name;
    std::uint64_t Incarnation = 0;
    Instant Deadline;
    bool IsUrgent = false; ///< Answered at the next tick.
  };

  struct AnswerParts {
    std::uint32_t Count = 0;
    std::map<std::uint32_t, std::string> Parts;
  };

  void stopServing();
  void startServing(Replica &Member, Instant Now, WallTime WallNow);
  bool proposeCommand(Replica &Member, const LedgerCommand &Command);
  /// Time that the leader waits beyond a worker's lease.
  [[nodiscard]] Millis leaseMargin() const { return Options.WorkerLease / 10; }

  void submit(Replica &Member, const CallOrigin &Origin, const SubmitCall &Call,
              const DecisionInput &Input);
  void status(const CallOrigin &Origin, const StatusCall &Call, Instant Now,
              const DecisionInput &Input);
  void cancel(Replica &Member, const CallOrigin &Origin, const CancelCall &Call,
              WallTime WallNow);
  [[nodiscard]] CallResult listWorkers(Instant Now) const;
  [[nodiscard]] CallResult resultOf(RequestId Id) const;
  [[nodiscard]] RequestView viewOf(const Request &Row) const;
  [[nodiscard]] bool hasAwaitedOutcome(const Request &Row) const;
  void answerOpenCall(LogIndex Index, const LedgerCommand &Command,
                      const ApplyResult &Result);
  void answerWaiters(Instant Now);

  [[nodiscard]] std::string pollError(const WorkerPoll &Poll) const;
  void finishPoll(std::uint64_t PollId, PollVerdict Verdict, std::string Reason,
                  Instant NotAfter);
  void announce(Replica &Member, const WorkerPoll &Poll);
  [[nodiscard]] WorkerRuntime &runtimeOf(WorkerId Id, Instant Now);
  void applyReports(WorkerId Id, const WorkerPoll &Poll, Term InTerm,
                    Instant Now);
  void endUnreportedAttempts(WorkerId Id, const WorkerRuntime &WorkerStatus);
  void applyReport(WorkerId Id, WorkerRuntime &WorkerStatus,
                   const AttemptReport &Report);
  [[nodiscard]] std::optional<std::string>
  assembleAnswer(const AttemptReport &Report, bool &IsBroken);
  void queueAttemptResult(AttemptId Attempt, AttemptEnd End, std::string Answer,
                          std::string Reason);
  void answerPolls(Replica &Member, Instant Now);
  void fillOrders(const Worker &Row, WorkerRuntime &WorkerStatus,
                  WorkerReply &Reply, Instant Now) const;
  [[nodiscard]] std::optional<OrderKind>
  wantedOrder(const WorkerRuntime &WorkerStatus, TaskId Id, Instant Now) const;
  [[nodiscard]] StartOrder startOrderOf(TaskId Id) const;
  void fillDiscards(WorkerRuntime &WorkerStatus, WorkerReply &Reply) const;
  static void applyDiscardAck(WorkerRuntime &WorkerStatus, std::uint64_t Ack);

  void sweepLeases(Replica &Member, Instant Now, WallTime WallNow);
  void sweepExpired(Replica &Member, Instant Now, WallTime WallNow);
  void sweepRuntime();
  void proposeAttemptResults(Replica &Member, const DecisionInput &Input);
  void runPlacement(Replica &Member, const DecisionInput &Input);
  void countAttempts(const AssignCommand &Command);
  void decayRetryCount(Instant Now);

  void parseActiveRules();
  void replicateRules(Replica &Member, const RulesState &Newest);

  CentreOptions Options;
  Ledger State;
  Rules ActiveRules;
  Revision RulesInFlight = 0; ///< Last one proposed while serving; 0: none.
  CentreRuntime Runtime;
  CentreCounters Counters;

  bool IsServing = false;
  bool IsAnsweringAll = false;
  Term ServedTerm = 0;
  std::uint64_t ServeCount = 0; ///< Serving periods of this daemon.
  std::multimap<LogIndex, OpenCall> OpenCalls;
  std::set<std::string> Announcing; ///< Workers with a proposed registration.
  Instant LastStepDownAt; ///< Last step-down caused by a poll; null: never.
  std::set<std::string> Removing; ///< Workers with a proposed removal.
  /// Attempts whose end is queued or proposed, not yet applied.
  std::set<AttemptId> EndingAttempts;
  std::vector<AttemptResult> PendingResults; ///< Not yet proposed.
  std::map<AttemptId, AnswerParts> AnswerPartsByAttempt;
  std::list<Waiter> Waiters;
  std::list<ParkedPoll> ParkedPolls;
  LogIndex AssignInFlight = 0; ///< Proposed `AssignCommand`; 0: none.
  LogIndex ExpireInFlight = 0; ///< Proposed `ExpireCommand`; 0: none.
  bool IsDirty = true;         ///< Placement is due at the next tick.
  Instant LastPlacementAt;
  Instant LastSweepAt;
  Instant LastRetryDecayAt;
  std::vector<CompletedCall> CompletedCalls;
  std::vector<CompletedPoll> CompletedPolls;
};

} // namespace mulberryramp
