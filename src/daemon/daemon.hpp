#pragma once

#include "mulberryramp/config/settings.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>

namespace mulberryramp {

/// @brief A running daemon: the one place where decisions meet the event loop,
/// sockets, files and clocks.
class Daemon {
public:
  /// @brief Opens files and ports.
  /// @param Deployment The settings.
  /// @return The daemon, or why it cannot start.
  [[nodiscard]] static tl::expected<std::unique_ptr<Daemon>, std::string>
  start(const Settings &Deployment);

  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;
  ~Daemon();

  /// @brief Runs until it has left after `requestStop`.
  /// @return The exit status of the process.
  [[nodiscard]] int run();

  /// @brief Asks the daemon to leave; safe in a signal handler.
  static void requestStop() noexcept;

private:
  struct Impl;
  explicit Daemon(std::unique_ptr<Impl> Pimpl);

  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
