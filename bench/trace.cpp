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
  explicit TraceParser(const std::string &Source) { Parsed.Name = Source; }

  void readLine(std::string Line) {
    LineNumber += 1;
    Line.resize(std::min(Line.find('#'), Line.size()));
    std::istringstream Fields{Line};
    std::string First;
    if (!(Fields >> First)) {
      return;
    }
    if (First == "workers") {
      readWorkers(Fields);
      return;
    }
    readEvent(First, Fields);
  }

  Trace Parsed;
  Findings Report;

private:
  void add(const std::string &Text) {
    Report.add({Parsed.Name, LineNumber, 0, Text});
  }

  void readWorkers(std::istringstream &Fields) {
    std::string Label;
    std::int64_t Cpus = 0;
    Fields >> Parsed.Workers >> Label >> Parsed.WorkersPerRack >> Label >>
        Cpus >> Label >> Parsed.Capacity.MemoryMb >> Label >>
        Parsed.Capacity.Accelerators >> Label >> Parsed.Capacity.Slots;
    Parsed.Capacity.MilliCpus = Cpus * 1000;
    if (!Fields || Parsed.Workers == 0 || Parsed.WorkersPerRack == 0) {
      add("expected `workers N rack N cpus N memory-mb N accelerators N slots "
          "N`");
    }
  }

  void readEvent(const std::string &At, std::istringstream &Fields) {
    TraceEvent Event;
    std::string Kind;
    Fields >> Kind >> Event.Name;
    const auto ParsedKind = parseName<TraceEventKind>(Kind);
    char *End = nullptr;
    Event.At = Millis{std::strtoll(At.c_str(), &End, 10)};
    if (!Fields || !ParsedKind || *End != '\0' || Event.At < Millis{0}) {
      add("expected `AT submit|cancel|lose|return|fail NAME`");
      return;
    }
    Event.Kind = *ParsedKind;
    if (Event.Kind == TraceEventKind::Submit && !readSpec(Event, Fields)) {
      add("expected `CUSTOMER TEAM CLASS KIND TASKS MILLI-CPUS MEMORY-MB "
          "ACCELERATORS RUN-MS DECLARED-MS once|again`");
      return;
    }
    Parsed.Events.push_back(std::move(Event));
  }

  static bool readSpec(TraceEvent &Event, std::istringstream &Fields) {
    RequestSpec &Spec = Event.Spec;
    std::string Kind;
    std::string Idempotence;
    std::int64_t RunMs = 0;
    std::int64_t DeclaredMs = 0;
    Fields >> Spec.Customer >> Spec.Team >> Spec.ClassName >> Kind >>
        Spec.TaskCount >> Spec.Need.MilliCpus >> Spec.Need.MemoryMb >>
        Spec.Need.Accelerators >> RunMs >> DeclaredMs >> Idempotence;
    const auto ParsedKind = parseName<WorkKind>(Kind);
    Spec.Key = Event.Name;
    Spec.Kind = ParsedKind.value_or(WorkKind::Batch);
    Spec.Need.Slots = 1;
    Spec.IsIdempotent = Idempotence == "again";
    Spec.DeclaredRunTime = Millis{DeclaredMs};
    Event.RunTime = Millis{RunMs};
    return !Fields.fail() && ParsedKind &&
           (Idempotence == "again" || Idempotence == "once") &&
           Spec.TaskCount > 0 && Spec.TaskCount <= 2000 &&
           isNonNegative(Spec.Need) && RunMs >= 0;
  }

  std::size_t LineNumber = 0;
};

/// Builds a trace; the keys of its requests are numbered consecutively.
class TraceBuilder {
public:
  TraceBuilder(const std::string &Name, std::uint64_t Seed) : Rng{Seed} {
    Built.Name = Name;
  }

