#include "mulberryramp/config/settings.hpp"

#include "mulberryramp/config/ini.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <xxhash.h>

namespace mulberryramp {

namespace internal {

/// Collects all findings instead of stopping at the first one.
class SettingsParser {
public:
  SettingsParser(const std::string &Source, const std::string &Text)
      : Source{Source} {
    Pairs = readIni(Source, Text, Report);
  }

  Settings parse(NodeId Self) {
    for (const IniPair &Pair : Pairs) {
      reportDuplicate(Pair);
      parsePair(Pair);
    }
    if (Self != 0) {
      Config.Self = Self;
    }
    for (auto &[Id, Node] : Nodes) {
      Config.Nodes.push_back(Node);
    }
    check();
    return Config;
  }

  Findings Report;

private:
  void addFinding(std::size_t Line, std::size_t Column, std::string Text) {
    Report.add({Source, Line, Column, std::move(Text)});
  }

  static std::size_t columnOf(const IniPair &Pair, const std::string &Token) {
    const std::size_t At = Pair.LineText.rfind(Token);
    return At == std::string::npos ? 1 : At + 1;
  }

  void reportInvalidValue(const IniPair &Pair, const std::string &Expected) {
    addFinding(Pair.Line, columnOf(Pair, Pair.Value),
               Pair.Key + " = " + Pair.Value + ": expected " + Expected);
  }

  void reportDuplicate(const IniPair &Pair) {
    if (!SeenKeys.insert({Pair.Section, Pair.Key}).second) {
      addFinding(Pair.Line, columnOf(Pair, Pair.Key),
                 "[" + Pair.Section + "] sets " + Pair.Key + " twice");
    }
  }

  void parsePair(const IniPair &Pair) {
    if (Pair.Section == "daemon") {
      parseDaemon(Pair);
    } else if (Pair.Section == "timing") {
      parseTiming(Pair);
    } else if (Pair.Section.starts_with("node.")) {
      parseNode(Pair);
    } else {
      addFinding(Pair.Line, 1, "unknown section [" + Pair.Section + "]");
    }
  }

  void reportUnknownKey(const IniPair &Pair) {
    addFinding(Pair.Line, columnOf(Pair, Pair.Key),
               "[" + Pair.Section + "] has no setting " + Pair.Key);
  }

  void parseDaemon(const IniPair &Pair) {
    if (Pair.Key == "id") {
      parseNumberInto<NodeId>(Pair, 1, 65535,
                              [this](NodeId Id) { Config.Self = Id; });
    } else if (Pair.Key == "data-folder") {
      Config.DataFolder = Pair.Value;
    } else {
      reportUnknownKey(Pair);
    }
  }

  template <typename Number>
  void parseNumberInto(const IniPair &Pair, Number MinValue, Number MaxValue,
                       const std::function<void(Number)> &Store) {
    const auto Value = parseNumber<Number>(Pair.Value, MinValue, MaxValue);
    if (!Value) {
      reportInvalidValue(Pair, "a whole number from " +
                                   std::to_string(MinValue) + " to " +
                                   std::to_string(MaxValue));
      return;
    }
    Store(*Value);
  }

  void parseTiming(const IniPair &Pair) {
    static const std::map<std::string, Millis TimingSettings::*> Times{
        {"heartbeat-ms", &TimingSettings::Heartbeat},
        {"election-min-ms", &TimingSettings::ElectionTimeoutMin},
        {"election-max-ms", &TimingSettings::ElectionTimeoutMax},
        {"config-heartbeat-ms", &TimingSettings::ConfigHeartbeat},
        {"worker-lease-ms", &TimingSettings::WorkerLease},
        {"worker-wait-ms", &TimingSettings::WorkerWait}};
    if (Pair.Key == "snapshot-every") {
      parseNumberInto<std::size_t>(Pair, 16, 1000000,
                                   [this](std::size_t Count) {
                                     Config.Timing.SnapshotThreshold = Count;
                                   });
      return;
    }
    const auto It = Times.find(Pair.Key);
    if (It == Times.end()) {
      reportUnknownKey(Pair);
      return;
    }
    parseNumberInto<std::int64_t>(Pair, 1, 600000, [&](std::int64_t Value) {
      Config.Timing.*(It->second) = Millis{Value};
    });
  }

  void parseNode(const IniPair &Pair) {
    const auto Id =
        parseNumber<NodeId>(std::string_view{Pair.Section}.substr(5), 1, 65535);
    if (!Id) {
      addFinding(Pair.Line, 1,
                 "[" + Pair.Section + "]: expected [node.NUMBER]");
      return;
    }
    NodeSettings &Node = Nodes[*Id];
    Node.Id = *Id;
    NodeLines.try_emplace(*Id, Pair.Line);
    if (Pair.Key == "centre") {
      Node.Centre = Pair.Value;
    } else if (Pair.Key == "region") {
      Node.Region = Pair.Value;
    } else if (Pair.Key == "witness-for") {
      Node.WitnessFor = Pair.Value;
    } else if (Pair.Key == "peer") {
      parseEndpointInto(Pair, Node.Peer);
    } else if (Pair.Key == "http") {
      parseEndpointInto(Pair, Node.Http);
    } else if (Pair.Key == "disk") {
      parseFlagInto(Pair, Node.HasDisk);
    } else {
      reportUnknownKey(Pair);
    }
  }

