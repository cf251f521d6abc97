// Stand-in for a worker. It follows the section "Running tasks" of the
// platform's PROTOCOL.md.
#pragma once

#include "cell.h"

#include <condition_variable>

namespace review {

struct WorkerKind {
  std::string Kind = "a"; // First label.
  std::string Rack = "r1-1";
  std::int64_t Cpu = 32000;
  std::int64_t MemoryMb = 131072;
};

// A start as the worker has seen it.
struct SeenStart {
  std::string Task;
  int Attempt = 0;
  std::string Kind; // First label of the lifetime that began it.
  std::int64_t At = 0;
};

class Worker {
public:
  // A task with the spec "work N ..." runs for N ms and ends `done`.
  Worker(Cell &Nodes, Record &Log, std::string Id, std::string Host)
      : Nodes{Nodes}, Log{Log}, Id{std::move(Id)}, Host{std::move(Host)} {}
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;
  ~Worker() { crash(); }

  // Begins a lifetime. The first heartbeat follows after `FirstBeatMs`.
  bool start(const WorkerKind &NewKind, std::int64_t FirstBeatMs) {
    {
      const std::lock_guard Lock{Mutex};
      Kind = NewKind;
      Born = unixMs();
      StartedAt = steadyMs();
      IsUp = true;
    }
    Http = std::make_unique<Server>(
        Host, Nodes.workerPort(),
        [this](const Message &Request) { return handle(Request); });
    if (!Http->start()) {
      Log.line("worker %s cannot listen", Id.c_str());
      return false;
    }
    Log.line("worker %s lives: kind %s, born %lld", Id.c_str(),
             Kind.Kind.c_str(), static_cast<long long>(Born));
    Beats = std::thread{[this, FirstBeatMs] { beat(FirstBeatMs); }};
    Clock = std::thread{[this] { run(); }};
    return true;
  }

  // Ends the lifetime without a word; all that ran there is gone.
  void crash() {
    {
      const std::lock_guard Lock{Mutex};
      if (!IsUp) {
        return;
      }
      IsUp = false;
      Running.clear();
      Ends.clear();
      HighestEnded.clear();
      LastEnd = 0;
      Fence = 0;
      LeaseEnd = 0;
      Sequence = 0;
    }
    Changed.notify_all();
    Log.line("worker %s crashes", Id.c_str());
    Http->stop();
    Beats.join();
    Clock.join();
    BeatAddress.clear();
  }

  [[nodiscard]] const std::string &id() const { return Id; }
  [[nodiscard]] std::vector<std::string> runningTasks() {
    const std::lock_guard Lock{Mutex};
    std::vector<std::string> Tasks;
    for (const auto &[Task, Each] : Running) {
      Tasks.push_back(Task);
    }
    return Tasks;
  }
  [[nodiscard]] std::vector<SeenStart> starts() {
    const std::lock_guard Lock{Mutex};
    return Starts;
  }

private:
  struct Attempt {
    int Number = 0;
    std::int64_t BeganAt = 0;
    std::int64_t EndsAt = 0;
    bool IsStopping = false;
  };

  [[nodiscard]] std::int64_t clockMs() const { return steadyMs() - StartedAt; }

  Reply handle(const Message &Request) {
    if (Request.Method == "GET") {
      return {};
    }
    const auto Expected = Request.Headers.find("x-expected-instance");
    if (Expected != Request.Headers.end() && Expected->second != Id) {
      return {421, "{}", false};
    }
    const Json Body = Json::parse(Request.Body, nullptr, false);
    if (!Body.is_object()) {
      return {400, "{}", false};
    }
    std::unique_lock Lock{Mutex};
    if (!IsUp) {
      return {0, "", true};
    }
    const std::uint64_t Token = Body.value("fencing_token", std::uint64_t{0});
    if (Token < Fence) {
      return refuse("fence");
    }
    Fence = Token;
    if (Request.Path == "/api/hold") {
      return hold(Body, Lock);
    }
    const std::string Task = Body.value("task", std::string{});
    const int Number = Body.value("attempt", 0);
    if (Request.Path == "/api/run-start") {
      return begin(Body, Task, Number);
    }
    if (Request.Path == "/api/run-stop") {
      const auto It = Running.find(Task);
      if (It != Running.end() && It->second.Number <= Number &&
          !It->second.IsStopping) {
        It->second.IsStopping = true;
        It->second.EndsAt = clockMs() + StopMs;
      }
      HighestEnded[Task] = std::max(HighestEnded[Task], Number);
      Log.line("worker %s told to stop %s attempt %d", Id.c_str(),
               Task.c_str(), Number);
    }
    return answer({});
  }

