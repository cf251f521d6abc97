#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

namespace mulberryramp::test {

/// @brief HTTP server on loopback that receives requests and resets the
/// connection instead of answering, as a host whose connections are cut does.
class ResettingServer {
public:
  /// @brief Whether connections are accepted after the first reset.
  enum class AfterReset { Refuse, Accept };

  /// @param Answered Number of requests that are answered; the connection of
  /// each later one is reset after the request was received.
  ResettingServer(std::size_t Answered, AfterReset Mode);
  ResettingServer(const ResettingServer &) = delete;
  ResettingServer &operator=(const ResettingServer &) = delete;
  ~ResettingServer();

  /// @brief Returns the URL of the server.
  [[nodiscard]] std::string url() const;

  /// @brief Returns the number of requests received so far.
  [[nodiscard]] std::size_t received() const { return Received; }

private:
  void serve();
  /// Serves a connection until it ends.
  /// @return False if it was reset.
  bool serveConnection(int Connection);

  std::size_t Answered;
  AfterReset Mode;
  int Listener;
  std::uint16_t Port = 0;
  std::atomic<std::size_t> Received{0};
  std::atomic<bool> IsStopping{false};
  std::thread Server;
};

} // namespace mulberryramp::test
