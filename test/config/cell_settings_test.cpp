#include "mulberryramp/config/cell_settings.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

constexpr const char *ValidSettings = "[node]\n"
                                      "name = core-1\n"
                                      "address = 10.1.0.16\n"
                                      "data-folder = /data/core\n"
                                      "[listen]\n"
                                      "callers =\n"
                                      "control = 10.1.0.16:8166\n"
                                      "peer-port = 7720\n"
                                      "[cell]\n"
                                      "seeds = 10.1.0.16:8166,10.2.0.31:8166\n"
                                      "voter = true\n"
                                      "found = yes\n"
                                      "[timing]\n"
                                      "lease-ms = 3000\n";

/// @brief Renders the findings in a settings file; empty if it is valid.
std::string renderFindings(const std::string &Text) {
  const auto Parsed = parseCellSettings("node.ini", Text);
  return Parsed ? std::string{} : Parsed.error().render();
}

} // namespace

TEST_GROUP(ConfigCell){};

TEST(ConfigCell, ReadsTheSettingsOfANode) {
  const auto Parsed = parseCellSettings("node.ini", ValidSettings);
  CHECK(Parsed.has_value());
  CHECK(!Parsed->Callers.has_value());
  CHECK_EQUAL(8166, Parsed->Control->Port);
  CHECK_EQUAL(2, Parsed->Seeds.size());
  CHECK(Parsed->IsVoter && Parsed->IsBootstrap);
  CHECK_EQUAL(3000, Parsed->Lease.count());
}

/// A placeholder that the platform does not know must not keep a node from
/// starting.
TEST(ConfigCell, LimitsAreReadAndUnknownPlaceholdersCountAsUnset) {
  std::string Text = ValidSettings;
  Text += "[limits]\nmemory-mb = 384\ndisk-mb = {{limits.disk_mb}}\n";
  const auto Parsed = parseCellSettings("node.ini", Text);
  CHECK(Parsed.has_value());
  CHECK_EQUAL(384, Parsed->MemoryMb);
  CHECK_EQUAL(0, Parsed->DiskMb);
  CHECK_FALSE(renderFindings(Text + "descriptors = {{x\n").empty());
}

TEST(ConfigCell, ReportsAllFindingsWithTheirLines) {
  std::string Text = ValidSettings;
  Text += "lease-ms = 1\nno-such = 1\nmax-lease-ms = soon\n";
  const std::string Findings = renderFindings(Text);
  CHECK(Findings.find("node.ini:15") != std::string::npos);
  CHECK(Findings.find("node.ini:16") != std::string::npos);
  CHECK(Findings.find("node.ini:17") != std::string::npos);
}

TEST(ConfigCell, VotersNeedADataFolderAndNodesNeedSeeds) {
  CHECK(!renderFindings("[node]\naddress = 10.1.0.1\n[listen]\npeer-port = 1\n")
             .empty());
  CHECK(renderFindings("[node]\naddress = 10.1.0.1\n[listen]\npeer-port = 1\n"
                       "[cell]\nseeds = 10.1.0.2:80\nvoter = yes\n")
            .find("data-folder") != std::string::npos);
}

TEST(ConfigCell, DerivesNodeIdsFromAddresses) {
  STRCMP_EQUAL("10.1.0.16", hostOf(nodeIdOf("10.1.0.16")).c_str());
  CHECK_EQUAL(0, nodeIdOf("ten"));
}

/// Guards against no node starting: the longest lease of the workers is shorter
/// than the default lease.
TEST(ConfigCell, TheDefaultLeaseIsAtMostTheLongestOneOfTheWorkers) {
  const std::string Text = "[node]\naddress = 10.1.0.1\n[listen]\n"
                           "peer-port = 1\n[cell]\nseeds = 10.1.0.2:80\n"
                           "[timing]\nlease-ms =\nmax-lease-ms = ";
  const auto Short = parseCellSettings("node.ini", Text + "2000\n");
  CHECK(Short.has_value());
  CHECK_EQUAL(2000, Short->Lease.count());
  const auto Long = parseCellSettings("node.ini", Text + "10000\n");
  CHECK_EQUAL(5400, Long->Lease.count());
  STRCMP_CONTAINS(
      "lease-ms is longer",
      renderFindings(std::string{ValidSettings} + "max-lease-ms = 2000\n")
          .c_str());
}

