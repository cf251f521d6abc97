#include "celld/event_log.hpp"

#include <algorithm>
#include <array>
#include <climits>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace mulberryramp {

namespace {

/// Bound on detail lines per second, so that the volume stays bounded however
/// many workers there are.
constexpr std::uint32_t MaxDetailsPerSecond = 2000;
/// Size of the buffer beyond which details are dropped.
constexpr std::size_t MaxBytesWithDetails = std::size_t{256} * 1024;
/// Size of the buffer beyond which all lines are dropped.
constexpr std::size_t MaxBytes = std::size_t{1024} * 1024;
constexpr std::int64_t MsPerSecond = 1000;
/// A pipe accepts a write of up to this size whole or not at all.
constexpr std::size_t MaxAtomicWrite = PIPE_BUF;

/// Events about single attempts, workers and advisor queries.
constexpr std::array<std::string_view, 12> DetailEvents = {
    "event=start job=",     "event=end ",           "event=start-failed ",
    "event=stop ",          "event=pace ",          "event=worker-silent ",
    "event=worker-answers", "event=worker-joined",  "event=lease-over ",
    "event=crash-end ",     "event=advice-failed ", "event=advice-late "};

bool isDetail(std::string_view Line) {
  return std::any_of(
      DetailEvents.begin(), DetailEvents.end(),
      [Line](std::string_view Event) { return Line.starts_with(Event); });
}

/// Returns the size of the next write: as many whole lines as fit into an
/// atomic write, or one longer line.
std::size_t nextWriteSize(std::string_view Text) {
  const std::size_t LastEnd = Text.substr(0, MaxAtomicWrite).rfind('\n');
  return (LastEnd == std::string_view::npos ? Text.find('\n') : LastEnd) + 1;
}

} // namespace

EventLog::EventLog(std::string NodeName, int Descriptor)
    : NodeName{std::move(NodeName)}, Descriptor{Descriptor} {
  const int Flags = ::fcntl(Descriptor, F_GETFL);
  if (Flags >= 0) {
    ::fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
  }
}

bool EventLog::mustDrop(std::string_view Line) {
  if (!isDetail(Line)) {
    return Buffer.size() > MaxBytes;
  }
  DetailsThisSecond += 1;
  return DetailsThisSecond > MaxDetailsPerSecond ||
         Buffer.size() > MaxBytesWithDetails;
}

void EventLog::add(std::int64_t WallNow, std::string_view Line) {
  if (WallNow / MsPerSecond != CurrentSecond) {
    CurrentSecond = WallNow / MsPerSecond;
    DetailsThisSecond = 0;
  }
  if (mustDrop(Line)) {
    DroppedLines += 1;
    return;
  }
  if (DroppedLines != 0) {
    Buffer += "time=" + std::to_string(WallNow) + " node=" + NodeName +
              " event=log-dropped lines=" + std::to_string(DroppedLines) + "\n";
    DroppedLines = 0;
  }
  Buffer += "time=" + std::to_string(WallNow) + " node=" + NodeName + " ";
  Buffer.append(Line);
  Buffer += '\n';
}

void EventLog::flush() {
  std::size_t Written = 0;
  while (Written < Buffer.size()) {
    const std::size_t Size =
        nextWriteSize(std::string_view{Buffer}.substr(Written));
    const ssize_t Count = ::write(Descriptor, Buffer.data() + Written, Size);
    if (Count <= 0) {
      break;
    }
    Written += static_cast<std::size_t>(Count);
    if (static_cast<std::size_t>(Count) < Size) {
      break;
    }
  }
  Buffer.erase(0, Written);
}

} // namespace mulberryramp
