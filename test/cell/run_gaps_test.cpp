#include "cell/run_gaps.hpp"

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

const TaskName Only{"j", 0, 0, 0};

/// One long-running task, which runs at first.
class GapScenario {
public:
  GapScenario() {
    Facts.Now = Instant{Millis{1000}};
    Facts.StepTime = Millis{100};
    Facts.HasRoom = true;
    Facts.Leader = 1;
    Facts.Wanted = {Only};
    Facts.Runs = {{Only, "w"}};
    stepFor(Millis{100});
    Facts.Runs.clear();
    stepFor(Millis{100});
  }

  void stepFor(Millis Time) {
    for (Millis Passed{0}; Passed < Time; Passed += Facts.StepTime) {
      Facts.Now += Facts.StepTime;
      Gaps.step(Facts);
    }
  }

  [[nodiscard]] Millis counted() const {
    return Gaps.open(Facts.Now).front().Counted;
  }

  RunGapStep Facts;

private:
  RunGaps Gaps;
};

} // namespace

TEST_GROUP(CellRunGaps){};

/// Guards against leader changes that begin the measurement anew.
TEST(CellRunGaps, CountsOverASeriesOfLeaders) {
  GapScenario Scenario;
  for (NodeId Leader = 2; Leader < 5; ++Leader) {
    Scenario.Facts.Leader = 0;
    Scenario.Facts.IsExcused = true;
    Scenario.stepFor(Millis{700});
    Scenario.Facts.Leader = Leader;
    Scenario.Facts.IsExcused = false;
    Scenario.stepFor(Millis{5000});
  }
  CHECK_EQUAL(15000, Scenario.counted().count());
}

/// Guards against violations for time in which nobody could start the task.
TEST(CellRunGaps, CountsOnlyTimeWithRoomAndALeaderThatServes) {
  GapScenario Scenario;
  Scenario.Facts.HasRoom = false;
  Scenario.stepFor(Millis{5000});
  Scenario.Facts.HasRoom = true;
  Scenario.Facts.Leader = 2;
  Scenario.stepFor(MinServiceTime - Millis{500});
  Scenario.Facts.Leader = 3;
  Scenario.stepFor(Millis{3000});
  CHECK_EQUAL(3000, Scenario.counted().count());
}

/// Guards against an election that never ends and is excused.
TEST(CellRunGaps, CountsTimeWithoutLeaderThatIsNotExcused) {
  GapScenario Scenario;
  Scenario.Facts.Leader = 0;
  Scenario.stepFor(Millis{4000});
  CHECK_EQUAL(4000, Scenario.counted().count());
}