/// Guards against the loss of the cell with one VM: losses that were stated
/// only as data centres or regions left a single voter.
TEST(ConfigCell, CountsTheVotersOfTheDataCentresAndRegionsThatMayBeLost) {
  struct Case {
    const char *Losses;
    std::size_t Voters;
  };
  const std::string Text = "[node]\naddress = 10.1.0.1\n[listen]\n"
                           "peer-port = 1\n[centres]\nzagreb-a = kontinent\n"
                           "zagreb-b = kontinent\nosijek-a = slavonija\n"
                           "split-a = dalmacija\n[cell]\n"
                           "seeds = 10.1.0.1:80, 10.1.0.2:80, 10.1.0.3:80\n";
  for (const Case &Each : {Case{"may-lose = 0\n", 0}, Case{"may-lose =\n", 1},
                           Case{"may-lose = 2\nmay-lose-centres = 1\n", 2},
                           Case{"may-lose = 0\nmay-lose-centres = 2\n", 2},
                           Case{"may-lose = 0\nmay-lose-regions = 1\n", 2},
                           Case{"may-lose = 0\nmay-lose-regions = 2\n", 3},
                           Case{"may-lose = 0\nmay-lose-regions = 9\n", 4 + 6},
                           Case{"may-lose = 0\nmay-lose-centres =\n", 0}}) {
    const auto Parsed = parseCellSettings("node.ini", Text + Each.Losses);
    CHECK(Parsed.has_value());
    CHECK_EQUAL(Each.Voters, maxLostVoters(*Parsed));
  }
}

/// Guards against a majority in one data centre: there are two voters in each.
TEST(ConfigCell, CountsAllVotersOfADataCentre) {
  CellSettings Settings;
  Settings.MaxVoterFailures = 0;
  Settings.MaxCentreFailures = 1;
  Settings.Seeds = {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4",
                    "10.0.0.5", "10.0.0.6", "10.0.0.1"};
  Settings.RegionsByCentre = {{"a", "r"}, {"b", "s"}, {"c", ""}};
  CHECK_EQUAL(2, maxLostVoters(Settings));
  Settings.MaxRegionFailures = 1;
  CHECK_EQUAL(2, maxLostVoters(Settings));
  Settings.RegionsByCentre.clear();
  CHECK_EQUAL(1, maxLostVoters(Settings));
}

/// Guards against settings that the platform renders and no node reads.
TEST(ConfigCell, ReportsADataCentreThatIsNamedTwice) {
  STRCMP_CONTAINS(
      "node.ini:17",
      renderFindings(std::string{ValidSettings} +
                     "[centres]\nsplit-a = dalmacija\nsplit-a = istra\n")
          .c_str());
}

/// Guards against no node starting: a platform that does not know a field of
/// the template leaves its mark in place.
TEST(ConfigCell, AMarkThatWasNotRenderedMeansTheDefault) {
  const std::string Text = "[node]\naddress = 10.1.0.1\n[listen]\n"
                           "peer-port = 1\n[cell]\nseeds = 10.1.0.2:80\n";
  const auto Parsed = parseCellSettings(
      "node.ini", Text + "may-lose-centres = {{fault_tolerance.zones}}\n"
                         "[centres]\n; {{#zones}}\n{{@}} = {{.}}\n"
                         "; {{/zones}}\n");
  CHECK(Parsed.has_value());
  CHECK_EQUAL(0, Parsed->MaxCentreFailures);
  CHECK(Parsed->RegionsByCentre.empty());
  // A required setting is still missed.
  STRCMP_CONTAINS("needs an address",
                  renderFindings("[node]\naddress = {{ip}}\n").c_str());
}

/// Guards against a rendered table of data centres that cannot be read.
TEST(ConfigCell, ReadsTheDataCentresAsThePlatformRendersThem) {
  const auto Parsed = parseCellSettings(
      "node.ini", std::string{ValidSettings} +
                      "[centres]\n; \nzagreb-a = kontinent\n; \n"
                      "split-a = dalmacija\n; \n");
  CHECK(Parsed.has_value());
  CHECK_EQUAL(2, Parsed->RegionsByCentre.size());
  STRCMP_EQUAL("dalmacija", Parsed->RegionsByCentre.at("split-a").c_str());
}
