#include "trace.hpp"

#include "mulberryramp/core/names.hpp"
#include "mulberryramp/core/random.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace mulberryramp::bench {

namespace {

constexpr std::int64_t SecondMs = 1000;
constexpr std::int64_t MinuteMs = 60 * SecondMs;

class TraceParser {
public:
  explicit TraceParser(const std::string &Source) { Read.Name = Source; }

  void readLine(std::string Line) {
    Number += 1;
    Line.resize(std::min(Line.find('#'), Line.size()));
    std::istringstream Words{Line};
    std::string First;
    if (!(Words >> First)) {
      return;
    }
    if (First == "workers") {
      readWorkers(Words);
      return;
    }
    readEvent(First, Words);
  }

  Trace Read;
  Findings Report;

private:
  void add(const std::string &Text) {
    Report.add({Read.Name, Number, 0, Text});
  }

  void readWorkers(std::istringstream &Words) {
    std::string Label;
    std::int64_t Cpus = 0;
    Words >> Read.Workers >> Label >> Read.WorkersPerRack >> Label >> Cpus >>
        Label >> Read.Capacity.MemoryMb >> Label >>
        Read.Capacity.Accelerators >> Label >> Read.Capacity.Slots;
    Read.Capacity.MilliCpus = Cpus * 1000;
    if (!Words || Read.Workers == 0 || Read.WorkersPerRack == 0) {
      add("expected `workers N rack N cpus N memory-mb N accelerators N slots "
          "N`");
    }
  }

  void readEvent(const std::string &At, std::istringstream &Words) {
    TraceEvent Event;
    std::string Kind;
    Words >> Kind >> Event.Name;
    const auto Parsed = parseName<TraceEventKind>(Kind);
    char *End = nullptr;
    Event.At = Millis{std::strtoll(At.c_str(), &End, 10)};
    if (!Words || !Parsed || *End != '\0' || Event.At < Millis{0}) {
      add("expected `AT submit|cancel|lose|return|fail NAME`");
      return;
    }
    Event.Kind = *Parsed;
    if (Event.Kind == TraceEventKind::Submit && !readSpec(Event, Words)) {
      add("expected `CUSTOMER TEAM CLASS KIND TASKS MILLI-CPUS MEMORY-MB "
          "ACCELERATORS RUN-MS DECLARED-MS once|again`");
      return;
    }
    Read.Events.push_back(std::move(Event));
  }

  static bool readSpec(TraceEvent &Event, std::istringstream &Words) {
    RequestSpec &Spec = Event.Spec;
    std::string Kind;
    std::string Again;
    std::int64_t RunMs = 0;
    std::int64_t DeclaredMs = 0;
    Words >> Spec.Customer >> Spec.Team >> Spec.ClassName >> Kind >>
        Spec.TaskCount >> Spec.Need.MilliCpus >> Spec.Need.MemoryMb >>
        Spec.Need.Accelerators >> RunMs >> DeclaredMs >> Again;
    const auto Parsed = parseName<WorkKind>(Kind);
    Spec.Key = Event.Name;
    Spec.Kind = Parsed.value_or(WorkKind::Batch);
    Spec.Need.Slots = 1;
    Spec.IsIdempotent = Again == "again";
    Spec.DeclaredRunTime = Millis{DeclaredMs};
    Event.RunTime = Millis{RunMs};
    return !Words.fail() && Parsed && (Again == "again" || Again == "once") &&
           Spec.TaskCount > 0 && Spec.TaskCount <= 2000 &&
           isNonNegative(Spec.Need) && RunMs >= 0;
  }

  std::size_t Number = 0;
};

/// Adds events to a trace under growing keys.
class TraceBuilder {
public:
  TraceBuilder(const std::string &Name, std::uint64_t Seed) : Rng{Seed} {
    Made.Name = Name;
  }

  void setWorkers(std::size_t Count, std::int64_t Cpus, std::int64_t MemoryMb,
                  std::int64_t Slots) {
    Made.Workers = Count;
    Made.Capacity = {Cpus * 1000, MemoryMb, 0, Slots, 64};
  }

  struct RequestShape {
    std::string Customer;
    std::string Team;
    std::string ClassName;
    WorkKind Kind = WorkKind::Batch;
    std::uint32_t Tasks = 1;
    Resources Need;
    std::int64_t RunMs = 0;
    bool IsIdempotent = true;
  };

