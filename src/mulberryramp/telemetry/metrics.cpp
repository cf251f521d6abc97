#include "mulberryramp/telemetry/metrics.hpp"

#include "mulberryramp/telemetry/gauges.hpp"

#include <prometheus/histogram.h>

#include <array>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace mulberryramp {

namespace internal {

/// Upper bounds of the histogram of step times, in seconds.
const std::vector<double> StepBuckets{0.0001, 0.0005, 0.001, 0.005,
                                      0.01,   0.05,   0.1,   0.5};

double residentBytes() {
  std::ifstream Source{"/proc/self/statm"};
  std::size_t TotalPages = 0;
  std::size_t ResidentPages = 0;
  Source >> TotalPages >> ResidentPages;
  return static_cast<double>(ResidentPages) *
         static_cast<double>(sysconf(_SC_PAGESIZE));
}

double cpuSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  const auto Seconds = [](const timeval &Time) {
    return static_cast<double>(Time.tv_sec) +
           static_cast<double>(Time.tv_usec) / 1e6;
  };
  return Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime);
}

} // namespace internal

struct Metrics::Impl : Gauges {
  prometheus::Histogram *Steps = nullptr;
};

Metrics::Metrics() : Pimpl{std::make_unique<Impl>()} {
  Pimpl->Steps =
      &prometheus::BuildHistogram()
           .Name("mulberryramp_step_seconds")
           .Help("Duration of a step of the daemon, including disk syncs")
           .Register(Pimpl->Registry)
           .Add({}, internal::StepBuckets);
}

Metrics::~Metrics() = default;

void Metrics::observeStep(double Seconds) { Pimpl->Steps->Observe(Seconds); }

std::string Metrics::render(const MetricsInput &Input) {
  Impl &Out = *Pimpl;
  const CentreService &Centre = Input.Daemon.centre();
  const CentreCounters &Counters = Centre.counters();
  const NodeCounters &NodeStats = Input.Daemon.counters();
  const LinkCounters &Links = Input.Links;
  Out.set("mulberryramp_serving", "1 if this daemon leads its data centre",
          Centre.isServing() ? 1.0 : 0.0);
  Out.set("mulberryramp_workers", "Registered workers of the data centre",
          std::uint64_t{Centre.ledger().Workers.size()});
  Out.set("mulberryramp_requests", "Requests in the ledger",
          std::uint64_t{Centre.ledger().Requests.size()});
  Out.set("mulberryramp_waiting", "Requests with at least one queued task",
          std::uint64_t{Centre.ledger().QueuedRequests.size()});
  Out.set("mulberryramp_accepted_total", "Requests accepted",
          Counters.Accepted);
  Out.set("mulberryramp_refused_total", "Requests refused", Counters.Refused);
  Out.set("mulberryramp_polls_total", "Polls received from workers",
          Counters.Polls);
  Out.set("mulberryramp_placement_runs_total", "Placement runs",
          Counters.PlacementRuns);
  Out.set("mulberryramp_starts_total", "Attempts assigned to workers",
          Counters.Starts);
  Out.set("mulberryramp_settled_total", "Attempts ended",
          Counters.EndedAttempts);
  Out.set("mulberryramp_preempted_total", "Attempts preempted",
          Counters.Preempted);
  Out.set("mulberryramp_lost_workers_total",
          "Workers removed after a lease expiry or a restart",
          Counters.LostWorkers);
  Out.set("mulberryramp_messages_in_total",
          "Messages received from other daemons", NodeStats.MessagesIn);
  Out.set("mulberryramp_messages_out_total", "Messages sent to other daemons",
          NodeStats.MessagesOut);
  Out.set("mulberryramp_forwarded_total", "Calls forwarded to another daemon",
          NodeStats.CallsForwarded);
  Out.set("mulberryramp_forward_retries_total", "Retries of forwarded calls",
          NodeStats.ForwardRetries);
  Out.set("mulberryramp_forward_timeouts_total",
          "Forwarded calls that timed out", NodeStats.ForwardTimeouts);
  Out.set("mulberryramp_saves_total", "Batches written and synced to disk",
          NodeStats.Saves);
  Out.set("mulberryramp_link_bytes_out_total", "Bytes sent to other daemons",
          Links.BytesOut);
  Out.set("mulberryramp_link_bytes_other_region_total",
          "Bytes sent to daemons in other regions", Links.CrossRegionBytesOut);
  Out.set("mulberryramp_link_bytes_in_total",
          "Bytes received from other daemons", Links.BytesIn);
  Out.set("mulberryramp_link_dropped_total",
          "Messages dropped because a link was full or closed",
          Links.DroppedMessages);
  Out.set("mulberryramp_link_malformed_total",
          "Links closed because of a malformed frame", Links.MalformedFrames);
  Out.set("mulberryramp_rules_revision",
          "Revision of the active rules on this daemon",
          Input.Daemon.rules().Number);
  Out.set("mulberryramp_open_http_requests", "HTTP requests in progress",
          std::uint64_t{Input.OpenRequests});
  Out.set("mulberryramp_http_bytes_total", "Bytes of HTTP bodies and paths",
          Input.HttpBytes);
  Out.set("process_resident_memory_bytes", "Resident memory in bytes",
          internal::residentBytes());
  Out.set("process_cpu_seconds_total", "User and system CPU time in seconds",
          internal::cpuSeconds());
  return Out.Gauges::render();
}

} // namespace mulberryramp
