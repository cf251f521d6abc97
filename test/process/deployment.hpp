#pragma once

// Deployment of real processes for the process tests: daemons and stand-in
// workers on loopback ports, with TCP proxies to partition daemons. It uses the
// programs only through command lines, settings files, signals and HTTP APIs.

#include "mulberryramp/core/fwd.hpp"
#include "mulberryramp/http/client.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace mulberryramp::test {

/// @brief TCP proxy between two daemons that can stop all traffic without
/// closing connections.
class TcpProxy {
public:
  /// @brief Listens on a loopback port and forwards to another one.
  TcpProxy(int ListenPort, int TargetPort);
  TcpProxy(const TcpProxy &) = delete;
  TcpProxy &operator=(const TcpProxy &) = delete;
  ~TcpProxy();

  /// @brief Stops forwarding and accepting, or resumes both. Returns once the
  /// change has taken effect; bytes in transit stay in the socket buffers.
  void setStalled(bool IsStalled);

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

/// @brief Starts, signals, partitions and queries the processes of one
/// deployment. The destructor kills them and removes their files.
class Deployment {
public:
  /// @brief Settings of one daemon.
  struct DaemonSpec {
    std::string Centre;
    std::string Region;
    bool HasDisk = false;
  };

  /// @brief Writes the settings of the daemons and starts no process.
  /// @param Specs The daemons; their ids count from 1.
  /// @param HasProxies Whether daemons reach each other through TCP proxies,
  /// which `isolate` needs.
  explicit Deployment(std::vector<DaemonSpec> Specs, bool HasProxies = false);
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;
  ~Deployment();

  /// @brief Initializes the data folders and starts all daemons.
  void startAll();
  void startDaemon(int Id);
  /// @brief Kills a daemon with SIGKILL and waits for its exit.
  void killDaemon(int Id);
  /// @brief Shuts a daemon down with SIGTERM and waits for its exit.
  /// @return Its exit status, -1 if a signal ended it.
  int stopDaemon(int Id);
  void signalDaemon(int Id, int Signal);
  /// @brief Removes the data folder of a stopped daemon.
  void loseDisk(int Id);
  /// @brief Stops traffic on all links of a daemon without closing connections,
  /// or resumes it.
  void isolate(int Id, bool IsIsolated);
  /// @brief Resumes traffic on the link from one daemon to another.
  void healLink(int From, int To);

  void startWorker(const std::string &Name, const std::string &Centre,
                   const std::vector<std::string> &Extra = {});
  void killWorker(const std::string &Name);
  void signalWorker(const std::string &Name, int Signal);

  /// @brief Sends a GET request for a path to a daemon.
  /// @return The JSON answer with the HTTP status added as `http`; null if no
  /// answer came.
  nlohmann::json get(int Id, const std::string &Path, Millis Timeout);
  nlohmann::json get(int Id, const std::string &Path);
  nlohmann::json post(int Id, const std::string &Path,
                      const nlohmann::json &Body);
  /// @brief Posts a body that need not be JSON.
  nlohmann::json postText(int Id, const std::string &Path,
                          const std::string &Body);

  /// @brief Submits a request of customer `franchise`, by default a batch of
  /// one task; `More` overrides or adds fields.
  nlohmann::json submit(int Id, const std::string &Key,
                        const nlohmann::json &More = nlohmann::json::object());
  /// @brief Polls the daemons until one reports a final outcome of a request.
  /// @return The outcome, the last one seen on timeout, or `no answer`.
  std::string awaitOutcome(const std::string &Key, Millis Timeout);
  nlohmann::json request(int Id, const std::string &Key, int WaitMs = 0);

  /// @brief Polls a condition until it is true.
  /// @return Whether it became true before the timeout.
  static bool eventually(Millis Timeout,
                         const std::function<bool()> &Condition);
  /// @brief Returns the id of the daemon that leads a group, 0 if there is
  /// none.
  int leaderOf(const std::string &Group);
  /// @brief Returns the number of voters of a group according to its leader, 0
  /// without a leader.
  std::size_t votersOf(const std::string &Group);
  /// @brief Returns the number of confirmed workers of a data centre.
  std::size_t readyWorkers(const std::string &Centre);
  /// @brief Returns all attempts that the workers started, one line
  /// `customer key ordinal attempt worker` each.
  std::vector<std::string> runs() const;
  /// @brief Returns the number of attempts started for a request key.
  std::size_t runsOf(const std::string &Key) const;
  [[nodiscard]] int peerPort(int Id) const { return BasePort + Id; }
  [[nodiscard]] int httpPort(int Id) const { return BasePort + 50 + Id; }
  [[nodiscard]] int count() const { return static_cast<int>(Specs.size()); }

private:
  [[nodiscard]] std::string settingsFor(int Id) const;
  [[nodiscard]] std::string folderOf(int Id) const;
  [[nodiscard]] std::vector<std::string> commandOf(int Id) const;
  [[nodiscard]] std::string daemonList(const std::string &Centre) const;
  [[nodiscard]] int proxyPort(int From, int To) const {
    return BasePort + 100 + From * 10 + To;
  }

  std::vector<DaemonSpec> Specs;
  bool HasProxies;
  int BasePort;
  std::string Folder;
  std::map<int, pid_t> Daemons;
  std::map<std::string, pid_t> Workers;
  std::map<std::pair<int, int>, std::unique_ptr<TcpProxy>> Proxies;
  HttpClient Client;
};

} // namespace mulberryramp::test
