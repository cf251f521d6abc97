#include "mulberryramp/node/node.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace mulberryramp {

namespace internal {

constexpr std::size_t MaxConfigVoters = 5;

/// Orders the nodes with disks as candidates: first the first node of each data
/// centre, then the second ones; within a rank the regions alternate.
std::vector<NodeId> configCandidates(const Settings &Deployment) {
  std::map<std::string, std::size_t> RankInCentre;
  std::map<std::string, std::size_t> RankInRegion;
  std::vector<std::tuple<std::size_t, std::size_t, NodeId>> Ranked;
  for (const NodeSettings &Node : Deployment.Nodes) {
    if (Node.HasDisk) {
      const std::size_t InCentre = RankInCentre[Node.Centre]++;
      const std::size_t InRegion = RankInRegion[Node.Region]++;
      Ranked.emplace_back(InCentre, InRegion, Node.Id);
    }
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<NodeId> Order;
  Order.reserve(Ranked.size());
  for (const auto &[InCentre, InRegion, Id] : Ranked) {
    Order.push_back(Id);
  }
  return Order;
}

} // namespace internal

std::set<NodeId> configVoters(const Settings &Deployment) {
  std::vector<NodeId> Order = internal::configCandidates(Deployment);
  std::size_t Count = std::min(Order.size(), internal::MaxConfigVoters);
  if (Count % 2 == 0 && Count > 1) {
    Count -= 1;
  }
  return {Order.begin(), Order.begin() + static_cast<std::ptrdiff_t>(Count)};
}

std::set<NodeId> centreVoters(const Settings &Deployment,
                              const std::string &Centre) {
  std::set<NodeId> Voters;
  for (const NodeSettings &Node : Deployment.Nodes) {
    if (Node.Centre == Centre || Node.WitnessFor == Centre) {
      Voters.insert(Node.Id);
    }
  }
  return Voters;
}

} // namespace mulberryramp
