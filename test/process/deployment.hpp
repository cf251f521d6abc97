#pragma once

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

/// @brief TCP relay between two daemons that can swallow everything in
/// silence.
class TcpProxy {
public:
  /// @brief Listens and relays to a port of the same machine.
  TcpProxy(int ListenPort, int TargetPort);
  TcpProxy(const TcpProxy &) = delete;
  TcpProxy &operator=(const TcpProxy &) = delete;
  ~TcpProxy();

  /// @brief Swallows all bytes from now on, or ends that.
  void cut(bool IsCut);

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

/// @brief Daemons and stand-in workers as processes, on loopback ports.
class Deployment {
public:
  /// @brief Describes a daemon of the deployment.
  struct DaemonSpec {
    std::string Centre;
    std::string Region;
    bool HasDisk = false;
  };

  /// @brief Plans the deployment; starts nothing.
  /// @param Plans The daemons, numbered from 1.
  /// @param IsRelayed Whether daemons reach each other through relays.
  explicit Deployment(std::vector<DaemonSpec> Plans, bool IsRelayed = false);
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;
  ~Deployment();

  /// @brief Prepares the data folders and starts all daemons.
  void startAll();
  void startDaemon(int Id);
  /// @brief Ends a daemon at once and waits for its end.
  void killDaemon(int Id);
  /// @brief Asks a daemon to leave.
  /// @return Its exit status.
  int stopDaemon(int Id);
  void signalDaemon(int Id, int Signal);
  /// @brief Removes the data folder of a daemon that does not run.
  void loseDisk(int Id);
  /// @brief Cuts all links of a daemon in silence, or mends them.
  void isolate(int Id, bool IsCut);
  /// @brief Mends the link from one daemon to another.
  void healLink(int From, int To);

  void startWorker(const std::string &Name, const std::string &Centre,
                   const std::vector<std::string> &Extra = {});
  void killWorker(const std::string &Name);
  void signalWorker(const std::string &Name, int Signal);

  /// @brief Fetches a path from a daemon.
  /// @return The JSON answer with `http` as its status; null without one.
  nlohmann::json get(int Id, const std::string &Path, Millis Timeout);
  nlohmann::json get(int Id, const std::string &Path);
  nlohmann::json post(int Id, const std::string &Path,
                      const nlohmann::json &Body);
  /// @brief Posts any bytes.
  nlohmann::json postText(int Id, const std::string &Path,
                          const std::string &Body);

  /// @brief Submits a batch request of one task.
  nlohmann::json submit(int Id, const std::string &Key,
                        const nlohmann::json &More = nlohmann::json::object());
  /// @brief Asks until a request has an outcome, at any daemon that answers.
  /// @return The outcome, or the last status.
  std::string awaitOutcome(const std::string &Key, Millis Longest);
  nlohmann::json request(int Id, const std::string &Key, int WaitMs = 0);

  /// @brief Waits until a condition holds.
  /// @return False if it did not hold in time.
  static bool eventually(Millis Longest, const std::function<bool()> &Holds);
  /// @brief Finds the daemon that leads a group, 0 if there is none.
  int leaderOf(const std::string &Group);
  /// @brief Counts the voters of a group as its leader sees them.
  std::size_t votersOf(const std::string &Group);
  /// @brief Counts the ready workers of a data centre.
  std::size_t readyWorkers(const std::string &Centre);
  /// @brief Lists the runs that all workers began, as `customer key ordinal`.
  std::vector<std::string> runs() const;
  /// @brief Counts the runs of a key.
  std::size_t runsOf(const std::string &Key) const;
  [[nodiscard]] int peerPort(int Id) const { return BasePort + Id; }
  [[nodiscard]] int httpPort(int Id) const { return BasePort + 50 + Id; }
  [[nodiscard]] int count() const { return static_cast<int>(Plans.size()); }

private:
  [[nodiscard]] std::string settingsFor(int Id) const;
  [[nodiscard]] std::string folderOf(int Id) const;
  [[nodiscard]] std::vector<std::string> commandOf(int Id) const;
  [[nodiscard]] std::string daemonList(const std::string &Centre) const;
  [[nodiscard]] int relayPort(int From, int To) const {
    return BasePort + 100 + From * 10 + To;
  }

  std::vector<DaemonSpec> Plans;
  bool IsRelayed;
  int BasePort;
  std::string Folder;
  std::map<int, pid_t> Daemons;
  std::map<std::string, pid_t> Workers;
  std::map<std::pair<int, int>, std::unique_ptr<TcpProxy>> Relays;
  HttpClient Client;
};

} // namespace mulberryramp::test
