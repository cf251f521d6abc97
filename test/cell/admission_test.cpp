#include "mulberryramp/cell/admission.hpp"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace mulberryramp;

TEST_GROUP(CellAdmission){};

namespace {

AdmissionRequest makeRequest(bool IsExcess, int BacklogMs, int UsefulMs) {
  AdmissionRequest Request;
  Request.IsExcess = IsExcess;
  Request.Backlog = Millis{BacklogMs};
  Request.UsefulTime = Millis{UsefulMs};
  return Request;
}

} // namespace

/// Load: one organisation sends many times its rate while others wait. Guards
/// against a queue that fills with jobs which come after all others.
TEST(CellAdmission, RefusesJobsBeyondTheRateWhileOthersWait) {
  CHECK(decideAdmission(makeRequest(true, 0, 5000)).IsAccepted);
  const AdmissionDecision Refused =
      decideAdmission(makeRequest(true, 1500, 5000));
  CHECK_FALSE(Refused.IsAccepted);
  CHECK(Refused.Reason == "beyond-rate");
  CHECK(decideAdmission(makeRequest(false, 1500, 5000)).IsAccepted);
}

/// Load: a backlog that takes longer than a job is of use. Guards against jobs
/// that wait for an end which is too late for their callers.
TEST(CellAdmission, RefusesAJobThatCannotEndInUsefulTime) {
  CHECK(decideAdmission(makeRequest(false, 5000, 5000)).IsAccepted);
  const AdmissionDecision Refused =
      decideAdmission(makeRequest(false, 9000, 5000));
  CHECK_FALSE(Refused.IsAccepted);
  CHECK(Refused.Reason == "backlog");
  // Once so much of the backlog is done, the job would be accepted.
  CHECK(Refused.RetryAfter >= Millis{4000});
}

/// Guards against a surge of callers that were refused at the same time, and
/// against a time of 0, which callers read as an invitation to repeat at once.
TEST(CellAdmission, CallersReturnAtDifferentTimes) {
  std::set<std::int64_t> Times;
  for (std::uint64_t Hash = 0; Hash < 2000; ++Hash) {
    AdmissionRequest Request = makeRequest(true, 200, 5000);
    Request.Hash = Hash * 0x9E3779B97F4A7C15ULL;
    const Millis Time = decideAdmission(Request).RetryAfter;
    CHECK(Time >= Millis{1000});
    CHECK(Time < Millis{3000});
    Times.insert(Time.count() / 100);
  }
  CHECK_EQUAL(20U, Times.size());
}

/// Guards against urgent jobs that are refused for a backlog of batch jobs,
/// which they go before, and against the backlog of another pool.
TEST(CellAdmission, OnlyWorkOfThePriorityAndAboveCounts) {
  const PoolBacklog Backlog{{{"a", 0}, Millis{100}},
                            {{"a", 2}, Millis{9000}},
                            {{"b", 0}, Millis{700}}};
  CHECK(backlogOf(Backlog, "a", 0) == Millis{100});
  CHECK(backlogOf(Backlog, "a", 1) == Millis{100});
  CHECK(backlogOf(Backlog, "a", UINT32_MAX) == Millis{9100});
  CHECK(backlogOf(Backlog, "c", UINT32_MAX) == Millis{0});
}
