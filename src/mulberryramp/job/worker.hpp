#pragma once

#include "mulberryramp/core/resources.hpp"
#include "mulberryramp/job/fwd.hpp"

#include <string>
#include <vector>

namespace mulberryramp {

/// @brief Description of a worker instance as reported by the worker.
struct WorkerReport {
  std::string Name;
  std::int64_t StartTimeMs =
      0; ///< Wall clock time of its start; identifies the instance.
  std::string Pool;
  std::string Address; ///< `host:port` that accepts orders.
  std::string Centre;  ///< Data centre.
  std::string Rack;
  std::vector<std::string> Labels;
  Resources Capacity;
  bool IsDraining = false;
  Millis Remaining{0};        ///< Minimum time until a draining worker stops.
  std::uint64_t Sequence = 0; ///< Increases with each report of an instance.
  std::int64_t Clock = 0;     ///< Steady clock of the worker, in ms.

  bool operator==(const WorkerReport &) const = default;

  static constexpr auto fields() {
    return std::make_tuple(&WorkerReport::Name, &WorkerReport::StartTimeMs,
                           &WorkerReport::Pool, &WorkerReport::Address,
                           &WorkerReport::Centre, &WorkerReport::Rack,
                           &WorkerReport::Labels, &WorkerReport::Capacity,
                           &WorkerReport::IsDraining, &WorkerReport::Remaining,
                           &WorkerReport::Sequence, &WorkerReport::Clock);
  }
};

/// @brief One run of a worker process, as known to the cell.
struct WorkerInstance {
  /// The first report. `Capacity` is the last recorded one, and `Sequence` is
  /// that of the report which stated it; 0 if none of this instance has.
  WorkerReport Report;
  Resources Used;                 ///< Sum over all assigned tasks.
  std::uint64_t LastAckedEnd = 0; ///< Ends up to this number are recorded.
  std::uint32_t Tasks = 0;        ///< Number of assigned tasks.
  /// It was discovered by a renewal and has not reported yet, so that only the
  /// name, start time, address and pool of `Report` are set.
  bool IsUnannounced = false;
  /// Number of this registration; it rises with each one of the cell. 0 if it
  /// was stored before this field existed.
  std::uint64_t Registration = 0;
  /// An instance of its name was registered before. It may have accepted a
  /// lease from an order for that one. Cleared by `EndFormerLeasesCommand`.
  bool MayHoldFormerLease = false;
  /// The instance is granted no lease until `ResumeLeasesCommand` is applied.
  bool IsLeaseSuspended = false;
  /// Time from `SuspendLeasesCommand` to the end of the leases that were
  /// granted before, with clock drift and margin.
  Millis SuspendedLease{0};

  static constexpr std::size_t MandatoryFields = 4; ///< See `encode`.
  static constexpr auto fields() {
    return std::make_tuple(
        &WorkerInstance::Report, &WorkerInstance::Used,
        &WorkerInstance::LastAckedEnd, &WorkerInstance::Tasks,
        &WorkerInstance::IsUnannounced, &WorkerInstance::Registration,
        &WorkerInstance::MayHoldFormerLease, &WorkerInstance::IsLeaseSuspended,
        &WorkerInstance::SuspendedLease);
  }
};

} // namespace mulberryramp
