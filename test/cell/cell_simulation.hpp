#pragma once

#include "cell/cap_schedule.hpp"
#include "cell/cell_state.hpp"
#include "cell/cell_world.hpp"
#include "cell/drain_schedule.hpp"
#include "cell/run_gaps.hpp"
#include "mulberryramp/core/random.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

/// @file
/// @brief One run of a schedule: the simulated cell, its callers and workers,
/// the faults and the invariants.

namespace mulberryramp::test {

/// @brief Simulates the cell of one schedule in virtual time.
class CellSimulation {
public:
  explicit CellSimulation(const CellScheduleOptions &Options);
  CellScheduleResult run();

private:
  [[nodiscard]] std::int64_t sinceStart() const;
  [[nodiscard]] WallTime wallNow() const;
  void recordViolation(const std::string &Text);
  static Resources capacityOf(std::int64_t MilliCpus);
  static CellNodeOptions voterOptions(NodeId Id, std::uint64_t Incarnation,
                                      std::uint64_t Seed);
  void startVoter(NodeId Id, bool IsBootstrapVoter);
  void configure();
  [[nodiscard]] bool hasCaps() const;
  /// Changes the caps; raises them once the faults are over.
  void changeCaps();

  // Faults.

  bool shouldInject(CellFault Kind, std::uint64_t OneIn);
  /// Allows a fault only while no voter is down, paused or partitioned, because
  /// a group of three tolerates one failed voter.
  bool canInjectNodeFault();
  VoterState &randomVoter(NodeId &Id);
  Millis randomDuration(std::int64_t Min, std::int64_t Max);
  void crashVoter(VoterState &Voter, Millis Downtime);
  void freezeVoter(NodeId Id, VoterState &Voter, Millis Time);
  void injectFaults();
  void restartWorker(const std::string &Name, WorkerState &State);
  /// Lets a worker drain, in half of the cases while its registration may not
  /// be committed yet.
  void beginDrain(const std::string &Name, WorkerState &State);
  /// Ends the process of a worker that has left; it starts again later.
  void endDrainedWorker(const std::string &Name);
  void countCrash(const std::string &Worker, const WorkerState &State);
  /// Tells whether no other task or gang was started on a worker within a time.
  bool isOnlySuspect(const TaskName &Task, const WorkerState &State,
                     Millis Window) const;
  /// Tells whether the leader must have counted a crash for the task: it saw
  /// the start, the crash and the return of the worker, and nothing else
  /// happened to any worker at that time.
  bool isCertain(const SoleCrash &Crash) const;
  /// Ends the process of a worker: its connections break, and connections to
  /// its address are refused until it starts again.
  void crashWorker(const std::string &Name, const std::string &Cause);
  void crashIfDue(const std::string &Name, const WorkerState &State);
  void startCrashedWorker(const std::string &Name, WorkerState &State);
  bool isCrashingTask(const TaskName &Task) const;
  bool isCrashingJob(const TrackedJob &Job) const;
  /// Lets the workers grow again whose time is over.
  void restoreCapacities();
  void injectNodeFaults();

  // Series of leader changes, and lost workers.

  /// Tells whether faults are injected for longer than usual.
  bool hasLongFaultPeriod() const;
  void beginLeaderSeries();
  /// Disturbs the leader if its series, or the loss of a worker, asks for it.
  void disturbLeaderIfDue();
  /// Chooses a worker on which a long-running task has just started to be lost,
  /// in half of the cases a young one.
  void planLoss(WorkerState &State);
  void loseDueWorkers();
  void loseWorker(const std::string &Name, WorkerState &State);
  /// Starts the workers that replace lost ones.
  void joinDueWorkers();

  // Callers.

