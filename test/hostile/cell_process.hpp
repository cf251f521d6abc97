#pragma once

#include "mulberryramp/config/settings.hpp"

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

/// @file
/// @brief Real processes on loopback for the tests with hostile clients, their
/// use of memory and descriptors, and ordinary requests to them.

namespace mulberryramp::test {

/// @brief Memory of the machine that the tests give a process, in MB.
inline constexpr std::uint64_t MemoryMb = 128;
/// @brief Descriptors that the tests let a process open.
inline constexpr std::uint64_t MaxDescriptors = 512;

/// @brief Response to an ordinary request.
struct PlainResponse {
  int Status = 0; ///< HTTP status, or 0 without a complete response.
  std::string Body;
};

/// @brief Sends one request on a connection of its own and waits for the
/// response until the connection ends or nothing arrives for 30 s.
PlainResponse sendRequest(const Endpoint &Address, const std::string &Method,
                          const std::string &Path,
                          const std::string &Body = "");

/// @brief A process with limited descriptors. The destructor kills it and
/// removes its files.
class LimitedProcess {
public:
  LimitedProcess();
  LimitedProcess(const LimitedProcess &) = delete;
  LimitedProcess &operator=(const LimitedProcess &) = delete;
  ~LimitedProcess();

  /// @brief Starts a program; its output goes to a file in `folder()`.
  /// @param Argv Program and arguments.
  /// @param Variables Additional environment variables, `NAME=VALUE`.
  void start(const std::vector<std::string> &Argv,
             const std::vector<std::string> &Variables = {});

  /// @brief Waits until the program has ended by itself.
  void waitForExit();

  [[nodiscard]] const std::string &folder() const { return Folder; }
  [[nodiscard]] bool isAlive() const;
  /// @brief Returns the highest resident memory so far, in bytes.
  [[nodiscard]] std::uint64_t peakBytes() const;
  /// @brief Returns the current resident memory, in bytes.
  [[nodiscard]] std::uint64_t residentBytes() const;
  /// @brief Returns the number of open descriptors.
  [[nodiscard]] std::uint64_t descriptors() const;

private:
  std::string Folder;
  pid_t Child = 0;
};

/// @brief A cell with one voter on loopback, with a configuration of one route.
class CellProcess {
public:
  /// @brief Starts the voter with all listeners and configures the cell.
  CellProcess();

  [[nodiscard]] Endpoint callers() const { return {Host, port(0)}; }
  [[nodiscard]] Endpoint control() const { return {Host, port(1)}; }
  [[nodiscard]] Endpoint readiness() const { return {Host, port(2)}; }
  [[nodiscard]] Endpoint metrics() const { return {Host, port(3)}; }
  [[nodiscard]] Endpoint peers() const { return {Host, port(4)}; }
  [[nodiscard]] std::uint16_t port(int Offset) const {
    return static_cast<std::uint16_t>(FirstPort + Offset);
  }
  [[nodiscard]] const LimitedProcess &process() const { return Voter; }

  /// @brief Sends a configuration until it is accepted.
  /// @return Whether it was accepted.
  bool configure(const std::string &Document);

  /// @brief Submits a job of one task.
  /// @return Status of the response; 0 if none arrived.
  [[nodiscard]] int submit(const std::string &Id) const;
  /// @brief Reads the state of a job.
  [[nodiscard]] PlainResponse read(const std::string &Id) const;

  /// @brief Checks that the process lives, stayed within its memory and
  /// descriptors, and answers one ordinary request on each listener.
  void checkServes() const;

  static constexpr const char *Host = "127.0.0.71";

private:
  LimitedProcess Voter;
  std::uint16_t FirstPort;
};

/// @brief Starts a node without a disk that relays calls to a voter.
class EntryProcess {
public:
  /// @param Cell The voter; must outlive the node.
  explicit EntryProcess(const CellProcess &Cell);

  [[nodiscard]] Endpoint callers() const { return {Host, Cell.port(0)}; }
  [[nodiscard]] Endpoint readiness() const { return {Host, Cell.port(2)}; }
  [[nodiscard]] const LimitedProcess &process() const { return Entry; }

  static constexpr const char *Host = "127.0.0.72";

private:
  const CellProcess &Cell;
  LimitedProcess Entry;
};

/// @brief Checks that a process lives and stayed within its memory and its
/// share of descriptors for clients.
/// @param Listeners Addresses whose unread bytes count as memory.
void checkWithinLimits(const LimitedProcess &Process,
                       const std::vector<Endpoint> &Listeners);

/// @brief Checks a status that is evaluated once, unlike by `CHECK_EQUAL`.
void checkStatus(int Expected, int Status);

/// @brief Returns a configuration with one route for `CellProcess::Host`.
/// @param More Further members, each preceded by a comma.
std::string makeConfiguration(int Version, const std::string &More = "");

/// @brief Returns a job of one task.
std::string makeJob();

} // namespace mulberryramp::test
