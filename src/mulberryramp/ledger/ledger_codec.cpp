#include "mulberryramp/ledger/ledger.hpp"
#include "mulberryramp/wire/codec.hpp"

#include <xxhash.h>

namespace mulberryramp {

namespace internal {

void rebuildIndexes(Ledger &State) {
  for (const WorkerId Id : State.Workers.ids()) {
    State.ByWorkerName[State.Workers[Id].Name] = Id;
  }
  for (const RequestId Id : State.Requests.ids()) {
    const Request &Row = State.Requests[Id];
    State.ByIdentity[{Row.Spec.Customer, Row.Spec.Key}] = Id;
    if (Row.Result != Outcome::Pending) {
      State.ByFinishedAt.insert({Row.FinishedAt, Id});
    }
  }
  for (const TaskId Id : State.Tasks.ids()) {
    const Task &Row = State.Tasks[Id];
    const RequestSpec &Spec = State.Requests[Row.Owner].Spec;
    if (Row.State == TaskState::Assigned) {
      State.ByAttempt[Row.Attempt] = Id;
      State.AssignedByTeam[Spec.Team] += Spec.Need;
    } else if (Row.State == TaskState::Queued) {
      State.QueuedRequests.insert(Row.Owner);
    } else if (Row.State == TaskState::Unknown) {
      State.ByAttempt[Row.Attempt] = Id;
    }
  }
}

} // namespace internal

std::string encodeCommand(const LedgerCommand &Command) {
  return encode(Command);
}

std::optional<LedgerCommand> decodeCommand(std::string_view Data) {
  auto Command = decodeStored<LedgerCommand>(Data);
  if (!Command) {
    return std::nullopt;
  }
  return std::move(*Command);
}

std::string encodeLedger(const Ledger &State) { return encode(State); }

std::optional<Ledger> decodeLedger(std::string_view Data) {
  if (Data.empty()) {
    return Ledger{};
  }
  auto State = decodeStored<Ledger>(Data);
  if (!State) {
    return std::nullopt;
  }
  internal::rebuildIndexes(*State);
  return std::move(*State);
}

std::uint64_t digestOf(const RequestSpec &Spec) {
  RequestSpec Hashed = Spec;
  Hashed.Priority = 0;
  Hashed.MaxAttempts = 0;
  Hashed.RetryBackoff = Millis{0};
  Hashed.MaxPerRack = 0;
  Hashed.StartBy = WallTime{};
  Hashed.IssuedAt = WallTime{};
  const std::string Bytes = encode(Hashed);
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

} // namespace mulberryramp
