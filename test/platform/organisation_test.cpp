#include "mulberryramp/core/digest.hpp"
#include "platform/decode.hpp"
#include "platform/gateway.hpp"

#include <algorithm>
#include <ctime>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::platform;

namespace {

/// @brief Returns the document of a configuration with these organisations.
std::string makeDocument(const std::string &Tenants) {
  return R"({"version":7,"services":[{"name":"s"}],"routes":[)"
         R"({"host":"h","path_prefix":"/p/","timeout_ms":3000,"service":"s"},)"
         R"({"host":"h","path_prefix":"/o/","timeout_ms":3000,"service":"s",)"
         R"("public":true}],"tenants":)" +
         Tenants + "}";
}

/// @brief Returns the errors of such a document.
std::string errorsOf(const std::string &Tenants) {
  Findings Report;
  (void)decodeConfiguration(makeDocument(Tenants), Report);
  return Report.render();
}

void checkError(const std::string &Expected, const std::string &Tenants) {
  const std::string Errors = errorsOf(Tenants);
  CHECK_TEXT(Errors.find(Expected) != std::string::npos,
             (Tenants.substr(0, 100) + ": " + Errors).c_str());
}

std::string makeTenant(const std::string &Fields) {
  return R"([{"name":"a",)" + Fields + "}]";
}

/// @brief Returns an organisation with this number of keys.
std::string makeTenantWithKeys(std::size_t Index, std::size_t Keys) {
  const std::string Id = std::to_string(Index);
  std::string Text = R"({"name":"n)" + Id + R"(","api_keys":[)";
  for (std::size_t Key = 0; Key < Keys; ++Key) {
    Text += (Key == 0 ? "\"k" : ",\"k") + Id + "x" + std::to_string(Key) + "\"";
  }
  return Text + R"(],"weight":31,"cap":{"cpu":14240224,"mem_mb":39778569}})";
}

std::string makeTenants(std::size_t Count, std::size_t Keys) {
  std::string Text = "[";
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Text += (Index == 0 ? "" : ",") + makeTenantWithKeys(Index, Keys);
  }
  return Text + "]";
}

} // namespace

TEST_GROUP(PlatformOrganisations){};

TEST(PlatformOrganisations, AConfigurationListsOrganisationsAndPublicRoutes) {
  Findings Report;
  const CellConfiguration Configuration = decodeConfiguration(
      makeDocument(
          R"([{"name":"kaje80","api_keys":["gkcuyj8pjbvk9m68k7b2","k2"],)"
          R"("priority":1,"weight":31.5,"cap":{"cpu":14240224,"mem_mb":7.25,)"
          R"("gpu":0}},{"name":"b","api_keys":[]}])"),
      Report);
  STRCMP_EQUAL("", Report.render().c_str());
  CHECK(Configuration.RequiresKeys);
  CHECK(!Configuration.Queues[0].IsPublic && Configuration.Queues[1].IsPublic);
  const Organisation &First = Configuration.Organisations.at(0);
  STRCMP_EQUAL("kaje80", First.Name.c_str());
  CHECK(sha256("gkcuyj8pjbvk9m68k7b2") == First.KeyDigests.at(0));
  CHECK_EQUAL(2, First.KeyDigests.size());
  DOUBLES_EQUAL(31.5, First.Weight, 0);
  CHECK_EQUAL(14240224, First.Cap.MilliCpus);
  // An amount of 0 would be no limit.
  CHECK_EQUAL(8, First.Cap.MemoryMb);
  DOUBLES_EQUAL(1, Configuration.Organisations.at(1).Weight, 0);
}

/// An empty list must not switch the check of keys off.
TEST(PlatformOrganisations, KeysAreCheckedIfTheListIsThere) {
  for (const auto &[Tenants, IsChecked] :
       {std::pair{"[]", true}, std::pair{"null", false}}) {
    Findings Report;
    const auto Configuration =
        decodeConfiguration(makeDocument(Tenants), Report);
    CHECK(Report.empty());
    CHECK_EQUAL(IsChecked, Configuration.RequiresKeys);
  }
}

