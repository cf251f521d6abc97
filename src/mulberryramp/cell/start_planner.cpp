#include "mulberryramp/cell/start_planner.hpp"

#include "mulberryramp/cell/advice.hpp"
#include "mulberryramp/cell/orders.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mulberryramp {

namespace {

/// Most workers that one question names; answers take longer for more.
constexpr std::size_t MaxQuestionWorkers = 30;
/// Share of the workers that an advisor is expected to admit.
constexpr double AdmittedShare = 0.4;
/// Room that is asked about, against the tasks that wait for it.
constexpr double QuestionMargin = 1.5;
/// Fewest unknown workers that a question names, if there are as many.
constexpr std::size_t MinUnknownWorkers = 8;
/// Weight of the run times on a worker against those of like tasks.
constexpr double RuntimeRatioWeight = 0.8;
/// A step that follows is asked about so long before it is ready.
constexpr Millis AdvicePrefetchTime{150};
/// Pause before candidates are looked for again where there were none.
constexpr Millis NoCandidatePause{60};
/// Weights of a place, in units of a worker that is left empty.
constexpr double DataLocalityPenalty = 4;
constexpr double PriorFailurePenalty = 3;
constexpr double ServiceColocationPenalty = 0.6;
constexpr double RecentMissPenalty = 2;
/// A job this many objectives late is served last.
constexpr int FarOverdueFactor = 3;

constexpr std::size_t NoIndex = std::numeric_limits<std::size_t>::max();

/// A worker during one pass.
struct Place {
  WorkerInstanceId Worker;
  const WorkerInstance *Life = nullptr;
  Resources Free;
  std::uint32_t Lasting = 0; ///< Serving tasks there.
  double RuntimeRatio = 1;   ///< Run times against those of like tasks.
  bool HasLatencyViolation =
      false;                  ///< Serving tasks there are over their limit.
  bool HadRecentMiss = false; ///< An order got no answer lately.
};

/// A step with tasks that wait.
struct PendingStep {
  StepKey Key;
  std::uint32_t Priority = 0;
  bool IsFarOverdue = false;
  WallTime SoftDeadline;
};

bool operator<(const PendingStep &Left, const PendingStep &Right) {
  return std::tie(Left.IsFarOverdue, Left.Priority, Left.SoftDeadline,
                  Left.Key) < std::tie(Right.IsFarOverdue, Right.Priority,
                                       Right.SoftDeadline, Right.Key);
}

class StartPlanner {
public:
  StartPlanner(DispatchState &Dispatch, const CellState &State, Instant Now,
               WallTime WallNow)
      : Dispatch{Dispatch}, State{State}, Now{Now}, WallNow{WallNow} {}

  std::vector<TaskAssignment> plan() {
    snapshotWorkers();
    collectSteps();
    for (const PendingStep &Pending : Ready) {
      planStep(Pending.Key);
    }
    for (const PendingStep &Pending : SoonReady) {
      prefetchAdvice(Pending.Key);
    }
    return std::move(Assignments);
  }

private:
  void snapshotWorkers() {
    for (const WorkerInstanceId Id : State.Workers.ids()) {
      if (!isSchedulable(Dispatch, State, Id, Now)) {
        continue;
      }
      Place Item;
      Item.Worker = Id;
      Item.Life = &State.Workers[Id];
      Item.Free = availableResources(*Item.Life);
      const WorkerSession &Session = Dispatch.Sessions.at(Id);
      Item.RuntimeRatio = Session.RuntimeRatio;
      Item.HasLatencyViolation = Session.HasLatencyViolation;
      Item.HadRecentMiss = Session.LastMissAt != Instant{} &&
                           Now - Session.LastMissAt < OrderLossWindow;
      for (const TaskKey &Key : Session.Tasks) {
        const Job *Owner = State.Jobs.find(Key.Job);
        Item.Lasting +=
            Owner != nullptr && Owner->Spec.Steps[Key.Step].IsLongRunning ? 1
                                                                          : 0;
      }
      if (SnapshotIndexBySlot.size() <= Id.Slot) {
        SnapshotIndexBySlot.resize(Id.Slot + 1, NoIndex);
      }
      SnapshotIndexBySlot[Id.Slot] = Places.size();
      Places.push_back(Item);
    }
  }

