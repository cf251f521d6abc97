#include "mulberryramp/node/node.hpp"

#include "mulberryramp/core/names.hpp"
#include "mulberryramp/node/config_service.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace mulberryramp {

namespace internal {

constexpr int MaxRoundsPerStep = 4;
constexpr Millis RulesCurrentTimeout{3000};

Millis waitOf(const CallRequest &Body) {
  const auto *Status = std::get_if<StatusCall>(&Body);
  return Status == nullptr ? Millis{0} : std::min(Status->Wait, MaxCallWait);
}

std::string homeOfCall(const CallRequest &Body,
                       const std::vector<std::string> &Centres) {
  return std::visit(
      [&Centres](const auto &Call) -> std::string {
        if constexpr (requires { Call.Spec.Key; }) {
          return Call.Home.empty()
                     ? homeOf(Centres, Call.Spec.Customer, Call.Spec.Key)
                     : Call.Home;
        } else if constexpr (requires { Call.Key; }) {
          return Call.Home.empty() ? homeOf(Centres, Call.Customer, Call.Key)
                                   : Call.Home;
        } else if constexpr (requires { Call.Home; }) {
          return Call.Home;
        } else {
          return {};
        }
      },
      Body);
}

bool isRulesCall(const CallRequest &Body) {
  return std::holds_alternative<RulesApplyCall>(Body) ||
         std::holds_alternative<RulesHistoryCall>(Body) ||
         std::holds_alternative<RulesStatusCall>(Body);
}

ReplicaOptions centreOptions(const Settings &Deployment,
                             const std::string &Centre) {
  ReplicaOptions Options;
  Options.HeartbeatInterval = Deployment.Timing.Heartbeat;
  Options.ElectionTimeoutMin = Deployment.Timing.ElectionTimeoutMin;
  Options.ElectionTimeoutMax = Deployment.Timing.ElectionTimeoutMax;
  Options.SnapshotThreshold = Deployment.Timing.SnapshotThreshold;
  Options.VoterNodes = centreVoters(Deployment, Centre);
  for (const NodeSettings &Node : Deployment.Nodes) {
    if (Node.WitnessFor == Centre) {
      Options.WitnessNodes.insert(Node.Id);
    }
  }
  return Options;
}

ReplicaOptions configOptions(const Settings &Deployment) {
  ReplicaOptions Options;
  Options.HeartbeatInterval = Deployment.Timing.ConfigHeartbeat;
  Options.ElectionTimeoutMin = Deployment.Timing.ConfigHeartbeat * 3;
  Options.ElectionTimeoutMax = Deployment.Timing.ConfigHeartbeat * 6;
  Options.JoinInterval = Deployment.Timing.ConfigHeartbeat;
  Options.SnapshotThreshold = Deployment.Timing.SnapshotThreshold;
  Options.PersistsCommitIndex = true;
  Options.AllowsUnsafeRecovery = Deployment.AllowsUnsafeConfigRecovery;
  Options.VoterNodes = configVoters(Deployment);
  return Options;
}

std::vector<Member> initialVoters(const Settings &Deployment,
                                  const std::set<NodeId> &Voters,
                                  const std::string &Centre) {
  constexpr std::uint64_t BootstrapIncarnation = 1;
  std::vector<Member> BootstrapVoters;
  for (const NodeSettings &Node : Deployment.Nodes) {
    const bool IsInCentre = Centre.empty() || Node.Centre == Centre;
    if (Node.HasDisk && IsInCentre && Voters.contains(Node.Id)) {
      BootstrapVoters.push_back({Node.Id, BootstrapIncarnation});
    }
  }
  return BootstrapVoters;
}

/// Call forwarded to another daemon, until its result arrives.
struct ForwardedCall {
  CallOrigin Origin;
  CallRequest Body;
  std::uint32_t Hops = 0;
  NodeId To = 0;
  Instant Deadline;
  Instant RetryAt;        ///< Valid while `IsWaiting`.
  bool IsWaiting = false; ///< Waits to be forwarded again.
  std::string LastReason;
};

} // namespace internal

struct Node::Impl {
  Impl(const Settings &Deployment, Member Self)
      : Deployment{Deployment}, Self{Self}, Centres{centresOf(Deployment)} {}