  Reply begin(const Json &Body, const std::string &Task, int Number) {
    const std::int64_t Expires = Body.value("expires_ms", std::int64_t{0});
    const auto It = Running.find(Task);
    if (It != Running.end() && It->second.Number == Number) {
      extendLease(Expires);
      return answer({});
    }
    if (It != Running.end() || Number <= HighestEnded[Task]) {
      extendLease(Expires);
      return refuse("old");
    }
    if (Expires <= clockMs()) {
      return refuse("late");
    }
    extendLease(Expires);
    const std::string Spec = Body.value("spec", std::string{});
    Attempt New;
    New.Number = Number;
    New.BeganAt = clockMs();
    New.EndsAt = New.BeganAt + std::max(std::atoll(Spec.c_str() + 5), 1LL);
    Running[Task] = New;
    Starts.push_back({Task, Number, Kind.Kind, steadyMs()});
    if (IsVerbose) {
      Log.line("worker %s (kind %s) starts %s attempt %d", Id.c_str(),
               Kind.Kind.c_str(), Task.c_str(), Number);
    }
    return answer({});
  }

  Reply hold(const Json &Body, std::unique_lock<std::mutex> &Lock) {
    const std::int64_t Ack = Body.value("ack_cursor", std::int64_t{0});
    std::erase_if(Ends, [Ack](const Json &End) {
      return End[0].get<std::int64_t>() <= Ack;
    });
    extendLease(Body.value("expires_ms", std::int64_t{0}));
    const std::int64_t Until =
        steadyMs() + std::min<std::int64_t>(
                         Body.value("wait_ms", std::int64_t{0}), 2000);
    while (IsUp && Ends.empty() && steadyMs() < Until) {
      Changed.wait_for(Lock, std::chrono::milliseconds{Until - steadyMs()});
    }
    if (!IsUp) {
      return {0, "", true};
    }
    Json Lists{{"running", Json::array()}, {"finished", Json::array()}};
    for (const auto &[Task, Each] : Running) {
      const std::int64_t Whole = Each.EndsAt - Each.BeganAt;
      const std::int64_t Done = clockMs() - Each.BeganAt;
      Lists["running"].push_back(
          {Task, Each.Number, "",
           std::clamp<std::int64_t>(Done * 100 / Whole, 0, 99),
           1000});
    }
    for (const Json &End : Ends) {
      if (Lists["finished"].size() < 500) {
        Lists["finished"].push_back(End);
      }
    }
    return answer(std::move(Lists));
  }

  Reply answer(Json Body) {
    if (Body.is_null()) {
      Body = Json::object();
    }
    Body["clock_ms"] = clockMs();
    Body["born"] = Born;
    return {200, Body.dump(), false};
  }

  Reply refuse(const char *Reason) {
    return {409,
            Json{{"clock_ms", clockMs()}, {"born", Born}, {"reason", Reason}}
                .dump(),
            false};
  }

  void extendLease(std::int64_t Expires) {
    LeaseEnd =
        std::max(LeaseEnd, std::min(Expires, clockMs() + HoldMaxMs));
  }

  void end(const std::string &Task, const char *How) {
    LastEnd += 1;
    const int Number = Running[Task].Number;
    HighestEnded[Task] = std::max(HighestEnded[Task], Number);
    Ends.push_back({LastEnd, Task, Number, How, ""});
    Running.erase(Task);
    if (IsVerbose) {
      Log.line("worker %s: %s attempt %d ends %s", Id.c_str(), Task.c_str(),
               Number, How);
    }
  }

