#include "celld/cell_metrics.hpp"

#include "celld/organisation_metrics.hpp"
#include "mulberryramp/telemetry/gauges.hpp"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>

namespace mulberryramp {

struct CellMetrics::Impl : Gauges {
  prometheus::Histogram *Calls = nullptr;
  OrganisationMetrics Organisations;
  prometheus::Counter *Served = nullptr;
  prometheus::Counter *Unauthenticated = nullptr;
  prometheus::Counter *Refused = nullptr;

  void setClients(const std::vector<HttpListeners::ListenerUsage> &Clients);
};

/// Sets the gauges of what the clients of each listener hold.
void CellMetrics::Impl::setClients(
    const std::vector<HttpListeners::ListenerUsage> &Clients) {
  auto &Connections = prometheus::BuildGauge()
                          .Name("mulberryramp_client_connections")
                          .Help("Open connections of clients")
                          .Register(Registry);
  auto &HeldBytes = prometheus::BuildGauge()
                        .Name("mulberryramp_client_held_bytes")
                        .Help("Bytes held for requests and their responses")
                        .Register(Registry);
  auto &Hits = prometheus::BuildGauge()
                   .Name("mulberryramp_client_limit_total")
                   .Help("Requests and connections that a limit ended")
                   .Register(Registry);
  for (const auto &[Name, Usage] : Clients) {
    Connections.Add({{"listener", Name}})
        .Set(static_cast<double>(Usage.Connections));
    HeldBytes.Add({{"listener", Name}})
        .Set(static_cast<double>(Usage.HeldBytes));
    for (std::size_t Limit = 0; Limit < HttpLimitCount; ++Limit) {
      Hits.Add({{"listener", Name},
                {"limit", std::string{nameOf(static_cast<HttpLimit>(Limit))}}})
          .Set(static_cast<double>(Usage.LimitHits[Limit]));
    }
  }
}

CellMetrics::CellMetrics() : Pimpl{std::make_unique<Impl>()} {
  const prometheus::Histogram::BucketBoundaries BucketBounds{
      0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
  Pimpl->Calls = &prometheus::BuildHistogram()
                      .Name("mulberryramp_call_seconds")
                      .Help("Time from a call to its answer")
                      .Register(Pimpl->Registry)
                      .Add({}, BucketBounds);
  auto &Outcomes = prometheus::BuildCounter()
                       .Name("mulberryramp_calls_total")
                       .Help("Calls of callers that this node answered")
                       .Register(Pimpl->Registry);
  Pimpl->Served = &Outcomes.Add({{"outcome", "served"}});
  Pimpl->Unauthenticated = &Outcomes.Add({{"outcome", "unauthenticated"}});
  Pimpl->Refused = &Outcomes.Add({{"outcome", "refused"}});
}

CellMetrics::~CellMetrics() = default;

void CellMetrics::observeCall(double Seconds) {
  Pimpl->Calls->Observe(Seconds);
}

void CellMetrics::countCall(CellVerdict Verdict) {
  switch (Verdict) {
  case CellVerdict::Done:
  case CellVerdict::NotFound:
  case CellVerdict::Gone:
    Pimpl->Served->Increment();
    break;
  case CellVerdict::Unauthenticated:
    Pimpl->Unauthenticated->Increment();
    break;
  case CellVerdict::Refused:
  case CellVerdict::Unknown:
  case CellVerdict::Overloaded:
    Pimpl->Refused->Increment();
    break;
  }
}

std::string
CellMetrics::render(const CellNodeStatus &Node, const LinkCounters &Links,
                    std::uint64_t StorageFailures,
                    const std::vector<HttpListeners::ListenerUsage> &Clients) {
  Impl &Out = *Pimpl;
  Out.set("mulberryramp_cell_term", "Current Raft term", Node.CurrentTerm);
  Out.set("mulberryramp_cell_commit_index",
          "Index of the last committed log entry", Node.CommitIndex);
  Out.set("mulberryramp_cell_voters", "Voters",
          static_cast<std::uint64_t>(Node.Voters));
  Out.set("mulberryramp_cell_is_leader",
          "1 if this node is the leader, otherwise 0",
          Node.Role == "leader" ? 1.0 : 0.0);
  Out.set("mulberryramp_cell_configuration_version",
          "Version of the active configuration on this node",
          Node.Configuration);
  Out.set("mulberryramp_cell_organisations",
          "Organisations in the active configuration on this node",
          static_cast<std::uint64_t>(Node.OrganisationCount));
  Out.set("mulberryramp_cell_keys",
          "Keys of organisations in the active configuration on this node",
          static_cast<std::uint64_t>(Node.Keys));
  Out.set("mulberryramp_cell_workers", "Registered workers",
          static_cast<std::uint64_t>(Node.Workers));
  Out.set("mulberryramp_cell_jobs", "Jobs in the replicated state",
          static_cast<std::uint64_t>(Node.Jobs));
  Out.set("mulberryramp_cell_launches", "Task launches without a committed end",
          static_cast<std::uint64_t>(Node.Launches));
  Out.set("mulberryramp_cell_open_calls", "Calls that wait for an answer",
          static_cast<std::uint64_t>(Node.OpenCalls));
  const DispatchCounters &Counters = Node.Counters;
  Out.set("mulberryramp_starts_total", "Start orders sent to workers",
          Counters.Starts);
  Out.set("mulberryramp_ends_total", "Ends of tasks committed to the log",
          Counters.Ends);
  Out.set("mulberryramp_stops_total", "Stop orders sent to workers",
          Counters.Stops);
  Out.set("mulberryramp_holds_total", "Renewals sent to workers",
          Counters.Renewals);
  Out.set("mulberryramp_advice_questions_total", "Queries sent to the advisor",
          Counters.Queries);
  Out.set("mulberryramp_orders_unanswered_total",
          "Orders that the worker did not answer", Counters.Unanswered);
  Out.set("mulberryramp_worker_crashes_total",
          "Workers that ended without notice while tasks were assigned to them",
          Counters.WorkerCrashes);
  Out.set("mulberryramp_trial_holds_total",
          "Workers held until a suspect could start there",
          Counters.TrialHolds);
  Out.set("mulberryramp_trial_holds_abandoned_total",
          "Workers released before the suspect that they were held for started",
          Counters.TrialHoldsAbandoned);
  Out.set("mulberryramp_preemptions_total",
          "Tasks stopped to make room for urgent jobs", Counters.Preemptions);
  Out.set("mulberryramp_submissions_refused_as_excess_total",
          "Jobs refused as they were beyond the rate of their organisation",
          Counters.RefusedAsExcess);
  Out.set("mulberryramp_submissions_refused_for_backlog_total",
          "Jobs refused as the backlog was longer than their useful time",
          Counters.RefusedForBacklog);
  Out.set("mulberryramp_link_bytes_out_total", "Bytes sent to other nodes",
          Links.BytesOut);
  Out.set("mulberryramp_link_messages_dropped_total",
          "Messages to other nodes that were dropped", Links.DroppedMessages);
  Out.set("mulberryramp_link_inbound_bytes",
          "Bytes held for incomplete frames of other nodes",
          Links.InboundBytes);
  Out.set("mulberryramp_link_limit_total",
          "Links of other nodes that a limit ended", Links.LimitHits);
  Out.set("mulberryramp_storage_failures_total", "Failed storage writes",
          StorageFailures);
  Out.setClients(Clients);
  Out.Organisations.update(Out.Registry, Node.Organisations);
  return Out.Gauges::render();
}

} // namespace mulberryramp
