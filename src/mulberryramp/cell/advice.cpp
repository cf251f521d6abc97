#include "mulberryramp/cell/advice.hpp"

#include <algorithm>

namespace mulberryramp {

namespace {

/// Added to the time that the advisor needs, for the way there and back.
constexpr Millis AnswerGrace{1200};
/// How long a node is passed over after a question without an answer.
constexpr Millis AvoidNodeFor{1500};
/// Between questions about a step after one without an answer.
constexpr Millis AskAgainAfter{100};
/// A node that was not heard for this long is not asked.
constexpr Millis NodeLostAfter{1600};
/// Taken off the life of a ticket for agreement and the way to the worker.
constexpr Millis TicketMargin{200};
/// Questions that take longer leave some nodes free for others.
constexpr Millis LongAnswer{150};
constexpr std::size_t FreeShare = 4; ///< One node in so many stays free.

bool isFree(const Dispatcher &Lead, NodeId Id, const AdviceNode &Node,
            Instant Now) {
  return Node.Question == 0 && Now >= Node.AvoidUntil &&
         (Id == Lead.Self || Now - Node.HeardAt < NodeLostAfter);
}

std::size_t countFreeNodes(const Dispatcher &Lead, Instant Now) {
  return static_cast<std::size_t>(std::count_if(
      Lead.Nodes.begin(), Lead.Nodes.end(), [&](const auto &Item) {
        return isFree(Lead, Item.first, Item.second, Now);
      }));
}

AdviceNode *findFreeNode(Dispatcher &Lead, Instant Now, NodeId &Chosen) {
  AdviceNode *Best = nullptr;
  for (auto &[Id, Node] : Lead.Nodes) {
    if (isFree(Lead, Id, Node, Now) &&
        (Best == nullptr || Chosen == Lead.Self)) {
      Best = &Node;
      Chosen = Id;
    }
  }
  return Best;
}

void closeQuestion(Dispatcher &Lead, std::uint64_t Id,
                   const OpenQuestion &Question) {
  const auto Node = Lead.Nodes.find(Question.Node);
  if (Node != Lead.Nodes.end() && Node->second.Question == Id) {
    Node->second.Question = 0;
  }
  const auto Known = Lead.Advice.find(Question.Step);
  if (Known != Lead.Advice.end() && Known->second.Question == Id) {
    Known->second.Question = 0;
  }
}

} // namespace

Millis answerTime(const AdviceRules &Rules, std::size_t Workers) {
  return Millis{static_cast<std::int64_t>(
      Rules.DecisionMs + Rules.PerWorkerMs * static_cast<double>(Workers))};
}

bool isAdmitted(const StepAdvice &Known, LifeId Worker, Instant Now) {
  const auto Found = Known.Admitted.find(Worker);
  return Found != Known.Admitted.end() && Now < Found->second.GoodUntil;
}

bool mayAsk(const Dispatcher &Lead, const StepAdvice &Known,
            const AdviceRules &Rules, Instant Now) {
  if (Known.Question != 0 || Now < Known.RetryAt) {
    return false;
  }
  const bool IsLong =
      Rules.DecisionMs > static_cast<double>(LongAnswer.count());
  const std::size_t Kept = IsLong ? Lead.Nodes.size() / FreeShare : 0;
  return countFreeNodes(Lead, Now) > Kept;
}

bool askAdvice(Dispatcher &Lead, const CellState &State, const StepKey &Step,
               const AdviceRules &Rules, const std::vector<LifeId> &Workers,
               Instant Now) {
  StepAdvice &Known = Lead.Advice[Step];
  if (Workers.empty() || !mayAsk(Lead, Known, Rules, Now)) {
    return false;
  }
  NodeId Chosen = 0;
  AdviceNode *Node = findFreeNode(Lead, Now, Chosen);
  if (Node == nullptr) {
    return false;
  }
  AdviceQuestion Question;
  Question.Id = Lead.NextId;
  Lead.NextId += 1;
  Question.Step = {State.Jobs[Step.Job].Name, Step.Run, Step.Step};
  Question.Timeout = answerTime(Rules, Workers.size()) + AnswerGrace;
  for (const LifeId Worker : Workers) {
    Question.Workers.push_back(State.Workers[Worker].Report.Name);
  }
  Node->Question = Question.Id;
  Known.Question = Question.Id;
  Lead.Questions[Question.Id] = {Step, Chosen, Workers, Now + Question.Timeout};
  Lead.Counters.Questions += 1;
  Lead.Asks.push_back({Chosen, std::move(Question)});
  return true;
}

void expireQuestions(Dispatcher &Lead, Instant Now) {
  for (auto Item = Lead.Questions.begin(); Item != Lead.Questions.end();) {
    if (Now < Item->second.GiveUpAt) {
      ++Item;
      continue;
    }
    closeQuestion(Lead, Item->first, Item->second);
    if (const auto Node = Lead.Nodes.find(Item->second.Node);
        Node != Lead.Nodes.end()) {
      Node->second.AvoidUntil = Now + AvoidNodeFor;
    }
    Lead.Events.push_back("event=advice-late node=" +
                          std::to_string(Item->second.Node));
    Lead.IsDirty = true;
    Item = Lead.Questions.erase(Item);
  }
}

void noteAdvice(Dispatcher &Lead, const CellState &State,
                const AdviceAnswer &Answer, Instant Now) {
  const auto Found = Lead.Questions.find(Answer.Id);
  if (Found == Lead.Questions.end()) {
    return;
  }
  const OpenQuestion Question = std::move(Found->second);
  Lead.Questions.erase(Found);
  closeQuestion(Lead, Answer.Id, Question);
  Lead.IsDirty = true;
  const auto Entry = Lead.Advice.find(Question.Step);
  const Job *Owner = State.Jobs.find(Question.Step.Job);
  if (Entry == Lead.Advice.end() || Owner == nullptr) {
    return;
  }
  StepAdvice &Known = Entry->second;
  if (!Answer.IsAnswered) {
    Known.RetryAt = Now + AskAgainAfter;
    Lead.Events.push_back("event=advice-failed job=" + Owner->Name +
                          " node=" + std::to_string(Question.Node));
    return;
  }
  Millis Life = Answer.TicketLife;
  if (Life.count() == 0 && Owner->Queue.Advice) {
    Life = Owner->Queue.Advice->TicketLife;
  }
  for (const LifeId Worker : Question.Workers) {
    const WorkerLife *Row = State.Workers.find(Worker);
    if (Row == nullptr) {
      continue;
    }
    const auto Admitted = std::find_if(
        Answer.Admitted.begin(), Answer.Admitted.end(),
        [&](const Admission &Each) { return Each.Worker == Row->Report.Name; });
    if (Admitted == Answer.Admitted.end()) {
      Known.Denied.insert(Worker);
    } else {
      Known.Admitted[Worker] = {Admitted->Ticket, Now + Life - TicketMargin};
    }
  }
}

} // namespace mulberryramp
