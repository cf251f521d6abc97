#pragma once

#include "mulberryramp/config/settings.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>

/// @file
/// @brief The daemon `mulberryrampd`, which schedules data centres whose
/// workers poll. It connects a `Node`, which does no input or output, with the
/// event loop, sockets, files and clocks. It makes no scheduling decisions, and
/// it must not depend on the cell module, `celld` or `platform`; no module of
/// `mulberryramp/` may depend on it.

namespace mulberryramp {

/// @brief A node with its event loop, sockets, files and clocks. There is one
/// per process, since the request to stop is a flag of the process.
class Daemon {
public:
  /// @brief Opens the files and listens on the ports.
  /// @param Deployment Settings of the deployment.
  /// @return The daemon, or an error message.
  [[nodiscard]] static tl::expected<std::unique_ptr<Daemon>, std::string>
  start(const Settings &Deployment);

  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;
  ~Daemon();

  /// @brief Runs the event loop until the shutdown is complete, which
  /// `requestStop` begins, or storage fails.
  /// @return The exit status of the process: 0 after a complete shutdown, 1 if
  /// the shutdown timed out, 3 if storage failed.
  [[nodiscard]] int run();

  /// @brief Requests a shutdown of the daemon; async-signal-safe.
  static void requestStop() noexcept;

private:
  struct Impl;
  explicit Daemon(std::unique_ptr<Impl> Pimpl);

  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