  void setWorkers(std::size_t Count, std::int64_t Cpus, std::int64_t MemoryMb,
                  std::int64_t Slots) {
    Built.Workers = Count;
    Built.Capacity = {Cpus * 1000, MemoryMb, 0, Slots, 64};
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

  /// @return The key of the request.
  std::string add(std::int64_t AtMs, const RequestShape &Shape) {
    TraceEvent Event;
    Event.At = Millis{AtMs};
    Event.Name = "k" + std::to_string(Next++);
    RequestSpec &Spec = Event.Spec;
    Spec.Customer = Shape.Customer;
    Spec.Team = Shape.Team;
    Spec.ClassName = Shape.ClassName;
    Spec.Kind = Shape.Kind;
    Spec.TaskCount = Shape.Tasks;
    Spec.Need = Shape.Need;
    Spec.Key = Event.Name;
    Spec.IsIdempotent = Shape.IsIdempotent;
    Event.RunTime = Millis{Shape.RunMs};
    Spec.DeclaredRunTime = Millis{
        Shape.RunMs * static_cast<std::int64_t>(20 + Rng.below(300)) / 100};
    Built.Events.push_back(Event);
    return Event.Name;
  }

  void event(std::int64_t AtMs, TraceEventKind Kind, const std::string &Name) {
    TraceEvent Event;
    Event.At = Millis{AtMs};
    Event.Kind = Kind;
    Event.Name = Name;
    Built.Events.push_back(std::move(Event));
  }

  /// Exponentially distributed time between two events.
  std::int64_t interArrivalMs(double MeanMs) {
    const double Fraction =
        (static_cast<double>(Rng.below(1'000'000)) + 1) / 1'000'001.0;
    return static_cast<std::int64_t>(-std::log(Fraction) * MeanMs) + 1;
  }

  std::int64_t uniform(std::int64_t Min, std::int64_t Max) {
    return Min + static_cast<std::int64_t>(
                     Rng.below(static_cast<std::uint64_t>(Max - Min + 1)));
  }

  Trace finish() {
    std::stable_sort(Built.Events.begin(), Built.Events.end(),
                     [](const TraceEvent &Lhs, const TraceEvent &Rhs) {
                       return Lhs.At < Rhs.At;
                     });
    return std::move(Built);
  }

  Random Rng;

private:
  Trace Built;
  std::uint64_t Next = 0;
};

using RequestShape = TraceBuilder::RequestShape;

RequestShape deskRequest(TraceBuilder &Builder) {
  return {"iftar",
          "desk",
          "urgent",
          WorkKind::Batch,
          1,
          {500, 512, 0, 1, 0},
          Builder.uniform(300, 1500),
          true};
}

/// Kolkata before maghrib: a burst of urgent desk requests beside the batch
/// work of the nightly allotment.
Trace maghrib(std::size_t Workers, std::uint64_t Seed) {
  TraceBuilder Builder{"maghrib", Seed};
  Builder.setWorkers(Workers == 0 ? 48 : Workers, 32, 65536, 8);
  for (int Index = 0; Index < 12; ++Index) {
    Builder.add(0, {"iftar",
                    "rolls",
                    "normal",
                    WorkKind::Service,
                    2,
                    {2000, 6144, 0, 1, 0},
                    0,
                    true});
  }
  for (std::int64_t At = 0; At < 20 * MinuteMs;
       At += Builder.interArrivalMs(2500)) {
    Builder.add(At, {"iftar",
                     "allotment",
                     "nightly",
                     WorkKind::Batch,
                     static_cast<std::uint32_t>(Builder.uniform(1, 8)),
                     {Builder.uniform(2, 8) * 1000,
                      Builder.uniform(4, 24) * 1024, 0, 1, 0},
                     Builder.uniform(30, 180) * SecondMs,
                     true});
  }
  for (std::int64_t At = MinuteMs; At < 20 * MinuteMs;
       At += Builder.interArrivalMs(90 * SecondMs)) {
    Builder.add(At, {"iftar",
                     "allotment",
                     "nightly",
                     WorkKind::Gang,
                     static_cast<std::uint32_t>(Builder.uniform(4, 10)),
                     {8000, 30720, 0, 1, 0},
                     Builder.uniform(30, 90) * SecondMs,
                     true});
  }
  for (std::int64_t At = 10 * MinuteMs; At < 16 * MinuteMs;
       At += Builder.interArrivalMs(60)) {
    Builder.add(At, deskRequest(Builder));
  }
  return Builder.finish();
}

/// Zagreb in the last hour before tenders close: short urgent quotes among
/// long plans.
Trace tenders(std::size_t Workers, std::uint64_t Seed) {
  TraceBuilder Builder{"tenders", Seed};
  Builder.setWorkers(Workers == 0 ? 48 : Workers, 32, 131072, 8);
  for (int Index = 0; Index < 20; ++Index) {
    Builder.add(0, {"franchise",
                    "watch",
                    "normal",
                    WorkKind::Service,
                    2,
                    {1000, 2048, 0, 1, 0},
                    0,
                    true});
  }
  for (std::int64_t At = 0; At < 20 * MinuteMs;
       At += Builder.interArrivalMs(1100)) {
    Builder.add(At, {"franchise",
                     Builder.Rng.percent(70) ? "plans" : "stock",
                     "normal",
                     WorkKind::Batch,
                     static_cast<std::uint32_t>(Builder.uniform(1, 4)),
                     {Builder.uniform(1, 12) * 1000,
                      Builder.uniform(2, 32) * 1024, 0, 1, 0},
                     Builder.uniform(20, 150) * SecondMs,
                     true});
  }
  for (std::int64_t At = 2 * MinuteMs; At < 20 * MinuteMs;
       At += Builder.interArrivalMs(120)) {
    Builder.add(At, {"franchise",
                     "quotes",
                     "urgent",
                     WorkKind::Batch,
                     1,
                     {1000, 1024, 0, 1, 0},
                     Builder.uniform(400, 3000),
                     Builder.Rng.percent(50)});
  }
  return Builder.finish();
}

/// Worker `w3` fails all its tasks.
Trace badWorker(std::size_t Workers, std::uint64_t Seed) {
  TraceBuilder Builder{"bad-worker", Seed};
  Builder.setWorkers(Workers == 0 ? 16 : Workers, 32, 131072, 8);
  Builder.event(0, TraceEventKind::Fail, "w3");
  for (std::int64_t At = 0; At < 10 * MinuteMs;
       At += Builder.interArrivalMs(250)) {
    Builder.add(At, {"franchise",
                     "plans",
                     "normal",
                     WorkKind::Batch,
                     1,
                     {2000, 4096, 0, 1, 0},
                     Builder.uniform(2, 20) * SecondMs,
                     true});
  }
  return Builder.finish();
}

/// One team submits for 2 minutes and then cancels all its requests within 2
/// seconds; another team submits throughout.
Trace cancelWave(std::size_t Workers, std::uint64_t Seed) {
  TraceBuilder Builder{"cancel-wave", Seed};
  Builder.setWorkers(Workers == 0 ? 16 : Workers, 32, 131072, 8);
  std::vector<std::string> Keys;
  for (std::int64_t At = 0; At < 2 * MinuteMs;
       At += Builder.interArrivalMs(30)) {
    Keys.push_back(Builder.add(At, {"iftar",
                                    "loud",
                                    "normal",
                                    WorkKind::Batch,
                                    1,
                                    {4000, 8192, 0, 1, 0},
                                    Builder.uniform(5, 30) * SecondMs,
                                    true}));
  }
  for (std::int64_t At = 0; At < 6 * MinuteMs;
       At += Builder.interArrivalMs(2000)) {
    Builder.add(At, {"iftar",
                     "quiet",
                     "normal",
                     WorkKind::Batch,
                     1,
                     {1000, 2048, 0, 1, 0},
                     Builder.uniform(1, 5) * SecondMs,
                     true});
  }
  for (const std::string &Key : Keys) {
    Builder.event(2 * MinuteMs + Builder.uniform(0, 2000),
                  TraceEventKind::Cancel, Key);
  }
  return Builder.finish();
}

/// A rack of 8 workers is lost after 4 minutes and returns after 8.
Trace lostRack(std::size_t Workers, std::uint64_t Seed) {
  TraceBuilder Builder{"lost-rack", Seed};
  Builder.setWorkers(Workers == 0 ? 32 : Workers, 32, 131072, 8);
  for (int Index = 0; Index < 20; ++Index) {
    Builder.add(0, {"franchise",
                    "watch",
                    "normal",
                    WorkKind::Service,
                    3,
                    {2000, 4096, 0, 1, 0},
                    0,
                    true});
  }
  for (std::int64_t At = 0; At < 10 * MinuteMs;
       At += Builder.interArrivalMs(700)) {
    Builder.add(At, {"franchise",
                     "plans",
                     "normal",
                     WorkKind::Batch,
                     1,
                     {4000, 8192, 0, 1, 0},
                     Builder.uniform(10, 60) * SecondMs,
                     true});
  }
  for (int Index = 8; Index < 16; ++Index) {
    const std::string Name = "w" + std::to_string(Index);
    Builder.event(4 * MinuteMs, TraceEventKind::Lose, Name);
    Builder.event(8 * MinuteMs, TraceEventKind::Return, Name);
  }
  return Builder.finish();
}

/// One team submits 3000 requests within 3 seconds; another team submits
/// throughout.
Trace flood(std::size_t Workers, std::uint64_t Seed) {
  TraceBuilder Builder{"flood", Seed};
  Builder.setWorkers(Workers == 0 ? 16 : Workers, 32, 131072, 8);
  for (int Index = 0; Index < 3000; ++Index) {
    Builder.add(30 * SecondMs + Index, {"franchise",
                                        "loud",
                                        "normal",
                                        WorkKind::Batch,
                                        1,
                                        {4000, 8192, 0, 1, 0},
                                        Builder.uniform(5, 20) * SecondMs,
                                        true});
  }
  for (std::int64_t At = 0; At < 10 * MinuteMs;
       At += Builder.interArrivalMs(3000)) {
    Builder.add(At, {"franchise",
                     "quiet",
                     "normal",
                     WorkKind::Batch,
                     1,
                     {1000, 2048, 0, 1, 0},
                     Builder.uniform(1, 5) * SecondMs,
                     true});
  }
  return Builder.finish();
}

/// The planned size of one data centre: 14,000 running tasks on 470 workers, a
/// fifth of them services, of 24 teams, with 33 starts per second at the peak.
Trace letter(std::size_t Workers, std::uint64_t Seed) {
  TraceBuilder Builder{"letter", Seed};
  const std::size_t Count = Workers == 0 ? 470 : Workers;
  Builder.setWorkers(Count, 32, 131072, 64);
  const auto Team = [&Builder] {
    return "team-" + std::to_string(Builder.Rng.below(24));
  };
  const std::size_t Running = Count * 30;
  for (std::size_t Index = 0; Index < Running / 5 / 4; ++Index) {
    Builder.add(static_cast<std::int64_t>(Index) * 10, {"franchise",
                                                        Team(),
                                                        "normal",
                                                        WorkKind::Service,
                                                        4,
                                                        {500, 2048, 0, 1, 0},
                                                        0,
                                                        true});
  }
  for (std::size_t Index = 0; Index < Running * 4 / 5 / 8; ++Index) {
    Builder.add(
        static_cast<std::int64_t>(Index) * 10,
        {"iftar",
         Team(),
         "nightly",
         WorkKind::Batch,
         8,
         {Builder.uniform(4, 16) * 100, Builder.uniform(1, 6) * 1024, 0, 1, 0},
         Builder.uniform(200, 600) * SecondMs,
         true});
  }
  const double MeanGapMs = 1000.0 / 33.0 * 470.0 / static_cast<double>(Count);
  for (std::int64_t At = MinuteMs; At < 4 * MinuteMs;
       At += Builder.interArrivalMs(MeanGapMs)) {
    const bool IsUrgent = Builder.Rng.percent(20);
    Builder.add(At, {"franchise",
                     Team(),
                     IsUrgent ? "urgent" : "normal",
                     WorkKind::Batch,
                     1,
                     {1000, 2048, 0, 1, 0},
                     Builder.uniform(1, 20) * SecondMs,
                     true});
  }
  return Builder.finish();
}

} // namespace

tl::expected<Trace, Findings> parseTrace(const std::string &Source,
                                         const std::string &Text) {
  TraceParser Reader{Source};
  std::istringstream Lines{Text};
  for (std::string Line; std::getline(Lines, Line);) {
    Reader.readLine(std::move(Line));
  }
  if (Reader.Parsed.Workers == 0) {
    Reader.Report.add({Source, 0, 0, "no line `workers`"});
  }
  if (!Reader.Report.empty()) {
    return tl::make_unexpected(Reader.Report);
  }
  return std::move(Reader.Parsed);
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
