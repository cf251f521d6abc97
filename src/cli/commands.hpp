#pragma once

#include "cli/output.hpp"

#include <string>
#include <vector>

namespace mulberryramp {

/// @brief Runs one command of the tool.
/// @param Words The words behind the program's name.
/// @return The exit status; a wrong command line throws.
[[nodiscard]] ExitStatus runCli(const std::vector<std::string> &Words);

} // namespace mulberryramp
