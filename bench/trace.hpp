#pragma once

#include "mulberryramp/core/finding.hpp"
#include "mulberryramp/core/resources.hpp"
#include "mulberryramp/table/request.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace mulberryramp::bench {

/// @brief Kind of an event: a request is submitted or cancelled; a worker is
/// lost, returns, or begins to fail all its tasks.
enum class TraceEventKind : std::uint8_t { Submit, Cancel, Lose, Return, Fail };

/// @brief Names of the kinds in the file format.
constexpr std::array<std::string_view, 5>
nameTable(TraceEventKind /*Kind*/) noexcept {
  return {"submit", "cancel", "lose", "return", "fail"};
}

/// @brief One event of a trace.
struct TraceEvent {
  Millis At{0}; ///< Time since the start of the trace.
  TraceEventKind Kind = TraceEventKind::Submit;
  std::string Name;  ///< Key of the request, or name of the worker.
  RequestSpec Spec;  ///< For a submission only.
  Millis RunTime{0}; ///< Actual run time of each task; 0 for a service.
};

/// @brief A recorded load and the workers that it ran on.
struct Trace {
  std::string Name;
  std::size_t Workers = 0;
  std::size_t WorkersPerRack = 8;
  Resources Capacity; ///< Capacity of each worker.
  std::vector<TraceEvent> Events;
};

/// @brief Parses a trace.
/// @param Source Name of the file, reported in findings.
/// @param Text Lines `workers N rack N cpus N memory-mb N accelerators N slots
/// N` and `AT submit KEY CUSTOMER TEAM CLASS KIND TASKS MILLI-CPUS MEMORY-MB
/// ACCELERATORS RUN-MS DECLARED-MS once|again`, `AT cancel KEY`, `AT
/// lose|return|fail WORKER`; `#` begins a comment.
/// @return The trace, or all findings.
[[nodiscard]] tl::expected<Trace, Findings>
parseTrace(const std::string &Source, const std::string &Text);

/// @brief Renders a trace in the format that `parseTrace` reads.
[[nodiscard]] std::string renderTrace(const Trace &Recorded);

/// @brief Generates one of the standard loads.
/// @param Name `maghrib`, `tenders`, `bad-worker`, `cancel-wave`, `lost-rack`,
/// `flood` or `letter`.
/// @param Workers Number of workers; 0 selects the default of the load.
/// @param Seed Seed of the random numbers.
/// @return The trace; empty for an unknown name.
[[nodiscard]] Trace makeTrace(const std::string &Name, std::size_t Workers,
                              std::uint64_t Seed);

/// @brief Lists the names of the standard loads.
[[nodiscard]] std::vector<std::string> traceNames();

} // namespace mulberryramp::bench