  [[nodiscard]] StorageStatus hostAll(FileSystem *Files, std::uint64_t Seed,
                                      Instant Now);
  [[nodiscard]] StorageStatus host(const std::string &Name,
                                   ReplicaOptions Options, GroupState &State,
                                   FileSystem *Files, std::uint64_t Seed,
                                   Instant Now);
  void addCentre(const std::string &Centre);

  void route(const CallOrigin &Origin, CallRequest Body, std::uint32_t Hops,
             Instant Now, WallTime WallNow);
  [[nodiscard]] std::optional<CallResult> answerLocally(const CallRequest &Body,
                                                        Instant Now) const;
  bool tryServeLocally(const std::string &Group, const CallOrigin &Origin,
                       const CallRequest &Body, Instant Now, WallTime WallNow);
  [[nodiscard]] NodeId nextHop(const std::string &Group);
  void forwardCall(std::uint64_t Id, internal::ForwardedCall &Call,
                   Instant Now);
  void finish(const CallOrigin &Origin, CallResult Result);
  void handleForwardResult(const ForwardResult &Result, Instant Now);
  [[nodiscard]] bool hasNewLeader(const internal::ForwardedCall &Call) const;
  void tickForwardedCalls(Instant Now, WallTime WallNow);
  void collectOutput();
  [[nodiscard]] tl::expected<bool, StorageError> saveAll();
  void updateReportedIndex();
  void tickGroups(Instant Now, WallTime WallNow);
  [[nodiscard]] std::string groupOf(const CallRequest &Body) const;

  Settings Deployment;
  Member Self;
  std::vector<std::string> Centres;
  std::string OwnCentre;
  ConfigService Config;
  std::map<std::string, std::unique_ptr<CentreService>> Services;
  std::map<std::string, std::unique_ptr<HostedGroup>> Groups;
  std::map<std::uint64_t, internal::ForwardedCall> ForwardedCalls;
  std::map<std::string, std::size_t> Rotation;
  /// Starts at random: results for a former process instance must not match
  /// calls of this one.
  std::uint64_t NextForwardId = 0;
  bool IsShuttingDown = false;
  NodeCounters Counters;
  NodeOutput Output;
};

Node::Node(std::unique_ptr<Impl> Pimpl) : Pimpl{std::move(Pimpl)} {}
Node::~Node() = default;

StorageStatus Node::Impl::host(const std::string &Name, ReplicaOptions Options,
                               GroupState &State, FileSystem *Files,
                               std::uint64_t Seed, Instant Now) {
  StoredGroup Stored;
  std::optional<GroupStore> Store;
  if (Files != nullptr) {
    auto Opened = GroupStore::open(*Files, "group-" + Name, Stored);
    if (!Opened) {
      return tl::make_unexpected(Opened.error());
    }
    Store = std::move(*Opened);
  }
  Replica Member = startReplica(Name, Self, std::move(Options),
                                std::move(Stored), Seed, Now);
  Groups[Name] =
      std::make_unique<HostedGroup>(std::move(Member), std::move(Store), State);
  return {};
}

void Node::Impl::addCentre(const std::string &Centre) {
  CentreOptions Options;
  Options.Centre = Centre;
  Options.CentreCount = Centres.size();
  Options.CentreIndex = static_cast<std::size_t>(
      std::find(Centres.begin(), Centres.end(), Centre) - Centres.begin());
  Options.WorkerLease = Deployment.Timing.WorkerLease;
  Options.WorkerWait = Deployment.Timing.WorkerWait;
  Services[Centre] = std::make_unique<CentreService>(std::move(Options));
}

StorageStatus Node::Impl::hostAll(FileSystem *Files, std::uint64_t Seed,
                                  Instant Now) {
  const NodeSettings &OwnSettings = *findNode(Deployment, Self.Node);
  OwnCentre = OwnSettings.Centre;
  addCentre(OwnCentre);
  if (!OwnSettings.WitnessFor.empty()) {
    addCentre(OwnSettings.WitnessFor);
  }
  Random Rng{Seed};
  NextForwardId = Rng.next() >> 1U;
  for (const auto &[Centre, Service] : Services) {
    auto Hosted = host(Centre, internal::centreOptions(Deployment, Centre),
                       *Service, Files, Rng.next(), Now);
    if (!Hosted) {
      return Hosted;
    }
  }
  return host(ConfigGroup, internal::configOptions(Deployment), Config, Files,
              Rng.next(), Now);
}

