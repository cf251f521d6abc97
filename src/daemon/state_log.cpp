#include "daemon/state_log.hpp"

#include <glog/logging.h>

namespace mulberryramp {

void StateLog::logChanges(const Node &Core, Instant Now) {
  for (const GroupInfo &Info : Core.groups(Now)) {
    GroupState &Last = Groups[Info.Group];
    const bool IsUnchanged = Last.Role == Info.Role &&
                             Last.Leader == Info.Leader &&
                             Last.Voters == Info.Voters.size();
    if (IsUnchanged) {
      continue;
    }
    Last = {Info.Role, Info.Leader, Info.Voters.size()};
    LOG(INFO) << "group=" << Info.Group << " role=" << Info.Role
              << " leader=" << Info.Leader << " term=" << Info.CurrentTerm
              << " voters=" << Info.Voters.size();
  }
  if (Core.rules().Number != Rules) {
    Rules = Core.rules().Number;
    LOG(INFO) << "rules revision=" << Rules << " is active";
  }
  if (Core.centre().isServing() != IsServing) {
    IsServing = Core.centre().isServing();
    LOG(INFO) << "serving=" << (IsServing ? "yes" : "no");
  }
  if (Core.centre().ledger().Workers.size() != Workers) {
    Workers = Core.centre().ledger().Workers.size();
    LOG(INFO) << "workers=" << Workers;
  }
}

} // namespace mulberryramp
