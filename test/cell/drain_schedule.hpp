#pragma once

#include "mulberryramp/cell/call.hpp"
#include "mulberryramp/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// @file
/// @brief Drains and leaves of workers in a schedule, and their invariant.

namespace mulberryramp::test {

/// @brief Workers that drain: each reports it until it is confirmed, works on
/// for some time, and then leaves.
class DrainSchedule {
public:
  /// @brief Lets an instance of a worker drain from a point in time on.
  void begin(const std::string &Worker, Instant At);

  /// @brief Forgets an instance that has ended for another reason.
  void cancel(const std::string &Worker);

  /// @brief Tells whether a worker drains, or will.
  [[nodiscard]] bool contains(const std::string &Worker) const;

  /// @brief Tells whether the reports of a worker say that it drains.
  [[nodiscard]] bool isDraining(const std::string &Worker, Instant Now) const;

  /// @brief Tells whether a worker has to report its drain now, for the first
  /// time.
  [[nodiscard]] bool isFirstReportDue(const std::string &Worker, Instant Now);

  /// @brief Notes a call that reports a drain.
  void onReportSent(const std::string &Worker, std::uint64_t Call);

  /// @brief Tells whether a worker leaves now. Its call is repeated until it is
  /// confirmed.
  [[nodiscard]] bool isLeaveDue(const std::string &Worker, Instant Now);

  /// @brief Notes a call with which a worker leaves.
  void onLeaveSent(const std::string &Worker, std::uint64_t Call);

  /// @brief Handles the reply to a call.
  /// @return The worker that has left with it, if one has.
  std::optional<std::string> onReply(std::uint64_t Call, CellVerdict Verdict,
                                     Instant Now);

  /// @brief Checks that no task starts on a worker after its drain was
  /// confirmed.
  /// @return The violation, or an empty text.
  [[nodiscard]] std::string checkStart(const std::string &Worker,
                                       Instant Now) const;

private:
  struct Drain {
    Instant BeginsAt;
    bool IsReported = false;
    std::optional<Instant> ConfirmedAt;
    Instant NextLeaveAt;
  };
  struct Call {
    std::string Worker;
    bool IsLeave = false;
  };

  std::map<std::string, Drain> Drains;
  std::map<std::uint64_t, Call> Calls;
};

} // namespace mulberryramp::test
