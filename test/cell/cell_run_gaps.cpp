#include "cell/cell_simulation.hpp"

#include <algorithm>
#include <utility>

namespace mulberryramp::test {

namespace {

/// A worker counts as room this long after it came up or could be reached
/// again: it reports up to 500 ms later, and its registration is committed.
constexpr Millis RegistrationTime{1000};
/// An election takes up to 700 ms until a voter notices that the leader is
/// gone, and as much again if the votes are split.
constexpr Millis ElectionTime{2000};
constexpr std::int64_t MinFreeTasks = 2;

} // namespace

bool CellSimulation::canServe(const VoterState &Voter) const {
  return !Voter.IsGone && Voter.Node && Now >= Voter.PausedUntil &&
         Now >= Voter.PartitionedUntil && Now >= Voter.DiskStalledUntil;
}

NodeId CellSimulation::servingLeader() const {
  const auto It = std::find_if(
      VotersById.begin(), VotersById.end(), [this](const auto &Entry) {
        return canServe(Entry.second) && Entry.second.Node->isLeading(Now);
      });
  return It != VotersById.end() ? It->first : 0;
}

bool CellSimulation::isCellExcused(NodeId Leader) {
  std::set<NodeId> Serving;
  std::size_t Present = 0;
  for (const auto &[Id, Voter] : VotersById) {
    Present += Voter.IsGone ? 0 : 1;
    if (canServe(Voter)) {
      Serving.insert(Id);
    }
  }
  const bool HasNewFault =
      !std::includes(Serving.begin(), Serving.end(), ServingVoters.begin(),
                     ServingVoters.end());
  ServingVoters = Serving;
  const bool HasMajority = 2 * Serving.size() > Present;
  if (HasNewFault || !HasMajority) {
    ElectionDueAt = Now + ElectionTime;
  }
  return !HasMajority || (Leader == 0 && Now < ElectionDueAt);
}

bool CellSimulation::hasRoomForLongRunning() {
  std::int64_t FreeTasks = 0;
  for (auto &[Name, State] : Workers) {
    const bool IsRestarted =
        State.ProcessGeneration !=
        std::exchange(State.SeenGeneration, State.ProcessGeneration);
    const bool IsCut =
        std::any_of(State.PathsCutUntil.begin(), State.PathsCutUntil.end(),
                    [this](const auto &Path) { return Now < Path.second; });
    if (State.IsDown || IsRestarted || IsCut || Now < State.PartitionedUntil ||
        Now < State.ResetUntil) {
      State.RoomSince = Now + RegistrationTime;
    }
    if (Now < State.RoomSince || State.ShrunkUntil != Instant{} ||
        Drains.contains(Name)) {
      continue;
    }
    std::int64_t UsedMilliCpus = 0;
    for (const auto &[Task, Attempt] : State.Worker->running()) {
      UsedMilliCpus += stepOf(Task).Need.MilliCpus;
    }
    FreeTasks +=
        std::max<std::int64_t>(WorkerCpus - UsedMilliCpus, 0) / TaskCpus;
  }
  return FreeTasks >= MinFreeTasks;
}

void CellSimulation::checkRunGaps(Millis StepTime) {
  RunGapStep Facts;
  Facts.Now = Now;
  Facts.StepTime = StepTime;
  Facts.Leader = servingLeader();
  Facts.IsExcused = isCellExcused(Facts.Leader);
  Facts.HasRoom = hasRoomForLongRunning();
  for (const auto &[Name, Job] : Jobs) {
    const StepSpec &Step = Job.Spec.Steps.front();
    const bool IsOver = Job.Phase && isTerminal(*Job.Phase);
    // A cap may keep a job from running for any time.
    if (!Step.IsLongRunning || !Job.IsAccepted || Job.IsCancelSent || IsOver ||
        hasCaps()) {
      continue;
    }
    for (std::uint32_t Task = 0; Task < Step.Tasks; ++Task) {
      Facts.Wanted.insert({Name, 0, 0, Task});
    }
  }
  for (const auto &[Name, State] : Workers) {
    for (const auto &[Task, Attempt] : State.Worker->running()) {
      Facts.Runs.emplace(Task, Name);
    }
  }
  for (const RunGap &Gap : LongRunGaps.step(Facts)) {
    checkRunGap(Gap);
  }
}

void CellSimulation::checkRunGap(const RunGap &Gap) {
  Result.LongestRunGap = std::max(Result.LongestRunGap, Gap.Counted);
  if (Gap.Counted <= MaxRunGap) {
    return;
  }
  const auto TimeOf = [this](Instant At) {
    return std::to_string(sinceStart() - (Now - At).count());
  };
  recordViolation(
      "long-running task " + Gap.Task.Job + "." +
      std::to_string(Gap.Task.Step) + "." + std::to_string(Gap.Task.Task) +
      " had no run for " + std::to_string(Gap.Counted.count()) + " ms, from " +
      TimeOf(Gap.Begin) + " to " + TimeOf(Gap.End) + " ms, last on " +
      (Gap.LastWorker.empty() ? "no worker" : Gap.LastWorker) + ", leaders " +
      std::to_string(Gap.Leaders) + ", the last one " +
      std::to_string(servingLeader()) + describeLastEvents(Gap));
}

void CellSimulation::noteEvent(const std::string &Line) {
  const auto ValueOf = [&Line](const std::string &Key) {
    const std::size_t At = Line.find(Key);
    if (At == std::string::npos) {
      return std::string{};
    }
    const std::size_t Begin = At + Key.size();
    return Line.substr(Begin, Line.find_first_of(" -", Begin) - Begin);
  };
  for (const std::string Key : {" job=", " worker="}) {
    const std::string Value = ValueOf(Key);
    if (!Value.empty()) {
      LastEvents[Value] = std::to_string(sinceStart()) + " " + Line;
    }
  }
}

std::string CellSimulation::describeLastEvents(const RunGap &Gap) const {
  std::string Text;
  for (const std::string &Key : {Gap.Task.Job, Gap.LastWorker}) {
    const auto It = LastEvents.find(Key);
    Text += It != LastEvents.end() ? "; " + It->second : "";
  }
  return Text;
}

} // namespace mulberryramp::test
