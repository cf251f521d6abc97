#include "platform/gateway.hpp"

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

RefusedBodyAnswer answer(Listener Source, const std::string &Method,
                         HttpLimit Limit) {
  HttpRequest Request;
  Request.Method = Method;
  Request.Path = "/q/0ddba11000000001";
  Request.Host = "h:80";
  Request.RefusedBy = Limit;
  return platform::PlatformGateway{}.answerRefusedBody(Source, Request);
}

} // namespace

TEST_GROUP(PlatformRefusedBody){};

/// An earlier submission under the same ID may have been accepted, so its job
/// is read before the 413 is sent.
TEST(PlatformRefusedBody, ASubmissionThatIsTooLargeIsChecked) {
  const auto Answer = answer(Listener::Callers, "POST", HttpLimit::BodySize);
  CHECK_EQUAL(413, Answer.Response.Status);
  CHECK(Answer.Check.has_value());
  const auto &Check = std::get<JobCall>(*Answer.Check);
  CHECK(Check.Verb == JobVerb::Read);
  CHECK(Check.Host == "h");
  CHECK(Check.Path == "/q/0ddba11000000001");
}

TEST(PlatformRefusedBody, OtherRequestsThatAreTooLargeGet413AtOnce) {
  CHECK(!answer(Listener::Control, "PUT", HttpLimit::BodySize).Check);
  CHECK(!answer(Listener::Callers, "GET", HttpLimit::BodySize).Check);
  CHECK_EQUAL(
      413,
      answer(Listener::Control, "PUT", HttpLimit::BodySize).Response.Status);
}

/// 503 and 429 to a submission say that its job never runs.
TEST(PlatformRefusedBody, WantOfMemoryPromisesNothingAboutAJob) {
  for (const char *Method : {"POST", "DELETE"}) {
    const auto Answer = answer(Listener::Callers, Method, HttpLimit::Memory);
    CHECK_EQUAL(504, Answer.Response.Status);
    CHECK_EQUAL(1U, Answer.Response.RetryAfterSeconds);
    CHECK(!Answer.Check);
  }
  CHECK_EQUAL(
      503, answer(Listener::Callers, "GET", HttpLimit::Memory).Response.Status);
  CHECK_EQUAL(
      503, answer(Listener::Control, "PUT", HttpLimit::Memory).Response.Status);
}
