#include "cell_replay.hpp"

#include "mulberryramp/core/names.hpp"

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdio>
#include <map>

namespace {

using namespace mulberryramp;
using namespace mulberryramp::bench;

const std::map<std::string, std::vector<LoadBurst>> &standardLoads() {
  static const std::map<std::string, std::vector<LoadBurst>> Loads = {
      {"calm", {}},
      {"urgent-burst", {{8.5, 12.5, 2.1, 0, -1}}},
      {"batch-burst", {{2.5, 8.7, 2.3, 2, -1}, {22, 26, 1.8, 2, -1}}},
      {"hot-organisation", {{8.4, 15, 6, -1, 0}}},
      {"all",
       {{8.5, 12.5, 2.1, 0, -1},
        {2.5, 8.7, 2.3, 2, -1},
        {22, 26, 1.8, 2, -1},
        {8.4, 15, 6, -1, 0}}}};
  return Loads;
}

void print(const char *Name, const ClassResult &Row) {
  std::printf("  %-8s jobs %5zu  in time %5zu  late %5zu  refused %5zu  "
              "worth %.3f\n",
              Name, Row.Jobs, Row.InTime, Row.Late, Row.Refused,
              Row.Owed == 0 ? 0.0 : Row.Worth / Row.Owed);
}

void play(const std::string &Name, LoadOptions Load,
          const CellReplayOptions &Options) {
  Load.Bursts = standardLoads().at(Name);
  const CellReplayResult Result = replayCell(drawLoad(Load), Load, Options);
  std::printf("%s: utilization %.3f, starts %zu, stops %zu, decisions %.2f s, "
              "longest step %.1f ms\n",
              Name.c_str(), Result.MeanUtilization, Result.Starts, Result.Stops,
              Result.DecisionSeconds, Result.LongestStepMs);
  std::printf("  utilization by second:");
  for (const double Value : Result.Utilization) {
    std::printf(" %.0f", Value * 100);
  }
  std::printf("\n");
  ClassResult All;
  for (std::size_t Index = 0; Index < Result.Classes.size(); ++Index) {
    const ClassResult &Row = Result.Classes[Index];
    print(nameOf(static_cast<JobClass>(Index)).data(), Row);
    All.Jobs += Row.Jobs;
    All.InTime += Row.InTime;
    All.Late += Row.Late;
    All.Refused += Row.Refused;
    All.Worth += Row.Worth;
    All.Owed += Row.Owed;
  }
  print("all", All);
  double Least = 1;
  for (const ClassResult &Row : Result.Organisations) {
    Least = Row.Owed == 0 ? Least : std::min(Least, Row.Worth / Row.Owed);
  }
  std::printf("  least-served organisation: worth %.3f\n", Least);
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Parser{"mulberryramp_cell_replay",
                          "Replays loads against the dispatch of a cell."};
  Parser.add_options()("help", "print this help")(
      "load", "calm, urgent-burst, batch-burst, hot-organisation or all",
      cxxopts::value<std::vector<std::string>>())(
      "seed", "seed of the load",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "rate", "factor of all arrival rates",
      cxxopts::value<double>()->default_value("1"))(
      "processor", "virtual seconds per second of processor time",
      cxxopts::value<double>()->default_value("0"));
  Parser.add_options()("preemption", "stop tasks for urgent jobs")(
      "admission", "refuse jobs under overload");
  try {
    const auto Parsed = Parser.parse(Argc, Argv);
    if (Parsed.count("help") != 0) {
      std::printf("%s\n", Parser.help().c_str());
      return 0;
    }
    LoadOptions Load;
    Load.Seed = Parsed["seed"].as<std::uint64_t>();
    Load.RateFactor = Parsed["rate"].as<double>();
    CellReplayOptions Options;
    Options.ProcessorFactor = Parsed["processor"].as<double>();
    Options.HasAdmissionControl = Parsed.count("admission") != 0;
    Options.HasPreemption = Parsed.count("preemption") != 0;
    std::vector<std::string> Names{"calm", "urgent-burst", "batch-burst",
                                   "hot-organisation", "all"};
    if (Parsed.count("load") != 0) {
      Names = Parsed["load"].as<std::vector<std::string>>();
    }
    for (const std::string &Name : Names) {
      play(Name, Load, Options);
    }
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s\n", Error.what());
    return 2;
  }
  return 0;
}