  std::string add(std::int64_t AtMs, const RequestShape &Item) {
    TraceEvent Event;
    Event.At = Millis{AtMs};
    Event.Name = "k" + std::to_string(Next++);
    RequestSpec &Spec = Event.Spec;
    Spec.Customer = Item.Customer;
    Spec.Team = Item.Team;
    Spec.ClassName = Item.ClassName;
    Spec.Kind = Item.Kind;
    Spec.TaskCount = Item.Tasks;
    Spec.Need = Item.Need;
    Spec.Key = Event.Name;
    Spec.IsIdempotent = Item.IsIdempotent;
    Event.RunTime = Millis{Item.RunMs};
    Spec.DeclaredRunTime = Millis{
        Item.RunMs * static_cast<std::int64_t>(20 + Rng.below(300)) / 100};
    Made.Events.push_back(Event);
    return Event.Name;
  }

  void event(std::int64_t AtMs, TraceEventKind Kind, const std::string &Name) {
    TraceEvent Event;
    Event.At = Millis{AtMs};
    Event.Kind = Kind;
    Event.Name = Name;
    Made.Events.push_back(std::move(Event));
  }

  /// Time until the next of events that come at random.
  std::int64_t interArrivalMs(double MeanMs) {
    const double Part =
        (static_cast<double>(Rng.below(1'000'000)) + 1) / 1'000'001.0;
    return static_cast<std::int64_t>(-std::log(Part) * MeanMs) + 1;
  }

  std::int64_t uniform(std::int64_t Least, std::int64_t Most) {
    return Least + static_cast<std::int64_t>(
                       Rng.below(static_cast<std::uint64_t>(Most - Least + 1)));
  }

  Trace finish() {
    std::stable_sort(Made.Events.begin(), Made.Events.end(),
                     [](const TraceEvent &Left, const TraceEvent &Right) {
                       return Left.At < Right.At;
                     });
    return std::move(Made);
  }

