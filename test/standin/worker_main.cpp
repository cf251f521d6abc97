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
constexpr Millis RetryPause{50};
constexpr Millis TickEvery{5};

volatile std::sig_atomic_t Signalled = 0;

void onSignal(int Signal) { Signalled = Signal; }

std::vector<std::string> splitComma(const std::string &Text) {
  std::vector<std::string> Items;
  std::istringstream Source{Text};
  for (std::string Item; std::getline(Source, Item, ',');) {
    Items.push_back(Item);
  }
  return Items;
}

/// Stand-in worker: two threads poll in turn, another lets the tasks end. A
/// poll that waits is superseded by the other thread's when a task has ended.
class StandInWorker {
public:
  StandInWorker(WorkerCore Core, std::vector<std::string> Daemons,
                std::string RunLog)
      : Core{std::move(Core)}, Daemons{std::move(Daemons)}, RunLog{std::move(
                                                                RunLog)} {}

  int run() {
    std::thread Ticker{[this] { tickLoop(); }};
    std::thread Second{[this] { pollLoop(); }};
    pollLoop();
    Second.join();
    Ticker.join();
    return 0;
  }

private:
  void tickLoop() {
    while (!IsOver) {
      std::this_thread::sleep_for(TickEvery);
      const std::lock_guard Hold{Lock};
      Core.tick(SuspendAwareClock::now());
      writeRuns();
      if (Signalled == SIGTERM) {
        Core.startDraining();
        IsOver = Core.running() == 0 && !Core.wantsPoll();
      }
      Wake.notify_all();
    }
  }

  void writeRuns() {
    if (RunLog.empty()) {
      return;
    }
    for (; Written < Core.runs().size(); ++Written) {
      const RunRecord &Run = Core.runs()[Written];
      std::ofstream{RunLog, std::ios::app}
          << Run.Customer << ' ' << Run.Key << ' ' << Run.Ordinal << ' '
          << Run.Attempt << ' ' << Core.name() << '\n';
    }
  }

  void pollLoop() {
    HttpClient Client;
    while (!IsOver) {
      pollOnce(Client);
    }
  }

  void pollOnce(HttpClient &Client) {
    std::unique_lock Hold{Lock};
    Wake.wait(Hold, [this] {
      return IsOver || (SuspendAwareClock::now() >= PauseUntil &&
                        (!Core.isPollOpen() || Core.wantsPoll()));
    });
    if (IsOver) {
      return;
    }
    const WorkerPoll Poll = Core.makePoll(SuspendAwareClock::now());
    const std::uint64_t Number = Core.newestPoll();
    const std::string Url = "http://" + Daemons[Turn] + "/v1/worker/poll";
    Hold.unlock();
    const auto Response = Client.post(Url, renderPoll(Poll), PollTimeout);
    const auto Reply = Response ? parseReply(Response->Body) : std::nullopt;
    Hold.lock();
    if (Number != Core.newestPoll()) {
      return;
    }
    if (!Reply || Reply->Verdict != PollVerdict::Accepted) {
      Core.pollFailed(Number);
      chooseNext(Reply);
      PauseUntil = SuspendAwareClock::now() + RetryPause;
      return;
    }
    Core.handleReply(Number, *Reply, SuspendAwareClock::now());
  }

  void chooseNext(const std::optional<WorkerReply> &Reply) {
    if (Reply && Reply->Verdict == PollVerdict::Wait) {
      return;
    }
    if (Reply && !Reply->Leader.empty()) {
      for (std::size_t Index = 0; Index < Daemons.size(); ++Index) {
        if (Daemons[Index] == Reply->Leader) {
          Turn = Index;
          return;
        }
      }
    }
    Turn = (Turn + 1) % Daemons.size();
  }

  WorkerCore Core;
  std::vector<std::string> Daemons;
  std::string RunLog;
  std::size_t Turn = 0;
  std::size_t Written = 0;
  Instant PauseUntil;
  std::mutex Lock;
  std::condition_variable Wake;
  std::atomic<bool> IsOver{false};
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
    const auto Parsed = Options.parse(Argc, Argv);
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    Resources Capacity;
    Capacity.MilliCpus = Parsed["cpus"].as<std::int64_t>() * 1000;
    Capacity.MemoryMb = Parsed["memory-mb"].as<std::int64_t>();
    Capacity.Accelerators = Parsed["accelerators"].as<std::int64_t>();
    Capacity.Slots = Parsed["slots"].as<std::int64_t>();
    Capacity.Connections = 64;
    const auto Incarnation =
        static_cast<std::uint64_t>(wallNow().time_since_epoch().count());
    WorkerCore Core{Parsed["name"].as<std::string>(),
                    Parsed["centre"].as<std::string>(),
                    Parsed["rack"].as<std::string>(), Capacity, Incarnation};
    Core.Faults.FailsEverything = Parsed.count("fails") != 0;
    Core.Faults.RefusesEverything = Parsed.count("refuses") != 0;
    Core.Faults.SplitsAnswers = Parsed.count("splits") != 0;
    Core.Faults.IgnoresStops = Parsed.count("ignores-stops") != 0;
    Core.Faults.SlowFactor = Parsed["slow"].as<int>();
    StandInWorker Worker{std::move(Core),
                         splitComma(Parsed["daemons"].as<std::string>()),
                         Parsed["run-log"].as<std::string>()};
    return Worker.run();
  } catch (const std::exception &Error) {
    std::cerr << "standin_worker: " << Error.what() << "\n" << Options.help();
    return 2;
  }
}
