#include "mulberryramp/http/async_client.hpp"
#include "mulberryramp/http/client.hpp"
#include "support/resetting_server.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using mulberryramp::test::ResettingServer;

namespace {

constexpr int MaxLoops = 10000;
/// Long enough for a server thread that starts late on a busy machine.
constexpr Millis RequestTimeout{10000};

/// Event loop with a client, used like a blocking one.
class LoopClient {
public:
  OutboundResponse post(const std::string &Url,
                        bool NeedsOpenConnection = false) {
    OutboundRequest Request;
    Request.Url = Url;
    Request.Body = "{}";
    Request.Timeout = RequestTimeout;
    Request.NeedsOpenConnection = NeedsOpenConnection;
    std::optional<OutboundResponse> Result;
    Client.send(std::move(Request), [&Result](OutboundResponse Response) {
      Result = std::move(Response);
    });
    for (int Loops = 0; !Result && Loops < MaxLoops; ++Loops) {
      ACE_Time_Value Wait{0, 1000};
      Loop.handle_events(Wait);
      Client.run();
    }
    CHECK(Result.has_value());
    return Result.value_or(OutboundResponse{});
  }

private:
  ACE_Reactor Loop{new ACE_Dev_Poll_Reactor, true};
  AsyncHttpClient Client{Loop, 6, 64};
};

} // namespace

TEST_GROUP(Http){};

/// Guards against an executed order being recorded as never sent: the server
/// received the request, reset the reused connection and refuses new ones.
TEST(Http, ARequestOnAResetConnectionIsNotReportedAsUnsent) {
  for (const bool NeedsOpenConnection : {false, true}) {
    ResettingServer Server{1, ResettingServer::AfterReset::Refuse};
    LoopClient Client;
    CHECK_EQUAL(200, Client.post(Server.url()).Status);
    const auto Response = Client.post(Server.url(), NeedsOpenConnection);
    CHECK_EQUAL(2, Server.received());
    CHECK_EQUAL(0, Response.Status);
    CHECK_FALSE(Response.IsUnsent);
  }
}

/// Guards against a second transmission, whose refusal would hide that the
/// first one was executed.
TEST(Http, ARequestOnAResetConnectionIsSentOnce) {
  ResettingServer Server{1, ResettingServer::AfterReset::Accept};
  LoopClient Client;
  CHECK_EQUAL(200, Client.post(Server.url()).Status);
  CHECK_FALSE(Client.post(Server.url()).IsUnsent);
  CHECK_EQUAL(2, Server.received());
}

TEST(Http, ARequestToAClosedPortIsUnsent) {
  std::string Url;
  {
    ResettingServer Server{0, ResettingServer::AfterReset::Refuse};
    Url = Server.url();
  }
  LoopClient Client;
  CHECK(Client.post(Url).IsUnsent);
}

/// Guards against the blocking client reporting an executed call as unsent,
/// upon which its caller repeats the call at another daemon, and against a
/// second transmission of a call that may have been executed.
TEST(Http, ABlockingPostOnAResetConnectionIsSentOnceAndNotReportedAsUnsent) {
  for (const auto Mode : {ResettingServer::AfterReset::Refuse,
                          ResettingServer::AfterReset::Accept}) {
    ResettingServer Server{1, Mode};
    HttpClient Client;
    CHECK_EQUAL(200, Client.post(Server.url(), "{}", RequestTimeout)->Status);
    const auto Response = Client.post(Server.url(), "{}", RequestTimeout);
    CHECK_EQUAL(2, Server.received());
    CHECK_FALSE(Response.has_value());
    CHECK_FALSE(Response.error().IsUnsent);
  }
}

TEST(Http, ABlockingPostToAClosedPortIsUnsent) {
  std::string Url;
  {
    ResettingServer Server{0, ResettingServer::AfterReset::Refuse};
    Url = Server.url();
  }
  HttpClient Client;
  const auto Response = Client.post(Url, "{}", RequestTimeout);
  CHECK_FALSE(Response.has_value());
  CHECK(Response.error().IsUnsent);
}