  void parseEndpointInto(const IniPair &Pair, Endpoint &Address) {
    if (const auto Value = parseEndpoint(Pair.Value)) {
      Address = *Value;
    } else {
      reportInvalidValue(Pair, "an IP number and a port, as 10.0.0.1:7000");
    }
  }

  void parseFlagInto(const IniPair &Pair, bool &Flag) {
    if (Pair.Value != "yes" && Pair.Value != "no") {
      reportInvalidValue(Pair, "yes or no");
      return;
    }
    Flag = Pair.Value == "yes";
  }

  void check() {
    if (Config.Nodes.empty()) {
      addFinding(0, 0, "no [node.NUMBER] section");
    }
    if (findNode(Config, Config.Self) == nullptr) {
      addFinding(0, 0,
                 "daemon " + std::to_string(Config.Self) + " has no [node." +
                     std::to_string(Config.Self) + "] section");
    }
    checkNodes();
    checkCentres();
    checkTiming();
  }

  void checkNodes() {
    std::map<std::string, NodeId> Owners;
    for (const NodeSettings &Node : Config.Nodes) {
      const std::size_t Line = NodeLines[Node.Id];
      const std::string Name = "[node." + std::to_string(Node.Id) + "] ";
      if (Node.Centre.empty() || Node.Region.empty()) {
        addFinding(Line, 0, Name + "needs centre and region");
      }
      if (Node.Peer.Port == 0 || Node.Http.Port == 0) {
        addFinding(Line, 0, Name + "needs peer and http");
        continue;
      }
      for (const Endpoint &Address : {Node.Peer, Node.Http}) {
        const auto [Owner, Inserted] =
            Owners.try_emplace(render(Address), Node.Id);
        if (!Inserted) {
          addFinding(Line, 0,
                     Name + "uses " + render(Address) + " of node " +
                         std::to_string(Owner->second) + " again");
        }
      }
    }
  }

  void checkCentres() {
    const std::vector<std::string> Centres = centresOf(Config);
    for (const std::string &Centre : Centres) {
      const bool HasDisk =
          std::any_of(Config.Nodes.begin(), Config.Nodes.end(),
                      [&](const NodeSettings &Node) {
                        return Node.Centre == Centre && Node.HasDisk;
                      });
      if (!HasDisk) {
        addFinding(0, 0,
                   "data centre " + Centre + " has no node with disk = yes");
      }
    }
    for (const NodeSettings &Node : Config.Nodes) {
      const bool IsKnown = Node.WitnessFor.empty() ||
                           (std::find(Centres.begin(), Centres.end(),
                                      Node.WitnessFor) != Centres.end() &&
                            Node.WitnessFor != Node.Centre);
      if (!IsKnown) {
        addFinding(NodeLines[Node.Id], 0,
                   "witness-for = " + Node.WitnessFor +
                       ": no other data centre");
      }
    }
  }

  void checkTiming() {
    const TimingSettings &Timing = Config.Timing;
    if (Timing.ElectionTimeoutMin < Timing.Heartbeat * 3) {
      addFinding(0, 0, "election-min-ms must be at least 3 times heartbeat-ms");
    }
    if (Timing.ElectionTimeoutMax <= Timing.ElectionTimeoutMin) {
      addFinding(0, 0, "election-max-ms must exceed election-min-ms");
    }
    if (Timing.WorkerLease < Timing.WorkerWait * 2) {
      addFinding(0, 0,
                 "worker-lease-ms must be at least 2 times worker-wait-ms");
    }
  }

  std::string Source;
  std::vector<IniPair> Pairs;
  Settings Config;
  std::map<NodeId, NodeSettings> Nodes;
  std::map<NodeId, std::size_t> NodeLines;
  std::set<std::pair<std::string, std::string>> SeenKeys;
};

} // namespace internal

std::string render(const Endpoint &Address) {
  return Address.Host + ":" + std::to_string(Address.Port);
}

tl::expected<Settings, Findings>
parseSettings(const std::string &Source, const std::string &Text, NodeId Self) {
  internal::SettingsParser Parser{Source, Text};
  Settings Config = Parser.parse(Self);
  if (!Parser.Report.empty()) {
    return tl::make_unexpected(Parser.Report);
  }
  return Config;
}

const NodeSettings *findNode(const Settings &Config, NodeId Id) {
  const auto It =
      std::find_if(Config.Nodes.begin(), Config.Nodes.end(),
                   [Id](const NodeSettings &Node) { return Node.Id == Id; });
  return It == Config.Nodes.end() ? nullptr : &*It;
}

std::vector<std::string> centresOf(const Settings &Config) {
  std::set<std::string> Names;
  for (const NodeSettings &Node : Config.Nodes) {
    Names.insert(Node.Centre);
  }
  return {Names.begin(), Names.end()};
}

std::string homeOf(const std::vector<std::string> &Centres,
                   std::string_view Customer, std::string_view Key) {
  std::string Best;
  std::uint64_t BestHash = 0;
  for (const std::string &Centre : Centres) {
    std::string Input = Centre;
    Input.append(1, '\0').append(Customer).append(1, '\0').append(Key);
    const std::uint64_t Hash = XXH3_64bits(Input.data(), Input.size());
    if (Best.empty() || Hash > BestHash) {
      Best = Centre;
      BestHash = Hash;
    }
  }
  return Best;
}

} // namespace mulberryramp
