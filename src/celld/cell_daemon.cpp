#include "celld/cell_daemon.hpp"

#include "celld/cell_metrics.hpp"
#include "celld/client_calls.hpp"
#include "celld/client_limits.hpp"
#include "celld/event_log.hpp"
#include "celld/group_writer.hpp"
#include "celld/http_listeners.hpp"
#include "mulberryramp/cell/cell_node.hpp"
#include "mulberryramp/core/random.hpp"
#include "mulberryramp/core/time.hpp"
#include "mulberryramp/net/peer_links.hpp"
#include "mulberryramp/net/readable_handler.hpp"
#include "mulberryramp/storage/identity.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>
#include <glog/logging.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <thread>
#include <unistd.h>

namespace mulberryramp {

namespace {

/// Maximum time that the event loop of a voter waits for events.
constexpr Millis MaxVoterWait{10};
/// Same for a node that is no voter and only relays calls.
constexpr Millis MaxRelayWait{25};
/// Maximum number of event batches that are handled between two steps.
constexpr int MaxBatchesPerStep = 64;
/// Minimum time between two steps of a voter. Each step and each wake-up has a
/// fixed cost, so events that arrive in between are handled in one step.
constexpr Millis MinStepInterval{2};
/// Maximum age of an order. An older one is not sent, since the node must have
/// been suspended between deciding and sending it.
constexpr Millis MaxOrderAge{150};
/// Interval at which the settings file is checked for changes.
constexpr Millis SettingsPollInterval{1000};
/// Time after the start of a shutdown during which a load balancer may still
/// send new connections, until it sees that the node is not ready.
constexpr Millis ReadinessGracePeriod{2500};
/// Connections to one worker: one for the pending renewal, the others for
/// orders, some of which may hang until their timeout.
constexpr long MaxConnectionsPerWorker = 6;
constexpr const char *GroupFolder = "cell";

volatile std::sig_atomic_t StopRequested = 0;
volatile std::sig_atomic_t ReloadRequested = 0;

void onStopSignal(int /*Signal*/) { StopRequested = 1; }
void onReloadSignal(int /*Signal*/) { ReloadRequested = 1; }

std::vector<NodeId> seedNodes(const CellSettings &Settings) {
  std::vector<NodeId> Nodes;
  for (const std::string &Host : Settings.Seeds) {
    Nodes.push_back(nodeIdOf(Host));
  }
  return Nodes;
}

std::string readFile(const std::string &Name) {
  std::ifstream Source{Name};
  return {std::istreambuf_iterator<char>{Source}, {}};
}

CellNodeOptions nodeOptions(const CellSettings &Settings,
                            std::uint64_t Incarnation) {
  CellNodeOptions Options;
  Options.Self = nodeIdOf(Settings.Host);
  Options.Seeds = seedNodes(Settings);
  Options.IsVoter = Settings.IsVoter;
  Options.Incarnation = Incarnation;
  Options.ReplicaParameters = makeCellReplicaOptions(maxLostVoters(Settings));
  Options.Dispatch.HasPreemption = Settings.HasPreemption;
  Options.Dispatch.HasAdmissionControl = Settings.HasOverloadControl;
  Options.Dispatch.Lease = Settings.Lease;
  Options.Dispatch.MaxLease = Settings.MaxLease;
  Options.Dispatch.ReportInterval = Settings.ReportInterval;
  Options.Dispatch.Retention = Settings.Retention;
  Options.Seed = randomSeed();
  Options.MaxStateBytes = maxStateBytes(Settings);
  return Options;
}

} // namespace

struct CellDaemon::Impl {
  Impl(std::string SettingsFile, CellSettings Settings,
       std::unique_ptr<Gateway> Protocol)
      : SettingsFile{std::move(SettingsFile)}, Settings{std::move(Settings)},
        Protocol{std::move(Protocol)}, Log{this->Settings.Name, STDOUT_FILENO},
        Client{Loop, MaxConnectionsPerWorker,
               maxKeptConnections(this->Settings.Descriptors)} {}

  std::string SettingsFile;
  std::string SettingsText;
  CellSettings Settings;
  std::unique_ptr<Gateway> Protocol;
  EventLog Log;
  ACE_Reactor Loop{new ACE_Dev_Poll_Reactor, true};
  AsyncHttpClient Client;
  std::unique_ptr<FileSystem> Files;
  std::unique_ptr<GroupWriter> Writer;
  std::unique_ptr<ReadableHandler> WriterEvents;
  std::unique_ptr<CellNode> Node;
  std::unique_ptr<PeerLinks> Links;
  HttpListeners Listeners{Loop};
  CellMetrics Telemetry;
  std::unique_ptr<ClientCalls> Calls;
  Instant NextReloadAt;
  bool IsShuttingDown = false;
  Instant ShutdownStartedAt;

