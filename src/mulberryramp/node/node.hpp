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

/// @brief Result of a call of a local caller.
struct LocalResult {
  std::uint64_t CallId = 0;
  CallResult Result;
};

/// @brief Output of a step, to be sent by the caller.
struct NodeOutput {
  std::vector<PeerMessage> Messages;
  std::vector<LocalResult> Results;
  std::vector<CompletedPoll> Polls;
};

/// @brief Counters of a daemon since its start.
struct NodeCounters {
  std::uint64_t MessagesIn = 0;
  std::uint64_t MessagesOut = 0;
  std::uint64_t CallsReceived = 0;
  std::uint64_t CallsForwarded = 0;
  std::uint64_t ForwardRetries = 0;
  std::uint64_t ForwardTimeouts = 0;
  std::uint64_t Saves = 0;
};

/// @brief Logic of one daemon, driven by its caller.
///
/// It uses no clock, socket or thread: the caller passes the time and carries
/// the messages. After a storage error the node must be destroyed.
class Node {
public:
  /// @brief Starts a node.
  /// @param Deployment The settings.
  /// @param Files The data folder, or null on a VM without a disk; must
  /// outlive the node.
  /// @param Incarnation Number of this process instance; larger than that of
  /// any former instance, unless the disk is the same.
  /// @param Seed Seed of the election timeouts and the first forward number.
  /// @param Now Current monotonic time.
  /// @return The node, or the error of its data folder.
  [[nodiscard]] static tl::expected<std::unique_ptr<Node>, StorageError>
  start(const Settings &Deployment, FileSystem *Files,
        std::uint64_t Incarnation, std::uint64_t Seed, Instant Now);

  /// @brief Prepares an empty data folder for the first start of a deployment.
  /// @param Deployment The settings.
  /// @param Files The data folder.
  /// @return Nothing, or the storage error.
  [[nodiscard]] static StorageStatus bootstrap(const Settings &Deployment,
                                               FileSystem &Files);

  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;
  ~Node();

  /// @brief Processes a message from another daemon.
  void receive(const PeerMessage &Message, Instant Now, WallTime WallNow);
  /// @brief Processes a call of a local caller; its result has the same number.
  void call(std::uint64_t CallId, CallRequest Body, Instant Now,
            WallTime WallNow);
  /// @brief Processes a poll of a worker; its reply has the same number.
  void poll(std::uint64_t PollId, const WorkerPoll &Poll, Instant Now,
            WallTime WallNow);
  /// @brief Drops a poll whose connection was closed.
  void cancelPoll(std::uint64_t PollId);

  /// @brief Advances to the given time, persists changes and collects the
  /// output.
  /// @return The output, or the storage error.
  [[nodiscard]] tl::expected<NodeOutput, StorageError> step(Instant Now,
                                                            WallTime WallNow);

  /// @brief Begins the shutdown: transfers leaderships, answers long polls and
  /// rejects new calls.
  void beginShutdown(Instant Now);
  /// @brief Tells whether no forwarded call is open and no leadership transfer
  /// is in progress.
  [[nodiscard]] bool isShutdownComplete() const;

  /// @brief Tells whether callers can be served: the daemon's data centre has a
  /// leader and the node is not shutting down.
  [[nodiscard]] bool isReadyForCallers(Instant Now) const;
  /// @brief Returns the service of the daemon's data centre.
  [[nodiscard]] const CentreService &centre() const;
  /// @brief Returns the active rules of the daemon's data centre.
  [[nodiscard]] const Rules &rules() const;
  /// @brief Returns the rules of the configuration group on this node.
  [[nodiscard]] const RulesState &rulesState() const;
  /// @brief Returns a replica, for status and tests.
  /// @return The replica, or null if the node is not in the group.
  [[nodiscard]] const Replica *replica(const std::string &Group) const;
  /// @brief Returns the counters.
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
/// @return Up to five nodes with disks, an odd number, spread over data centres
/// and regions.
[[nodiscard]] std::set<NodeId> configVoters(const Settings &Deployment);

/// @brief Lists the voters of the group of a data centre: its nodes and its
/// witnesses.
[[nodiscard]] std::set<NodeId> centreVoters(const Settings &Deployment,
                                            const std::string &Centre);

} // namespace mulberryramp
