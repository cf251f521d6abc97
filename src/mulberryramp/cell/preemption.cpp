#include "mulberryramp/cell/preemption.hpp"

#include "mulberryramp/cell/advice.hpp"
#include "mulberryramp/cell/run_time.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>

namespace mulberryramp {

namespace {

/// Bound on the steps of one pass, so that its cost does not grow with the
/// backlog.
constexpr std::size_t MaxBlockedSteps = 48;
/// Bound on the tasks that are stopped in one pass.
constexpr std::size_t MaxPreemptions = 96;
/// A task is not stopped again this soon after its start, so that it makes
/// progress between two preemptions.
constexpr Millis MinRunTime{300};
/// A stop whose outcome is not known for this long counts as lost.
constexpr Millis StopOutcomeTime{2000};
/// A task that is expected to end this soon is left alone, as stopping it takes
/// about as long.
constexpr Millis EndsSoon{300};

/// A running task that may be stopped.
struct Victim {
  TaskKey Key;
  std::uint32_t Priority = 0;
  Resources Freed;
  double LostCoreSeconds = 0; ///< Work that a stop throws away.
};

/// What one worker has and can have for blocked steps.
struct WorkerRoom {
  Resources Available; ///< With the resources of tasks that are being stopped.
  std::vector<Victim> Victims; ///< Those that lose the least work first.
};

double coreSeconds(std::int64_t MilliCpus, Millis Time) {
  return static_cast<double>(MilliCpus) * static_cast<double>(Time.count()) /
         1e6;
}

/// One choice of preemptions.
class PreemptionChooser {
public:
  PreemptionChooser(const DispatchState &Dispatch, const CellState &State,
                    const SchedulableWorkers &Workers, Instant Now)
      : Dispatch{Dispatch}, State{State}, Workers{Workers}, Now{Now} {}

  std::vector<TaskKey> choose(const std::vector<BlockedStep> &Blocked) {
    const std::size_t Count = std::min(Blocked.size(), MaxBlockedSteps);
    for (std::size_t Index = 0; Index < Count; ++Index) {
      makeRoom(Blocked[Index]);
    }
    return std::move(Chosen);
  }

private:
  void makeRoom(const BlockedStep &Blocked) {
    const Job &Owner = State.Jobs[Blocked.Key.Job];
    const StepSpec &Spec = Owner.Spec.Steps[Blocked.Key.Step];
    const auto AdviceIt = Dispatch.Advice.find(Blocked.Key);
    const StepAdvice *Advice =
        Owner.Queue.Advice && AdviceIt != Dispatch.Advice.end()
            ? &AdviceIt->second
            : nullptr;
    if (Owner.Queue.Advice && Advice == nullptr) {
      return;
    }
    for (std::size_t Task = 0;
         Task < Blocked.Unplaced && Chosen.size() < MaxPreemptions; ++Task) {
      if (!makeRoomForTask(Owner, Spec, Advice)) {
        return;
      }
    }
  }

  /// Stops tasks on the worker where that loses the least work.
  bool makeRoomForTask(const Job &Owner, const StepSpec &Spec,
                       const StepAdvice *Advice) {
    const Resources Need = requiredResources(Spec);
    const double Gain = coreSeconds(Need.MilliCpus, Spec.Estimate);
    WorkerRoom *Best = nullptr;
    std::size_t BestVictims = 0;
    double BestLoss = std::numeric_limits<double>::max();
    for (const WorkerSnapshot &Snapshot : Workers.Rows) {
      if (!isFeasible(Snapshot, Owner, Spec, Now) ||
          (Advice != nullptr && !isAdmitted(*Advice, Snapshot.Worker, Now))) {
        continue;
      }
      WorkerRoom &Room = roomOf(Snapshot);
      double Loss = 0;
      const auto Victims =
          countVictims(Room, Need, Owner.Queue.Priority, Gain, Loss);
      if (Victims && Loss < BestLoss) {
        Best = &Room;
        BestVictims = *Victims;
        BestLoss = Loss;
      }
    }
    if (Best == nullptr) {
      return false;
    }
    for (std::size_t Index = 0; Index < BestVictims; ++Index) {
      Best->Available += Best->Victims[Index].Freed;
      Chosen.push_back(Best->Victims[Index].Key);
    }
    Best->Victims.erase(Best->Victims.begin(),
                        Best->Victims.begin() +
                            static_cast<std::ptrdiff_t>(BestVictims));
    Best->Available -= Need;
    return true;
  }

