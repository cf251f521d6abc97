#include "mulberryramp/cell/advice.hpp"

#include <algorithm>

namespace mulberryramp {

namespace {

/// Added to the expected answer time of the advisor, for network delay.
constexpr Millis AnswerGrace{1200};
/// Backoff of a node after an unanswered query.
constexpr Millis NodeBackoff{1500};
/// Pause of queries about a step after the advisor failed to answer.
constexpr Millis AdviceRetryDelay{100};
/// No query is routed to a node without contact for this long.
constexpr Millis NodeTimeout{1600};
/// Subtracted from the lifetime of a ticket, for the commit of the assignment
/// and the delay of the start order.
constexpr Millis TicketMargin{200};
/// If the decision time of an advisor exceeds this, its queries leave some
/// nodes free for those of other queues.
constexpr Millis LongDecisionTime{150};
/// One in this many nodes stays free.
constexpr std::size_t NodesPerFreeNode = 4;

bool isFree(const DispatchState &Dispatch, NodeId Id, const AdviceNode &Node,
            Instant Now) {
  return Node.QueryId == 0 && Now >= Node.BackoffUntil &&
         (Id == Dispatch.Self || Now - Node.LastContactAt < NodeTimeout);
}

std::size_t countFreeNodes(const DispatchState &Dispatch, Instant Now) {
  return static_cast<std::size_t>(std::count_if(
      Dispatch.Nodes.begin(), Dispatch.Nodes.end(), [&](const auto &NodeRow) {
        return isFree(Dispatch, NodeRow.first, NodeRow.second, Now);
      }));
}

/// Finds a free node, preferably not this one.
/// @param Chosen Receives its id.
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

/// Marks the node and the step of a query as free for the next query.
void closeQuery(DispatchState &Dispatch, std::uint64_t Id,
                const PendingQuery &Query) {
  const auto NodeIt = Dispatch.Nodes.find(Query.Node);
  if (NodeIt != Dispatch.Nodes.end() && NodeIt->second.QueryId == Id) {
    NodeIt->second.QueryId = 0;
  }
  const auto AdviceIt = Dispatch.Advice.find(Query.Step);
  if (AdviceIt != Dispatch.Advice.end() && AdviceIt->second.QueryId == Id) {
    AdviceIt->second.QueryId = 0;
  }
}

} // namespace

Millis expectedAnswerTime(const AdvisorOptions &Advisor, std::size_t Workers) {
  return Millis{static_cast<std::int64_t>(
      Advisor.DecisionMs + Advisor.PerWorkerMs * static_cast<double>(Workers))};
}

bool isAdmitted(const StepAdvice &Advice, WorkerInstanceId Worker,
                Instant Now) {
  const auto TicketIt = Advice.Admitted.find(Worker);
  return TicketIt != Advice.Admitted.end() && Now < TicketIt->second.ExpiresAt;
}

bool canQueryAdvisor(const DispatchState &Dispatch, const StepAdvice &Advice,
                     const AdvisorOptions &Advisor, Instant Now) {
  if (Advice.QueryId != 0 || Now < Advice.RetryAt) {
    return false;
  }
  const bool IsLong =
      Advisor.DecisionMs > static_cast<double>(LongDecisionTime.count());
  const std::size_t ReservedNodes =
      IsLong ? Dispatch.Nodes.size() / NodesPerFreeNode : 0;
  return countFreeNodes(Dispatch, Now) > ReservedNodes;
}

bool queryAdvisor(DispatchState &Dispatch, const CellState &State,
                  const StepKey &Step, const AdvisorOptions &Advisor,
                  const std::vector<WorkerInstanceId> &Workers, Instant Now) {
  StepAdvice &Advice = Dispatch.Advice[Step];
  if (Workers.empty() || !canQueryAdvisor(Dispatch, Advice, Advisor, Now)) {
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
  Query.Timeout = expectedAnswerTime(Advisor, Workers.size()) + AnswerGrace;
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
  for (auto QueryIt = Dispatch.PendingQueries.begin();
       QueryIt != Dispatch.PendingQueries.end();) {
    if (Now < QueryIt->second.ExpiresAt) {
      ++QueryIt;
      continue;
    }
    closeQuery(Dispatch, QueryIt->first, QueryIt->second);
    if (const auto NodeIt = Dispatch.Nodes.find(QueryIt->second.Node);
        NodeIt != Dispatch.Nodes.end()) {
      NodeIt->second.BackoffUntil = Now + NodeBackoff;
    }
    Dispatch.Events.push_back("event=advice-late node=" +
                              std::to_string(QueryIt->second.Node));
    Dispatch.NeedsPlan = true;
    QueryIt = Dispatch.PendingQueries.erase(QueryIt);
  }
}

void onAdviceAnswer(DispatchState &Dispatch, const CellState &State,
                    const AdviceAnswer &Answer, Instant Now) {
  const auto QueryIt = Dispatch.PendingQueries.find(Answer.Id);
  if (QueryIt == Dispatch.PendingQueries.end()) {
    return;
  }
  const PendingQuery Query = std::move(QueryIt->second);
  Dispatch.PendingQueries.erase(QueryIt);
  closeQuery(Dispatch, Answer.Id, Query);
  Dispatch.NeedsPlan = true;
  const auto AdviceIt = Dispatch.Advice.find(Query.Step);
  const Job *Owner = State.Jobs.find(Query.Step.Job);
  if (AdviceIt == Dispatch.Advice.end() || Owner == nullptr) {
    return;
  }
  StepAdvice &Advice = AdviceIt->second;
  if (!Answer.IsAnswered) {
    Advice.RetryAt = Now + AdviceRetryDelay;
    Dispatch.Events.push_back("event=advice-failed job=" + Owner->Name +
                              " node=" + std::to_string(Query.Node));
    return;
  }
  Millis Ttl = Answer.TicketTtl;
  if (Ttl.count() == 0 && Owner->Queue.Advice) {
    Ttl = Owner->Queue.Advice->TicketTtl;
  }
  for (const WorkerInstanceId Worker : Query.Workers) {
    const WorkerInstance *Row = State.Workers.find(Worker);
    if (Row == nullptr) {
      continue;
    }
    const auto AdmissionIt =
        std::find_if(Answer.Admitted.begin(), Answer.Admitted.end(),
                     [&](const Admission &Admitted) {
                       return Admitted.Worker == Row->Report.Name;
                     });
    if (AdmissionIt == Answer.Admitted.end()) {
      Advice.Denied.insert(Worker);
    } else {
      Advice.Admitted[Worker] = {AdmissionIt->Ticket, Now + Ttl - TicketMargin};
    }
  }
}

} // namespace mulberryramp
