#include "mulberryramp/cell/leases.hpp"

#include "mulberryramp/cell/orders.hpp"

#include <algorithm>

namespace mulberryramp {

namespace {

/// A worker counts as unresponsive after this many consecutive misses, so that
/// a single lost order writes nothing to the log.
constexpr std::uint32_t SuspendAfterMisses = 2;
/// The lower bits of a fencing token hold the registration of the worker. Terms
/// up to 2^21 fit beside it into the integers that JSON numbers keep exactly.
constexpr int RegistrationBits = 32;

/// Returns when the last order for a previous instance was sent at the latest.
Instant registeredAt(const DispatchState &Dispatch, WorkerInstanceId Id,
                     Instant Now) {
  const auto TimeIt = Dispatch.Entries.Registrations.find(Id);
  return TimeIt == Dispatch.Entries.Registrations.end()
             ? Now
             : TimeIt->second.AppliedAt;
}

/// Returns the end of a lease that the instance may accept until now from an
/// order for a previous instance. As its clock restarts, such a lease lasts up
/// to the longest one that the worker accepts.
Instant formerLeaseEnd(const DispatchState &Dispatch,
                       const WorkerSession &Session, Instant Now) {
  return std::min(Session.FormerOrdersEnd,
                  Now +
                      leaseBound(Dispatch.Options, Dispatch.Options.MaxLease));
}

} // namespace

Millis leaseBound(const DispatchOptions &Options, Millis Lease) {
  return Lease * (100 + Options.DriftPercent) / 100 + Options.LeaseSlack;
}

void openLease(const DispatchState &Dispatch, WorkerSession &Session,
               WorkerInstanceId Id, const WorkerInstance &Worker, Instant Now) {
  const DispatchOptions &Options = Dispatch.Options;
  Session.FormerOrdersEnd = registeredAt(Dispatch, Id, Now) +
                            Options.MaxOrderDelay +
                            leaseBound(Options, Options.MaxLease);
  Session.LeaseEnd = std::max(Now + leaseBound(Options, Options.Lease),
                              formerLeaseEnd(Dispatch, Session, Now));
  Session.IsLeaseSuspended = Worker.IsLeaseSuspended;
  const auto SuspensionIt = Dispatch.Entries.LeaseSuspensions.find(Id);
  if (Worker.IsLeaseSuspended &&
      SuspensionIt != Dispatch.Entries.LeaseSuspensions.end()) {
    Session.LeaseEnd =
        std::min(Session.LeaseEnd,
                 SuspensionIt->second.AppliedAt + Worker.SuspendedLease);
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
  if (Now < Session.FormerOrdersEnd) {
    Session.LeaseEnd =
        std::max(Session.LeaseEnd, formerLeaseEnd(Dispatch, Session, Now));
    Session.FormerOrdersEnd = Now;
  }
}

Instant runBound(const WorkerSession &Session,
                 const TaskLaunch &Launch) noexcept {
  return Launch.IsTransferred
             ? std::max(Session.LeaseEnd, Session.FormerOrdersEnd)
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
  for (auto &[Id, Session] : Dispatch.Sessions) {
    const bool IsUnresponsive = Session.ConsecutiveMisses >= SuspendAfterMisses;
    if (IsUnresponsive && !Session.IsLeaseSuspended && !Session.Tasks.empty() &&
        Now < Session.LeaseEnd) {
      Session.IsLeaseSuspended = true;
      Suspend.Suspensions.push_back({Id, Session.LeaseEnd - Now});
      Dispatch.Events.push_back(
          "event=lease-suspended worker=" + workerName(State, Id) +
          " remaining_ms=" + std::to_string((Session.LeaseEnd - Now).count()) +
          " tasks=" + std::to_string(Session.Tasks.size()));
    } else if (Session.IsLeaseSuspended && !Session.IsResumeProposed &&
               Session.ConsecutiveMisses == 0 && Session.IsInstanceVerified) {
      Session.IsResumeProposed = true;
      Resume.Workers.push_back(Id);
    }
  }
  if (!Suspend.Suspensions.empty()) {
    Dispatch.Commands.emplace_back(std::move(Suspend));
  }
  if (!Resume.Workers.empty()) {
    Dispatch.Commands.emplace_back(std::move(Resume));
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
