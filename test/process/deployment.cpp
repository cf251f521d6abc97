#include "process/deployment.hpp"

#include "mulberryramp/core/time.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace mulberryramp::test {

namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr int FirstPort = 11000;
constexpr int PortsPerRange = 250;
constexpr int PortRanges = 80;
constexpr Millis CallTimeout{15000};

bool isFree(int Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const int Yes = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool IsBindable = ::bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                                 sizeof(Address)) == 0;
  ::close(Socket);
  return IsBindable;
}

int chooseBasePort() {
  for (int Try = 0; Try < PortRanges; ++Try) {
    const int Base =
        FirstPort + ((::getpid() + Try) % PortRanges) * PortsPerRange;
    if (isFree(Base + 1) && isFree(Base + 51) && isFree(Base + 112)) {
      return Base;
    }
  }
  throw std::runtime_error("no free ports");
}

pid_t spawn(const std::vector<std::string> &Argv, const std::string &Log) {
  std::vector<char *> RawArgv;
  RawArgv.reserve(Argv.size() + 1);
  for (const std::string &Argument : Argv) {
    RawArgv.push_back(const_cast<char *>(Argument.c_str()));
  }
  RawArgv.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, 2, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  pid_t Child = 0;
  const int Failed = posix_spawn(&Child, RawArgv[0], &Actions, nullptr,
                                 RawArgv.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Failed != 0) {
    throw std::runtime_error("cannot start " + Argv[0]);
  }
  return Child;
}

int waitFor(pid_t Child) {
  int Status = 0;
  ::waitpid(Child, &Status, 0);
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
}

void killAndWait(pid_t Child) {
  ::kill(Child, SIGKILL);
  (void)waitFor(Child);
}

} // namespace

Deployment::Deployment(std::vector<DaemonSpec> Specs, bool HasProxies)
    : Specs{std::move(Specs)}, HasProxies{HasProxies}, BasePort{
                                                           chooseBasePort()} {
  char Name[] = "/tmp/mulberryramp-test-XXXXXX";
  Folder = ::mkdtemp(Name);
  for (int From = 1; HasProxies && From <= count(); ++From) {
    for (int To = 1; To <= count(); ++To) {
      if (From != To) {
        Proxies[{From, To}] =
            std::make_unique<TcpProxy>(proxyPort(From, To), peerPort(To));
      }
    }
  }
  for (int Id = 1; Id <= count(); ++Id) {
    std::ofstream{Folder + "/settings-" + std::to_string(Id) + ".ini"}
        << settingsFor(Id);
  }
}

Deployment::~Deployment() {
  for (const auto &[Name, Child] : Workers) {
    killAndWait(Child);
  }
  for (const auto &[Id, Child] : Daemons) {
    killAndWait(Child);
  }
  std::error_code Ignored;
  fs::remove_all(Folder, Ignored);
}

std::string Deployment::settingsFor(int Id) const {
  std::ostringstream Text;
  Text << "[daemon]\nid = " << Id << "\n"
       << "[timing]\nworker-lease-ms = 4000\nworker-wait-ms = 1500\n";
  for (int Node = 1; Node <= count(); ++Node) {
    const DaemonSpec &Spec = Specs[static_cast<std::size_t>(Node) - 1];
    const bool IsDirect = !HasProxies || Node == Id;
    Text << "[node." << Node << "]\ncentre = " << Spec.Centre
         << "\nregion = " << Spec.Region << "\npeer = 127.0.0.1:"
         << (IsDirect ? peerPort(Node) : proxyPort(Id, Node))
         << "\nhttp = 127.0.0.1:" << httpPort(Node)
         << "\ndisk = " << (Spec.HasDisk ? "yes" : "no") << "\n";
  }
  return Text.str();
}

std::string Deployment::folderOf(int Id) const {
  return Folder + "/data-" + std::to_string(Id);
}

std::vector<std::string> Deployment::commandOf(int Id) const {
  std::vector<std::string> Argv{DAEMON_PROGRAM, "--settings",
                                Folder + "/settings-" + std::to_string(Id) +
                                    ".ini"};
  if (Specs[static_cast<std::size_t>(Id) - 1].HasDisk) {
    Argv.insert(Argv.end(), {"--data-folder", folderOf(Id)});
  }
  return Argv;
}

void Deployment::startAll() {
  for (int Id = 1; Id <= count(); ++Id) {
    if (Specs[static_cast<std::size_t>(Id) - 1].HasDisk) {
      auto Argv = commandOf(Id);
      Argv.emplace_back("--init");
      (void)waitFor(spawn(Argv, "/dev/null"));
    }
    startDaemon(Id);
  }
}

void Deployment::startDaemon(int Id) {
  Daemons[Id] =
      spawn(commandOf(Id), Folder + "/daemon-" + std::to_string(Id) + ".log");
}

void Deployment::killDaemon(int Id) {
  killAndWait(Daemons.at(Id));
  Daemons.erase(Id);
}

int Deployment::stopDaemon(int Id) {
  ::kill(Daemons.at(Id), SIGTERM);
  const int Status = waitFor(Daemons.at(Id));
  Daemons.erase(Id);
  return Status;
}

void Deployment::signalDaemon(int Id, int Signal) {
  ::kill(Daemons.at(Id), Signal);
}

void Deployment::loseDisk(int Id) { fs::remove_all(folderOf(Id)); }

void Deployment::isolate(int Id, bool IsIsolated) {
  for (auto &[Link, Proxy] : Proxies) {
    if (Link.first == Id || Link.second == Id) {
      Proxy->setStalled(IsIsolated);
    }
  }
}

void Deployment::healLink(int From, int To) {
  const auto It = Proxies.find({From, To});
  if (It != Proxies.end()) {
    It->second->setStalled(false);
  }
}

