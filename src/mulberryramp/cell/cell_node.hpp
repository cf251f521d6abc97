#pragma once

#include "mulberryramp/cell/denial_log.hpp"
#include "mulberryramp/cell/dispatcher.hpp"
#include "mulberryramp/cell/relay.hpp"
#include "mulberryramp/node/hosted_group.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// @file
/// @brief One node of a cell: it combines the replica of the log, the dispatch
/// state of the leader and the relay of calls. It uses no clock, socket or
/// disk; its owner passes in times, messages and completed writes, and carries
/// out the output of each step.

namespace mulberryramp {

/// @brief Builds the replica parameters of a cell.
/// @param MaxVoterFailures Number of voters that may be lost at the same time.
[[nodiscard]] ReplicaOptions
makeCellReplicaOptions(std::size_t MaxVoterFailures);

/// @brief Start parameters of a node of a cell.
struct CellNodeOptions {
  NodeId Self = 0;
  std::vector<NodeId> Seeds;        ///< Voters that get the first hellos.
  bool IsVoter = false;             ///< The node stores the log and votes.
  std::uint64_t Incarnation = 0;    ///< Incarnation of the replica member.
  ReplicaOptions ReplicaParameters; ///< Parameters of the replica.
  DispatchOptions Dispatch;
  std::uint64_t Seed = 1; ///< Seed of the random numbers.
  /// A submission is refused if the encoded jobs would be longer; 0: no limit.
  std::uint64_t MaxStateBytes = 0;
};

/// @brief Output of a step, to be carried out by the owner of the node.
struct CellOutput {
  std::vector<CellMessage> Messages;
  std::vector<LocalReply> Replies;
  std::vector<WorkerOrder> Orders;
  std::vector<AdviceQuery> Queries; ///< Queries to the advisor.
  std::optional<PersistBatch>
      Write;                       ///< To be synced; then call `onWriteSynced`.
  std::vector<std::string> Events; ///< Log lines.
};

/// @brief Status of a node for logs and metrics.
struct CellNodeStatus {
  std::string_view Role; ///< Role of the replica, or "relay".
  NodeId Leader = 0;
  Term CurrentTerm = 0;
  LogIndex CommitIndex = 0;
  std::size_t Voters = 0;
  std::uint64_t Configuration = 0;
  std::size_t OrganisationCount = 0; ///< In the active configuration.
  std::size_t Keys = 0;              ///< In the active configuration.
  std::size_t Workers = 0;
  std::size_t Jobs = 0;
  std::size_t Launches = 0;
  std::size_t OpenCalls = 0;
  DispatchCounters Counters;
  std::vector<OrganisationStatus> Organisations; ///< Only on the leader.
};

/// @brief One node of a cell; not safe for concurrent use.
class CellNode final : private GroupState {
public:
  /// @brief Creates a node.
  /// @param Options Start parameters.
  /// @param Stored Stored log and snapshot; only used by a voter.
  /// @param Now Current monotonic time.
  CellNode(const CellNodeOptions &Options, StoredGroup Stored, Instant Now);
  CellNode(const CellNode &) = delete;
  CellNode &operator=(const CellNode &) = delete;
  ~CellNode() override;

  /// @brief Handles a message of another node. Messages with another receiver
  /// are ignored.
  void receive(const CellMessage &Message, Instant Now, WallTime WallNow);

  /// @brief Accepts a call; a later step returns its reply.
  /// @param CallId Id that is returned with the reply.
  void call(std::uint64_t CallId, CellCall Body, Instant Now);

  /// @brief Handles the answer of a worker to an order.
  void onOrderDone(const OrderResult &Result, Instant Now, WallTime WallNow);

  /// @brief Handles the answer of the advisor to a query.
  void onAdviceDone(const AdviceAnswer &Answer, Instant Now);

  /// @brief Confirms that the last write is synced, and releases the messages
  /// that waited for it. Undefined if no write is open.
  void onWriteSynced();

  /// @brief Adds voters that may know the leader.
  void addSeeds(const std::vector<NodeId> &Seeds);

  /// @brief Runs due timers and collects the output since the last step.
  [[nodiscard]] CellOutput step(Instant Now, WallTime WallNow);

  /// @brief Begins the shutdown: transfers leadership and reports not ready.
  void beginShutdown(Instant Now);

  /// @brief Tells whether this node is ready to serve callers.
  [[nodiscard]] bool isReadyForCallers(Instant Now) const;

  /// @brief Tells whether the node leads and holds its lease.
  [[nodiscard]] bool isLeading(Instant Now) const;

  /// @brief Returns the leader, or 0 if none is known.
  [[nodiscard]] NodeId leader() const noexcept;

