#include "mulberryramp/core/time.hpp"
#include "mulberryramp/http/client.hpp"
#include "standin/worker_core.hpp"
#include "standin/worker_json.hpp"

#include <cxxopts.hpp>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>

namespace {

using namespace mulberryramp;
using namespace mulberryramp::test;

constexpr Millis PollTimeout{6000};
constexpr Millis RetryDelay{50};
constexpr Millis TickInterval{5};

volatile std::sig_atomic_t ReceivedSignal = 0;

void onSignal(int Signal) { ReceivedSignal = Signal; }

std::vector<std::string> splitComma(const std::string &Text) {
  std::vector<std::string> Names;
  std::istringstream Source{Text};
  for (std::string Name; std::getline(Source, Name, ',');) {
    Names.push_back(Name);
  }
  return Names;
}

/// Stand-in worker process. One thread ends tasks and two threads poll: while a
/// long poll of one is open, the other supersedes it as soon as a task has
/// ended.
class StandInWorker {
public:
  StandInWorker(WorkerCore Core, std::vector<std::string> Daemons,
                std::string RunLog)
      : Core{std::move(Core)}, Daemons{std::move(Daemons)}, RunLog{std::move(
                                                                RunLog)} {}

  int run() {
    std::thread Ticker{[this] { tickLoop(); }};
    std::thread SecondPoller{[this] { pollLoop(); }};
    pollLoop();
    SecondPoller.join();
    Ticker.join();
    return 0;
  }

private:
  void tickLoop() {
    while (!IsFinished) {
      std::this_thread::sleep_for(TickInterval);
      const std::lock_guard Guard{Mutex};
      Core.tick(SuspendAwareClock::now());
      logRuns();
      if (ReceivedSignal == SIGTERM) {
        Core.startDraining();
        IsFinished = Core.running() == 0 && !Core.wantsPoll();
      }
      Wake.notify_all();
    }
  }

  void logRuns() {
    if (RunLog.empty()) {
      return;
    }
    for (; LoggedRuns < Core.runs().size(); ++LoggedRuns) {
      const RunRecord &Run = Core.runs()[LoggedRuns];
      std::ofstream{RunLog, std::ios::app}
          << Run.Customer << ' ' << Run.Key << ' ' << Run.Ordinal << ' '
          << Run.Attempt << ' ' << Core.name() << '\n';
    }
  }

  void pollLoop() {
    HttpClient Client;
    while (!IsFinished) {
      pollOnce(Client);
    }
  }

  void pollOnce(HttpClient &Client) {
    std::unique_lock Guard{Mutex};
    Wake.wait(Guard, [this] {
      return IsFinished || (SuspendAwareClock::now() >= RetryAt &&
                            (!Core.isPollOpen() || Core.wantsPoll()));
    });
    if (IsFinished) {
      return;
    }
    const WorkerPoll Poll = Core.makePoll(SuspendAwareClock::now());
    const std::uint64_t Number = Core.newestPoll();
    const std::string Url =
        "http://" + Daemons[DaemonIndex] + "/v1/worker/poll";
    Guard.unlock();
    const auto Response = Client.post(Url, renderPoll(Poll), PollTimeout);
    const auto Reply = Response ? parseReply(Response->Body) : std::nullopt;
    Guard.lock();
    if (Number != Core.newestPoll()) {
      return;
    }
    if (!Reply || Reply->Verdict != PollVerdict::Accepted) {
      Core.pollFailed(Number);
      chooseNextDaemon(Reply);
      RetryAt = SuspendAwareClock::now() + RetryDelay;
      return;
    }
    Core.handleReply(Number, *Reply, SuspendAwareClock::now());
  }

  void chooseNextDaemon(const std::optional<WorkerReply> &Reply) {
    if (Reply && Reply->Verdict == PollVerdict::Wait) {
      return;
    }
    if (Reply && !Reply->Leader.empty()) {
      for (std::size_t Index = 0; Index < Daemons.size(); ++Index) {
        if (Daemons[Index] == Reply->Leader) {
          DaemonIndex = Index;
          return;
        }
      }
    }
    DaemonIndex = (DaemonIndex + 1) % Daemons.size();
  }

  WorkerCore Core;
  std::vector<std::string> Daemons;
  std::string RunLog;
  std::size_t DaemonIndex = 0;
  std::size_t LoggedRuns = 0;
  Instant RetryAt;
  std::mutex Mutex;
  std::condition_variable Wake;
  std::atomic<bool> IsFinished{false};
};

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options{"standin_worker", "Stand-in worker for tests"};
  Options.add_options()("name", "", cxxopts::value<std::string>())(
      "centre", "", cxxopts::value<std::string>())(
      "rack", "", cxxopts::value<std::string>()->default_value("rack-1"))(
      "daemons", "", cxxopts::value<std::string>())(
      "cpus", "", cxxopts::value<std::int64_t>()->default_value("32"))(
      "memory-mb", "", cxxopts::value<std::int64_t>()->default_value("131072"))(
      "accelerators", "", cxxopts::value<std::int64_t>()->default_value("0"))(
      "slots", "", cxxopts::value<std::int64_t>()->default_value("8"))(
      "run-log", "", cxxopts::value<std::string>()->default_value(""))(
      "fails", "")("refuses", "")("splits", "")("ignores-stops", "")(
      "slow", "", cxxopts::value<int>()->default_value("1"));
  try {
    const auto Args = Options.parse(Argc, Argv);
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    Resources Capacity;
    Capacity.MilliCpus = Args["cpus"].as<std::int64_t>() * 1000;
    Capacity.MemoryMb = Args["memory-mb"].as<std::int64_t>();
    Capacity.Accelerators = Args["accelerators"].as<std::int64_t>();
    Capacity.Slots = Args["slots"].as<std::int64_t>();
    Capacity.Connections = 64;
    const auto Incarnation =
        static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
    WorkerCore Core{Args["name"].as<std::string>(),
                    Args["centre"].as<std::string>(),
                    Args["rack"].as<std::string>(), Capacity, Incarnation};
    Core.Faults.FailsEverything = Args.count("fails") != 0;
    Core.Faults.RefusesEverything = Args.count("refuses") != 0;
    Core.Faults.SplitsAnswers = Args.count("splits") != 0;
    Core.Faults.IgnoresStops = Args.count("ignores-stops") != 0;
    Core.Faults.SlowFactor = Args["slow"].as<int>();
    StandInWorker Worker{std::move(Core),
                         splitComma(Args["daemons"].as<std::string>()),
                         Args["run-log"].as<std::string>()};
    return Worker.run();
  } catch (const std::exception &Error) {
    std::cerr << "standin_worker: " << Error.what() << "\n" << Options.help();
    return 2;
  }
}