tl::expected<std::unique_ptr<Node>, StorageError>
Node::start(const Settings &Deployment, FileSystem *Files,
            std::uint64_t Incarnation, std::uint64_t Seed, Instant Now) {
  auto Pimpl =
      std::make_unique<Impl>(Deployment, Member{Deployment.Self, Incarnation});
  if (auto Hosted = Pimpl->hostAll(Files, Seed, Now); !Hosted) {
    return tl::make_unexpected(Hosted.error());
  }
  return std::unique_ptr<Node>{new Node{std::move(Pimpl)}};
}

StorageStatus Node::bootstrap(const Settings &Deployment, FileSystem &Files) {
  const NodeSettings &OwnSettings = *findNode(Deployment, Deployment.Self);
  std::map<std::string, std::vector<Member>> BootstrapVoters;
  BootstrapVoters[OwnSettings.Centre] = internal::initialVoters(
      Deployment, centreVoters(Deployment, OwnSettings.Centre),
      OwnSettings.Centre);
  const std::set<NodeId> Config = configVoters(Deployment);
  if (Config.contains(OwnSettings.Id)) {
    BootstrapVoters[ConfigGroup] =
        internal::initialVoters(Deployment, Config, "");
  }
  for (auto &[Name, Members] : BootstrapVoters) {
    StoredGroup Stored;
    auto Store = GroupStore::open(Files, "group-" + Name, Stored);
    if (!Store) {
      return tl::make_unexpected(Store.error());
    }
    PersistBatch Batch;
    Batch.NewSnapshot = bootstrapGroup(Members).LatestSnapshot;
    if (auto Written = Store->write(Batch); !Written) {
      return Written;
    }
  }
  return {};
}

std::string Node::Impl::groupOf(const CallRequest &Body) const {
  if (internal::isRulesCall(Body)) {
    return ConfigGroup;
  }
  std::string Home = internal::homeOfCall(Body, Centres);
  return Home.empty() ? OwnCentre : Home;
}

std::optional<CallResult> Node::Impl::answerLocally(const CallRequest &Body,
                                                    Instant Now) const {
  const Replica &Config = Groups.at(ConfigGroup)->replica();
  if (std::holds_alternative<RulesShowCall>(Body)) {
    CallResult Result;
    const bool IsCurrent = canServeAsLeader(Config, Now) ||
                           (Config.Leader && Now - Config.LastLeaderContactAt <
                                                 internal::RulesCurrentTimeout);
    Result.Rules = RulesView{this->Config.rulesState().Number,
                             this->Config.rulesState().Text, IsCurrent};
    return Result;
  }
  const std::string Group = groupOf(Body);
  const bool IsKnown =
      Group == ConfigGroup ||
      std::find(Centres.begin(), Centres.end(), Group) != Centres.end();
  if (!IsKnown) {
    return makeResult(CallStatus::Invalid, "no data centre " + Group);
  }
  return std::nullopt;
}

bool Node::Impl::tryServeLocally(const std::string &Group,
                                 const CallOrigin &Origin,
                                 const CallRequest &Body, Instant Now,
                                 WallTime WallNow) {
  const auto It = Groups.find(Group);
  if (It == Groups.end() || !canServeAsLeader(It->second->replica(), Now)) {
    return false;
  }
  Replica &Member = It->second->replica();
  if (Group == ConfigGroup) {
    Config.call(Member, Origin, Body, Now, WallNow);
    return true;
  }
  CentreService &Service = *Services.at(Group);
  if (!Service.isServing()) {
    return false;
  }
  Service.call(Member, Origin, Body, Now, WallNow);
  return true;
}

NodeId Node::Impl::nextHop(const std::string &Group) {
  const auto It = Groups.find(Group);
  if (It != Groups.end()) {
    const auto &Leader = It->second->replica().Leader;
    const bool IsUsable = Leader && Leader->Node != Self.Node;
    return IsUsable ? Leader->Node : 0;
  }
  std::vector<NodeId> Choices;
  for (const NodeSettings &Node : Deployment.Nodes) {
    if (Node.Centre == Group) {
      Choices.push_back(Node.Id);
    }
  }
  if (Choices.empty()) {
    return 0;
  }
  std::size_t &Turn = Rotation[Group];
  Turn += 1;
  return Choices[Turn % Choices.size()];
}

