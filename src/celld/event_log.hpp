#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mulberryramp {

/// @brief Writes lines `time=... node=... event=...` to standard output without
/// blocking. Lines beyond the rate limit, or while the buffer is full because
/// the reader is slow, are dropped; the next line that is kept is preceded by
/// the number of dropped lines.
class EventLog {
public:
  /// @brief Switches standard output to non-blocking mode.
  /// @param NodeName Name of this node, which each line contains.
  explicit EventLog(std::string NodeName);

  /// @brief Buffers a line.
  /// @param WallNow Wall clock time in ms since 1970.
  /// @param Line Fields `name=value` without a line end; the first is `event`.
  void add(std::int64_t WallNow, std::string_view Line);

  /// @brief Writes as much of the buffer as standard output accepts.
  void flush();

private:
  std::string NodeName;
  std::string Buffer;
  /// Wall clock time in s since 1970.
  std::int64_t CurrentSecond = 0;
  /// Lines added in `CurrentSecond`, with the dropped ones.
  std::uint32_t LinesThisSecond = 0;
  /// Lines dropped since the last `log-dropped` line.
  std::uint64_t DroppedLines = 0;
};

} // namespace mulberryramp
