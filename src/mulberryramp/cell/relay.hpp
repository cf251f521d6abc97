#pragma once

#include "mulberryramp/cell/fwd.hpp"
#include "mulberryramp/cell/message.hpp"

#include <map>
#include <set>
#include <vector>

/// @file
/// @brief Relay of calls from any node of a cell to its leader. It uses no
/// clock and sends nothing itself; its owner takes the messages and replies.

namespace mulberryramp {

/// @brief Reply to a call that was received by this node.
struct LocalReply {
  std::uint64_t CallId = 0; ///< Id that was given to `CallRelay::call`.
  CellReply Reply;
};

/// @brief Discovers the leader and forwards the calls of this node to it.
///
/// A call without an answer is sent again, as all calls are idempotent. If its
/// timeout expires, the reply is `Refused` if the call had no effect, and
/// `Unknown` if it may have had one.
class CallRelay {
public:
  /// @brief Creates a relay without a leader.
  /// @param Self Id of this node.
  /// @param Seeds Voters that get the first hellos.
  /// @param Now Current monotonic time.
  /// @param FirstId Id of the first forwarded call. It has to differ from
  /// process to process: otherwise a late reply to a call of the previous
  /// process of this node would answer a call of this one.
  CallRelay(NodeId Self, const std::vector<NodeId> &Seeds, Instant Now,
            std::uint64_t FirstId);

  /// @brief Adds nodes that may know the leader.
  void addNodes(const std::vector<NodeId> &Nodes);

  /// @brief Accepts a local call and forwards it to the leader, if one is
  /// known.
  /// @param CallId Id that is returned with the reply.
  void call(std::uint64_t CallId, CellCall Body, Instant Now);

  /// @brief Handles the answer to a hello, or the notification of a new leader.
  void receive(NodeId From, const NodeWelcome &Welcome, Instant Now);

  /// @brief Handles the answer to a forwarded call.
  void receive(NodeId From, const RelayedReply &Reply, Instant Now);

  /// @brief Sets the leader and resends the open calls to it if it changed.
  /// @param Node The leader; 0 has no effect.
  /// @param Now Time of the last contact with the leader.
  void setLeader(NodeId Node, Instant Now);

  /// @brief Runs due timers: sends hellos, resends open calls and ends expired
  /// ones.
  void tick(Instant Now);

  /// @brief Moves out the messages to send.
  [[nodiscard]] std::vector<CellMessage> drainMessages();

  /// @brief Moves out the replies to local calls.
  [[nodiscard]] std::vector<LocalReply> drainReplies();

  /// @brief Returns the leader, or 0 if none is known.
  [[nodiscard]] NodeId leader() const noexcept { return Leader; }

  /// @brief Tells whether there was contact with a leader within
  /// `ReadinessTimeout` and the cell has a configuration.
  [[nodiscard]] bool hasRecentLeader(Instant Now) const noexcept;

  /// @brief Returns the number of calls without a reply.
  [[nodiscard]] std::size_t openCalls() const noexcept {
    return OpenCalls.size();
  }

private:
  struct OpenCall {
    std::uint64_t CallId = 0;
    CellCall Body;
    Instant ReceivedAt;
    Instant SentAt;
    bool IsSent = false; ///< Sent to the current leader.
    /// A call sent earlier may have had its effect.
    bool EarlierMayHaveActed = false;

    [[nodiscard]] bool mayHaveActed() const noexcept {
      return IsSent || EarlierMayHaveActed;
    }
  };

  /// Tells whether a reply denies a submission or a cancel that was sent before
  /// and may have taken effect then.
  static bool isContradicted(const OpenCall &Call, const CellReply &Reply);

  void send(NodeId To, CellBody Body);
  void submit(std::uint64_t Id, OpenCall &Call, Instant Now);
  void finish(std::uint64_t Id, CellReply Reply);
  void sendHellos(Instant Now);
  void clearLeader(Instant Now);
  [[nodiscard]] bool isExpired(const OpenCall &Call, Instant Now) const;

  NodeId Self;
  std::set<NodeId> KnownNodes;
  NodeId Leader = 0;
  Instant LastLeaderContactAt;
  bool IsConfigured = false; ///< The leader has a configuration.
  Instant NextHelloAt;
  Instant NextFollowerHelloAt;
  Instant LeaderLostAt; ///< When the leader was lost; the start time at first.
  std::uint64_t NextId;
  std::map<std::uint64_t, OpenCall> OpenCalls;
  std::vector<CellMessage> Outbox;
  std::vector<LocalReply> Replies;
};

} // namespace mulberryramp
