#pragma once

#include "mulberryramp/cell/dispatcher.hpp"
#include "mulberryramp/cell/relay.hpp"
#include "mulberryramp/node/hosted_group.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief What a node of a cell is started with.
struct CellNodeOptions {
  NodeId Self = 0;
  std::vector<NodeId> Seeds; ///< Voters to ask first.
  bool IsVoter = false;      ///< The node keeps the log.
  std::uint64_t Incarnation = 0;
  ReplicaOptions Agreement;
  DispatchOptions Dispatch;
  std::uint64_t Seed = 1; ///< Of random choices.
};

/// @brief What a step asks its owner to do.
struct CellOutput {
  std::vector<CellMessage> Messages;
  std::vector<LocalReply> Replies;
  std::vector<WorkerOrder> Orders;
  std::vector<AdviceQuery> Queries;  ///< For the advisor.
  std::optional<PersistBatch> Write; ///< To be synced; `writeDone` tells when.
  std::vector<std::string> Events;   ///< Lines for the log.
};

/// @brief State of a node for logs and metrics.
struct CellNodeView {
  std::string_view Role; ///< Of the replica, or "relay".
  NodeId Leader = 0;
  Term CurrentTerm = 0;
  LogIndex CommitIndex = 0;
  std::size_t Voters = 0;
  std::uint64_t Configuration = 0;
  std::size_t Workers = 0;
  std::size_t Jobs = 0;
  std::size_t Launches = 0;
  std::size_t OpenCalls = 0;
  DispatchCounters Counters;
};

/// @brief One node of a cell, without clock, socket or disk.
class CellNode final : private GroupState {
public:
  /// @brief Starts a node.
  /// @param Options What it is.
  /// @param Stored Log and snapshot of a voter.
  /// @param Now The present moment.
  CellNode(const CellNodeOptions &Options, StoredGroup Stored, Instant Now);
  CellNode(const CellNode &) = delete;
  CellNode &operator=(const CellNode &) = delete;
  ~CellNode() override;

  /// @brief Takes a message of another node in.
  void receive(const CellMessage &Message, Instant Now, WallTime WallNow);

  /// @brief Takes a call in; its answer comes with a later step.
  void call(std::uint64_t CallId, CellCall Body, Instant Now);

  /// @brief Takes the answer of a worker in.
  void onOrderDone(const OrderResult &Result, Instant Now, WallTime WallNow);

  /// @brief Takes the answer of the advisor in.
  void onAdviceDone(const AdviceAnswer &Answer, Instant Now);

  /// @brief Notes that the last batch is synced.
  void writeDone();

  /// @brief Adds nodes that may know the leader.
  void addSeeds(const std::vector<NodeId> &Seeds);

  /// @brief Does what is due.
  [[nodiscard]] CellOutput step(Instant Now, WallTime WallNow);

  /// @brief Hands leadership over, before the node ends.
  void beginShutdown(Instant Now);

  /// @brief Tells whether callers are served from here.
  [[nodiscard]] bool isReadyForCallers(Instant Now) const;

  /// @brief Tells whether the node leads and holds its lease.
  [[nodiscard]] bool isLeading(Instant Now) const;

  /// @brief Reads the leader, or 0.
  [[nodiscard]] NodeId leader() const noexcept;

  /// @brief Reads what logs and metrics show.
  [[nodiscard]] CellNodeView view() const;

private:
  struct PendingCaller {
    NodeId From = 0;
    std::uint64_t Id = 0;
    std::optional<WorkerReport> Report; ///< Noted once the worker joined.
  };
  /// What of the node is logged when it changes.
  struct RoleSnapshot {
    std::string_view Role;
    NodeId Leader = 0;
    Term CurrentTerm = 0;
    std::size_t Voters = 0;
    bool IsServed = false;

    bool operator==(const RoleSnapshot &) const = default;
  };
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
  void propose(const PendingCaller &For, CellCommand Command);
  void serve(const PendingCaller &For, const JobCall &Call, WallTime WallNow);
  void serve(const PendingCaller &For, const ConfigureCall &Call);
  void serve(const PendingCaller &For, const ReadConfigurationCall &Call);
  void serve(const PendingCaller &For, const WorkerReportCall &Call);
  void serve(const PendingCaller &For, const DeregisterWorkerCall &Call);
  void submitJob(const PendingCaller &For, const JobQueue &Queue,
                 std::string Name, const JobCall &Call, WallTime WallNow);
  void cancelJob(const PendingCaller &For, JobId Id, WallTime WallNow);
  [[nodiscard]] std::uint32_t countPending(const JobQueue &Queue) const;
  [[nodiscard]] bool isOfQueue(JobId Id, const JobQueue &Queue) const;

  void stepGroup(Instant Now, WallTime WallNow);
  void proposeOpen();
  void dropWaiters();
  void sortReplicaMessages(CellOutput &Output);
  void beginWrite(CellOutput &Output);
  void send(NodeId To, CellBody Body);
  void logRoleChange(Instant Now);

  CellNodeOptions Options;
  CellState State;
  DispatchState Dispatch;
  CallRelay Relay;
  std::optional<HostedGroup> Group;
  Instant Clock; ///< Moment of the present step.

  std::vector<CellCommand> Proposals;
  std::vector<PendingCaller> ProposalWaiters;
  std::map<LogIndex, std::vector<PendingCaller>> Waiters;
  std::vector<CellMessage> Outbox;
  std::map<NodeId, Instant> Subscribers; ///< Nodes that greeted, and when.
  std::map<std::uint64_t, QueryOrigin>
      ForwardedQueries; ///< Questions under way here.
  std::uint64_t NextQuestion = 1;
  std::vector<AdviceQuery> Queries;
  std::vector<std::string> Events;

  bool IsWriting = false;
  std::vector<ReplicaMessage>
      AfterCurrentWrite; ///< Go out after the present write.
  std::vector<ReplicaMessage> AfterNextWrite; ///< Go out after the next one.
  bool IsShuttingDown = false;
  RoleSnapshot LastRole;
};

} // namespace mulberryramp
