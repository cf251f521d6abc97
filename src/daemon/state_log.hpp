#pragma once

#include "mulberryramp/node/node.hpp"

#include <map>
#include <string>

namespace mulberryramp {

/// @brief Logs changes of the state of a daemon: groups, active rules, service
/// and number of workers.
class StateLog {
public:
  /// @brief Compares the state with the last call and logs the differences.
  /// @param Core The node of the daemon.
  /// @param Now Current monotonic time.
  void logChanges(const Node &Core, Instant Now);

private:
  struct GroupState {
    std::string Role;
    NodeId Leader = 0;
    std::size_t Voters = 0;
  };

  std::map<std::string, GroupState> Groups;
  Revision Rules = 0;
  std::size_t Workers = 0;
  bool IsServing = false;
};

} // namespace mulberryramp
