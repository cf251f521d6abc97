#pragma once

#include "mulberryramp/cell/order.hpp"
#include "mulberryramp/core/random.hpp"
#include "mulberryramp/job/worker.hpp"

#include <map>
#include <string>
#include <vector>

namespace mulberryramp::test {

/// @brief What a worker in memory did, for invariants.
struct WorkerEvent {
  enum class Kind { Started, Ended, AckedDone, AckedFailed };
  Kind What = Kind::Started;
  TaskName Task;
  std::uint32_t Attempt = 0;
  EndKind EndedAs = EndKind::Done;
  bool IsLate = false; ///< A start that was carried out late.
};

/// @brief A worker in memory: fences, leases on its own clock, lists of runs
/// and of ends, long holds. It starts whatever it is told to.
class FakeWorker {
public:
  FakeWorker(std::string Name, Resources Capacity, std::uint64_t Seed,
             Instant Now);

  /// @brief Carries an order out.
  /// @return The answer, or nothing if a hold waits.
  std::optional<OrderResult> handleOrder(const WorkerOrder &Order, Instant Now,
                                         bool IsLate);

  /// @brief Lets time pass.
  /// @return Answers of holds that waited.
  std::vector<OrderResult> advance(Instant Now);

  /// @brief Ends this life and begins the next one under the same name.
  void restart(Instant Now);

  /// @brief Renders the next report.
  [[nodiscard]] WorkerReport report(Instant Now);

  /// @brief Takes what happened since the last call.
  [[nodiscard]] std::vector<WorkerEvent> takeEvents();

  /// @brief Ends a run, as members of a gang do together.
  void endRun(const TaskName &Task, EndKind How);

  /// @brief Lists what runs.
  [[nodiscard]] std::vector<std::pair<TaskName, std::uint32_t>> running() const;

  /// @brief Lets the tasks that start from now on fail.
  void failAll(bool IsFailing) { FailsAll = IsFailing; }

  static constexpr Millis WorkTime{600};
  static constexpr Millis StopTime{150};
  static constexpr Millis MaxLease{6000};

private:
  struct Run {
    std::uint32_t Attempt = 0;
    Instant BeganAt;
    Instant EndsAt;
    bool IsStopping = false;
    bool IsLongRunning = false;
  };
  struct PendingPoll {
    std::uint64_t Order = 0;
    Instant Until;
  };

  /// Payloads "work N" name a run time of N ms.
  static Millis workTime(const std::string &Payload);
  [[nodiscard]] std::int64_t clock(Instant Now) const;
  [[nodiscard]] OrderResult answerTo(std::uint64_t Order, Instant Now) const;
  OrderResult start(const WorkerOrder &Order, Instant Now, bool IsLate);
  OrderResult stop(const WorkerOrder &Order, Instant Now);
  void extendLease(std::int64_t Expires, Instant Now);
  void acknowledge(std::uint64_t UpTo);
  void end(const TaskName &Task, EndKind How);
  void lists(OrderResult &Into, Instant Now) const;

  std::string Name;
  Resources Capacity;
  Random Rng;
  Instant BornAt;
  std::int64_t StartTimeMs = 0;
  int ClockPercent = 100; ///< Speed of the clock.
  std::uint64_t Sequence = 0;
  Term FencingToken = 0;
  std::int64_t LeaseExpiresAt = 0;
  bool FailsAll = false;
  std::map<TaskName, Run> Runs;
  std::map<TaskName, std::uint32_t>
      HighestEndedAttempt; ///< Highest run ended or stopped.
  std::vector<ReportedEnd> Ends;
  std::uint64_t LastEnd = 0;
  /// Ends before the lease last ran out; who gave up the worker need not have
  /// known of them.
  std::uint64_t LastLapsedEnd = 0;
  std::vector<PendingPoll> Holds;
  std::vector<WorkerEvent> Events;
};

} // namespace mulberryramp::test
