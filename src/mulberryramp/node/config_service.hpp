#pragma once

#include "mulberryramp/node/call.hpp"
#include "mulberryramp/node/hosted_group.hpp"

#include <map>
#include <memory>
#include <vector>

namespace mulberryramp {

/// @brief Service of the configuration group on one daemon.
///
/// It applies the group's log to the rules of the deployment on every member.
/// While this daemon leads the group, it also executes calls on the rules.
class ConfigService final : public GroupState {
public:
  void onLeadership(const Replica &Member) override;
  void onEntry(const Entry &LogEntry) override;
  void onRestore(const std::string &Data) override;
  [[nodiscard]] std::string snapshotData() const override;

  /// @brief Executes a call; undefined unless the replica can serve as leader.
  void call(Replica &Member, const CallOrigin &Origin, const CallRequest &Body,
            Instant Now, WallTime WallNow);

  /// @brief Moves out the finished calls.
  [[nodiscard]] std::vector<CompletedCall> drainCallResults();

  /// @brief Returns the replicated rules.
  [[nodiscard]] const RulesState &rulesState() const noexcept { return State; }

private:
  void applyRules(Replica &Member, const CallOrigin &Origin,
                  const RulesApplyCall &Call, WallTime WallNow);
  [[nodiscard]] CallResult history(const RulesHistoryCall &Call) const;
  [[nodiscard]] CallResult status(const Replica &Member, Instant Now) const;

  void stopServing();

  RulesState State;
  Term ServedTerm = 0; ///< Term of the open calls.
  std::multimap<LogIndex, CallOrigin> OpenCalls;
  std::vector<CompletedCall> CompletedCalls;
};

} // namespace mulberryramp
