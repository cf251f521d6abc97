#include "cell/cell_simulation.hpp"

namespace mulberryramp::test {

namespace {

/// Time for which members of a gang wait for the other members.
constexpr Millis GangTimeout{3000};

} // namespace

void CellSimulation::stepGangs() {
  std::map<GangKey, GangMembers> Present;
  for (auto &[Name, State] : Workers) {
    for (const auto &[Task, Attempt] : State.Worker->running()) {
      if (stepOf(Task).IsGang) {
        Present[{Task.Job, Task.Step, Attempt}].emplace_back(State.Worker.get(),
                                                             Task);
      }
    }
  }
  for (const auto &[Key, Members] : Present) {
    stepGang(Key, Members);
  }
  std::erase_if(Gangs, [&Present](const auto &Entry) {
    return !Present.contains(Entry.first);
  });
}

void CellSimulation::stepGang(const GangKey &Key, const GangMembers &Members) {
  GangAttempt &Gang =
      Gangs.try_emplace(Key, GangAttempt{Now, {}}).first->second;
  const StepSpec &Step = stepOf(Members.front().second);
  const bool IsComplete = Members.size() == Step.Tasks;
  if (IsComplete && !Gang.DoneAt) {
    Gang.DoneAt = Now + FakeWorker::DefaultRunTime;
  } else if (IsComplete && Now >= *Gang.DoneAt) {
    const bool HasFailed = Rng.percent(5);
    for (const auto &[Worker, Task] : Members) {
      const bool IsCulprit = HasFailed && Task == Members.front().second;
      Worker->endIfRunning(Task, IsCulprit   ? EndKind::Failed
                                 : HasFailed ? EndKind::GangBroken
                                             : EndKind::Done);
    }
  } else if (!IsComplete &&
             (Gang.DoneAt || Now - Gang.FirstSeenAt > GangTimeout)) {
    for (const auto &[Worker, Task] : Members) {
      Worker->endIfRunning(Task, Gang.DoneAt ? EndKind::GangBroken
                                             : EndKind::GangTimedOut);
    }
  }
}

void CellSimulation::stepWorkers() {
  stepGangs();
  for (auto &[Name, State] : Workers) {
    crashIfDue(Name, State);
    if (State.IsDown && Now >= State.DownUntil) {
      startCrashedWorker(Name, State);
    }
    if (!State.IsDown && Now >= State.PartitionedUntil) {
      reportIfDue(Name, State);
    }
    for (OrderResult &Answer : State.Worker->advance(Now)) {
      const auto RenewalIt = State.PendingRenewals.find(Answer.Id);
      if (RenewalIt != State.PendingRenewals.end() &&
          Now >= State.PartitionedUntil &&
          Now >= State.PathsCutUntil[RenewalIt->second.first]) {
        sendAnswer(RenewalIt->second.first, RenewalIt->second.second,
                   std::move(Answer));
      }
      if (RenewalIt != State.PendingRenewals.end()) {
        State.PendingRenewals.erase(RenewalIt);
      }
    }
    for (const WorkerEvent &Event : State.Worker->takeEvents()) {
      recordEvent(Name, Event);
    }
  }
}

void CellSimulation::reportIfDue(const std::string &Name, WorkerState &State) {
  if (Now >= State.ReportAt || Drains.isFirstReportDue(Name, Now)) {
    State.ReportAt = Now + ReportInterval;
    WorkerReport Report = State.Worker->report(Now);
    Report.IsDraining = Drains.isDraining(Name, Now);
    noteReport(State, Report);
    if (Report.IsDraining) {
      Drains.onReportSent(Name, NextCall);
    }
    Frontend->call(NextCall, WorkerReportCall{Report}, Now);
    NextCall += 1;
  }
  if (Drains.isLeaveDue(Name, Now)) {
    Drains.onLeaveSent(Name, NextCall);
    Frontend->call(NextCall,
                   DeregisterWorkerCall{State.Worker->report(Now).Name}, Now);
    NextCall += 1;
  }
}

void CellSimulation::noteReport(WorkerState &State,
                                const WorkerReport &Report) {
  const std::int64_t MilliCpus = Report.Capacity.MilliCpus;
  if (State.ReportedCpus.empty() ||
      State.ReportedCpus.back().second != MilliCpus) {
    State.ReportedCpus.emplace_back(Now, MilliCpus);
  }
}

} // namespace mulberryramp::test