  /// Counts how many victims have to be stopped until a task fits.
  /// @param Gain Work of the task; not more than this may be lost for it.
  /// @param Loss Receives the work that is lost, and the cost of restarts.
  static std::optional<std::size_t> countVictims(const WorkerRoom &Room,
                                                 const Resources &Need,
                                                 std::uint32_t Priority,
                                                 double Gain, double &Loss) {
    Resources Available = Room.Available;
    std::size_t Count = 0;
    while (!fitsIn(Need, Available)) {
      if (Count == Room.Victims.size() ||
          Room.Victims[Count].Priority <= Priority) {
        return std::nullopt;
      }
      Available += Room.Victims[Count].Freed;
      Loss += Room.Victims[Count].LostCoreSeconds;
      Count += 1;
    }
    if (Loss > Gain) {
      return std::nullopt;
    }
    // Each stop costs a restart elsewhere, so few large victims are better.
    Loss += static_cast<double>(Count);
    return Count;
  }

  WorkerRoom &roomOf(const WorkerSnapshot &Snapshot) {
    const auto [RoomIt, IsNew] = Rooms.try_emplace(Snapshot.Worker);
    if (!IsNew) {
      return RoomIt->second;
    }
    WorkerRoom &Room = RoomIt->second;
    Room.Available = Snapshot.Available;
    for (const TaskKey &Key : Dispatch.Sessions.at(Snapshot.Worker).Tasks) {
      addTask(Room, Dispatch.Launches.at(Key));
    }
    std::sort(Room.Victims.begin(), Room.Victims.end(),
              [](const Victim &Lhs, const Victim &Rhs) {
                return std::tie(Rhs.Priority, Lhs.LostCoreSeconds, Lhs.Key) <
                       std::tie(Lhs.Priority, Rhs.LostCoreSeconds, Rhs.Key);
              });
    return Room;
  }

  void addTask(WorkerRoom &Room, const TaskLaunch &Launch) const {
    const TaskKey &Key = Launch.Assignment.Key;
    const Job *Owner = State.Jobs.find(Key.Job);
    if (Owner == nullptr || Launch.IsEndProposed || isTerminal(Owner->Phase)) {
      return;
    }
    const StepSpec &Spec = Owner->Spec.Steps[Key.Step];
    const Resources Freed = requiredResources(Spec);
    if (Launch.StopSentAt != Instant{} &&
        Now - Launch.StopSentAt < StopOutcomeTime) {
      Room.Available += Freed;
      return;
    }
    const Millis RunTime = Now - Launch.StartedAt;
    if (Launch.Phase != LaunchPhase::Confirmed || Spec.IsLongRunning ||
        Spec.IsGang || RunTime < MinRunTime ||
        Launch.StartedAt +
                expectedStepTime(Dispatch, {Key.Job, Key.Run, Key.Step}, Spec) -
                Now <
            EndsSoon) {
      return;
    }
    Room.Victims.push_back(
        {Key, Owner->Queue.Priority, Freed,
         Spec.IsCheckpointed ? 0 : coreSeconds(Freed.MilliCpus, RunTime)});
  }

  const DispatchState &Dispatch;
  const CellState &State;
  const SchedulableWorkers &Workers;
  Instant Now;
  std::map<WorkerInstanceId, WorkerRoom> Rooms;
  std::vector<TaskKey> Chosen;
};

} // namespace

std::vector<TaskKey> choosePreemptions(const DispatchState &Dispatch,
                                       const CellState &State,
                                       const SchedulableWorkers &Workers,
                                       const std::vector<BlockedStep> &Blocked,
                                       Instant Now) {
  return PreemptionChooser{Dispatch, State, Workers, Now}.choose(Blocked);
}

} // namespace mulberryramp