  /// @brief Returns the status of the node.
  [[nodiscard]] CellNodeStatus status() const;

private:
  /// A call that waits for the commit of its command.
  struct PendingCaller {
    NodeId From = 0;
    std::uint64_t Id = 0;
    /// Recorded once the worker is registered.
    std::optional<WorkerReport> Report;
  };
  /// Part of the status; each change of it is logged.
  struct RoleSnapshot {
    std::string_view Role;
    NodeId Leader = 0;
    Term CurrentTerm = 0;
    std::size_t Voters = 0;
    bool IsReady = false;

    bool operator==(const RoleSnapshot &) const = default;
  };
  /// The node that routed a query to this node, and the id it gave the query.
  struct QueryOrigin {
    NodeId From = 0;
    std::uint64_t Id = 0;
  };

  void onLeadership(const Replica &Member) override;
  void onEntry(const Entry &LogEntry) override;
  void onRestore(const std::string &Data) override;
  [[nodiscard]] std::string snapshotData() const override;

  void onHello(NodeId From, Instant Now);
  void sendWelcome(NodeId From, Instant Now);
  void notifySubscribers(Instant Now);
  void onCall(NodeId From, const RelayedCall &Call, WallTime WallNow);
  void onAdviceQuery(NodeId From, const AdviceQuery &Query);
  void answer(NodeId To, std::uint64_t Id, CellReply Reply);
  void answerCommitted(const PendingCaller &Caller, const CellChange &Change);
  void propose(const PendingCaller &Caller, CellCommand Command);
  void serve(const PendingCaller &Caller, const JobCall &Call,
             WallTime WallNow);
  void serve(const PendingCaller &Caller, const ConfigureCall &Call);
  void serve(const PendingCaller &Caller, const ReadConfigurationCall &Call);
  void serve(const PendingCaller &Caller, const WorkerReportCall &Call,
             WallTime WallNow);
  void serve(const PendingCaller &Caller, const DeregisterWorkerCall &Call);
  /// @param Owner Organisation of the caller; null if the queue needs no key.
  void submitJob(const PendingCaller &Caller, const JobQueue &Queue,
                 const Organisation *Owner, std::string Name,
                 const JobCall &Call, WallTime WallNow);
  /// Refuses a job that admission control turns away.
  bool refuseUnderOverload(const PendingCaller &Caller, const JobQueue &Queue,
                           const std::string &Name, const JobCall &Call,
                           const Organisation *Owner, WallTime WallNow);
  /// Refuses a job with a gang that is larger than the cap, as it cannot run.
  bool refuseOverCap(const PendingCaller &Caller, const std::string &Name,
                     const JobSpec &Spec, const Organisation &Owner);
  void cancelJob(const PendingCaller &Caller, JobId Id, const std::string &Key,
                 WallTime WallNow);
  void logDenial(const DeniedCall &Call);
  [[nodiscard]] std::uint32_t countPending(const JobQueue &Queue) const;
  [[nodiscard]] bool belongsToQueue(JobId Id, const JobQueue &Queue) const;

  void stepGroup(Instant Now, WallTime WallNow);
  void proposePending();
  void dropWaiters();
  void awaitCommit(LogIndex Index, std::size_t First, std::size_t Count);
  void sendReplicaMessages(CellOutput &Output);
  void beginWrite(CellOutput &Output);
  void send(NodeId To, CellBody Body);
  void logRoleChange(Instant Now);

  CellNodeOptions Options;
  CellState State;
  DispatchState Dispatch;
  CallRelay Relay;
  std::optional<HostedGroup> Group;
  Instant CurrentTime; ///< Time of the current step or message.

  std::vector<CellCommand> Proposals; ///< Commands for the next log entry.
  /// Callers of `Proposals`, by position; the leader's own have none.
  std::map<std::size_t, PendingCaller> ProposalWaiters;
  /// Callers that wait for the commit of their command, by the index of its
  /// entry and its position there.
  std::map<std::pair<LogIndex, std::size_t>, PendingCaller> Waiters;
  std::vector<CellMessage> Outbox;
  /// Nodes to notify of a new leader, with the time of their last hello.
  std::map<NodeId, Instant> Subscribers;
  /// Queries that this node sent to the advisor, by its own ids.
  std::map<std::uint64_t, QueryOrigin> ForwardedQueries;
  std::uint64_t NextQueryId = 1;
  std::vector<AdviceQuery> Queries;
  std::vector<std::string> Events;
  DenialLog Denials;

  bool IsWriting = false;
  /// Sent after the current write.
  std::vector<ReplicaMessage> AfterCurrentWrite;
  std::vector<ReplicaMessage> AfterNextWrite; ///< Sent after the next write.
  bool IsShuttingDown = false;
  RoleSnapshot LastRole;
};

} // namespace mulberryramp
