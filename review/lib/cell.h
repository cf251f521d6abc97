// Processes of a small deployment on loopback addresses, and the record of a
// case.
#pragma once

#include "net.h"

#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

using Json = nlohmann::json;

// Bounds of the deployment, as in the sheet of the site klupa-hq.
constexpr std::int64_t HeartbeatMs = 1500;
constexpr std::int64_t HoldMaxMs = 6000;
constexpr std::int64_t StopMs = 300; // `stop_timeout_ms` is 900.
constexpr std::int64_t ContactWindowMs = 3000;
constexpr std::int64_t VisibleMs = 3000;
constexpr std::int64_t ConfigApplyMs = 2500;
constexpr double RecoverySeconds = 12;
constexpr const char *QueueHost = "annex.example";
constexpr const char *ServiceName = "dispatch";
constexpr std::int64_t RequestTimeoutMs = 3000;

// Writes the lines of record.txt, with the time since the start of the case.
class Record {
public:
  explicit Record(const std::string &Name)
      : File{std::fopen(Name.c_str(), "w")}, Begin{steadyMs()} {}
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;
  ~Record() { std::fclose(File); }

  __attribute__((format(printf, 2, 3))) void line(const char *Format, ...) {
    const std::lock_guard Lock{Mutex};
    const std::int64_t At = steadyMs() - Begin;
    std::fprintf(File, "%3d.%03d ", static_cast<int>(At / 1000),
                 static_cast<int>(At % 1000));
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(File, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', File);
    std::fflush(File);
  }

private:
  std::FILE *File;
  std::int64_t Begin;
  std::mutex Mutex;
};

inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string{Value} != "0";
}

// The nodes of a cell: voters and relays, each with an address of its own.
class Cell {
public:
  Cell(Record &Log, int VoterCount, int RelayCount) : Log{Log} {
    Root = std::filesystem::temp_directory_path() /
           ("review-" + std::to_string(::getpid()));
    std::filesystem::create_directories(Root);
    std::ifstream Source{"deploy/node.ini"};
    Template = {std::istreambuf_iterator<char>{Source}, {}};
    std::mt19937 Random{static_cast<unsigned>(::getpid())};
    Net = "127." + std::to_string(20 + Random() % 200);
    for (int Index = 0; Index < VoterCount + RelayCount; ++Index) {
      Node New;
      New.IsVoter = Index < VoterCount;
      New.Name = (New.IsVoter ? "core-" : "frontend-") + std::to_string(Index);
      New.Host = Net + (New.IsVoter ? ".1." : ".2.") +
                 std::to_string(Index + 1);
      Nodes.push_back(New);
    }
    do {
      BasePort = 20000 + static_cast<int>(Random() % 30000);
    } while (!arePortsFree());
  }
  Cell(const Cell &) = delete;
  Cell &operator=(const Cell &) = delete;

