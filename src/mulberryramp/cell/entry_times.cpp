#include "mulberryramp/cell/entry_times.hpp"

namespace mulberryramp {

namespace {

using WorkerTimes = std::map<WorkerInstanceId, EntryTime>;

void removeStale(WorkerTimes &Times, const CellState &State) {
  if (Times.size() > State.Workers.size()) {
    std::erase_if(Times, [&State](const auto &Row) {
      return !State.Workers.contains(Row.first);
    });
  }
}

} // namespace

void noteChange(EntryTimes &Times, const CellState &State,
                const CellChange &Change, EntryTime At) {
  if (Change.Worker.isSet()) {
    Times.Registrations[Change.Worker] = At;
  }
  for (const WorkerInstanceId Worker : Change.SuspendedLeases) {
    Times.LeaseSuspensions[Worker] = At;
  }
  for (const WorkerInstanceId Worker : Change.ResumedLeases) {
    Times.LeaseSuspensions.erase(Worker);
  }
  removeStale(Times.Registrations, State);
  removeStale(Times.LeaseSuspensions, State);
}

void noteRestore(EntryTimes &Times, const CellState &State, Instant Now) {
  Times = {};
  for (const WorkerInstanceId Id : State.Workers.ids()) {
    Times.Registrations[Id] = {Now, 0};
    if (State.Workers[Id].IsLeaseSuspended) {
      Times.LeaseSuspensions[Id] = {Now, 0};
    }
  }
}

} // namespace mulberryramp
