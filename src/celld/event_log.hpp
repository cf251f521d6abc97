#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mulberryramp {

/// @brief Lines `time=... node=... event=...` on standard output; lines beyond
/// the rate, or for which the reader leaves no room, are counted and dropped.
class EventLog {
public:
  /// @brief Makes a log and lets standard output not block.
  /// @param Node Name of this node, on each line.
  explicit EventLog(std::string Node);

  /// @brief Adds a line.
  /// @param Wall Civil time in ms since 1970.
  /// @param Line Fields `name=value`, beginning with the event.
  void add(std::int64_t WallNow, std::string_view Line);

  /// @brief Writes what was added.
  void flush();

private:
  std::string Node;
  std::string Buffer;
  std::int64_t Second = 0;        ///< Second that `Lines` counts.
  std::uint32_t Lines = 0;        ///< Lines of that second.
  std::uint64_t DroppedLines = 0; ///< Lines since the last note of it.
};

} // namespace mulberryramp
