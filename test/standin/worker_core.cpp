#include "standin/worker_core.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace mulberryramp::test {

namespace {

constexpr Millis DefaultRunTime{100};
constexpr std::size_t AnswerPartCount = 3;

std::vector<std::string> splitAnswer(const std::string &Answer) {
  std::vector<std::string> Parts;
  const std::size_t PartSize = Answer.size() / AnswerPartCount;
  for (std::size_t Index = 0; Index < AnswerPartCount; ++Index) {
    const bool IsLast = Index + 1 == AnswerPartCount;
    Parts.push_back(
        Answer.substr(Index * PartSize, IsLast ? std::string::npos : PartSize));
  }
  return Parts;
}

} // namespace

std::string expectedAnswer(const std::string &Customer, const std::string &Key,
                           std::uint32_t Ordinal, const std::string &Payload) {
  return "answer to " + Customer + "/" + Key + "#" + std::to_string(Ordinal) +
         ": " + Payload;
}

Millis runTimeOf(const std::string &Payload) {
  const std::size_t Position = Payload.find("run-ms=");
  if (Position == std::string::npos) {
    return DefaultRunTime;
  }
  return Millis{std::atoll(Payload.c_str() + Position + 7)};
}

WorkerCore::WorkerCore(std::string Name, std::string Centre, std::string Rack,
                       Resources Capacity, std::uint64_t Incarnation)
    : Name{std::move(Name)}, Centre{std::move(Centre)}, Rack{std::move(Rack)},
      Capacity{Capacity}, Incarnation{Incarnation} {}

AttemptReport WorkerCore::reportOf(AttemptId Attempt,
                                   AttemptState &State) const {
  AttemptReport Report;
  Report.Attempt = Attempt;
  Report.Phase = State.Phase;
  Report.Reason = State.Reason;
  if (State.Phase == AttemptPhase::Running) {
    Report.UsedMilliCpus = State.Order.Need.MilliCpus;
    Report.UsedMemoryMb = State.Order.Need.MemoryMb;
  } else if (State.NextPart < State.Parts.size()) {
    const std::size_t Index = State.Parts.size() - 1 - State.NextPart;
    Report.Part = AnswerPart{static_cast<std::uint32_t>(Index),
                             static_cast<std::uint32_t>(State.Parts.size()),
                             State.Parts[Index]};
  }
  return Report;
}

WorkerPoll WorkerCore::makePoll(Instant Now) {
  WorkerPoll Poll;
  Poll.Name = Name;
  Poll.Incarnation = Incarnation;
  Poll.Centre = Centre;
  Poll.Rack = Rack;
  Poll.Capacity = Capacity;
  Poll.Epoch = Epoch;
  Poll.Ack = Ack;
  Poll.IsFullReport = NeedsFull;
  Poll.IsDraining = IsDraining;
  for (auto &[Attempt, State] : Attempts) {
    if (NeedsFull) {
      State.NextPart = 0;
    }
    State.IsInFlight = NeedsFull || State.IsDirty;
    if (State.IsInFlight) {
      Poll.Reports.push_back(reportOf(Attempt, State));
    }
  }
  PollSentAt = Now;
  NewestPoll += 1;
  IsOpen = true;
  return Poll;
}

void WorkerCore::pollFailed(std::uint64_t Poll) {
  if (Poll != NewestPoll) {
    return;
  }
  IsOpen = false;
  NeedsFull = true;
  for (auto &[Attempt, State] : Attempts) {
    State.IsInFlight = false;
  }
}

void WorkerCore::end(AttemptState &State, AttemptPhase Phase,
                     const std::string &Answer, Instant Now) {
  State.Phase = Phase;
  State.IsDirty = true;
  State.IsInFlight = false;
  State.NextPart = 0;
  State.Parts = Faults.SplitsAnswers ? splitAnswer(Answer)
                                     : std::vector<std::string>{Answer};
  if (State.RunIndex < Runs.size()) {
    Runs[State.RunIndex].End = Now;
  }
}

