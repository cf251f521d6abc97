#include "platform/check.hpp"

#include <nlohmann/json.hpp>

#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::platform;
using nlohmann::json;

namespace {

json makeDocument() {
  return {{"version", 4},
          {"services", {{{"name", "s"}}}},
          {"routes",
           {{{"host", "h.example"},
             {"path_prefix", "/q/"},
             {"service", "s"},
             {"timeout_ms", 5000},
             {"target_latency_ms", 400}}}},
          {"tenants",
           {{{"name", "kaje80"},
             {"api_keys", {"gkcuyj8pjbvk9m68k7b2"}},
             {"weight", 31},
             {"cap", {{"cpu", 14000}, {"mem_mb", 0}, {"gpu", 0}}}}}}};
}

/// @brief Renders the findings, one `place: text;` each.
std::string findingsOf(const json &Document) {
  std::string Text;
  for (const CheckResult &Row :
       checkDocument(Document.dump(), std::nullopt).Results) {
    Text += Row.Place + ": " + Row.Text + ";";
  }
  return Text;
}

} // namespace

TEST_GROUP(PlatformCheck){};

TEST(PlatformCheck, AValidDocumentHasNoFinding) {
  const DocumentCheck Check =
      checkDocument(makeDocument().dump(), std::nullopt);
  CHECK(Check.Results.empty() && Check.Differences.empty());
  CHECK_EQUAL(0, exitStatusOf(Check));
}

/// Guards against entries that an operator believes to be in effect.
TEST(PlatformCheck, WarnsOfEntriesWithoutEffectAndOfContradictions) {
  struct Case {
    const char *Pointer;
    json Value;
    const char *Finding;
  };
  for (const Case &Each :
       {Case{"/services/1", {{"name", "spare"}}, "services[1]: no route uses"},
        Case{"/routes/0/host", "h.example:80", "routes[0].host: can never"},
        Case{"/routes/0/path_prefix", "q/", "routes[0].path_prefix: can never"},
        Case{"/routes/0/timeout_ms", 399, "routes[0].timeout_ms: is below"},
        Case{"/routes/0/public", true, "tenants: no route needs a key"},
        Case{"/tenants", json::array(), "tenants: no key is valid"},
        Case{"/tenants/0/api_keys", json::array(),
             "tenants[0].api_keys: is em"},
        Case{"/tenants/0/weight", 0, "tenants[0].weight: is 0"},
        Case{"/tenants/0/cap/cpu", 999, "tenants[0].cap.cpu: is below"}}) {
    json Document = makeDocument();
    Document[json::json_pointer{Each.Pointer}] = Each.Value;
    STRCMP_CONTAINS(Each.Finding, findingsOf(Document).c_str());
    CHECK_EQUAL(1, exitStatusOf(checkDocument(Document.dump(), std::nullopt)));
  }
}

/// Guards against a key in the output, and against a duplicate that is missed.
TEST(PlatformCheck, ReportsAKeyThatIsListedTwiceWithoutPrintingIt) {
  json Document = makeDocument();
  Document["tenants"][0]["api_keys"].push_back("gkcuyj8pjbvk9m68k7b2");
  const std::string Findings = findingsOf(Document);
  CHECK(!Findings.empty());
  CHECK(Findings.find("gkcuyj8pjbvk9m68k7b2") == std::string::npos);
}

TEST(PlatformCheck, ReportsErrorsOfInvalidDocumentsWithTheirPlaces) {
  json Document = makeDocument();
  Document["routes"][0]["service"] = "none";
  Document["tenants"][0]["weight"] = -1;
  const std::string Findings = findingsOf(Document);
  STRCMP_CONTAINS("routes[0].service: names no service", Findings.c_str());
  STRCMP_CONTAINS("tenants[0].weight: is negative", Findings.c_str());
  CHECK_EQUAL(2, exitStatusOf(checkDocument(Document.dump(), std::nullopt)));
  for (const char *Text : {"", "{", "[]", "null", "{\"version\":\"x\"}",
                           "\xff\xfe", "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["}) {
    CHECK_EQUAL(2, exitStatusOf(checkDocument(Text, std::nullopt)));
    CHECK_EQUAL(2, exitStatusOf(checkDocument(makeDocument().dump(), Text)));
  }
}

TEST(PlatformCheck, ListsTheDifferencesFromTheVersionInForce) {
  const json Former = makeDocument();
  json Next = makeDocument();
  Next["version"] = 5;
  Next["routes"][0]["priority"] = 2;
  Next["routes"].push_back(Former["routes"][0]);
  Next["routes"][1]["path_prefix"] = "/r/";
  Next["tenants"][0]["weight"] = 2.5;
  Next["tenants"][0]["api_keys"] = {"another-key"};
  Next["tenants"][0]["cap"]["cpu"] = 2000;
  const DocumentCheck Check = checkDocument(Next.dump(), Former.dump());
  CHECK_EQUAL(0, exitStatusOf(Check));
  std::string Text;
  for (const std::string &Difference : Check.Differences) {
    Text += Difference + ";";
  }
  STRCMP_CONTAINS("version 4 -> 5;route h.example /q/: priority 0 -> 2;"
                  "route h.example /r/: added;"
                  "tenant kaje80: weight 31 -> 2.5 cap.cpu 14000 -> 2000 "
                  "key removed ",
                  Text.c_str());
  CHECK(Text.find("another-key") == std::string::npos);
}

/// Guards against a version that the cell would ignore.
TEST(PlatformCheck, AVersionThatIsNotAboveTheOneInForceIsAnError) {
  const std::string Text = makeDocument().dump();
  CHECK_EQUAL(2, exitStatusOf(checkDocument(Text, Text)));
}

TEST(PlatformCheck, AnUnreadableFileHasAStatusOfItsOwn) {
  std::ostringstream Output;
  CHECK_EQUAL(3, checkFile("/nonexistent/file", "", true, Output));
  CHECK_EQUAL(1, json::parse(Output.str())["findings"].size());
}
