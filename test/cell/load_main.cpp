#include "cell/cell_load.hpp"

#include <cxxopts.hpp>

#include <cstdio>
#include <iostream>

int main(int Argc, char **Argv) {
  using namespace mulberryramp::test;
  CellLoadOptions Load;
  cxxopts::Options Options{"mulberryramp_cell_load",
                           "Measures what a cell's leader costs under load"};
  Options.add_options()(
      "workers", "how many",
      cxxopts::value<std::size_t>(Load.Workers)->default_value("350"))(
      "nodes", "that ask the advisor",
      cxxopts::value<std::size_t>(Load.Nodes)->default_value("40"))(
      "short", "short jobs a second",
      cxxopts::value<double>(Load.ShortJobsPerSecond)->default_value("40"))(
      "long", "long jobs a second",
      cxxopts::value<double>(Load.LongJobsPerSecond)->default_value("4"))(
      "seconds", "of traffic",
      cxxopts::value<std::int64_t>(Load.Seconds)->default_value("30"))(
      "stall-at", "second at which answers stop",
      cxxopts::value<std::int64_t>(Load.StallAt)->default_value("-1"))(
      "stall-for", "seconds",
      cxxopts::value<std::int64_t>(Load.StallFor)->default_value("2"))(
      "step", "virtual ms between steps",
      cxxopts::value<std::int64_t>(Load.StepMs)->default_value("2"))(
      "help", "this text");
  const auto Args = Options.parse(Argc, Argv);
  if (Args.count("help") != 0) {
    std::cout << Options.help();
    return 0;
  }
  const CellLoadResult Seen = runCellLoad(Load);
  std::printf("submitted %llu completed %llu starts %llu holds %llu "
              "questions %llu turnaround %.3f s\n"
              "node %.3f s codec %.3f s slowest step %.1f ms "
              "%.1f us a start %.3f of a core\n",
              static_cast<unsigned long long>(Seen.Submitted),
              static_cast<unsigned long long>(Seen.Completed),
              static_cast<unsigned long long>(Seen.Starts),
              static_cast<unsigned long long>(Seen.Renewals),
              static_cast<unsigned long long>(Seen.Queries),
              Seen.MeanTurnaround, Seen.NodeSeconds, Seen.CodecSeconds,
              Seen.SlowestStep * 1000,
              (Seen.NodeSeconds + Seen.CodecSeconds) * 1e6 /
                  static_cast<double>(Seen.Starts == 0 ? 1 : Seen.Starts),
              (Seen.NodeSeconds + Seen.CodecSeconds) /
                  static_cast<double>(Load.Seconds));
  return 0;
}
