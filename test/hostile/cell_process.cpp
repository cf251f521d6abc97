#include "hostile/cell_process.hpp"

#include "support/sockets.hpp"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

extern char **environ;

namespace mulberryramp::test {

namespace {

namespace fs = std::filesystem;

constexpr int PortsPerCell = 8;
constexpr int FirstRange = 23000;
constexpr int Ranges = 200;
constexpr int ReceiveTimeoutSeconds = 30;
constexpr int StartTries = 300;
constexpr int MinUnchanged = 5;
constexpr std::chrono::milliseconds StartInterval{100};
constexpr std::uint64_t BytesPerMb = std::uint64_t{1} << 20U;

sockaddr_in socketAddress(const Endpoint &Address) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Address.Port);
  inet_pton(AF_INET, Address.Host.c_str(), &Result.sin_addr);
  return Result;
}

bool isFree(const Endpoint &Address) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const int Yes = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
  const sockaddr_in Target = socketAddress(Address);
  const bool IsBindable =
      ::bind(Socket, reinterpret_cast<const sockaddr *>(&Target),
             sizeof(Target)) == 0;
  ::close(Socket);
  return IsBindable;
}

std::uint16_t chooseFirstPort() {
  for (int Try = 0; Try < Ranges; ++Try) {
    const int First = FirstRange + (::getpid() + Try) % Ranges * PortsPerCell;
    bool AreFree = true;
    for (int Offset = 0; Offset < PortsPerCell; ++Offset) {
      AreFree = AreFree && isFree({CellProcess::Host,
                                   static_cast<std::uint16_t>(First + Offset)});
    }
    if (AreFree) {
      return static_cast<std::uint16_t>(First);
    }
  }
  throw std::runtime_error("no free ports");
}

/// Reads a field of the status file of a process, in bytes.
std::uint64_t readStatus(pid_t Process, const std::string &Field) {
  std::ifstream Source{"/proc/" + std::to_string(Process) + "/status"};
  for (std::string Line; std::getline(Source, Line);) {
    if (Line.starts_with(Field + ":")) {
      return std::stoull(Line.substr(Field.size() + 1)) * 1024;
    }
  }
  return 0;
}

std::string cellSettings(const std::string &Host, std::uint16_t FirstPort,
                         const std::string &Listeners,
                         const std::string &Role) {
  std::ostringstream Text;
  Text << "[node]\nname = " << Host << "\naddress = " << Host
       << "\ncentre = c\nregion = r\n"
       << "[listen]\n"
       << Listeners << "peer-port = " << FirstPort + 4
       << "\n[cell]\nseeds = " << CellProcess::Host << ":" << FirstPort + 1
       << "\n"
       << Role << "may-lose = 0\n[limits]\nmemory-mb = " << MemoryMb
       << "\ndescriptors = " << MaxDescriptors << "\n";
  return Text.str();
}

std::string listener(const char *Name, const Endpoint &Address) {
  return std::string{Name} + " = " + render(Address) + "\n";
}

void startNode(LimitedProcess &Process, const std::string &Settings) {
  const std::string File = Process.folder() + "/node.ini";
  std::ofstream{File} << Settings;
  Process.start({PLATFORM_PROGRAM}, {"MULBERRYRAMP_NODE_FILE=" + File});
}

bool becomesReady(const Endpoint &Readiness) {
  for (int Try = 0; Try < StartTries; ++Try) {
    if (sendRequest(Readiness, "GET", "/api/ready").Status == 200) {
      return true;
    }
    std::this_thread::sleep_for(StartInterval);
  }
  return false;
}

/// Returns the bytes that have arrived at the sockets of an address and have
/// not been read by their process.
std::uint64_t unreadBytes(const Endpoint &Address) {
  char Local[32];
  const sockaddr_in Target = socketAddress(Address);
  std::snprintf(Local, sizeof(Local), "%08X:%04X", Target.sin_addr.s_addr,
                Address.Port);
  // Columns: number, local address, remote address, state, tx_queue:rx_queue.
  // A queue of a listening socket counts connections.
  std::ifstream Source{"/proc/net/tcp"};
  std::uint64_t Total = 0;
  for (std::string Line; std::getline(Source, Line);) {
    std::istringstream Columns{Line};
    std::string Number;
    std::string LocalAddress;
    std::string RemoteAddress;
    std::string State;
    std::string Queues;
    Columns >> Number >> LocalAddress >> RemoteAddress >> State >> Queues;
    if (LocalAddress == Local && State != "0A") {
      Total += std::stoull(Queues.substr(Queues.find(':') + 1), nullptr, 16);
    }
  }
  return Total;
}

