#include "mulberryramp/cell/step_order.hpp"

#include <unordered_map>

namespace mulberryramp {

namespace {

/// A pool counts as contended once the tasks need this percentage of what its
/// workers have left. They do not fill the workers exactly, so some wait before
/// all is used; the order has no effect on tasks that all start.
constexpr std::int64_t ContendedPercent = 80;

bool isSameClass(const PendingStep &Lhs, const PendingStep &Rhs) {
  return Lhs.IsExcess == Rhs.IsExcess && Lhs.IsFarOverdue == Rhs.IsFarOverdue &&
         Lhs.Priority == Rhs.Priority;
}

std::uint32_t waitingTasks(const CellState &State, const StepKey &Key) {
  const JobStep &Step = findRun(State.Jobs[Key.Job], Key.Run)->Steps[Key.Step];
  return static_cast<std::uint32_t>(Step.Tasks.size()) - Step.Assigned -
         Step.Done;
}

} // namespace

StepOrder::StepOrder(const std::vector<PendingStep> &Steps,
                     std::vector<OrganisationUse *> Uses,
                     const Resources &Total)
    : Steps{Steps}, Uses{std::move(Uses)}, Total{Total} {}

void StepOrder::openClass() {
  Lanes.clear();
  std::unordered_map<const OrganisationUse *, std::size_t> LaneByUse;
  const std::size_t First = ClassEnd;
  while (ClassEnd < Steps.size() &&
         isSameClass(Steps[First], Steps[ClassEnd])) {
    const auto [It, IsNew] =
        LaneByUse.try_emplace(Uses[ClassEnd], Lanes.size());
    if (IsNew) {
      Lanes.push_back({Uses[ClassEnd], {}, 0});
    }
    Lanes[It->second].Steps.push_back(ClassEnd);
    ClassEnd += 1;
  }
  for (std::size_t Index = 0; Index < Lanes.size(); ++Index) {
    enqueue(Index);
  }
}

void StepOrder::enqueue(std::size_t LaneIndex) {
  const Lane &Row = Lanes[LaneIndex];
  if (Row.Position < Row.Steps.size()) {
    Turns.push(
        {weightedShare(*Row.Use, Total), Row.Steps[Row.Position], LaneIndex});
  }
}

std::size_t StepOrder::next() {
  if (HasLast) {
    HasLast = false;
    enqueue(LastLane);
  }
  if (Turns.empty()) {
    openClass();
  }
  if (Turns.empty()) {
    return Steps.size();
  }
  const Turn Chosen = Turns.top();
  Turns.pop();
  LastLane = Chosen.Lane;
  HasLast = true;
  Lanes[Chosen.Lane].Position += 1;
  return Chosen.Step;
}

bool isContended(const CellState &State, const SchedulableWorkers &Workers,
                 const std::vector<PendingStep> &Ready) {
  std::map<std::string, Resources> LeftByPool;
  for (const WorkerSnapshot &Snapshot : Workers.Rows) {
    Resources &Left = LeftByPool[Snapshot.Instance->Report.Pool];
    Left.MilliCpus += Snapshot.Available.MilliCpus * ContendedPercent / 100;
    Left.MemoryMb += Snapshot.Available.MemoryMb * ContendedPercent / 100;
    Left.Accelerators +=
        Snapshot.Available.Accelerators * ContendedPercent / 100;
  }
  for (const PendingStep &Pending : Ready) {
    const Job &Owner = State.Jobs[Pending.Key.Job];
    const Resources Need =
        requiredResources(Owner.Spec.Steps[Pending.Key.Step]);
    const std::int64_t Tasks = waitingTasks(State, Pending.Key);
    Resources &Left = LeftByPool[Owner.Queue.Pool];
    Left.MilliCpus -= Need.MilliCpus * Tasks;
    Left.MemoryMb -= Need.MemoryMb * Tasks;
    Left.Accelerators -= Need.Accelerators * Tasks;
    const bool IsShort = (Need.MilliCpus > 0 && Left.MilliCpus < 0) ||
                         (Need.MemoryMb > 0 && Left.MemoryMb < 0) ||
                         (Need.Accelerators > 0 && Left.Accelerators < 0);
    if (IsShort) {
      return true;
    }
  }
  return false;
}

void forEachInOrder(
    DispatchState &Dispatch, const CellState &State,
    const SchedulableWorkers &Workers, const std::vector<PendingStep> &Ready,
    Instant Now,
    const std::function<void(const PendingStep &, OrganisationUse *)> &Visit) {
  if (State.Configuration.Organisations.empty()) {
    Dispatch.Organisations.clear();
    Dispatch.HeldByCapAt.clear();
    for (const PendingStep &Pending : Ready) {
      Visit(Pending, nullptr);
    }
    return;
  }
  Resources Total;
  for (const WorkerSnapshot &Snapshot : Workers.Rows) {
    Total += Snapshot.Instance->Report.Capacity;
  }
  OrganisationShares Shares = collectShares(Dispatch, State, Total, Now);
  std::vector<OrganisationUse *> Uses;
  Uses.reserve(Ready.size());
  for (const PendingStep &Pending : Ready) {
    Uses.push_back(
        &rowOf(Shares, State, State.Jobs[Pending.Key.Job].Organisation));
    Uses.back()->WaitingTasks += waitingTasks(State, Pending.Key);
  }
  if (isContended(State, Workers, Ready)) {
    StepOrder Order{Ready, Uses, Total};
    for (std::size_t Index = Order.next(); Index != Ready.size();
         Index = Order.next()) {
      Visit(Ready[Index], Uses[Index]);
    }
  } else {
    for (std::size_t Index = 0; Index < Ready.size(); ++Index) {
      Visit(Ready[Index], Uses[Index]);
    }
  }
  reportShares(Dispatch, Shares, Now);
}

} // namespace mulberryramp
