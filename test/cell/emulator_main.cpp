// Stands in for workers, advisor, callers and operator of a running cell, in
// real time, and puts a load on it.

#include "cell/fake_worker.hpp"
#include "cell/load_shapes.hpp"
#include "cell/wire_standin.hpp"
#include "mulberryramp/cell/advice.hpp"
#include "mulberryramp/core/time.hpp"
#include "mulberryramp/http/async_client.hpp"
#include "mulberryramp/http/server.hpp"
#include "mulberryramp/net/readable_handler.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>
#include <cxxopts.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>

namespace {

using namespace mulberryramp;
using namespace mulberryramp::test;
using platform::Json;

constexpr Millis ReportInterval{1500};
constexpr Millis ReadEvery{700};
constexpr Millis RetryEvery{300};
constexpr const char *QueueHost = "jobs.example";

struct Options {
  std::size_t Workers = 350;
  std::uint16_t Port = 9000;
  std::string Callers;
  std::string Control;
  double ShortPerSecond = 40;
  double LongPerSecond = 4;
  std::int64_t Seconds = 20;
};

/// A kind of jobs with how many come.
struct JobStream {
  JobShape Kind;
  double PerSecond = 0;
  Instant NextAt;
};

struct TrackedJob {
  std::string Path;
  Instant SubmittedAt;
  Instant ReadAt;
  bool IsAccepted = false;
};

class Emulator {
public:
  explicit Emulator(const Options &Wanted)
      : Wanted{Wanted}, Client{Loop, 16},
        Flows{{ShortJob, Wanted.ShortPerSecond, {}},
              {LongJob, Wanted.LongPerSecond, {}}} {}

  int run() {
    auto Listening = HttpServer::listen(
        {"0.0.0.0", Wanted.Port},
        [this](std::uint64_t Id, const HttpRequest &Request) {
          onRequest(Id, Request);
        },
        [](std::uint64_t) {});
    if (!Listening) {
      std::cerr << Listening.error() << '\n';
      return 1;
    }
    Http = std::move(*Listening);
    Waker = std::make_unique<ReadableHandler>(Loop, Http->descriptor(),
                                              [this] { Http->run(); });
    openWorkers();
    const Instant Begin = now();
    Instant Traffic = Begin + Millis{5000};
    const Instant End = Traffic + Millis{Wanted.Seconds * 1000};
    for (JobStream &Each : Flows) {
      Each.NextAt = Traffic;
    }
    while (now() < End) {
      ACE_Time_Value Wait{0, 1000};
      while (Loop.handle_events(Wait) > 0) {
        Wait = ACE_Time_Value::zero;
      }
      Client.run();
      step();
      Http->run();
      Client.run();
    }
    std::printf("submitted %zu accepted %zu completed %zu turnaround %.3f s\n",
                Submitted, Accepted, Turnarounds.size(), meanTurnaround());
    return 0;
  }

private:
  struct Worker {
    std::unique_ptr<FakeWorker> Body;
    std::string Name;
    Instant ReportAt;
  };

  static Instant now() { return SuspendAwareClock::now(); }

  static std::string addressOf(std::size_t Index) {
    return "127.1." + std::to_string(Index / 200) + "." +
           std::to_string(Index % 200 + 1);
  }

  void openWorkers() {
    Resources Capacity;
    Capacity.MilliCpus = LoadWorkerCpus;
    Capacity.MemoryMb = LoadWorkerMemoryMb;
    for (std::size_t Index = 0; Index < Wanted.Workers; ++Index) {
      const std::string Host =
          addressOf(Index) + ":" + std::to_string(Wanted.Port);
      Worker &Item = Workers[Host];
      Item.Name = "i-" + std::to_string(100000 + Index);
      Item.Body =
          std::make_unique<FakeWorker>(Item.Name, Capacity, Index, now());
      Item.ReportAt = now() + Millis{static_cast<std::int64_t>(Index) * 4};
    }
  }

  void onRequest(std::uint64_t Id, const HttpRequest &Request) {
    if (Request.Path == "/api/advise") {
      advise(Id, Request);
      return;
    }
    const auto Found = Workers.find(Request.Host);
    auto Order = readOrder(Request.Path, Request.Body);
    if (Found == Workers.end() || !Order) {
      Http->respond(Id, {400, "application/json", "{}"});
      return;
    }
    Order->Id = Id;
    Order->Worker = Found->second.Name;
    auto Answer = Found->second.Body->handleOrder(*Order, now(), false);
    if (Answer) {
      answer(*Answer);
    }
  }

