#include "cell/cell_load.hpp"

#include <cxxopts.hpp>

#include <cstdio>
#include <iostream>

int main(int Argc, char **Argv) {
  using namespace mulberryramp::test;
  CellLoadOptions Load;
  cxxopts::Options Options{
      "mulberryramp_cell_load",
      "Measures the CPU time of a cell's leader under load"};
  Options.add_options()(
      "workers", "number of workers",
      cxxopts::value<std::size_t>(Load.Workers)->default_value("350"))(
      "nodes", "number of nodes that query the advisor",
      cxxopts::value<std::size_t>(Load.Nodes)->default_value("40"))(
      "short", "short jobs per second",
      cxxopts::value<double>(Load.ShortJobsPerSecond)->default_value("40"))(
      "long", "long jobs per second",
      cxxopts::value<double>(Load.LongJobsPerSecond)->default_value("4"))(
      "seconds", "duration of the traffic in seconds",
      cxxopts::value<std::int64_t>(Load.Seconds)->default_value("30"))(
      "stall-at",
      "second of the traffic from which no order is answered; -1: never",
      cxxopts::value<std::int64_t>(Load.StallAtSecond)->default_value("-1"))(
      "stall-for", "seconds",
      cxxopts::value<std::int64_t>(Load.StallSeconds)->default_value("2"))(
      "step", "virtual milliseconds between steps of the leader",
      cxxopts::value<std::int64_t>(Load.StepMs)->default_value("2"))(
      "help", "print this help");
  const auto Args = Options.parse(Argc, Argv);
  if (Args.count("help") != 0) {
    std::cout << Options.help();
    return 0;
  }
  const CellLoadResult Result = runCellLoad(Load);
  std::printf("submitted %llu completed %llu starts %llu holds %llu "
              "questions %llu turnaround %.3f s\n"
              "node %.3f s codec %.3f s slowest step %.1f ms "
              "%.1f us a start %.3f of a core\n",
              static_cast<unsigned long long>(Result.Submitted),
              static_cast<unsigned long long>(Result.Completed),
              static_cast<unsigned long long>(Result.Starts),
              static_cast<unsigned long long>(Result.Renewals),
              static_cast<unsigned long long>(Result.Queries),
              Result.MeanTurnaroundSeconds, Result.NodeSeconds,
              Result.CodecSeconds, Result.SlowestStepSeconds * 1000,
              (Result.NodeSeconds + Result.CodecSeconds) * 1e6 /
                  static_cast<double>(Result.Starts == 0 ? 1 : Result.Starts),
              (Result.NodeSeconds + Result.CodecSeconds) /
                  static_cast<double>(Load.Seconds));
  return 0;
}
