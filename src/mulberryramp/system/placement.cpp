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
/// Weight of a failure against the parts of a worker that are left over.
constexpr double FailurePenalty = 10;
constexpr double Unfit = std::numeric_limits<double>::infinity();

struct Candidate {
  RequestId Id;
  std::int64_t Priority = 0;
  WallTime AcceptedAt;
  std::size_t Team = 0;
};

struct Room {
  WorkerId Id;
  std::size_t Failures = 0; ///< Requests that failed there in a row.
  Resources Free;
  Resources Capacity;
  std::uint32_t Rack = 0;
  bool IsHeld = false;
  RequestId ReservedFor;
};

struct TeamShare {
  std::string Name;
  double DominantShare =
      0; ///< Largest granted part of the data centre, by weight.
  std::int64_t Weight = 1;
  std::vector<Candidate> Queue;
};

double fraction(std::int64_t Amount, std::int64_t Whole) {
  return Whole > 0 ? static_cast<double>(Amount) / static_cast<double>(Whole)
                   : 0.0;
}

double dominantShare(const Resources &Held, const Resources &Whole) {
  return std::max({fraction(Held.MilliCpus, Whole.MilliCpus),
                   fraction(Held.MemoryMb, Whole.MemoryMb),
                   fraction(Held.Accelerators, Whole.Accelerators)});
}

