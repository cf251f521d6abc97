#include "replay.hpp"

#include <fstream>
#include <iterator>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::bench;

namespace {

constexpr std::int64_t UrgentStartMs = 2300;
constexpr std::int64_t QuietTeamMs = 5000;
constexpr double WaitingPart = 0.7;

struct Replayed {
  ReplayResult Ours;
  ReplayResult Base;
};

Replayed replayFile(const std::string &Name) {
  std::ifstream Source{std::string{TRACE_FOLDER} + "/" + Name + ".trace"};
  const std::string Text{std::istreambuf_iterator<char>{Source}, {}};
  const auto Recorded = parseTrace(Name, Text);
  CHECK_TEXT(Recorded.has_value(), Name.c_str());
  const Rules ActiveRules = benchRules();
  return {replay(*Recorded, ActiveRules, {}),
          replay(*Recorded, ActiveRules, baselineOptions())};
}

void checkSound(const ReplayResult &Result) {
  CHECK_EQUAL(0U, Result.Overcommits);
  CHECK_EQUAL(0U, Result.Unfinished);
  CHECK_EQUAL(0U, Result.Failed);
  const auto Urgent = Result.WaitMsByClass.find("urgent");
  if (Urgent != Result.WaitMsByClass.end()) {
    CHECK(percentile(Urgent->second, 100) <= UrgentStartMs);
  }
}

} // namespace

TEST_GROUP(TraceReplay){};

TEST(TraceReplay, RushBeforeMaghribStartsUrgentWorkAndWaitsLess) {
  const Replayed Both = replayFile("maghrib");
  checkSound(Both.Ours);
  CHECK(Both.Ours.MeanWaitMs <= WaitingPart * Both.Base.MeanWaitMs);
  CHECK(Both.Ours.MeanUtilization >= Both.Base.MeanUtilization);
}

TEST(TraceReplay, LastHourOfTendersWaitsLess) {
  const Replayed Both = replayFile("tenders");
  checkSound(Both.Ours);
  CHECK(Both.Ours.MeanWaitMs <= WaitingPart * Both.Base.MeanWaitMs);
}

TEST(TraceReplay, WorkerThatFailsEverythingFailsNoRequest) {
  checkSound(replayFile("bad-worker").Ours);
}

TEST(TraceReplay, WaveOfCancellationsDoesNotDelayAnotherTeam) {
  const Replayed Both = replayFile("cancel-wave");
  checkSound(Both.Ours);
  CHECK(percentile(Both.Ours.WaitMsByTeam.at("quiet"), 99) <= QuietTeamMs);
}

TEST(TraceReplay, FloodOfOneTeamDoesNotDelayAnother) {
  const Replayed Both = replayFile("flood");
  checkSound(Both.Ours);
  CHECK(percentile(Both.Ours.WaitMsByTeam.at("quiet"), 99) <= QuietTeamMs);
}

TEST(TraceReplay, LostRackIsWorkedAround) {
  checkSound(replayFile("lost-rack").Ours);
}

TEST(TraceReplay, SameTraceGivesTheSameOutcome) {
  const Trace Recorded = makeTrace("tenders", 8, 5);
  const ReplayResult First = replay(Recorded, benchRules(), {});
  const ReplayResult Second = replay(Recorded, benchRules(), {});
  CHECK_EQUAL(First.EndMs, Second.EndMs);
  CHECK(First.WaitMsByClass == Second.WaitMsByClass);
}

TEST(TraceReplay, UrgentWorkStartsInTimeOnFullWorkers) {
  const Trace Recorded = makeTrace("tenders", 16, 3);
  const ReplayResult Result = replay(Recorded, benchRules(), {});
  CHECK(Result.Preempted > 0);
  CHECK(percentile(Result.WaitMsByClass.at("urgent"), 100) <= UrgentStartMs);
}

TEST(TraceReplay, MalformedLinesAreFindingsWithTheirPlace) {
  const auto Parsed =
      parseTrace("t", "workers 1 rack 1 cpus 1 memory-mb 1 accelerators 0 "
                      "slots 1\n5 jump k\n-1 cancel k\n7 submit k c t\n");
  CHECK_FALSE(Parsed.has_value());
  CHECK_EQUAL(3U, Parsed.error().items().size());
  CHECK_EQUAL(2U, Parsed.error().items()[0].Line);
}

TEST(TraceReplay, RequestsLookedAtForOnePlacementAreBounded) {
  const Trace Recorded = makeTrace("letter", 470, 1);
  const ReplayResult Result = replay(Recorded, benchRules(), {});
  constexpr std::size_t MostPerPlacement = 2;
  CHECK(Result.Considered <= MostPerPlacement * Result.Placements);
}
