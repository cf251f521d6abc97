#pragma once

#include "mulberryramp/worker/message.hpp"

#include <map>
#include <string>
#include <vector>

namespace mulberryramp::test {

/// @brief Faults of a stand-in worker.
struct WorkerFaults {
  bool FailsEverything = false;
  bool RefusesEverything = false;
  bool SplitsAnswers = false; ///< Sends answers in parts, the last one first.
  bool IgnoresStops = false;
  int SlowFactor = 1;
};

/// @brief One run that a stand-in worker began.
struct RunRecord {
  AttemptId Attempt = 0;
  std::string Customer;
  std::string Key;
  std::uint32_t Ordinal = 0;
  bool IsIdempotent = true;
  Resources Need;
  Instant Begin;
  Instant End; ///< The epoch while it runs.
};

/// @brief Protocol side of a worker, without clock or socket.
class WorkerCore {
public:
  WorkerCore(std::string Name, std::string Centre, std::string Rack,
             Resources Capacity, std::uint64_t Incarnation);

  /// @brief Makes the next poll; it supersedes one that is open.
  [[nodiscard]] WorkerPoll makePoll(Instant Now);
  /// @brief Reads the number of the newest poll.
  [[nodiscard]] std::uint64_t newestPoll() const { return NewestPoll; }
  /// @brief Takes the answer to a poll; that to an older one is ignored.
  void handleReply(std::uint64_t Poll, const WorkerReply &Reply, Instant Now);
  /// @brief Notes that a poll failed; an older one is ignored.
  void pollFailed(std::uint64_t Poll);
  /// @brief Tells whether the newest poll has no answer yet.
  [[nodiscard]] bool isPollOpen() const { return IsOpen; }
  /// @brief Ends tasks whose time is over, and all when the lease is over.
  void tick(Instant Now);
  /// @brief Announces that the worker leaves.
  void startDraining() { IsDraining = true; }
  /// @brief Tells whether anything is to be reported that no open poll tells.
  [[nodiscard]] bool wantsPoll() const;
  /// @brief Counts the running tasks.
  [[nodiscard]] std::size_t running() const;
  /// @brief Lists all runs, in the order they began.
  [[nodiscard]] const std::vector<RunRecord> &runs() const { return Runs; }
  /// @brief Reads what the worker has.
  [[nodiscard]] const Resources &capacity() const { return Capacity; }
  [[nodiscard]] const std::string &name() const { return Name; }
  [[nodiscard]] Instant leaseEnd() const { return LeaseEnd; }

  WorkerFaults Faults;

private:
  struct Local {
    StartOrder Order;
    AttemptPhase Phase = AttemptPhase::Running;
    Instant EndsAt; ///< The end of time for a service.
    std::vector<std::string> Parts;
    std::size_t NextPart = 0; ///< Parts already reported.
    std::string Reason;
    bool IsDirty = true;
    bool IsInFlight = false;
    std::size_t Run = 0;
  };

  void start(const StartOrder &Order, Instant Now);
  void stop(const StopOrder &Order, Instant Now);
  void end(Local &Item, AttemptPhase Phase, const std::string &Answer,
           Instant Now);
  [[nodiscard]] AttemptReport reportOf(AttemptId Attempt, Local &Item) const;

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
  std::map<AttemptId, Local> Attempts;
  std::vector<RunRecord> Runs;
};

/// @brief Answer that a stand-in worker gives for a task.
[[nodiscard]] std::string expectedAnswer(const std::string &Customer,
                                         const std::string &Key,
                                         std::uint32_t Ordinal,
                                         const std::string &Payload);

/// @brief Reads `run-ms=N` from a payload.
[[nodiscard]] Millis runTimeOf(const std::string &Payload);

} // namespace mulberryramp::test
