#include "mulberryramp/core/resources.hpp"
#include "mulberryramp/core/table.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

TEST_GROUP(CoreTable){};

TEST(CoreTable, IdentifiersStayValidAfterAnotherRowIsErased) {
  Table<std::string> Rows;
  const auto First = Rows.insert("a");
  const auto Second = Rows.insert("b");
  const auto Third = Rows.insert("c");
  Rows.erase(First);
  CHECK_EQUAL(2U, Rows.size());
  CHECK(Rows[Second] == "b");
  CHECK(Rows[Third] == "c");
}

/// Each reuse of a slot gets a new version.
TEST(CoreTable, StaleIdentifierDoesNotMatchTheRowThatReusesItsSlot) {
  Table<std::string> Rows;
  const auto Stale = Rows.insert("a");
  Rows.erase(Stale);
  const auto Reused = Rows.insert("b");
  CHECK_EQUAL(Stale.Slot, Reused.Slot);
  CHECK_FALSE(Rows.contains(Stale));
  POINTERS_EQUAL(nullptr, Rows.find(Stale));
}

TEST(CoreTable, ErasingTwiceChangesNothing) {
  Table<std::string> Rows;
  const auto Row = Rows.insert("a");
  Rows.erase(Row);
  Rows.erase(Row);
  CHECK_EQUAL(0U, Rows.size());
}

TEST(CoreTable, NullIdentifierMatchesNoRow) {
  const Table<std::string> Rows;
  CHECK_FALSE(Rows.contains({}));
}

TEST(CoreTable, ResourcesFitOnlyIfEveryAmountFits) {
  const Resources Available{4000, 1024, 1, 2, 8};
  CHECK(fitsIn({4000, 1024, 1, 2, 8}, Available));
  CHECK_FALSE(fitsIn({4001, 0, 0, 0, 0}, Available));
  CHECK_FALSE(fitsIn({0, 0, 2, 0, 0}, Available));
  CHECK_FALSE(fitsIn({0, 0, 0, 0, 9}, Available));
}
