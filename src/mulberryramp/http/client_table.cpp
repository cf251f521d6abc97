#include "mulberryramp/http/client_table.hpp"

#include <optional>

namespace mulberryramp {

namespace {

/// Marks a connection as closing; what it held is free at once.
void closeRow(ClientTable &Table, ClientConnection &Row) {
  Table.HeldBytes -= Row.HeldBytes;
  Table.OpenCount -= 1;
  Row.HeldBytes = 0;
  Row.IsClosing = true;
}

/// Finds the connection that has been in a phase for the longest time.
template <typename Predicate>
std::optional<ClientId> findOldest(const ClientTable &Table,
                                   const Predicate &IsCandidate) {
  std::optional<ClientId> Oldest;
  Instant OldestSince;
  for (const auto &[Id, Row] : Table.Rows) {
    if (!Row.IsClosing && IsCandidate(Row) &&
        (!Oldest || Row.Since < OldestSince ||
         (Row.Since == OldestSince && Id < *Oldest))) {
      Oldest = Id;
      OldestSince = Row.Since;
    }
  }
  return Oldest;
}

std::uint64_t limitFor(const ClientTable &Table, std::uint64_t Bytes) {
  const std::uint64_t Max = Table.Limits.MaxHeldBytes;
  return Bytes <= SmallBodyBytes ? Max : Max - Max / 4;
}

Millis maxDuration(ClientPhase Phase) {
  switch (Phase) {
  case ClientPhase::Idle:
    return IdleTimeout;
  case ClientPhase::Receiving:
    return RequestTimeout;
  case ClientPhase::Responding:
    return ResponseTimeout;
  case ClientPhase::Waiting:
    break;
  }
  return Millis::max();
}

} // namespace

void addClient(ClientTable &Table, ClientId Id, Instant Now) {
  Table.Rows[Id].Since = Now;
  Table.OpenCount += 1;
}

std::vector<ClientId> closeForWaitingClients(ClientTable &Table,
                                             std::size_t Count, Instant Now) {
  std::vector<ClientId> Closed;
  while (Closed.size() < Count) {
    const auto IsIn = [](ClientPhase Phase) {
      return
          [Phase](const ClientConnection &Row) { return Row.Phase == Phase; };
    };
    auto Victim = findOldest(Table, IsIn(ClientPhase::Idle));
    if (!Victim) {
      Victim = findOldest(Table, IsIn(ClientPhase::Receiving));
    }
    if (!Victim) {
      Victim = findOldest(Table, [Now](const ClientConnection &Row) {
        return Row.Phase == ClientPhase::Responding &&
               Now - Row.Since > StuckAge;
      });
    }
    if (!Victim) {
      break;
    }
    closeRow(Table, Table.Rows[*Victim]);
    countHit(Table, HttpLimit::Connections);
    Closed.push_back(*Victim);
  }
  return Closed;
}

void removeClient(ClientTable &Table, ClientId Id) {
  const auto It = Table.Rows.find(Id);
  if (It == Table.Rows.end()) {
    return;
  }
  Table.HeldBytes -= It->second.HeldBytes;
  Table.OpenCount -= It->second.IsClosing ? 0 : 1;
  Table.Rows.erase(It);
}

void setPhase(ClientTable &Table, ClientId Id, ClientPhase Phase, Instant Now) {
  const auto It = Table.Rows.find(Id);
  if (It != Table.Rows.end()) {
    It->second.Phase = Phase;
    It->second.Since = Now;
  }
}

Reservation makeRoom(ClientTable &Table, ClientId For, std::uint64_t Bytes,
                     Instant Now) {
  Reservation Result;
  const std::uint64_t Limit = limitFor(Table, Bytes);
  const auto Own = Table.Rows.find(For);
  const std::uint64_t OwnBytes =
      Own == Table.Rows.end() ? 0 : Own->second.HeldBytes;
  const auto IsStuck = [&](const ClientConnection &Row) {
    return (Own == Table.Rows.end() || &Row != &Own->second) &&
           Row.HeldBytes > SmallBodyBytes &&
           (Row.Phase == ClientPhase::Receiving ||
            Row.Phase == ClientPhase::Responding) &&
           Now - Row.Since > StuckAge;
  };
  while (Table.HeldBytes - OwnBytes + Bytes > Limit) {
    const auto Victim = findOldest(Table, IsStuck);
    if (!Victim) {
      return Result;
    }
    closeRow(Table, Table.Rows[*Victim]);
    countHit(Table, HttpLimit::Memory);
    Result.ToClose.push_back(*Victim);
  }
  Result.IsGranted = true;
  return Result;
}

Reservation reserveBytes(ClientTable &Table, ClientId Id, std::uint64_t Bytes,
                         Instant Now) {
  const auto It = Table.Rows.find(Id);
  if (It == Table.Rows.end() || It->second.IsClosing) {
    return {};
  }
  Reservation Result = makeRoom(Table, Id, Bytes, Now);
  if (Result.IsGranted) {
    Table.HeldBytes = Table.HeldBytes - It->second.HeldBytes + Bytes;
    It->second.HeldBytes = Bytes;
  }
  return Result;
}

void releaseBytes(ClientTable &Table, ClientId Id) {
  const auto It = Table.Rows.find(Id);
  if (It != Table.Rows.end()) {
    Table.HeldBytes -= It->second.HeldBytes;
    It->second.HeldBytes = 0;
  }
}

std::vector<ClientId> expireClients(ClientTable &Table, Instant Now) {
  std::vector<ClientId> Expired;
  for (auto &[Id, Row] : Table.Rows) {
    if (!Row.IsClosing && Row.Phase != ClientPhase::Waiting &&
        Now - Row.Since > maxDuration(Row.Phase)) {
      // Idle connections are closed in calm as well, which refuses nobody.
      if (Row.Phase != ClientPhase::Idle) {
        countHit(Table, HttpLimit::Time);
      }
      Expired.push_back(Id);
    }
  }
  for (const ClientId Id : Expired) {
    closeRow(Table, Table.Rows[Id]);
  }
  return Expired;
}

std::vector<ClientId> closeClient(ClientTable &Table, ClientId Id,
                                  HttpLimit Limit) {
  const auto It = Table.Rows.find(Id);
  if (It == Table.Rows.end() || It->second.IsClosing) {
    return {};
  }
  closeRow(Table, It->second);
  countHit(Table, Limit);
  return {Id};
}

void countHit(ClientTable &Table, HttpLimit Limit) {
  Table.LimitHits[static_cast<std::size_t>(Limit)] += 1;
}

} // namespace mulberryramp
