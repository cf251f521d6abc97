#pragma once

#include "cli/output.hpp"

#include <string>
#include <vector>

/// @file
/// @brief Command line tool for callers and operators. It only uses the HTTP
/// API of the daemons and keeps no state of its own.

namespace mulberryramp {

/// @brief Runs a command of the command line tool.
/// @param Argv The arguments without the program name.
/// @return The exit status.
/// @throws std::exception If the command line is invalid.
[[nodiscard]] ExitStatus runCli(const std::vector<std::string> &Argv);

} // namespace mulberryramp
