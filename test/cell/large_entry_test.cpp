#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/config/cell_settings.hpp"
#include "mulberryramp/wire/fwd.hpp"
#include "support/cell_parts.hpp"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;
using namespace mulberryramp::test;

namespace {

constexpr NodeId Leader = 1;

/// @brief A cell of one voter that records what it stores and answers.
struct OneVoterCell {
  Instant Now{Millis{100000}};
  std::uint64_t NextCall = 1;
  CellNode Node;
  std::size_t MaxEntryBytes = 0;
  std::set<std::uint64_t> Answered;
  std::set<std::uint64_t> Refused;

  explicit OneVoterCell(
      const CellNodeOptions &Options = makeSingleVoterOptions(Leader))
      : Node{Options, bootstrapGroup({{Leader, 1}}), Now} {
    run(Millis{1500});
    call(ConfigureCall{makeTestConfiguration(1, 3)});
    run(Millis{100});
  }

  void call(CellCall Body) {
    Node.call(NextCall, std::move(Body), Now);
    NextCall += 1;
  }

  void submit(const std::string &Name, std::size_t PayloadBytes) {
    JobCall Call;
    Call.Verb = JobVerb::Submit;
    Call.Host = "host";
    Call.Path = "/q/" + Name;
    Call.Spec.Payload = std::string(PayloadBytes, 'p');
    Call.Spec.Steps.emplace_back().Need.MilliCpus = 1000;
    call(std::move(Call));
  }

  void cancel(const std::string &Name) {
    JobCall Call;
    Call.Verb = JobVerb::Cancel;
    Call.Host = "host";
    Call.Path = "/q/" + Name;
    call(std::move(Call));
  }

  void run(Millis Time) {
    const Instant End = Now + Time;
    for (; Now < End; Now += Millis{10}) {
      const CellOutput Output =
          Node.step(Now, WallTime{Now.time_since_epoch()});
      for (const LocalReply &Done : Output.Replies) {
        if (Done.Reply.Verdict == CellVerdict::Done) {
          Answered.insert(Done.CallId);
        } else if (Done.Reply.Verdict == CellVerdict::Refused) {
          Refused.insert(Done.CallId);
        }
      }
      if (!Output.Write) {
        continue;
      }
      for (const Entry &LogEntry : Output.Write->Entries) {
        MaxEntryBytes = std::max(MaxEntryBytes, LogEntry.Data.size());
      }
      Node.onWriteSynced();
    }
  }
};

} // namespace

TEST_GROUP(CellLargeEntry){};

/// An entry that doesn't fit into a frame never reaches the other voters, and
/// the log ends there.
TEST(CellLargeEntry, CallsOfOneStepAreDividedIntoEntriesBySize) {
  OneVoterCell Cell;
  const std::uint64_t First = Cell.NextCall;
  for (int Job = 0; Job < 300; ++Job) {
    Cell.submit("job-" + std::to_string(Job), 40000);
  }
  Cell.submit("largest", std::size_t{1} << 20U);
  Cell.submit("last", 10);
  Cell.run(Millis{200});
  CHECK(Cell.MaxEntryBytes < MaxFrameBytes / 4);
  for (std::uint64_t Id = First; Id < Cell.NextCall; ++Id) {
    CHECK(Cell.Answered.contains(Id));
  }
  CHECK_EQUAL(302U, Cell.Node.status().Jobs);
}

/// The division must keep the order of the commands and lose none.
TEST(CellLargeEntry, DividedEntriesHoldAllCommandsInOrder) {
  std::vector<CellCommand> Commands;
  Commands.reserve(50);
  for (int Job = 0; Job < 50; ++Job) {
    Commands.emplace_back(CancelJobCommand{
        std::string(static_cast<std::size_t>(Job) * 3, 'n'), WallTime{}});
  }
  for (const std::size_t MaxBytes : {1, 100, 1000, 1 << 20}) {
    std::size_t Next = 0;
    for (const EncodedCommands &Encoded : encodeEntries(Commands, MaxBytes)) {
      const auto Decoded = decodeCommands(Encoded.Data);
      CHECK(Decoded.has_value());
      CHECK_EQUAL(Encoded.Count, Decoded->size());
      CHECK(Encoded.Count == 1 || Encoded.Data.size() <= MaxBytes + 5);
      for (const CellCommand &Command : *Decoded) {
        CHECK_EQUAL(Next * 3, std::get<CancelJobCommand>(Command).Name.size());
        Next += 1;
      }
    }
    CHECK_EQUAL(Commands.size(), Next);
  }
  CHECK(encodeEntries({}, 100).empty());
}

/// Jobs that don't fit into the memory or onto the disk of a voter must be
/// refused before they are acknowledged.
TEST(CellLargeEntry, SubmissionBeyondTheStateLimitIsRefused) {
  CellNodeOptions Options = makeSingleVoterOptions(Leader);
  Options.MaxStateBytes = 50000;
  OneVoterCell Cell{Options};
  for (int Job = 0; Job < 8; ++Job) {
    Cell.submit("job-" + std::to_string(Job), 10000);
    Cell.run(Millis{50});
  }
  CHECK_EQUAL(4U, Cell.Node.status().Jobs);
  CHECK_EQUAL(4U, Cell.Refused.size());
  // Cancelled jobs are stripped, and there is room again.
  Cell.cancel("job-0");
  Cell.run(Millis{1500});
  Cell.submit("later", 10000);
  Cell.run(Millis{50});
  CHECK_EQUAL(5U, Cell.Node.status().Jobs);
}

/// Without a limit in the settings nothing is refused.
TEST(CellLargeEntry, StateLimitFollowsTheSettings) {
  CellSettings Settings;
  CHECK_EQUAL(0U, maxStateBytes(Settings));
  Settings.MemoryMb = 384;
  const std::uint64_t OfMemory = maxStateBytes(Settings);
  CHECK(OfMemory > std::uint64_t{40} << 20U);
  CHECK(OfMemory < std::uint64_t{384} << 20U);
  Settings.DiskMb = 192;
  CHECK(maxStateBytes(Settings) <= OfMemory);
  Settings.DiskMb = 1;
  CHECK_EQUAL(1U, maxStateBytes(Settings));
}