void WorkerCore::start(const StartOrder &Order, Instant Now) {
  if (Attempts.contains(Order.Attempt)) {
    return;
  }
  AttemptState State;
  State.Order = Order;
  State.RunIndex = Runs.size();
  if (Faults.RefusesEverything) {
    State.Phase = AttemptPhase::Refused;
    State.Reason = "the worker refuses all work";
    State.RunIndex = SIZE_MAX;
    Attempts[Order.Attempt] = std::move(State);
    return;
  }
  Runs.push_back({Order.Attempt, Order.Customer, Order.Key, Order.Ordinal,
                  Order.IsIdempotent, Order.Need, Now, Instant{}});
  State.EndsAt = Order.Kind == WorkKind::Service
                     ? Instant::max()
                     : Now + runTimeOf(Order.Payload) * Faults.SlowFactor;
  if (Faults.FailsEverything) {
    State.Reason = "the worker fails all work";
    end(State, AttemptPhase::Failed, "", Now);
  }
  Attempts[Order.Attempt] = std::move(State);
}

void WorkerCore::stop(const StopOrder &Order, Instant Now) {
  const auto It = Attempts.find(Order.Attempt);
  if (It == Attempts.end()) {
    AttemptState Tombstone;
    Tombstone.Phase = AttemptPhase::Refused;
    Tombstone.Reason = "stopped before it began";
    Tombstone.RunIndex = SIZE_MAX;
    Attempts[Order.Attempt] = std::move(Tombstone);
    return;
  }
  AttemptState &State = It->second;
  const bool IsStopped = State.Phase == AttemptPhase::Running &&
                         Order.Mode != StopMode::Throttle &&
                         !Faults.IgnoresStops;
  if (IsStopped) {
    State.Reason = "stopped as ordered";
    const bool SavesCheckpoint = Order.Mode == StopMode::Checkpoint;
    end(State, AttemptPhase::Stopped, SavesCheckpoint ? "checkpoint" : "", Now);
  }
}

void WorkerCore::handleReply(std::uint64_t Poll, const WorkerReply &Reply,
                             Instant Now) {
  const bool IsAccepted =
      Reply.Verdict == PollVerdict::Accepted && Reply.Epoch >= Epoch;
  if (!IsAccepted || Poll != NewestPoll) {
    pollFailed(Poll);
    return;
  }
  IsOpen = false;
  NeedsFull = Reply.Epoch > Epoch || Reply.NeedsFullReport;
  Epoch = Reply.Epoch;
  Ack = Reply.Sequence;
  for (auto &[Attempt, State] : Attempts) {
    if (!State.IsInFlight) {
      continue;
    }
    State.IsInFlight = false;
    State.IsDirty = false;
    if (State.Phase != AttemptPhase::Running &&
        State.NextPart + 1 < State.Parts.size()) {
      State.NextPart += 1;
      State.IsDirty = true;
    }
  }
  LeaseEnd = std::max(LeaseEnd, PollSentAt + Reply.Lease);
  if (Now >= LeaseEnd) {
    return;
  }
  for (const StartOrder &Order : Reply.Starts) {
    start(Order, Now);
  }
  for (const StopOrder &Order : Reply.Stops) {
    stop(Order, Now);
  }
  for (const AttemptId Attempt : Reply.Discards) {
    Attempts.erase(Attempt);
  }
}

void WorkerCore::tick(Instant Now) {
  for (auto &[Attempt, State] : Attempts) {
    if (State.Phase != AttemptPhase::Running) {
      continue;
    }
    if (Now >= State.EndsAt && State.EndsAt <= LeaseEnd) {
      const StartOrder &Order = State.Order;
      end(State, AttemptPhase::Done,
          expectedAnswer(Order.Customer, Order.Key, Order.Ordinal,
                         Order.Payload),
          State.EndsAt);
    } else if (Now >= LeaseEnd) {
      State.Reason = "the lease of the worker ended";
      end(State, AttemptPhase::Stopped, "", LeaseEnd);
    }
  }
}

bool WorkerCore::wantsPoll() const {
  return std::any_of(
      Attempts.begin(), Attempts.end(), [this](const auto &Pair) {
        return Pair.second.IsDirty && !(IsOpen && Pair.second.IsInFlight);
      });
}

std::size_t WorkerCore::running() const {
  return static_cast<std::size_t>(
      std::count_if(Attempts.begin(), Attempts.end(), [](const auto &Pair) {
        return Pair.second.Phase == AttemptPhase::Running;
      }));
}

} // namespace mulberryramp::test
