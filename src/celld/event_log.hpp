#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mulberryramp {

/// @brief Writes lines `time=... node=... event=...` to a descriptor without
/// blocking.
///
/// Lines about single attempts and workers are details: beyond the rate limit,
/// or while the reader is slow, they are dropped first, and the next line that
/// is kept is preceded by their number. All other lines, such as the end of a
/// job or of a request, are only dropped if the reader is so slow that the
/// buffer reaches its limit. A line is written whole or not at all.
class EventLog {
public:
  /// @brief Switches the descriptor to non-blocking mode.
  /// @param NodeName Name of this node, which each line contains.
  /// @param Descriptor Open descriptor; stays open.
  EventLog(std::string NodeName, int Descriptor);

  /// @brief Buffers a line.
  /// @param WallNow Wall clock time in ms since 1970.
  /// @param Line Fields `name=value` without a line end; the first is `event`.
  void add(std::int64_t WallNow, std::string_view Line);

  /// @brief Writes as many lines of the buffer as the descriptor accepts.
  void flush();

private:
  [[nodiscard]] bool mustDrop(std::string_view Line);

  std::string NodeName;
  int Descriptor;
  std::string Buffer;
  /// Wall clock time in s since 1970.
  std::int64_t CurrentSecond = 0;
  /// Details added in `CurrentSecond`, with the dropped ones.
  std::uint32_t DetailsThisSecond = 0;
  /// Lines dropped since the last `log-dropped` line.
  std::uint64_t DroppedLines = 0;
};

} // namespace mulberryramp
