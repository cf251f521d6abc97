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

/// @brief Takes a request in, or records that it is refused.
struct AcceptCommand {
  RequestSpec Spec;
  std::uint64_t Digest = 0;
  std::string Refusal; ///< Why it is not run; empty if it is taken in.
  WallTime At;

  static constexpr auto fields() {
    return std::make_tuple(&AcceptCommand::Spec, &AcceptCommand::Digest,
                           &AcceptCommand::Refusal, &AcceptCommand::At);
  }
};

/// @brief Cancels a request.
struct CancelCommand {
  std::string Customer;
  std::string Key;
  WallTime At;

  static constexpr auto fields() {
    return std::make_tuple(&CancelCommand::Customer, &CancelCommand::Key,
                           &CancelCommand::At);
  }
};

/// @brief Takes a worker in; refused while a former life of it is in.
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

/// @brief Marks a worker as leaving, or as back.
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

/// @brief Removes a worker whose lease is over; its attempts are over too.
struct RemoveWorkerCommand {
  std::string Name;
  std::uint64_t Incarnation = 0;
  bool OnlyIfIdle = false; ///< The lease may last; removed without tasks only.
  WallTime At;

  static constexpr auto fields() {
    return std::make_tuple(
        &RemoveWorkerCommand::Name, &RemoveWorkerCommand::Incarnation,
        &RemoveWorkerCommand::OnlyIfIdle, &RemoveWorkerCommand::At);
  }
};

/// @brief Place of one task.
struct Assignment {
  TaskId AssignedTask;
  WorkerId TargetWorker;

  static constexpr auto fields() {
    return std::make_tuple(&Assignment::AssignedTask,
                           &Assignment::TargetWorker);
  }
};

/// @brief Places of tasks of one request that are granted together or not.
struct Placement {
  RequestId Owner;
  std::vector<Assignment> Tasks;

  static constexpr auto fields() {
    return std::make_tuple(&Placement::Owner, &Placement::Tasks);
  }
};

/// @brief Grants places; one that no longer fits is passed over.
struct AssignCommand {
  std::vector<Placement> Placements;
  WallTime At;
  std::uint64_t InTerm = 0; ///< Term of the leader that grants.

  static constexpr auto fields() {
    return std::make_tuple(&AssignCommand::Placements, &AssignCommand::At,
                           &AssignCommand::InTerm);
  }
};

/// @brief How an attempt came to its end.
enum class AttemptEnd : std::uint8_t {
  Done,
  Failed,
  Refused, ///< Never began, and never will.
  Stopped, ///< Began, and was stopped.
  Lost     ///< The lease of the worker ended.
};

/// @brief Names of the ends of an attempt.
constexpr std::array<std::string_view, 5>
nameTable(AttemptEnd /*End*/) noexcept {
  return {"done", "failed", "refused", "stopped", "lost"};
}

/// @brief End of one attempt.
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

/// @brief Records the ends of attempts.
struct EndAttemptsCommand {
  std::vector<AttemptResult> Results;
  WallTime At;

  static constexpr auto fields() {
    return std::make_tuple(&EndAttemptsCommand::Results,
                           &EndAttemptsCommand::At);
  }
};

/// @brief Ends what waited past its latest start, drops what was kept enough.
struct ExpireCommand {
  WallTime At;

  static constexpr auto fields() { return std::make_tuple(&ExpireCommand::At); }
};

/// @brief Notes that entries may be lost that were made before a moment.
struct DataLossCommand {
  WallTime LossEnd;

  static constexpr auto fields() {
    return std::make_tuple(&DataLossCommand::LossEnd);
  }
};

/// @brief Puts a revision of the rules in force in the data centre.
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

/// @brief Encodes a command as data of a log entry.
[[nodiscard]] std::string encodeCommand(const LedgerCommand &Command);

/// @brief Decodes a command from data of a log entry.
/// @return The command, or nothing if the data is none.
[[nodiscard]] std::optional<LedgerCommand> decodeCommand(std::string_view Data);

} // namespace mulberryramp