  void issueCalls();
  /// Reads the queue with a key that may be invalid, through the frontend or
  /// through a voter, which may be a former leader.
  void probeKey();
  void checkKey(const std::string &Key, Instant SentAt, CellVerdict Verdict);
  void retryCancels();
  void call(JobVerb Verb, const std::string &Name, const JobSpec &Spec);
  void submit();
  /// Submits a short job of a task for each worker.
  void submitSteady();
  void cancel(const std::string &Name, TrackedJob &Job);
  void onReplies(const std::vector<LocalReply> &Replies);
  void onReply(const OpenCallerCall &Call, const CellReply &Reply);
  /// Checks that a failed job has a task that failed as often as its queue
  /// allows, or that was as often the only one that workers had just started
  /// when they crashed. No other crash may fail a job.
  void checkFailed(const std::string &Name, const TrackedJob &Job);
  /// Tells whether a task of a job ended as failed as often as its queue
  /// allows.
  bool hasFailedEnough(const std::string &Name, const TrackedJob &Job);
  /// Tells whether enough workers crashed under a task of a job that was the
  /// only suspect.
  bool hasCrashedEnough(const std::string &Name, const TrackedJob &Job);
  void checkCompleted(const std::string &Name, const TrackedJob &Job);

  // Messages and orders.

  bool isPartitioned(NodeId Id) const;
  bool isMessageLost();
  void processOutput(NodeId From, std::uint64_t ProcessGeneration,
                     CellOutput Output);
  void deliver();
  void deliverOrders();
  /// Reports that the connection of an order was reset. Whether bytes were sent
  /// before does not show whether the worker executed the order; if none were,
  /// it did not.
  void sendReset(NodeId To, std::uint64_t ProcessGeneration,
                 std::uint64_t Order);
  void sendAnswer(NodeId To, std::uint64_t ProcessGeneration,
                  OrderResult Answer);
  void deliverAnswers();
  void deliverAnswer(NodeId To, std::uint64_t ProcessGeneration,
                     const OrderResult &Answer);

  // Nodes and workers.

  void stepVoter(NodeId Id, VoterState &Voter);
  using GangKey = std::tuple<std::string, std::uint32_t, std::uint32_t>;
  using GangMembers = std::vector<std::pair<FakeWorker *, TaskName>>;
  /// Runs the gangs: the members of an attempt begin work once all of them have
  /// started, and end together.
  void stepGangs();
  void stepGang(const GangKey &Key, const GangMembers &Members);
  void stepWorkers();
  void reportIfDue(const std::string &Name, WorkerState &State);
  void noteReport(WorkerState &State, const WorkerReport &Report);

  // Invariants.

  const StepSpec &stepOf(const TaskName &Task) const;
  void recordEvent(const std::string &Worker, const WorkerEvent &Event);
  void checkStart(const WorkerEvent &Event, const StepSpec &Step,
                  const std::string &Text);
  /// Checks that a task is not started again once enough workers crashed under
  /// it as the only suspect, and that it waits after any other crash.
  void checkStartOfCrashingTask(const WorkerEvent &Event,
                                const std::string &Text);
  /// Checks that the tasks on a worker, with those that are being stopped, need
  /// no more than the largest capacity that a start may still count on.
  void checkCapacityAtStart(const WorkerState &State, const std::string &Text);
  void checkCapAtStart(const std::string &Job);
  /// Checks that no member starts after the end of another member was
  /// acknowledged, and that members of two attempts never run at once.
  void checkGangStart(const WorkerEvent &Event, const StepSpec &Step,
                      const std::string &Text);
  void checkWorkers();
  void checkFinalState();
  /// Tells whether an unfinished job crashes workers, and how its tasks met
  /// crashes.
  std::string describeUnfinished(const std::string &Name,
                                 const TrackedJob &Job) const;
  /// Checks that the tasks of a long-running job run, unless all workers are
  /// full.
  void checkLongRunning(const std::string &Name, const TrackedJob &Job);

  // Times without a run of long-running tasks.

  /// Tells whether a voter can take part in commits.
  bool canServe(const VoterState &Voter) const;
  /// Returns the voter that leads and can serve, or 0.
  NodeId servingLeader() const;
  /// Tells whether the cell is excused from starting tasks: no majority of the
  /// voters can serve, or nobody leads and an election may still be going on
  /// since a voter last failed. A voter that returns excuses nothing.
  bool isCellExcused(NodeId Leader);
  /// Tells whether workers that can be reached have room for two tasks. Workers
  /// that drain, leave or have shrunk are not counted.
  bool hasRoomForLongRunning();
  void checkRunGaps(Millis StepTime);
  void checkRunGap(const RunGap &Gap);
  /// Keeps the last log line on each job and worker for violations.
  void noteEvent(const std::string &Line);
  std::string describeLastEvents(const RunGap &Gap) const;

