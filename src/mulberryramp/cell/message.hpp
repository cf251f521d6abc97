#pragma once

#include "mulberryramp/cell/call.hpp"
#include "mulberryramp/cell/order.hpp"
#include "mulberryramp/replica/message.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// @file
/// @brief Messages between the nodes of a cell, and their encoding. Also
/// encodes log entries and snapshots of the cell state.

namespace mulberryramp {

/// @brief Asks a node for the leader, subscribes to leader changes, and offers
/// this node for queries to the advisor.
struct NodeHello {
  static constexpr auto fields() { return std::make_tuple(); }
};

/// @brief Answers a hello, or notifies a subscriber of a new leader.
struct NodeWelcome {
  NodeId Leader = 0;         ///< 0 if unknown.
  bool IsConfigured = false; ///< The cell has a configuration.
  std::vector<NodeId> Voters;

  static constexpr auto fields() {
    return std::make_tuple(&NodeWelcome::Leader, &NodeWelcome::IsConfigured,
                           &NodeWelcome::Voters);
  }
};

/// @brief A call that a node forwards to the leader.
struct RelayedCall {
  std::uint64_t Id = 0; ///< Id of the call at the sender.
  CellCall Body;

  static constexpr auto fields() {
    return std::make_tuple(&RelayedCall::Id, &RelayedCall::Body);
  }
};

/// @brief Answer to a relayed call.
struct RelayedReply {
  std::uint64_t Id = 0;  ///< Id of the relayed call.
  bool IsLeading = true; ///< If false, the call must be sent to another node.
  bool MayHaveActed = false; ///< The call may have had its effect.
  CellReply Reply;

  static constexpr auto fields() {
    return std::make_tuple(&RelayedReply::Id, &RelayedReply::IsLeading,
                           &RelayedReply::MayHaveActed, &RelayedReply::Reply);
  }
};

using CellBody =
    std::variant<ReplicaMessage, NodeHello, NodeWelcome, RelayedCall,
                 RelayedReply, AdviceQuery, AdviceAnswer>;

/// @brief A message between nodes of a cell.
struct CellMessage {
  NodeId From = 0;
  NodeId To = 0;
  CellBody Body;

  static constexpr auto fields() {
    return std::make_tuple(&CellMessage::From, &CellMessage::To,
                           &CellMessage::Body);
  }
};

/// @brief Encodes a message for the link to another node.
[[nodiscard]] std::string encodeCellMessage(const CellMessage &Message);

/// @brief Decodes a message of another node.
/// @return The message, or nothing if the bytes are malformed.
[[nodiscard]] std::optional<CellMessage>
decodeCellMessage(std::string_view Bytes);

/// @brief Encodes the commands of one log entry.
[[nodiscard]] std::string
encodeCommands(const std::vector<CellCommand> &Commands);

/// @brief Commands of one log entry, encoded.
struct EncodedCommands {
  std::string Data;
  std::size_t Count = 0;
};

/// @brief Encodes commands as one or more log entries, in order.
/// @param MaxBytes Size after which no further command is added to an entry. A
/// single command may be longer.
[[nodiscard]] std::vector<EncodedCommands>
encodeEntries(const std::vector<CellCommand> &Commands, std::size_t MaxBytes);

/// @brief Decodes the commands of one log entry.
/// @return The commands, or nothing if the bytes are malformed.
[[nodiscard]] std::optional<std::vector<CellCommand>>
decodeCommands(std::string_view Bytes);

/// @brief Encodes the state of a cell for a snapshot.
[[nodiscard]] std::string encodeCellState(const CellState &State);

/// @brief Decodes the state of a cell from a snapshot and rebuilds its index.
/// @return The state, or nothing if the bytes are malformed.
[[nodiscard]] std::optional<CellState> decodeCellState(std::string_view Bytes);

} // namespace mulberryramp
