#include "mulberryramp/cell/relay.hpp"

#include <utility>

namespace mulberryramp {

namespace {

/// Tells whether a call is an operation of a caller on a job.
bool isJobCall(const CellCall &Body, JobVerb Verb) {
  const auto *Job = std::get_if<JobCall>(&Body);
  return Job != nullptr && Job->Verb == Verb;
}

CellReply makeUnknownReply() {
  CellReply Reply;
  Reply.Verdict = CellVerdict::Unknown;
  Reply.Text = "sent more than once; an earlier one may have taken effect";
  return Reply;
}

} // namespace

CallRelay::CallRelay(NodeId Self, const std::vector<NodeId> &Seeds, Instant Now,
                     std::uint64_t FirstId)
    : Self{Self}, LeaderLostAt{Now}, NextId{FirstId} {
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

bool CallRelay::isContradicted(const OpenCall &Call, const CellReply &Reply) {
  if (!Call.EarlierMayHaveActed) {
    return false;
  }
  const bool IsSubmission = isJobCall(Call.Body, JobVerb::Submit);
  switch (Reply.Verdict) {
  case CellVerdict::Refused:
  case CellVerdict::NotFound:
  case CellVerdict::Unauthenticated:
  case CellVerdict::Overloaded:
    return IsSubmission || isJobCall(Call.Body, JobVerb::Cancel);
  case CellVerdict::Gone:
    // The proper answer to a cancel of a job that no longer exists.
    return IsSubmission;
  case CellVerdict::Done:
  case CellVerdict::Unknown:
    break;
  }
  return false;
}

void CallRelay::finish(std::uint64_t Id, CellReply Reply) {
  const auto CallIt = OpenCalls.find(Id);
  Replies.push_back({CallIt->second.CallId, std::move(Reply)});
  OpenCalls.erase(CallIt);
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
  for (auto &[Id, Call] : OpenCalls) {
    Call.EarlierMayHaveActed = Call.mayHaveActed();
    submit(Id, Call, Now);
  }
}

void CallRelay::receive(NodeId From, const NodeWelcome &Welcome, Instant Now) {
  addNodes(Welcome.Voters);
  if (Welcome.Leader != From) {
    // A follower may know an outdated leader. Its answer only adds that
    // leader to the nodes that get hellos.
    if (Welcome.Leader != 0 && Leader == 0) {
      addNodes({Welcome.Leader});
    }
    return;
  }
  IsConfigured = Welcome.IsConfigured;
  setLeader(From, Now);
}

void CallRelay::receive(NodeId From, const RelayedReply &Reply, Instant Now) {
  const auto CallIt = OpenCalls.find(Reply.Id);
  if (CallIt == OpenCalls.end()) {
    return;
  }
  if (Reply.IsLeading) {
    setLeader(From, Now);
    finish(Reply.Id, isContradicted(CallIt->second, Reply.Reply)
                         ? makeUnknownReply()
                         : Reply.Reply);
    return;
  }
  CallIt->second.IsSent = false;
  CallIt->second.EarlierMayHaveActed =
      CallIt->second.EarlierMayHaveActed || Reply.MayHaveActed;
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
  if (Leader != 0 && Now - LastLeaderContactAt > LeaderTimeout) {
    clearLeader(Now);
  }
  sendHellos(Now);
  std::vector<std::uint64_t> ExpiredCalls;
  for (auto &[Id, Call] : OpenCalls) {
    if (isExpired(Call, Now)) {
      ExpiredCalls.push_back(Id);
    } else if (!Call.IsSent || Now - Call.SentAt >= RelayRetryInterval) {
      Call.EarlierMayHaveActed = Call.mayHaveActed();
      submit(Id, Call, Now);
    }
  }
  for (const std::uint64_t Id : ExpiredCalls) {
    const OpenCall &Call = OpenCalls[Id];
    CellReply Reply;
    Reply.Verdict =
        Call.mayHaveActed() ? CellVerdict::Unknown : CellVerdict::Refused;
    Reply.Text = "no leader answered in time";
    finish(Id, std::move(Reply));
  }
}

std::vector<CellMessage> CallRelay::drainMessages() {
  return std::exchange(Outbox, {});
}

std::vector<LocalReply> CallRelay::drainReplies() {
  return std::exchange(Replies, {});
}

bool CallRelay::hasRecentLeader(Instant Now) const noexcept {
  return IsConfigured && Now - LastLeaderContactAt <= ReadinessTimeout;
}

} // namespace mulberryramp
