#include "support/cell_parts.hpp"

namespace mulberryramp::test {

JobQueue makeTestQueue(std::uint32_t MaxAttempts) {
  JobQueue Queue;
  Queue.Host = "host";
  Queue.Prefix = "/q/";
  Queue.Pool = "pool";
  Queue.MaxAttempts = MaxAttempts;
  return Queue;
}

CellConfiguration makeTestConfiguration(std::uint64_t Version,
                                        std::uint32_t MaxAttempts) {
  CellConfiguration Configuration;
  Configuration.Version = Version;
  Configuration.Queues.push_back(makeTestQueue(MaxAttempts));
  return Configuration;
}

WorkerReport makeTestReport(const std::string &Name, std::int64_t MilliCpus) {
  WorkerReport Report;
  Report.Name = Name;
  Report.StartTimeMs = 1;
  Report.Pool = "pool";
  Report.Address = Name + ":1";
  Report.Capacity.MilliCpus = MilliCpus;
  Report.Clock = 1000;
  Report.Sequence = 1;
  return Report;
}

CellNodeOptions makeSingleVoterOptions(NodeId Self) {
  CellNodeOptions Options;
  Options.Self = Self;
  Options.Seeds = {Self};
  Options.IsVoter = true;
  Options.Incarnation = 1;
  Options.ReplicaParameters = makeCellReplicaOptions(0);
  return Options;
}

void registerTestWorker(DispatchState &Dispatch, CellState &State,
                        const std::string &Name, std::int64_t MilliCpus,
                        Instant Now) {
  const WorkerReport Report = makeTestReport(Name, MilliCpus);
  onStateChange(Dispatch, State,
                applyCommand(State, RegisterWorkerCommand{Report}), Now);
  onWorkerReport(Dispatch, findWorker(State, Name), Report, Now);
}

} // namespace mulberryramp::test
