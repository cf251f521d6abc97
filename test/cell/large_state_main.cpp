#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/core/time.hpp"
#include "mulberryramp/storage/record_codec.hpp"
#include "mulberryramp/wire/frame.hpp"
#include "support/cell_parts.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

/// @file
/// @brief Measures a cell with a large state: the times to encode, decode and
/// verify a snapshot, and the catch-up of a voter without a disk. Both nodes
/// run in this process and exchange encoded frames without delay.

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t MiB = std::size_t{1} << 20;
constexpr std::size_t PayloadBytes = 4000;

double msSince(Clock::time_point Begin) {
  return std::chrono::duration<double, std::milli>(Clock::now() - Begin)
      .count();
}

/// Reads a line of /proc/self/status, in MiB.
long memoryMb(const std::string &Name) {
  std::ifstream Source{"/proc/self/status"};
  for (std::string Line; std::getline(Source, Line);) {
    if (Line.starts_with(Name + ":")) {
      return std::atol(Line.c_str() + Name.size() + 1) / 1024;
    }
  }
  return 0;
}

CellState makeState(std::size_t Bytes) {
  CellState State;
  applyCommand(State, ConfigureCommand{makeTestConfiguration(1, 3)});
  JobSpec Spec;
  Spec.Payload = std::string(PayloadBytes, 'p');
  Spec.Steps.resize(2);
  Spec.Steps[0].Tasks = 10;
  Spec.Steps[1].DependsOn = {0};
  for (std::size_t Job = 0; Job * PayloadBytes < Bytes; ++Job) {
    applyCommand(State, SubmitJobCommand{"job-" + std::to_string(Job), "host",
                                         "/q/", Spec, wallNow()});
  }
  return State;
}

CellNodeOptions optionsOf(NodeId Self) {
  CellNodeOptions Options;
  Options.Self = Self;
  Options.Seeds = {1, 2};
  Options.IsVoter = true;
  Options.Incarnation = 1;
  Options.ReplicaParameters = makeCellReplicaOptions(1);
  return Options;
}

/// A node, and the longest of its steps.
struct MeasuredNode {
  CellNode Node;
  double LongestStepMs = 0;

  MeasuredNode(NodeId Self, StoredGroup Stored, Instant Now)
      : Node{optionsOf(Self), std::move(Stored), Now} {}
};

/// Runs one step and hands the encoded messages to the other node, as a link
/// does: a payload beyond the limit of a frame is dropped.
void step(MeasuredNode &From, MeasuredNode *To, std::size_t &DroppedFrames) {
  const auto Begin = Clock::now();
  CellOutput Output = From.Node.step(SuspendAwareClock::now(), wallNow());
  From.LongestStepMs = std::max(From.LongestStepMs, msSince(Begin));
  if (Output.Write) {
    From.Node.onWriteSynced();
  }
  for (const CellMessage &Message : Output.Messages) {
    const std::string Payload = encodeCellMessage(Message);
    if (Payload.size() > MaxFrameBytes) {
      DroppedFrames += 1;
      continue;
    }
    const auto Decoded = decodeCellMessage(Payload);
    if (To == nullptr || !Decoded) {
      continue;
    }
    const auto ReceiveBegin = Clock::now();
    To->Node.receive(*Decoded, SuspendAwareClock::now(), wallNow());
    To->LongestStepMs = std::max(To->LongestStepMs, msSince(ReceiveBegin));
  }
}

void run(MeasuredNode &Leader, MeasuredNode *Other, double MaxMs) {
  std::size_t DroppedFrames = 0;
  const auto Begin = Clock::now();
  Leader.LongestStepMs = 0;
  while (msSince(Begin) < MaxMs) {
    step(Leader, Other, DroppedFrames);
    if (Other != nullptr) {
      step(*Other, &Leader, DroppedFrames);
      if (Other->Node.status().Jobs == Leader.Node.status().Jobs &&
          Other->Node.status().CommitIndex ==
              Leader.Node.status().CommitIndex) {
        break;
      }
    }
    timespec Pause{0, 2'000'000};
    nanosleep(&Pause, nullptr);
  }
  if (Other != nullptr) {
    const bool HasCaughtUp =
        Other->Node.status().Jobs == Leader.Node.status().Jobs;
    std::printf("catch-up: %s after %.0f ms, dropped frames %zu\n",
                HasCaughtUp ? "done" : "NOT DONE", msSince(Begin),
                DroppedFrames);
    std::printf("longest step: leader %.1f ms, receiver %.1f ms\n",
                Leader.LongestStepMs, Other->LongestStepMs);
  }
}

} // namespace

int main(int Count, char **Arguments) {
  const std::size_t Size =
      static_cast<std::size_t>(Count > 1 ? std::atoi(Arguments[1]) : 64) * MiB;
  StoredGroup Stored = bootstrapGroup({{1, 1}});
  {
    const CellState State = makeState(Size);
    std::printf("jobs %zu, resident %ld MiB\n", State.Jobs.size(),
                memoryMb("VmRSS"));
    auto Begin = Clock::now();
    std::string Data = encodeCellState(State);
    std::printf("encode: %.1f ms for %.1f MiB\n", msSince(Begin),
                static_cast<double>(Data.size()) / MiB);
    Stored.LatestSnapshot.Index = 10;
    Stored.LatestSnapshot.InTerm = 1;
    Stored.LatestSnapshot.Data = std::move(Data);
  }
  {
    const auto Begin = Clock::now();
    const std::string Body = encodeSnapshot(Stored.LatestSnapshot);
    std::printf("encode the record: %.1f ms\n", msSince(Begin));
    const auto ReadBegin = Clock::now();
    const auto Read = decodeSnapshot(Body);
    std::printf("read back: %s, %.1f ms\n",
                Read ? "done" : Read.error().Text.c_str(), msSince(ReadBegin));
  }
  const auto Begin = Clock::now();
  const std::string &Data = Stored.LatestSnapshot.Data;
  const bool IsDecoded = decodeCellState(Data).has_value();
  std::printf("decode: %s, %.1f ms\n", IsDecoded ? "done" : "failed",
              msSince(Begin));
  MeasuredNode Leader{1, std::move(Stored), SuspendAwareClock::now()};
  run(Leader, nullptr, 1500);
  std::printf("leader alone: resident %ld MiB, peak so far %ld MiB\n",
              memoryMb("VmRSS"), memoryMb("VmHWM"));
  const long Before = memoryMb("VmRSS");
  MeasuredNode Receiver{2, {}, SuspendAwareClock::now()};
  run(Leader, &Receiver, 20000);
  std::printf("both: resident %ld MiB (receiver %ld MiB), peak %ld MiB\n",
              memoryMb("VmRSS"), memoryMb("VmRSS") - Before, memoryMb("VmHWM"));
  return 0;
}
