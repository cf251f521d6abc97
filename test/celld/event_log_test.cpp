#include "celld/event_log.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace mulberryramp;

namespace {

/// A pipe as the output of a log; its reader takes text only on request.
struct LogPipe {
  std::array<int, 2> Ends{-1, -1};

  LogPipe() {
    CHECK_EQUAL(0, ::pipe(Ends.data()));
    ::fcntl(Ends[0], F_SETFL, O_NONBLOCK);
  }
  LogPipe(const LogPipe &) = delete;
  LogPipe &operator=(const LogPipe &) = delete;
  ~LogPipe() {
    ::close(Ends[0]);
    ::close(Ends[1]);
  }

  [[nodiscard]] std::string readAll() const {
    std::string Text;
    std::array<char, 65536> Chunk{};
    for (ssize_t Count = 1; Count > 0;) {
      Count = ::read(Ends[0], Chunk.data(), Chunk.size());
      Text.append(Chunk.data(),
                  Count > 0 ? static_cast<std::size_t>(Count) : 0);
    }
    return Text;
  }
};

std::size_t countLines(const std::string &Text, const std::string &Part) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1)) {
    Count += 1;
  }
  return Count;
}

} // namespace

TEST_GROUP(CelldEventLog){};

TEST(CelldEventLog, ASlowReaderGetsWholeLinesOnly) {
  const LogPipe Output;
  EventLog Log{"node", Output.Ends[1]};
  // More text than the pipe holds, with lines of different lengths.
  for (int Line = 0; Line < 1500; ++Line) {
    Log.add(1000, "event=end job=" + std::string(40 + Line % 90, 'j'));
  }
  Log.flush();
  const std::string Text = Output.readAll();
  CHECK_FALSE(Text.empty());
  CHECK_EQUAL('\n', Text.back());
  CHECK_EQUAL(countLines(Text, "\n"), countLines(Text, "time=1000 node=node"));
  // The rest follows, and no line is missing.
  std::string Rest;
  for (int Round = 0; Round < 10; ++Round) {
    Log.flush();
    Rest += Output.readAll();
  }
  CHECK_EQUAL(1500, countLines(Text + Rest, "event=end job="));
}

TEST(CelldEventLog, LinesThatEndARequestAreKeptBeyondTheRateOfDetails) {
  const LogPipe Output;
  EventLog Log{"node", Output.Ends[1]};
  std::string Text;
  for (int Line = 0; Line < 5000; ++Line) {
    Log.add(1000, "event=start job=j run=0");
    if (Line % 10 == 0) {
      Log.add(1000, "event=job-over job=j phase=completed");
    }
    Log.flush();
    Text += Output.readAll();
  }
  CHECK_EQUAL(500, countLines(Text, "event=job-over"));
  CHECK_EQUAL(2000, countLines(Text, "event=start"));
  CHECK(countLines(Text, "event=log-dropped lines=") != 0);
}
