#include "mulberryramp/http/client_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

constexpr std::uint64_t KiB = 1024;
constexpr std::uint64_t MaxHeldBytes = 400 * KiB;

Instant at(std::int64_t Ms) { return Instant{Millis{Ms}}; }

ClientTable makeTable(std::size_t MaxConnections) {
  ClientTable Table;
  Table.Limits = {MaxConnections, MaxHeldBytes};
  return Table;
}

void add(ClientTable &Table, ClientId Id, ClientPhase Phase, Instant Now) {
  addClient(Table, Id, Now);
  setPhase(Table, Id, Phase, Now);
}

bool reserve(ClientTable &Table, ClientId Id, std::uint64_t Bytes,
             Instant Now) {
  return reserveBytes(Table, Id, Bytes, Now).IsGranted;
}

} // namespace

TEST_GROUP(HttpClients){};

/// Load pattern: connections that send nothing. The process must keep its
/// descriptors, and a new client is served.
TEST(HttpClients, TheLongestIdleConnectionGivesWayToANewOne) {
  ClientTable Table = makeTable(3);
  add(Table, 1, ClientPhase::Receiving, at(0));
  add(Table, 2, ClientPhase::Idle, at(20));
  add(Table, 3, ClientPhase::Idle, at(10));
  const auto Closed = closeForWaitingClients(Table, 2, at(30));
  CHECK_EQUAL(2U, Closed.size());
  CHECK_EQUAL(3U, Closed[0]);
  CHECK_EQUAL(2U, Closed[1]);
  CHECK_EQUAL(1U, Table.OpenCount);
}

TEST(HttpClients, WithoutAnIdleOneTheLongestIncompleteRequestGivesWay) {
  ClientTable Table = makeTable(3);
  add(Table, 1, ClientPhase::Waiting, at(0));
  add(Table, 2, ClientPhase::Receiving, at(20));
  add(Table, 3, ClientPhase::Receiving, at(10));
  CHECK_EQUAL(3U, closeForWaitingClients(Table, 1, at(30)).front());
}

TEST(HttpClients, CompleteRequestsDoNotGiveWay) {
  ClientTable Table = makeTable(2);
  add(Table, 1, ClientPhase::Waiting, at(0));
  add(Table, 2, ClientPhase::Responding, at(0));
  CHECK(closeForWaitingClients(Table, 1, at(10)).empty());
}

TEST(HttpClients, AClientThatDoesNotReadItsResponseGivesWay) {
  ClientTable Table = makeTable(2);
  add(Table, 1, ClientPhase::Waiting, at(0));
  add(Table, 2, ClientPhase::Responding, at(0));
  CHECK_EQUAL(
      2U, closeForWaitingClients(Table, 2, at(StuckAge.count() + 1)).front());
  CHECK_EQUAL(1U, Table.OpenCount);
}

TEST(HttpClients, AClosingConnectionIsNotClosedTwice) {
  ClientTable Table = makeTable(1);
  add(Table, 1, ClientPhase::Idle, at(0));
  CHECK_EQUAL(1U, closeForWaitingClients(Table, 5, at(10)).size());
  CHECK(closeForWaitingClients(Table, 5, at(10)).empty());
  CHECK(closeClient(Table, 1, HttpLimit::Memory).empty());
  removeClient(Table, 1);
  CHECK_EQUAL(0U, Table.OpenCount);
}

/// Load pattern: large bodies that stop before their end.
TEST(HttpClients, ABodyThatIsStuckGivesWayToACompleteOne) {
  ClientTable Table = makeTable(10);
  add(Table, 1, ClientPhase::Receiving, at(0));
  add(Table, 2, ClientPhase::Receiving, at(100));
  CHECK(reserve(Table, 1, 150 * KiB, at(0)));
  CHECK(reserve(Table, 2, 150 * KiB, at(100)));
  add(Table, 3, ClientPhase::Receiving, at(1200));
  const Reservation Room = reserveBytes(Table, 3, 100 * KiB, at(1200));
  CHECK(Room.IsGranted);
  CHECK_EQUAL(1U, Room.ToClose.size());
  CHECK_EQUAL(1U, Room.ToClose.front());
  CHECK_EQUAL(250 * KiB, Table.HeldBytes);
}

/// Several ordinary large requests at the same time: the first ones are not
/// closed in favour of later ones.
TEST(HttpClients, ABodyThatIsBeingSentDoesNotGiveWay) {
  ClientTable Table = makeTable(10);
  add(Table, 1, ClientPhase::Receiving, at(0));
  CHECK(reserve(Table, 1, 250 * KiB, at(0)));
  add(Table, 2, ClientPhase::Receiving, at(900));
  CHECK(!reserve(Table, 2, 100 * KiB, at(900)));
  CHECK_EQUAL(250 * KiB, Table.HeldBytes);
}

TEST(HttpClients, TheLastQuarterIsKeptForSmallBodies) {
  ClientTable Table = makeTable(10);
  add(Table, 1, ClientPhase::Receiving, at(0));
  add(Table, 2, ClientPhase::Receiving, at(0));
  CHECK(reserve(Table, 1, 300 * KiB, at(0)));
  CHECK(!reserve(Table, 2, SmallBodyBytes + 1, at(0)));
  CHECK(reserve(Table, 2, SmallBodyBytes, at(0)));
}

TEST(HttpClients, RequestsThatWaitForTheirResponseKeepTheirBytes) {
  ClientTable Table = makeTable(10);
  add(Table, 1, ClientPhase::Receiving, at(0));
  CHECK(reserve(Table, 1, 300 * KiB, at(0)));
  setPhase(Table, 1, ClientPhase::Waiting, at(0));
  add(Table, 2, ClientPhase::Receiving, at(5000));
  CHECK(!reserve(Table, 2, 100 * KiB, at(5000)));
  releaseBytes(Table, 1);
  CHECK(reserve(Table, 2, 100 * KiB, at(5000)));
}

TEST(HttpClients, AnUnreadResponseGivesWay) {
  ClientTable Table = makeTable(10);
  add(Table, 1, ClientPhase::Responding, at(0));
  CHECK(reserve(Table, 1, 300 * KiB, at(0)));
  const Reservation Room = makeRoom(Table, 0, 200 * KiB, at(1500));
  CHECK(Room.IsGranted);
  CHECK_EQUAL(1U, Room.ToClose.front());
}

/// Load pattern: a byte every now and then, which renews an idle time-out.
TEST(HttpClients, APhaseThatTakesTooLongEnds) {
  ClientTable Table = makeTable(10);
  add(Table, 1, ClientPhase::Receiving, at(0));
  add(Table, 2, ClientPhase::Waiting, at(0));
  add(Table, 3, ClientPhase::Idle, at(0));
  CHECK(expireClients(Table, at(RequestTimeout.count())).empty());
  CHECK_EQUAL(1U, expireClients(Table, at(RequestTimeout.count() + 1)).size());
  CHECK_EQUAL(1U, expireClients(Table, at(IdleTimeout.count() + 1)).size());
  CHECK_EQUAL(1U, Table.OpenCount);
  CHECK_EQUAL(1U, Table.LimitHits[static_cast<std::size_t>(HttpLimit::Time)]);
}
