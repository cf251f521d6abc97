#include "cell/cell_simulation.hpp"

#include "mulberryramp/core/digest.hpp"

namespace mulberryramp::test {

namespace {

constexpr Millis KeyProbeInterval{50};
/// Steps per submitted job in a long period of faults. As many jobs as in a
/// short one are more than the places beside the long-running tasks can run.
constexpr std::uint64_t LongSubmitOneIn = 250;
constexpr int MaxLongRunningJobs = 2;
/// With lost workers: jobs of one or two tasks, on at most 10 of 16 places.
constexpr int MaxLongRunningJobsWithLosses = 5;
constexpr std::size_t MaxCrashingJobs = 3;
/// Four tasks of steady jobs take the room of one other task, and usually one
/// to three run on a worker. Fewer other jobs are submitted beside them, so
/// that there is room.
constexpr std::int64_t SteadyTaskCpus = TaskCpus / 4;
constexpr Millis SteadyRunTime{100};
constexpr std::uint64_t SteadySubmitFactor = 2;

} // namespace

void CellSimulation::issueCalls() {
  const std::uint64_t SubmitOneIn = hasCaps()              ? 45
                                    : hasLongFaultPeriod() ? LongSubmitOneIn
                                                           : 90;
  if (Frontend->isReadyForCallers(Now) && Now < FaultsEnd &&
      Rng.below(SubmitOneIn * (SteadyInterval ? SteadySubmitFactor : 1)) == 0) {
    submit();
  }
  if (SteadyInterval && Frontend->isReadyForCallers(Now) && Now < FaultsEnd &&
      Now >= NextSteadyAt) {
    NextSteadyAt = Now + *SteadyInterval;
    submitSteady();
  }
  if (shouldInject(CellFault::Cancel, 150) && !Jobs.empty() &&
      Now < FaultsEnd) {
    auto It = Jobs.begin();
    std::advance(It, static_cast<std::int64_t>(Rng.below(Jobs.size())));
    if (It->second.IsAccepted) {
      cancel(It->first, It->second);
    }
  }
  if (Now >= NextReadAt) {
    NextReadAt = Now + Millis{400};
    for (auto &[Name, Job] : Jobs) {
      const bool IsOpen = !Job.Phase || !isTerminal(*Job.Phase);
      if (Job.IsAccepted && IsOpen) {
        call(JobVerb::Read, Name, {});
      } else if (!Job.IsAccepted && Now > FaultsEnd) {
        call(JobVerb::Submit, Name, Job.Spec);
      }
    }
    retryCancels();
  }
  if (Keys && Now >= NextKeyProbeAt) {
    NextKeyProbeAt = Now + KeyProbeInterval;
    probeKey();
  }
}

void CellSimulation::probeKey() {
  NodeId Id = 0;
  VoterState &Voter = randomVoter(Id);
  const bool UsesVoter = Rng.percent(50) && Voter.Node;
  const std::string Key = Keys->randomKey();
  KeyProbes[NextCall] = {Key, Now};
  (UsesVoter ? *Voter.Node : *Frontend)
      .call(NextCall, JobCall{JobVerb::Read, "host", "/q/", {}, sha256(Key)},
            Now);
  NextCall += 1;
}

void CellSimulation::retryCancels() {
  for (auto &[Name, Job] : Jobs) {
    if (Job.IsCancelSent && !Job.CancelledAt) {
      call(JobVerb::Cancel, Name, {});
    }
  }
}

void CellSimulation::call(JobVerb Verb, const std::string &Name,
                          const JobSpec &Spec) {
  Calls[NextCall] = {Verb, Name, Now};
  JobCall Body{Verb, "host", "/q/" + Name, Spec};
  if (Keys) {
    Body.Key = sha256(KeyWorld::keyOf(Name));
  } else if (hasCaps()) {
    Body.Key = Caps.keyOf(Name);
  }
  Frontend->call(NextCall, std::move(Body), Now);
  NextCall += 1;
}

void CellSimulation::submit() {
  const std::string Name = "j" + std::to_string(Jobs.size());
  JobSpec Spec;
  // 0: long-running, 1: speculative, 2: one task of a step per worker,
  // 3: gang, others: none of these.
  std::uint64_t JobKind = Rng.below(12);
  // Further long-running tasks would leave no capacity for the other jobs.
  const bool LosesWorkers = Options.Faults.contains(CellFault::LoseWorker);
  const int MaxLongRunning =
      LosesWorkers ? MaxLongRunningJobsWithLosses : MaxLongRunningJobs;
  JobKind = LosesWorkers && JobKind < 4 ? 0 : JobKind;
  JobKind = JobKind == 0 && LongRunningJobs == MaxLongRunning ? 1 : JobKind;
  const bool IsCrashing = CrashingJobs < MaxCrashingJobs &&
                          shouldInject(CellFault::CrashingTask, 8);
  if (IsCrashing) {
    JobKind = Rng.percent(50) ? 1 : 4;
  }
  LongRunningJobs += JobKind == 0 ? 1 : 0;
  Spec.Payload = JobKind == 0 ? "lasting" : JobKind == 3 ? "gang" : "work";
  const std::uint64_t Steps = JobKind == 0 ? 1 : 1 + Rng.below(3);
  for (std::uint64_t Index = 0; Index < Steps; ++Index) {
    StepSpec Step;
    Step.Tasks = static_cast<std::uint32_t>(
        1 + Rng.below(LosesWorkers && JobKind == 0 ? 2 : 4));
    Step.Need.MilliCpus = TaskCpus;
    Step.Estimate = FakeWorker::DefaultRunTime;
    Step.IsLongRunning = JobKind == 0;
    Step.IsSpeculative = JobKind == 1;
    if (JobKind == 2) {
      Step.MaxPerWorker = 1;
    }
    Step.IsGang = JobKind == 3;
    if (Index > 0) {
      Step.DependsOn.push_back(static_cast<std::uint32_t>(Index - 1));
    }
    Spec.Steps.push_back(Step);
  }
  if (IsCrashing) {
    CrashingJobs += 1;
    const std::uint64_t Step = Rng.below(Steps);
    Spec.Payload = Rng.percent(50)
                       ? "crash"
                       : "crash " + std::to_string(Step) + "." +
                             std::to_string(Rng.below(Spec.Steps[Step].Tasks));
  }
  Jobs[Name].Spec = Spec;
  Result.Submitted += 1;
  call(JobVerb::Submit, Name, Spec);
}

void CellSimulation::submitSteady() {
  const std::string Name = "j" + std::to_string(Jobs.size());
  JobSpec Spec;
  Spec.Payload = "work " + std::to_string(SteadyRunTime.count());
  StepSpec &Step = Spec.Steps.emplace_back();
  Step.Tasks = WorkerCount;
  Step.Need.MilliCpus = SteadyTaskCpus;
  Step.Estimate = SteadyRunTime;
  Step.MaxPerWorker = 1;
  Jobs[Name].Spec = Spec;
  Result.Submitted += 1;
  call(JobVerb::Submit, Name, Spec);
}

void CellSimulation::cancel(const std::string &Name, TrackedJob &Job) {
  Job.IsCancelSent = true;
  call(JobVerb::Cancel, Name, {});
}

void CellSimulation::onReplies(const std::vector<LocalReply> &Replies) {
  for (const LocalReply &Response : Replies) {
    if (Response.CallId == ConfigureId &&
        Response.Reply.Verdict != CellVerdict::Done) {
      configure();
      continue;
    }
    if (Response.CallId == ConfigureId) {
      Caps.onAcknowledged(Now);
    }
    if (Keys && Response.CallId == ConfigureId) {
      Keys->onAcknowledged(Now);
      ConfigureId = 0;
      continue;
    }
    if (const auto Left =
            Drains.onReply(Response.CallId, Response.Reply.Verdict, Now)) {
      endDrainedWorker(*Left);
      continue;
    }
    if (const auto Probe = KeyProbes.extract(Response.CallId)) {
      checkKey(Probe.mapped().first, Probe.mapped().second,
               Response.Reply.Verdict);
      continue;
    }
    const auto It = Calls.find(Response.CallId);
    if (It != Calls.end()) {
      onReply(It->second, Response.Reply);
      Calls.erase(It);
    }
  }
}

void CellSimulation::onReply(const OpenCallerCall &Call,
                             const CellReply &Reply) {
  const std::string &Name = Call.Job;
  TrackedJob &Job = Jobs.at(Name);
  if (Keys) {
    checkKey(KeyWorld::keyOf(Name), Call.SentAt, Reply.Verdict);
  }
  if (Call.Verb == JobVerb::Submit) {
    Job.IsAccepted = Job.IsAccepted || Reply.Verdict == CellVerdict::Done;
    return;
  }
  if (Call.Verb == JobVerb::Cancel) {
    if (Reply.Verdict == CellVerdict::Done && !Job.CancelledAt) {
      Job.CancelledAt = Now;
    }
    return;
  }
  if (Reply.Verdict == CellVerdict::Gone) {
    recordViolation("accepted job " + Name + " is not known");
  }
  if (Reply.Verdict != CellVerdict::Done) {
    return;
  }
  const bool WasOver = Job.Phase && isTerminal(*Job.Phase);
  if (WasOver && *Job.Phase != Reply.Phase) {
    // Replies to reads that were open at the same time may arrive in any
    // order. Only a read that was sent after the job was seen over must show
    // it so, and no read may show another end.
    if (Call.SentAt > Job.PhaseReadAt || isTerminal(Reply.Phase)) {
      recordViolation("job " + Name + " was over and is " +
                      std::string{nameOf(Reply.Phase)});
    }
    return;
  }
  if (!WasOver) {
    Job.PhaseReadAt = Now;
  }
  Job.Phase = Reply.Phase;
  if (Reply.Phase == JobPhase::Completed) {
    checkCompleted(Name, Job);
  } else if (Reply.Phase == JobPhase::Failed) {
    checkFailed(Name, Job);
  }
}

} // namespace mulberryramp::test
