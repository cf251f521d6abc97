#include "standin/worker_core.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace mulberryramp::test {

namespace {

constexpr Millis DefaultRun{100};
constexpr std::size_t SplitParts = 3;

std::vector<std::string> split(const std::string &Answer) {
  std::vector<std::string> Parts;
  const std::size_t Each = Answer.size() / SplitParts;
  for (std::size_t Index = 0; Index < SplitParts; ++Index) {
    const bool Last = Index + 1 == SplitParts;
    Parts.push_back(
        Answer.substr(Index * Each, Last ? std::string::npos : Each));
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
  const std::size_t At = Payload.find("run-ms=");
  if (At == std::string::npos) {
    return DefaultRun;
  }
  return Millis{std::atoll(Payload.c_str() + At + 7)};
}

WorkerCore::WorkerCore(std::string Name, std::string Centre, std::string Rack,
                       Resources Capacity, std::uint64_t Incarnation)
    : Name{std::move(Name)}, Centre{std::move(Centre)}, Rack{std::move(Rack)},
      Capacity{Capacity}, Incarnation{Incarnation} {}

AttemptReport WorkerCore::reportOf(AttemptId Attempt, Local &Item) const {
  AttemptReport Report;
  Report.Attempt = Attempt;
  Report.Phase = Item.Phase;
  Report.Reason = Item.Reason;
  if (Item.Phase == AttemptPhase::Running) {
    Report.UsedMilliCpus = Item.Order.Need.MilliCpus;
    Report.UsedMemoryMb = Item.Order.Need.MemoryMb;
  } else if (Item.NextPart < Item.Parts.size()) {
    const std::size_t Index = Item.Parts.size() - 1 - Item.NextPart;
    Report.Part = AnswerPart{static_cast<std::uint32_t>(Index),
                             static_cast<std::uint32_t>(Item.Parts.size()),
                             Item.Parts[Index]};
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
  for (auto &[Attempt, Item] : Attempts) {
    if (NeedsFull) {
      Item.NextPart = 0;
    }
    Item.IsInFlight = NeedsFull || Item.IsDirty;
    if (Item.IsInFlight) {
      Poll.Reports.push_back(reportOf(Attempt, Item));
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
  for (auto &[Attempt, Item] : Attempts) {
    Item.IsInFlight = false;
  }
}

void WorkerCore::end(Local &Item, AttemptPhase Phase, const std::string &Answer,
                     Instant Now) {
  Item.Phase = Phase;
  Item.IsDirty = true;
  Item.IsInFlight = false;
  Item.NextPart = 0;
  Item.Parts =
      Faults.SplitsAnswers ? split(Answer) : std::vector<std::string>{Answer};
  if (Item.Run < Runs.size()) {
    Runs[Item.Run].End = Now;
  }
}

void WorkerCore::start(const StartOrder &Order, Instant Now) {
  if (Attempts.contains(Order.Attempt)) {
    return;
  }
  Local Item;
  Item.Order = Order;
  Item.Run = Runs.size();
  if (Faults.RefusesEverything) {
    Item.Phase = AttemptPhase::Refused;
    Item.Reason = "the worker refuses all work";
    Item.Run = SIZE_MAX;
    Attempts[Order.Attempt] = std::move(Item);
    return;
  }
  Runs.push_back({Order.Attempt, Order.Customer, Order.Key, Order.Ordinal,
                  Order.IsIdempotent, Order.Need, Now, Instant{}});
  Item.EndsAt = Order.Kind == WorkKind::Service
                    ? Instant::max()
                    : Now + runTimeOf(Order.Payload) * Faults.SlowFactor;
  if (Faults.FailsEverything) {
    Item.Reason = "the worker fails all work";
    end(Item, AttemptPhase::Failed, "", Now);
  }
  Attempts[Order.Attempt] = std::move(Item);
}

void WorkerCore::stop(const StopOrder &Order, Instant Now) {
  const auto Found = Attempts.find(Order.Attempt);
  if (Found == Attempts.end()) {
    Local Tombstone;
    Tombstone.Phase = AttemptPhase::Refused;
    Tombstone.Reason = "stopped before it began";
    Tombstone.Run = SIZE_MAX;
    Attempts[Order.Attempt] = std::move(Tombstone);
    return;
  }
  Local &Item = Found->second;
  const bool Ends = Item.Phase == AttemptPhase::Running &&
                    Order.Mode != StopMode::Throttle && !Faults.IgnoresStops;
  if (Ends) {
    Item.Reason = "stopped as ordered";
    const bool Saves = Order.Mode == StopMode::Checkpoint;
    end(Item, AttemptPhase::Stopped, Saves ? "checkpoint" : "", Now);
  }
}

void WorkerCore::handleReply(std::uint64_t Poll, const WorkerReply &Reply,
                             Instant Now) {
  const bool Taken =
      Reply.Verdict == PollVerdict::Accepted && Reply.Epoch >= Epoch;
  if (!Taken || Poll != NewestPoll) {
    pollFailed(Poll);
    return;
  }
  IsOpen = false;
  NeedsFull = Reply.Epoch > Epoch || Reply.NeedsFullReport;
  Epoch = Reply.Epoch;
  Ack = Reply.Sequence;
  for (auto &[Attempt, Item] : Attempts) {
    if (!Item.IsInFlight) {
      continue;
    }
    Item.IsInFlight = false;
    Item.IsDirty = false;
    if (Item.Phase != AttemptPhase::Running &&
        Item.NextPart + 1 < Item.Parts.size()) {
      Item.NextPart += 1;
      Item.IsDirty = true;
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
  for (auto &[Attempt, Item] : Attempts) {
    if (Item.Phase != AttemptPhase::Running) {
      continue;
    }
    if (Now >= Item.EndsAt && Item.EndsAt <= LeaseEnd) {
      const StartOrder &Order = Item.Order;
      end(Item, AttemptPhase::Done,
          expectedAnswer(Order.Customer, Order.Key, Order.Ordinal,
                         Order.Payload),
          Item.EndsAt);
    } else if (Now >= LeaseEnd) {
      Item.Reason = "the lease of the worker ended";
      end(Item, AttemptPhase::Stopped, "", LeaseEnd);
    }
  }
}

bool WorkerCore::wantsPoll() const {
  return std::any_of(
      Attempts.begin(), Attempts.end(), [this](const auto &Item) {
        return Item.second.IsDirty && !(IsOpen && Item.second.IsInFlight);
      });
}

std::size_t WorkerCore::running() const {
  return static_cast<std::size_t>(
      std::count_if(Attempts.begin(), Attempts.end(), [](const auto &Item) {
        return Item.second.Phase == AttemptPhase::Running;
      }));
}

} // namespace mulberryramp::test
