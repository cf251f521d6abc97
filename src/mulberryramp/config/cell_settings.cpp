#include "mulberryramp/config/cell_settings.hpp"

#include "mulberryramp/config/ini.hpp"

#include <arpa/inet.h>

#include <functional>
#include <map>
#include <set>

namespace mulberryramp {

namespace {

using internal::IniPair;

/// Longest time that a setting may name.
constexpr std::int64_t MaxMillis = std::int64_t{24} * 3600 * 1000;

std::vector<std::string> splitCommas(const std::string &Text) {
  std::vector<std::string> Parts;
  std::size_t Begin = 0;
  while (Begin <= Text.size()) {
    const std::size_t End = std::min(Text.find(',', Begin), Text.size());
    std::string Part = Text.substr(Begin, End - Begin);
    Part.erase(0, Part.find_first_not_of(' '));
    Part.erase(Part.find_last_not_of(' ') + 1);
    if (!Part.empty()) {
      Parts.push_back(std::move(Part));
    }
    Begin = End + 1;
  }
  return Parts;
}

class CellSettingsReader {
public:
  explicit CellSettingsReader(std::string Source) : Source{std::move(Source)} {
    addTexts();
    addEndpoints();
    addNumbers();
  }

  tl::expected<CellSettings, Findings> read(const std::string &Text) {
    for (const IniPair &Pair : internal::readIni(Source, Text, Report)) {
      take(Pair);
    }
    check();
    if (!Report.empty()) {
      return tl::make_unexpected(Report);
    }
    return All;
  }

private:
  using Setter = std::function<bool(const std::string &)>;

  void addTexts() {
    addText("node.name", All.Name);
    addText("node.centre", All.Centre);
    addText("node.region", All.Region);
    addText("node.data-folder", All.DataFolder);
    Setters["node.address"] = [this](const std::string &Value) {
      All.Host = Value;
      return nodeIdOf(Value) != 0;
    };
    Setters["cell.seeds"] = [this](const std::string &Value) {
      return takeSeeds(Value);
    };
    addFlag("cell.voter", All.IsVoter);
    addFlag("cell.found", All.IsBootstrap);
  }

  void addEndpoints() {
    addEndpoint("listen.callers", All.Callers);
    addEndpoint("listen.readiness", All.Readiness);
    addEndpoint("listen.control", All.Control);
    addEndpoint("listen.metrics", All.Metrics);
    addEndpoint("cell.advisor", All.Advisor);
    addNumber("listen.peer-port", All.PeerPort, std::uint16_t{1},
              std::uint16_t{65535});
    addNumber("cell.may-lose", All.MaxVoterFailures, 0U, 100U);
  }

  void addNumbers() {
    addMillis("timing.lease-ms", All.Lease);
    addMillis("timing.max-lease-ms", All.MaxLease);
    addMillis("timing.report-every-ms", All.ReportInterval);
    addMillis("timing.retention-ms", All.Retention);
    addMillis("timing.leave-within-ms", All.ShutdownTimeout);
  }

  void addText(const char *Key, std::string &Into) {
    Setters[Key] = [&Into](const std::string &Value) {
      Into = Value;
      return true;
    };
  }

  void addFlag(const char *Key, bool &Into) {
    Setters[Key] = [&Into](const std::string &Value) {
      Into = Value == "yes" || Value == "true";
      return Into || Value == "no" || Value == "false";
    };
  }

  void addEndpoint(const char *Key, std::optional<Endpoint> &Into) {
    Setters[Key] = [&Into](const std::string &Value) {
      Into = internal::parseEndpoint(Value);
      return Into.has_value();
    };
  }

  template <typename Number>
  void addNumber(const char *Key, Number &Into, Number Least, Number Most) {
    Setters[Key] = [&Into, Least, Most](const std::string &Value) {
      const auto Read = internal::parseNumber<Number>(Value, Least, Most);
      Into = Read.value_or(Into);
      return Read.has_value();
    };
  }

  void addMillis(const char *Key, Millis &Into) {
    Setters[Key] = [&Into](const std::string &Value) {
      const auto Read =
          internal::parseNumber<std::int64_t>(Value, 1, MaxMillis);
      Into = Millis{Read.value_or(Into.count())};
      return Read.has_value();
    };
  }

  bool takeSeeds(const std::string &Value) {
    for (const std::string &Part : splitCommas(Value)) {
      const auto Where = internal::parseEndpoint(Part);
      if (!Where) {
        return false;
      }
      All.Seeds.push_back(Where->Host);
      All.ControlPort = Where->Port;
    }
    return true;
  }

  void add(const IniPair &Pair, const std::string &Part, std::string Text) {
    const std::size_t At = Pair.LineText.rfind(Part);
    Report.add({Source, Pair.Line, At == std::string::npos ? 1 : At + 1,
                std::move(Text)});
  }

  void take(const IniPair &Pair) {
    const std::string Key = Pair.Section + "." + Pair.Key;
    const auto Found = Setters.find(Key);
    if (Found == Setters.end()) {
      add(Pair, Pair.Key, "[" + Pair.Section + "] has no setting " + Pair.Key);
      return;
    }
    if (!SeenKeys.insert(Key).second) {
      add(Pair, Pair.Key, "[" + Pair.Section + "] sets " + Pair.Key + " twice");
    }
    // A deployment without the thing leaves the value empty.
    if (!Pair.Value.empty() && !Found->second(Pair.Value)) {
      add(Pair, Pair.Value, Pair.Key + " = " + Pair.Value + ": not valid");
    }
  }

  void require(bool IsGiven, const char *Text) {
    if (!IsGiven) {
      Report.add({Source, 0, 0, Text});
    }
  }

  void check() {
    require(!All.Host.empty(), "[node] needs an address");
    require(All.PeerPort != 0, "[listen] needs a peer-port");
    require(!All.Seeds.empty(), "[cell] needs seeds");
    require(!All.IsVoter || !All.DataFolder.empty(),
            "a voter needs a data-folder");
    require(All.Lease <= All.MaxLease,
            "lease-ms is longer than max-lease-ms allows");
    if (All.Control) {
      All.ControlPort = All.Control->Port;
    }
  }

  std::string Source;
  CellSettings All;
  Findings Report;
  std::map<std::string, Setter> Setters;
  std::set<std::string> SeenKeys;
};

} // namespace

tl::expected<CellSettings, Findings>
parseCellSettings(const std::string &Source, const std::string &Text) {
  return CellSettingsReader{Source}.read(Text);
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
