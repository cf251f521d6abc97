#pragma once

#include "mulberryramp/cell/order.hpp"
#include "mulberryramp/core/random.hpp"
#include "mulberryramp/job/worker.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// @file
/// @brief In-memory worker that the cell simulations and the emulator drive in
/// place of a worker process. It depends on the types of orders and reports,
/// not on the leader's state.

namespace mulberryramp::test {

/// @brief Start, end or acknowledgement on a fake worker. The invariants of a
/// simulation are checked against these events.
struct WorkerEvent {
  enum class Type { Started, Ended, AckedDone, AckedFailed };
  Type Kind = Type::Started;
  TaskName Task;
  std::uint32_t Attempt = 0;
  EndKind EndedAs = EndKind::Done;
  bool IsLate = false; ///< The start order was delivered late.
};

/// @brief In-memory worker. It checks fencing tokens, keeps its lease on its
/// own clock, lists running and ended attempts, and keeps long-poll renewals
/// open. It checks neither capacity nor tickets, so that a wrong start shows up
/// as a broken invariant.
class FakeWorker {
public:
  FakeWorker(std::string Name, Resources Capacity, std::uint64_t Seed,
             Instant Now);

  /// @brief Executes an order.
  /// @param IsLate Marks a start event of this order as late.
  /// @return The answer, or nothing if a renewal waits for the next end.
  std::optional<OrderResult> handleOrder(const WorkerOrder &Order, Instant Now,
                                         bool IsLate);

  /// @brief Ends attempts that are due or whose lease has expired.
  /// @return Answers to renewals that have an end to report or timed out.
  std::vector<OrderResult> advance(Instant Now);

  /// @brief Replaces this worker instance by a new one of the same name, which
  /// has no attempts, ends, lease or fencing token.
  void restart(Instant Now);

  /// @brief Sets the name of the next instance. The address stays the same.
  void rename(std::string NewName) { Name = std::move(NewName); }

  /// @brief Finds a running task that crashes this worker now. The simulation
  /// then ends the process.
  [[nodiscard]] std::optional<TaskName> findDueCrash(Instant Now) const;

  /// @brief Checks whether a task with this payload crashes its worker: every
  /// task for the payload "crash", one task for "crash STEP.TASK".
  [[nodiscard]] static bool crashesWorker(const std::string &Payload,
                                          const TaskName &Task);

  /// @brief Builds the next report.
  [[nodiscard]] WorkerReport report(Instant Now);

  /// @brief Moves out the events since the last call.
  [[nodiscard]] std::vector<WorkerEvent> takeEvents();

  /// @brief Ends the attempt at a task, if it is running. The simulation ends
  /// the members of a gang together with it.
  void endIfRunning(const TaskName &Task, EndKind EndedAs);

  /// @brief Lists the running tasks with their attempts.
  [[nodiscard]] std::vector<std::pair<TaskName, std::uint32_t>> running() const;

  /// @brief Returns the running tasks that were started since a point in time.
  [[nodiscard]] std::vector<TaskName> startedSince(Instant Since) const;

  /// @brief Changes the capacity that its reports state. Attempts that run are
  /// not affected.
  void setCapacity(const Resources &NewCapacity) { Capacity = NewCapacity; }

  /// @brief Sets whether all tasks that finish from now on fail.
  void failAll(bool IsFailing) { FailsAll = IsFailing; }

  static constexpr Millis DefaultRunTime{600};
  /// Time after which a task has ended once it was ordered to stop.
  static constexpr Millis StopTime{150};
  static constexpr Millis MaxLease{6000};
  /// Bounds of the time after which a task crashes its worker.
  static constexpr Millis MinTimeToCrash{5};
  static constexpr Millis MaxTimeToCrash{400};

private:
  struct TaskAttempt {
    std::uint32_t Attempt = 0;
    Instant StartedAt;
    Instant EndsAt;
    bool IsStopping = false;
    bool IsLongRunning = false;
    std::optional<Instant> CrashesAt; ///< Set if it crashes the worker.
  };
  struct PendingRenewal {
    std::uint64_t Order = 0;
    Instant ExpiresAt;
  };

  /// Returns the run time of a task: N ms for the payload "work N", otherwise
  /// the default.
  static Millis runTimeOf(const std::string &Payload);
  [[nodiscard]] std::int64_t clockMs(Instant Now) const;
  [[nodiscard]] OrderResult answerTo(std::uint64_t Order, Instant Now) const;
  OrderResult start(const WorkerOrder &Order, Instant Now, bool IsLate);
  OrderResult stop(const WorkerOrder &Order, Instant Now);
  void extendLease(std::int64_t Expires, Instant Now);
  void acknowledge(std::uint64_t UpTo);
  void endAttempt(const TaskName &Task, EndKind EndedAs);
  void fillLists(OrderResult &Output, Instant Now) const;

  std::string Name;
  std::string Address;
  Resources Capacity;
  Random Rng;
  Instant ProcessStartedAt;
  std::int64_t StartTimeMs = 0;
  int ClockPercent = 100; ///< Rate of its clock relative to virtual time.
  std::uint64_t Sequence = 0;
  Term FencingToken = 0;
  std::int64_t LeaseExpiresAt = 0;
  bool FailsAll = false;
  std::map<TaskName, TaskAttempt> RunningAttempts;
  std::map<TaskName, std::uint32_t>
      HighestEndedAttempt; ///< Highest attempt that has ended or was stopped.
  std::vector<ReportedEnd> Ends;
  std::uint64_t LastEnd = 0;
  /// Last end when the lease last expired. A leader that recorded this worker's
  /// attempts as lost need not have seen the ends up to here, so their
  /// acknowledgement causes no event.
  std::uint64_t LastEndAtLeaseExpiry = 0;
  std::vector<PendingRenewal> PendingRenewals;
  std::vector<WorkerEvent> Events;
};

} // namespace mulberryramp::test
