#pragma once

#include "mulberryramp/ledger/fwd.hpp"
#include "mulberryramp/table/request.hpp"
#include "mulberryramp/table/worker.hpp"
#include "mulberryramp/wire/fwd.hpp"

#include <optional>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace mulberryramp {

/// @brief Accepts a request, or records its refusal.
struct AcceptCommand {
  RequestSpec Spec;
  std::uint64_t Digest = 0;
  std::string Refusal; ///< Why it is not run; empty if accepted.
  WallTime At;

  static constexpr auto fields() {
    return std::make_tuple(&AcceptCommand::Spec, &AcceptCommand::Digest,
                           &AcceptCommand::Refusal, &AcceptCommand::At);
  }
};

/// @brief Cancels the request with a customer and key, if it is pending.
struct CancelCommand {
  std::string Customer;
  std::string Key;
  WallTime At;

  static constexpr auto fields() {
    return std::make_tuple(&CancelCommand::Customer, &CancelCommand::Key,
                           &CancelCommand::At);
  }
};

/// @brief Registers a worker instance.
///
/// It has no effect while any instance of this name is registered.
struct AnnounceCommand {
  std::string Name;
  std::uint64_t Incarnation = 0;
  std::string Rack;
  Resources Capacity;

  static constexpr auto fields() {
    return std::make_tuple(&AnnounceCommand::Name,
                           &AnnounceCommand::Incarnation,
                           &AnnounceCommand::Rack, &AnnounceCommand::Capacity);
  }
};

/// @brief Starts or ends the draining of a worker that drains itself.
struct SetWorkerDrainingCommand {
  std::string Name;
  std::uint64_t Incarnation = 0;
  bool IsDraining = false;

  static constexpr auto fields() {
    return std::make_tuple(&SetWorkerDrainingCommand::Name,
                           &SetWorkerDrainingCommand::Incarnation,
                           &SetWorkerDrainingCommand::IsDraining);
  }
};

/// @brief Removes a worker instance whose lease has expired; its attempts end
/// as lost.
struct RemoveWorkerCommand {
  std::string Name;
  std::uint64_t Incarnation = 0;
  bool OnlyIfIdle = false; ///< Only without tasks; its lease may be valid.
  WallTime At;

  static constexpr auto fields() {
    return std::make_tuple(
        &RemoveWorkerCommand::Name, &RemoveWorkerCommand::Incarnation,
        &RemoveWorkerCommand::OnlyIfIdle, &RemoveWorkerCommand::At);
  }
};

/// @brief Assigns one task to a worker.
struct Assignment {
  TaskId AssignedTask;
  WorkerId TargetWorker;

  static constexpr auto fields() {
    return std::make_tuple(&Assignment::AssignedTask,
                           &Assignment::TargetWorker);
  }
};

/// @brief Assignments of tasks of one request, applied all or none.
struct Placement {
  RequestId Owner;
  std::vector<Assignment> Tasks;

  static constexpr auto fields() {
    return std::make_tuple(&Placement::Owner, &Placement::Tasks);
  }
};

/// @brief Assigns tasks to workers; a placement that no longer fits is skipped.
struct AssignCommand {
  std::vector<Placement> Placements;
  WallTime At;
  std::uint64_t InTerm = 0; ///< Term of the leader that assigns.

  static constexpr auto fields() {
    return std::make_tuple(&AssignCommand::Placements, &AssignCommand::At,
                           &AssignCommand::InTerm);
  }
};

/// @brief How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  Done,
  Failed,
  Refused, ///< Never began and never will.
  Stopped, ///< Began and was stopped.
  Lost     ///< The lease of the worker expired.
};

/// @brief Names of the attempt ends, by value.
constexpr std::array<std::string_view, 5>
nameTable(AttemptEnd /*End*/) noexcept {
  return {"done", "failed", "refused", "stopped", "lost"};
}

/// @brief Result of one attempt.
struct AttemptResult {
  AttemptId Attempt = 0;
  AttemptEnd End = AttemptEnd::Lost;
  std::string Answer;
  std::string Reason;

  static constexpr auto fields() {
    return std::make_tuple(&AttemptResult::Attempt, &AttemptResult::End,
                           &AttemptResult::Answer, &AttemptResult::Reason);
  }
};

/// @brief Records results of attempts.
struct EndAttemptsCommand {
  std::vector<AttemptResult> Results;
  WallTime At;

  static constexpr auto fields() {
    return std::make_tuple(&EndAttemptsCommand::Results,
                           &EndAttemptsCommand::At);
  }
};

/// @brief Ends tasks that were not started by their latest start, and drops
/// finished requests whose retention has passed.
struct ExpireCommand {
  WallTime At;

  static constexpr auto fields() { return std::make_tuple(&ExpireCommand::At); }
};

/// @brief Records that entries made before a moment may be lost.
struct DataLossCommand {
  WallTime LossEnd;

  static constexpr auto fields() {
    return std::make_tuple(&DataLossCommand::LossEnd);
  }
};

/// @brief Makes a revision of the rules the active one of the data centre.
struct RulesCommand {
  std::uint64_t Number = 0;
  std::string Text;

  static constexpr auto fields() {
    return std::make_tuple(&RulesCommand::Number, &RulesCommand::Text);
  }
};

using LedgerCommand =
    std::variant<AcceptCommand, CancelCommand, AnnounceCommand,
                 SetWorkerDrainingCommand, RemoveWorkerCommand, AssignCommand,
                 EndAttemptsCommand, ExpireCommand, DataLossCommand,
                 RulesCommand>;

/// @brief Encodes a command as the data of a log entry.
[[nodiscard]] std::string encodeCommand(const LedgerCommand &Command);

/// @brief Decodes a command from the data of a log entry.
/// @return The command, or nothing if the data is malformed.
[[nodiscard]] std::optional<LedgerCommand> decodeCommand(std::string_view Data);

} // namespace mulberryramp
