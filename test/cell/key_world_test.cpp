#include "cell/cell_world.hpp"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp::test;

namespace {

/// @brief Runs some schedules that change keys while voters fail.
/// @return Number of violations that contain a text.
std::size_t countViolations(KeyTrap Trap, const std::string &Text) {
  std::size_t Count = 0;
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
    CellScheduleOptions Options;
    Options.Seed = Seed;
    Options.Faults = {CellFault::ChangeKeys, CellFault::PartitionNode,
                      CellFault::FreezeNode};
    Options.Trap = Trap;
    const CellScheduleResult Result = runCellSchedule(Options);
    Count += static_cast<std::size_t>(
        std::count_if(Result.Violations.begin(), Result.Violations.end(),
                      [&Text](const std::string &Violation) {
                        return Violation.find(Text) != std::string::npos;
                      }));
    CHECK(Result.KeyChecks > 0);
  }
  return Count;
}

} // namespace

TEST_GROUP(CellKeyWorld){};

TEST(CellKeyWorld, AnIntactCellViolatesNoInvariant) {
  CHECK_EQUAL(0, countViolations(KeyTrap::None, ""));
}

/// Guards against an invariant that cannot fail.
TEST(CellKeyWorld, AKeyThatStaysValidAfterItsRemovalIsReported) {
  CHECK(countViolations(KeyTrap::IgnoresRemovals, "with the removed key") > 0);
}

/// Guards against an invariant that cannot fail.
TEST(CellKeyWorld, AnAddedKeyThatStaysInvalidIsReported) {
  CHECK(countViolations(KeyTrap::IgnoresAdditions, "with the valid key") > 0);
}
