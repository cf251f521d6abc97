#pragma once

#include "mulberryramp/cell/admission.hpp"
#include "mulberryramp/cell/entry_times.hpp"
#include "mulberryramp/cell/fwd.hpp"
#include "mulberryramp/cell/order.hpp"
#include "mulberryramp/cell/wait_log.hpp"
#include "mulberryramp/job/state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// @file
/// @brief Dispatch state of the leader of a cell: it sends the orders that
/// start, stop and renew tasks, tracks their leases and decides when to plan
/// new starts. It reads the replicated state and proposes commands, but never
/// changes the state itself, and it uses no clock, socket or disk.

namespace mulberryramp {

/// @brief Timing parameters of the leader of a cell.
struct DispatchOptions {
  /// Length of the lease that a start or a renewal grants. Running tasks end
  /// with it if the cell has no leader for that long.
  Millis Lease{5400};
  Millis MaxLease{6000}; ///< Longest lease that a worker accepts.
  /// Longest delay after which an unanswered order may still be executed.
  Millis MaxOrderDelay{12000};
  /// Bound on how much slower a worker clock runs, in percent.
  int DriftPercent = 2;
  Millis LeaseSlack{200};      ///< Margin added to the end of a lease.
  Millis RenewalWait{1000};    ///< How long a renewal waits for a task end.
  Millis ReportInterval{1500}; ///< Interval of worker reports.
  Millis Retention{125000};    ///< How long finished jobs stay readable.
  /// Stops tasks of a lower priority if urgent jobs have no room.
  bool HasPreemption = false;
  /// Refuses jobs that cannot be served in useful time, and under a backlog
  /// those beyond the rate of their organisation.
  bool HasAdmissionControl = false;
};

/// @brief Progress of the start order of a launch.
enum class LaunchPhase : std::uint8_t {
  Sending,        ///< The start order was sent and is unanswered.
  Confirmed,      ///< The worker runs the task.
  Unacknowledged, ///< No answer arrived; the order may still be executed.
  Recovered ///< Rebuilt from the state; an earlier leader may have sent it.
};

/// @brief Names of the phases, by value.
constexpr std::array<std::string_view, 4>
nameTable(LaunchPhase /*Phase*/) noexcept {
  return {"sending", "confirmed", "doubtful", "inherited"};
}

/// @brief Progress of an attempt at a point in time.
struct ProgressSample {
  std::uint32_t Percent = 0;
  Instant At;
};

/// @brief One attempt of a task, from the commit of its assignment to the
/// commit of its end.
struct TaskLaunch {
  TaskAssignment Assignment;
  LaunchPhase Phase = LaunchPhase::Sending;
  Instant PhaseSince; ///< When the phase began.
  Instant StartedAt;  ///< When the order was sent, or the launch recovered.
  /// Its start was found in the log at the beginning of the term, so that the
  /// time of the start is unknown.
  bool IsRecovered = false;
  /// See `JobTask::IsTransferred`.
  bool IsTransferred = false;
  Instant StopSentAt; ///< Zero if no stop was sent.
  std::optional<Instant> StopAckedAt;
  std::uint64_t StopOrder = 0; ///< Id of the open stop order, or 0.
  bool IsEndProposed = false;  ///< The end is proposed, not yet committed.
  /// Its proposed end is an assumption; it may still run.
  bool IsPresumedLost = false;
  /// Progress from which its speed is measured, if known: that of the confirmed
  /// start, or the first listed one of an attempt that may have begun earlier
  /// or at a checkpoint.
  std::optional<ProgressSample> Baseline;
  std::uint32_t ProgressPercent = 0; ///< Last listed progress.
  Instant ProgressAt;                ///< When the listed progress last changed.
  Instant ListedAt; ///< When a worker first listed it; zero if never.
  /// Last listed tail latency in ms, or processors in use.
  std::int64_t Gauge = 0;
  /// When the tail latency exceeded its limit; zero if it is within the limit.
  Instant OverLimitSince;
  std::uint32_t PacePercent = 100; ///< CPU share that the task may use.
  Instant PaceAt;                  ///< When a pace order was last sent.
  /// The task has that share. This is not known of a task that a former leader
  /// may have paced, or after an order that failed.
  bool IsPaceKnown = true;
  /// The pace is set once more at this time, as an unanswered order may be
  /// executed until then; zero if there is none.
  Instant PaceDoubtfulUntil;
  bool IsProbed = false; ///< A probe was requested because its end is overdue.
  /// `JobTask::EndIfUnlisted`; `Lost` once its worker has listed it.
  EndKind EndIfUnlisted = EndKind::Lost;
};

/// @brief An attempt that is recorded as lost although it may still run or
/// start later.
struct OrphanedStart {
  TaskKey Key;
  TaskName Name;
  std::uint32_t Attempt = 0;
  bool WasConfirmed = false;   ///< The worker ran it.
  bool IsCrashCounted = false; ///< The crash of its worker was attributed.
  bool IsRecovered = false;    ///< See `TaskLaunch::IsRecovered`.
  Instant StartedAt;           ///< When its start was sent.
  std::uint64_t StopOrder = 0; ///< Id of the open stop order, or 0.
  Instant StopSentAt;
  std::optional<Instant> StopAckedAt;
  std::string Organisation; ///< That of its job.
  Resources Need;           ///< `StepSpec::Need` of its step.
};

/// @brief A task that a worker runs although the leader knows no start of it,
/// such as an orphan of the previous leader.
struct UnknownTask {
  std::string Organisation; ///< That of its job.
  Resources Need;           ///< `StepSpec::Need` of its step.
};

/// @brief Reading of a worker clock. At that moment the clock showed at least
/// this value.
struct ClockSample {
  std::int64_t Clock = 0; ///< Clock of the worker, ms.
  Instant At;             ///< When the reading arrived.
};

/// @brief Volatile state that the leader keeps for one worker instance.
struct WorkerSession {
  /// Rack to which crashes are attributed; that of the previous instance until
  /// this one is announced.
  std::string Rack;
  std::optional<ClockSample> Clock;
  bool IsReconciled = false; ///< Its task list matches the state.
  /// This instance answered since the last missed order. Numbers of task ends
  /// restart with each instance, so the next instance must not receive
  /// acknowledgements that are meant for this one.
  bool IsInstanceVerified = false;
  /// No connection was opened since this instance last answered a renewal. A
  /// new connection may lead to the next instance.
  bool AreConnectionsVerified = false;
  /// Unanswered orders other than renewals; each may open a connection.
  std::uint32_t OpenTaskOrders = 0;
  std::uint64_t RenewalOrder = 0; ///< Id of the open renewal, or 0.
  Instant RenewalSentAt;
  Millis RenewalTimeout{0};
  /// Id of the open probe, or 0; it may overlap a renewal.
  std::uint64_t ProbeOrder = 0;
  /// A probe is to be sent, for instance to reconcile a start.
  bool NeedsProbe = false;
  Instant NextRenewalAt;
  Instant ReportedAt; ///< When its last report arrived.
  Instant AnsweredAt; ///< When it last answered an order.
  Instant LeaseEnd;   ///< No task runs there after this time, except as below.
  /// No lease of an order for a previous instance lasts longer; zero if none
  /// can be in force.
  Instant FormerLeaseEnd;
  /// The instance has answered an order with its own fencing token.
  bool HasAcceptedFence = false;
  bool IsFormerLeaseEndProposed = false; ///< See `EndFormerLeasesCommand`.
  /// The log says that the worker is granted no leases, or will say so.
  bool IsLeaseSuspended = false;
  bool IsSuspensionRecorded = false; ///< This leader has proposed it.
  bool IsResumeProposed = false;     ///< The end of the suspension is proposed.
  /// Consecutive orders without an answer.
  std::uint32_t ConsecutiveMisses = 0;
  Instant LastMissAt;  ///< When an order last went unanswered.
  Instant SilentSince; ///< When the first of these orders went unanswered.
  /// When the first order since this instance was last verified went
  /// unanswered; zero if none. Answers after that may be of the next instance.
  Instant UnverifiedSince;
  /// The first of these orders failed before its timeout: the worker closed or
  /// refused a connection, as a process that ends does.
  bool HasBrokenOff = false;
  /// Highest number of a reported end that was proposed.
  std::uint64_t EndsProposed = 0;
  /// Highest end acknowledged by an answered renewal.
  std::uint64_t AckSent = 0;
  std::uint64_t Sequence = 0; ///< Sequence number of its last report.
  /// Last capacity that was recorded or proposed.
  Resources ProposedCapacity;
  /// Sequence number of the report that stated it.
  std::uint64_t CapacitySequence = 0;
  std::uint32_t FailureStreak = 0; ///< Consecutive failed tasks.
  /// Average ratio of run times to those of peer tasks.
  double RuntimeRatio = 1;
  Millis Remaining{0}; ///< Time until a draining worker exits, at `ReportedAt`.
  bool IsDraining = false; ///< It announced its exit.
  Instant LastStartAt;     ///< When a start was last sent to it.
  /// When a start of a task that may crash workers was last sent to it.
  Instant SuspectStartedAt;
  /// When a start of a task under which a worker has crashed was last sent to
  /// it.
  Instant TrialStartedAt;
  Instant BackoffUntil; ///< No starts are sent before this time.
  /// A service there exceeds its tail latency limit.
  bool HasLatencyViolation = false;
  std::set<TaskKey> Tasks; ///< Keys of its launches.
  /// No start is sent to the worker until this list is empty.
  std::vector<OrphanedStart> Orphans;
  /// Tasks of its last list that are neither assigned to it nor in `Orphans`.
  /// They are stopped, but count towards the caps until a list is without them.
  std::vector<UnknownTask> UnknownTasks;
};

/// @brief Identifies a step of one run of a job.
struct StepKey {
  JobId Job;
  std::uint32_t Run = 0;
  std::uint32_t Step = 0;

