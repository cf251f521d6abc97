#pragma once

#include "cell/fake_worker.hpp"
#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/storage/group_store.hpp"
#include "support/memory_files.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// @file
/// @brief State of the voters, workers, messages and jobs of a simulated cell.

namespace mulberryramp::test {

/// New faults are injected until then.
inline constexpr Millis FaultPeriod{16000};
/// Duration of a schedule. All faults end before, and all jobs have to be
/// finished by then.
inline constexpr Millis ScheduleTime{45000};
/// Period of new faults with a series of leader changes or with lost workers:
/// at least six changes 10 s apart, and time in which workers are no longer
/// young.
inline constexpr Millis LongFaultPeriod{65000};
/// Duration of a schedule with a long period of faults.
inline constexpr Millis LongScheduleTime{LongFaultPeriod +
                                         (ScheduleTime - FaultPeriod)};
/// Duration of a schedule with tasks that crash workers. Each crash takes a
/// worker away for up to 5 s, until three jobs with five crashes are given up.
/// Crashes that coincide count for none of them, and each further trial of a
/// job waits for up to 30 s.
inline constexpr Millis ScheduleTimeWithCrashes{
    ScheduleTime + Millis{3 * 5 * 5000} + Millis{3 * 35000}};
/// Duration of a schedule with caps, which has twice as many jobs.
inline constexpr Millis ScheduleTimeWithCaps{ScheduleTime + Millis{30000}};
inline constexpr Millis ReportInterval{500};
inline constexpr NodeId VoterCount = 3;
inline constexpr NodeId FrontendId = 100;
inline constexpr int WorkerCount = 4;
inline constexpr std::uint32_t MaxAttempts = 3;
inline constexpr std::int64_t TaskCpus = 1000;
/// Crashes within `CrashWindow` of the start of a task, as the only suspect,
/// after which it may be given up.
inline constexpr std::uint32_t MinSoleCrashesToGiveUp =
    std::max(2U, MaxAttempts);
inline constexpr std::int64_t WorkerCpus = 4 * TaskCpus;

struct VoterState {
  MemoryFiles Files;
  std::optional<GroupStore> Store;
  std::unique_ptr<CellNode> Node;
  std::uint64_t Incarnation = 1;
  std::optional<PersistBatch> PendingWrite;
  Instant WriteEndsAt;
  Instant PausedUntil;
  Instant FrozenUntil; ///< Messages to it arrive then.
  Instant DownUntil;
  Instant PartitionedUntil;
  Instant DiskStalledUntil;
  Instant StopsAt; ///< When its process ends after a hand-over, if it is set.
  bool IsGone = false;
};

struct MessageInFlight {
  Instant DeliverAt;
  CellMessage Message;
};

struct OrderInFlight {
  Instant DeliverAt;
  NodeId From = 0;
  std::uint64_t ProcessGeneration = 0; ///< Of the sending node.
  std::string Worker;
  WorkerOrder Order;
  bool IsAnswered = true; ///< False for a delayed order.
  /// The connection is reset after the order was executed.
  bool LosesAnswer = false;
  /// Generation of the worker process when the order was sent.
  std::uint64_t WorkerGeneration = 0;
};

struct AnswerInFlight {
  Instant DeliverAt;
  NodeId To = 0;
  std::uint64_t ProcessGeneration = 0;
  OrderResult Result;
};

struct WorkerState {
  std::unique_ptr<FakeWorker> Worker;
  Instant PartitionedUntil;
  Instant DownUntil; ///< The process has crashed and starts again then.
  bool IsDown = false;
  Instant StartedAt;             ///< When its process last started.
  std::optional<Instant> DiesAt; ///< Set if the worker is about to be lost.
  bool IsLost = false;           ///< It is down for good, or for 60 s.
  Instant ResetUntil;            ///< Its connections are reset until then.
  /// Times until which single nodes exchange nothing with this worker.
  std::map<NodeId, Instant> PathsCutUntil;
  Instant ReportAt;
  Instant ShrunkUntil;
  std::vector<std::pair<Instant, std::int64_t>>
      ReportedCpus; ///< Each reported capacity, with the first such report.
  std::uint64_t ProcessGeneration = 0;
  std::uint64_t SeenGeneration = 0; ///< At the last check of the room.
  Instant RoomSince;                ///< Its room counts from then on.
  /// Generation of this worker that last answered each process of a node. The
  /// open connections of that process lead to it.
  std::map<std::pair<NodeId, std::uint64_t>, std::uint64_t> ConnectedGeneration;
  /// Node and process generation that wait for an answer, by order.
  std::map<std::uint64_t, std::pair<NodeId, std::uint64_t>> PendingRenewals;
};

/// A crash of a worker, a time without its orders and answers, or a change of
/// the leader, which has no worker.
struct Disturbance {
  Instant Begin;
  Instant End;
  std::string Worker;
  bool IsCrash = false;
};

/// Crash of a worker that had just started one task or gang only.
struct SoleCrash {
  std::string Worker;
  Instant StartedAt; ///< Earliest possible time of the start.
  Instant At;
  bool IsClear = false; ///< No other start was near the limit of the window.
};

/// One attempt of a gang, as its workers see it.
struct GangAttempt {
  Instant FirstSeenAt;
  std::optional<Instant> DoneAt; ///< Set once all members have started.
};

struct TrackedJob {
  JobSpec Spec;
  bool IsAccepted = false;
  bool IsCancelSent = false;
  std::optional<Instant> CancelledAt;
  std::optional<JobPhase> Phase;
  Instant PhaseReadAt; ///< When `Phase` was received.
};

/// A call of a caller without a reply.
struct OpenCallerCall {
  JobVerb Verb = JobVerb::Read;
  std::string Job;
  Instant SentAt;
};

} // namespace mulberryramp::test