/// Each error has to name its place, so that the operator finds it.
TEST(PlatformOrganisations, InvalidOrganisationsAreRejectedWithTheirPlace) {
  checkError("tenants: expected a list", R"({"name":"a"})");
  checkError("tenants: expected a list", R"("a")");
  checkError("tenants[1]: expected an object", R"([{"name":"a"},7])");
  checkError("tenants[0].name: is missing", "[{}]");
  checkError("tenants[0].name: expected a text", R"([{"name":7}])");
  checkError("tenants[0].name: is empty", R"([{"name":""}])");
  checkError("tenants[1] \"a\": has the name of tenants[0]",
             R"([{"name":"a"},{"name":"a"}])");
  checkError("tenants[0].api_keys: expected a list",
             makeTenant(R"("api_keys":"k")"));
  checkError("tenants[0].api_keys[1]: expected a text",
             makeTenant(R"("api_keys":["k",7])"));
  checkError("tenants[0].api_keys[0]: is empty",
             makeTenant(R"("api_keys":[""])"));
  for (const char *Key : {"a b", "a\\u0000", "a\\n", "\xc3\xa9", "\\u007f"}) {
    checkError("tenants[0].api_keys[0]: has a character",
               makeTenant(R"("api_keys":[")" + std::string{Key} + "\"]"));
  }
  const std::string Longest(256, 'k');
  STRCMP_EQUAL(
      "", errorsOf(makeTenant(R"("api_keys":[")" + Longest + "\"]")).c_str());
  checkError("tenants[0].api_keys[0]: is longer than 256",
             makeTenant(R"("api_keys":[")" + Longest + "k\"]"));
  checkError("tenants[0].api_keys[2]: is listed twice",
             makeTenant(R"("api_keys":["k","l","k"])"));
  checkError("tenants[0].weight: is negative", makeTenant(R"("weight":-0.5)"));
  checkError("tenants[0].weight: is out of range",
             makeTenant(R"("weight":1e308)"));
  checkError("tenants[0].weight: expected a number",
             makeTenant(R"("weight":"1")"));
  checkError("tenants[0].cap: expected an object", makeTenant(R"("cap":7)"));
  for (const char *Amount : {"-1", "-0.5", "-1e308"}) {
    checkError("tenants[0].cap.mem_mb: is negative",
               makeTenant(R"("cap":{"mem_mb":)" + std::string{Amount} + "}"));
  }
  for (const char *Amount :
       {"1e308", "9223372036854775807", "18446744073709551615"}) {
    checkError("tenants[0].cap.cpu: is out of range",
               makeTenant(R"("cap":{"cpu":)" + std::string{Amount} + "}"));
  }
}

/// A key of two organisations would make the owner of a job a matter of order.
TEST(PlatformOrganisations, AKeyOfTwoOrganisationsIsRejectedWithBothNames) {
  checkError("tenants[2] \"c\": shares a key with tenants[0] \"a\"",
             R"([{"name":"a","api_keys":["k1","k2"]},{"name":"b"},)"
             R"({"name":"c","api_keys":["k3","k2"]}])");
}

TEST(PlatformOrganisations, TooManyOrganisationsOrKeysAreRejected) {
  STRCMP_EQUAL("", errorsOf(makeTenants(2000, 1)).c_str());
  checkError("tenants: has more than 2000 organisations", makeTenants(2001, 0));
  STRCMP_EQUAL("", errorsOf(makeTenants(1, 64)).c_str());
  checkError("tenants[0].api_keys: has more than 64 keys", makeTenants(1, 65));
}

/// Keys must not reach the answers and log lines that errors become part of.
TEST(PlatformOrganisations, ErrorsDoNotContainKeys) {
  const std::string Secret = "verysecret";
  for (const char *Tenants :
       {R"([{"name":"a","api_keys":["K"]},{"name":"b","api_keys":["K"]}])",
        R"([{"name":"a","api_keys":["K","K"]}])",
        R"([{"name":"a","api_keys":["K "]}])",
        R"([{"name":"a","api_keys":"K"}])"}) {
    std::string Text = Tenants;
    for (std::size_t At = Text.find('K'); At != std::string::npos;
         At = Text.find('K')) {
      Text.replace(At, 1, Secret);
    }
    const std::string Errors = errorsOf(Text);
    CHECK(!Errors.empty());
    CHECK(Errors.find(Secret) == std::string::npos);
  }
}