  /// Finds the place of a life of a worker, or null.
  Place *placeOf(WorkerInstanceId Worker) {
    if (Worker.Slot >= SnapshotIndexBySlot.size() ||
        SnapshotIndexBySlot[Worker.Slot] == NoIndex) {
      return nullptr;
    }
    Place &Item = Places[SnapshotIndexBySlot[Worker.Slot]];
    return Item.Worker == Worker ? &Item : nullptr;
  }

  void collectSteps() {
    for (const JobId Id : State.UnfinishedJobs) {
      const Job &JobRow = State.Jobs[Id];
      for (const JobRun &Run : JobRow.Runs) {
        collectStepsOfRun(Id, JobRow, Run);
      }
    }
    std::sort(Ready.begin(), Ready.end());
    std::sort(SoonReady.begin(), SoonReady.end());
  }

  void collectStepsOfRun(JobId Id, const Job &JobRow, const JobRun &Run) {
    PendingStep Found;
    Found.Priority = JobRow.Queue.Priority;
    Found.SoftDeadline = softDeadlineOf(JobRow, Run.Number);
    const WallTime Due = dueTime(JobRow, Run.Number);
    Found.IsFarOverdue =
        !JobRow.Spec.Steps.front().IsLongRunning &&
        WallNow > Due + (Found.SoftDeadline - Due) * FarOverdueFactor;
    for (std::uint32_t Step = 0; Step < Run.Steps.size(); ++Step) {
      const JobStep &Each = Run.Steps[Step];
      if (Each.Assigned + Each.Done == Each.Tasks.size()) {
        continue;
      }
      Found.Key = {Id, Run.Number, Step};
      if (isStepReady(JobRow, Run, Step)) {
        Ready.push_back(Found);
      } else if (JobRow.Queue.Advice && isSoonReady(JobRow, Id, Run, Step)) {
        SoonReady.push_back(Found);
      }
    }
  }

  /// Tells whether all that a step waits for runs and is about to end.
  bool isSoonReady(const Job &JobRow, JobId Id, const JobRun &Run,
                   std::uint32_t Step) const {
    const Instant Soon =
        Now + expectedAnswerTime(*JobRow.Queue.Advice, MaxQuestionWorkers) +
        AdvicePrefetchTime;
    for (const std::uint32_t Earlier : JobRow.Spec.Steps[Step].DependsOn) {
      const JobStep &Before = Run.Steps[Earlier];
      if (Before.Assigned + Before.Done != Before.Tasks.size()) {
        return false;
      }
      for (std::uint32_t Task = 0; Task < Before.Tasks.size(); ++Task) {
        const auto LaunchIt =
            Dispatch.Launches.find({Id, Run.Number, Earlier, Task});
        if (LaunchIt != Dispatch.Launches.end() &&
            LaunchIt->second.StartedAt + JobRow.Spec.Steps[Earlier].Estimate >
                Soon) {
          return false;
        }
      }
    }
    return true;
  }

  bool isFeasible(const Place &Item, const Job &Owner,
                  const StepSpec &Step) const {
    const auto &Labels = Item.Life->Report.Labels;
    return Item.Life->Report.Pool == Owner.Queue.Pool &&
           (Step.IsLongRunning || !Item.HasLatencyViolation) &&
           (Step.Label.empty() || std::find(Labels.begin(), Labels.end(),
                                            Step.Label) != Labels.end());
  }

