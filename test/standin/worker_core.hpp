#pragma once

// Stand-in for a worker in tests: a state machine for the worker side of the
// poll protocol that simulates tasks by their run time. The caller supplies the
// clock and the transport, so it may not use either.

#include "mulberryramp/worker/message.hpp"

#include <map>
#include <string>
#include <vector>

namespace mulberryramp::test {

/// @brief Ways in which a stand-in worker deviates from a correct one.
struct WorkerFaults {
  bool FailsEverything = false;   ///< Every task fails at its start.
  bool RefusesEverything = false; ///< Every start is refused.
  bool SplitsAnswers = false; ///< Sends answers in parts, the last one first.
  bool IgnoresStops = false;  ///< Tasks go on after an order to stop.
  int SlowFactor = 1;         ///< Multiplies the run time of tasks.
};

/// @brief Record of one attempt that a stand-in worker started.
struct RunRecord {
  AttemptId Attempt = 0;
  std::string Customer;
  std::string Key;
  std::uint32_t Ordinal = 0;
  bool IsIdempotent = true;
  Resources Need;
  Instant Begin;
  Instant End; ///< The clock's epoch while the attempt runs.
};

/// @brief Worker side of the poll protocol.
class WorkerCore {
public:
  /// @param Incarnation Number of this run of the worker; a later run has a
  /// larger one.
  WorkerCore(std::string Name, std::string Centre, std::string Rack,
             Resources Capacity, std::uint64_t Incarnation);

  /// @brief Makes the next poll, which supersedes an open one.
  /// @param Now Time of sending; a lease in the answer starts here.
  [[nodiscard]] WorkerPoll makePoll(Instant Now);
  /// @brief Returns the number of the newest poll.
  [[nodiscard]] std::uint64_t newestPoll() const { return NewestPoll; }
  /// @brief Handles the answer to a poll. Answers to superseded polls are
  /// ignored.
  void handleReply(std::uint64_t Poll, const WorkerReply &Reply, Instant Now);
  /// @brief Records that a poll failed, so that the next one is a full report.
  /// Failures of superseded polls are ignored.
  void pollFailed(std::uint64_t Poll);
  /// @brief Reports whether the newest poll has no answer yet.
  [[nodiscard]] bool isPollOpen() const { return IsOpen; }
  /// @brief Ends tasks whose run time has passed, and stops all tasks once the
  /// worker lease has expired.
  void tick(Instant Now);
  /// @brief Announces in later polls that the worker is draining.
  void startDraining() { IsDraining = true; }
  /// @brief Reports whether a change of an attempt waits for the next poll
  /// because no open poll contains it.
  [[nodiscard]] bool wantsPoll() const;
  /// @brief Returns the number of running tasks.
  [[nodiscard]] std::size_t running() const;
  /// @brief Returns all attempts, in the order of their starts.
  [[nodiscard]] const std::vector<RunRecord> &runs() const { return Runs; }
  /// @brief Returns the total resources of the worker.
  [[nodiscard]] const Resources &capacity() const { return Capacity; }
  [[nodiscard]] const std::string &name() const { return Name; }
  [[nodiscard]] Instant leaseEnd() const { return LeaseEnd; }

  WorkerFaults Faults;

private:
  struct AttemptState {
    StartOrder Order;
    AttemptPhase Phase = AttemptPhase::Running;
    Instant EndsAt; ///< The maximum instant for a service.
    std::vector<std::string> Parts;
    std::size_t NextPart = 0; ///< Number of parts already reported.
    std::string Reason;
    bool IsDirty = true;
    bool IsInFlight = false;
    std::size_t RunIndex = 0;
  };

  void start(const StartOrder &Order, Instant Now);
  void stop(const StopOrder &Order, Instant Now);
  void end(AttemptState &State, AttemptPhase Phase, const std::string &Answer,
           Instant Now);
  [[nodiscard]] AttemptReport reportOf(AttemptId Attempt,
                                       AttemptState &State) const;

  std::string Name;
  std::string Centre;
  std::string Rack;
  Resources Capacity;
  std::uint64_t Incarnation;
  std::uint64_t Epoch = 0;
  std::uint64_t Ack = 0;
  std::uint64_t NewestPoll = 0;
  bool IsOpen = false;
  bool NeedsFull = true;
  bool IsDraining = false;
  Instant PollSentAt;
  Instant LeaseEnd;
  std::map<AttemptId, AttemptState> Attempts;
  std::vector<RunRecord> Runs;
};

/// @brief Returns the answer that a stand-in worker gives for a task.
[[nodiscard]] std::string expectedAnswer(const std::string &Customer,
                                         const std::string &Key,
                                         std::uint32_t Ordinal,
                                         const std::string &Payload);

/// @brief Returns the run time N ms of a payload with `run-ms=N`, otherwise
/// the default of 100 ms.
[[nodiscard]] Millis runTimeOf(const std::string &Payload);

} // namespace mulberryramp::test
