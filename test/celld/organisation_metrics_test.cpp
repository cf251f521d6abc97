#include "celld/organisation_metrics.hpp"

#include <prometheus/text_serializer.h>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

std::size_t countOf(const std::string &Text, const std::string &Part) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1)) {
    Count += 1;
  }
  return Count;
}

std::string render(prometheus::Registry &Registry) {
  return prometheus::TextSerializer{}.Serialize(Registry.Collect());
}

} // namespace

TEST_GROUP(CelldOrganisationMetrics){};

/// Guards against series without a bound: 2,000 organisations, and names that
/// come and go.
TEST(CelldOrganisationMetrics, TheNumberOfSeriesIsBounded) {
  prometheus::Registry Registry;
  OrganisationMetrics Metrics;
  for (int Round = 0; Round < 3; ++Round) {
    std::vector<OrganisationStatus> Organisations;
    for (int Index = 0; Index < 100; ++Index) {
      OrganisationStatus Status;
      Status.Name = std::to_string(Round * 1000 + Index);
      Status.Used.MilliCpus = 1;
      Status.WaitingTasks = 1;
      Status.WeightedShare = 1.0 / (1 + Index);
      Organisations.push_back(Status);
    }
    Metrics.update(Registry, Organisations);
    const std::string Text = render(Registry);
    CHECK_EQUAL(33, countOf(Text, "waiting_tasks{"));
    CHECK_EQUAL(1, countOf(Text, "waiting_tasks{organisation=\"other\"} 68"));
    CHECK_EQUAL(1, countOf(Text, "least_served{organisation=\""));
  }
  Metrics.update(Registry, {});
  CHECK_EQUAL(0, countOf(render(Registry), "organisation=\""));
}
