#pragma once

#include "mulberryramp/node/call.hpp"
#include "mulberryramp/node/hosted_group.hpp"

#include <map>
#include <memory>
#include <vector>

namespace mulberryramp {

/// @brief Rules of the deployment on one daemon, and their changes while this
/// daemon leads the configuration group.
class ConfigService final : public GroupState {
public:
  void onLeadership(const Replica &Member) override;
  void onEntry(const Entry &LogEntry) override;
  void onRestore(const std::string &Data) override;
  [[nodiscard]] std::string snapshotData() const override;

  /// @brief Takes a call; undefined unless the replica is ready.
  void call(Replica &Member, const CallOrigin &Origin, const CallRequest &Body,
            Instant Now, WallTime WallNow);

  /// @brief Takes the finished calls.
  [[nodiscard]] std::vector<CompletedCall> drainCallResults();

  /// @brief Reads the replicated state.
  [[nodiscard]] const RulesState &log() const noexcept { return State; }

private:
  void applyRules(Replica &Member, const CallOrigin &Origin,
                  const RulesApplyCall &Call, WallTime WallNow);
  [[nodiscard]] CallResult history(const RulesHistoryCall &Call) const;
  [[nodiscard]] CallResult status(const Replica &Member, Instant Now) const;

  void stopServing();

  RulesState State;
  Term ServedTerm = 0; ///< Term in which the open calls were taken.
  std::multimap<LogIndex, CallOrigin> OpenCalls;
  std::vector<CompletedCall> Done;
};

} // namespace mulberryramp
