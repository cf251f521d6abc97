#include "mulberryramp/cell/organisation_shares.hpp"

#include <algorithm>
#include <limits>

namespace mulberryramp {

namespace {

/// A cap stops to hold back an organisation once no plan was held back for this
/// long. Without it, each end of a task could write two log lines.
constexpr Millis CapReleaseTime{1000};

double meanWeight(const CellConfiguration &Configuration) {
  double Sum = 0;
  for (const Organisation &Organisation : Configuration.Organisations) {
    Sum += Organisation.Weight;
  }
  return Sum <= 0
             ? 1
             : Sum / static_cast<double>(Configuration.Organisations.size());
}

/// Tells whether an orphan may still run or start. One that is known to have
/// run has ended with its lease.
bool mayRun(const OrphanedStart &Orphan, const WorkerSession &Session,
            Instant Now) {
  return !Orphan.WasConfirmed || Now < Session.LeaseEnd;
}

std::string describeUse(const Resources &Used, const Resources &Cap) {
  return " " + describeResources(Used) + " " + describeResources(Cap, "cap_");
}

Resources multiply(Resources Need, std::int64_t Count) {
  Need.MilliCpus *= Count;
  Need.MemoryMb *= Count;
  Need.Accelerators *= Count;
  Need.Slots *= Count;
  Need.Connections *= Count;
  return Need;
}

/// Logs whose cap starts or stops to hold back steps.
void logHeldByCap(DispatchState &Dispatch, const OrganisationShares &Shares,
                  Instant Now) {
  for (const auto &[Name, Use] : Shares.Rows) {
    if (!Use.IsHeldByCap) {
      continue;
    }
    const auto [It, IsNew] = Dispatch.HeldByCapAt.insert_or_assign(Name, Now);
    if (IsNew) {
      Dispatch.Events.push_back(
          "event=cap-holds organisation=" + Name + " reason=cap waiting=" +
          std::to_string(Use.WaitingTasks) + describeUse(Use.Used, Use.Cap));
    }
  }
  std::erase_if(Dispatch.HeldByCapAt, [&](const auto &Held) {
    if (Now - Held.second < CapReleaseTime) {
      return false;
    }
    const auto It = Shares.Rows.find(Held.first);
    const OrganisationUse Use =
        It == Shares.Rows.end() ? OrganisationUse{} : It->second;
    Dispatch.Events.push_back(
        "event=cap-releases organisation=" + Held.first +
        " reason=" + (Use.WaitingTasks == 0 ? "nothing-waits" : "below-cap") +
        " waiting=" + std::to_string(Use.WaitingTasks) +
        describeUse(Use.Used, Use.Cap));
    return true;
  });
}

} // namespace

OrganisationShares collectShares(const DispatchState &Dispatch,
                                 const CellState &State, const Resources &Total,
                                 Instant Now) {
  OrganisationShares Shares;
  Shares.Total = Total;
  Shares.MeanWeight = meanWeight(State.Configuration);
  for (const auto &[Name, Load] : State.Loads) {
    OrganisationUse &Use = rowOf(Shares, State, Name);
    Use.Used = Load.Used;
    Use.Tasks = Load.Tasks;
  }
  for (const auto &[Worker, Session] : Dispatch.Sessions) {
    for (const OrphanedStart &Orphan : Session.Orphans) {
      if (mayRun(Orphan, Session, Now)) {
        addTasks(rowOf(Shares, State, Orphan.Organisation), Orphan.Need, 1);
      }
    }
    for (const UnknownTask &Task : Session.UnknownTasks) {
      addTasks(rowOf(Shares, State, Task.Organisation), Task.Need, 1);
    }
  }
  return Shares;
}

OrganisationUse &rowOf(OrganisationShares &Shares, const CellState &State,
                       const std::string &Organisation) {
  const auto [It, IsNew] = Shares.Rows.try_emplace(Organisation);
  if (IsNew) {
    It->second.Weight = Shares.MeanWeight;
    const auto IndexIt = State.OrganisationsByName.find(Organisation);
    if (!Organisation.empty() && IndexIt != State.OrganisationsByName.end()) {
      const auto &Found = State.Configuration.Organisations[IndexIt->second];
      It->second.Weight = Found.Weight;
      It->second.Cap = Found.Cap;
    }
  }
  return It->second;
}

bool fitsInCap(const OrganisationUse &Use, const Resources &Need,
               std::size_t Tasks) {
  return fitsUnderCap(Use.Cap, {Use.Used + Use.Held, Use.Tasks}, Need,
                      static_cast<std::uint32_t>(Tasks));
}

double weightedShare(const OrganisationUse &Use, const Resources &Total) {
  const auto Share = [](std::int64_t Part, std::int64_t Whole) {
    return Whole <= 0 ? 0.0
                      : static_cast<double>(Part) / static_cast<double>(Whole);
  };
  const double Dominant =
      std::max({Share(Use.Used.MilliCpus, Total.MilliCpus),
                Share(Use.Used.MemoryMb, Total.MemoryMb),
                Share(Use.Used.Accelerators, Total.Accelerators)});
  return Use.Weight > 0 ? Dominant / Use.Weight
                        : std::numeric_limits<double>::infinity();
}

bool holdForStep(OrganisationUse &Use, const StepSpec &Step) {
  const std::uint32_t Together = Step.IsGang ? Step.Tasks : 1;
  const bool Fits = fitsInCap(Use, Step.Need, Together);
  const bool MayHold =
      Step.IsGang ? !exceedsCap(Use.Cap, Step.Need, Together) : !Fits;
  if (MayHold) {
    Use.Held += multiply(Step.Need, Together);
  }
  return !Fits;
}

void addTasks(OrganisationUse &Use, const Resources &Need,
              std::uint32_t Tasks) {
  Use.Used += multiply(Need, Tasks);
  Use.Tasks += Tasks;
}

void reportShares(DispatchState &Dispatch, const OrganisationShares &Shares,
                  Instant Now) {
  Dispatch.Organisations.clear();
  for (const auto &[Name, Use] : Shares.Rows) {
    Dispatch.Organisations.push_back({Name, Use.Used, Use.Cap, Use.WaitingTasks,
                                      weightedShare(Use, Shares.Total)});
  }
  logHeldByCap(Dispatch, Shares, Now);
}

} // namespace mulberryramp
