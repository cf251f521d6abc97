#include "mulberryramp/core/resources.hpp"
#include "mulberryramp/core/table.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

TEST_GROUP(CoreTable){};

TEST(CoreTable, KeepsRowsDenseAfterRemoval) {
  Table<std::string> Rows;
  const auto First = Rows.insert("a");
  const auto Second = Rows.insert("b");
  const auto Third = Rows.insert("c");
  Rows.erase(First);
  CHECK_EQUAL(2U, Rows.size());
  CHECK(Rows[Second] == "b");
  CHECK(Rows[Third] == "c");
}

TEST(CoreTable, OldIdentifierDoesNotNameTheRowThatReusesItsSlot) {
  Table<std::string> Rows;
  const auto Old = Rows.insert("a");
  Rows.erase(Old);
  const auto Fresh = Rows.insert("b");
  CHECK_EQUAL(Old.Slot, Fresh.Slot);
  CHECK_FALSE(Rows.contains(Old));
  POINTERS_EQUAL(nullptr, Rows.find(Old));
}

TEST(CoreTable, ErasingTwiceChangesNothing) {
  Table<std::string> Rows;
  const auto Only = Rows.insert("a");
  Rows.erase(Only);
  Rows.erase(Only);
  CHECK_EQUAL(0U, Rows.size());
}

TEST(CoreTable, NullIdentifierNamesNoRow) {
  const Table<std::string> Rows;
  CHECK_FALSE(Rows.contains({}));
}

TEST(CoreTable, NeedFitsOnlyIfEveryAmountFits) {
  const Resources Room{4000, 1024, 1, 2, 8};
  CHECK(fitsIn({4000, 1024, 1, 2, 8}, Room));
  CHECK_FALSE(fitsIn({4001, 0, 0, 0, 0}, Room));
  CHECK_FALSE(fitsIn({0, 0, 2, 0, 0}, Room));
  CHECK_FALSE(fitsIn({0, 0, 0, 0, 9}, Room));
}
