#pragma once

#include "celld/gateway.hpp"
#include "mulberryramp/config/cell_settings.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>

/// @file
/// @brief The daemon of a cell node. It connects a `CellNode`, which does no
/// input or output, with the event loop, sockets, disk and clocks. It depends
/// on no wire protocol: a `Gateway` translates the HTTP messages.

namespace mulberryramp {

/// @brief A cell node with its event loop, sockets, disk and clock.
class CellDaemon {
public:
  /// @brief Opens the storage, the links to other nodes and the listeners.
  /// @param SettingsFile Settings file; it is polled for changes. New seeds and
  /// a new advisor take effect when it is read, other changes at the next
  /// start.
  /// @param Settings Parsed content of the file.
  /// @param Protocol Translates the messages of callers, workers and advisor.
  /// @return The daemon, or the reason that it cannot start.
  [[nodiscard]] static tl::expected<std::unique_ptr<CellDaemon>, std::string>
  start(const std::string &SettingsFile, const CellSettings &Settings,
        std::unique_ptr<Gateway> Protocol);

  CellDaemon(const CellDaemon &) = delete;
  CellDaemon &operator=(const CellDaemon &) = delete;
  ~CellDaemon();

  /// @brief Runs the event loop until SIGTERM or SIGINT has been received and
  /// the graceful shutdown is complete.
  /// @return Exit status.
  int run();

  /// @brief Reads the settings, installs the signal handlers and runs a daemon.
  /// SIGHUP makes it read the settings again.
  /// @param SettingsFile Settings file.
  /// @param Protocol Translates the messages of callers, workers and advisor.
  /// @return Exit status: 2 for invalid settings, 1 if the start fails.
  static int main(const std::string &SettingsFile,
                  std::unique_ptr<Gateway> Protocol);

private:
  struct Impl;
  explicit CellDaemon(std::unique_ptr<Impl> Pimpl);

  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
