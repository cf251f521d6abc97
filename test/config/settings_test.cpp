#include "mulberryramp/config/settings.hpp"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

const std::string ValidNode = "[node.1]\n"
                              "centre = zagreb-a\n"
                              "region = kontinent\n"
                              "peer = 127.0.0.1:7001\n"
                              "http = 127.0.0.1:8001\n"
                              "disk = yes\n";

/// @brief Renders the findings in a settings file; empty if it is valid.
std::string renderFindings(const std::string &Text, NodeId Self = 1) {
  const auto Parsed = parseSettings("file.ini", Text, Self);
  return Parsed ? "" : Parsed.error().render();
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_GROUP(ConfigSettings){};

TEST(ConfigSettings, ParsesANode) {
  const auto Parsed = parseSettings("file.ini", ValidNode, 1);
  CHECK(Parsed.has_value());
  CHECK_EQUAL(1U, Parsed->Nodes.size());
  CHECK(Parsed->Nodes[0].Peer == (Endpoint{"127.0.0.1", 7001}));
}

TEST(ConfigSettings, ReportsAllFindingsWithTheirLines) {
  const std::string Report = renderFindings(
      ValidNode +
      "colour = red\n[timing]\nheartbeat-ms = soon\n[extra]\nx=1\n");
  CHECK(contains(Report, "file.ini:7:1: [node.1] has no setting colour"));
  CHECK(contains(Report, "file.ini:9:16: heartbeat-ms = soon"));
  CHECK(contains(Report, "file.ini:11:1: unknown section [extra]"));
}

TEST(ConfigSettings, RejectsHostNamesAndInvalidPorts) {
  CHECK(
      contains(renderFindings("[node.1]\npeer = host:1\n"), "expected an IP"));
  CHECK(contains(renderFindings("[node.1]\npeer = 127.0.0.1:70000\n"),
                 "expected an IP"));
}

TEST(ConfigSettings, RejectsACentreWithoutADiskNode) {
  std::string Text = ValidNode;
  Text.replace(Text.find("yes"), 3, "no");
  CHECK(contains(renderFindings(Text), "no node with disk = yes"));
}

TEST(ConfigSettings, RejectsDuplicateKeysAndAddresses) {
  CHECK(
      contains(renderFindings(ValidNode + "disk = yes\n"), "sets disk twice"));
  std::string Second = ValidNode;
  Second.replace(Second.find("node.1"), 6, "node.2");
  CHECK(contains(renderFindings(ValidNode + Second), "uses 127.0.0.1:7001"));
}

TEST(ConfigSettings, RejectsADaemonWithoutASection) {
  CHECK(contains(renderFindings(ValidNode, 9), "daemon 9 has no"));
}

TEST(ConfigSettings, HomeIsIndependentOfTheOrderOfCentresAndSpreadsKeys) {
  const std::vector<std::string> Centres{"a", "b", "c"};
  const std::vector<std::string> Rotated{"c", "a", "b"};
  std::set<std::string> Homes;
  for (int Index = 0; Index < 100; ++Index) {
    const std::string Key = "k" + std::to_string(Index);
    const std::string Home = homeOf(Centres, "customer", Key);
    CHECK(Home == homeOf(Rotated, "customer", Key));
    Homes.insert(Home);
  }
  CHECK_EQUAL(3U, Homes.size());
}