std::uint64_t unreadBytes(const std::vector<Endpoint> &Addresses) {
  std::uint64_t Total = 0;
  for (const Endpoint &Address : Addresses) {
    Total += unreadBytes(Address);
  }
  return Total;
}

/// Waits until the bytes that a process has not read stay the same for a while,
/// so that what follows does not depend on its speed.
std::uint64_t awaitUnreadBytes(const std::vector<Endpoint> &Addresses) {
  std::uint64_t Last = unreadBytes(Addresses);
  int Unchanged = 0;
  for (int Try = 0; Try < StartTries && Unchanged < MinUnchanged; ++Try) {
    std::this_thread::sleep_for(StartInterval);
    const std::uint64_t Now = unreadBytes(Addresses);
    Unchanged = Now == Last ? Unchanged + 1 : 0;
    Last = Now;
  }
  return Last;
}

} // namespace

PlainResponse sendRequest(const Endpoint &Address, const std::string &Method,
                          const std::string &Path, const std::string &Body) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const timeval Timeout{ReceiveTimeoutSeconds, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Timeout, sizeof(Timeout));
  const sockaddr_in Target = socketAddress(Address);
  PlainResponse Response;
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Target),
                sizeof(Target)) == 0) {
    sendAll(Socket, Method + " " + Path +
                        " HTTP/1.1\r\nHost: " + CellProcess::Host +
                        "\r\nConnection: close\r\n"
                        "Content-Type: application/json\r\nContent-Length: " +
                        std::to_string(Body.size()) + "\r\n\r\n" + Body);
    const std::string Text = receiveAll(Socket);
    const std::size_t BodyAt = Text.find("\r\n\r\n");
    if (Text.starts_with("HTTP/1.1 ") && BodyAt != std::string::npos) {
      Response.Status = std::stoi(Text.substr(9, 3));
      Response.Body = Text.substr(BodyAt + 4);
    }
  }
  ::close(Socket);
  return Response;
}

LimitedProcess::LimitedProcess() {
  char Name[] = "/tmp/mulberryramp-hostile-XXXXXX";
  Folder = ::mkdtemp(Name);
}

LimitedProcess::~LimitedProcess() {
  if (Child != 0) {
    ::kill(Child, SIGKILL);
    ::waitpid(Child, nullptr, 0);
  }
  std::error_code Ignored;
  fs::remove_all(Folder, Ignored);
}

