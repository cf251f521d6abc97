#include "mulberryramp/system/placement.hpp"

#include "mulberryramp/system/eligibility.hpp"
#include "mulberryramp/system/failures.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <optional>
#include <unordered_map>

namespace mulberryramp {

namespace internal {

constexpr std::size_t MaxBlockedPerRun = 256;
/// Weight of one failed request in a worker's score, where a free resource
/// counts as its fraction of the capacity.
constexpr double FailurePenalty = 10;
constexpr double Unfit = std::numeric_limits<double>::infinity();

struct Candidate {
  RequestId Id;
  std::int64_t Priority = 0;
  WallTime AcceptedAt;
  std::size_t Team = 0;
};

struct EligibleWorker {
  WorkerId Id;
  std::size_t Failures = 0; ///< Failed requests since its last success.
  Resources Free;
  Resources Capacity;
  std::uint32_t Rack = 0;
  bool IsReserved = false;
  RequestId ReservedFor;
};

struct TeamShare {
  std::string Name;
  double DominantShare = 0; ///< Largest share of any resource.
  std::int64_t Weight = 1;
  std::vector<Candidate> Queue;
};

double fraction(std::int64_t Amount, std::int64_t Total) {
  return Total > 0 ? static_cast<double>(Amount) / static_cast<double>(Total)
                   : 0.0;
}

double dominantShare(const Resources &Used, const Resources &Total) {
  return std::max({fraction(Used.MilliCpus, Total.MilliCpus),
                   fraction(Used.MemoryMb, Total.MemoryMb),
                   fraction(Used.Accelerators, Total.Accelerators)});
}

class PlacementPass {
public:
  PlacementPass(const DecisionInput &Input, CentreRuntime &Runtime,
                const PlacementOptions &Options)
      : Input{Input}, Runtime{Runtime}, Options{Options},
        RetriesAreSpent{isRetryBudgetSpent(Input.ActiveRules, Runtime)} {
    collectEligibleWorkers();
    collectAgingLevels();
    collectCandidates();
  }

  PlacementRun run() {
    if (Options.Order == QueueOrder::Arrival) {
      runByArrival();
    } else {
      runFair();
    }
    releaseReservations();
    return std::move(Result);
  }

private:
  /// Releases reservations of requests that are not blocked in this run.
  void releaseReservations() {
    const std::set<RequestId> Blocked{Result.Blocked.begin(),
                                      Result.Blocked.end()};
    std::erase_if(Runtime.ReservedWorkers, [&Blocked](const auto &Reservation) {
      return !Blocked.contains(Reservation.second);
    });
  }

  /// Drops all reservations of a request that is no longer queued or that lost
  /// one of its workers: the remaining workers do not suffice.
  void dropBrokenReservations() {
    std::set<RequestId> Broken;
    for (const auto &[Id, Owner] : Runtime.ReservedWorkers) {
      if (!Input.State.QueuedRequests.contains(Owner) || !RackOf.contains(Id)) {
        Broken.insert(Owner);
      }
    }
    std::erase_if(Runtime.ReservedWorkers, [&Broken](const auto &Reservation) {
      return Broken.contains(Reservation.second);
    });
  }

  void collectEligibleWorkers() {
    std::unordered_map<std::string, std::uint32_t> Racks;
    for (const WorkerId Id : Input.State.Workers.ids()) {
      const Worker &Row = Input.State.Workers[Id];
      CentreCapacity += Row.Capacity;
      if (!isEligible(Input, Runtime, Id)) {
        continue;
      }
      const auto Rack =
          Racks.try_emplace(Row.Rack, static_cast<std::uint32_t>(Racks.size()));
      EligibleWorkers.push_back({Id,
                                 Runtime.Workers.at(Id).FailedRequests.size(),
                                 freeResources(Row),
                                 Row.Capacity,
                                 Rack.first->second,
                                 false,
                                 {}});
      RackOf[Id] = Rack.first->second;
    }
    dropBrokenReservations();
    for (const auto &[Id, Owner] : Runtime.ReservedWorkers) {
      ReservingRequests.insert(Owner);
    }
    for (EligibleWorker &Eligible : EligibleWorkers) {
      const auto ReservationIt = Runtime.ReservedWorkers.find(Eligible.Id);
      if (ReservationIt != Runtime.ReservedWorkers.end()) {
        Eligible.IsReserved = true;
        Eligible.ReservedFor = ReservationIt->second;
      }
    }
  }

