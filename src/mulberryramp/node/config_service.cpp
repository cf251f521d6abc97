#include "mulberryramp/node/config_service.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp {

namespace internal {

constexpr Millis ReachableTimeout{3000};

CallResult resultOf(const ChangeRecord &Record) {
  CallResult Result;
  Result.Change = Record;
  if (Record.Verdict == ChangeVerdict::Conflict) {
    Result.Status = CallStatus::Conflict;
    Result.Reason = "revision " + std::to_string(Record.Number) + " of " +
                    Record.Winner + " came first";
  }
  return Result;
}

} // namespace internal

void ConfigService::onLeadership(const Replica &Member) {
  if (Member.Role != ReplicaRole::Leader ||
      Member.Hard.CurrentTerm != ServedTerm) {
    stopServing();
  }
  ServedTerm = Member.Hard.CurrentTerm;
}

void ConfigService::onEntry(const Entry &LogEntry) {
  if (LogEntry.Kind != EntryKind::Command) {
    return;
  }
  const auto Change = decodeChange(LogEntry.Data);
  if (!Change) {
    return;
  }
  const Revision Before = State.Number;
  const ChangeRecord Record = applyChange(State, *Change);
  if (State.Number != Before) {
    State.LastRevisionIndex = LogEntry.Index;
  }
  const auto [Begin, End] = OpenCalls.equal_range(LogEntry.Index);
  for (auto It = Begin; It != End; ++It) {
    CompletedCalls.push_back({It->second, internal::resultOf(Record)});
  }
  OpenCalls.erase(Begin, End);
}

void ConfigService::onRestore(const std::string &Data) {
  State = decodeRulesState(Data).value_or(RulesState{});
}

std::string ConfigService::snapshotData() const {
  return encodeRulesState(State);
}

void ConfigService::applyRules(Replica &Member, const CallOrigin &Origin,
                               const RulesApplyCall &Call, WallTime WallNow) {
  const auto Parsed = parseRules("rules", Call.Text);
  if (!Parsed) {
    CompletedCalls.push_back(
        {Origin, makeResult(CallStatus::Invalid, Parsed.error().render())});
    return;
  }
  RulesChange Change = makeChange(State, Call.Base, Call.Text);
  Change.ChangeKey = Call.ChangeKey;
  Change.Operator = Call.Operator;
  Change.At = WallNow;
  const auto Index = propose(Member, encodeChange(Change));
  if (!Index) {
    CompletedCalls.push_back(
        {Origin, makeResult(CallStatus::Unavailable,
                            "leadership is being handed over")});
    return;
  }
  OpenCalls.emplace(*Index, Origin);
}

CallResult ConfigService::history(const RulesHistoryCall &Call) const {
  CallResult Result;
  const std::size_t Count =
      std::min<std::size_t>(Call.MaxCount, State.History.size());
  Result.History.assign(State.History.end() -
                            static_cast<std::ptrdiff_t>(Count),
                        State.History.end());
  return Result;
}

CallResult ConfigService::status(const Replica &Member, Instant Now) const {
  CallResult Result;
  Result.Rules = RulesView{State.Number, "", true};
  Result.RulesStatus.push_back({Member.Self.Node, true, true});
  for (const auto &[Id, Peer] : Member.Peers) {
    Result.RulesStatus.push_back(
        {Id.Node, Peer.LastApplied >= State.LastRevisionIndex,
         Now - Peer.LastContactAt < internal::ReachableTimeout});
  }
  return Result;
}

void ConfigService::call(Replica &Member, const CallOrigin &Origin,
                         const CallRequest &Body, Instant Now,
                         WallTime WallNow) {
  if (const auto *Apply = std::get_if<RulesApplyCall>(&Body)) {
    applyRules(Member, Origin, *Apply, WallNow);
  } else if (const auto *History = std::get_if<RulesHistoryCall>(&Body)) {
    CompletedCalls.push_back({Origin, history(*History)});
  } else {
    CompletedCalls.push_back({Origin, status(Member, Now)});
  }
}

void ConfigService::stopServing() {
  for (const auto &[Index, Origin] : OpenCalls) {
    CompletedCalls.push_back(
        {Origin,
         makeResult(CallStatus::Unknown, "the leader changed; send the change "
                                         "again under the same key")});
  }
  OpenCalls.clear();
}

std::vector<CompletedCall> ConfigService::drainCallResults() {
  return std::exchange(CompletedCalls, {});
}

} // namespace mulberryramp
