#pragma once

#include "celld/gateway.hpp"
#include "mulberryramp/config/cell_settings.hpp"

#include <tl/expected.hpp>

#include <memory>
#include <string>

namespace mulberryramp {

/// @brief A node of a cell with its event loop, sockets, disk and clock.
class CellDaemon {
public:
  /// @brief Starts a node.
  /// @param SettingsFile File that the settings are read from again when it
  /// changes.
  /// @param Settings Its settings.
  /// @param Protocol Translates for callers, workers and the advisor.
  /// @return The node, or why it cannot start.
  [[nodiscard]] static tl::expected<std::unique_ptr<CellDaemon>, std::string>
  start(const std::string &SettingsFile, const CellSettings &Settings,
        std::unique_ptr<Gateway> Protocol);

  CellDaemon(const CellDaemon &) = delete;
  CellDaemon &operator=(const CellDaemon &) = delete;
  ~CellDaemon();

  /// @brief Serves until the process is asked to end.
  /// @return Exit status.
  int run();

  /// @brief Runs a node from the file of its settings, with its signals.
  /// @return Exit status.
  static int main(const std::string &SettingsFile,
                  std::unique_ptr<Gateway> Protocol);

private:
  struct Impl;
  explicit CellDaemon(std::unique_ptr<Impl> Pimpl);

  std::unique_ptr<Impl> Pimpl;
};

} // namespace mulberryramp
