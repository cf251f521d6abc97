#include "mulberryramp/http/async_client.hpp"
#include "mulberryramp/http/server.hpp"
#include "mulberryramp/net/readable_handler.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

constexpr std::uint16_t Port = 17790;
constexpr int MaxLoops = 10000;

/// Requests a response of a size from a server on loopback.
OutboundResponse receive(std::size_t Bytes) {
  ACE_Reactor Loop{new ACE_Dev_Poll_Reactor, true};
  AsyncHttpClient Client{Loop, 6, 64};
  HttpServer *Running = nullptr;
  auto Server = HttpServer::listen(
      {"127.0.0.1", Port},
      [&](std::uint64_t Id, const HttpRequest &) {
        Running->respond(Id, {200, "text/plain", std::string(Bytes, 'x')});
      },
      [](std::uint64_t) {});
  CHECK(Server.has_value());
  Running = Server->get();
  const ReadableHandler Events{Loop, Running->descriptor(),
                               [&] { Running->run(); }};
  OutboundRequest Request;
  Request.Url = "http://127.0.0.1:" + std::to_string(Port) + "/";
  Request.Timeout = Millis{10000};
  std::optional<OutboundResponse> Result;
  Client.send(std::move(Request),
              [&](OutboundResponse Response) { Result = std::move(Response); });
  for (int Loops = 0; !Result && Loops < MaxLoops; ++Loops) {
    ACE_Time_Value Wait{0, 1000};
    Loop.handle_events(Wait);
    Client.run();
  }
  CHECK(Result.has_value());
  return Result.value_or(OutboundResponse{});
}

} // namespace

TEST_GROUP(HttpResponses){};

TEST(HttpResponses, AResponseOfTheMaximumSizeIsReceived) {
  const OutboundResponse Response = receive(MaxInboundResponseBytes);
  CHECK_EQUAL(200, Response.Status);
  CHECK_EQUAL(MaxInboundResponseBytes, Response.Body.size());
}

/// Guards against a worker or an advisor that fills the memory of the process.
/// The order may have been executed, so it must not count as unsent.
TEST(HttpResponses, ALargerResponseCountsAsNone) {
  const OutboundResponse Response = receive(MaxInboundResponseBytes + 1);
  CHECK_EQUAL(0, Response.Status);
  CHECK(!Response.IsUnsent);
  CHECK(Response.Body.empty());
}
