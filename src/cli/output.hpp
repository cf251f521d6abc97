#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace mulberryramp {

/// @brief Output format of the command line tool.
enum class OutputFormat : std::uint8_t { Table, Json };

/// @brief Exit status of the command line tool.
enum class ExitStatus : std::uint8_t {
  Done = 0,        ///< Success; with --wait: the outcome is `done`.
  Error = 1,       ///< No daemon answered, or the answer is malformed.
  Usage = 2,       ///< The command line or an input file is invalid.
  Failed = 3,      ///< The outcome is `failed`.
  NotRun = 4,      ///< The outcome is `not run`.
  Unknown = 5,     ///< The outcome is `unknown`; retry.
  Conflict = 6,    ///< Conflicts with an earlier change or request.
  Pending = 7,     ///< The wait timed out before the outcome was known.
  NotFound = 8,    ///< The request does not exist.
  Unavailable = 9, ///< The call was not forwarded; retry.
};

/// @brief Prints a result to the standard output.
/// @param Body Answer of a daemon; a JSON object.
/// @param Format Output format.
void printResult(const nlohmann::json &Body, OutputFormat Format);

/// @brief Determines the exit status for an answer.
/// @param HttpStatus HTTP status of the answer.
/// @param Body Answer of a daemon; a JSON object.
/// @param NeedsOutcome Whether a pending outcome gives `Pending` instead of
/// `Done`.
[[nodiscard]] ExitStatus
exitStatusOf(int HttpStatus, const nlohmann::json &Body, bool NeedsOutcome);

} // namespace mulberryramp
