#pragma once

#include "mulberryramp/config/rules_state.hpp"
#include "mulberryramp/core/fwd.hpp"
#include "mulberryramp/node/fwd.hpp"
#include "mulberryramp/replica/message.hpp"
#include "mulberryramp/table/request.hpp"

#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace mulberryramp {

/// @brief Submits a request, or asks again for one that was submitted.
struct SubmitCall {
  std::string Home; ///< Data centre; empty leaves the choice to the key.
  RequestSpec Spec;
  WallTime ReceivedAt; ///< When a daemon took the call from the caller.

  static constexpr auto fields() {
    return std::make_tuple(&SubmitCall::Home, &SubmitCall::Spec,
                           &SubmitCall::ReceivedAt);
  }
};

/// @brief Asks what became of a request.
struct StatusCall {
  std::string Home;
  std::string Customer;
  std::string Key;
  Millis Wait{0}; ///< How long to wait for the outcome.

  static constexpr auto fields() {
    return std::make_tuple(&StatusCall::Home, &StatusCall::Customer,
                           &StatusCall::Key, &StatusCall::Wait);
  }
};

/// @brief Cancels a request.
struct CancelCall {
  std::string Home;
  std::string Customer;
  std::string Key;

  static constexpr auto fields() {
    return std::make_tuple(&CancelCall::Home, &CancelCall::Customer,
                           &CancelCall::Key);
  }
};

/// @brief Replaces the rules that an operator has seen by new ones.
struct RulesApplyCall {
  std::string ChangeKey;
  std::string Operator;
  Revision Base = 0;
  std::string Text;

  static constexpr auto fields() {
    return std::make_tuple(&RulesApplyCall::ChangeKey,
                           &RulesApplyCall::Operator, &RulesApplyCall::Base,
                           &RulesApplyCall::Text);
  }
};

/// @brief Asks for the rules that are in force on this daemon.
struct RulesShowCall {
  static constexpr auto fields() { return std::make_tuple(); }
};

/// @brief Asks for the last changes of the rules.
struct RulesHistoryCall {
  std::uint32_t MaxCount = 20;

  static constexpr auto fields() {
    return std::make_tuple(&RulesHistoryCall::MaxCount);
  }
};

/// @brief Asks on which daemons the newest rules are in force.
struct RulesStatusCall {
  static constexpr auto fields() { return std::make_tuple(); }
};

/// @brief Asks for the workers of a data centre.
struct WorkersCall {
  std::string Home;

  static constexpr auto fields() { return std::make_tuple(&WorkersCall::Home); }
};

/// @brief Asks for the groups of this daemon.
struct NodeStatusCall {
  static constexpr auto fields() { return std::make_tuple(); }
};

using CallRequest =
    std::variant<SubmitCall, StatusCall, CancelCall, RulesApplyCall,
                 RulesShowCall, RulesHistoryCall, RulesStatusCall, WorkersCall,
                 NodeStatusCall>;

/// @brief How a call ended.
enum class CallStatus : std::uint8_t {
  Done,        ///< Carried out; for a submission: accepted, now or earlier.
  Refused,     ///< Recorded as not run.
  Invalid,     ///< Never valid as it is.
  Conflict,    ///< Contradicts what was accepted earlier.
  NotFound,    ///< Not known here.
  Unavailable, ///< Not passed on, not taken in.
  Unknown      ///< May have been taken in; asking again settles it.
};

/// @brief Names of the statuses.
constexpr std::array<std::string_view, 7>
nameTable(CallStatus /*Status*/) noexcept {
  return {"done",      "refused",     "invalid", "conflict",
          "not found", "unavailable", "unknown"};
}

/// @brief A task as a caller sees it.
struct TaskView {
  std::uint32_t Ordinal = 0;
  TaskState State = TaskState::Queued;
  std::uint32_t Attempts = 0;
  std::string WorkerName; ///< Where it runs; empty unless assigned.
  std::string Answer;
  std::string Reason;

  static constexpr auto fields() {
    return std::make_tuple(&TaskView::Ordinal, &TaskView::State,
                           &TaskView::Attempts, &TaskView::WorkerName,
                           &TaskView::Answer, &TaskView::Reason);
  }
};

/// @brief A request as a caller sees it.
struct RequestView {
  std::string Customer;
  std::string Key;
  std::string Home;
  std::string ClassName;
  WorkKind Kind = WorkKind::Batch;
  Outcome Result = Outcome::Pending;
  std::string Reason;
  bool IsCancelled = false;
  WallTime AcceptedAt;
  std::vector<TaskView> Tasks;

  static constexpr auto fields() {
    return std::make_tuple(&RequestView::Customer, &RequestView::Key,
                           &RequestView::Home, &RequestView::ClassName,
                           &RequestView::Kind, &RequestView::Result,
                           &RequestView::Reason, &RequestView::IsCancelled,
                           &RequestView::AcceptedAt, &RequestView::Tasks);
  }
};

