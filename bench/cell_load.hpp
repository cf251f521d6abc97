#pragma once

#include "mulberryramp/core/random.hpp"
#include "mulberryramp/job/command.hpp"

#include <string>
#include <vector>

/// @file
/// @brief Load for the replay of the scheduler of a cell: urgent jobs, batch
/// jobs and services of several organisations, with bursts.

namespace mulberryramp::bench {

/// @brief Kinds of jobs; the value is the priority of their queue.
enum class JobClass : std::uint8_t { Urgent, Service, Batch };

/// @brief Names of the kinds, by value.
constexpr std::array<std::string_view, 3>
nameTable(JobClass /*Class*/) noexcept {
  return {"urgent", "service", "batch"};
}

/// @brief Time span in which jobs arrive at a multiple of the usual rate.
struct LoadBurst {
  double FromSeconds = 0;
  double ToSeconds = 0;
  double Factor = 1;
  int Class = -1;        ///< `JobClass`, or -1 for all.
  int Organisation = -1; ///< Index, or -1 for all.
};

/// @brief Parameters of a load.
struct LoadOptions {
  std::uint64_t Seed = 1;
  double Seconds = 34;
  double RateFactor = 1; ///< Multiplies all arrival rates.
  std::size_t Organisations = 20;
  std::vector<LoadBurst> Bursts;
};

/// @brief One job of a load.
struct LoadJob {
  Millis At{0};
  JobClass Class = JobClass::Urgent;
  std::size_t Organisation = 0;
  JobSpec Spec; ///< Its estimates differ from the run times.
  /// Run times on a worker of speed 1, by step and task; the mean stay for a
  /// service.
  std::vector<std::vector<Millis>> RunTimes;
  double CoreSeconds = 0;
};

/// @brief Draws the jobs of a load in the order of their arrival.
[[nodiscard]] std::vector<LoadJob> drawLoad(const LoadOptions &Options);

/// @brief Weight of an organisation: 1.9 times its usual jobs per second, at
/// least 1.
[[nodiscard]] double organisationWeight(std::size_t Index, std::size_t Count);

/// @brief Builds the queues and organisations of the load.
[[nodiscard]] CellConfiguration makeLoadConfiguration(std::size_t Count);

} // namespace mulberryramp::bench
