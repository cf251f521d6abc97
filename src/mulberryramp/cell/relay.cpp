#include "mulberryramp/cell/relay.hpp"

#include <utility>

namespace mulberryramp {

CallRelay::CallRelay(NodeId Self, const std::vector<NodeId> &Seeds, Instant Now)
    : Self{Self}, LeaderLostAt{Now} {
  addNodes(Seeds);
}

void CallRelay::addNodes(const std::vector<NodeId> &Nodes) {
  KnownNodes.insert(Nodes.begin(), Nodes.end());
  KnownNodes.erase(0);
}

void CallRelay::send(NodeId To, CellBody Body) {
  Outbox.push_back({Self, To, std::move(Body)});
}

void CallRelay::submit(std::uint64_t Id, OpenCall &Call, Instant Now) {
  if (Leader == 0) {
    return;
  }
  Call.IsSent = true;
  Call.SentAt = Now;
  send(Leader, RelayedCall{Id, Call.Body});
}

void CallRelay::call(std::uint64_t CallId, CellCall Body, Instant Now) {
  const std::uint64_t Id = NextId;
  NextId += 1;
  OpenCall &Call = OpenCalls[Id];
  Call.CallId = CallId;
  Call.Body = std::move(Body);
  Call.ReceivedAt = Now;
  submit(Id, Call, Now);
}

void CallRelay::finish(std::uint64_t Id, CellReply Reply) {
  const auto Found = OpenCalls.find(Id);
  Replies.push_back({Found->second.CallId, std::move(Reply)});
  OpenCalls.erase(Found);
}

void CallRelay::setLeader(NodeId Node, Instant Now) {
  if (Node == 0) {
    return;
  }
  LastLeaderContactAt = Now;
  if (Node == Leader) {
    return;
  }
  Leader = Node;
  for (auto &[Id, Item] : OpenCalls) {
    Item.EarlierMayHaveActed = Item.mayHaveActed();
    submit(Id, Item, Now);
  }
}

void CallRelay::receive(NodeId From, const NodeWelcome &Welcome, Instant Now) {
  addNodes(Welcome.Voters);
  if (Welcome.Leader != From) {
    // Another node's view may be old: it tells only whom to greet next.
    if (Welcome.Leader != 0 && Leader == 0) {
      addNodes({Welcome.Leader});
    }
    return;
  }
  IsConfigured = Welcome.IsConfigured;
  setLeader(From, Now);
}

void CallRelay::receive(NodeId From, const RelayedReply &Reply, Instant Now) {
  const auto Found = OpenCalls.find(Reply.Id);
  if (Found == OpenCalls.end()) {
    return;
  }
  if (Reply.IsLeading) {
    setLeader(From, Now);
    finish(Reply.Id, Reply.Reply);
    return;
  }
  Found->second.IsSent = false;
  Found->second.EarlierMayHaveActed =
      Found->second.EarlierMayHaveActed || Reply.MayHaveActed;
  if (From == Leader) {
    clearLeader(Now);
  }
}

void CallRelay::clearLeader(Instant Now) {
  Leader = 0;
  LeaderLostAt = Now;
  NextHelloAt = Now;
}

bool CallRelay::isExpired(const OpenCall &Call, Instant Now) const {
  return Now - Call.ReceivedAt >= RelayTimeout ||
         (Leader == 0 && Now - LeaderLostAt >= NoLeaderTimeout);
}

void CallRelay::sendHellos(Instant Now) {
  if (Now < NextHelloAt) {
    return;
  }
  NextHelloAt = Now + (Leader == 0 ? LeaderSearchInterval : HelloInterval);
  const bool IncludesOthers = Leader == 0 || Now >= NextFollowerHelloAt;
  if (IncludesOthers) {
    NextFollowerHelloAt = Now + FollowerHelloInterval;
  }
  for (const NodeId Node : KnownNodes) {
    if (Node == Leader || IncludesOthers) {
      send(Node, NodeHello{});
    }
  }
}

void CallRelay::tick(Instant Now) {
  if (Leader != 0 && Now - LastLeaderContactAt > LeaderLostAfter) {
    clearLeader(Now);
  }
  sendHellos(Now);
  std::vector<std::uint64_t> Ended;
  for (auto &[Id, Item] : OpenCalls) {
    if (isExpired(Item, Now)) {
      Ended.push_back(Id);
    } else if (!Item.IsSent || Now - Item.SentAt >= RelayRetryEvery) {
      Item.EarlierMayHaveActed = Item.mayHaveActed();
      submit(Id, Item, Now);
    }
  }
  for (const std::uint64_t Id : Ended) {
    const OpenCall &Call = OpenCalls[Id];
    CellReply Reply;
    Reply.Verdict =
        Call.mayHaveActed() ? CellVerdict::Unknown : CellVerdict::Refused;
    Reply.Text = "no leader answered in time";
    finish(Id, std::move(Reply));
  }
}

std::vector<CellMessage> CallRelay::takeMessages() {
  return std::exchange(Outbox, {});
}

std::vector<LocalReply> CallRelay::takeReplies() {
  return std::exchange(Replies, {});
}

bool CallRelay::hasRecentLeader(Instant Now) const noexcept {
  return IsConfigured && Now - LastLeaderContactAt <= ReadinessTimeout;
}

} // namespace mulberryramp
