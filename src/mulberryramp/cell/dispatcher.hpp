#pragma once

#include "mulberryramp/cell/fwd.hpp"
#include "mulberryramp/cell/order.hpp"
#include "mulberryramp/job/state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief Times that a leader works by.
struct DispatchOptions {
  Millis Lease{4000};       ///< Given to what runs with each order.
  Millis MaxLease{6000};    ///< Longest that a worker grants.
  Millis LateOrder{12000};  ///< Latest that an unanswered order is carried out.
  int DriftPercent = 2;     ///< By which a worker's clock may be slow.
  Millis LeaseSlack{200};   ///< Added to the end of a lease that ran out.
  Millis RenewalWait{1000}; ///< How long a hold waits for an end.
  Millis ReportInterval{1500}; ///< Between reports of a worker.
  Millis Retention{125000};    ///< How long jobs that are over can be read.
};

/// @brief What the leader knows of a start.
enum class LaunchPhase : std::uint8_t {
  Sending,        ///< The order is on its way.
  Confirmed,      ///< The worker has begun it.
  Unacknowledged, ///< The order was not answered.
  Recovered       ///< An earlier leader sent it, or meant to.
};

/// @brief Names of the phases.
constexpr std::array<std::string_view, 4>
nameTable(LaunchPhase /*Phase*/) noexcept {
  return {"sending", "confirmed", "doubtful", "inherited"};
}

/// @brief One start, from its agreement to the agreement on its end.
struct TaskLaunch {
  TaskAssignment Assignment;
  LaunchPhase Phase = LaunchPhase::Sending;
  Instant PhaseSince; ///< When the phase began.
  Instant StartedAt;  ///< When the order was sent, or the launch inherited.
  Instant StopSentAt; ///< Null if no stop was sent.
  std::optional<Instant> StopAckedAt;
  std::uint64_t StopOrder = 0; ///< Open stop.
  bool IsEndProposed = false;
  bool IsPresumedLost = false; ///< Its proposed end is not known for certain.
  std::uint32_t Percent = 0;   ///< Last progress that was listed.
  Instant ProgressAt;          ///< When it last rose.
  Instant ListedAt;            ///< When it was first listed; null: never.
  std::int64_t Gauge = 0;      ///< Last listed tail or processors.
  Instant OverLimitSince;      ///< Tail over its limit; null: it is not.
  std::uint32_t PacePercent = 100; ///< Share that it may work at.
  Instant PaceAt;                  ///< When the pace was last changed.
  bool IsProbed = false; ///< A look was asked for since it should be done.
};

/// @brief A start that was given up though it may still run, or begin to.
struct OrphanedStart {
  TaskKey Key;
  TaskName Name;
  std::uint32_t Attempt = 0;
  std::uint64_t StopOrder = 0; ///< Open stop, or 0.
  Instant StopSentAt;
  std::optional<Instant> StopAckedAt;
};

/// @brief Worker clock at a moment; it cannot have read less.
struct ClockSample {
  std::int64_t Clock = 0;
  Instant At;
};

/// @brief What the leader knows of a life of a worker beyond the state.
struct WorkerSession {
  std::optional<ClockSample> Clock;
  bool IsReconciled = false; ///< Its lists agree with the state.
  /// It answered as this life since it last was silent. Numbers of ends start
  /// anew with each life, so the next life must not get acknowledgements of
  /// this one.
  bool IsInstanceVerified = false;
  std::uint64_t RenewalOrder = 0;
  Instant RenewalSentAt;
  Millis RenewalTimeout{0};
  std::uint64_t ProbeOrder = 0; ///< Hold without a wait, beside an open one.
  bool NeedsProbe = false;      ///< A start waits to be settled.
  Instant NextRenewalAt;
  Instant ReportedAt;
  Instant AnsweredAt;
  Instant LeaseEnd;                    ///< Nothing runs there after this.
  std::uint32_t ConsecutiveMisses = 0; ///< Orders without an answer, in a row.
  Instant LastMissAt;                  ///< When an order last got no answer.
  std::uint64_t EndsProposed = 0;      ///< Listed ends that were proposed.
  std::uint64_t AckSent = 0;           ///< Acknowledged in an answered hold.
  std::uint64_t Sequence = 0;          ///< Of its last report.
  std::uint32_t FailureStreak = 0;
  double RuntimeRatio = 1; ///< Run times against those of like tasks, averaged.
  Millis Remaining{0}; ///< Time left when it was told, of a draining worker.
  Instant BackoffUntil;
  bool HasLatencyViolation = false; ///< A serving task there is over its limit.
  std::set<TaskKey> Tasks;
  /// None may be left when a start is sent.
  std::vector<OrphanedStart> Orphans;
};

/// @brief Names one step of one run of a job.
struct StepKey {
  JobId Job;
  std::uint32_t Run = 0;
  std::uint32_t Step = 0;

  constexpr auto operator<=>(const StepKey &) const = default;
};

/// @brief Admission of a step to a worker.
struct Ticket {
  std::string Token;
  Instant ExpiresAt;
};