  /// Rates a place; lower is better.
  double scoreWorker(const Place &Item, const StepSpec &Step,
                     const Resources &Need, const JobTask *Task) const {
    const Resources Left = Item.Free - Need;
    const auto Share = [](std::int64_t Part, std::int64_t Whole) {
      return Whole == 0
                 ? 0.0
                 : static_cast<double>(Part) / static_cast<double>(Whole);
    };
    const Resources &Whole = Item.Life->Report.Capacity;
    double Rating = Share(Left.MilliCpus, Whole.MilliCpus) +
                    Share(Left.MemoryMb, Whole.MemoryMb) / 2;
    if (!Step.DataRack.empty() && Step.DataRack != Item.Life->Report.Rack) {
      Rating += DataLocalityPenalty;
    }
    if (Task != nullptr && Task->Failures != 0 && Task->Worker == Item.Worker) {
      Rating += PriorFailurePenalty;
    }
    Rating += Item.RuntimeRatio * RuntimeRatioWeight;
    if (Item.HadRecentMiss) {
      Rating += RecentMissPenalty;
    }
    if (!Step.IsLongRunning && Item.Lasting != 0) {
      Rating += ServiceColocationPenalty;
    }
    return Rating;
  }

  using TaskCounts = std::map<WorkerInstanceId, std::uint32_t>;

  static bool isFull(const StepSpec &Step, const Place &Item,
                     const TaskCounts &Counts) {
    if (Step.MaxPerWorker == 0) {
      return false;
    }
    const auto Count = Counts.find(Item.Worker);
    return Count != Counts.end() && Count->second >= Step.MaxPerWorker;
  }

  /// Chooses the best place for a task, or null.
  Place *pickBestWorker(const Job &Owner, const StepSpec &Step,
                        const StepAdvice *Advice, const JobTask *Task,
                        const std::string *Rack, const TaskCounts &Counts) {
    const Resources Need = requiredResources(Step);
    Place *Best = nullptr;
    double BestRating = std::numeric_limits<double>::max();
    const auto Consider = [&](Place &Item) {
      if (!fitsIn(Need, Item.Free) || !isFeasible(Item, Owner, Step) ||
          (Rack != nullptr && Item.Life->Report.Rack != *Rack) ||
          isFull(Step, Item, Counts)) {
        return;
      }
      const double Rating = scoreWorker(Item, Step, Need, Task);
      if (Rating < BestRating) {
        BestRating = Rating;
        Best = &Item;
      }
    };
    if (Advice == nullptr) {
      std::for_each(Places.begin(), Places.end(), Consider);
      return Best;
    }
    for (const auto &[Worker, Admission] : Advice->Admitted) {
      Place *Item = Now < Admission.ExpiresAt ? placeOf(Worker) : nullptr;
      if (Item != nullptr) {
        Consider(*Item);
      }
    }
    return Best;
  }

  void take(Place &Item, const StepSpec &Step, const TaskKey &Key,
            std::uint32_t Attempt) {
    Item.Free -= requiredResources(Step);
    Item.Lasting += Step.IsLongRunning ? 1 : 0;
    Assignments.push_back({Key, Attempt, Item.Worker});
  }

  static TaskCounts countTasks(const JobStep &Step) {
    TaskCounts Counts;
    for (const JobTask &Task : Step.Tasks) {
      if (Task.State == JobTaskState::Assigned) {
        Counts[Task.Worker] += 1;
      }
    }
    return Counts;
  }

  void planStep(const StepKey &Key) {
    const Job &Owner = State.Jobs[Key.Job];
    const StepSpec &Spec = Owner.Spec.Steps[Key.Step];
    const JobStep &Step = findRun(Owner, Key.Run)->Steps[Key.Step];
    const StepAdvice *Advice = nullptr;
    if (Owner.Queue.Advice) {
      Advice = &Dispatch.Advice[Key];
    }
    const std::size_t Missing = Spec.IsGang
                                    ? planGang(Key, Owner, Spec, Step, Advice)
                                    : planTasks(Key, Owner, Spec, Step, Advice);
    if (Missing != 0 && Advice != nullptr) {
      queryWorkers(Key, Owner, Spec, Step, Missing);
    }
  }