  void answer(const OrderResult &Result) {
    int Status = 0;
    std::string Body = renderAnswer(Result, Status);
    Http->respond(Result.Id, {Status, "application/json", std::move(Body)});
  }

  void advise(std::uint64_t Id, const HttpRequest &Request) {
    const Json Body = Json::parse(Request.Body, nullptr, false);
    const std::string Step = Body.value("step", std::string{});
    Json Told{{"eligible", Json::array()}};
    const Json Named = Body.value("workers", Json::array());
    for (const Json &Name : Named) {
      if (isAdmittedByAdvisor(Step, Name.get<std::string>())) {
        Told["eligible"].push_back({Name, "ticket"});
      }
    }
    // Names of jobs begin with the number of their flow.
    const JobStream &Of = Flows[static_cast<std::size_t>(Step.at(0) - '0')];
    const Millis Takes =
        expectedAnswerTime(*loadQueue(Of.Kind).Advice, Named.size());
    Advice.emplace(now() + Takes, std::make_pair(Id, Told.dump()));
  }

  void step() {
    const Instant Now = now();
    for (auto &[Host, Item] : Workers) {
      (void)Item.Body->takeEvents();
      for (const OrderResult &Each : Item.Body->advance(Now)) {
        answer(Each);
      }
      if (Now >= Item.ReportAt) {
        Item.ReportAt = Now + ReportInterval;
        report(Host, Item);
      }
    }
    while (!Advice.empty() && Advice.begin()->first <= Now) {
      auto [Id, Body] = std::move(Advice.begin()->second);
      Advice.erase(Advice.begin());
      Http->respond(Id, {200, "application/json", std::move(Body)});
    }
    if (!IsConfigured && Now >= ConfigureAt) {
      ConfigureAt = Now + RetryEvery;
      configure();
    }
    for (std::size_t Index = 0; Index < Flows.size(); ++Index) {
      submitDue(Index, Now);
    }
    readJobs(Now);
  }

  void report(const std::string &Host, Worker &Item) {
    const WorkerReport Report = Item.Body->report(now());
    const Json Body{{"service", "pool"},
                    {"address", Host},
                    {"zone", "z"},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"warmup_left_ms", 0},
                    {"capacity",
                     {{"cpu", Report.Capacity.MilliCpus},
                      {"mem_mb", Report.Capacity.MemoryMb},
                      {"gpu", 0}}},
                    {"labels", {"a", "r1-" + Host.substr(6, 3)}},
                    {"clock_ms", Report.Clock},
                    {"born", Report.StartTimeMs},
                    {"seq", Report.Sequence}};
    send("PUT", Wanted.Control, "/api/instances/" + Item.Name, Body.dump(),
         [](const OutboundResponse &) {});
  }

  void send(const char *Method, const std::string &To, const std::string &Path,
            std::string Body, AsyncHttpClient::Handler OnDone) {
    OutboundRequest Request;
    Request.Method = Method;
    Request.Url = "http://" + To + Path;
    Request.Headers = {"Content-Type: application/json",
                       std::string{"Host: "} + QueueHost};
    Request.Body = std::move(Body);
    Request.Timeout = Millis{3000};
    Client.send(Request, std::move(OnDone));
  }

  void configure() {
    Json Routes = Json::array();
    for (const JobStream &Each : Flows) {
      const JobQueue Queue = loadQueue(Each.Kind);
      Routes.push_back({{"name", Queue.Prefix},
                        {"host", QueueHost},
                        {"path_prefix", Queue.Prefix},
                        {"kind", "non_idempotent"},
                        {"timeout_ms", 3000},
                        {"target_latency_ms", Queue.LatencyTarget.count()},
                        {"priority", Queue.Priority},
                        {"service", Queue.Pool},
                        {"max_attempts", Queue.MaxAttempts},
                        {"slack_factor", Queue.SlackFactor},
                        {"advisor",
                         {{"decision_ms", Queue.Advice->DecisionMs},
                          {"per_worker_ms", Queue.Advice->PerWorkerMs},
                          {"valid_ms", Queue.Advice->TicketTtl.count()}}}});
    }
    const Json Body{{"version", 1},
                    {"routes", Routes},
                    {"services",
                     {{{"name", "pool"},
                       {"health_path", "/health"},
                       {"max_conns", 64},
                       {"protocol", "h1"},
                       {"tls", false},
                       {"enforce_limits", false},
                       {"standby", false}}}},
                    {"limits",
                     {{"max_header_bytes", 16384},
                      {"max_body_bytes", 262144},
                      {"header_timeout_ms", 3000},
                      {"idle_timeout_ms", 15000}}}};
    send("PUT", Wanted.Control, "/api/config", Body.dump(),
         [this](const OutboundResponse &Response) {
           IsConfigured = IsConfigured || Response.Status == 200;
         });
  }