  bool isDue(const Request &Row) const {
    return std::any_of(Row.Tasks.begin(), Row.Tasks.end(),
                       [&](TaskId Id) { return isDueTask(Id); });
  }

  /// Collects the priorities that aging can raise a request to: those of
  /// classes that may not preempt. A request that has aged to the priority of a
  /// class shares the resources with that class by team. If each request had
  /// its own aged priority, the backlog of one team would pass all others.
  void collectAgingLevels() {
    AgingLevels.insert(findClass(Input.ActiveRules, "normal")->Priority);
    for (const ClassRule &Rule : Input.ActiveRules.Classes) {
      if (!Rule.MayPreempt) {
        AgingLevels.insert(Rule.Priority);
      }
    }
  }

  std::int64_t agedPriority(const Request &Row) {
    if (Row.Spec.ClassName != LastClass) {
      LastClass = Row.Spec.ClassName;
      LastAgingInterval = findClass(Input.ActiveRules, LastClass)
                              .value_or(ClassRule{})
                              .AgingInterval;
    }
    const Millis Waited =
        std::max(Millis{Input.WallNow - Row.AcceptedAt}, Millis{0});
    const std::int64_t Bonus =
        LastAgingInterval.count() > 0 ? Waited / LastAgingInterval : 0;
    const auto Above = AgingLevels.upper_bound(Row.Spec.Priority + Bonus);
    const std::int64_t Aged =
        Above == AgingLevels.begin() ? 0 : *std::prev(Above);
    return std::max<std::int64_t>(Row.Spec.Priority, Aged);
  }

  std::size_t teamOf(const std::string &Name) {
    if (!Teams.empty() && Teams[LastTeam].Name == Name) {
      return LastTeam;
    }
    const auto [It, Inserted] = TeamIndex.try_emplace(Name, Teams.size());
    if (Inserted) {
      const QuotaRule *Rule = findQuota(Input.ActiveRules, Name);
      TeamShare Share;
      Share.Name = Name;
      Share.Weight = Rule == nullptr ? 1 : Rule->Weight;
      const auto AssignedIt = Input.State.AssignedByTeam.find(Name);
      if (AssignedIt != Input.State.AssignedByTeam.end()) {
        Share.DominantShare = dominantShare(AssignedIt->second, CentreCapacity);
      }
      Teams.push_back(std::move(Share));
    }
    LastTeam = It->second;
    return LastTeam;
  }

  void collectCandidates() {
    Candidates.reserve(Input.State.QueuedRequests.size());
    for (const RequestId Id : Input.State.QueuedRequests) {
      const Request &Row = Input.State.Requests[Id];
      if (needsStop(Row) || !isDue(Row)) {
        continue;
      }
      Candidates.push_back(
          {Id, agedPriority(Row), Row.AcceptedAt, teamOf(Row.Spec.Team)});
    }
  }

  static bool byArrival(const Candidate &Lhs, const Candidate &Rhs) {
    return std::tie(Lhs.AcceptedAt, Lhs.Id) < std::tie(Rhs.AcceptedAt, Rhs.Id);
  }

  void runByArrival() {
    std::sort(Candidates.begin(), Candidates.end(), byArrival);
    for (const Candidate &Queued : Candidates) {
      if (!tryRequest(Queued) || isFull()) {
        return;
      }
    }
  }

  void runFair() {
    std::map<std::int64_t, std::vector<Candidate>, std::greater<>> Levels;
    for (const Candidate &Queued : Candidates) {
      Levels[Queued.Priority].push_back(Queued);
    }
    for (const auto &[Priority, Level] : Levels) {
      if (isFull()) {
        return;
      }
      runLevel(Level);
    }
  }

  static bool isLater(const Candidate &Lhs, const Candidate &Rhs) {
    return byArrival(Rhs, Lhs);
  }

