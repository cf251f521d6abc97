#include "celld/cell_metrics.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

TEST_GROUP(CelldMetrics){};

/// Guards against denials that no metric shows, and against calls that were not
/// served counting as served.
TEST(CelldMetrics, CallsAreCountedByTheirOutcome) {
  CellMetrics Metrics;
  for (const CellVerdict Verdict :
       {CellVerdict::Done, CellVerdict::NotFound, CellVerdict::Gone,
        CellVerdict::Unauthenticated, CellVerdict::Refused,
        CellVerdict::Overloaded, CellVerdict::Unknown, CellVerdict::Refused}) {
    Metrics.countCall(Verdict);
  }
  CellNodeStatus Status;
  Status.OrganisationCount = 5;
  Status.Keys = 9;
  const std::string Text = Metrics.render(Status, {}, 0);
  for (const char *Line :
       {"mulberryramp_calls_total{outcome=\"served\"} 3\n",
        "mulberryramp_calls_total{outcome=\"unauthenticated\"} 1\n",
        "mulberryramp_calls_total{outcome=\"refused\"} 4\n",
        "mulberryramp_cell_organisations 5\n", "mulberryramp_cell_keys 9\n"}) {
    CHECK_TEXT(Text.find(Line) != std::string::npos, Line);
  }
}

/// Shows an operator which limit refused whose clients.
TEST(CelldMetrics, LimitsOfClientsAreShownByListener) {
  CellMetrics Metrics;
  HttpUsage Usage;
  Usage.Connections = 56;
  Usage.HeldBytes = 4096;
  Usage.LimitHits[static_cast<std::size_t>(HttpLimit::BodySize)] = 3;
  const std::string Text = Metrics.render({}, {}, 0, {{"callers", Usage}});
  for (const char *Line :
       {"mulberryramp_client_connections{listener=\"callers\"} 56\n",
        "mulberryramp_client_held_bytes{listener=\"callers\"} 4096\n",
        "limit=\"body-size\"", "mulberryramp_link_limit_total 0\n"}) {
    CHECK_TEXT(Text.find(Line) != std::string::npos, Line);
  }
}
