#include "replay.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <iterator>

namespace {

using namespace mulberryramp;
using namespace mulberryramp::bench;
using nlohmann::json;

constexpr double UrgentTargetMs = 2300;
/// Limit of the wait of another team during a flood or a wave of cancellations
/// of one team.
constexpr double QuietTargetMs = 5000;
constexpr double DecisionTargetMs = 1;
constexpr double PlacementsTarget = 5000;

/// A measurement beside that of the baseline and its target.
struct Metric {
  std::string Name;
  std::string Unit;
  double Ours = 0;
  double Baseline = 0;
  double Target = 0;
  std::string Better;
};

double percentileOf(std::vector<double> Values, double Percent) {
  if (Values.empty()) {
    return 0;
  }
  std::sort(Values.begin(), Values.end());
  const auto At = static_cast<std::size_t>(
      Percent / 100 * static_cast<double>(Values.size() - 1));
  return Values[At];
}

double rateOf(const ReplayResult &Result) {
  return Result.PlacementSeconds > 0
             ? static_cast<double>(Result.Placements) / Result.PlacementSeconds
             : 0;
}

void addWaits(std::vector<Metric> &Metrics, const std::string &Name,
              const ReplayResult &Ours, const ReplayResult &Baseline) {
  for (const auto &[Class, Values] : Ours.WaitMsByClass) {
    const auto It = Baseline.WaitMsByClass.find(Class);
    const std::vector<std::int64_t> BaselineValues =
        It == Baseline.WaitMsByClass.end() ? std::vector<std::int64_t>{}
                                           : It->second;
    for (const auto &[Label, Percent] :
         {std::pair{"p50", 50.0}, {"p99", 99.0}, {"max", 100.0}}) {
      const double Target = Class == "urgent" ? UrgentTargetMs : 0;
      std::string Title = Name;
      Title.append(" wait ").append(Class).append(" ").append(Label);
      Metrics.push_back(
          {Title, "ms", static_cast<double>(percentile(Values, Percent)),
           static_cast<double>(percentile(BaselineValues, Percent)), Target,
           "lower"});
    }
  }
}

std::vector<Metric> measure(const Trace &Recorded) {
  const Rules ActiveRules = benchRules();
  const ReplayResult Ours = replay(Recorded, ActiveRules, {});
  const ReplayResult Baseline =
      replay(Recorded, ActiveRules, baselineOptions());
  const std::string &Name = Recorded.Name;
  std::vector<Metric> Metrics;
  addWaits(Metrics, Name, Ours, Baseline);
  const auto QuietIt = Ours.WaitMsByTeam.find("quiet");
  if (QuietIt != Ours.WaitMsByTeam.end()) {
    Metrics.push_back(
        {Name + " wait of the quiet team p99", "ms",
         static_cast<double>(percentile(QuietIt->second, 99)),
         static_cast<double>(percentile(Baseline.WaitMsByTeam.at("quiet"), 99)),
         QuietTargetMs, "lower"});
  }
  Metrics.push_back({Name + " mean wait", "ms", Ours.MeanWaitMs,
                     Baseline.MeanWaitMs, 0.7 * Baseline.MeanWaitMs, "lower"});
  Metrics.push_back({Name + " packed share while work waits", "%",
                     Ours.MeanUtilization * 100, Baseline.MeanUtilization * 100,
                     std::min(100.0, Baseline.MeanUtilization * 100 + 10),
                     "higher"});
  Metrics.push_back({Name + " end of finite work", "ms",
                     static_cast<double>(Ours.EndMs),
                     static_cast<double>(Baseline.EndMs),
                     static_cast<double>(Ours.BoundMs), "lower"});
  Metrics.push_back({Name + " overcommits", "count",
                     static_cast<double>(Ours.Overcommits),
                     static_cast<double>(Baseline.Overcommits), 0, "lower"});
  Metrics.push_back({Name + " requests without an outcome", "count",
                     static_cast<double>(Ours.Unfinished),
                     static_cast<double>(Baseline.Unfinished), 0, "lower"});
  Metrics.push_back({Name + " requests that failed", "count",
                     static_cast<double>(Ours.Failed),
                     static_cast<double>(Baseline.Failed), 0, "lower"});
  Metrics.push_back({Name + " placements a second of deciding", "1/s",
                     rateOf(Ours), rateOf(Baseline), PlacementsTarget,
                     "higher"});
  Metrics.push_back(
      {Name + " time a decision p99", "ms", percentileOf(Ours.DecisionMs, 99),
       percentileOf(Baseline.DecisionMs, 99), DecisionTargetMs, "lower"});
  return Metrics;
}

void print(const std::vector<Metric> &Metrics, bool IsJson) {
  if (IsJson) {
    json List = json::array();
    for (const Metric &Entry : Metrics) {
      List.push_back({{"name", Entry.Name},
                      {"unit", Entry.Unit},
                      {"ours", Entry.Ours},
                      {"baseline", Entry.Baseline},
                      {"target", Entry.Target},
                      {"better", Entry.Better}});
    }
    std::cout << List.dump(2) << '\n';
    return;
  }
  std::cout << std::left << std::setw(46) << "measure" << std::right
            << std::setw(14) << "ours" << std::setw(14) << "baseline"
            << std::setw(14) << "target"
            << "  unit\n"
            << std::fixed << std::setprecision(2);
  for (const Metric &Entry : Metrics) {
    std::cout << std::left << std::setw(46) << Entry.Name << std::right
              << std::setw(14) << Entry.Ours << std::setw(14) << Entry.Baseline
              << std::setw(14) << Entry.Target << "  " << Entry.Unit << '\n';
  }
}

std::optional<Trace> readTrace(const std::string &Name) {
  std::ifstream Source{Name};
  if (!Source) {
    std::cerr << Name << ": cannot be read\n";
    return std::nullopt;
  }
  const std::string Text{std::istreambuf_iterator<char>{Source}, {}};
  auto Parsed = parseTrace(Name, Text);
  if (!Parsed) {
    std::cerr << Parsed.error().render();
    return std::nullopt;
  }
  return *Parsed;
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options{"mulberryramp_bench",
                           "Replays loads in virtual time and compares the "
                           "scheduler with the baseline"};
  Options.add_options()("format", "table or json",
                        cxxopts::value<std::string>()->default_value("table"))(
      "trace", "file of a recorded load",
      cxxopts::value<std::string>()->default_value(""))(
      "load", "name of a standard load; all of them by default",
      cxxopts::value<std::string>()->default_value(""))(
      "workers", "number of workers; 0 selects the default of the load",
      cxxopts::value<std::size_t>()->default_value("0"))(
      "seed", "seed of the standard loads",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "write", "print the load as a trace instead of replaying it")(
      "h,help", "show this help");
  try {
    const auto Args = Options.parse(Argc, Argv);
    if (Args.count("help") != 0) {
      std::cout << Options.help();
      return 0;
    }
    const std::string File = Args["trace"].as<std::string>();
    const std::string LoadName = Args["load"].as<std::string>();
    std::vector<Trace> Loads;
    if (!File.empty()) {
      auto Recorded = readTrace(File);
      if (!Recorded) {
        return 2;
      }
      Loads.push_back(std::move(*Recorded));
    }
    for (const std::string &Name : traceNames()) {
      if (File.empty() && (LoadName.empty() || LoadName == Name)) {
        Loads.push_back(makeTrace(Name, Args["workers"].as<std::size_t>(),
                                  Args["seed"].as<std::uint64_t>()));
      }
    }
    if (Loads.empty()) {
      std::cerr << "unknown load " << LoadName << '\n';
      return 2;
    }
    if (Args.count("write") != 0) {
      std::cout << renderTrace(Loads.front());
      return 0;
    }
    std::vector<Metric> Metrics;
    for (const Trace &Recorded : Loads) {
      const std::vector<Metric> LoadMetrics = measure(Recorded);
      Metrics.insert(Metrics.end(), LoadMetrics.begin(), LoadMetrics.end());
    }
    print(Metrics, Args["format"].as<std::string>() == "json");
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "mulberryramp_bench: " << Error.what() << '\n';
    return 2;
  }
}