  /// Places requests of one priority, always from the team with the smallest
  /// weighted dominant share. The queues are heaps, because one run takes few
  /// requests of a long queue.
  void runLevel(const std::vector<Candidate> &Level) {
    for (TeamShare &Share : Teams) {
      Share.Queue.clear();
    }
    for (const Candidate &Queued : Level) {
      Teams[Queued.Team].Queue.push_back(Queued);
    }
    for (TeamShare &Share : Teams) {
      std::make_heap(Share.Queue.begin(), Share.Queue.end(), isLater);
    }
    while (!isFull()) {
      TeamShare *Next = leastServed();
      if (Next == nullptr) {
        return;
      }
      std::pop_heap(Next->Queue.begin(), Next->Queue.end(), isLater);
      const Candidate Queued = Next->Queue.back();
      Next->Queue.pop_back();
      tryRequest(Queued);
    }
  }

  TeamShare *leastServed() {
    TeamShare *Next = nullptr;
    for (TeamShare &Share : Teams) {
      if (Share.Queue.empty()) {
        continue;
      }
      if (Next == nullptr ||
          Share.DominantShare * static_cast<double>(Next->Weight) <
              Next->DominantShare * static_cast<double>(Share.Weight)) {
        Next = &Share;
      }
    }
    return Next;
  }

  bool isFull() const {
    return Result.Placements.size() >= Options.MaxPlacements ||
           Result.Blocked.size() >= MaxBlockedPerRun;
  }

  bool isKnownUnplaceable(const RequestSpec &Spec) const {
    return std::any_of(
        UnplaceableNeeds.begin(), UnplaceableNeeds.end(),
        [&](const Resources &Need) { return fitsIn(Need, Spec.Need); });
  }

  bool tryRequest(const Candidate &Queued) {
    Result.RequestsExamined += 1;
    const Request &Row = Input.State.Requests[Queued.Id];
    Placement Planned;
    Planned.Owner = Queued.Id;
    const bool IsPlaced = Row.Spec.Kind == WorkKind::Gang
                              ? placeGang(Queued.Id, Row, Planned)
                              : placeTasks(Queued.Id, Row, Planned);
    if (!Planned.Tasks.empty()) {
      recordAssignments(Queued, Row.Spec, Planned.Tasks.size());
      Result.Placements.push_back(std::move(Planned));
    }
    if (!IsPlaced) {
      Result.Blocked.push_back(Queued.Id);
      reserveWorkers(Queued, Row);
    }
    return IsPlaced;
  }

  void recordAssignments(const Candidate &Queued, const RequestSpec &Spec,
                         std::size_t Count) {
    Resources &Tentative = TentativeByTeam[Queued.Team];
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Tentative += Spec.Need;
      Teams[Queued.Team].DominantShare +=
          dominantShare(Spec.Need, CentreCapacity);
    }
  }

  bool quotaAllows(const RequestSpec &Spec, const Resources &Additional) {
    return hasQuotaFor(Input, Runtime, Spec,
                       TentativeByTeam[teamOf(Spec.Team)] + Additional);
  }

  std::vector<std::uint32_t> tasksPerRack(const Request &Row) const {
    std::vector<std::uint32_t> Counts;
    if (Row.Spec.MaxPerRack == 0) {
      return Counts;
    }
    Counts.resize(EligibleWorkers.size() + 1, 0);
    for (const TaskId Id : Row.Tasks) {
      const auto Rack = RackOf.find(Input.State.Tasks[Id].AssignedWorker);
      if (Rack != RackOf.end()) {
        Counts[Rack->second] += 1;
      }
    }
    return Counts;
  }

  double score(const EligibleWorker &Eligible, const RequestSpec &Spec,
               PlacementPolicy Policy) const {
    const Resources Remaining = Eligible.Free - Spec.Need;
    const double Cpu =
        fraction(Remaining.MilliCpus, Eligible.Capacity.MilliCpus);
    const double Memory =
        fraction(Remaining.MemoryMb, Eligible.Capacity.MemoryMb);
    const double AcceleratorShare =
        fraction(Remaining.Accelerators, Eligible.Capacity.Accelerators);
    const double Wasted =
        (Spec.Need.Accelerators == 0 ? 4 * AcceleratorShare : 0) +
        FailurePenalty * static_cast<double>(Eligible.Failures);
    if (Policy == PlacementPolicy::BinPacking) {
      return 4 * Memory + Cpu + AcceleratorShare + Wasted;
    }
    return Memory + Cpu + AcceleratorShare + Wasted;
  }

