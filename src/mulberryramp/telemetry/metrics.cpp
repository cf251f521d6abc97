#include "mulberryramp/telemetry/metrics.hpp"

#include "mulberryramp/telemetry/gauges.hpp"

#include <prometheus/histogram.h>

#include <array>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace mulberryramp {

namespace internal {

const std::vector<double> StepBuckets{0.0001, 0.0005, 0.001, 0.005,
                                      0.01,   0.05,   0.1,   0.5};

double residentBytes() {
  std::ifstream Source{"/proc/self/statm"};
  std::size_t Total = 0;
  std::size_t Resident = 0;
  Source >> Total >> Resident;
  return static_cast<double>(Resident) *
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
  Pimpl->Steps = &prometheus::BuildHistogram()
                      .Name("mulberryramp_step_seconds")
                      .Help("Time of one step of the daemon, with its syncs")
                      .Register(Pimpl->Registry)
                      .Add({}, internal::StepBuckets);
}

Metrics::~Metrics() = default;

void Metrics::observeStep(double Seconds) { Pimpl->Steps->Observe(Seconds); }

std::string Metrics::render(const MetricsInput &Input) {
  Impl &Out = *Pimpl;
  const CentreService &Centre = Input.Daemon.centre();
  const CentreCounters &Counts = Centre.counters();
  const NodeCounters &Node = Input.Daemon.counters();
  const LinkCounters &Links = Input.Links;
  Out.set("mulberryramp_serving", "1 if this daemon leads its data centre",
          Centre.isServing() ? 1.0 : 0.0);
  Out.set("mulberryramp_workers", "Workers of the data centre",
          std::uint64_t{Centre.ledger().Workers.size()});
  Out.set("mulberryramp_requests", "Requests in the ledger",
          std::uint64_t{Centre.ledger().Requests.size()});
  Out.set("mulberryramp_waiting", "Requests with a queued task",
          std::uint64_t{Centre.ledger().QueuedRequests.size()});
  Out.set("mulberryramp_accepted_total", "Requests accepted", Counts.Accepted);
  Out.set("mulberryramp_refused_total", "Requests refused", Counts.Refused);
  Out.set("mulberryramp_polls_total", "Polls of workers", Counts.Polls);
  Out.set("mulberryramp_placement_runs_total", "Runs of placement",
          Counts.PlacementRuns);
  Out.set("mulberryramp_starts_total", "Attempts granted", Counts.Starts);
  Out.set("mulberryramp_settled_total", "Attempts ended", Counts.EndedAttempts);
  Out.set("mulberryramp_preempted_total", "Attempts made to give way",
          Counts.Preempted);
  Out.set("mulberryramp_lost_workers_total", "Workers whose lease ended",
          Counts.LostWorkers);
  Out.set("mulberryramp_messages_in_total", "Messages from daemons",
          Node.MessagesIn);
  Out.set("mulberryramp_messages_out_total", "Messages to daemons",
          Node.MessagesOut);
  Out.set("mulberryramp_forwarded_total", "Calls passed on",
          Node.CallsForwarded);
  Out.set("mulberryramp_forward_retries_total", "Calls passed on again",
          Node.ForwardRetries);
  Out.set("mulberryramp_forward_timeouts_total", "Calls without an answer",
          Node.ForwardTimeouts);
  Out.set("mulberryramp_saves_total", "Syncs of the log", Node.Saves);
  Out.set("mulberryramp_link_bytes_out_total", "Bytes to daemons",
          Links.BytesOut);
  Out.set("mulberryramp_link_bytes_other_region_total",
          "Bytes to daemons of other regions", Links.CrossRegionBytesOut);
  Out.set("mulberryramp_link_bytes_in_total", "Bytes from daemons",
          Links.BytesIn);
  Out.set("mulberryramp_link_dropped_total", "Messages for full or lost links",
          Links.DroppedMessages);
  Out.set("mulberryramp_link_malformed_total", "Links closed for bad frames",
          Links.MalformedFrames);
  Out.set("mulberryramp_rules_revision", "Revision of the rules in force here",
          Input.Daemon.rules().Number);
  Out.set("mulberryramp_open_http_requests", "HTTP requests without an answer",
          std::uint64_t{Input.OpenRequests});
  Out.set("mulberryramp_http_bytes_total", "Bytes of HTTP bodies and paths",
          Input.HttpBytes);
  Out.set("process_resident_memory_bytes", "Resident memory",
          internal::residentBytes());
  Out.set("process_cpu_seconds_total", "Processor time",
          internal::cpuSeconds());
  return Out.Gauges::render();
}

} // namespace mulberryramp
