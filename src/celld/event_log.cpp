#include "celld/event_log.hpp"

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace mulberryramp {

namespace {

/// Lines a second; a leader at its planned peak writes fewer.
constexpr std::uint32_t MaxLinesPerSecond = 2000;
/// Bytes that wait for the reader.
constexpr std::size_t MaxBufferedBytes = std::size_t{256} * 1024;
constexpr std::int64_t MsPerSecond = 1000;

} // namespace

EventLog::EventLog(std::string Node) : Node{std::move(Node)} {
  const int Flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags >= 0) {
    ::fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
  }
}

void EventLog::add(std::int64_t WallNow, std::string_view Line) {
  if (WallNow / MsPerSecond != Second) {
    Second = WallNow / MsPerSecond;
    Lines = 0;
  }
  Lines += 1;
  if (Lines > MaxLinesPerSecond || Buffer.size() > MaxBufferedBytes) {
    DroppedLines += 1;
    return;
  }
  if (DroppedLines != 0) {
    Buffer += "time=" + std::to_string(WallNow) + " node=" + Node +
              " event=log-dropped lines=" + std::to_string(DroppedLines) + "\n";
    DroppedLines = 0;
  }
  Buffer += "time=" + std::to_string(WallNow) + " node=" + Node + " ";
  Buffer.append(Line);
  Buffer += '\n';
}

void EventLog::flush() {
  if (Buffer.empty()) {
    return;
  }
  const ssize_t Done = ::write(STDOUT_FILENO, Buffer.data(), Buffer.size());
  if (Done > 0) {
    Buffer.erase(0, static_cast<std::size_t>(Done));
  }
}

} // namespace mulberryramp