  /// Places what can be placed; returns how many tasks could not.
  std::size_t planTasks(const StepKey &Key, const Job &Owner,
                        const StepSpec &Spec, const JobStep &Step,
                        const StepAdvice *Advice) {
    auto Counts = countTasks(Step);
    std::size_t Missing = 0;
    for (std::uint32_t Index = 0; Index < Step.Tasks.size(); ++Index) {
      const JobTask &Task = Step.Tasks[Index];
      if (Task.State != JobTaskState::Waiting) {
        continue;
      }
      Place *Chosen = Missing != 0 ? nullptr
                                   : pickBestWorker(Owner, Spec, Advice, &Task,
                                                    nullptr, Counts);
      if (Chosen == nullptr) {
        Missing += 1;
        continue;
      }
      Counts[Chosen->Worker] += 1;
      take(*Chosen, Spec, {Key.Job, Key.Run, Key.Step, Index},
           Task.Attempt + 1);
    }
    return Missing;
  }

  /// Places all members or none; on one rack if the step asks for it.
  std::size_t planGang(const StepKey &Key, const Job &Owner,
                       const StepSpec &Spec, const JobStep &Step,
                       const StepAdvice *Advice) {
    if (Step.Assigned != 0) {
      return 0;
    }
    if (Spec.PrefersSameRack) {
      std::set<std::string> Racks;
      for (const Place &Item : Places) {
        Racks.insert(Item.Life->Report.Rack);
      }
      for (const std::string &Rack : Racks) {
        if (tryGang(Key, Owner, Spec, Step, Advice, &Rack)) {
          return 0;
        }
      }
    }
    return tryGang(Key, Owner, Spec, Step, Advice, nullptr) ? 0
                                                            : Step.Tasks.size();
  }

  bool tryGang(const StepKey &Key, const Job &Owner, const StepSpec &Spec,
               const JobStep &Step, const StepAdvice *Advice,
               const std::string *Rack) {
    const std::vector<Place> Before = Places;
    const std::size_t First = Assignments.size();
    std::uint32_t Attempt = 0;
    for (const JobTask &Task : Step.Tasks) {
      Attempt = std::max(Attempt, Task.Attempt + 1);
    }
    TaskCounts Counts;
    for (std::uint32_t Index = 0; Index < Step.Tasks.size(); ++Index) {
      Place *Chosen =
          pickBestWorker(Owner, Spec, Advice, &Step.Tasks[Index], Rack, Counts);
      if (Chosen == nullptr) {
        Places = Before;
        Assignments.resize(First);
        return false;
      }
      Counts[Chosen->Worker] += 1;
      take(*Chosen, Spec, {Key.Job, Key.Run, Key.Step, Index}, Attempt);
    }
    return true;
  }

