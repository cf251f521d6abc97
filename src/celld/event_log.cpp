#include "celld/event_log.hpp"

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace mulberryramp {

namespace {

/// A leader at its planned peak load writes fewer lines per second.
constexpr std::uint32_t MaxLinesPerSecond = 2000;
/// Size of the buffer beyond which lines are dropped; reached if the reader of
/// standard output is slow.
constexpr std::size_t MaxBufferedBytes = std::size_t{256} * 1024;
constexpr std::int64_t MsPerSecond = 1000;

} // namespace

EventLog::EventLog(std::string NodeName) : NodeName{std::move(NodeName)} {
  const int Flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags >= 0) {
    ::fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
  }
}

void EventLog::add(std::int64_t WallNow, std::string_view Line) {
  if (WallNow / MsPerSecond != CurrentSecond) {
    CurrentSecond = WallNow / MsPerSecond;
    LinesThisSecond = 0;
  }
  LinesThisSecond += 1;
  if (LinesThisSecond > MaxLinesPerSecond || Buffer.size() > MaxBufferedBytes) {
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
  if (Buffer.empty()) {
    return;
  }
  const ssize_t Written = ::write(STDOUT_FILENO, Buffer.data(), Buffer.size());
  if (Written > 0) {
    Buffer.erase(0, static_cast<std::size_t>(Written));
  }
}

} // namespace mulberryramp
