#include "mulberryramp/config/cell_settings.hpp"

#include "mulberryramp/config/ini.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace mulberryramp {

namespace {

using internal::IniPair;

/// Lists the features of a deployment; those that a node does not know are
/// ignored.
constexpr const char *FeatureSection = "features";
/// Upper limit of all durations: one day.
constexpr std::int64_t MaxMillis = std::int64_t{24} * 3600 * 1000;

constexpr std::uint64_t BytesPerMb = std::uint64_t{1} << 20U;
/// Memory of a voter without jobs: peaks of 42 to 98 MB were measured with 350
/// workers (docs/CAPACITY.md). A process with less than twice as much has fewer
/// workers, and half of its memory is reserved.
constexpr std::uint64_t ReservedMemoryMb = 112;
/// Memory on which the limits for clients are based if there is no limit.
constexpr std::uint32_t DefaultMemoryMb = 512;
constexpr std::uint64_t ClientMemoryShare = 8;
/// Room for a body of the maximum size on each listener.
constexpr std::uint64_t MinClientBytes = 8 * BytesPerMb;
/// The jobs themselves, the last snapshot, a snapshot in the making, and log
/// entries as long as the last snapshot (docs/CAPACITY.md).
constexpr std::uint64_t CopiesInMemory = 5;
/// Log entries that are written while a snapshot is stored.
constexpr std::uint64_t ReservedDiskMb = 32;
/// The last snapshot and its log, and the next ones.
constexpr std::uint64_t CopiesOnDisk = 4;

std::vector<std::string> splitCommas(const std::string &Text) {
  std::vector<std::string> Segments;
  std::size_t Begin = 0;
  while (Begin <= Text.size()) {
    const std::size_t End = std::min(Text.find(',', Begin), Text.size());
    std::string Segment = Text.substr(Begin, End - Begin);
    Segment.erase(0, Segment.find_first_not_of(' '));
    Segment.erase(Segment.find_last_not_of(' ') + 1);
    if (!Segment.empty()) {
      Segments.push_back(std::move(Segment));
    }
    Begin = End + 1;
  }
  return Segments;
}

/// Collects all findings instead of stopping at the first one.
class CellSettingsReader {
public:
  explicit CellSettingsReader(std::string Source) : Source{std::move(Source)} {
    addTexts();
    addEndpoints();
    addNumbers();
  }

  tl::expected<CellSettings, Findings> read(const std::string &Text) {
    for (const IniPair &Pair : internal::readIni(Source, Text, Report)) {
      parsePair(Pair);
    }
    check();
    if (!Report.empty()) {
      return tl::make_unexpected(Report);
    }
    return Config;
  }

private:
  using Setter = std::function<bool(const std::string &)>;

  void addTexts() {
    addText("node.name", Config.Name);
    addText("node.centre", Config.Centre);
    addText("node.region", Config.Region);
    addText("node.data-folder", Config.DataFolder);
    Setters["node.address"] = [this](const std::string &Value) {
      Config.Host = Value;
      return nodeIdOf(Value) != 0;
    };
    Setters["cell.seeds"] = [this](const std::string &Value) {
      return parseSeeds(Value);
    };
    addFlag("cell.voter", Config.IsVoter);
    addFlag("cell.found", Config.IsBootstrap);
    addFlag("features.pressure", Config.HasOverloadControl);
    addFlag("cell.preemption", Config.HasPreemption);
  }

  void addEndpoints() {
    addEndpoint("listen.callers", Config.Callers);
    addEndpoint("listen.readiness", Config.Readiness);
    addEndpoint("listen.control", Config.Control);
    addEndpoint("listen.metrics", Config.Metrics);
    addEndpoint("cell.advisor", Config.Advisor);
    addNumber("listen.peer-port", Config.PeerPort, std::uint16_t{1},
              std::uint16_t{65535});
    addNumber("cell.may-lose", Config.MaxVoterFailures, 0U, 100U);
    addNumber("cell.may-lose-centres", Config.MaxCentreFailures, 0U, 100U);
    addNumber("cell.may-lose-regions", Config.MaxRegionFailures, 0U, 100U);
    addNumber("limits.descriptors", Config.Descriptors, 64U, 1U << 20U);
    addNumber("limits.memory-mb", Config.MemoryMb, 0U, 1U << 24U);
    addNumber("limits.disk-mb", Config.DiskMb, 0U, 1U << 24U);
  }

