#include "mulberryramp/cell/leases.hpp"

#include "mulberryramp/cell/orders.hpp"

#include <algorithm>

namespace mulberryramp {

namespace {

/// The lower bits of a fencing token hold the registration of the worker. Terms
/// up to 2^21 fit beside it into the integers that JSON numbers keep exactly.
constexpr int RegistrationBits = 32;

/// Bounds the leases of orders for the previous instance of a worker. Such an
/// order was sent before the instance was registered, and may reach it late. As
/// the worker clock restarts, its lease lasts up to the longest one that the
/// worker accepts.
Instant formerLeaseBound(const DispatchState &Dispatch, WorkerInstanceId Id,
                         const WorkerInstance &Worker, Instant Now) {
  if (!Worker.MayHoldFormerLease) {
    return Instant{};
  }
  const auto TimeIt = Dispatch.Entries.Registrations.find(Id);
  const Instant RegisteredAt = TimeIt == Dispatch.Entries.Registrations.end()
                                   ? Now
                                   : TimeIt->second.AppliedAt;
  return RegisteredAt + Dispatch.Options.MaxOrderDelay +
         leaseBound(Dispatch.Options, Dispatch.Options.MaxLease);
}

/// Tells whether former leases end no later than any lease which this or a
/// later leader assumes. A leader takes the end of a suspended lease from the
/// log; otherwise it counts a regular one from its election.
bool areFormerLeasesCovered(const DispatchState &Dispatch,
                            const WorkerSession &Session, Instant Now) {
  const bool IsResponsive =
      !Session.IsLeaseSuspended && Session.ConsecutiveMisses == 0;
  return Now >= Session.FormerLeaseEnd ||
         (IsResponsive && Session.LeaseEnd >= Session.FormerLeaseEnd &&
          Now + leaseBound(Dispatch.Options, Dispatch.Options.Lease) >=
              Session.FormerLeaseEnd);
}

void suspendLease(DispatchState &Dispatch, const CellState &State,
                  WorkerInstanceId Id, WorkerSession &Session,
                  SuspendLeasesCommand &Suspend, Instant Now) {
  const Millis Remaining = Session.LeaseEnd - Now;
  Session.IsLeaseSuspended = true;
  Session.IsSuspensionRecorded = true;
  Suspend.Suspensions.push_back({Id, Remaining});
  Dispatch.Events.push_back(
      "event=lease-suspended worker=" + workerName(State, Id) +
      " remaining_ms=" + std::to_string(Remaining.count()) +
      " tasks=" + std::to_string(Session.Tasks.size()));
}

} // namespace

Millis leaseBound(const DispatchOptions &Options, Millis Lease) {
  return Lease * (100 + Options.DriftPercent) / 100 + Options.LeaseSlack;
}

void openLease(const DispatchState &Dispatch, WorkerSession &Session,
               WorkerInstanceId Id, const WorkerInstance &Worker, Instant Now) {
  const DispatchOptions &Options = Dispatch.Options;
  Session.FormerLeaseEnd = formerLeaseBound(Dispatch, Id, Worker, Now);
  // An attempt that was assigned to this instance began after the instance had
  // accepted its own fencing token, so that no former lease began later.
  Session.LeaseEnd =
      std::max(Now + leaseBound(Options, Options.Lease),
               std::min(Session.FormerLeaseEnd,
                        Now + leaseBound(Options, Options.MaxLease)));
  Session.IsLeaseSuspended = Worker.IsLeaseSuspended;
  const auto SuspensionIt = Dispatch.Entries.LeaseSuspensions.find(Id);
  if (Worker.IsLeaseSuspended &&
      SuspensionIt != Dispatch.Entries.LeaseSuspensions.end()) {
    // The next instance of the worker may have begun an attempt and may not be
    // registered yet; it reports within this time.
    const Instant ReportedBy = Now + Options.ReportInterval;
    Session.LeaseEnd =
        std::min(Session.LeaseEnd, std::max(SuspensionIt->second.AppliedAt +
                                                Worker.SuspendedLease,
                                            ReportedBy));
  }
}

std::int64_t extendLease(const DispatchState &Dispatch, WorkerSession &Session,
                         Instant Now) {
  const auto Elapsed = (Now - Session.Clock->At).count();
  const auto ClockLowerBound =
      Session.Clock->Clock +
      Elapsed * (100 - Dispatch.Options.DriftPercent) / 100;
  Session.LeaseEnd =
      std::max(Session.LeaseEnd,
               Now + leaseBound(Dispatch.Options, Dispatch.Options.Lease));
  return ClockLowerBound + Dispatch.Options.Lease.count();
}

bool mayGrantLease(const WorkerSession &Session) noexcept {
  return Session.Clock && !Session.IsLeaseSuspended;
}

void onFenceAccepted(const DispatchState &Dispatch, WorkerSession &Session,
                     Instant Now) {
  if (Session.HasAcceptedFence) {
    return;
  }
  Session.HasAcceptedFence = true;
  Session.FormerLeaseEnd =
      std::min(Session.FormerLeaseEnd,
               Now + leaseBound(Dispatch.Options, Dispatch.Options.MaxLease));
  Session.LeaseEnd = std::max(Session.LeaseEnd, Session.FormerLeaseEnd);
}

Instant runBound(const WorkerSession &Session,
                 const TaskLaunch &Launch) noexcept {
  return Launch.IsTransferred
             ? std::max(Session.LeaseEnd, Session.FormerLeaseEnd)
             : Session.LeaseEnd;
}

void expireLeases(DispatchState &Dispatch, const CellState &State, Instant Now,
                  WallTime WallNow) {
  for (auto &[Id, Session] : Dispatch.Sessions) {
    if (Session.Tasks.empty() || Now < Session.LeaseEnd) {
      continue;
    }
    bool HasNewEnds = false;
    for (const TaskKey &Key : Session.Tasks) {
      TaskLaunch &Launch = Dispatch.Launches.at(Key);
      if (!Launch.IsEndProposed && Launch.Phase != LaunchPhase::Sending &&
          Now >= runBound(Session, Launch)) {
        Launch.IsPresumedLost = true;
        proposeEnd(Dispatch, Launch, EndKind::Lost, WallNow);
        HasNewEnds = true;
      }
    }
    if (HasNewEnds) {
      Session.IsReconciled = false;
      Dispatch.Events.push_back("event=lease-over worker=" +
                                workerName(State, Id));
    }
  }
}

void proposeLeaseChanges(DispatchState &Dispatch, const CellState &State,
                         Instant Now) {
  SuspendLeasesCommand Suspend;
  ResumeLeasesCommand Resume;
  EndFormerLeasesCommand EndFormer;
  for (auto &[Id, Session] : Dispatch.Sessions) {
    const WorkerInstance *Worker = State.Workers.find(Id);
    const bool IsResponsive =
        Session.ConsecutiveMisses == 0 && Session.IsInstanceVerified;
    // A voter that restarts counts a suspension from its restart. So that it
    // finds the time that is left now, each leader records it again.
    const bool IsSuspended =
        Session.ConsecutiveMisses >= UnresponsiveAfterMisses ||
        Session.IsLeaseSuspended;
    if (IsSuspended && !Session.IsSuspensionRecorded &&
        !Session.Tasks.empty() && Now < Session.LeaseEnd) {
      suspendLease(Dispatch, State, Id, Session, Suspend, Now);
    } else if (Session.IsLeaseSuspended && !Session.IsResumeProposed &&
               IsResponsive) {
      Session.IsResumeProposed = true;
      Resume.Workers.push_back(Id);
    }
    if (Worker != nullptr && Worker->MayHoldFormerLease &&
        !Session.IsFormerLeaseEndProposed &&
        areFormerLeasesCovered(Dispatch, Session, Now)) {
      Session.IsFormerLeaseEndProposed = true;
      EndFormer.Workers.push_back(Id);
    }
  }
  if (!Suspend.Suspensions.empty()) {
    Dispatch.Commands.emplace_back(std::move(Suspend));
  }
  if (!Resume.Workers.empty()) {
    Dispatch.Commands.emplace_back(std::move(Resume));
  }
  if (!EndFormer.Workers.empty()) {
    Dispatch.Commands.emplace_back(std::move(EndFormer));
  }
}

void onLeasesResumed(DispatchState &Dispatch,
                     const std::vector<WorkerInstanceId> &Workers,
                     Instant Now) {
  for (const WorkerInstanceId Id : Workers) {
    const auto SessionIt = Dispatch.Sessions.find(Id);
    if (SessionIt == Dispatch.Sessions.end()) {
      continue;
    }
    SessionIt->second.IsLeaseSuspended = false;
    SessionIt->second.IsSuspensionRecorded = false;
    SessionIt->second.IsResumeProposed = false;
    SessionIt->second.NextRenewalAt = Now;
    Dispatch.TouchedWorkers.insert(Id);
  }
}

std::uint64_t fencingTokenOf(Term LeaderTerm,
                             const WorkerInstance &Worker) noexcept {
  constexpr std::uint64_t MaxRegistration =
      (std::uint64_t{1} << RegistrationBits) - 1;
  return (LeaderTerm << RegistrationBits) |
         std::min(Worker.Registration, MaxRegistration);
}

} // namespace mulberryramp
