#pragma once

#include "mulberryramp/cell/dispatcher.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// @brief A leader whose workers are never without a recent start: short tasks
/// start on each of them at a steady rate.

namespace mulberryramp::test {

/// @brief Workers and steady load of a `BusyCell`.
struct BusyCellOptions {
  int Workers = 8;
  int Racks = 3;
  /// Labels of the first workers, one each; the others have none.
  std::vector<std::string> Labels;
  /// Interval of the short jobs, of one task for each worker.
  Millis QuickInterval{250};
  Millis QuickRunTime{100};
  /// What the advisor takes for an answer, and the validity of its tickets.
  Millis AdviceTime{50};
  Millis TicketTtl{2000};
};

/// @brief A start order that a worker has executed.
struct BusyCellStart {
  Instant At;
  std::string Worker;
  std::string Job;
};

/// @brief Runs the decisions of a leader in virtual time. Its workers answer
/// each order at once and have most of their resources left.
///
/// The queues "/low/" and "/advised/" are less urgent than the short jobs; the
/// starts of the latter need tickets. All workers are admitted.
class BusyCell {
public:
  explicit BusyCell(const BusyCellOptions &Options);

  /// @brief Submits a job with one step, and waits until all its tasks run.
  void start(const std::string &Name, const StepSpec &Step,
             const std::string &Prefix = "/low/");

  /// @brief Ends all attempts of a job with crashes of their workers, which are
  /// back at once.
  void crashUnder(const std::string &Name);

  /// @brief Ends the attempt of one task of a job.
  void endTask(const std::string &Name, std::uint32_t Task, EndKind Kind);

  /// @brief Lets time pass.
  void run(Millis Time);

  /// @brief Lets time pass until all tasks of a job run again.
  /// @return How long it took; `MaxTime` if it did not happen.
  Millis timeUntilRunning(const std::string &Name, Millis MaxTime);

  /// @brief Replaces the leader.
  void elect();

  void cancel(const std::string &Name);

  /// @brief Lets a worker refuse connections until `Until`. The leader sends it
  /// an order, and notices.
  void silence(const std::string &Worker, Instant Until);

  /// @brief Tells whether no other job has had a start on the worker of each
  /// start of a job for `SuspectWindow` before and after it.
  /// @param Since Starts of the job before this time are not checked.
  [[nodiscard]] bool startedAlone(const std::string &Name, Instant Since) const;

  /// @brief Returns the longest time that a short task waited for its start.
  [[nodiscard]] Millis longestQuickWait() const { return LongestQuickWait; }

  [[nodiscard]] Instant now() const { return Now; }
  [[nodiscard]] const DispatchState &dispatch() const { return Dispatch; }
  [[nodiscard]] const CellState &state() const { return State; }
  [[nodiscard]] const std::vector<std::string> &events() const {
    return Events;
  }
  [[nodiscard]] std::size_t heldWorkers() const;
  [[nodiscard]] JobTaskState stateOf(const std::string &Name,
                                     std::uint32_t Task) const;

private:
  [[nodiscard]] WallTime wallNow() const;
  [[nodiscard]] bool isSilent(const std::string &Worker) const;
  void apply(const CellCommand &Command);
  void submit(const std::string &Name, const StepSpec &Step,
              const std::string &Prefix);
  void submitQuick();
  void report();
  void endQuickTasks();
  void answer(const WorkerOrder &Order);
  [[nodiscard]] std::uint32_t percentOf(const TaskKey &Key,
                                        const TaskLaunch &Launch) const;
  void takeQueries();
  void deliverAdvice();
  void step();
  [[nodiscard]] bool isRunning(const std::string &Name) const;

  BusyCellOptions Options;
  CellState State;
  DispatchState Dispatch;
  Instant Now{Millis{100000}};
  Term CurrentTerm = 0;
  Instant ReportAt;
  std::uint64_t Sequence = 1;
  Instant NextQuickAt;
  std::uint64_t QuickJobs = 0;
  std::map<std::string, Instant> QuickSubmittedAt;
  Millis LongestQuickWait{0};
  /// Ends of the short tasks that run.
  std::multimap<Instant, std::pair<TaskName, std::uint32_t>> QuickEnds;
  std::multimap<Instant, AdviceAnswer> Advice;
  std::map<std::string, Instant> SilentUntil;
  std::vector<BusyCellStart> Starts;
  std::vector<std::string> Events;
};

} // namespace mulberryramp::test