  EligibleWorker *chooseWorker(RequestId Owner, const RequestSpec &Spec,
                               PlacementPolicy Policy,
                               const std::vector<std::uint32_t> &PerRack) {
    EligibleWorker *Best = nullptr;
    double BestScore = Unfit;
    for (EligibleWorker &Eligible : EligibleWorkers) {
      const bool IsAvailable =
          !Eligible.IsReserved || Eligible.ReservedFor == Owner;
      if (!IsAvailable || !fitsIn(Spec.Need, Eligible.Free) ||
          (!PerRack.empty() && PerRack[Eligible.Rack] >= Spec.MaxPerRack)) {
        continue;
      }
      if (Options.Choice == WorkerChoice::FirstFit) {
        return &Eligible;
      }
      const double Score = score(Eligible, Spec, Policy);
      if (Score < BestScore) {
        Best = &Eligible;
        BestScore = Score;
      }
    }
    return Best;
  }

  bool isDueTask(TaskId Id) const {
    const Task &TaskRow = Input.State.Tasks[Id];
    const bool IsDelayed = RetriesAreSpent && TaskRow.Attempts > 0;
    return TaskRow.State == TaskState::Queued &&
           TaskRow.NotBefore <= Input.WallNow && !IsDelayed;
  }

  bool placeOne(RequestId Owner, const Request &Row, TaskId Id,
                std::vector<std::uint32_t> &PerRack, Placement &Planned) {
    EligibleWorker *Chosen = chooseWorker(
        Owner, Row.Spec,
        placementPolicyFor(Input.ActiveRules, Row.Spec.Customer), PerRack);
    if (Chosen == nullptr) {
      return false;
    }
    Chosen->Free -= Row.Spec.Need;
    if (!PerRack.empty()) {
      PerRack[Chosen->Rack] += 1;
    }
    Planned.Tasks.push_back({Id, Chosen->Id});
    return true;
  }

  /// Places the due tasks one by one.
  /// @return False if the request is blocked. One that exceeds its quota is
  /// not: neither a reservation nor preemption could help it.
  bool placeTasks(RequestId Owner, const Request &Row, Placement &Planned) {
    const bool IsPlain =
        Row.Spec.MaxPerRack == 0 && !ReservingRequests.contains(Owner);
    if (IsPlain && isKnownUnplaceable(Row.Spec)) {
      return false;
    }
    std::vector<std::uint32_t> PerRack = tasksPerRack(Row);
    Resources Additional;
    for (const TaskId Id : Row.Tasks) {
      if (!isDueTask(Id)) {
        continue;
      }
      Additional += Row.Spec.Need;
      if (!quotaAllows(Row.Spec, Additional)) {
        return true;
      }
      if (!placeOne(Owner, Row, Id, PerRack, Planned)) {
        if (IsPlain) {
          UnplaceableNeeds.push_back(Row.Spec.Need);
        }
        return false;
      }
    }
    return true;
  }

  /// Places all tasks of a gang or none.
  /// @return As for `placeTasks`; a gang with a task that is not due is not
  /// blocked either.
  bool placeGang(RequestId Owner, const Request &Row, Placement &Planned) {
    Resources Additional;
    for (const TaskId Id : Row.Tasks) {
      if (!isDueTask(Id)) {
        return true;
      }
      Additional += Row.Spec.Need;
    }
    if (!quotaAllows(Row.Spec, Additional)) {
      return true;
    }
    const std::vector<EligibleWorker> Before = EligibleWorkers;
    std::vector<std::uint32_t> PerRack = tasksPerRack(Row);
    for (const TaskId Id : Row.Tasks) {
      if (!placeOne(Owner, Row, Id, PerRack, Planned)) {
        EligibleWorkers = Before;
        Planned.Tasks.clear();
        return false;
      }
    }
    return true;
  }