  [[nodiscard]] tl::expected<void, std::string> openNode();
  [[nodiscard]] tl::expected<StoredGroup, std::string>
  openStore(std::uint64_t &Incarnation);
  [[nodiscard]] tl::expected<void, std::string> openLinks();
  [[nodiscard]] tl::expected<void, std::string> openHttpServers();

  void event(std::string_view Line) {
    Log.add(wallNow().time_since_epoch().count(), Line);
  }
  void sendPeer(const CellMessage &Message);
  void sendOrder(const WorkerOrder &Order, Instant DecidedAt);
  void sendAdviceQuery(const AdviceQuery &Query);
  void processPendingEvents();
  void step();
  void reload();
  void beginShutdown();
  [[nodiscard]] bool isShutdownComplete() const;
};

CellDaemon::CellDaemon(std::unique_ptr<Impl> Pimpl) : Pimpl{std::move(Pimpl)} {}
CellDaemon::~CellDaemon() = default;

/// Opens the storage of a voter. The seeds of a new cell are its bootstrap
/// voters; each of them writes the same initial state. State that is already on
/// the disk is never replaced by the initial state.
tl::expected<StoredGroup, std::string>
CellDaemon::Impl::openStore(std::uint64_t &Incarnation) {
  const auto Problem = [](const StorageError &Error) {
    return tl::make_unexpected("storage: " + Error.Text);
  };
  auto Opened = openDiskFiles(Settings.DataFolder);
  if (!Opened) {
    return Problem(Opened.error());
  }
  Files = std::move(*Opened);
  const std::vector<NodeId> Seeds = seedNodes(Settings);
  const bool IsBootstrapVoter =
      Settings.IsBootstrap && std::find(Seeds.begin(), Seeds.end(),
                                        nodeIdOf(Settings.Host)) != Seeds.end();
  StoredGroup Stored;
  auto Store = GroupStore::open(*Files, GroupFolder, Stored);
  if (!Store) {
    return Problem(Store.error());
  }
  const bool IsNew = Stored.LatestSnapshot.Voters.Voters.empty();
  if (IsBootstrapVoter && IsNew) {
    std::vector<Member> BootstrapVoters;
    BootstrapVoters.reserve(Seeds.size());
    for (const NodeId Seed : Seeds) {
      BootstrapVoters.push_back({Seed, BootstrapIncarnation});
    }
    std::sort(BootstrapVoters.begin(), BootstrapVoters.end());
    Stored = bootstrapGroup(std::move(BootstrapVoters));
    PersistBatch InitialBatch;
    InitialBatch.NewSnapshot = Stored.LatestSnapshot;
    auto Written = writeIdentity(*Files, BootstrapIncarnation).and_then([&] {
      return Store->write(InitialBatch);
    });
    if (!Written) {
      return Problem(Written.error());
    }
  }
  const auto Identity = openIdentity(*Files, wallNow());
  if (!Identity) {
    return Problem(Identity.error());
  }
  Incarnation = *Identity;
  Writer = std::make_unique<GroupWriter>(std::move(*Store));
  WriterEvents =
      std::make_unique<ReadableHandler>(Loop, Writer->descriptor(), [this] {
        if (Writer->consumeCompletion()) {
          Node->onWriteSynced();
        }
      });
  return Stored;
}

tl::expected<void, std::string> CellDaemon::Impl::openNode() {
  std::uint64_t Incarnation = newIncarnation(wallNow());
  StoredGroup Stored;
  if (Settings.IsVoter) {
    auto Opened = openStore(Incarnation);
    if (!Opened) {
      return tl::make_unexpected(Opened.error());
    }
    Stored = std::move(*Opened);
  }
  Node =
      std::make_unique<CellNode>(nodeOptions(Settings, Incarnation),
                                 std::move(Stored), SuspendAwareClock::now());
  event("event=start incarnation=" + std::to_string(Incarnation) +
        " voter=" + (Settings.IsVoter ? "yes" : "no") +
        " may_lose_voters=" + std::to_string(maxLostVoters(Settings)) +
        " lease_ms=" + std::to_string(Settings.Lease.count()));
  Calls = std::make_unique<ClientCalls>(
      *Protocol, *Node, Telemetry,
      [this](std::string_view Line) { event(Line); }, Settings.ControlPort);
  return {};
}

tl::expected<void, std::string> CellDaemon::Impl::openLinks() {
  auto Opened = PeerLinks::open(
      {Settings.Host, Settings.PeerPort}, Loop,
      [this](std::string_view Payload) {
        const auto Message = decodeCellMessage(Payload);
        if (Message) {
          Node->receive(*Message, SuspendAwareClock::now(), wallNow());
        }
        return Message.has_value();
      },
      {planClientLimits(Settings).MaxInboundLinks});
  if (!Opened) {
    return tl::make_unexpected(Opened.error());
  }
  Links = std::move(*Opened);
  return {};
}

tl::expected<void, std::string> CellDaemon::Impl::openHttpServers() {
  using RequestHandler = HttpListeners::RequestHandler;
  const auto CallsFrom = [this](Listener Source) -> RequestHandler {
    return [this, Source](HttpServer &Http, std::uint64_t Id,
                          const HttpRequest &Request) {
      Calls->onRequest(Source, Http, Id, Request);
    };
  };
  const RequestHandler Readiness = [this](HttpServer &Http, std::uint64_t Id,
                                          const HttpRequest & /*Request*/) {
    const bool IsReady = Node->isReadyForCallers(SuspendAwareClock::now());
    Http.respond(Id, {IsReady ? 200 : 503, "application/json",
                      IsReady ? R"({"ready":true})" : R"({"ready":false})"});
  };
  const RequestHandler Metrics = [this](HttpServer &Http, std::uint64_t Id,
                                        const HttpRequest & /*Request*/) {
    Http.respond(Id, {200, "text/plain; version=0.0.4",
                      Telemetry.render(Node->status(), Links->counters(),
                                       Writer ? Writer->failures() : 0,
                                       Listeners.usage())});
  };
  const ClientLimits Limits = planClientLimits(Settings);
  const auto Listen =
      [this](const char *Name, const std::optional<Endpoint> &Address,
             const HttpLimits &Limit,
             RequestHandler OnRequest) -> tl::expected<void, std::string> {
    return Address
               ? Listeners.listen(Name, *Address, Limit, std::move(OnRequest))
               : tl::expected<void, std::string>{};
  };
  return Listen("callers", Settings.Callers, Limits.Callers,
                CallsFrom(Listener::Callers))
      .and_then([&] {
        return Listen("control", Settings.Control, Limits.Control,
                      CallsFrom(Listener::Control));
      })
      .and_then([&] {
        return Listen("readiness", Settings.Readiness, Limits.Readiness,
                      Readiness);
      })
      .and_then([&] {
        return Listen("metrics", Settings.Metrics, Limits.Metrics, Metrics);
      });
}

tl::expected<std::unique_ptr<CellDaemon>, std::string>
CellDaemon::start(const std::string &SettingsFile, const CellSettings &Settings,
                  std::unique_ptr<Gateway> Protocol) {
  auto Pimpl =
      std::make_unique<Impl>(SettingsFile, Settings, std::move(Protocol));
  Pimpl->SettingsText = readFile(SettingsFile);
  auto Opened = Pimpl->openNode()
                    .and_then([&] { return Pimpl->openLinks(); })
                    .and_then([&] { return Pimpl->openHttpServers(); });
  if (!Opened) {
    return tl::make_unexpected(Opened.error());
  }
  return std::unique_ptr<CellDaemon>{new CellDaemon{std::move(Pimpl)}};
}

void CellDaemon::Impl::sendPeer(const CellMessage &Message) {
  if (!Links->hasPeer(Message.To)) {
    Links->setPeerAddress(Message.To, {hostOf(Message.To), Settings.PeerPort},
                          false);
  }
  Links->send(Message.To, encodeCellMessage(Message));
}

void CellDaemon::Impl::sendOrder(const WorkerOrder &Order, Instant DecidedAt) {
  if (SuspendAwareClock::now() - DecidedAt > MaxOrderAge) {
    OrderResult Unsent;
    Unsent.Id = Order.Id;
    Unsent.Verdict = OrderVerdict::Unsent;
    Node->onOrderDone(Unsent, SuspendAwareClock::now(), wallNow());
    return;
  }
  Client.send(
      Protocol->encodeOrder(Order), [this, Id = Order.Id, Kind = Order.Kind](
                                        const OutboundResponse &Response) {
        Node->onOrderDone(Protocol->decodeOrderResult(Id, Kind, Response),
                          SuspendAwareClock::now(), wallNow());
      });
}

void CellDaemon::Impl::sendAdviceQuery(const AdviceQuery &Query) {
  if (!Settings.Advisor) {
    AdviceAnswer None;
    None.Id = Query.Id;
    Node->onAdviceDone(None, SuspendAwareClock::now());
    return;
  }
  Client.send(Protocol->encodeAdviceQuery(Query, *Settings.Advisor),
              [this, Query](const OutboundResponse &Response) {
                Node->onAdviceDone(Protocol->decodeAdvice(Query, Response),
                                   SuspendAwareClock::now());
              });
}

void CellDaemon::Impl::step() {
  Client.run();
  const Instant Now = SuspendAwareClock::now();
  const WallTime WallNow = wallNow();
  CellOutput Output = Node->step(Now, WallNow);
  for (const CellMessage &Message : Output.Messages) {
    sendPeer(Message);
  }
  if (Output.Write) {
    Writer->write(std::move(*Output.Write));
  }
  for (const WorkerOrder &Order : Output.Orders) {
    sendOrder(Order, Now);
  }
  for (const AdviceQuery &Query : Output.Queries) {
    sendAdviceQuery(Query);
  }
  for (const LocalReply &Done : Output.Replies) {
    Calls->answer(Done);
  }
  for (const std::string &Line : Output.Events) {
    event(Line);
  }
  Calls->startWaitingReads();
  Listeners.tick(Now);
  Listeners.run();
  Client.run();
  Links->tick(Now);
  if (ReloadRequested != 0 || Now >= NextReloadAt) {
    ReloadRequested = 0;
    NextReloadAt = Now + SettingsPollInterval;
    reload();
    for (const std::string &Line : Listeners.describeNewHits()) {
      event(Line);
    }
  }
  Log.flush();
}

void CellDaemon::Impl::reload() {
  const std::string Text = readFile(SettingsFile);
  if (Text == SettingsText || Text.empty()) {
    return;
  }
  SettingsText = Text;
  const auto Reloaded = parseCellSettings(SettingsFile, Text);
  if (!Reloaded) {
    event("event=reload outcome=refused");
    LOG(ERROR) << "settings reload rejected: " << Reloaded.error().render();
    return;
  }
  Settings.Seeds = Reloaded->Seeds;
  Settings.Advisor = Reloaded->Advisor;
  Node->addSeeds(seedNodes(Settings));
  event("event=reload outcome=taken seeds=" +
        std::to_string(Settings.Seeds.size()));
}

void CellDaemon::Impl::beginShutdown() {
  IsShuttingDown = true;
  ShutdownStartedAt = SuspendAwareClock::now();
  event("event=leave open=" + std::to_string(Calls->openCount()));
  Node->beginShutdown(ShutdownStartedAt);
}

bool CellDaemon::Impl::isShutdownComplete() const {
  if (!IsShuttingDown) {
    return false;
  }
  const Instant Now = SuspendAwareClock::now();
  if (Now - ShutdownStartedAt >= Settings.ShutdownTimeout) {
    return true;
  }
  const bool IsDrained =
      !Settings.Callers || Now - ShutdownStartedAt >= ReadinessGracePeriod;
  // A server also counts the requests whose response is still being sent.
  return IsDrained && !Listeners.hasOpenRequests() && !Node->isLeading(Now);
}

void CellDaemon::Impl::processPendingEvents() {
  for (int Batch = 0; Batch < MaxBatchesPerStep; ++Batch) {
    ACE_Time_Value NoWait = ACE_Time_Value::zero;
    if (Loop.handle_events(NoWait) <= 0) {
      return;
    }
  }
}

int CellDaemon::run() {
  Impl &Self = *Pimpl;
  const Millis MaxWait = Self.Settings.IsVoter ? MaxVoterWait : MaxRelayWait;
  auto SteppedAt = std::chrono::steady_clock::now();
  while (!Self.isShutdownComplete()) {
    const Millis Wait = Self.Client.waitTime(MaxWait);
    ACE_Time_Value Timeout{0, static_cast<suseconds_t>(Wait.count()) * 1000};
    const bool HasEvents = Self.Loop.handle_events(Timeout) > 0;
    if (HasEvents && Self.Settings.IsVoter) {
      std::this_thread::sleep_until(SteppedAt + MinStepInterval);
    }
    Self.processPendingEvents();
    if (StopRequested != 0 && !Self.IsShuttingDown) {
      Self.beginShutdown();
    }
    SteppedAt = std::chrono::steady_clock::now();
    Self.step();
  }
  Self.event("event=stop");
  Self.Log.flush();
  return 0;
}

int CellDaemon::main(const std::string &SettingsFile,
                     std::unique_ptr<Gateway> Protocol) {
  const auto Settings = parseCellSettings(SettingsFile, readFile(SettingsFile));
  if (!Settings) {
    LOG(ERROR) << Settings.error().render();
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, onStopSignal);
  std::signal(SIGINT, onStopSignal);
  std::signal(SIGHUP, onReloadSignal);
  auto Started = start(SettingsFile, *Settings, std::move(Protocol));
  if (!Started) {
    LOG(ERROR) << Started.error();
    return 1;
  }
  return (*Started)->run();
}

} // namespace mulberryramp