  void addNumbers() {
    Setters["timing.lease-ms"] = [this](const std::string &Value) {
      ExplicitLease = parseMillis(Value);
      return ExplicitLease.has_value();
    };
    addMillis("timing.max-lease-ms", Config.MaxLease);
    addMillis("timing.report-every-ms", Config.ReportInterval);
    addMillis("timing.retention-ms", Config.Retention);
    addMillis("timing.leave-within-ms", Config.ShutdownTimeout);
  }

  void addText(const char *Key, std::string &Output) {
    Setters[Key] = [&Output](const std::string &Value) {
      Output = Value;
      return true;
    };
  }

  void addFlag(const char *Key, bool &Output) {
    Setters[Key] = [&Output](const std::string &Value) {
      Output = Value == "yes" || Value == "true";
      return Output || Value == "no" || Value == "false";
    };
  }

  void addEndpoint(const char *Key, std::optional<Endpoint> &Output) {
    Setters[Key] = [&Output](const std::string &Value) {
      Output = internal::parseEndpoint(Value);
      return Output.has_value();
    };
  }

  template <typename Number>
  void addNumber(const char *Key, Number &Output, Number MinValue,
                 Number MaxValue) {
    Setters[Key] = [&Output, MinValue, MaxValue](const std::string &Value) {
      const auto Parsed =
          internal::parseNumber<Number>(Value, MinValue, MaxValue);
      Output = Parsed.value_or(Output);
      return Parsed.has_value();
    };
  }

  static std::optional<Millis> parseMillis(const std::string &Value) {
    const auto Parsed =
        internal::parseNumber<std::int64_t>(Value, 1, MaxMillis);
    return Parsed ? std::optional{Millis{*Parsed}} : std::nullopt;
  }

  void addMillis(const char *Key, Millis &Output) {
    Setters[Key] = [&Output](const std::string &Value) {
      const auto Parsed = parseMillis(Value);
      Output = Parsed.value_or(Output);
      return Parsed.has_value();
    };
  }

  bool parseSeeds(const std::string &Value) {
    for (const std::string &Segment : splitCommas(Value)) {
      const auto Address = internal::parseEndpoint(Segment);
      if (!Address) {
        return false;
      }
      Config.Seeds.push_back(Address->Host);
      Config.ControlPort = Address->Port;
    }
    return true;
  }

  void addFinding(const IniPair &Pair, const std::string &Token,
                  std::string Text) {
    const std::size_t At = Pair.LineText.rfind(Token);
    Report.add({Source, Pair.Line, At == std::string::npos ? 1 : At + 1,
                std::move(Text)});
  }

  /// Tells whether a text is a mark of the template that was not rendered.
  static bool isUnrendered(const std::string &Text) {
    return Text.starts_with("{{") && Text.ends_with("}}");
  }

  void parsePair(const IniPair &Pair) {
    if (isUnrendered(Pair.Key)) {
      return; // Content of a block for each entry of a table.
    }
    const std::string Key = Pair.Section + "." + Pair.Key;
    const auto It = Setters.find(Key);
    if (It == Setters.end() && Pair.Section == FeatureSection) {
      return;
    }
    if (Pair.Section == "centres") {
      addCentre(Pair);
      return;
    }
    if (It == Setters.end()) {
      addFinding(Pair, Pair.Key,
                 "[" + Pair.Section + "] has no setting " + Pair.Key);
      return;
    }
    if (!SeenKeys.insert(Key).second) {
      addFinding(Pair, Pair.Key,
                 "[" + Pair.Section + "] sets " + Pair.Key + " twice");
    }
    // The platform renders an empty value for a feature that the deployment
    // doesn't have, and one that doesn't know the field leaves its mark; the
    // default applies then.
    if (!Pair.Value.empty() && !isUnrendered(Pair.Value) &&
        !It->second(Pair.Value)) {
      addFinding(Pair, Pair.Value,
                 Pair.Key + " = " + Pair.Value + ": invalid value");
    }
  }

  /// The keys of this section are the names of data centres.
  void addCentre(const IniPair &Pair) {
    if (!Config.RegionsByCentre.emplace(Pair.Key, Pair.Value).second) {
      addFinding(Pair, Pair.Key, "[centres] names " + Pair.Key + " twice");
    }
  }

  void require(bool IsSatisfied, const char *Text) {
    if (!IsSatisfied) {
      Report.add({Source, 0, 0, Text});
    }
  }

