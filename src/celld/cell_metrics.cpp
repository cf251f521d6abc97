#include "celld/cell_metrics.hpp"

#include "mulberryramp/telemetry/gauges.hpp"

#include <prometheus/histogram.h>

namespace mulberryramp {

struct CellMetrics::Impl : Gauges {
  prometheus::Histogram *Calls = nullptr;
};

CellMetrics::CellMetrics() : Pimpl{std::make_unique<Impl>()} {
  const prometheus::Histogram::BucketBoundaries Bounds{
      0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
  Pimpl->Calls = &prometheus::BuildHistogram()
                      .Name("mulberryramp_call_seconds")
                      .Help("Time from a call to its answer")
                      .Register(Pimpl->Registry)
                      .Add({}, Bounds);
}

CellMetrics::~CellMetrics() = default;

void CellMetrics::observeCall(double Seconds) {
  Pimpl->Calls->Observe(Seconds);
}

std::string CellMetrics::render(const CellNodeView &Node,
                                const LinkCounters &Links,
                                std::uint64_t StorageFailures) {
  Impl &To = *Pimpl;
  To.set("mulberryramp_cell_term", "Term of the log", Node.CurrentTerm);
  To.set("mulberryramp_cell_commit_index", "Agreed entries", Node.CommitIndex);
  To.set("mulberryramp_cell_voters", "Voters",
         static_cast<std::uint64_t>(Node.Voters));
  To.set("mulberryramp_cell_is_leader", "1 on the leader",
         Node.Role == "leader" ? 1.0 : 0.0);
  To.set("mulberryramp_cell_configuration_version",
         "Configuration in force here", Node.Configuration);
  To.set("mulberryramp_cell_workers", "Workers known",
         static_cast<std::uint64_t>(Node.Workers));
  To.set("mulberryramp_cell_jobs", "Jobs known",
         static_cast<std::uint64_t>(Node.Jobs));
  To.set("mulberryramp_cell_launches", "Starts without an agreed end",
         static_cast<std::uint64_t>(Node.Launches));
  To.set("mulberryramp_cell_open_calls", "Calls without an answer",
         static_cast<std::uint64_t>(Node.OpenCalls));
  const DispatchCounters &Count = Node.Counters;
  To.set("mulberryramp_starts_total", "Starts sent", Count.Starts);
  To.set("mulberryramp_ends_total", "Ends agreed on", Count.Ends);
  To.set("mulberryramp_stops_total", "Stops sent", Count.Stops);
  To.set("mulberryramp_holds_total", "Holds sent", Count.Renewals);
  To.set("mulberryramp_advice_questions_total", "Questions to the advisor",
         Count.Queries);
  To.set("mulberryramp_orders_unanswered_total",
         "Orders without an answer of the worker", Count.Unanswered);
  To.set("mulberryramp_link_bytes_out_total", "Bytes to other nodes",
         Links.BytesOut);
  To.set("mulberryramp_link_messages_dropped_total",
         "Messages for links without room", Links.DroppedMessages);
  To.set("mulberryramp_storage_failures_total", "Writes that failed",
         StorageFailures);
  return To.Gauges::render();
}

} // namespace mulberryramp
