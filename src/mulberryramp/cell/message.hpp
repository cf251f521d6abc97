#pragma once

#include "mulberryramp/cell/call.hpp"
#include "mulberryramp/cell/order.hpp"
#include "mulberryramp/replica/message.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mulberryramp {

/// @brief A node asks who leads, and offers to ask the advisor.
struct NodeHello {
  static constexpr auto fields() { return std::make_tuple(); }
};

/// @brief Answers a greeting.
struct NodeWelcome {
  NodeId Leader = 0; ///< 0: not known.
  bool IsConfigured = false;
  std::vector<NodeId> Voters;

  static constexpr auto fields() {
    return std::make_tuple(&NodeWelcome::Leader, &NodeWelcome::IsConfigured,
                           &NodeWelcome::Voters);
  }
};

/// @brief A call on its way to the leader.
struct RelayedCall {
  std::uint64_t Id = 0;
  CellCall Body;

  static constexpr auto fields() {
    return std::make_tuple(&RelayedCall::Id, &RelayedCall::Body);
  }
};

/// @brief Its answer.
struct RelayedReply {
  std::uint64_t Id = 0;
  bool IsLeading = true;     ///< False: the call has to go to another node.
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

/// @brief Encodes a message.
[[nodiscard]] std::string encodeCellMessage(const CellMessage &Message);

/// @brief Decodes a message.
/// @return The message, or nothing if the bytes are none.
[[nodiscard]] std::optional<CellMessage>
decodeCellMessage(std::string_view Bytes);

/// @brief Encodes the commands of one entry of the log.
[[nodiscard]] std::string
encodeCommands(const std::vector<CellCommand> &Commands);

/// @brief Decodes the commands of one entry of the log.
[[nodiscard]] std::optional<std::vector<CellCommand>>
decodeCommands(std::string_view Bytes);

/// @brief Encodes the state of a cell for a snapshot.
[[nodiscard]] std::string encodeCellState(const CellState &State);

/// @brief Decodes the state of a cell from a snapshot.
[[nodiscard]] std::optional<CellState> decodeCellState(std::string_view Bytes);

} // namespace mulberryramp
