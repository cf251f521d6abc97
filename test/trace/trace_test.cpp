#include "replay.hpp"

#include <fstream>
#include <iterator>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::bench;

namespace {

constexpr std::int64_t MaxUrgentWaitMs = 2300;
constexpr std::int64_t MaxQuietTeamWaitMs = 5000;
constexpr double MaxMeanWaitRatio = 0.7;

/// @brief Results of one trace under the default placement and under the
/// baseline.
struct ReplayPair {
  ReplayResult Default;
  ReplayResult Baseline;
};

ReplayPair replayFile(const std::string &Name) {
  std::ifstream File{std::string{TRACE_FOLDER} + "/" + Name + ".trace"};
  const std::string Text{std::istreambuf_iterator<char>{File}, {}};
  const auto Recorded = parseTrace(Name, Text);
  CHECK_TEXT(Recorded.has_value(), Name.c_str());
  const Rules ActiveRules = benchRules();
  return {replay(*Recorded, ActiveRules, {}),
          replay(*Recorded, ActiveRules, baselineOptions())};
}

/// @brief Checks that no worker was overcommitted, that all requests finished
/// without failure and that urgent tasks started in time.
void checkInvariants(const ReplayResult &Result) {
  CHECK_EQUAL(0U, Result.Overcommits);
  CHECK_EQUAL(0U, Result.Unfinished);
  CHECK_EQUAL(0U, Result.Failed);
  const auto Urgent = Result.WaitMsByClass.find("urgent");
  if (Urgent != Result.WaitMsByClass.end()) {
    CHECK(percentile(Urgent->second, 100) <= MaxUrgentWaitMs);
  }
}

} // namespace

TEST_GROUP(TraceReplay){};

TEST(TraceReplay, PeakBeforeMaghribWaitsLessThanTheBaseline) {
  const ReplayPair Replays = replayFile("maghrib");
  checkInvariants(Replays.Default);
  CHECK(Replays.Default.MeanWaitMs <=
        MaxMeanWaitRatio * Replays.Baseline.MeanWaitMs);
  CHECK(Replays.Default.MeanUtilization >= Replays.Baseline.MeanUtilization);
}

TEST(TraceReplay, LastHourOfTendersWaitsLessThanTheBaseline) {
  const ReplayPair Replays = replayFile("tenders");
  checkInvariants(Replays.Default);
  CHECK(Replays.Default.MeanWaitMs <=
        MaxMeanWaitRatio * Replays.Baseline.MeanWaitMs);
}

TEST(TraceReplay, WorkerThatFailsEveryAttemptFailsNoRequest) {
  checkInvariants(replayFile("bad-worker").Default);
}

TEST(TraceReplay, ManyCancellationsDoNotDelayAnotherTeam) {
  const ReplayPair Replays = replayFile("cancel-wave");
  checkInvariants(Replays.Default);
  CHECK(percentile(Replays.Default.WaitMsByTeam.at("quiet"), 99) <=
        MaxQuietTeamWaitMs);
}

TEST(TraceReplay, FloodOfOneTeamDoesNotDelayAnother) {
  const ReplayPair Replays = replayFile("flood");
  checkInvariants(Replays.Default);
  CHECK(percentile(Replays.Default.WaitMsByTeam.at("quiet"), 99) <=
        MaxQuietTeamWaitMs);
}

TEST(TraceReplay, RequestsFinishDespiteALostRack) {
  checkInvariants(replayFile("lost-rack").Default);
}

TEST(TraceReplay, ReplayIsDeterministic) {
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
  CHECK(percentile(Result.WaitMsByClass.at("urgent"), 100) <= MaxUrgentWaitMs);
}

TEST(TraceReplay, MalformedLinesAreFindingsWithTheirLines) {
  const auto Parsed =
      parseTrace("t", "workers 1 rack 1 cpus 1 memory-mb 1 accelerators 0 "
                      "slots 1\n5 jump k\n-1 cancel k\n7 submit k c t\n");
  CHECK_FALSE(Parsed.has_value());
  CHECK_EQUAL(3U, Parsed.error().items().size());
  CHECK_EQUAL(2U, Parsed.error().items()[0].Line);
}

/// Bounds the cost of a placement run with many waiting requests.
TEST(TraceReplay, RequestsExaminedPerPlacementAreBounded) {
  const Trace Recorded = makeTrace("letter", 470, 1);
  const ReplayResult Result = replay(Recorded, benchRules(), {});
  constexpr std::size_t MaxPerPlacement = 2;
  CHECK(Result.RequestsExamined <= MaxPerPlacement * Result.Placements);
}
