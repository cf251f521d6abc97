#include "cell/cell_simulation.hpp"

#include <algorithm>
#include <iostream>

namespace mulberryramp::test {

bool CellSimulation::shouldInject(CellFault Kind, std::uint64_t OneIn) {
  return Options.Faults.contains(Kind) && Rng.below(OneIn) == 0;
}

bool CellSimulation::canInjectNodeFault() {
  return std::all_of(VotersById.begin(), VotersById.end(),
                     [this](const auto &Entry) {
                       const VoterState &Voter = Entry.second;
                       return Voter.IsGone ||
                              (Voter.Node && Now >= Voter.PausedUntil &&
                               Now >= Voter.PartitionedUntil);
                     }) &&
         Now >= NextNodeFaultAt;
}

VoterState &CellSimulation::randomVoter(NodeId &Id) {
  std::vector<NodeId> Present;
  for (const auto &[PresentId, Voter] : VotersById) {
    if (!Voter.IsGone) {
      Present.push_back(PresentId);
    }
  }
  Id = Present[Rng.below(Present.size())];
  return VotersById.at(Id);
}

Millis CellSimulation::randomDuration(std::int64_t Min, std::int64_t Max) {
  return Millis{Min + static_cast<std::int64_t>(
                          Rng.below(static_cast<std::uint64_t>(Max - Min)))};
}

void CellSimulation::crashVoter(VoterState &Voter, Millis Downtime) {
  Voter.Node.reset();
  Voter.Store.reset();
  Voter.PendingWrite.reset();
  Voter.Files.crash(Rng.below(40));
  Voter.DownUntil = Now + Downtime;
  Voter.StopsAt = Instant{};
}

void CellSimulation::freezeVoter(NodeId Id, VoterState &Voter, Millis Time) {
  Voter.PausedUntil = Now + Time;
  Voter.FrozenUntil = Voter.PausedUntil;
  for (OrderInFlight &InFlight : Orders) {
    if (InFlight.From == Id && InFlight.IsAnswered && Rng.percent(50)) {
      InFlight.DeliverAt = Voter.FrozenUntil + randomDuration(1, 12);
    }
  }
}

void CellSimulation::injectFaults() {
  injectNodeFaults();
  if (Options.Faults.contains(CellFault::LoseWorker)) {
    loseDueWorkers();
  }
  if (shouldInject(CellFault::ChangeKeys, 150) && !Keys->isOpen()) {
    Keys->change();
    configure();
  }
  const std::string Name = "w" + std::to_string(Rng.below(WorkerCount));
  WorkerState &State = Workers.at(Name);
  if (shouldInject(CellFault::PartitionWorker, 1200)) {
    State.PartitionedUntil = Now + randomDuration(300, 7000);
    Disturbances.push_back({Now, State.PartitionedUntil, Name, false});
  }
  if (shouldInject(CellFault::RestartWorker, 1500) && !State.IsDown) {
    restartWorker(Name, State);
    State.ReportAt = Now + randomDuration(0, 300);
  }
  if (shouldInject(CellFault::DrainWorker, 800) && !State.IsDown &&
      !Drains.contains(Name)) {
    beginDrain(Name, State);
  }
  if (shouldInject(CellFault::DelayOrders, 600)) {
    DelayOrdersUntil = Now + randomDuration(200, 1500);
  }
  if (shouldInject(CellFault::LoseMessages, 600)) {
    LoseMessagesUntil = Now + randomDuration(200, 1500);
  }
  if (shouldInject(CellFault::ShrinkWorker, 300)) {
    State.ShrunkUntil = Now + randomDuration(300, 9000);
    State.Worker->setCapacity(
        capacityOf(static_cast<std::int64_t>(Rng.below(4)) * TaskCpus));
  }
  if (shouldInject(CellFault::ResetConnections, 500)) {
    State.ResetUntil = Now + randomDuration(5, 3000);
    for (const auto &[Order, Sender] :
         std::exchange(State.PendingRenewals, {})) {
      sendReset(Sender.first, Sender.second, Order);
    }
  }
  if (shouldInject(CellFault::PartitionPath, 300)) {
    NodeId Id = 0;
    randomVoter(Id);
    State.PathsCutUntil[Id] = Now + randomDuration(300, 9000);
  }
  if (shouldInject(CellFault::CrashRack, 1200)) {
    const std::uint64_t FirstOfRack = Rng.below(2) * (WorkerCount / 2);
    for (std::uint64_t Index = 0; Index < WorkerCount / 2; ++Index) {
      const std::string Member = "w" + std::to_string(FirstOfRack + Index);
      if (!Workers.at(Member).IsDown) {
        crashWorker(Member, "rack");
      }
    }
  }
}

void CellSimulation::restartWorker(const std::string &Name,
                                   WorkerState &State) {
  countCrash(Name, State);
  Drains.cancel(Name);
  State.Worker->restart(Now);
  State.StartedAt = Now;
  State.ProcessGeneration += 1;
  State.PendingRenewals.clear();
}

void CellSimulation::beginDrain(const std::string &Name, WorkerState &State) {
  if (Rng.percent(50)) {
    restartWorker(Name, State);
    State.ReportAt = Now;
  }
  Drains.begin(Name, Now + randomDuration(0, 60));
}

void CellSimulation::endDrainedWorker(const std::string &Name) {
  WorkerState &State = Workers.at(Name);
  restartWorker(Name, State);
  State.IsDown = true;
  State.DownUntil = Now + randomDuration(500, 3000);
}

void CellSimulation::crashWorker(const std::string &Name,
                                 const std::string &Cause) {
  WorkerState &State = Workers.at(Name);
  countCrash(Name, State);
  Drains.cancel(Name);
  if (Options.IsTraced) {
    std::cout << sinceStart() << " worker crashed " << Name << " by " << Cause
              << ", running " << State.Worker->running().size() << '\n';
  }
  State.Worker->restart(Now);
  State.ProcessGeneration += 1;
  State.IsDown = true;
  State.DownUntil = Now + randomDuration(2000, 5000);
  if (Now >= State.PartitionedUntil) {
    for (const auto &[Order, Waiting] : State.PendingRenewals) {
      OrderResult Broken;
      Broken.Id = Order;
      sendAnswer(Waiting.first, Waiting.second, std::move(Broken));
    }
  }
  State.PendingRenewals.clear();
}

void CellSimulation::crashIfDue(const std::string &Name,
                                const WorkerState &State) {
  const auto Culprit = State.Worker->findDueCrash(Now);
  if (!Culprit) {
    return;
  }
  Result.TaskCrashes += 1;
  std::uint64_t &CrashesOfJob = TaskCrashesByJob[Culprit->Job];
  CrashesOfJob += 1;
  Result.MaxTaskCrashesOfJob =
      std::max(Result.MaxTaskCrashesOfJob, CrashesOfJob);
  crashWorker(Name, Culprit->Job + "." + std::to_string(Culprit->Step) + "." +
                        std::to_string(Culprit->Task));
}

void CellSimulation::startCrashedWorker(const std::string &Name,
                                        WorkerState &State) {
  State.IsDown = false;
  State.IsLost = false;
  State.StartedAt = Now;
  if (Rng.percent(Options.Faults.contains(CellFault::LoseWorker) ? 50 : 30)) {
    State.Worker->rename(Name + "-" + std::to_string(State.ProcessGeneration));
  }
  State.Worker->restart(Now);
  State.ReportAt = Now + randomDuration(0, 300);
}

void CellSimulation::restoreCapacities() {
  for (auto &[Name, State] : Workers) {
    if (State.ShrunkUntil != Instant{} && Now >= State.ShrunkUntil) {
      State.ShrunkUntil = Instant{};
      State.Worker->setCapacity(capacityOf(WorkerCpus));
    }
  }
}

void CellSimulation::injectNodeFaults() {
  if (!canInjectNodeFault()) {
    return;
  }
  disturbLeaderIfDue();
  if (!canInjectNodeFault()) {
    return;
  }
  NodeId Id = 0;
  VoterState &Voter = randomVoter(Id);
  if (shouldInject(CellFault::KillNode, 500)) {
    crashVoter(Voter, randomDuration(50, 3000));
  } else if (shouldInject(CellFault::WipeNode, 1200)) {
    crashVoter(Voter, randomDuration(50, 2000));
    Voter.Files.wipe();
    Voter.Incarnation += 1000;
    NextNodeFaultAt = Now + Millis{6000};
  } else if (shouldInject(CellFault::ReplaceNode, 1500)) {
    crashVoter(Voter, Millis{1});
    Voter.IsGone = true;
    const NodeId NewId = NextVoterId;
    NextVoterId += 1;
    VotersById[NewId].Incarnation = 5000 + NewId;
    VotersById[NewId].DownUntil = Now + randomDuration(50, 1500);
    NextNodeFaultAt = Now + Millis{8000};
  } else if (shouldInject(CellFault::PauseNode, 600)) {
    Voter.PausedUntil = Now + randomDuration(200, 4000);
  } else if (shouldInject(CellFault::FreezeNode, 600)) {
    freezeVoter(Id, Voter, randomDuration(200, 9000));
  } else if (shouldInject(CellFault::PartitionNode, 600)) {
    Voter.PartitionedUntil = Now + randomDuration(200, 4000);
  } else if (shouldInject(CellFault::StallDisk, 600)) {
    Voter.DiskStalledUntil = Now + randomDuration(200, 3000);
  } else if (shouldInject(CellFault::HandOver, 600) &&
             Voter.StopsAt == Instant{}) {
    Voter.Node->beginShutdown(Now);
    Voter.StopsAt = Now + randomDuration(500, 4000);
  } else if (shouldInject(CellFault::PowerLoss, 1500)) {
    for (auto &[OtherId, OtherVoter] : VotersById) {
      if (!OtherVoter.IsGone) {
        crashVoter(OtherVoter, randomDuration(50, 1500));
      }
    }
  }
}

} // namespace mulberryramp::test
