#include "cell/cell_simulation.hpp"

namespace mulberryramp::test {

namespace {

/// An order to its previous instance may still reach a worker that started less
/// than this ago: 12 s of delay and 3 s between the clocks of leader and
/// worker.
constexpr Millis YoungTime{15000};
/// Time between two losses, so that replacements join in between.
constexpr Millis MinLossInterval{4000};
constexpr Millis LongDowntime{60000};
/// The leader is killed at most this long before or after the loss of a worker.
constexpr Millis MaxKillOffset{2000};
/// A kill of the leader that other faults of voters have put off is given up.
constexpr Millis MaxKillDelay{1000};

} // namespace

bool CellSimulation::hasLongFaultPeriod() const {
  return Options.Faults.contains(CellFault::LeaderSeries) ||
         Options.Faults.contains(CellFault::LoseWorker);
}

void CellSimulation::beginLeaderSeries() {
  if (Options.Faults.contains(CellFault::LeaderSeries)) {
    SeriesInterval = randomDuration(5000, 10000);
    IsSeriesOfKills = Rng.percent(50);
    NextLeaderFaultAt = Now + SeriesInterval;
  }
}

void CellSimulation::disturbLeaderIfDue() {
  const NodeId Id = servingLeader();
  if (Id == 0) {
    return;
  }
  VoterState &Voter = VotersById.at(Id);
  if (LeaderKillAt && Now >= *LeaderKillAt) {
    const bool IsLate = Now - *LeaderKillAt > MaxKillDelay;
    LeaderKillAt.reset();
    if (!IsLate) {
      crashVoter(Voter, randomDuration(50, 3000));
      return;
    }
  }
  if (!Options.Faults.contains(CellFault::LeaderSeries) ||
      Now < NextLeaderFaultAt || Voter.StopsAt != Instant{}) {
    return;
  }
  NextLeaderFaultAt = Now + SeriesInterval;
  switch (IsSeriesOfKills ? 0 : Rng.below(4)) {
  case 0:
    crashVoter(Voter, randomDuration(50, 3000));
    break;
  case 1:
    freezeVoter(Id, Voter, randomDuration(1000, 4000));
    break;
  case 2:
    Voter.PartitionedUntil = Now + randomDuration(1000, 4000);
    break;
  default:
    Voter.Node->beginShutdown(Now);
    Voter.StopsAt = Now + randomDuration(500, 4000);
    break;
  }
}

void CellSimulation::planLoss(WorkerState &State) {
  const bool IsYoung = Now - State.StartedAt < YoungTime;
  if (!Options.Faults.contains(CellFault::LoseWorker) || Now >= FaultsEnd ||
      Now < NextLossAt || IsYoung != IsNextLossYoung) {
    return;
  }
  NextLossAt = Now + MinLossInterval + randomDuration(0, 4000);
  IsNextLossYoung = Rng.percent(50);
  State.DiesAt = Now + randomDuration(0, 3000);
  const bool CanKillLeader = Options.Faults.contains(CellFault::KillNode) ||
                             Options.Faults.contains(CellFault::LeaderSeries);
  if (CanKillLeader && Rng.percent(50)) {
    LeaderKillAt = *State.DiesAt + randomDuration(-MaxKillOffset.count(),
                                                  MaxKillOffset.count());
  }
}

void CellSimulation::loseDueWorkers() {
  // Restarts keep some workers young at any time of the schedule.
  const bool IsRestart = shouldInject(CellFault::LoseWorker, 1200);
  const std::uint64_t Chosen = Rng.below(Workers.size());
  std::uint64_t Index = 0;
  for (auto &[Name, State] : Workers) {
    if (State.IsDown) {
      State.DiesAt.reset();
    } else if (State.DiesAt && Now >= *State.DiesAt) {
      loseWorker(Name, State);
    } else if (IsRestart && Index == Chosen) {
      crashWorker(Name, "restart");
    }
    Index += 1;
  }
}

void CellSimulation::loseWorker(const std::string &Name, WorkerState &State) {
  State.DiesAt.reset();
  crashWorker(Name, "loss");
  State.IsLost = true;
  State.DownUntil = Rng.percent(50) ? Now + LongDowntime : End + LongDowntime;
  JoinsAt.push_back(Now + randomDuration(500, 5000));
}

void CellSimulation::joinDueWorkers() {
  std::erase_if(JoinsAt, [this](Instant At) {
    if (Now < At) {
      return false;
    }
    JoinedWorkers += 1;
    const std::string Name = "n" + std::to_string(JoinedWorkers);
    WorkerState &State = Workers[Name];
    State.Worker = std::make_unique<FakeWorker>(
        Name, capacityOf(WorkerCpus),
        Options.Seed * 31 + WorkerCount + JoinedWorkers, Now);
    State.StartedAt = Now;
    return true;
  });
}

} // namespace mulberryramp::test