void Node::Impl::finish(const CallOrigin &Origin, CallResult Result) {
  if (Origin.Node == 0) {
    Output.Results.push_back({Origin.Id, std::move(Result)});
    return;
  }
  Output.Messages.push_back(
      {Self.Node, Origin.Node, ForwardResult{Origin.Id, std::move(Result)}});
}

void Node::Impl::route(const CallOrigin &Origin, CallRequest Body,
                       std::uint32_t Hops, Instant Now, WallTime WallNow) {
  if (auto Result = answerLocally(Body, Now)) {
    finish(Origin, std::move(*Result));
    return;
  }
  if (tryServeLocally(groupOf(Body), Origin, Body, Now, WallNow)) {
    return;
  }
  if (Hops >= MaxHops) {
    finish(Origin, makeResult(CallStatus::Unavailable,
                              groupOf(Body) + " has no leader here"));
    return;
  }
  internal::ForwardedCall Call;
  Call.Origin = Origin;
  Call.Deadline = Now + ForwardTimeout + internal::waitOf(Body);
  Call.Body = std::move(Body);
  Call.Hops = Hops;
  const std::uint64_t Id = NextForwardId;
  NextForwardId += 1;
  auto &Stored = ForwardedCalls[Id] = std::move(Call);
  forwardCall(Id, Stored, Now);
}

void Node::Impl::forwardCall(std::uint64_t Id, internal::ForwardedCall &Call,
                             Instant Now) {
  Call.To = nextHop(groupOf(Call.Body));
  Call.IsWaiting = Call.To == 0;
  if (Call.IsWaiting) {
    Call.RetryAt = Now + ForwardRetryInterval;
    Call.LastReason = groupOf(Call.Body) + " has no leader that is known here";
    return;
  }
  Counters.CallsForwarded += 1;
  Output.Messages.push_back(
      {Self.Node, Call.To, ForwardCall{Id, Call.Hops + 1, Call.Body}});
}

void Node::Impl::handleForwardResult(const ForwardResult &Result, Instant Now) {
  const auto It = ForwardedCalls.find(Result.Id);
  if (It == ForwardedCalls.end()) {
    return;
  }
  internal::ForwardedCall &Call = It->second;
  const bool MayRetry = Result.Result.Status == CallStatus::Unavailable &&
                        Call.Hops == 0 && !IsShuttingDown &&
                        Now + ForwardRetryInterval < Call.Deadline;
  if (MayRetry) {
    Call.IsWaiting = true;
    Call.RetryAt = Now + ForwardRetryInterval;
    Call.LastReason = Result.Result.Reason;
    return;
  }
  finish(Call.Origin, Result.Result);
  ForwardedCalls.erase(It);
}

/// Tells whether a call has to be forwarded again, to a new leader. This is
/// safe: the identity of a call prevents a second execution.
bool Node::Impl::hasNewLeader(const internal::ForwardedCall &Call) const {
  const auto It = Groups.find(groupOf(Call.Body));
  if (Call.IsWaiting || It == Groups.end()) {
    return false;
  }
  const auto &Leader = It->second->replica().Leader;
  return Leader && Leader->Node != Call.To;
}

void Node::Impl::tickForwardedCalls(Instant Now, WallTime WallNow) {
  std::vector<std::uint64_t> Due;
  for (const auto &[Id, Call] : ForwardedCalls) {
    if (Now >= Call.Deadline || (Call.IsWaiting && Now >= Call.RetryAt) ||
        hasNewLeader(Call)) {
      Due.push_back(Id);
    }
  }
  for (const std::uint64_t Id : Due) {
    internal::ForwardedCall &Call = ForwardedCalls.at(Id);
    if (Now >= Call.Deadline) {
      Counters.ForwardTimeouts += 1;
      CallResult Result =
          Call.IsWaiting ? makeResult(CallStatus::Unavailable, Call.LastReason)
                         : makeResult(CallStatus::Unknown,
                                      "no answer from " + groupOf(Call.Body) +
                                          "; ask again under the same key");
      finish(Call.Origin, std::move(Result));
      ForwardedCalls.erase(Id);
      continue;
    }
    Counters.ForwardRetries += 1;
    if (tryServeLocally(groupOf(Call.Body), Call.Origin, Call.Body, Now,
                        WallNow)) {
      ForwardedCalls.erase(Id);
    } else {
      forwardCall(Id, Call, Now);
    }
  }
}