void LimitedProcess::start(const std::vector<std::string> &Argv,
                           const std::vector<std::string> &Variables) {
  std::vector<char *> RawArgv;
  RawArgv.reserve(Argv.size() + 1);
  for (const std::string &Argument : Argv) {
    RawArgv.push_back(const_cast<char *>(Argument.c_str()));
  }
  RawArgv.push_back(nullptr);
  std::vector<char *> RawVariables;
  RawVariables.reserve(Variables.size() + 1);
  for (const std::string &Variable : Variables) {
    RawVariables.push_back(const_cast<char *>(Variable.c_str()));
  }
  for (char **Inherited = environ; *Inherited != nullptr; ++Inherited) {
    RawVariables.push_back(*Inherited);
  }
  RawVariables.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  const std::string Log = Folder + "/log";
  posix_spawn_file_actions_addopen(&Actions, 1, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  const int Failed = posix_spawn(&Child, RawArgv[0], &Actions, nullptr,
                                 RawArgv.data(), RawVariables.data());
  posix_spawn_file_actions_destroy(&Actions);
  if (Failed != 0) {
    throw std::runtime_error("cannot start " + Argv[0]);
  }
  const rlimit Limit{MaxDescriptors, MaxDescriptors};
  ::prlimit(Child, RLIMIT_NOFILE, &Limit, nullptr);
}

void LimitedProcess::waitForExit() {
  ::waitpid(Child, nullptr, 0);
  Child = 0;
}

bool LimitedProcess::isAlive() const {
  siginfo_t Exit{};
  return ::waitid(P_PID, static_cast<id_t>(Child), &Exit,
                  WEXITED | WNOHANG | WNOWAIT) == 0 &&
         Exit.si_pid == 0;
}

std::uint64_t LimitedProcess::peakBytes() const {
  return readStatus(Child, "VmHWM");
}

std::uint64_t LimitedProcess::residentBytes() const {
  return readStatus(Child, "VmRSS");
}

std::uint64_t LimitedProcess::descriptors() const {
  const fs::directory_iterator Entries{"/proc/" + std::to_string(Child) +
                                       "/fd"};
  return static_cast<std::uint64_t>(
      std::distance(begin(Entries), end(Entries)));
}

CellProcess::CellProcess() : FirstPort{chooseFirstPort()} {
  startNode(Voter, cellSettings(Host, FirstPort,
                                listener("callers", callers()) +
                                    listener("control", control()) +
                                    listener("readiness", readiness()) +
                                    listener("metrics", metrics()),
                                "voter = yes\nfound = yes\n") +
                       "[node]\ndata-folder = " + Voter.folder() + "/data\n");
  fs::create_directories(Voter.folder() + "/data");
  CHECK(configure(makeConfiguration(1)));
  CHECK(becomesReady(readiness()));
}

bool CellProcess::configure(const std::string &Document) {
  for (int Try = 0; Try < StartTries; ++Try) {
    if (sendRequest(control(), "PUT", "/api/config", Document).Status == 200) {
      return true;
    }
    std::this_thread::sleep_for(StartInterval);
  }
  return false;
}

int CellProcess::submit(const std::string &Id) const {
  return sendRequest(callers(), "POST", "/q/" + Id, makeJob()).Status;
}

PlainResponse CellProcess::read(const std::string &Id) const {
  return sendRequest(callers(), "GET", "/q/" + Id);
}

void CellProcess::checkServes() const {
  checkStatus(200, submit("0ddba11000000001"));
  checkStatus(200, read("0ddba11000000001").Status);
  checkStatus(200, sendRequest(control(), "GET", "/api/config").Status);
  checkStatus(200, sendRequest(readiness(), "GET", "/api/ready").Status);
  checkStatus(200, sendRequest(metrics(), "GET", "/metrics").Status);
  checkWithinLimits(Voter,
                    {callers(), control(), readiness(), metrics(), peers()});
}

EntryProcess::EntryProcess(const CellProcess &Cell) : Cell{Cell} {
  startNode(Entry, cellSettings(Host, Cell.port(0),
                                listener("callers", callers()) +
                                    listener("readiness", readiness()),
                                ""));
  CHECK(becomesReady(readiness()));
}

void checkWithinLimits(const LimitedProcess &Process,
                       const std::vector<Endpoint> &Listeners) {
  CHECK(Process.isAlive());
  const std::uint64_t Unread = awaitUnreadBytes(Listeners);
  const std::uint64_t PeakMb = (Process.peakBytes() + Unread) / BytesPerMb;
  const std::string Memory = "memory in MB: " + std::to_string(PeakMb) +
                             ", unread " + std::to_string(Unread / BytesPerMb);
  UT_PRINT(Memory.c_str());
  CHECK(PeakMb < MemoryMb);
  // A quarter is left for links to other nodes, calls to workers and files.
  CHECK(Process.descriptors() <= MaxDescriptors * 3 / 4);
}

void checkStatus(int Expected, int Status) { CHECK_EQUAL(Expected, Status); }

std::string makeConfiguration(int Version, const std::string &More) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"r","host":")" + CellProcess::Host +
         R"(","path_prefix":"/q/","kind":"non_idempotent","timeout_ms":3000,)"
         R"("target_latency_ms":300,"priority":0,"service":"s",)"
         R"("max_attempts":2,"slack_factor":1.5}],"services":[{"name":"s"}])" +
         More + "}";
}

std::string makeJob() {
  return R"({"spec":"text","phases":[{"count":1,"cpu":500,"mem_mb":256}]})";
}

} // namespace mulberryramp::test