/// A frontend that decodes for longer misses heartbeats of its callers' leader.
TEST(PlatformOrganisations, TwoThousandOrganisationsAreDecodedInMilliseconds) {
  const std::string Document = makeDocument(makeTenants(2000, 1));
  double FastestMs = 1e9;
  for (int Run = 0; Run < 5; ++Run) {
    Findings Report;
    // Processor time, as other programs share the machine.
    const std::clock_t Start = std::clock();
    const auto Configuration = decodeConfiguration(Document, Report);
    FastestMs =
        std::min(FastestMs, 1000.0 * static_cast<double>(std::clock() - Start) /
                                CLOCKS_PER_SEC);
    CHECK_EQUAL(2000, Configuration.Organisations.size());
  }
  const std::string Shown = "decoded in " + std::to_string(FastestMs) + " ms";
  UT_PRINT(Shown.c_str());
  // Four times what a core of the test machine takes.
  CHECK_TEXT(FastestMs < 40, Shown.c_str());
}

TEST(PlatformOrganisations, TheKeyOfACallIsReadFromItsHeader) {
  const std::string Key = "gkcuyj8pjbvk9m68k7b2";
  const std::string Longest(256, '~');
  CHECK(sha256(Key) == decodeKey("Bearer " + Key));
  CHECK(sha256(Longest) == decodeKey("Bearer " + Longest));
  // RFC 9110: a scheme has no case, and several spaces may follow it.
  CHECK(sha256(Key) == decodeKey("bEARER   " + Key));
  CHECK(sha256(Key) == decodeKey("Bearer " + Key + " \t"));
  const HttpRequest Request{"GET", "/p/x", {}, "", "h", "Bearer " + Key};
  const auto Call = PlatformGateway{}.decodeCall(Listener::Callers, Request);
  CHECK(sha256(Key) == std::get<JobCall>(*Call).Key);
}

/// Guards against a caller without a valid key being told what is wrong with
/// its request: the check of its key comes first.
TEST(PlatformOrganisations, AnInvalidRequestIsCheckedBeforeItsErrorIsTold) {
  const PlatformGateway Protocol;
  for (const char *Method : {"PUT", "POST", "PATCH"}) {
    const HttpRequest Request{Method, "/p/x", {}, "{", "h:80", "Bearer k"};
    CHECK(!Protocol.decodeCall(Listener::Callers, Request).has_value());
    const auto Check = Protocol.decodeCheck(Listener::Callers, Request);
    const auto &Call = std::get<JobCall>(*Check);
    CHECK(JobVerb::Check == Call.Verb);
    STRCMP_EQUAL("h", Call.Host.c_str());
    STRCMP_EQUAL("/p/x", Call.Path.c_str());
    CHECK(sha256("k") == Call.Key);
    // Calls of workers and operators have no key.
    CHECK(!Protocol.decodeCheck(Listener::Control, Request).has_value());
  }
  CellReply Denied;
  Denied.Verdict = CellVerdict::Unauthenticated;
  CHECK_EQUAL(401, Protocol.encodeReply({}, Denied, "").Status);
}

/// A header that is no key must match no organisation, and never fail a node.
TEST(PlatformOrganisations, MalformedHeadersHoldNoKey) {
  for (const std::string &Header :
       {std::string{}, std::string{"  \t"}, std::string{"Bear \t  "},
        std::string{"Bearer"}, std::string{"Bearer "},
        std::string{"Bearer    "}, std::string{"Bearerk"}, std::string{"k"},
        std::string{"Basic k"}, std::string{"Bearer k l"},
        std::string{"Bearer k, Bearer l"}, std::string{" Bearer k"},
        std::string{"Bearer\tk"}, std::string{"Bearer k\n"},
        std::string{"Bearer k\x7f"}, std::string{"Bearer \xff"},
        std::string{"Bearer k\0l", 10}, "Bearer " + std::string(257, 'k'),
        "Bearer " + std::string(100000, 'k')}) {
    CHECK_TEXT(decodeKey(Header).empty(), Header.substr(0, 40).c_str());
  }
}