  Random Rng;

private:
  Trace Made;
  std::uint64_t Next = 0;
};

using Load = TraceBuilder::RequestShape;

Load deskRequest(TraceBuilder &Make) {
  return {"iftar",
          "desk",
          "urgent",
          WorkKind::Batch,
          1,
          {500, 512, 0, 1, 0},
          Make.uniform(300, 1500),
          true};
}

/// Kolkata before maghrib: a rush at the desk beside the nightly allotment.
Trace maghrib(std::size_t Workers, std::uint64_t Seed) {
  TraceBuilder Make{"maghrib", Seed};
  Make.setWorkers(Workers == 0 ? 48 : Workers, 32, 65536, 8);
  for (int Index = 0; Index < 12; ++Index) {
    Make.add(0, {"iftar",
                 "rolls",
                 "normal",
                 WorkKind::Service,
                 2,
                 {2000, 6144, 0, 1, 0},
                 0,
                 true});
  }
  for (std::int64_t At = 0; At < 20 * MinuteMs;
       At += Make.interArrivalMs(2500)) {
    Make.add(At,
             {"iftar",
              "allotment",
              "nightly",
              WorkKind::Batch,
              static_cast<std::uint32_t>(Make.uniform(1, 8)),
              {Make.uniform(2, 8) * 1000, Make.uniform(4, 24) * 1024, 0, 1, 0},
              Make.uniform(30, 180) * SecondMs,
              true});
  }
  for (std::int64_t At = MinuteMs; At < 20 * MinuteMs;
       At += Make.interArrivalMs(90 * SecondMs)) {
    Make.add(At, {"iftar",
                  "allotment",
                  "nightly",
                  WorkKind::Gang,
                  static_cast<std::uint32_t>(Make.uniform(4, 10)),
                  {8000, 30720, 0, 1, 0},
                  Make.uniform(30, 90) * SecondMs,
                  true});
  }
  for (std::int64_t At = 10 * MinuteMs; At < 16 * MinuteMs;
       At += Make.interArrivalMs(60)) {
    Make.add(At, deskRequest(Make));
  }
  return Make.finish();
}

/// Zagreb's last hour before tenders close: quotes among long plans.
Trace tenders(std::size_t Workers, std::uint64_t Seed) {
  TraceBuilder Make{"tenders", Seed};
  Make.setWorkers(Workers == 0 ? 48 : Workers, 32, 131072, 8);
  for (int Index = 0; Index < 20; ++Index) {
    Make.add(0, {"franchise",
                 "watch",
                 "normal",
                 WorkKind::Service,
                 2,
                 {1000, 2048, 0, 1, 0},
                 0,
                 true});
  }
  for (std::int64_t At = 0; At < 20 * MinuteMs;
       At += Make.interArrivalMs(1100)) {
    Make.add(At,
             {"franchise",
              Make.Rng.percent(70) ? "plans" : "stock",
              "normal",
              WorkKind::Batch,
              static_cast<std::uint32_t>(Make.uniform(1, 4)),
              {Make.uniform(1, 12) * 1000, Make.uniform(2, 32) * 1024, 0, 1, 0},
              Make.uniform(20, 150) * SecondMs,
              true});
  }
  for (std::int64_t At = 2 * MinuteMs; At < 20 * MinuteMs;
       At += Make.interArrivalMs(120)) {
    Make.add(At, {"franchise",
                  "quotes",
                  "urgent",
                  WorkKind::Batch,
                  1,
                  {1000, 1024, 0, 1, 0},
                  Make.uniform(400, 3000),
                  Make.Rng.percent(50)});
  }
  return Make.finish();
}

Trace badWorker(std::size_t Workers, std::uint64_t Seed) {
  TraceBuilder Make{"bad-worker", Seed};
  Make.setWorkers(Workers == 0 ? 16 : Workers, 32, 131072, 8);
  Make.event(0, TraceEventKind::Fail, "w3");
  for (std::int64_t At = 0; At < 10 * MinuteMs;
       At += Make.interArrivalMs(250)) {
    Make.add(At, {"franchise",
                  "plans",
                  "normal",
                  WorkKind::Batch,
                  1,
                  {2000, 4096, 0, 1, 0},
                  Make.uniform(2, 20) * SecondMs,
                  true});
  }
  return Make.finish();
}

Trace cancelWave(std::size_t Workers, std::uint64_t Seed) {
  TraceBuilder Make{"cancel-wave", Seed};
  Make.setWorkers(Workers == 0 ? 16 : Workers, 32, 131072, 8);
  std::vector<std::string> Keys;
  for (std::int64_t At = 0; At < 2 * MinuteMs; At += Make.interArrivalMs(30)) {
    Keys.push_back(Make.add(At, {"iftar",
                                 "loud",
                                 "normal",
                                 WorkKind::Batch,
                                 1,
                                 {4000, 8192, 0, 1, 0},
                                 Make.uniform(5, 30) * SecondMs,
                                 true}));
  }
  for (std::int64_t At = 0; At < 6 * MinuteMs;
       At += Make.interArrivalMs(2000)) {
    Make.add(At, {"iftar",
                  "quiet",
                  "normal",
                  WorkKind::Batch,
                  1,
                  {1000, 2048, 0, 1, 0},
                  Make.uniform(1, 5) * SecondMs,
                  true});
  }
  for (const std::string &Key : Keys) {
    Make.event(2 * MinuteMs + Make.uniform(0, 2000), TraceEventKind::Cancel,
               Key);
  }
  return Make.finish();
}

Trace lostRack(std::size_t Workers, std::uint64_t Seed) {
  TraceBuilder Make{"lost-rack", Seed};
  Make.setWorkers(Workers == 0 ? 32 : Workers, 32, 131072, 8);
  for (int Index = 0; Index < 20; ++Index) {
    Make.add(0, {"franchise",
                 "watch",
                 "normal",
                 WorkKind::Service,
                 3,
                 {2000, 4096, 0, 1, 0},
                 0,
                 true});
  }
  for (std::int64_t At = 0; At < 10 * MinuteMs;
       At += Make.interArrivalMs(700)) {
    Make.add(At, {"franchise",
                  "plans",
                  "normal",
                  WorkKind::Batch,
                  1,
                  {4000, 8192, 0, 1, 0},
                  Make.uniform(10, 60) * SecondMs,
                  true});
  }
  for (int Index = 8; Index < 16; ++Index) {
    const std::string Name = "w" + std::to_string(Index);
    Make.event(4 * MinuteMs, TraceEventKind::Lose, Name);
    Make.event(8 * MinuteMs, TraceEventKind::Return, Name);
  }
  return Make.finish();
}

Trace flood(std::size_t Workers, std::uint64_t Seed) {
  TraceBuilder Make{"flood", Seed};
  Make.setWorkers(Workers == 0 ? 16 : Workers, 32, 131072, 8);
  for (int Index = 0; Index < 3000; ++Index) {
    Make.add(30 * SecondMs + Index, {"franchise",
                                     "loud",
                                     "normal",
                                     WorkKind::Batch,
                                     1,
                                     {4000, 8192, 0, 1, 0},
                                     Make.uniform(5, 20) * SecondMs,
                                     true});
  }
  for (std::int64_t At = 0; At < 10 * MinuteMs;
       At += Make.interArrivalMs(3000)) {
    Make.add(At, {"franchise",
                  "quiet",
                  "normal",
                  WorkKind::Batch,
                  1,
                  {1000, 2048, 0, 1, 0},
                  Make.uniform(1, 5) * SecondMs,
                  true});
  }
  return Make.finish();
}

/// The planned size in one data centre: 14,000 tasks running on 470 workers,
/// a fifth of them services, 24 teams, 33 starts a second at the peak.
Trace letter(std::size_t Workers, std::uint64_t Seed) {
  TraceBuilder Make{"letter", Seed};
  const std::size_t Count = Workers == 0 ? 470 : Workers;
  Make.setWorkers(Count, 32, 131072, 64);
  const auto Team = [&Make] {
    return "team-" + std::to_string(Make.Rng.below(24));
  };
  const std::size_t Running = Count * 30;
  for (std::size_t Index = 0; Index < Running / 5 / 4; ++Index) {
    Make.add(static_cast<std::int64_t>(Index) * 10, {"franchise",
                                                     Team(),
                                                     "normal",
                                                     WorkKind::Service,
                                                     4,
                                                     {500, 2048, 0, 1, 0},
                                                     0,
                                                     true});
  }
  for (std::size_t Index = 0; Index < Running * 4 / 5 / 8; ++Index) {
    Make.add(static_cast<std::int64_t>(Index) * 10,
             {"iftar",
              Team(),
              "nightly",
              WorkKind::Batch,
              8,
              {Make.uniform(4, 16) * 100, Make.uniform(1, 6) * 1024, 0, 1, 0},
              Make.uniform(200, 600) * SecondMs,
              true});
  }
  const double MeanGapMs = 1000.0 / 33.0 * 470.0 / static_cast<double>(Count);
  for (std::int64_t At = MinuteMs; At < 4 * MinuteMs;
       At += Make.interArrivalMs(MeanGapMs)) {
    const bool IsUrgent = Make.Rng.percent(20);
    Make.add(At, {"franchise",
                  Team(),
                  IsUrgent ? "urgent" : "normal",
                  WorkKind::Batch,
                  1,
                  {1000, 2048, 0, 1, 0},
                  Make.uniform(1, 20) * SecondMs,
                  true});
  }
  return Make.finish();
}

} // namespace