void Node::Impl::collectOutput() {
  for (CompletedCall &Done : Config.drainCallResults()) {
    finish(Done.Origin, std::move(Done.Result));
  }
  for (auto &[Centre, Service] : Services) {
    for (CompletedCall &Done : Service->drainCallResults()) {
      finish(Done.Origin, std::move(Done.Result));
    }
    for (CompletedPoll &Done : Service->drainPollReplies()) {
      Output.Polls.push_back(std::move(Done));
    }
  }
  for (auto &[Name, Group] : Groups) {
    for (ReplicaMessage &Message : Group->replica().Outbox) {
      const NodeId To = Message.To.Node;
      Output.Messages.push_back({Self.Node, To, std::move(Message)});
    }
    Group->replica().Outbox.clear();
  }
}

tl::expected<bool, StorageError> Node::Impl::saveAll() {
  bool HasSaved = false;
  for (auto &[Name, Group] : Groups) {
    auto Saved = Group->save();
    if (!Saved) {
      return Saved;
    }
    Counters.Saves += *Saved ? 1 : 0;
    HasSaved = HasSaved || *Saved;
  }
  return HasSaved;
}

/// Reports the newest rules as applied on this node only once they are active
/// in its own data centre.
void Node::Impl::updateReportedIndex() {
  for (auto &[Name, Group] : Groups) {
    Group->replica().ReportedApplied = Group->replica().LastApplied;
  }
  const RulesState &Newest = Config.rulesState();
  if (Services.at(OwnCentre)->ledger().RulesNumber < Newest.Number) {
    Groups.at(ConfigGroup)->replica().ReportedApplied =
        Newest.LastRevisionIndex - 1;
  }
}

void Node::Impl::tickGroups(Instant Now, WallTime WallNow) {
  updateReportedIndex();
  for (auto &[Name, Group] : Groups) {
    mulberryramp::tick(Group->replica(), Now);
    (void)Group->applyCommitted();
    if (const auto Service = Services.find(Name); Service != Services.end()) {
      Service->second->tick(Group->replica(), Config.rulesState(), Now,
                            WallNow);
    }
    if (Group->replica().Role == ReplicaRole::Leader) {
      mulberryramp::tick(Group->replica(), Now);
    }
  }
}

void Node::receive(const PeerMessage &Message, Instant Now, WallTime WallNow) {
  Pimpl->Counters.MessagesIn += 1;
  if (const auto *Body = std::get_if<ReplicaMessage>(&Message.Body)) {
    const auto It = Pimpl->Groups.find(Body->Group);
    if (It != Pimpl->Groups.end()) {
      mulberryramp::receive(It->second->replica(), Now, *Body);
    }
  } else if (const auto *Call = std::get_if<ForwardCall>(&Message.Body)) {
    Pimpl->route({Message.From, Call->Id}, Call->Body, Call->Hops, Now,
                 WallNow);
  } else if (const auto *Done = std::get_if<ForwardResult>(&Message.Body)) {
    Pimpl->handleForwardResult(*Done, Now);
  }
}

void Node::call(std::uint64_t CallId, CallRequest Body, Instant Now,
                WallTime WallNow) {
  Pimpl->Counters.CallsReceived += 1;
  if (Pimpl->IsShuttingDown) {
    Pimpl->finish({0, CallId},
                  makeResult(CallStatus::Unavailable, "the daemon is leaving"));
    return;
  }
  if (std::holds_alternative<NodeStatusCall>(Body)) {
    CallResult Result;
    Result.Groups = groups(Now);
    Pimpl->finish({0, CallId}, std::move(Result));
    return;
  }
  Pimpl->route({0, CallId}, std::move(Body), 0, Now, WallNow);
}