/// @brief What the advisor said of a step.
struct StepAdvice {
  std::map<WorkerInstanceId, Ticket> Admitted;
  std::set<WorkerInstanceId> Denied;
  std::uint64_t QueryId = 0; ///< Open question, or 0.
  Instant RetryAt;
};

/// @brief Run times of the tasks of a step that are done; estimates may be far
/// off, but tasks of a step are alike.
struct StepTimes {
  std::uint32_t Count = 0;
  Millis Total{0};

  /// @brief Computes the mean; undefined without run times.
  [[nodiscard]] constexpr Millis mean() const noexcept { return Total / Count; }
};

/// @brief A node that can ask the advisor, which answers each node in turn.
struct AdviceNode {
  Instant LastContactAt;
  std::uint64_t QueryId = 0;
  Instant BackoffUntil;
};

/// @brief A question on its way.
struct PendingQuery {
  StepKey Step;
  NodeId Node = 0;
  std::vector<WorkerInstanceId> Workers;
  Instant ExpiresAt;
};

/// @brief An order on its way.
struct OpenOrder {
  WorkerOrderKind Kind = WorkerOrderKind::Renew;
  WorkerInstanceId Worker;
  TaskKey Key;
  std::uint32_t Attempt = 0;
  Instant SentAt;
  bool HasLease = false;
  std::uint64_t LastAckedEnd = 0;
  bool IsProbed = false; ///< A start whose answer is overdue.
};

/// @brief A question for a node.
struct RoutedQuery {
  NodeId Node = 0;
  AdviceQuery Query;
};

/// @brief Counters of a leader.
struct DispatchCounters {
  std::uint64_t Starts = 0;
  std::uint64_t Ends = 0;
  std::uint64_t Renewals = 0;
  std::uint64_t Stops = 0;
  std::uint64_t Queries = 0;
  std::uint64_t Unanswered = 0;
};

/// @brief What the leader of a cell keeps beside the replicated state: orders,
/// leases and advice. All of it can be rebuilt from the state and the workers.
struct DispatchState {
  DispatchOptions Options;
  bool IsActive = false;
  Term FencingToken = 0;
  NodeId Self = 0;
  std::map<WorkerInstanceId, WorkerSession> Sessions;
  std::map<TaskKey, TaskLaunch> Launches;
  std::map<std::uint64_t, OpenOrder> UnansweredOrders;
  std::map<StepKey, StepAdvice> Advice;
  std::map<StepKey, StepTimes> Times;
  std::map<NodeId, AdviceNode> Nodes;
  std::map<std::uint64_t, PendingQuery> PendingQueries;
  std::uint64_t NextId = 1;
  bool NeedsPlan = false; ///< Something changed that may let tasks start.
  bool HasUncommittedStarts =
      false;         ///< Starts were proposed and not yet applied.
  Instant PlannedAt; ///< Last look.
  Instant PlanAt;    ///< Next look without a change.
  Instant ReviewAt;  ///< Next look at all launches.
  Instant SweepAt;   ///< Next look for what can be forgotten.
  Instant TimersAt;  ///< Next look at all times that run out.
  std::set<WorkerInstanceId>
      TouchedWorkers; ///< Workers that may have to be held at once.
  Instant LastMissAt; ///< When an order last got no answer.
  DispatchCounters Counters;

  std::vector<WorkerOrder> Orders;
  std::vector<RoutedQuery> OutgoingQueries;
  std::vector<CellCommand> Commands;
  std::vector<std::string> Events;
};

/// @brief Begins to lead.
/// @param Lead The dispatcher; what it knew as an earlier leader is dropped.
/// @param State The state, with all entries of earlier terms applied.
/// @param Fence Term of the leader.
/// @param Now The present moment.
/// @param Wall Civil time.
void beginDispatch(DispatchState &Dispatch, const CellState &State,
                   Term FencingToken, Instant Now, WallTime WallNow);

/// @brief Stops leading.
void endDispatch(DispatchState &Dispatch);

/// @brief Follows a change of the state.
void onStateChange(DispatchState &Dispatch, const CellState &State,
                   const CellChange &Change, Instant Now);

/// @brief Takes a report of the present life of a worker in.
void onWorkerReport(DispatchState &Dispatch, WorkerInstanceId Worker,
                    const WorkerReport &Report, Instant Now);

/// @brief Takes the answer of the advisor in.
void onAdviceAnswer(DispatchState &Dispatch, const CellState &State,
                    const AdviceAnswer &Answer, Instant Now);

/// @brief Sends, renews, settles and plans what is due.
void stepDispatch(DispatchState &Dispatch, const CellState &State, Instant Now,
                  WallTime WallNow);

/// @brief Computes how long after an order its lease may last at most.
/// @param Lease Length of the lease.
[[nodiscard]] Millis leaseBound(const DispatchOptions &Options, Millis Lease);

/// @brief Tells whether a worker can be given a start now.
[[nodiscard]] bool isSchedulable(const DispatchState &Dispatch,
                                 const CellState &State,
                                 WorkerInstanceId Worker, Instant Now);

} // namespace mulberryramp