  ~Cell() {
    for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
      signal(Index, SIGKILL);
      reap(Index);
    }
    std::error_code Ignored;
    std::filesystem::remove_all(Root, Ignored);
  }

  [[nodiscard]] std::size_t size() const { return Nodes.size(); }
  [[nodiscard]] bool isVoter(std::size_t Index) const {
    return Nodes[Index].IsVoter;
  }
  [[nodiscard]] const std::string &host(std::size_t Index) const {
    return Nodes[Index].Host;
  }
  [[nodiscard]] const std::string &net() const { return Net; }
  [[nodiscard]] int callersPort() const { return BasePort; }
  [[nodiscard]] int controlPort() const { return BasePort + 1; }
  [[nodiscard]] int advisorPort() const { return BasePort + 5; }
  [[nodiscard]] int workerPort() const { return BasePort + 6; }
  [[nodiscard]] std::size_t voters() const {
    std::size_t Count = 0;
    for (const Node &Each : Nodes) {
      Count += Each.IsVoter ? 1 : 0;
    }
    return Count;
  }

  // Starts a node; `IsFirst` is true only for the first start of the cell.
  void start(std::size_t Index, bool IsFirst) {
    Node &Target = Nodes[Index];
    const std::string Settings = Root / (Target.Name + ".ini");
    std::ofstream{Settings} << render(Target, IsFirst);
    const std::string LogFile = Root / (Target.Name + ".log");
    const pid_t Child = ::fork();
    if (Child == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the case.
      const int Output = ::open(LogFile.c_str(),
                                O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
      ::dup2(Output, STDOUT_FILENO);
      ::dup2(Output, STDERR_FILENO);
      ::setenv("MULBERRYRAMP_NODE_FILE", Settings.c_str(), 1);
      ::execl("target/mulberryramp-platform", "target/mulberryramp-platform",
              static_cast<char *>(nullptr));
      ::_exit(127);
    }
    Target.Process = Child;
    Target.Starts += 1;
    Log.line("process %s started, bootstrap %s", Target.Name.c_str(),
             IsFirst ? "true" : "false");
  }

  void startAll() {
    for (std::size_t Index = 0; Index < Nodes.size(); ++Index) {
      start(Index, true);
    }
  }

  void signal(std::size_t Index, int Number) {
    if (Nodes[Index].Process > 0) {
      ::kill(Nodes[Index].Process, Number);
    }
  }

  void reap(std::size_t Index) {
    if (Nodes[Index].Process > 0) {
      ::waitpid(Nodes[Index].Process, nullptr, 0);
      Nodes[Index].Process = 0;
    }
  }

  // Removes all that a voter has stored.
  void wipeDisk(std::size_t Index) {
    std::error_code Ignored;
    std::filesystem::remove_all(Root / Nodes[Index].Name, Ignored);
    Log.line("disk of %s is empty", Nodes[Index].Name.c_str());
  }

  // Tells whether the process of a node has ended by itself, and restarts it as
  // the platform does.
  bool restartIfEnded(std::size_t Index) {
    Node &Target = Nodes[Index];
    int Status = 0;
    if (Target.Process > 0 &&
        ::waitpid(Target.Process, &Status, WNOHANG) == Target.Process) {
      Log.line("process %s ended by itself: %s %d", Target.Name.c_str(),
               WIFSIGNALED(Status) ? "signal" : "exit status",
               WIFSIGNALED(Status) ? WTERMSIG(Status) : WEXITSTATUS(Status));
      Target.Process = 0;
      Target.OwnEnds += 1;
      start(Index, false);
      return true;
    }
    return false;
  }

  [[nodiscard]] int ownEnds(std::size_t Index) const {
    return Nodes[Index].OwnEnds;
  }

  // Resident memory of the process of a node in MB; 0 if it does not run.
  [[nodiscard]] long residentMb(std::size_t Index) const {
    std::ifstream Status{"/proc/" + std::to_string(Nodes[Index].Process) +
                         "/status"};
    for (std::string Line; std::getline(Status, Line);) {
      if (Line.starts_with("VmRSS:")) {
        return std::atol(Line.c_str() + 6) / 1024;
      }
    }
    return 0;
  }

  // Copies the lines of the log of a node that contain a text to the record.
  void quoteLog(std::size_t Index, const std::string &Text, int MaxLines) {
    std::ifstream Source{Root / (Nodes[Index].Name + ".log")};
    for (std::string Line; std::getline(Source, Line) && MaxLines > 0;) {
      if (Line.find(Text) != std::string::npos) {
        const std::size_t Begin = Line.find("] ");
        Log.line("log of %s: %s", Nodes[Index].Name.c_str(),
                 Begin == std::string::npos ? Line.c_str()
                                            : Line.c_str() + Begin + 2);
        MaxLines -= 1;
      }
    }
  }

private:
  struct Node {
    std::string Name;
    std::string Host;
    bool IsVoter = false;
    pid_t Process = 0;
    int Starts = 0;
    int OwnEnds = 0;
  };

  [[nodiscard]] bool arePortsFree() const {
    for (const Node &Each : Nodes) {
      for (int Offset = 0; Offset < 5; ++Offset) {
        if (!isFree(Each.Host, BasePort + Offset)) {
          return false;
        }
      }
    }
    return true;
  }

  // Fills in the project's template of the settings.
  [[nodiscard]] std::string render(const Node &Target, bool IsFirst) const {
    std::string Seeds;
    for (const Node &Each : Nodes) {
      if (Each.IsVoter) {
        Seeds += (Seeds.empty() ? "" : ",") + Each.Host + ":" +
                 std::to_string(controlPort());
      }
    }
    const auto At = [&](int Port) {
      return Target.Host + ":" + std::to_string(Port);
    };
    const std::map<std::string, std::string> Values = {
        {"node_name", Target.Name},
        {"ip", Target.Host},
        {"zone", "zagreb-a"},
        {"region", "kontinent"},
        {"data_dir", Target.IsVoter ? (Root / Target.Name).string() : ""},
        {"listen.frontend", Target.IsVoter ? "" : At(BasePort)},
        {"listen.readiness", Target.IsVoter ? "" : At(BasePort + 2)},
        {"listen.control", Target.IsVoter ? At(controlPort()) : ""},
        {"port_range.0", std::to_string(BasePort + 4)},
        {"seeds", Seeds},
        {"quorum_member", Target.IsVoter ? "true" : "false"},
        {"bootstrap", IsFirst ? "true" : "false"},
        {"fault_tolerance.machines", "1"},
        {"advisor", Net + ".9.1:" + std::to_string(advisorPort())},
        {"limits.max_fds", "4096"},
        {"bounds.hold_max_ms", std::to_string(HoldMaxMs)},
        {"heartbeat_ms", std::to_string(HeartbeatMs)}};
    std::string Text = Template;
    for (const auto &[Name, Value] : Values) {
      const std::string Mark = "{{" + Name + "}}";
      for (std::size_t Place = 0;
           (Place = Text.find(Mark, Place)) != std::string::npos;
           Place += Value.size()) {
        Text.replace(Place, Mark.size(), Value);
      }
    }
    // The port of the metrics is fixed in the template.
    const std::string Metrics = ":9464";
    Text.replace(Text.find(Metrics), Metrics.size(),
                 ":" + std::to_string(BasePort + 3));
    return Text;
  }

  Record &Log;
  std::filesystem::path Root;
  std::string Template;
  std::string Net;
  std::vector<Node> Nodes;
  int BasePort = 0;
};