  CellScheduleOptions Options;
  Random Rng;
  Instant Now{Millis{100000}};
  Instant FaultsEnd{Now +
                    (hasLongFaultPeriod() ? LongFaultPeriod : FaultPeriod)};
  Instant End{Now +
              (Options.Faults.contains(CellFault::CrashingTask)
                   ? ScheduleTimeWithCrashes +
                         (hasLongFaultPeriod() ? LongFaultPeriod - FaultPeriod
                                               : Millis{0})
               : hasLongFaultPeriod() ? LongScheduleTime
               : hasCaps()            ? ScheduleTimeWithCaps
                                      : ScheduleTime)};
  std::map<NodeId, VoterState> VotersById;
  std::map<NodeId, std::uint64_t> ProcessGenerations;
  NodeId NextVoterId = VoterCount + 1;
  std::unique_ptr<CellNode> Frontend;
  std::map<std::string, WorkerState> Workers;
  std::vector<MessageInFlight> Network;
  std::vector<OrderInFlight> Orders;
  std::vector<AnswerInFlight> Answers;
  /// Times by which orders must be answered, by node, process generation and
  /// order.
  std::map<std::tuple<NodeId, std::uint64_t, std::uint64_t>, Instant> Deadlines;
  Instant DelayOrdersUntil;
  Instant LoseMessagesUntil;
  Instant NextNodeFaultAt{Now + Millis{2000}};
  Instant NextReadAt;
  std::map<std::string, TrackedJob> Jobs;
  std::map<std::uint64_t, OpenCallerCall> Calls;
  std::uint64_t NextCall = 1;
  int LongRunningJobs = 0;
  std::uint64_t ConfigureId = 0;
  std::uint64_t ConfigurationVersion = 1;
  CapSchedule Caps{TaskCpus, Options.IsCapTrap};
  bool AreCapsFinal = false;
  DrainSchedule Drains;
  std::optional<KeyWorld> Keys; ///< Set if callers need keys.
  /// Key and time of the open calls that only check a key, by call.
  std::map<std::uint64_t, std::pair<std::string, Instant>> KeyProbes;
  Instant NextKeyProbeAt;
  std::optional<Millis> SteadyInterval; ///< Between steady jobs, if any.
  Instant NextSteadyAt;
  NodeId LastLeader = 0;
  std::map<GangKey, GangAttempt> Gangs;
  std::set<TaskName> DoneTasks;
  std::map<TaskName, Instant> AckedDone;
  std::map<TaskName, std::uint32_t> AckedFailures;
  std::map<TaskName, std::uint32_t> FailedEnds;
  std::size_t CrashingJobs = 0;
  /// Workers that crashed while the task ran there.
  std::map<TaskName, std::uint32_t> Crashes;
  /// Those of them that happened shortly after its start, with no other start.
  std::map<TaskName, std::vector<SoleCrash>> SoleCrashes;
  std::map<TaskName, Instant> LastCrashAt;
  std::vector<Disturbance> Disturbances;
  std::map<std::string, std::uint64_t> TaskCrashesByJob;
  RunGaps LongRunGaps;
  Millis SeriesInterval{0};
  bool IsSeriesOfKills = false; ///< The leader is only ever killed.
  Instant NextLeaderFaultAt;
  std::optional<Instant> LeaderKillAt; ///< Near the loss of a worker.
  Instant NextLossAt;
  bool IsNextLossYoung = true;
  std::vector<Instant> JoinsAt; ///< When workers with new names start.
  std::uint64_t JoinedWorkers = 0;
  std::set<NodeId> ServingVoters;
  Instant ElectionDueAt; ///< The cell is excused until then without a leader.
  /// Last log line on each job and worker, by name, with its time.
  std::map<std::string, std::string> LastEvents;
  CellScheduleResult Result;
};

} // namespace mulberryramp::test
