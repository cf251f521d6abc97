#include "mulberryramp/cell/advice.hpp"

#include <algorithm>

namespace mulberryramp {

namespace {

/// Added to the time that the advisor needs, for the way there and back.
constexpr Millis AnswerGrace{1200};
/// How long a node is passed over after a question without an answer.
constexpr Millis AvoidNodeFor{1500};
/// Between questions about a step after one without an answer.
constexpr Millis AdviceRetryDelay{100};
/// A node that was not heard for this long is not asked.
constexpr Millis NodeLostAfter{1600};
/// Taken off the life of a ticket for agreement and the way to the worker.
constexpr Millis TicketMargin{200};
/// Questions that take longer leave some nodes free for others.
constexpr Millis LongAnswer{150};
constexpr std::size_t FreeShare = 4; ///< One node in so many stays free.

bool isFree(const DispatchState &Dispatch, NodeId Id, const AdviceNode &Node,
            Instant Now) {
  return Node.QueryId == 0 && Now >= Node.BackoffUntil &&
         (Id == Dispatch.Self || Now - Node.LastContactAt < NodeLostAfter);
}

std::size_t countFreeNodes(const DispatchState &Dispatch, Instant Now) {
  return static_cast<std::size_t>(std::count_if(
      Dispatch.Nodes.begin(), Dispatch.Nodes.end(), [&](const auto &Item) {
        return isFree(Dispatch, Item.first, Item.second, Now);
      }));
}

AdviceNode *findFreeNode(DispatchState &Dispatch, Instant Now, NodeId &Chosen) {
  AdviceNode *Best = nullptr;
  for (auto &[Id, Node] : Dispatch.Nodes) {
    if (isFree(Dispatch, Id, Node, Now) &&
        (Best == nullptr || Chosen == Dispatch.Self)) {
      Best = &Node;
      Chosen = Id;
    }
  }
  return Best;
}

void closeQuery(DispatchState &Dispatch, std::uint64_t Id,
                const PendingQuery &Query) {
  const auto Node = Dispatch.Nodes.find(Query.Node);
  if (Node != Dispatch.Nodes.end() && Node->second.QueryId == Id) {
    Node->second.QueryId = 0;
  }
  const auto AdviceIt = Dispatch.Advice.find(Query.Step);
  if (AdviceIt != Dispatch.Advice.end() && AdviceIt->second.QueryId == Id) {
    AdviceIt->second.QueryId = 0;
  }
}

} // namespace

Millis expectedAnswerTime(const AdvisorOptions &Rules, std::size_t Workers) {
  return Millis{static_cast<std::int64_t>(
      Rules.DecisionMs + Rules.PerWorkerMs * static_cast<double>(Workers))};
}

bool isAdmitted(const StepAdvice &Advice, WorkerInstanceId Worker,
                Instant Now) {
  const auto Found = Advice.Admitted.find(Worker);
  return Found != Advice.Admitted.end() && Now < Found->second.ExpiresAt;
}

bool canQueryAdvisor(const DispatchState &Dispatch, const StepAdvice &Advice,
                     const AdvisorOptions &Rules, Instant Now) {
  if (Advice.QueryId != 0 || Now < Advice.RetryAt) {
    return false;
  }
  const bool IsLong =
      Rules.DecisionMs > static_cast<double>(LongAnswer.count());
  const std::size_t Kept = IsLong ? Dispatch.Nodes.size() / FreeShare : 0;
  return countFreeNodes(Dispatch, Now) > Kept;
}

bool queryAdvisor(DispatchState &Dispatch, const CellState &State,
                  const StepKey &Step, const AdvisorOptions &Rules,
                  const std::vector<WorkerInstanceId> &Workers, Instant Now) {
  StepAdvice &Advice = Dispatch.Advice[Step];
  if (Workers.empty() || !canQueryAdvisor(Dispatch, Advice, Rules, Now)) {
    return false;
  }
  NodeId Chosen = 0;
  AdviceNode *Node = findFreeNode(Dispatch, Now, Chosen);
  if (Node == nullptr) {
    return false;
  }
  AdviceQuery Query;
  Query.Id = Dispatch.NextId;
  Dispatch.NextId += 1;
  Query.Step = {State.Jobs[Step.Job].Name, Step.Run, Step.Step};
  Query.Timeout = expectedAnswerTime(Rules, Workers.size()) + AnswerGrace;
  for (const WorkerInstanceId Worker : Workers) {
    Query.Workers.push_back(State.Workers[Worker].Report.Name);
  }
  Node->QueryId = Query.Id;
  Advice.QueryId = Query.Id;
  Dispatch.PendingQueries[Query.Id] = {Step, Chosen, Workers,
                                       Now + Query.Timeout};
  Dispatch.Counters.Queries += 1;
  Dispatch.OutgoingQueries.push_back({Chosen, std::move(Query)});
  return true;
}

void expireQueries(DispatchState &Dispatch, Instant Now) {
  for (auto Item = Dispatch.PendingQueries.begin();
       Item != Dispatch.PendingQueries.end();) {
    if (Now < Item->second.ExpiresAt) {
      ++Item;
      continue;
    }
    closeQuery(Dispatch, Item->first, Item->second);
    if (const auto Node = Dispatch.Nodes.find(Item->second.Node);
        Node != Dispatch.Nodes.end()) {
      Node->second.BackoffUntil = Now + AvoidNodeFor;
    }
    Dispatch.Events.push_back("event=advice-late node=" +
                              std::to_string(Item->second.Node));
    Dispatch.NeedsPlan = true;
    Item = Dispatch.PendingQueries.erase(Item);
  }
}

void onAdviceAnswer(DispatchState &Dispatch, const CellState &State,
                    const AdviceAnswer &Answer, Instant Now) {
  const auto Found = Dispatch.PendingQueries.find(Answer.Id);
  if (Found == Dispatch.PendingQueries.end()) {
    return;
  }
  const PendingQuery Query = std::move(Found->second);
  Dispatch.PendingQueries.erase(Found);
  closeQuery(Dispatch, Answer.Id, Query);
  Dispatch.NeedsPlan = true;
  const auto Entry = Dispatch.Advice.find(Query.Step);
  const Job *Owner = State.Jobs.find(Query.Step.Job);
  if (Entry == Dispatch.Advice.end() || Owner == nullptr) {
    return;
  }
  StepAdvice &Advice = Entry->second;
  if (!Answer.IsAnswered) {
    Advice.RetryAt = Now + AdviceRetryDelay;
    Dispatch.Events.push_back("event=advice-failed job=" + Owner->Name +
                              " node=" + std::to_string(Query.Node));
    return;
  }
  Millis Life = Answer.TicketTtl;
  if (Life.count() == 0 && Owner->Queue.Advice) {
    Life = Owner->Queue.Advice->TicketTtl;
  }
  for (const WorkerInstanceId Worker : Query.Workers) {
    const WorkerInstance *Row = State.Workers.find(Worker);
    if (Row == nullptr) {
      continue;
    }
    const auto Admitted = std::find_if(
        Answer.Admitted.begin(), Answer.Admitted.end(),
        [&](const Admission &Each) { return Each.Worker == Row->Report.Name; });
    if (Admitted == Answer.Admitted.end()) {
      Advice.Denied.insert(Worker);
    } else {
      Advice.Admitted[Worker] = {Admitted->Ticket, Now + Life - TicketMargin};
    }
  }
}

} // namespace mulberryramp
