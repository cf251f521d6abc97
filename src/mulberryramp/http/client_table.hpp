#pragma once

#include "mulberryramp/core/fwd.hpp"
#include "mulberryramp/http/limits.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

/// @file
/// @brief Decides which connections of a server are closed when its clients
/// hold too much. It knows no sockets and reads no clock.
///
/// Load that it answers: many clients that send large bodies and stop before
/// their end, never read responses, or only connect.

namespace mulberryramp {

/// @brief Number of a connection; never used again by the same server.
using ClientId = std::uint64_t;

/// @brief What a connection is doing.
enum class ClientPhase : std::uint8_t {
  Idle,      ///< No request, or only a part of its headers.
  Receiving, ///< Its headers are complete, its body is not.
  Waiting,   ///< The request is complete and waits for its response.
  Responding ///< The response is being sent.
};

/// @brief One connection.
struct ClientConnection {
  ClientPhase Phase = ClientPhase::Idle;
  Instant Since;               ///< Begin of the phase.
  std::uint64_t HeldBytes = 0; ///< Bytes of its request and response bodies.
  bool IsClosing = false;      ///< It holds nothing and will be removed.
};

/// @brief The connections of a server. Use the functions below to change it.
struct ClientTable {
  HttpLimits Limits;
  std::unordered_map<ClientId, ClientConnection> Rows;
  std::size_t OpenCount = 0; ///< Rows that are not closing.
  std::uint64_t HeldBytes = 0;
  std::array<std::uint64_t, HttpLimitCount> LimitHits{};
};

/// @brief Adds a connection.
void addClient(ClientTable &Table, ClientId Id, Instant Now);

/// @brief Chooses connections to close because there are
/// `HttpLimits::MaxConnections` and further ones wait to be accepted. Idle ones
/// come first, then those that are receiving, then those that have been
/// responding for longer than `StuckAge`; of each the oldest first.
/// @param Count Maximum number of connections to close.
/// @return The connections to close; empty if all are in use.
[[nodiscard]] std::vector<ClientId>
closeForWaitingClients(ClientTable &Table, std::size_t Count, Instant Now);

/// @brief Removes a connection that has ended.
void removeClient(ClientTable &Table, ClientId Id);

/// @brief Begins a phase of a connection.
void setPhase(ClientTable &Table, ClientId Id, ClientPhase Phase, Instant Now);

/// @brief Result of `makeRoom` and `reserveBytes`.
struct Reservation {
  bool IsGranted = false;
  std::vector<ClientId> ToClose; ///< Connections to close.
};

/// @brief Makes room for the bytes of a connection. If there is too little,
/// other connections with more than `SmallBodyBytes` that have been receiving
/// or responding for longer than `StuckAge` are closed, the longest first.
/// @param For The connection; what it holds counts as free.
/// @return Whether there is room.
[[nodiscard]] Reservation makeRoom(ClientTable &Table, ClientId For,
                                   std::uint64_t Bytes, Instant Now);

/// @brief Changes the bytes that a connection holds, if there is room.
[[nodiscard]] Reservation reserveBytes(ClientTable &Table, ClientId Id,
                                       std::uint64_t Bytes, Instant Now);

/// @brief Releases all bytes that a connection holds.
void releaseBytes(ClientTable &Table, ClientId Id);

/// @brief Returns the connections whose phase has taken too long, to be closed.
[[nodiscard]] std::vector<ClientId> expireClients(ClientTable &Table,
                                                  Instant Now);

/// @brief Marks a connection as closing because of a limit.
/// @return The connection, or nothing if it is closing already.
[[nodiscard]] std::vector<ClientId> closeClient(ClientTable &Table, ClientId Id,
                                                HttpLimit Limit);

/// @brief Counts a request that a limit ended or refused.
void countHit(ClientTable &Table, HttpLimit Limit);

} // namespace mulberryramp