void Node::poll(std::uint64_t PollId, const WorkerPoll &Poll, Instant Now,
                WallTime WallNow) {
  HostedGroup &Group = *Pimpl->Groups.at(Pimpl->OwnCentre);
  CentreService &Service = *Pimpl->Services.at(Pimpl->OwnCentre);
  if (Service.isServing() && canServeAsLeader(Group.replica(), Now)) {
    Service.poll(Group.replica(), PollId, Poll, Now, WallNow);
    return;
  }
  WorkerReply Reply;
  Reply.Verdict = PollVerdict::NotLeader;
  const auto &Leader = Group.replica().Leader;
  const NodeSettings *Node =
      Leader ? findNode(Pimpl->Deployment, Leader->Node) : nullptr;
  if (Node != nullptr && Node->Id != Pimpl->Self.Node) {
    Reply.Leader = render(Node->Http);
  }
  Pimpl->Output.Polls.push_back({PollId, std::move(Reply), Instant::max()});
}

void Node::cancelPoll(std::uint64_t PollId) {
  for (auto &[Centre, Service] : Pimpl->Services) {
    Service->cancelPoll(PollId);
  }
}

tl::expected<NodeOutput, StorageError> Node::step(Instant Now,
                                                  WallTime WallNow) {
  for (int Round = 0; Round < internal::MaxRoundsPerStep; ++Round) {
    Pimpl->tickGroups(Now, WallNow);
    const auto Saved = Pimpl->saveAll();
    if (!Saved) {
      return tl::make_unexpected(Saved.error());
    }
    if (!*Saved) {
      break;
    }
  }
  Pimpl->tickForwardedCalls(Now, WallNow);
  Pimpl->collectOutput();
  Pimpl->Counters.MessagesOut += Pimpl->Output.Messages.size();
  return std::exchange(Pimpl->Output, {});
}

void Node::beginShutdown(Instant Now) {
  Pimpl->IsShuttingDown = true;
  for (auto &[Centre, Service] : Pimpl->Services) {
    Service->answerLongPolls();
  }
  for (auto &[Name, Group] : Pimpl->Groups) {
    transferLeadership(Group->replica(), Now);
  }
}

bool Node::isShutdownComplete() const {
  const bool IsTransferring = std::any_of(
      Pimpl->Groups.begin(), Pimpl->Groups.end(), [](const auto &GroupEntry) {
        return GroupEntry.second->replica().Role == ReplicaRole::Leader &&
               GroupEntry.second->replica().TransferTarget.has_value();
      });
  return Pimpl->ForwardedCalls.empty() && !IsTransferring;
}

bool Node::isReadyForCallers(Instant Now) const {
  const Replica &Member = Pimpl->Groups.at(Pimpl->OwnCentre)->replica();
  if (Pimpl->IsShuttingDown) {
    return false;
  }
  return canServeAsLeader(Member, Now) ||
         (Member.Role == ReplicaRole::Follower && Member.Leader &&
          Now - Member.LastLeaderContactAt <
              Member.Options.ElectionTimeoutMax * 2);
}

const CentreService &Node::centre() const {
  return *Pimpl->Services.at(Pimpl->OwnCentre);
}

const Rules &Node::rules() const { return centre().activeRules(); }

const RulesState &Node::rulesState() const {
  return Pimpl->Config.rulesState();
}

const Replica *Node::replica(const std::string &Group) const {
  const auto It = Pimpl->Groups.find(Group);
  return It == Pimpl->Groups.end() ? nullptr : &It->second->replica();
}

const NodeCounters &Node::counters() const { return Pimpl->Counters; }

std::vector<GroupInfo> Node::groups(Instant Now) const {
  std::vector<GroupInfo> Infos;
  for (const auto &[Name, Group] : Pimpl->Groups) {
    const Replica &Member = Group->replica();
    GroupInfo Info;
    Info.Group = Name;
    Info.Role = nameOf(Member.Role);
    Info.Leader = Member.Leader ? Member.Leader->Node : 0;
    Info.CurrentTerm = Member.Hard.CurrentTerm;
    Info.LastIndex = lastIndex(Member);
    Info.CommitIndex = Member.CommitIndex;
    Info.IsReady = canServeAsLeader(Member, Now);
    Info.Voters = membership(Member).Voters;
    Infos.push_back(std::move(Info));
  }
  return Infos;
}

} // namespace mulberryramp
