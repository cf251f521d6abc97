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

/// @brief Submits a request, or resends one under the same key.
struct SubmitCall {
  std::string Home; ///< Data centre; empty: chosen by the key.
  RequestSpec Spec;
  WallTime ReceivedAt; ///< When a daemon received the call from its caller.

  static constexpr auto fields() {
    return std::make_tuple(&SubmitCall::Home, &SubmitCall::Spec,
                           &SubmitCall::ReceivedAt);
  }
};

/// @brief Queries the state of a request.
struct StatusCall {
  std::string Home;
  std::string Customer;
  std::string Key;
  Millis Wait{0}; ///< Maximum time to wait for the outcome.

  static constexpr auto fields() {
    return std::make_tuple(&StatusCall::Home, &StatusCall::Customer,
                           &StatusCall::Key, &StatusCall::Wait);
  }
};

/// @brief Cancels the request with the given customer and key.
struct CancelCall {
  std::string Home;
  std::string Customer;
  std::string Key;

  static constexpr auto fields() {
    return std::make_tuple(&CancelCall::Home, &CancelCall::Customer,
                           &CancelCall::Key);
  }
};

/// @brief Replaces the rules, if `Base` is still the newest revision.
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

/// @brief Queries the newest rules that this daemon knows; they may not be
/// active in its data centre yet.
struct RulesShowCall {
  static constexpr auto fields() { return std::make_tuple(); }
};

/// @brief Queries the last changes of the rules.
struct RulesHistoryCall {
  std::uint32_t MaxCount = 20;

  static constexpr auto fields() {
    return std::make_tuple(&RulesHistoryCall::MaxCount);
  }
};

/// @brief Queries on which daemons the newest rules are active.
struct RulesStatusCall {
  static constexpr auto fields() { return std::make_tuple(); }
};

/// @brief Lists the workers of a data centre.
struct WorkersCall {
  std::string Home;

  static constexpr auto fields() { return std::make_tuple(&WorkersCall::Home); }
};

/// @brief Lists the groups of this daemon.
struct NodeStatusCall {
  static constexpr auto fields() { return std::make_tuple(); }
};

using CallRequest =
    std::variant<SubmitCall, StatusCall, CancelCall, RulesApplyCall,
                 RulesShowCall, RulesHistoryCall, RulesStatusCall, WorkersCall,
                 NodeStatusCall>;

/// @brief Status of a finished call.
enum class CallStatus : std::uint8_t {
  Done,        ///< Executed; a submission was accepted, now or earlier.
  Refused,     ///< Recorded as not run.
  Invalid,     ///< Malformed; a resend does not help.
  Conflict,    ///< Contradicts an earlier call.
  NotFound,    ///< Unknown in the data centre.
  Unavailable, ///< Not executed; it may be sent again.
  Unknown      ///< May have been executed; resend to learn the outcome.
};

/// @brief Names of the statuses, by value.
constexpr std::array<std::string_view, 7>
nameTable(CallStatus /*Status*/) noexcept {
  return {"done",      "refused",     "invalid", "conflict",
          "not found", "unavailable", "unknown"};
}

/// @brief Task in the answer to a caller.
struct TaskView {
  std::uint32_t Ordinal = 0;
  TaskState State = TaskState::Queued;
  std::uint32_t Attempts = 0;
  std::string WorkerName; ///< Worker it is assigned to, or empty.
  std::string Answer;
  std::string Reason;

  static constexpr auto fields() {
    return std::make_tuple(&TaskView::Ordinal, &TaskView::State,
                           &TaskView::Attempts, &TaskView::WorkerName,
                           &TaskView::Answer, &TaskView::Reason);
  }
};

/// @brief Request in the answer to a caller.
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

/// @brief Worker in the answer to an operator.
struct WorkerInfo {
  std::string Name;
  std::string Rack;
  Resources Capacity;
  Resources AssignedResources;
  std::uint32_t TaskCount = 0;
  bool IsDraining = false;  ///< Drains at its own request.
  bool IsDrained = false;   ///< A drain rule applies to it.
  bool IsConfirmed = false; ///< Has reported all attempts to this leader.
  bool IsQuarantined = false;

  static constexpr auto fields() {
    return std::make_tuple(
        &WorkerInfo::Name, &WorkerInfo::Rack, &WorkerInfo::Capacity,
        &WorkerInfo::AssignedResources, &WorkerInfo::TaskCount,
        &WorkerInfo::IsDraining, &WorkerInfo::IsDrained,
        &WorkerInfo::IsConfirmed, &WorkerInfo::IsQuarantined);
  }
};

/// @brief Rules status of one daemon.
struct NodeRulesStatus {
  NodeId Node = 0;
  bool IsCurrent = false;   ///< Has applied the newest revision.
  bool IsReachable = false; ///< Was in contact in the last seconds.

  static constexpr auto fields() {
    return std::make_tuple(&NodeRulesStatus::Node, &NodeRulesStatus::IsCurrent,
                           &NodeRulesStatus::IsReachable);
  }
};

/// @brief State of one group on one daemon.
struct GroupInfo {
  std::string Group;
  std::string Role;
  NodeId Leader = 0;
  Term CurrentTerm = 0;
  LogIndex LastIndex = 0;
  LogIndex CommitIndex = 0;
  bool IsReady = false;
  std::vector<Member> Voters;

  static constexpr auto fields() {
    return std::make_tuple(&GroupInfo::Group, &GroupInfo::Role,
                           &GroupInfo::Leader, &GroupInfo::CurrentTerm,
                           &GroupInfo::LastIndex, &GroupInfo::CommitIndex,
                           &GroupInfo::IsReady, &GroupInfo::Voters);
  }
};

/// @brief Newest rules of the configuration group that one daemon knows.
struct RulesView {
  Revision Number = 0;
  std::string Text;
  /// False if the rules may be outdated, since the daemon has no contact with
  /// the configuration group.
  bool IsCurrent = false;

  static constexpr auto fields() {
    return std::make_tuple(&RulesView::Number, &RulesView::Text,
                           &RulesView::IsCurrent);
  }
};

/// @brief Result of a call; fields that the call does not return are empty.
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
/// @param Reason Explanation for the caller.
/// @return The result.
[[nodiscard]] inline CallResult makeResult(CallStatus Status,
                                           std::string Reason) {
  CallResult Result;
  Result.Status = Status;
  Result.Reason = std::move(Reason);
  return Result;
}

/// @brief Forwards a call to another daemon.
struct ForwardCall {
  std::uint64_t Id = 0; ///< Chosen by the sender, unique there.
  std::uint32_t Hops = 0;
  CallRequest Body;

  static constexpr auto fields() {
    return std::make_tuple(&ForwardCall::Id, &ForwardCall::Hops,
                           &ForwardCall::Body);
  }
};

/// @brief Returns the result of a forwarded call.
struct ForwardResult {
  std::uint64_t Id = 0;
  CallResult Result;

  static constexpr auto fields() {
    return std::make_tuple(&ForwardResult::Id, &ForwardResult::Result);
  }
};

using PeerBody = std::variant<ReplicaMessage, ForwardCall, ForwardResult>;

/// @brief Message between two daemons.
struct PeerMessage {
  NodeId From = 0;
  NodeId To = 0;
  PeerBody Body;

  static constexpr auto fields() {
    return std::make_tuple(&PeerMessage::From, &PeerMessage::To,
                           &PeerMessage::Body);
  }
};

/// @brief Destination of the result of a call.
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
/// @return The message, or nothing if the payload is malformed.
[[nodiscard]] std::optional<PeerMessage>
decodeMessage(std::string_view Payload);

} // namespace mulberryramp