  constexpr auto operator<=>(const StepKey &) const = default;
};

/// @brief Permission of the advisor to run a step on a worker.
struct Ticket {
  std::string Token;
  Instant ExpiresAt;
};

/// @brief Decisions of the advisor on one step.
struct StepAdvice {
  std::map<WorkerInstanceId, Ticket> Admitted;
  std::set<WorkerInstanceId> Denied;
  std::uint64_t QueryId = 0; ///< Id of the open query, or 0.
  Instant RetryAt;           ///< No query before this time.
};

/// @brief Workers that are kept for a step which cannot be placed yet.
struct StepReservation {
  bool IsNeeded = false; ///< There is too little room for the step now.
  std::set<WorkerInstanceId> Workers;
  Instant StartsAt;  ///< When all its tasks are expected to have room.
  Instant PlannedAt; ///< When it was last planned.
};

/// @brief Suspects of a step that wait for a worker without a recent start, see
/// `trial_holds.hpp`.
struct TrialWait {
  Instant Since; ///< When they began to wait.
  /// Workers that get no other starts, with the time since when.
  std::map<WorkerInstanceId, Instant> Held;
};

/// @brief Run times of the finished tasks of a step. They predict the other
/// tasks of the step better than its estimate, which may be far off.
struct StepTimes {
  std::uint32_t Count = 0;
  Millis Total{0};