// A route as the operator sends it, without an advisor.
inline Json makeRoute(const std::string &Name, const std::string &Prefix,
                      int MaxAttempts) {
  return {{"name", Name},
          {"host", QueueHost},
          {"path_prefix", Prefix},
          {"kind", "non_idempotent"},
          {"timeout_ms", 3000},
          {"target_latency_ms", 1200},
          {"priority", 1},
          {"service", ServiceName},
          {"max_attempts", MaxAttempts},
          {"slack_factor", 2.0}};
}

inline std::string makeConfiguration(int Version, const Json &Routes) {
  return Json{{"version", Version},
              {"routes", Routes},
              {"services",
               {{{"name", ServiceName},
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
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

// The operator: sends a configuration to one control node after another until
// it gets a clear response, as the pages say.
inline int sendConfiguration(Cell &Nodes, Record &Log, int Version,
                             const Json &Routes, std::int64_t WithinMs) {
  const std::string Body = makeConfiguration(Version, Routes);
  const std::int64_t Deadline = steadyMs() + WithinMs;
  std::size_t Turn = 0;
  while (steadyMs() < Deadline) {
    const std::size_t Index = Turn % Nodes.voters();
    Turn += 1;
    Client Control{Nodes.host(Index), Nodes.controlPort()};
    const Message Answer =
        Control.request("PUT", "/api/config", Nodes.host(Index), Body, 1000);
    if (Answer.Status == 200 || Answer.Status == 400 || Answer.Status == 409) {
      Log.line("operator: version %d with %zu routes -> %d", Version,
               Routes.size(), Answer.Status);
      return Answer.Status;
    }
    sleepMs(100);
  }
  Log.line("operator: version %d got no clear response", Version);
  return 0;
}

inline Message requestAt(Cell &Nodes, std::size_t Index,
                         const std::string &Method, const std::string &Path,
                         const std::string &Body, std::int64_t TimeoutMs) {
  Client Caller{Nodes.host(Index), Nodes.callersPort()};
  return Caller.request(Method, Path, QueueHost, Body, TimeoutMs);
}

// Returns the state in the answer to a read of a job.
inline std::string stateOf(const Message &Answer) {
  const Json Body = Json::parse(Answer.Body, nullptr, false);
  return Answer.Status == 200 && Body.is_object()
             ? Body.value("state", std::string{})
             : std::string{};
}

} // namespace review
