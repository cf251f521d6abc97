#pragma once

#include "mulberryramp/node/node.hpp"

#include <map>
#include <string>

namespace mulberryramp {

/// @brief Writes a log line for each change of a daemon's state, and none
/// while nothing changes.
class StateLog {
public:
  /// @brief Compares the present state with the last one.
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