std::string Deployment::daemonList(const std::string &Centre) const {
  std::string List;
  for (int Id = 1; Id <= count(); ++Id) {
    if (Specs[static_cast<std::size_t>(Id) - 1].Centre == Centre) {
      List += (List.empty() ? "" : ",") +
              ("127.0.0.1:" + std::to_string(httpPort(Id)));
    }
  }
  return List;
}

void Deployment::startWorker(const std::string &Name, const std::string &Centre,
                             const std::vector<std::string> &Extra) {
  std::vector<std::string> Argv{
      WORKER_PROGRAM,     "--name",    Name,
      "--centre",         Centre,      "--daemons",
      daemonList(Centre), "--run-log", Folder + "/runs-" + Name};
  Argv.insert(Argv.end(), Extra.begin(), Extra.end());
  Workers[Name] = spawn(Argv, Folder + "/worker-" + Name + ".log");
}

void Deployment::killWorker(const std::string &Name) {
  killAndWait(Workers.at(Name));
  Workers.erase(Name);
}

void Deployment::signalWorker(const std::string &Name, int Signal) {
  ::kill(Workers.at(Name), Signal);
}

json Deployment::get(int Id, const std::string &Path, Millis Timeout) {
  const auto Response = Client.get(
      "http://127.0.0.1:" + std::to_string(httpPort(Id)) + Path, Timeout);
  if (!Response) {
    return nullptr;
  }
  json Body = json::parse(Response->Body, nullptr, false);
  if (Body.is_object()) {
    Body["http"] = Response->Status;
  }
  return Body;
}

json Deployment::get(int Id, const std::string &Path) {
  return get(Id, Path, CallTimeout);
}

json Deployment::postText(int Id, const std::string &Path,
                          const std::string &Body) {
  const auto Response =
      Client.post("http://127.0.0.1:" + std::to_string(httpPort(Id)) + Path,
                  Body, CallTimeout);
  if (!Response) {
    return nullptr;
  }
  json Answer = json::parse(Response->Body, nullptr, false);
  if (Answer.is_object()) {
    Answer["http"] = Response->Status;
  }
  return Answer;
}

json Deployment::post(int Id, const std::string &Path, const json &Body) {
  return postText(Id, Path, Body.dump());
}

json Deployment::submit(int Id, const std::string &Key, const json &More) {
  json Body{{"customer", "franchise"},
            {"team", "dispatch"},
            {"key", Key},
            {"need", {{"milli_cpus", 1000}, {"memory_mb", 128}}},
            {"payload", "run-ms=50 " + Key}};
  Body.update(More);
  return post(Id, "/v1/requests", Body);
}

json Deployment::request(int Id, const std::string &Key, int WaitMs) {
  return get(Id, "/v1/requests/franchise/" + Key +
                     "?wait_ms=" + std::to_string(WaitMs));
}

std::string Deployment::awaitOutcome(const std::string &Key, Millis Timeout) {
  std::string Last = "no answer";
  (void)eventually(Timeout, [&] {
    for (const auto &[Id, Child] : Daemons) {
      const json Answer =
          get(Id, "/v1/requests/franchise/" + Key, Millis{2000});
      if (Answer.is_object() && Answer.contains("request")) {
        Last = Answer["request"]["outcome"].get<std::string>();
        return Last != "pending";
      }
    }
    return false;
  });
  return Last;
}

bool Deployment::eventually(Millis Timeout,
                            const std::function<bool()> &Condition) {
  const Instant Deadline = SuspendAwareClock::now() + Timeout;
  while (!Condition()) {
    if (SuspendAwareClock::now() >= Deadline) {
      return false;
    }
    std::this_thread::sleep_for(Millis{20});
  }
  return true;
}

int Deployment::leaderOf(const std::string &Group) {
  for (const auto &[Id, Child] : Daemons) {
    const json Status = get(Id, "/v1/status", Millis{500});
    if (!Status.is_object()) {
      continue;
    }
    for (const json &Value : Status["groups"]) {
      if (Value["group"] == Group && Value["ready"].get<bool>()) {
        return Id;
      }
    }
  }
  return 0;
}

std::size_t Deployment::votersOf(const std::string &Group) {
  const int Leader = leaderOf(Group);
  const json Status = Leader == 0 ? json{} : get(Leader, "/v1/status");
  if (!Status.is_object()) {
    return 0;
  }
  for (const json &Value : Status["groups"]) {
    if (Value["group"] == Group) {
      return Value["voters"].size();
    }
  }
  return 0;
}

std::size_t Deployment::readyWorkers(const std::string &Centre) {
  for (const auto &[Id, Child] : Daemons) {
    const json List = get(Id, "/v1/workers?home=" + Centre, Millis{1000});
    if (!List.is_object() || !List.contains("workers")) {
      continue;
    }
    return static_cast<std::size_t>(std::count_if(
        List["workers"].begin(), List["workers"].end(),
        [](const json &Value) { return Value["confirmed"].get<bool>(); }));
  }
  return 0;
}

std::vector<std::string> Deployment::runs() const {
  std::vector<std::string> Lines;
  for (const auto &File : fs::directory_iterator{Folder}) {
    if (!File.path().filename().string().starts_with("runs-")) {
      continue;
    }
    std::ifstream Source{File.path()};
    for (std::string Line; std::getline(Source, Line);) {
      Lines.push_back(Line);
    }
  }
  return Lines;
}

std::size_t Deployment::runsOf(const std::string &Key) const {
  const std::vector<std::string> Lines = runs();
  return static_cast<std::size_t>(
      std::count_if(Lines.begin(), Lines.end(), [&](const std::string &Line) {
        return Line.find(" " + Key + " ") != std::string::npos;
      }));
}

} // namespace mulberryramp::test
