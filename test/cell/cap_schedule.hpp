#pragma once

#include "cell/fake_worker.hpp"
#include "mulberryramp/job/configuration.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief Caps of organisations in a simulated cell: a schedule that changes
/// them, and the invariant that is checked at each start on a worker.

namespace mulberryramp::test {

/// @brief Two organisations with caps that the schedule lowers and raises.
class CapSchedule {
public:
  /// @param TaskCpus Processors of each task.
  /// @param IsTrap The cell gets caps that are four times as high as those that
  /// the invariant assumes, so that it has to fail.
  CapSchedule(std::int64_t TaskCpus, bool IsTrap);

  /// @brief Returns the digest of the key with which a job is submitted.
  [[nodiscard]] std::string keyOf(const std::string &Job) const;

  /// @brief Draws the cap of one organisation.
  void change(Random &Rng);

  /// @brief Raises all caps, so that the jobs can end.
  void raise();

  /// @brief Adds the organisations with their present caps.
  void addTo(CellConfiguration &Configuration) const;

  /// @brief Notes that the present caps are in force.
  void onAcknowledged(Instant Now);

  /// @brief Checks what the tasks of the organisation of a job use when one of
  /// them has started. One task more than the cap is allowed.
  /// @param RunningTasks Tasks of all jobs that run on all workers, by job.
  /// @return The violated invariant; empty if it holds.
  [[nodiscard]] std::string
  checkStart(const std::string &Job,
             const std::map<std::string, std::int64_t> &RunningTasks,
             Instant Now) const;

private:
  /// Largest number of tasks that an organisation may run.
  struct Cap {
    std::int64_t Tasks = 0;
    /// When a later cap was acknowledged.
    std::optional<Instant> ReplacedAt;
  };

  [[nodiscard]] static std::size_t ownerOf(const std::string &Job);
  void set(std::size_t Owner, std::int64_t Tasks);

  std::int64_t TaskCpus;
  bool IsTrap;
  /// Caps of each organisation, the present one last.
  std::vector<std::vector<Cap>> Caps;
};

} // namespace mulberryramp::test
