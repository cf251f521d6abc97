#include "mulberryramp/core/finding.hpp"
#include "mulberryramp/core/json_shape.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace mulberryramp;

namespace {

std::string repeat(const std::string &Unit, std::size_t Count) {
  std::string Text;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Text += Unit;
  }
  return Text;
}

} // namespace

TEST_GROUP(CoreJsonShape){};

/// Load pattern: bodies of legal size whose values take a multiple of it.
TEST(CoreJsonShape, ATextWithTooManyValuesIsRejected) {
  CHECK(checkJsonShape("[0" + repeat(",0", MaxJsonValues - 2) + "]") ==
        JsonShape::Accepted);
  CHECK(checkJsonShape("[0" + repeat(",0", MaxJsonValues) + "]") ==
        JsonShape::TooManyValues);
  CHECK(checkJsonShape("[[]" + repeat(",[]", MaxJsonValues) + "]") ==
        JsonShape::TooManyValues);
}

TEST(CoreJsonShape, BracketsAndCommasInTextsDoNotCount) {
  CHECK(checkJsonShape("{\"a\":\"" + repeat("\\\"[,{", MaxJsonValues) +
                       "\"}") == JsonShape::Accepted);
}

TEST(CoreJsonShape, ATextThatIsNestedTooDeeplyIsRejected) {
  CHECK(checkJsonShape(std::string(MaxJsonDepth, '[')) == JsonShape::Accepted);
  CHECK(checkJsonShape(std::string(MaxJsonDepth + 1, '[')) ==
        JsonShape::TooDeep);
}

/// A body of legal size may have an error in each of its values.
TEST(CoreJsonShape, FindingsBeyondTheMaximumAreCounted) {
  Findings Report;
  for (std::size_t Index = 0; Index < MaxFindings + 7; ++Index) {
    Report.add({"body", 0, 0, "wrong"});
  }
  CHECK_EQUAL(MaxFindings, Report.items().size());
  CHECK(Report.render().ends_with("\n7 further errors\n"));
}
