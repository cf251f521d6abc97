#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace mulberryramp {

/// @brief Form in which the tool prints results.
enum class OutputFormat : std::uint8_t { Table, Json };

/// @brief Exit status of the tool, for scripts.
enum class ExitStatus : std::uint8_t {
  Done = 0,        ///< Carried out; for a wait: the outcome is `done`.
  Error = 1,       ///< No daemon could be reached, or an answer is malformed.
  Usage = 2,       ///< The command line or a file is wrong.
  Failed = 3,      ///< The outcome is `failed`.
  NotRun = 4,      ///< The outcome is `not run`.
  Unknown = 5,     ///< The outcome is `unknown`; ask again.
  Conflict = 6,    ///< Somebody else's change or request came first.
  Pending = 7,     ///< The wait ended before the outcome was there.
  NotFound = 8,    ///< There is no such request.
  Unavailable = 9, ///< Not passed on; ask again.
};

/// @brief Prints a result.
/// @param Body The answer of a daemon.
/// @param Form How to print it.
void printResult(const nlohmann::json &Body, OutputFormat Form);

/// @brief Chooses the exit status for an answer.
/// @param HttpStatus Status of the HTTP answer.
/// @param Body The answer.
/// @param NeedsOutcome Whether a pending outcome is `Pending` or `Done`.
[[nodiscard]] ExitStatus
exitStatusOf(int HttpStatus, const nlohmann::json &Body, bool NeedsOutcome);

} // namespace mulberryramp