  /// Computes the free resources of a worker after its batch and gang tasks
  /// have ended.
  Resources freeAfterFiniteTasks(const EligibleWorker &Eligible) const {
    const Worker &Row = Input.State.Workers[Eligible.Id];
    Resources Sum = Eligible.Free;
    for (const TaskId Id : Row.Tasks) {
      const Request &Owner = Input.State.Requests[Input.State.Tasks[Id].Owner];
      if (Owner.Spec.Kind != WorkKind::Service) {
        Sum += Owner.Spec.Need;
      }
    }
    return Sum;
  }

  /// Tells whether a request needs a reservation: a gang, or tasks that no
  /// worker can run two of. Smaller tasks fit into the resources that the next
  /// ending task frees.
  bool isLarge(const RequestSpec &Spec) const {
    const bool IsGang = Spec.Kind == WorkKind::Gang && Spec.TaskCount > 1;
    return IsGang ||
           std::none_of(EligibleWorkers.begin(), EligibleWorkers.end(),
                        [&Spec](const EligibleWorker &Eligible) {
                          return fitsIn(Spec.Need + Spec.Need,
                                        Eligible.Capacity);
                        });
  }

  /// Reserves workers for the first request that has waited long enough, so
  /// that a stream of small tasks cannot starve it. Only one request at a time
  /// has reservations, so that two requests cannot wait for each other.
  void reserveWorkers(const Candidate &Queued, const Request &Row) {
    if (!Options.MayReserve || !Runtime.ReservedWorkers.empty() ||
        !isLarge(Row.Spec) ||
        Input.WallNow - Row.AcceptedAt < Options.ReserveAfter) {
      return;
    }
    std::vector<EligibleWorker *> ByFreeCpu;
    for (EligibleWorker &Eligible : EligibleWorkers) {
      ByFreeCpu.push_back(&Eligible);
    }
    std::stable_sort(ByFreeCpu.begin(), ByFreeCpu.end(),
                     [](const EligibleWorker *Lhs, const EligibleWorker *Rhs) {
                       return Lhs->Free.MilliCpus > Rhs->Free.MilliCpus;
                     });
    const auto DueTasks = static_cast<std::size_t>(
        std::count_if(Row.Tasks.begin(), Row.Tasks.end(),
                      [this](TaskId Id) { return isDueTask(Id); }));
    std::vector<EligibleWorker *> Chosen;
    std::size_t Fitting = 0;
    for (EligibleWorker *Eligible : ByFreeCpu) {
      Resources Remaining = freeAfterFiniteTasks(*Eligible);
      const std::size_t Before = Fitting;
      while (Fitting < DueTasks && fitsIn(Row.Spec.Need, Remaining)) {
        Remaining -= Row.Spec.Need;
        Fitting += 1;
      }
      if (Fitting > Before) {
        Chosen.push_back(Eligible);
      }
    }
    const std::size_t Required = Row.Spec.Kind == WorkKind::Gang ? DueTasks : 1;
    if (Fitting < Required) {
      return;
    }
    for (EligibleWorker *Eligible : Chosen) {
      Eligible->IsReserved = true;
      Eligible->ReservedFor = Queued.Id;
      Runtime.ReservedWorkers[Eligible->Id] = Queued.Id;
    }
  }

  const DecisionInput &Input;
  CentreRuntime &Runtime;
  const PlacementOptions &Options;
  bool RetriesAreSpent;
  Resources CentreCapacity;
  std::vector<EligibleWorker> EligibleWorkers;
  std::map<WorkerId, std::uint32_t> RackOf;
  std::vector<Candidate> Candidates;
  std::vector<TeamShare> Teams;
  std::unordered_map<std::string, std::size_t> TeamIndex;
  std::size_t LastTeam = 0;
  std::set<std::int64_t> AgingLevels;
  std::string LastClass;
  Millis LastAgingInterval{0};
  std::map<std::size_t, Resources> TentativeByTeam;
  std::vector<Resources> UnplaceableNeeds; ///< Needs that fit nowhere.
  std::set<RequestId> ReservingRequests;   ///< Requests with reservations.
  PlacementRun Result;
};

} // namespace internal

PlacementRun place(const DecisionInput &Input, CentreRuntime &Runtime,
                   const PlacementOptions &Options) {
  return internal::PlacementPass{Input, Runtime, Options}.run();
}

} // namespace mulberryramp