  /// @brief Computes the mean run time; undefined if `Count` is 0.
  [[nodiscard]] constexpr Millis mean() const noexcept { return Total / Count; }
};

/// @brief A node that can query the advisor. The advisor serves one query per
/// node at a time.
struct AdviceNode {
  Instant LastContactAt;     ///< When its last hello arrived.
  std::uint64_t QueryId = 0; ///< Id of its open query, or 0.
  Instant BackoffUntil;      ///< No query is routed to it before this time.
};

/// @brief A query that the advisor has not answered yet.
struct PendingQuery {
  StepKey Step;
  NodeId Node = 0;
  std::vector<WorkerInstanceId> Workers;
  Instant ExpiresAt;
};

/// @brief Crash of a worker that was noticed recently.
struct WorkerCrash {
  std::string Rack;
  Instant SilentSince; ///< When the worker stopped to answer.
};

/// @brief An order without an answer yet.
struct OpenOrder {
  WorkerOrderKind Kind = WorkerOrderKind::Renew;
  WorkerInstanceId Worker;
  TaskKey Key;
  std::uint32_t Attempt = 0;
  Instant SentAt;
  Millis Timeout{0};
  bool HasLease = false;          ///< The order grants a lease.
  std::uint64_t LastAckedEnd = 0; ///< Highest end that the order acknowledges.
  bool IsProbed = false; ///< A probe was requested as the answer is overdue.
};

/// @brief A query and the node that sends it to the advisor.
struct RoutedQuery {
  NodeId Node = 0;
  AdviceQuery Query;
};

/// @brief Event counts of this node as a leader, for metrics.
struct DispatchCounters {
  std::uint64_t Starts = 0;
  std::uint64_t Ends = 0;
  std::uint64_t Renewals = 0;
  std::uint64_t Stops = 0;
  std::uint64_t Queries = 0;
  std::uint64_t Unanswered = 0;
  std::uint64_t WorkerCrashes = 0;
  std::uint64_t Preemptions = 0;
  std::uint64_t TrialHolds = 0; ///< Workers held for a suspect.
  /// Those of them that were released without a start of the suspect, while it
  /// still waited.
  std::uint64_t TrialHoldsAbandoned = 0;
  std::uint64_t RefusedAsExcess = 0;
  std::uint64_t RefusedForBacklog = 0;
};

/// @brief What an organisation used and waited for after the last plan, for
/// metrics.
struct OrganisationStatus {
  std::string Name;
  Resources Used;
  Resources Cap; ///< An amount of 0 is no limit.
  std::uint64_t WaitingTasks = 0;
  double WeightedShare = 0; ///< Dominant share divided by the weight.
};

/// @brief Volatile scheduling state of the leader of a cell: orders, leases and
/// advice. A new leader rebuilds it from the replicated state and the workers.
struct DispatchState {
  DispatchOptions Options;
  /// Kept while this node does not lead.
  EntryTimes Entries;
  bool IsActive = false; ///< This node leads and dispatches.
  /// The node held its leader lease when it began to apply the current entry.
  /// Without it another node may lead, so no start is sent.
  bool HoldsLease = true;
  Term FencingToken = 0; ///< Term of the leader; see `fencingTokenOf`.
  NodeId Self = 0;
  std::map<WorkerInstanceId, WorkerSession> Sessions;
  std::map<TaskKey, TaskLaunch> Launches;
  std::map<std::uint64_t, OpenOrder> UnansweredOrders;
  std::map<StepKey, StepAdvice> Advice;
  std::map<StepKey, StepTimes> Times;
  std::map<StepKey, StepReservation> Reservations;
  std::map<StepKey, TrialWait> TrialWaits;
  /// Organisations that use something or wait; empty if the configuration has
  /// no organisations.
  std::vector<OrganisationStatus> Organisations;
  /// Organisations that their cap holds back, with the last plan that it did.
  std::map<std::string, Instant> HeldByCapAt;
  /// Number of attempts that were stopped as stalled before any progress, by
  /// task; by the first task for a gang.
  std::map<TaskKey, std::uint32_t> StallsAtStart;
  std::map<NodeId, AdviceNode> Nodes;
  std::map<std::uint64_t, PendingQuery> PendingQueries;
  std::uint64_t NextId = 1;
  /// The state has a step with a tail latency limit, so that a former leader
  /// may have paced tasks.
  bool MayHavePacedTasks = false;
  bool NeedsPlan = false; ///< A change may let tasks start.
  /// Starts are proposed and not yet applied.
  bool HasUncommittedStarts = false;
  PoolBacklog Backlog; ///< Of the last plan; only with admission control.
  /// Launches that the last plan chose to stop.
  std::vector<TaskKey> Preemptions;
  Instant NextPreemptionAt; ///< No launch is chosen to be stopped before.
  /// Steps that had no room in the last plan, with the time since when.
  std::map<StepKey, Instant> BlockedSince;
  Instant LastPlanAt;   ///< Time of the last plan.
  Instant NextPlanAt;   ///< Next plan if nothing changes before.
  Instant NextReviewAt; ///< Next review of all launches.
  Instant NextPurgeAt;  ///< Next purge of old jobs, advice and workers.
  Instant NextTimersAt; ///< Next check of all timeouts.
  /// Workers whose renewals are checked at the end of this step.
  std::set<WorkerInstanceId> TouchedWorkers;
  Instant LastMissAt; ///< When an order last went unanswered.
  std::vector<WorkerCrash> RecentCrashes; ///< Pruned when one is added.
  Instant BeganAt;                        ///< When this node began to dispatch.
  WaitLog Waits; ///< Tasks with nothing running, for the log.
  DispatchCounters Counters;

