#pragma once

#include "mulberryramp/cell/fwd.hpp"
#include "mulberryramp/cell/message.hpp"

#include <map>
#include <set>
#include <vector>

namespace mulberryramp {

/// @brief Answer to a call that came in at this node.
struct LocalReply {
  std::uint64_t CallId = 0;
  CellReply Reply;
};

/// @brief Finds the leader and takes the calls of this node there.
///
/// A call whose fate is not known is repeated; all calls are safe to repeat.
class CallRelay {
public:
  /// @brief Makes a relay.
  /// @param Self This node.
  /// @param Seeds Voters to ask first.
  /// @param Now The present moment.
  CallRelay(NodeId Self, const std::vector<NodeId> &Seeds, Instant Now);

  /// @brief Adds nodes that may know the leader.
  void addNodes(const std::vector<NodeId> &Nodes);

  /// @brief Takes a call in.
  void call(std::uint64_t CallId, CellCall Body, Instant Now);

  /// @brief Takes an answer to a greeting in.
  void receive(NodeId From, const NodeWelcome &Welcome, Instant Now);

  /// @brief Takes an answer to a call in.
  void receive(NodeId From, const RelayedReply &Reply, Instant Now);

  /// @brief Notes what the node itself knows of the leader; 0 if nothing.
  void setLeader(NodeId Node, Instant Now);

  /// @brief Greets, sends, repeats and gives up what is due.
  void tick(Instant Now);

  /// @brief Takes the messages that are to be sent.
  [[nodiscard]] std::vector<CellMessage> takeMessages();

  /// @brief Takes the answers to local calls.
  [[nodiscard]] std::vector<LocalReply> takeReplies();

  /// @brief Reads the leader, or 0.
  [[nodiscard]] NodeId leader() const noexcept { return Leader; }

  /// @brief Tells whether a leader with a configuration answered lately.
  [[nodiscard]] bool hasRecentLeader(Instant Now) const noexcept;

  /// @brief Counts the calls without an answer.
  [[nodiscard]] std::size_t openCalls() const noexcept {
    return OpenCalls.size();
  }

private:
  struct OpenCall {
    std::uint64_t CallId = 0;
    CellCall Body;
    Instant ReceivedAt;
    Instant SentAt;
    bool IsSent = false; ///< To the present leader.
    bool EarlierMayHaveActed =
        false; ///< An earlier copy may have had its effect.

    [[nodiscard]] bool mayHaveActed() const noexcept {
      return IsSent || EarlierMayHaveActed;
    }
  };

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
  bool IsConfigured = false;
  Instant NextHelloAt;
  Instant NextFollowerHelloAt;
  Instant LeaderLostAt; ///< Since when there is no leader.
  std::uint64_t NextId = 1;
  std::map<std::uint64_t, OpenCall> OpenCalls;
  std::vector<CellMessage> Outbox;
  std::vector<LocalReply> Replies;
};

} // namespace mulberryramp