class PlacementPass {
public:
  PlacementPass(const DecisionInput &Input, CentreRuntime &Runtime,
                const PlacementOptions &Options)
      : Input{Input}, Runtime{Runtime}, Options{Options},
        RetriesAreSpent{isRetryBudgetSpent(Input.ActiveRules, Runtime)} {
    collectEligibleWorkers();
    listLevels();
    listCandidates();
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
  /// Only requests that wait for a place right now may hold workers.
  void releaseReservations() {
    const std::set<RequestId> Blocked{Result.Blocked.begin(),
                                      Result.Blocked.end()};
    std::erase_if(Runtime.ReservedWorkers, [&Blocked](const auto &Item) {
      return !Blocked.contains(Item.second);
    });
  }

  /// Without one of its workers the others cannot help a request either.
  void dropBrokenReservations() {
    std::set<RequestId> Broken;
    for (const auto &[Place, Owner] : Runtime.ReservedWorkers) {
      if (!Input.State.QueuedRequests.contains(Owner) ||
          !RackOf.contains(Place)) {
        Broken.insert(Owner);
      }
    }
    std::erase_if(Runtime.ReservedWorkers, [&Broken](const auto &Item) {
      return Broken.contains(Item.second);
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
    for (const auto &[Place, Owner] : Runtime.ReservedWorkers) {
      ReservingRequests.insert(Owner);
    }
    for (Room &Item : EligibleWorkers) {
      const auto Held = Runtime.ReservedWorkers.find(Item.Id);
      if (Held != Runtime.ReservedWorkers.end()) {
        Item.IsHeld = true;
        Item.ReservedFor = Held->second;
      }
    }
  }

  bool isDue(const Request &Row) const {
    return std::any_of(Row.Tasks.begin(), Row.Tasks.end(),
                       [&](TaskId Id) { return isDueTask(Id); });
  }

  /// Priorities that waiting can lift a request to: those of the classes that
  /// push nothing out. Lifted requests join that class and share with it by
  /// team; a higher priority for each would let one team's backlog pass by.
  void listLevels() {
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
      LastAgesEvery = findClass(Input.ActiveRules, LastClass)
                          .value_or(ClassRule{})
                          .AgingInterval;
    }
    const Millis Waited =
        std::max(Millis{Input.WallNow - Row.AcceptedAt}, Millis{0});
    const std::int64_t Bonus =
        LastAgesEvery.count() > 0 ? Waited / LastAgesEvery : 0;
    const auto Above = AgingLevels.upper_bound(Row.Spec.Priority + Bonus);
    const std::int64_t Lifted =
        Above == AgingLevels.begin() ? 0 : *std::prev(Above);
    return std::max<std::int64_t>(Row.Spec.Priority, Lifted);
  }

  std::size_t teamOf(const std::string &Name) {
    if (!Teams.empty() && Teams[LastTeam].Name == Name) {
      return LastTeam;
    }
    const auto [Found, Fresh] = TeamIndex.try_emplace(Name, Teams.size());
    if (Fresh) {
      const QuotaRule *Rule = findQuota(Input.ActiveRules, Name);
      TeamShare Share;
      Share.Name = Name;
      Share.Weight = Rule == nullptr ? 1 : Rule->Weight;
      const auto Held = Input.State.GrantedByTeam.find(Name);
      if (Held != Input.State.GrantedByTeam.end()) {
        Share.DominantShare = dominantShare(Held->second, CentreCapacity);
      }
      Teams.push_back(std::move(Share));
    }
    LastTeam = Found->second;
    return LastTeam;
  }

  void listCandidates() {
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

  static bool byArrival(const Candidate &Left, const Candidate &Right) {
    return std::tie(Left.AcceptedAt, Left.Id) <
           std::tie(Right.AcceptedAt, Right.Id);
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

  static bool isLater(const Candidate &Left, const Candidate &Right) {
    return byArrival(Right, Left);
  }

  /// The queues are heaps: a run takes few requests of a long queue.
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
      TeamShare *Least = leastServed();
      if (Least == nullptr) {
        return;
      }
      std::pop_heap(Least->Queue.begin(), Least->Queue.end(), isLater);
      const Candidate Item = Least->Queue.back();
      Least->Queue.pop_back();
      tryRequest(Item);
    }
  }

  TeamShare *leastServed() {
    TeamShare *Least = nullptr;
    for (TeamShare &Share : Teams) {
      if (Share.Queue.empty()) {
        continue;
      }
      if (Least == nullptr ||
          Share.DominantShare * static_cast<double>(Least->Weight) <
              Least->DominantShare * static_cast<double>(Share.Weight)) {
        Least = &Share;
      }
    }
    return Least;
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
    Result.Considered += 1;
    const Request &Row = Input.State.Requests[Queued.Id];
    Placement Wanted;
    Wanted.Owner = Queued.Id;
    const bool Placed = Row.Spec.Kind == WorkKind::Gang
                            ? placeGang(Queued.Id, Row, Wanted)
                            : placeTasks(Queued.Id, Row, Wanted);
    if (!Wanted.Tasks.empty()) {
      recordGrant(Queued, Row.Spec, Wanted.Tasks.size());
      Result.Placements.push_back(std::move(Wanted));
    }
    if (!Placed) {
      Result.Blocked.push_back(Queued.Id);
      reserveWorkers(Queued, Row);
    }
    return Placed;
  }

  void recordGrant(const Candidate &Queued, const RequestSpec &Spec,
                   std::size_t Count) {
    Resources &More = Tentative[Queued.Team];
    for (std::size_t Index = 0; Index < Count; ++Index) {
      More += Spec.Need;
      Teams[Queued.Team].DominantShare +=
          dominantShare(Spec.Need, CentreCapacity);
    }
  }

  bool quotaAllows(const RequestSpec &Spec, const Resources &More) {
    return hasQuotaFor(Input, Runtime, Spec,
                       Tentative[teamOf(Spec.Team)] + More);
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

  double score(const Room &Item, const RequestSpec &Spec,
               PlacementPolicy Way) const {
    const Resources Left = Item.Free - Spec.Need;
    const double Cpu = fraction(Left.MilliCpus, Item.Capacity.MilliCpus);
    const double Memory = fraction(Left.MemoryMb, Item.Capacity.MemoryMb);
    const double Cards =
        fraction(Left.Accelerators, Item.Capacity.Accelerators);
    const double Wasted = (Spec.Need.Accelerators == 0 ? 4 * Cards : 0) +
                          FailurePenalty * static_cast<double>(Item.Failures);
    if (Way == PlacementPolicy::BinPacking) {
      return 4 * Memory + Cpu + Cards + Wasted;
    }
    return Memory + Cpu + Cards + Wasted;
  }

  Room *chooseWorker(RequestId Owner, const RequestSpec &Spec,
                     PlacementPolicy Way,
                     const std::vector<std::uint32_t> &PerRack) {
    Room *Best = nullptr;
    double BestScore = Unfit;
    for (Room &Item : EligibleWorkers) {
      const bool Open = !Item.IsHeld || Item.ReservedFor == Owner;
      if (!Open || !fitsIn(Spec.Need, Item.Free) ||
          (!PerRack.empty() && PerRack[Item.Rack] >= Spec.MaxPerRack)) {
        continue;
      }
      if (Options.Choice == WorkerChoice::FirstFit) {
        return &Item;
      }
      const double Score = score(Item, Spec, Way);
      if (Score < BestScore) {
        Best = &Item;
        BestScore = Score;
      }
    }
    return Best;
  }

  bool isDueTask(TaskId Id) const {
    const Task &TaskRow = Input.State.Tasks[Id];
    const bool Delayed = RetriesAreSpent && TaskRow.Attempts > 0;
    return TaskRow.State == TaskState::Queued &&
           TaskRow.NotBefore <= Input.WallNow && !Delayed;
  }

  bool placeOne(RequestId Owner, const Request &Row, TaskId Id,
                std::vector<std::uint32_t> &PerRack, Placement &Wanted) {
    Room *Chosen = chooseWorker(
        Owner, Row.Spec,
        placementPolicyFor(Input.ActiveRules, Row.Spec.Customer), PerRack);
    if (Chosen == nullptr) {
      return false;
    }
    Chosen->Free -= Row.Spec.Need;
    if (!PerRack.empty()) {
      PerRack[Chosen->Rack] += 1;
    }
    Wanted.Tasks.push_back({Id, Chosen->Id});
    return true;
  }

  bool placeTasks(RequestId Owner, const Request &Row, Placement &Wanted) {
    const bool IsPlain =
        Row.Spec.MaxPerRack == 0 && !ReservingRequests.contains(Owner);
    if (IsPlain && isKnownUnplaceable(Row.Spec)) {
      return false;
    }
    std::vector<std::uint32_t> PerRack = tasksPerRack(Row);
    Resources More;
    for (const TaskId Id : Row.Tasks) {
      if (!isDueTask(Id)) {
        continue;
      }
      More += Row.Spec.Need;
      if (!quotaAllows(Row.Spec, More)) {
        return true;
      }
      if (!placeOne(Owner, Row, Id, PerRack, Wanted)) {
        if (IsPlain) {
          UnplaceableNeeds.push_back(Row.Spec.Need);
        }
        return false;
      }
    }
    return true;
  }

  bool placeGang(RequestId Owner, const Request &Row, Placement &Wanted) {
    Resources More;
    for (const TaskId Id : Row.Tasks) {
      if (!isDueTask(Id)) {
        return true;
      }
      More += Row.Spec.Need;
    }
    if (!quotaAllows(Row.Spec, More)) {
      return true;
    }
    const std::vector<Room> Before = EligibleWorkers;
    std::vector<std::uint32_t> PerRack = tasksPerRack(Row);
    for (const TaskId Id : Row.Tasks) {
      if (!placeOne(Owner, Row, Id, PerRack, Wanted)) {
        EligibleWorkers = Before;
        Wanted.Tasks.clear();
        return false;
      }
    }
    return true;
  }

  /// Room that a worker will have once its finite tasks have ended.
  Resources freeAfterFiniteTasks(const Room &Item) const {
    const Worker &Row = Input.State.Workers[Item.Id];
    Resources Sum = Item.Free;
    for (const TaskId Id : Row.Tasks) {
      const Request &Owner = Input.State.Requests[Input.State.Tasks[Id].Owner];
      if (Owner.Spec.Kind != WorkKind::Service) {
        Sum += Owner.Spec.Need;
      }
    }
    return Sum;
  }

  /// Smaller tasks get the next place that is freed without any help.
  bool isLarge(const RequestSpec &Spec) const {
    const bool IsGang = Spec.Kind == WorkKind::Gang && Spec.TaskCount > 1;
    return IsGang ||
           std::none_of(EligibleWorkers.begin(), EligibleWorkers.end(),
                        [&Spec](const Room &Item) {
                          return fitsIn(Spec.Need + Spec.Need, Item.Capacity);
                        });
  }

  /// Keeps workers free for the first request that has waited long enough, so
  /// that a stream of small tasks cannot starve it. One request at a time
  /// holds workers, so two of them cannot wait for each other.
  void reserveWorkers(const Candidate &Queued, const Request &Row) {
    if (!Options.MayReserve || !Runtime.ReservedWorkers.empty() ||
        !isLarge(Row.Spec) ||
        Input.WallNow - Row.AcceptedAt < Options.ReserveAfter) {
      return;
    }
    std::vector<Room *> Order;
    for (Room &Each : EligibleWorkers) {
      Order.push_back(&Each);
    }
    std::stable_sort(Order.begin(), Order.end(),
                     [](const Room *Left, const Room *Right) {
                       return Left->Free.MilliCpus > Right->Free.MilliCpus;
                     });
    const auto Missing = static_cast<std::size_t>(
        std::count_if(Row.Tasks.begin(), Row.Tasks.end(),
                      [this](TaskId Id) { return isDueTask(Id); }));
    std::vector<Room *> Chosen;
    std::size_t Found = 0;
    for (Room *Each : Order) {
      Resources Left = freeAfterFiniteTasks(*Each);
      const std::size_t Before = Found;
      while (Found < Missing && fitsIn(Row.Spec.Need, Left)) {
        Left -= Row.Spec.Need;
        Found += 1;
      }
      if (Found > Before) {
        Chosen.push_back(Each);
      }
    }
    const std::size_t Wanted = Row.Spec.Kind == WorkKind::Gang ? Missing : 1;
    if (Found < Wanted) {
      return;
    }
    for (Room *Each : Chosen) {
      Each->IsHeld = true;
      Each->ReservedFor = Queued.Id;
      Runtime.ReservedWorkers[Each->Id] = Queued.Id;
    }
  }

  const DecisionInput &Input;
  CentreRuntime &Runtime;
  const PlacementOptions &Options;
  bool RetriesAreSpent;
  Resources CentreCapacity;
  std::vector<Room> EligibleWorkers;
  std::map<WorkerId, std::uint32_t> RackOf;
  std::vector<Candidate> Candidates;
  std::vector<TeamShare> Teams;
  std::unordered_map<std::string, std::size_t> TeamIndex;
  std::size_t LastTeam = 0;
  std::set<std::int64_t> AgingLevels;
  std::string LastClass;
  Millis LastAgesEvery{0};
  std::map<std::size_t, Resources> Tentative;
  std::vector<Resources>
      UnplaceableNeeds; ///< Needs without a place in this run.
  std::set<RequestId>
      ReservingRequests; ///< Requests that workers are held for.
  PlacementRun Result;
};

} // namespace internal

PlacementRun place(const DecisionInput &Input, CentreRuntime &Runtime,
                   const PlacementOptions &Options) {
  return internal::PlacementPass{Input, Runtime, Options}.run();
}

} // namespace mulberryramp