  void check() {
    require(!Config.Host.empty(), "[node] needs an address");
    require(Config.PeerPort != 0, "[listen] needs a peer-port");
    require(!Config.Seeds.empty(), "[cell] needs seeds");
    require(!Config.IsVoter || !Config.DataFolder.empty(),
            "a voter needs a data-folder");
    Config.Lease =
        ExplicitLease.value_or(std::min(Config.Lease, Config.MaxLease));
    require(Config.Lease <= Config.MaxLease,
            "lease-ms is longer than max-lease-ms allows");
    if (Config.Control) {
      Config.ControlPort = Config.Control->Port;
    }
  }

  std::string Source;
  CellSettings Config;
  std::optional<Millis> ExplicitLease;
  Findings Report;
  std::map<std::string, Setter> Setters;
  std::set<std::string> SeenKeys;
};

/// Returns the numbers of data centres of all regions, the highest first.
std::vector<std::size_t> centresOfRegions(const CellSettings &Settings) {
  std::map<std::string, std::size_t> CentresByRegion;
  std::vector<std::size_t> Counts;
  for (const auto &[Centre, Region] : Settings.RegionsByCentre) {
    if (Region.empty()) {
      Counts.push_back(1); // A data centre without a region is one of its own.
    } else {
      CentresByRegion[Region] += 1;
    }
  }
  for (const auto &[Region, Centres] : CentresByRegion) {
    Counts.push_back(Centres);
  }
  std::sort(Counts.begin(), Counts.end(), std::greater<>{});
  return Counts;
}

} // namespace

std::size_t maxLostVoters(const CellSettings &Settings) {
  const std::size_t Centres = Settings.RegionsByCentre.size();
  const std::size_t Seeds =
      std::set<std::string>{Settings.Seeds.begin(), Settings.Seeds.end()}
          .size();
  const std::size_t VotersPerCentre =
      Centres == 0 ? 1
                   : std::max<std::size_t>(1, (Seeds + Centres - 1) / Centres);
  // A region that the map does not name has at least one data centre.
  std::size_t CentresOfLostRegions = Settings.MaxRegionFailures;
  const auto Counts = centresOfRegions(Settings);
  const std::size_t Named =
      std::min<std::size_t>(Counts.size(), Settings.MaxRegionFailures);
  for (std::size_t Region = 0; Region < Named; ++Region) {
    CentresOfLostRegions += Counts[Region] - 1;
  }
  return std::max({std::size_t{Settings.MaxVoterFailures},
                   Settings.MaxCentreFailures * VotersPerCentre,
                   CentresOfLostRegions * VotersPerCentre});
}

tl::expected<CellSettings, Findings>
parseCellSettings(const std::string &Source, const std::string &Text) {
  return CellSettingsReader{Source}.read(Text);
}

std::uint32_t memoryMbForClients(const CellSettings &Settings) noexcept {
  return Settings.MemoryMb == 0 ? DefaultMemoryMb : Settings.MemoryMb;
}

std::uint64_t clientBytes(const CellSettings &Settings) noexcept {
  return std::max(memoryMbForClients(Settings) * BytesPerMb / ClientMemoryShare,
                  MinClientBytes);
}

std::uint64_t maxStateBytes(const CellSettings &Settings) noexcept {
  const auto Share = [](std::uint64_t Total, std::uint64_t Reserved,
                        std::uint64_t Copies) {
    return std::max<std::uint64_t>((Total - std::min(Total, Reserved)) / Copies,
                                   1);
  };
  std::uint64_t Limit = 0;
  if (Settings.MemoryMb != 0) {
    const std::uint64_t Memory = Settings.MemoryMb * BytesPerMb;
    const std::uint64_t Reserved =
        std::min(ReservedMemoryMb * BytesPerMb, Memory / 2) +
        clientBytes(Settings);
    Limit = Share(Memory, Reserved, CopiesInMemory);
  }
  if (Settings.DiskMb != 0) {
    const std::uint64_t OnDisk =
        Share(Settings.DiskMb * BytesPerMb, ReservedDiskMb * BytesPerMb,
              CopiesOnDisk);
    Limit = Limit == 0 ? OnDisk : std::min(Limit, OnDisk);
  }
  return Limit;
}

NodeId nodeIdOf(const std::string &Host) noexcept {
  in_addr Address{};
  return inet_pton(AF_INET, Host.c_str(), &Address) == 1 ? ntohl(Address.s_addr)
                                                         : 0;
}

std::string hostOf(NodeId Node) {
  in_addr Address{};
  Address.s_addr = htonl(Node);
  char Text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Address, Text, sizeof(Text));
  return Text;
}

} // namespace mulberryramp
