#include "mulberryramp/job/organisation_accounts.hpp"

#include <algorithm>

namespace mulberryramp {

const Organisation *findOwner(const CellState &State, const Job &JobRow) {
  if (JobRow.Organisation.empty()) {
    return nullptr;
  }
  const auto It = State.OrganisationsByName.find(JobRow.Organisation);
  return It == State.OrganisationsByName.end()
             ? nullptr
             : &State.Configuration.Organisations[It->second];
}

std::optional<std::size_t> findGangOverCap(const JobSpec &Spec,
                                           const Resources &Cap) noexcept {
  for (std::size_t Step = 0; Step < Spec.Steps.size(); ++Step) {
    const StepSpec &StepRow = Spec.Steps[Step];
    if (StepRow.IsGang && exceedsCap(Cap, StepRow.Need, StepRow.Tasks)) {
      return Step;
    }
  }
  return std::nullopt;
}

OrganisationLoad loadOf(const CellState &State,
                        const std::string &Organisation) {
  const auto It = State.Loads.find(Organisation);
  return It == State.Loads.end() ? OrganisationLoad{} : It->second;
}

void addLoad(CellState &State, const Job &JobRow, const StepSpec &Step) {
  OrganisationLoad &Load = State.Loads[JobRow.Organisation];
  Load.Used += Step.Need;
  Load.Tasks += 1;
}

void removeLoad(CellState &State, const Job &JobRow, const StepSpec &Step) {
  const auto It = State.Loads.find(JobRow.Organisation);
  It->second.Used -= Step.Need;
  It->second.Tasks -= 1;
  if (It->second.Tasks == 0) {
    State.Loads.erase(It);
  }
}

void rebuildLoads(CellState &State) {
  State.Loads.clear();
  for (const Job &JobRow : State.Jobs.rows()) {
    for (const JobRun &Run : JobRow.Runs) {
      for (std::size_t Step = 0; Step < Run.Steps.size(); ++Step) {
        for (std::uint32_t Task = 0; Task < Run.Steps[Step].Assigned; ++Task) {
          addLoad(State, JobRow, JobRow.Spec.Steps[Step]);
        }
      }
    }
  }
}

/// Tells whether a task may start under the cap of its organisation. The
/// members of a gang start together, so those that are not assigned yet count
/// as well.
bool isUnderCap(const CellState &State, const Job &Owner, const TaskKey &Key) {
  const Organisation *Organisation = findOwner(State, Owner);
  if (Organisation == nullptr) {
    return true;
  }
  const StepSpec &Spec = Owner.Spec.Steps[Key.Step];
  const JobStep &Step = findRun(Owner, Key.Run)->Steps[Key.Step];
  if (Spec.IsGang && exceedsCap(Organisation->Cap, Spec.Need, Spec.Tasks)) {
    return false;
  }
  return fitsUnderCap(Organisation->Cap, loadOf(State, Owner.Organisation),
                      Spec.Need, Spec.IsGang ? Spec.Tasks - Step.Assigned : 1);
}

namespace {

/// Finds the first row whose name is not before a name.
template <typename Rows> auto findRate(Rows &Rates, const std::string &Name) {
  return std::lower_bound(
      Rates.begin(), Rates.end(), Name,
      [](const OrganisationRate &Rate, const std::string &Wanted) {
        return Rate.Name < Wanted;
      });
}

} // namespace

bool isOwedJob(const CellState &State, const Organisation &Owner, WallTime At) {
  const auto It = findRate(State.Rates, Owner.Name);
  if (It == State.Rates.end() || It->Name != Owner.Name) {
    return Owner.Weight > 0;
  }
  RateBucket Bucket = It->Bucket;
  return takeJob(Bucket, Owner.Weight, At);
}

bool takeOwedJob(CellState &State, const Organisation &Owner, WallTime At) {
  auto It = findRate(State.Rates, Owner.Name);
  if (It == State.Rates.end() || It->Name != Owner.Name) {
    It = State.Rates.insert(It, {Owner.Name, fullBucket(Owner.Weight, At)});
  }
  return takeJob(It->Bucket, Owner.Weight, At);
}

void pruneRates(CellState &State) {
  std::erase_if(State.Rates, [&State](const OrganisationRate &Rate) {
    return !State.OrganisationsByName.contains(Rate.Name);
  });
}

} // namespace mulberryramp
