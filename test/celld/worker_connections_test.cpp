#include "mulberryramp/config/cell_settings.hpp"
#include "mulberryramp/http/async_client.hpp"
#include "mulberryramp/http/server.hpp"
#include "mulberryramp/net/readable_handler.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

constexpr std::uint16_t FirstPort = 17650;
constexpr std::uint16_t PortCount = 100;
constexpr int MaxLoops = 2000;

/// Workers on loopback that answer each request, and a client.
class LoopbackWorkers {
public:
  LoopbackWorkers(std::size_t Count, long MaxKept) : Client{Loop, 6, MaxKept} {
    Servers.reserve(Count);
    std::uint16_t Port = FirstPort;
    while (Servers.size() < Count && Port < FirstPort + PortCount) {
      const std::size_t Index = Servers.size();
      auto Opened = HttpServer::listen(
          {"127.0.0.1", Port},
          [this, Index](std::uint64_t Id, const HttpRequest &) {
            Servers[Index].Http->respond(Id, {});
          },
          [](std::uint64_t) {});
      if (Opened) {
        Server &Added = Servers.emplace_back();
        Added.Port = Port;
        Added.Http = std::move(*Opened);
        HttpServer &Http = *Added.Http;
        Added.Events = std::make_unique<ReadableHandler>(
            Loop, Http.descriptor(), [&Http] { Http.run(); });
      }
      Port += 1;
    }
    CHECK_EQUAL(Count, Servers.size());
  }

  OutboundResponse call(std::size_t Worker, bool NeedsOpenConnection) {
    OutboundRequest Request;
    Request.Url =
        "http://127.0.0.1:" + std::to_string(Servers[Worker].Port) + "/";
    Request.NeedsOpenConnection = NeedsOpenConnection;
    std::optional<OutboundResponse> Result;
    Client.send(std::move(Request), [&Result](OutboundResponse Response) {
      Result = std::move(Response);
    });
    for (int Count = 0; !Result && Count < MaxLoops; ++Count) {
      ACE_Time_Value Wait{0, 1000};
      Loop.handle_events(Wait);
      Client.run();
    }
    CHECK(Result.has_value());
    return Result.value_or(OutboundResponse{});
  }

private:
  struct Server {
    std::uint16_t Port = 0;
    std::unique_ptr<HttpServer> Http;
    std::unique_ptr<ReadableHandler> Events;
  };

  ACE_Reactor Loop{new ACE_Dev_Poll_Reactor, true};
  std::vector<Server> Servers;
  AsyncHttpClient Client;
};

} // namespace

TEST_GROUP(CelldConnections){};

TEST(CelldConnections, ARenewalFindsItsConnectionWhileOthersAreUsed) {
  LoopbackWorkers Workers{4, 4};
  CHECK_EQUAL(200, Workers.call(0, false).Status);
  for (std::size_t Other = 1; Other < 4; ++Other) {
    CHECK_EQUAL(200, Workers.call(Other, false).Status);
  }
  CHECK_EQUAL(200, Workers.call(0, true).Status);
}

TEST(CelldConnections, TheOldestIdleConnectionIsClosedBeyondTheLimit) {
  LoopbackWorkers Workers{3, 2};
  for (std::size_t Worker = 0; Worker < 3; ++Worker) {
    CHECK_EQUAL(200, Workers.call(Worker, false).Status);
  }
  CHECK(Workers.call(0, true).IsUnsent);
}

/// Load pattern: a fifth of the workers is silent, so that orders to them hang
/// on all their connections, while the others use one for their renewal and two
/// for orders. With a fixed limit of 1,200 all idle connections were closed.
TEST(CelldConnections, ALeaderOf540WorkersKeepsItsConnectionsBesideSilentOnes) {
  constexpr long Workers = 540;
  constexpr long Silent = Workers / 5;
  constexpr long PerSilentWorker = 6;
  constexpr long PerWorker = 3;
  CHECK(maxKeptConnections(4096) >=
        Silent * PerSilentWorker + (Workers - Silent) * PerWorker);
}
