#include "mulberryramp/config/cell_settings.hpp"
#include "mulberryramp/http/async_client.hpp"
#include "mulberryramp/http/server.hpp"
#include "mulberryramp/net/readable_handler.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <poll.h>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

/// Calls of poll() by all libraries in this process.
std::atomic<std::size_t> PollCalls{0};

} // namespace

/// Replaces poll() of the C library to count the checks of libcurl.
extern "C" int poll(pollfd *Descriptors, nfds_t Count, int TimeoutMs) {
  PollCalls += 1;
  const timespec Timeout{TimeoutMs / 1000, TimeoutMs % 1000 * 1000000L};
  return ppoll(Descriptors, Count, TimeoutMs < 0 ? nullptr : &Timeout, nullptr);
}

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

  /// Closes the listener of a worker and its connections.
  void stop(std::size_t Worker) {
    Servers[Worker].Events.reset();
    Servers[Worker].Http.reset();
  }

  OutboundResponse call(std::size_t Worker, bool NeedsOpenConnection) {
    return callTogether(Worker, NeedsOpenConnection, 1).front();
  }

  /// Sends two requests at the same time.
  std::vector<OutboundResponse> callTwice(std::size_t Worker,
                                          bool NeedsOpenConnection) {
    return callTogether(Worker, NeedsOpenConnection, 2);
  }

private:
  std::vector<OutboundResponse> callTogether(std::size_t Worker,
                                             bool NeedsOpenConnection,
                                             std::size_t Count) {
    std::vector<OutboundResponse> Results(Count);
    std::size_t Done = 0;
    for (OutboundResponse &Result : Results) {
      OutboundRequest Request;
      Request.Url =
          "http://127.0.0.1:" + std::to_string(Servers[Worker].Port) + "/";
      Request.NeedsOpenConnection = NeedsOpenConnection;
      Client.send(std::move(Request), [&](OutboundResponse Response) {
        Result = std::move(Response);
        Done += 1;
      });
    }
    for (int Loops = 0; Done < Count && Loops < MaxLoops; ++Loops) {
      ACE_Time_Value Wait{0, 1000};
      Loop.handle_events(Wait);
      Client.run();
    }
    CHECK_EQUAL(Count, Done);
    return Results;
  }

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

/// Load pattern: many workers are lost at once. Their connections are found
/// closed one by one; each must not cost a check of all others.
TEST(CelldConnections, LosingManyWorkersCostsAsMuchAsTheirConnections) {
  constexpr std::size_t Count = 40;
  constexpr std::size_t Lost = 20;
  LoopbackWorkers Workers{Count, 6 * Count};
  for (std::size_t Worker = 0; Worker < Count; ++Worker) {
    CHECK_EQUAL(200, Workers.call(Worker, false).Status);
  }
  for (std::size_t Worker = 0; Worker < Lost; ++Worker) {
    Workers.stop(Worker);
  }
  // libcurl checks idle connections at most once a second.
  std::this_thread::sleep_for(std::chrono::milliseconds{1100});
  PollCalls = 0;
  for (std::size_t Worker = Lost; Worker < Count; ++Worker) {
    CHECK_EQUAL(200, Workers.call(Worker, false).Status);
  }
  // One check of each connection, and one wait or reuse for each call.
  CHECK(PollCalls <= 2 * Count + Lost);
}

TEST(CelldConnections, ARenewalFindsItsConnectionWhileOthersAreUsed) {
  LoopbackWorkers Workers{4, 4};
  CHECK_EQUAL(200, Workers.call(0, false).Status);
  for (std::size_t Other = 1; Other < 4; ++Other) {
    CHECK_EQUAL(200, Workers.call(Other, false).Status);
  }
  CHECK_EQUAL(200, Workers.call(0, true).Status);
}

TEST(CelldConnections, AnIdleConnectionIsClosedBeyondTheLimit) {
  for (const long MaxKept : {1L, 1000L}) {
    LoopbackWorkers Workers{1, MaxKept};
    (void)Workers.callTwice(0, false); // Opens two connections.
    const auto Second = Workers.callTwice(0, true);
    CHECK_EQUAL(200, Second[0].Status);
    CHECK(Second[1].IsUnsent == (MaxKept == 1));
  }
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