tl::expected<Trace, Findings> parseTrace(const std::string &Source,
                                         const std::string &Text) {
  TraceParser Reader{Source};
  std::istringstream Lines{Text};
  for (std::string Line; std::getline(Lines, Line);) {
    Reader.readLine(std::move(Line));
  }
  if (Reader.Read.Workers == 0) {
    Reader.Report.add({Source, 0, 0, "no line `workers`"});
  }
  if (!Reader.Report.empty()) {
    return tl::make_unexpected(Reader.Report);
  }
  return std::move(Reader.Read);
}

std::string renderTrace(const Trace &Recorded) {
  std::ostringstream Out;
  Out << "workers " << Recorded.Workers << " rack " << Recorded.WorkersPerRack
      << " cpus " << Recorded.Capacity.MilliCpus / 1000 << " memory-mb "
      << Recorded.Capacity.MemoryMb << " accelerators "
      << Recorded.Capacity.Accelerators << " slots " << Recorded.Capacity.Slots
      << "\n";
  for (const TraceEvent &Event : Recorded.Events) {
    Out << Event.At.count() << ' ' << nameOf(Event.Kind) << ' ' << Event.Name;
    if (Event.Kind == TraceEventKind::Submit) {
      const RequestSpec &Spec = Event.Spec;
      Out << ' ' << Spec.Customer << ' ' << Spec.Team << ' ' << Spec.ClassName
          << ' ' << nameOf(Spec.Kind) << ' ' << Spec.TaskCount << ' '
          << Spec.Need.MilliCpus << ' ' << Spec.Need.MemoryMb << ' '
          << Spec.Need.Accelerators << ' ' << Event.RunTime.count() << ' '
          << Spec.DeclaredRunTime.count() << ' '
          << (Spec.IsIdempotent ? "again" : "once");
    }
    Out << '\n';
  }
  return Out.str();
}

std::vector<std::string> traceNames() {
  return {"maghrib",   "tenders", "bad-worker", "cancel-wave",
          "lost-rack", "flood",   "letter"};
}

Trace makeTrace(const std::string &Name, std::size_t Workers,
                std::uint64_t Seed) {
  if (Name == "maghrib") {
    return maghrib(Workers, Seed);
  }
  if (Name == "tenders") {
    return tenders(Workers, Seed);
  }
  if (Name == "bad-worker") {
    return badWorker(Workers, Seed);
  }
  if (Name == "cancel-wave") {
    return cancelWave(Workers, Seed);
  }
  if (Name == "lost-rack") {
    return lostRack(Workers, Seed);
  }
  if (Name == "flood") {
    return flood(Workers, Seed);
  }
  return Name == "letter" ? letter(Workers, Seed) : Trace{};
}

} // namespace mulberryramp::bench
