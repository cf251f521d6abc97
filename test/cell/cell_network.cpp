#include "cell/cell_simulation.hpp"

#include <iostream>

namespace mulberryramp::test {

bool CellSimulation::isPartitioned(NodeId Id) const {
  const auto It = VotersById.find(Id);
  return It != VotersById.end() && Now < It->second.PartitionedUntil;
}

bool CellSimulation::isMessageLost() {
  return Now < LoseMessagesUntil && Rng.percent(20);
}

void CellSimulation::processOutput(NodeId From, std::uint64_t ProcessGeneration,
                                   CellOutput Output) {
  for (CellMessage &Message : Output.Messages) {
    if (!isPartitioned(From) && !isPartitioned(Message.To) &&
        !isMessageLost()) {
      Network.push_back({Now + randomDuration(1, 12), std::move(Message)});
    }
  }
  for (WorkerOrder &Order : Output.Orders) {
    OrderInFlight InFlight;
    InFlight.DeliverAt = Now + randomDuration(1, 12);
    InFlight.From = From;
    InFlight.ProcessGeneration = ProcessGeneration;
    InFlight.Worker = Order.Address.substr(0, Order.Address.find(':'));
    if (Now < DelayOrdersUntil && Rng.percent(50)) {
      InFlight.DeliverAt = Now + randomDuration(2000, 12000);
      InFlight.IsAnswered = false;
    } else if (Now < Workers.at(InFlight.Worker).ResetUntil) {
      Deadlines[{From, ProcessGeneration, Order.Id}] = Now + Order.Timeout;
      if (Rng.percent(50)) {
        sendReset(From, ProcessGeneration, Order.Id);
        continue;
      }
      InFlight.LosesAnswer = true;
    }
    InFlight.WorkerGeneration = Workers.at(InFlight.Worker).ProcessGeneration;
    if (Order.NeedsOpenConnection &&
        Workers.at(InFlight.Worker)
                .ConnectedGeneration[{From, ProcessGeneration}] !=
            InFlight.WorkerGeneration) {
      OrderResult Unsent;
      Unsent.Id = Order.Id;
      Unsent.Verdict = OrderVerdict::Unsent;
      Deadlines[{From, ProcessGeneration, Order.Id}] = Now + Order.Timeout;
      sendAnswer(From, ProcessGeneration, Unsent);
      continue;
    }
    Deadlines[{From, ProcessGeneration, Order.Id}] = Now + Order.Timeout;
    InFlight.Order = std::move(Order);
    Orders.push_back(std::move(InFlight));
  }
  for (const std::string &Line : Output.Events) {
    noteEvent(Line);
    if (Options.IsTraced) {
      std::cout << (Now - Instant{Millis{100000}}).count() << " node=" << From
                << ' ' << Line << '\n';
    }
  }
  onReplies(Output.Replies);
}

void CellSimulation::deliver() {
  std::vector<MessageInFlight> Due;
  std::erase_if(Network, [&](MessageInFlight &InFlight) {
    if (InFlight.DeliverAt > Now) {
      return false;
    }
    Due.push_back(std::move(InFlight));
    return true;
  });
  for (const MessageInFlight &InFlight : Due) {
    if (InFlight.Message.To == FrontendId) {
      Frontend->receive(InFlight.Message, Now, wallNow());
      continue;
    }
    const auto It = VotersById.find(InFlight.Message.To);
    if (It != VotersById.end() && Now < It->second.FrozenUntil) {
      Network.push_back({It->second.FrozenUntil, InFlight.Message});
      continue;
    }
    const bool IsUp = It != VotersById.end() && It->second.Node &&
                      Now >= It->second.PausedUntil &&
                      !isPartitioned(It->first);
    if (IsUp) {
      It->second.Node->receive(InFlight.Message, Now, wallNow());
    }
  }
  deliverOrders();
  deliverAnswers();
}

void CellSimulation::deliverOrders() {
  std::vector<OrderInFlight> Due;
  std::erase_if(Orders, [&](OrderInFlight &InFlight) {
    if (InFlight.DeliverAt > Now) {
      return false;
    }
    Due.push_back(std::move(InFlight));
    return true;
  });
  for (const OrderInFlight &InFlight : Due) {
    WorkerState &Target = Workers.at(InFlight.Worker);
    // An order that the worker process delays is lost when the process ends.
    const bool IsDiscarded =
        !InFlight.IsAnswered &&
        InFlight.WorkerGeneration != Target.ProcessGeneration;
    const bool IsPathCut = Now < Target.PathsCutUntil[InFlight.From];
    if (Now < Target.PartitionedUntil || IsPathCut || IsDiscarded) {
      continue;
    }
    if (Target.IsDown) {
      OrderResult Failed;
      Failed.Id = InFlight.Order.Id;
      Failed.Verdict = InFlight.WorkerGeneration == Target.ProcessGeneration
                           ? OrderVerdict::Unsent
                           : OrderVerdict::Unanswered;
      sendAnswer(InFlight.From, InFlight.ProcessGeneration, std::move(Failed));
      continue;
    }
    auto Answer =
        Target.Worker->handleOrder(InFlight.Order, Now, !InFlight.IsAnswered);
    if (!InFlight.IsAnswered) {
      continue;
    }
    if (InFlight.LosesAnswer) {
      sendReset(InFlight.From, InFlight.ProcessGeneration, InFlight.Order.Id);
      continue;
    }
    std::uint64_t &Connected =
        Target.ConnectedGeneration[{InFlight.From, InFlight.ProcessGeneration}];
    if (Answer) {
      Answer->IsNewConnection = Connected != Target.ProcessGeneration;
    }
    Connected = Target.ProcessGeneration;
    if (Answer) {
      sendAnswer(InFlight.From, InFlight.ProcessGeneration, std::move(*Answer));
    } else {
      Target.PendingRenewals[InFlight.Order.Id] = {InFlight.From,
                                                   InFlight.ProcessGeneration};
    }
  }
}

void CellSimulation::sendReset(NodeId To, std::uint64_t ProcessGeneration,
                               std::uint64_t Order) {
  OrderResult Unanswered;
  Unanswered.Id = Order;
  sendAnswer(To, ProcessGeneration, Unanswered);
}

void CellSimulation::sendAnswer(NodeId To, std::uint64_t ProcessGeneration,
                                OrderResult Answer) {
  Answers.push_back(
      {Now + randomDuration(1, 12), To, ProcessGeneration, std::move(Answer)});
}

void CellSimulation::deliverAnswers() {
  for (const auto &[Key, Until] : std::map{Deadlines}) {
    if (Now >= Until) {
      OrderResult Unanswered;
      Unanswered.Id = std::get<2>(Key);
      deliverAnswer(std::get<0>(Key), std::get<1>(Key), Unanswered);
    }
  }
  std::vector<AnswerInFlight> Due;
  std::erase_if(Answers, [&](AnswerInFlight &InFlight) {
    if (InFlight.DeliverAt > Now) {
      return false;
    }
    Due.push_back(std::move(InFlight));
    return true;
  });
  for (const AnswerInFlight &InFlight : Due) {
    deliverAnswer(InFlight.To, InFlight.ProcessGeneration, InFlight.Result);
  }
}

void CellSimulation::deliverAnswer(NodeId To, std::uint64_t ProcessGeneration,
                                   const OrderResult &Answer) {
  if (Deadlines.erase({To, ProcessGeneration, Answer.Id}) == 0) {
    return;
  }
  const auto It = VotersById.find(To);
  if (It != VotersById.end() && It->second.Node &&
      ProcessGenerations.at(To) == ProcessGeneration) {
    if (Now < It->second.PausedUntil) {
      Deadlines[{To, ProcessGeneration, Answer.Id}] = It->second.PausedUntil;
      return;
    }
    It->second.Node->onOrderDone(Answer, Now, wallNow());
  }
}

} // namespace mulberryramp::test