  /// Output, drained by the node after each step.
  std::vector<WorkerOrder> Orders;
  std::vector<RoutedQuery> OutgoingQueries;
  std::vector<CellCommand> Commands;
  std::vector<std::string> Events;
};

/// @brief Starts dispatching after this node became leader.
/// @param Dispatch The dispatch state; it is reset and then rebuilt from
/// `State`.
/// @param State The replicated state, with all entries of earlier terms
/// applied.
/// @param FencingToken Term of the leader.
/// @param Now Current monotonic time.
void beginDispatch(DispatchState &Dispatch, const CellState &State,
                   Term FencingToken, Instant Now);

/// @brief Resets the dispatch state after this node lost leadership. Options,
/// counters, events and the last order id are kept.
void endDispatch(DispatchState &Dispatch);

/// @brief Updates sessions and launches after a committed command, and sends
/// the starts that it assigned.
/// @param Change Effects of the command on `State`, which already has them.
void onStateChange(DispatchState &Dispatch, const CellState &State,
                   const CellChange &Change, Instant Now);

/// @brief Records a report of the current instance of a worker, and proposes
/// its capacity if that has changed. Reports that arrive out of order are
/// ignored.
void onWorkerReport(DispatchState &Dispatch, WorkerInstanceId Worker,
                    const WorkerReport &Report, Instant Now);

/// @brief Records an answer of the advisor. Answers to expired queries are
/// ignored.
void onAdviceAnswer(DispatchState &Dispatch, const CellState &State,
                    const AdviceAnswer &Answer, Instant Now);

/// @brief Runs due timers: sends orders, expires leases and queries, reviews
/// launches and plans starts.
void stepDispatch(DispatchState &Dispatch, const CellState &State, Instant Now,
                  WallTime WallNow);

/// @brief Why no start may be sent to a worker now.
enum class WorkerExclusion : std::uint8_t {
  None,           ///< Starts may be sent.
  NoSession,      ///< The leader keeps no session for it.
  Unresponsive,   ///< Orders or reports of it are missing.
  LeaseSuspended, ///< It responds, and the log does not yet say so.
  NotReconciled,
  OrphanedStarts, ///< Attempts that were recorded as lost may still run there.
  NoClock,        ///< It has not reported to this leader yet.
  Unannounced,
  Draining,
  Backoff ///< Tasks failed there recently.
};

/// @brief Names of the exclusions, by value.
constexpr std::array<std::string_view, 10>
nameTable(WorkerExclusion /*Exclusion*/) noexcept {
  return {
      "none",           "no-session",      "unresponsive", "lease-suspended",
      "not-reconciled", "orphaned-starts", "no-clock",     "unannounced",
      "draining",       "backoff"};
}

/// @brief Finds the first reason for which no start may be sent to a worker.
[[nodiscard]] WorkerExclusion findExclusion(const DispatchState &Dispatch,
                                            const CellState &State,
                                            WorkerInstanceId Worker,
                                            Instant Now);

/// @brief Tells whether a start may be sent to a worker now.
[[nodiscard]] bool isSchedulable(const DispatchState &Dispatch,
                                 const CellState &State,
                                 WorkerInstanceId Worker, Instant Now);

} // namespace mulberryramp