  // Ends tasks that are due, and all of them when the lease expires.
  void run() {
    std::unique_lock Lock{Mutex};
    while (IsUp) {
      const std::int64_t Now = clockMs();
      std::vector<std::pair<std::string, const char *>> Due;
      for (const auto &[Task, Each] : Running) {
        if (Now >= LeaseEnd) {
          Due.emplace_back(Task, "lapsed");
        } else if (Now >= Each.EndsAt) {
          Due.emplace_back(Task, Each.IsStopping ? "stopped" : "done");
        }
      }
      for (const auto &[Task, How] : Due) {
        end(Task, How);
      }
      if (!Due.empty()) {
        Changed.notify_all();
      }
      Lock.unlock();
      sleepMs(5);
      Lock.lock();
    }
  }

  void beat(std::int64_t FirstBeatMs) {
    std::int64_t NextAt = steadyMs() + FirstBeatMs;
    std::size_t Turn = 0;
    while (true) {
      {
        std::unique_lock Lock{Mutex};
        while (IsUp && steadyMs() < NextAt) {
          Changed.wait_for(Lock,
                           std::chrono::milliseconds{NextAt - steadyMs()});
        }
        if (!IsUp) {
          return;
        }
      }
      NextAt = steadyMs() + HeartbeatMs;
      for (std::size_t Try = 0; Try < Nodes.voters(); ++Try) {
        std::string To = BeatAddress;
        if (To.empty()) {
          To = Nodes.host(Turn % Nodes.voters()) + ":" +
               std::to_string(Nodes.controlPort());
          Turn += 1;
        }
        if (sendBeat(To)) {
          break;
        }
        BeatAddress.clear();
      }
    }
  }

  bool sendBeat(const std::string &To) {
    Json Body;
    {
      const std::lock_guard Lock{Mutex};
      if (!IsUp) {
        return true;
      }
      Sequence += 1;
      Body = {{"service", ServiceName},
              {"address", Host + ":" + std::to_string(Nodes.workerPort())},
              {"zone", "zagreb-a"},
              {"version", "v1"},
              {"slots", 8},
              {"state", "ready"},
              {"warmup_left_ms", 0},
              {"capacity",
               {{"cpu", Kind.Cpu}, {"mem_mb", Kind.MemoryMb}, {"gpu", 0}}},
              {"labels", {Kind.Kind, Kind.Rack}},
              {"clock_ms", clockMs()},
              {"born", Born},
              {"seq", Sequence}};
    }
    const std::size_t Colon = To.find(':');
    Client Control{To.substr(0, Colon), std::atoi(To.c_str() + Colon + 1)};
    const Message Answer = Control.request("PUT", "/api/instances/" + Id, To,
                                           Body.dump(), 1000);
    if (Answer.Status / 100 != 2) {
      return false;
    }
    if (Body["seq"] == 1) {
      Log.line("worker %s: first heartbeat of kind %s acknowledged",
               Id.c_str(), Body["labels"][0].get<std::string>().c_str());
    }
    const Json Reply = Json::parse(Answer.Body, nullptr, false);
    if (Reply.is_object()) {
      BeatAddress = Reply.value("heartbeat_addr", std::string{});
    }
    return true;
  }

  Cell &Nodes;
  Record &Log;
  std::string Id;
  std::string Host;
  WorkerKind Kind;
  std::int64_t Born = 0;
  std::int64_t StartedAt = 0;
  std::unique_ptr<Server> Http;
  std::thread Beats;
  std::thread Clock;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool IsUp = false;
  std::uint64_t Fence = 0;
  std::int64_t LeaseEnd = 0;
  std::uint64_t Sequence = 0;
  std::int64_t LastEnd = 0;
  std::map<std::string, Attempt> Running;
  std::map<std::string, int> HighestEnded;
  std::vector<Json> Ends;
  std::vector<SeenStart> Starts;
  std::string BeatAddress; // Only used by the heartbeat thread.

public:
  bool IsVerbose = true;
};

} // namespace review
