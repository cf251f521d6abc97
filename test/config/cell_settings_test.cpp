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