/// @brief A worker as an operator sees it.
struct WorkerInfo {
  std::string Name;
  std::string Rack;
  Resources Capacity;
  Resources Granted;
  std::uint32_t TaskCount = 0;
  bool IsDraining = false;
  bool IsDrained = false;
  bool IsConfirmed = false;
  bool IsQuarantined = false;

  static constexpr auto fields() {
    return std::make_tuple(&WorkerInfo::Name, &WorkerInfo::Rack,
                           &WorkerInfo::Capacity, &WorkerInfo::Granted,
                           &WorkerInfo::TaskCount, &WorkerInfo::IsDraining,
                           &WorkerInfo::IsDrained, &WorkerInfo::IsConfirmed,
                           &WorkerInfo::IsQuarantined);
  }
};

/// @brief Revision in force on one daemon.
struct NodeRulesStatus {
  NodeId Node = 0;
  bool IsCurrent = false;   ///< Has applied the newest change.
  bool IsReachable = false; ///< Answered within the last seconds.

  static constexpr auto fields() {
    return std::make_tuple(&NodeRulesStatus::Node, &NodeRulesStatus::IsCurrent,
                           &NodeRulesStatus::IsReachable);
  }
};

/// @brief One group as seen by one daemon.
struct GroupInfo {
  std::string Group;
  std::string Role;
  NodeId Leader = 0;
  Term CurrentTerm = 0;
  LogIndex Last = 0;
  LogIndex CommitIndex = 0;
  bool IsReady = false;
  std::vector<Member> Voters;

  static constexpr auto fields() {
    return std::make_tuple(&GroupInfo::Group, &GroupInfo::Role,
                           &GroupInfo::Leader, &GroupInfo::CurrentTerm,
                           &GroupInfo::Last, &GroupInfo::CommitIndex,
                           &GroupInfo::IsReady, &GroupInfo::Voters);
  }
};

/// @brief Rules as one daemon has them in force.
struct RulesView {
  Revision Number = 0;
  std::string Text;
  bool IsCurrent = false; ///< This daemon hears the configuration group.

  static constexpr auto fields() {
    return std::make_tuple(&RulesView::Number, &RulesView::Text,
                           &RulesView::IsCurrent);
  }
};

/// @brief Answer to a call; what does not belong to the call stays empty.
struct CallResult {
  CallStatus Status = CallStatus::Done;
  std::string Reason;
  std::optional<RequestView> RequestInfo;
  std::optional<ChangeRecord> Change;
  std::vector<ChangeRecord> History;
  std::optional<RulesView> Rules;
  std::vector<NodeRulesStatus> RulesStatus;
  std::vector<WorkerInfo> Workers;
  std::vector<GroupInfo> Groups;

  static constexpr auto fields() {
    return std::make_tuple(
        &CallResult::Status, &CallResult::Reason, &CallResult::RequestInfo,
        &CallResult::Change, &CallResult::History, &CallResult::Rules,
        &CallResult::RulesStatus, &CallResult::Workers, &CallResult::Groups);
  }
};

/// @brief Builds a result without content.
/// @param Status How the call ended.
/// @param Reason Why.
/// @return The result.
[[nodiscard]] inline CallResult makeResult(CallStatus Status,
                                           std::string Reason) {
  CallResult Result;
  Result.Status = Status;
  Result.Reason = std::move(Reason);
  return Result;
}

/// @brief Passes a call on to another daemon.
struct ForwardCall {
  std::uint64_t Id = 0; ///< Chosen by the sender.
  std::uint32_t Hops = 0;
  CallRequest Body;

  static constexpr auto fields() {
    return std::make_tuple(&ForwardCall::Id, &ForwardCall::Hops,
                           &ForwardCall::Body);
  }
};

/// @brief Answers a call that was passed on.
struct ForwardResult {
  std::uint64_t Id = 0;
  CallResult Result;

  static constexpr auto fields() {
    return std::make_tuple(&ForwardResult::Id, &ForwardResult::Result);
  }
};

using PeerBody = std::variant<ReplicaMessage, ForwardCall, ForwardResult>;

/// @brief A message between two daemons.
struct PeerMessage {
  NodeId From = 0;
  NodeId To = 0;
  PeerBody Body;

  static constexpr auto fields() {
    return std::make_tuple(&PeerMessage::From, &PeerMessage::To,
                           &PeerMessage::Body);
  }
};

/// @brief Where the result of a call goes.
struct CallOrigin {
  NodeId Node = 0; ///< 0 means a caller of this daemon.
  std::uint64_t Id = 0;
};

/// @brief Result of a call with its destination.
struct CompletedCall {
  CallOrigin Origin;
  CallResult Result;
};

/// @brief Encodes a message for a frame.
[[nodiscard]] std::string encodeMessage(const PeerMessage &Message);

/// @brief Decodes a message from a frame.
/// @return The message, or nothing if the payload is none.
[[nodiscard]] std::optional<PeerMessage>
decodeMessage(std::string_view Payload);

} // namespace mulberryramp
