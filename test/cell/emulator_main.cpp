// Load generator for a running cell. It emulates workers, the advisor, callers
// and the operator in real time over HTTP.

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
constexpr Millis ReadInterval{700};
constexpr Millis RetryInterval{300};
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

/// Jobs of one shape that are submitted at a constant rate.
struct JobStream {
  JobShape Shape;
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
  explicit Emulator(const Options &Config)
      : Config{Config}, Client{Reactor, 16, 64},
        Streams{{ShortJob, Config.ShortPerSecond, {}},
                {LongJob, Config.LongPerSecond, {}}} {}

  int run() {
    auto Listening = HttpServer::listen(
        {"0.0.0.0", Config.Port},
        [this](std::uint64_t Id, const HttpRequest &Request) {
          onRequest(Id, Request);
        },
        [](std::uint64_t) {});
    if (!Listening) {
      std::cerr << Listening.error() << '\n';
      return 1;
    }
    Http = std::move(*Listening);
    HttpEvents = std::make_unique<ReadableHandler>(Reactor, Http->descriptor(),
                                                   [this] { Http->run(); });
    addWorkers();
    const Instant Begin = now();
    Instant TrafficStart = Begin + Millis{5000};
    const Instant End = TrafficStart + Millis{Config.Seconds * 1000};
    for (JobStream &Stream : Streams) {
      Stream.NextAt = TrafficStart;
    }
    while (now() < End) {
      ACE_Time_Value Wait{0, 1000};
      while (Reactor.handle_events(Wait) > 0) {
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
  struct WorkerState {
    std::unique_ptr<FakeWorker> Fake;
    std::string Name;
    Instant ReportAt;
  };

  static Instant now() { return SuspendAwareClock::now(); }

  static std::string addressOf(std::size_t Index) {
    return "127.1." + std::to_string(Index / 200) + "." +
           std::to_string(Index % 200 + 1);
  }

  void addWorkers() {
    Resources Capacity;
    Capacity.MilliCpus = LoadWorkerCpus;
    Capacity.MemoryMb = LoadWorkerMemoryMb;
    for (std::size_t Index = 0; Index < Config.Workers; ++Index) {
      const std::string Host =
          addressOf(Index) + ":" + std::to_string(Config.Port);
      WorkerState &Worker = Workers[Host];
      Worker.Name = "i-" + std::to_string(100000 + Index);
      Worker.Fake =
          std::make_unique<FakeWorker>(Worker.Name, Capacity, Index, now());
      Worker.ReportAt = now() + Millis{static_cast<std::int64_t>(Index) * 4};
    }
  }

  void onRequest(std::uint64_t Id, const HttpRequest &Request) {
    if (Request.Path == "/api/advise") {
      advise(Id, Request);
      return;
    }
    const auto It = Workers.find(Request.Host);
    auto Order = decodeOrder(Request.Path, Request.Body);
    if (It == Workers.end() || !Order) {
      Http->respond(Id, {400, "application/json", "{}"});
      return;
    }
    Order->Id = Id;
    Order->Worker = It->second.Name;
    auto Answer = It->second.Fake->handleOrder(*Order, now(), false);
    if (Answer) {
      answer(*Answer);
    }
  }

  void answer(const OrderResult &Result) {
    int Status = 0;
    std::string Body = encodeAnswer(Result, Status);
    Http->respond(Result.Id, {Status, "application/json", std::move(Body)});
  }

  void advise(std::uint64_t Id, const HttpRequest &Request) {
    const Json Body = Json::parse(Request.Body, nullptr, false);
    const std::string Step = Body.value("step", std::string{});
    Json Reply{{"eligible", Json::array()}};
    const Json WorkerNames = Body.value("workers", Json::array());
    for (const Json &Name : WorkerNames) {
      if (isAdmittedByAdvisor(Step, Name.get<std::string>())) {
        Reply["eligible"].push_back({Name, "ticket"});
      }
    }
    // The name of a job begins with the index of its stream.
    const JobStream &Stream =
        Streams[static_cast<std::size_t>(Step.at(0) - '0')];
    const Millis AnswerTime =
        expectedAnswerTime(*loadQueue(Stream.Shape).Advice, WorkerNames.size());
    AdviceInFlight.emplace(now() + AnswerTime,
                           std::make_pair(Id, Reply.dump()));
  }

  void step() {
    const Instant Now = now();
    for (auto &[Host, Worker] : Workers) {
      (void)Worker.Fake->takeEvents();
      for (const OrderResult &Answer : Worker.Fake->advance(Now)) {
        answer(Answer);
      }
      if (Now >= Worker.ReportAt) {
        Worker.ReportAt = Now + ReportInterval;
        report(Host, Worker);
      }
    }
    while (!AdviceInFlight.empty() && AdviceInFlight.begin()->first <= Now) {
      auto [Id, Body] = std::move(AdviceInFlight.begin()->second);
      AdviceInFlight.erase(AdviceInFlight.begin());
      Http->respond(Id, {200, "application/json", std::move(Body)});
    }
    if (!IsConfigured && Now >= ConfigureAt) {
      ConfigureAt = Now + RetryInterval;
      configure();
    }
    for (std::size_t Index = 0; Index < Streams.size(); ++Index) {
      submitDue(Index, Now);
    }
    readJobs(Now);
  }

  void report(const std::string &Host, WorkerState &Worker) {
    const WorkerReport Report = Worker.Fake->report(now());
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
    send("PUT", Config.Control, "/api/instances/" + Worker.Name, Body.dump(),
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
    for (const JobStream &Stream : Streams) {
      const JobQueue Queue = loadQueue(Stream.Shape);
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
    send("PUT", Config.Control, "/api/config", Body.dump(),
         [this](const OutboundResponse &Response) {
           IsConfigured = IsConfigured || Response.Status == 200;
         });
  }

  void submitDue(std::size_t Index, Instant Now) {
    JobStream &Stream = Streams[Index];
    while (IsConfigured && Stream.PerSecond > 0 && Now >= Stream.NextAt) {
      Stream.NextAt +=
          Millis{static_cast<std::int64_t>(1000 / Stream.PerSecond)};
      const std::string Name = std::to_string(Index) + "0000000" +
                               std::to_string(10000000 + Submitted);
      Json Step{{"count", Stream.Shape.Tasks},
                {"cpu", Stream.Shape.MilliCpus},
                {"mem_mb", LoadTaskMemoryMb},
                {"estimate_ms", Stream.Shape.RunTimeMs}};
      Json Next = Step;
      Next["after"] = Json::array({0});
      const Json Body{{"spec", loadPayload(Stream.Shape)},
                      {"phases", Json::array({Step, Next})}};
      TrackedJob &Job = Jobs[Name];
      Job.Path = Stream.Shape.Prefix + Name;
      Job.SubmittedAt = Now;
      Job.ReadAt = Now + ReadInterval;
      Submitted += 1;
      send("POST", Config.Callers, Job.Path, Body.dump(),
           [this, Name](const OutboundResponse &Response) {
             Accepted += Response.Status == 200 ? 1 : 0;
           });
    }
  }

  void readJobs(Instant Now) {
    for (auto &[Name, Job] : Jobs) {
      if (Now < Job.ReadAt) {
        continue;
      }
      Job.ReadAt = Now + ReadInterval;
      send("GET", Config.Callers, Job.Path, "",
           [this, Key = Name](const OutboundResponse &Response) {
             if (Response.Body.find("completed") == std::string::npos) {
               return;
             }
             const auto It = Jobs.find(Key);
             if (It != Jobs.end()) {
               Turnarounds.push_back(now() - It->second.SubmittedAt);
               Jobs.erase(It);
             }
           });
    }
  }

  [[nodiscard]] double meanTurnaround() const {
    Millis Total{0};
    for (const Millis Turnaround : Turnarounds) {
      Total += Turnaround;
    }
    const std::size_t Count = std::max<std::size_t>(Turnarounds.size(), 1);
    return static_cast<double>(Total.count()) / 1000 /
           static_cast<double>(Count);
  }

  Options Config;
  ACE_Reactor Reactor{new ACE_Dev_Poll_Reactor, true};
  AsyncHttpClient Client;
  std::unique_ptr<HttpServer> Http;
  std::unique_ptr<ReadableHandler> HttpEvents;
  std::vector<JobStream> Streams;
  std::map<std::string, WorkerState> Workers;
  std::multimap<Instant, std::pair<std::uint64_t, std::string>> AdviceInFlight;
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
  Options Config;
  cxxopts::Options Parser{"mulberryramp_cell_emulator",
                          "Generates load on a running cell"};
  Parser.add_options()("callers", "address of the cell for callers, HOST:PORT",
                       cxxopts::value<std::string>(Config.Callers))(
      "control", "address of the cell for workers and the operator, HOST:PORT",
      cxxopts::value<std::string>(Config.Control))(
      "port", "port on which the workers and the advisor listen",
      cxxopts::value<std::uint16_t>(Config.Port)->default_value("9000"))(
      "workers", "number of workers",
      cxxopts::value<std::size_t>(Config.Workers)->default_value("350"))(
      "short", "short jobs per second",
      cxxopts::value<double>(Config.ShortPerSecond)->default_value("40"))(
      "long", "long jobs per second",
      cxxopts::value<double>(Config.LongPerSecond)->default_value("4"))(
      "seconds", "duration of the traffic in seconds",
      cxxopts::value<std::int64_t>(Config.Seconds)->default_value("20"))(
      "help", "print this help");
  try {
    const auto Args = Parser.parse(Argc, Argv);
    if (Args.count("help") != 0 || Args.count("callers") == 0 ||
        Args.count("control") == 0) {
      std::cout << Parser.help();
      return Args.count("help") != 0 ? 0 : 2;
    }
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << Error.what() << '\n';
    return 2;
  }
  return Emulator{Config}.run();
}
