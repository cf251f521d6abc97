#include "mulberryramp/cell/query_candidates.hpp"

#include "mulberryramp/cell/advice.hpp"
#include "mulberryramp/cell/pending_steps.hpp"

#include <algorithm>
#include <tuple>

namespace mulberryramp {

namespace {

/// Expected capacity that a query covers, as a multiple of the unplaced tasks.
constexpr double QueryCapacityFactor = 1.5;
/// A step that has no room seeks admission to as many workers as it has
/// unplaced tasks, within these bounds.
constexpr std::size_t MinAdmittedWorkers = 4;
constexpr std::size_t MaxAdmittedWorkers = 16;
/// Distance between the first busy workers that consecutive jobs ask about.
constexpr std::size_t BusyCandidateStride = 31;
/// Score of a busy worker; above that of any worker with room.
constexpr double BusyCandidateScore = 1000;

/// Worker that a query may name.
struct Candidate {
  bool IsUnknown = false; ///< The advisor has not yet decided on it.
  double Score = 0;
  WorkerInstanceId Worker;
  double ExpectedTasks = 0; ///< Expected number of tasks that it can run.

  bool operator<(const Candidate &Other) const {
    return std::tie(IsUnknown, Score, Worker) <
           std::tie(Other.IsUnknown, Other.Score, Other.Worker);
  }
};

/// Adds workers without room for a step, so that the advisor has decided on
/// them by the time that a task there ends. Otherwise each part of a worker
/// that becomes free stays idle for the answer time of the advisor.
void addBusyCandidates(const AdvisedStep &Advised, std::size_t Unplaced,
                       const SchedulableWorkers &Schedulable, Instant Now,
                       std::vector<Candidate> &Candidates) {
  const auto &[Key, Owner, Spec, Step, Advice] = Advised;
  const std::size_t Wanted =
      std::clamp(Unplaced, MinAdmittedWorkers, MaxAdmittedWorkers);
  const auto Admitted = static_cast<std::size_t>(std::count_if(
      Advice.Admitted.begin(), Advice.Admitted.end(),
      [Now](const auto &Row) { return Now < Row.second.ExpiresAt; }));
  if (Admitted >= Wanted || Schedulable.Rows.empty()) {
    return;
  }
  const Resources Need = requiredResources(Spec);
  const std::size_t Count = Schedulable.Rows.size();
  // Steps begin at different workers, so that they do not all wait for the
  // same ones.
  const std::size_t First =
      (Key.Job.Slot * BusyCandidateStride + Advice.Denied.size()) % Count;
  for (std::size_t Offset = 0;
       Offset < Count && Candidates.size() < MaxQueryWorkers; ++Offset) {
    const WorkerSnapshot &Snapshot = Schedulable.Rows[(First + Offset) % Count];
    if (fitsIn(Need, Snapshot.Available) ||
        !fitsIn(Need, Snapshot.Instance->Report.Capacity) ||
        !isCandidate(Snapshot, Owner, Spec, &Advice, Now) ||
        isAdmitted(Advice, Snapshot.Worker, Now)) {
      continue;
    }
    Candidates.push_back({true, BusyCandidateScore, Snapshot.Worker, 0});
  }
}

} // namespace

bool isUnknown(const StepAdvice *Advice, WorkerInstanceId Worker) {
  return Advice != nullptr && !Advice->Admitted.contains(Worker);
}

std::vector<WorkerInstanceId>
chooseQueryWorkers(const AdvisedStep &Advised, std::size_t Unplaced,
                   const SchedulableWorkers &Schedulable, bool IncludesBusy,
                   Instant Now) {
  const auto &[Key, Owner, Spec, Step, Advice] = Advised;
  const Resources Need = requiredResources(Spec);
  const TaskCounts Counts = countTasks(Step);
  std::vector<Candidate> Candidates;
  double ExpectedRoom = 0;
  for (const WorkerSnapshot &Snapshot : Schedulable.Rows) {
    if (!fitsIn(Need, Snapshot.Available) ||
        !isCandidate(Snapshot, Owner, Spec, &Advice, Now) ||
        isAdmitted(Advice, Snapshot.Worker, Now) ||
        isAtMaxPerWorker(Spec, Snapshot, Counts)) {
      continue;
    }
    const bool IsUnknown = isUnknown(&Advice, Snapshot.Worker);
    Candidates.push_back({IsUnknown, scoreWorker(Snapshot, Spec, Need, nullptr),
                          Snapshot.Worker,
                          (IsUnknown ? ExpectedAdmissionRate : 1.0) *
                              taskCapacity(Snapshot, Spec)});
    ExpectedRoom += Candidates.back().ExpectedTasks;
  }
  if (IncludesBusy && ExpectedRoom < static_cast<double>(Unplaced)) {
    addBusyCandidates(Advised, Unplaced, Schedulable, Now, Candidates);
  }
  const std::size_t WorkerCount = std::min(MaxQueryWorkers, Candidates.size());
  std::partial_sort(Candidates.begin(),
                    Candidates.begin() +
                        static_cast<std::ptrdiff_t>(WorkerCount),
                    Candidates.end());
  Candidates.resize(WorkerCount);
  std::vector<WorkerInstanceId> Workers;
  std::size_t UnknownWorkers = 0;
  double ExpectedTasks = 0;
  for (const Candidate &Choice : Candidates) {
    const bool IsEnough =
        ExpectedTasks >= QueryCapacityFactor * static_cast<double>(Unplaced) &&
        (!Choice.IsUnknown || UnknownWorkers == 0 ||
         UnknownWorkers >= MinUnknownWorkers);
    if (IsEnough) {
      break;
    }
    Workers.push_back(Choice.Worker);
    ExpectedTasks += Choice.ExpectedTasks;
    UnknownWorkers += Choice.IsUnknown ? 1 : 0;
  }
  return Workers;
}

} // namespace mulberryramp