  void submitDue(std::size_t Index, Instant Now) {
    JobStream &Of = Flows[Index];
    while (IsConfigured && Of.PerSecond > 0 && Now >= Of.NextAt) {
      Of.NextAt += Millis{static_cast<std::int64_t>(1000 / Of.PerSecond)};
      const std::string Name = std::to_string(Index) + "0000000" +
                               std::to_string(10000000 + Submitted);
      Json Step{{"count", Of.Kind.Tasks},
                {"cpu", Of.Kind.MilliCpus},
                {"mem_mb", LoadTaskMemoryMb},
                {"estimate_ms", Of.Kind.RunTimeMs}};
      Json Next = Step;
      Next["after"] = Json::array({0});
      const Json Body{{"spec", loadPayload(Of.Kind)},
                      {"phases", Json::array({Step, Next})}};
      TrackedJob &Item = Jobs[Name];
      Item.Path = Of.Kind.Prefix + Name;
      Item.SubmittedAt = Now;
      Item.ReadAt = Now + ReadEvery;
      Submitted += 1;
      send("POST", Wanted.Callers, Item.Path, Body.dump(),
           [this, Name](const OutboundResponse &Response) {
             Accepted += Response.Status == 200 ? 1 : 0;
           });
    }
  }

  void readJobs(Instant Now) {
    for (auto &[Name, Item] : Jobs) {
      if (Now < Item.ReadAt) {
        continue;
      }
      Item.ReadAt = Now + ReadEvery;
      send("GET", Wanted.Callers, Item.Path, "",
           [this, Key = Name](const OutboundResponse &Response) {
             if (Response.Body.find("completed") == std::string::npos) {
               return;
             }
             const auto Found = Jobs.find(Key);
             if (Found != Jobs.end()) {
               Turnarounds.push_back(now() - Found->second.SubmittedAt);
               Jobs.erase(Found);
             }
           });
    }
  }

  [[nodiscard]] double meanTurnaround() const {
    Millis Sum{0};
    for (const Millis Each : Turnarounds) {
      Sum += Each;
    }
    const std::size_t Count = std::max<std::size_t>(Turnarounds.size(), 1);
    return static_cast<double>(Sum.count()) / 1000 / static_cast<double>(Count);
  }

  Options Wanted;
  ACE_Reactor Loop{new ACE_Dev_Poll_Reactor, true};
  AsyncHttpClient Client;
  std::unique_ptr<HttpServer> Http;
  std::unique_ptr<ReadableHandler> Waker;
  std::vector<JobStream> Flows;
  std::map<std::string, Worker> Workers;
  std::multimap<Instant, std::pair<std::uint64_t, std::string>> Advice;
  std::map<std::string, TrackedJob> Jobs;
  std::vector<Millis> Turnarounds;
  std::size_t Submitted = 0;
  std::size_t Accepted = 0;
  bool IsConfigured = false;
  Instant ConfigureAt;
};

} // namespace

int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  Options Wanted;
  cxxopts::Options Reader{"mulberryramp_cell_emulator",
                          "Puts a load on a running cell"};
  Reader.add_options()("callers", "address for callers, HOST:PORT",
                       cxxopts::value<std::string>(Wanted.Callers))(
      "control", "address for workers and operator, HOST:PORT",
      cxxopts::value<std::string>(Wanted.Control))(
      "port", "of the workers and the advisor",
      cxxopts::value<std::uint16_t>(Wanted.Port)->default_value("9000"))(
      "workers", "how many",
      cxxopts::value<std::size_t>(Wanted.Workers)->default_value("350"))(
      "short", "short jobs a second",
      cxxopts::value<double>(Wanted.ShortPerSecond)->default_value("40"))(
      "long", "long jobs a second",
      cxxopts::value<double>(Wanted.LongPerSecond)->default_value("4"))(
      "seconds", "of traffic",
      cxxopts::value<std::int64_t>(Wanted.Seconds)->default_value("20"))(
      "help", "this text");
  try {
    const auto Args = Reader.parse(Argc, Argv);
    if (Args.count("help") != 0 || Args.count("callers") == 0 ||
        Args.count("control") == 0) {
      std::cout << Reader.help();
      return Args.count("help") != 0 ? 0 : 2;
    }
  } catch (const cxxopts::exceptions::exception &Problem) {
    std::cerr << Problem.what() << '\n';
    return 2;
  }
  return Emulator{Wanted}.run();
}
