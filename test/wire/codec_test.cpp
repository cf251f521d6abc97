#include "mulberryramp/wire/codec.hpp"

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

/// A record as the first build stored it.
struct FirstRecord {
  std::string Name;
  std::uint32_t Count = 0;

  static constexpr auto fields() {
    return std::make_tuple(&FirstRecord::Name, &FirstRecord::Count);
  }
};

/// The record with a field that a later build added.
struct LaterRecord {
  std::string Name;
  std::uint32_t Count = 0;
  std::uint32_t Added = 7;

  static constexpr std::size_t MandatoryFields = 2;
  static constexpr auto fields() {
    return std::make_tuple(&LaterRecord::Name, &LaterRecord::Count,
                           &LaterRecord::Added);
  }
};

} // namespace

TEST_GROUP(Wire){};

/// Guards against a node refusing its disk after an upgrade.
TEST(Wire, ARecordOfAnOlderBuildKeepsTheDefaultsOfAddedFields) {
  const auto Decoded = decode<std::vector<LaterRecord>>(
      encode(std::vector<FirstRecord>{{"a", 1}, {"b", 2}}));
  CHECK(Decoded.has_value());
  CHECK_EQUAL(2, Decoded->size());
  STRCMP_EQUAL("b", (*Decoded)[1].Name.c_str());
  CHECK_EQUAL(2, (*Decoded)[1].Count);
  CHECK_EQUAL(7, (*Decoded)[1].Added);
}

TEST(Wire, ARecordWithTooFewOrTooManyFieldsIsRejected) {
  CHECK_FALSE(decode<LaterRecord>(encode(std::vector<std::uint32_t>{1})));
  CHECK_FALSE(decode<FirstRecord>(encode(LaterRecord{})));
}
