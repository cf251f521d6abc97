#pragma once

#include "mulberryramp/config/settings.hpp"
#include "mulberryramp/node/call.hpp"
#include "mulberryramp/node/centre_service.hpp"
#include "mulberryramp/storage/file_system.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief Result of a caller's call.
struct LocalResult {
  std::uint64_t CallId = 0;
  CallResult Result;
};

/// @brief Everything that a step wants sent.
struct NodeOutput {
  std::vector<PeerMessage> Messages;
  std::vector<LocalResult> Results;
  std::vector<CompletedPoll> Polls;
};

/// @brief Counters of a daemon since its start.
struct NodeCounters {
  std::uint64_t MessagesIn = 0;
  std::uint64_t MessagesOut = 0;
  std::uint64_t CallsTaken = 0;
  std::uint64_t CallsForwarded = 0;
  std::uint64_t ForwardRetries = 0;
  std::uint64_t ForwardTimeouts = 0;
  std::uint64_t Saves = 0;
};

/// @brief All decisions of one daemon, stepped from outside.
///
/// No clock, socket or thread: the caller brings the time and carries the
/// messages. After a storage error the node must be dropped.
class Node {
public:
  /// @brief Starts a node.
  /// @param Deployment The settings.
  /// @param Files The data folder, or null on a VM without a disk; has to
  /// outlive the node.
  /// @param Incarnation Number of this life; larger than that of any former
  /// life, unless the disk is the same.
  /// @param Seed Seed of the election times.
  /// @param Now The present moment.
  /// @return The node, or why its disk cannot be used.
  [[nodiscard]] static tl::expected<std::unique_ptr<Node>, StorageError>
  start(const Settings &Deployment, FileSystem *Files,
        std::uint64_t Incarnation, std::uint64_t Seed, Instant Now);

  /// @brief Prepares an empty data folder for the first start of a deployment.
  /// @param Deployment The settings.
  /// @param Files The data folder.
  /// @return Nothing, or why it could not be prepared.
  [[nodiscard]] static StorageStatus bootstrap(const Settings &Deployment,
                                               FileSystem &Files);

  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;
  ~Node();

  /// @brief Takes a message from another daemon.
  void receive(const PeerMessage &Message, Instant Now, WallTime WallNow);
  /// @brief Takes a call of a caller; its result bears the same number.
  void call(std::uint64_t CallId, CallRequest Body, Instant Now,
            WallTime WallNow);
  /// @brief Takes a poll of a worker; its answer bears the same number.
  void poll(std::uint64_t PollId, const WorkerPoll &Poll, Instant Now,
            WallTime WallNow);
  /// @brief Drops a poll whose connection is gone.
  void cancelPoll(std::uint64_t PollId);

  /// @brief Lets time pass, syncs, and collects what is to be sent.
  /// @return The output, or why the disk failed.
  [[nodiscard]] tl::expected<NodeOutput, StorageError> step(Instant Now,
                                                            WallTime WallNow);

  /// @brief Begins to leave: hands leadership on and answers long polls.
  void beginShutdown(Instant Now);
  /// @brief Tells whether nothing waits for this node any longer.
  [[nodiscard]] bool isShutdownComplete() const;

  /// @brief Tells whether callers are served: the data centre has a leader.
  [[nodiscard]] bool isReadyForCallers(Instant Now) const;
  /// @brief Reads the ledger of the own data centre.
  [[nodiscard]] const CentreService &centre() const;
  /// @brief Reads the rules in force here.
  [[nodiscard]] const Rules &rules() const;
  /// @brief Reads the replicated rules here.
  [[nodiscard]] const RulesState &rulesState() const;
  /// @brief Reads a replica, for status and tests.
  /// @return The replica, or null if the node is not in the group.
  [[nodiscard]] const Replica *replica(const std::string &Group) const;
  /// @brief Reads the counters.
  [[nodiscard]] const NodeCounters &counters() const;
  /// @brief Describes the groups of this node.
  [[nodiscard]] std::vector<GroupInfo> groups(Instant Now) const;

private:
  struct Impl;
  explicit Node(std::unique_ptr<Impl> Pimpl);

  std::unique_ptr<Impl> Pimpl;
};

/// @brief Name of the configuration group.
inline constexpr const char *ConfigGroup = "config";

/// @brief Chooses the voters of the configuration group.
/// @param Deployment The settings.
/// @return Up to five nodes with disks, over regions and data centres.
[[nodiscard]] std::set<NodeId> configVoters(const Settings &Deployment);

/// @brief Lists the nodes that vote in the group of a data centre.
[[nodiscard]] std::set<NodeId> centreVoters(const Settings &Deployment,
                                            const std::string &Centre);

} // namespace mulberryramp