  /// Asks about workers that have room: first those whose ticket has run out,
  /// then unknown ones.
  void queryWorkers(const StepKey &Key, const Job &Owner, const StepSpec &Spec,
                    const JobStep &Step, std::size_t Missing) {
    const StepAdvice &Advice = Dispatch.Advice[Key];
    if (!canQueryAdvisor(Dispatch, Advice, *Owner.Queue.Advice, Now)) {
      return;
    }
    const Resources Need = requiredResources(Spec);
    const TaskCounts Counts = countTasks(Step);
    struct Candidate {
      bool IsUnknown = false;
      double Rating = 0;
      WorkerInstanceId Worker;
      double Room = 0; ///< Tasks that it is expected to take.

      bool operator<(const Candidate &Other) const {
        return std::tie(IsUnknown, Rating, Worker) <
               std::tie(Other.IsUnknown, Other.Rating, Other.Worker);
      }
    };
    std::vector<Candidate> Candidates;
    for (const Place &Item : Places) {
      if (!fitsIn(Need, Item.Free) || !isFeasible(Item, Owner, Spec) ||
          Advice.Denied.contains(Item.Worker) ||
          isAdmitted(Advice, Item.Worker, Now) || isFull(Spec, Item, Counts)) {
        continue;
      }
      const bool IsUnknown = !Advice.Admitted.contains(Item.Worker);
      Candidates.push_back(
          {IsUnknown, scoreWorker(Item, Spec, Need, nullptr), Item.Worker,
           (IsUnknown ? AdmittedShare : 1.0) * taskCapacity(Item, Spec)});
    }
    if (Candidates.empty()) {
      Dispatch.Advice[Key].RetryAt = Now + NoCandidatePause;
      return;
    }
    const std::size_t Best = std::min(MaxQuestionWorkers, Candidates.size());
    std::partial_sort(Candidates.begin(),
                      Candidates.begin() + static_cast<std::ptrdiff_t>(Best),
                      Candidates.end());
    Candidates.resize(Best);
    std::vector<WorkerInstanceId> Workers;
    std::size_t Unknown = 0;
    double Room = 0;
    for (const Candidate &Item : Candidates) {
      const bool IsEnough =
          Room >= QuestionMargin * static_cast<double>(Missing) &&
          (!Item.IsUnknown || Unknown == 0 || Unknown >= MinUnknownWorkers);
      if (IsEnough) {
        break;
      }
      Workers.push_back(Item.Worker);
      Room += Item.Room;
      Unknown += Item.IsUnknown ? 1 : 0;
    }
    queryAdvisor(Dispatch, State, Key, *Owner.Queue.Advice, Workers, Now);
  }

  /// Counts the tasks of a step that a place has room for.
  static double taskCapacity(const Place &Item, const StepSpec &Spec) {
    const Resources Need = requiredResources(Spec);
    std::int64_t Count = Spec.Tasks;
    const auto Limit = [&Count](std::int64_t Free, std::int64_t Each) {
      Count = Each == 0 ? Count : std::min(Count, Free / Each);
    };
    Limit(Item.Free.MilliCpus, Need.MilliCpus);
    Limit(Item.Free.MemoryMb, Need.MemoryMb);
    Limit(Item.Free.Accelerators, Need.Accelerators);
    if (Spec.MaxPerWorker != 0) {
      Count = std::min<std::int64_t>(Count, Spec.MaxPerWorker);
    }
    return static_cast<double>(Count);
  }

  void prefetchAdvice(const StepKey &Key) {
    const Job &Owner = State.Jobs[Key.Job];
    const StepSpec &Spec = Owner.Spec.Steps[Key.Step];
    const JobStep &Step = findRun(Owner, Key.Run)->Steps[Key.Step];
    const auto AdviceIt = Dispatch.Advice.find(Key);
    if (AdviceIt == Dispatch.Advice.end() ||
        AdviceIt->second.Admitted.empty()) {
      queryWorkers(Key, Owner, Spec, Step, Step.Tasks.size());
    }
  }

  DispatchState &Dispatch;
  const CellState &State;
  Instant Now;
  WallTime WallNow;
  std::vector<Place> Places;
  std::vector<std::size_t> SnapshotIndexBySlot; ///< By slot of the worker.
  std::vector<PendingStep> Ready;
  std::vector<PendingStep> SoonReady;
  std::vector<TaskAssignment> Assignments;
};

} // namespace

WallTime softDeadlineOf(const Job &JobRow, std::uint32_t Run) {
  const auto Chain = static_cast<double>(criticalPathTime(JobRow.Spec).count());
  return dueTime(JobRow, Run) + JobRow.Queue.LatencyTarget +
         Millis{std::llround(Chain * JobRow.Queue.SlackFactor)};
}

std::vector<TaskAssignment> planStarts(DispatchState &Dispatch,
                                       const CellState &State, Instant Now,
                                       WallTime WallNow) {
  return StartPlanner{Dispatch, State, Now, WallNow}.plan();
}

} // namespace mulberryramp
