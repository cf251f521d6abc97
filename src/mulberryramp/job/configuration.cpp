#include "mulberryramp/job/configuration.hpp"

namespace mulberryramp {

const JobQueue *matchQueue(const CellConfiguration &Configuration,
                           std::string_view Host, std::string_view Path) {
  const JobQueue *Best = nullptr;
  for (const JobQueue &Queue : Configuration.Queues) {
    const bool Matches = Queue.Host == Host && Path.starts_with(Queue.Prefix);
    if (Matches && (!Best || Queue.Prefix.size() > Best->Prefix.size())) {
      Best = &Queue;
    }
  }
  return Best;
}

const JobQueue *findQueueById(const CellConfiguration &Configuration,
                              std::string_view Host, std::string_view Prefix) {
  for (const JobQueue &Queue : Configuration.Queues) {
    if (Queue.Host == Host && Queue.Prefix == Prefix) {
      return &Queue;
    }
  }
  return nullptr;
}

const Organisation *findOrganisation(const CellConfiguration &Configuration,
                                     std::string_view Name) {
  for (const Organisation &Row : Configuration.Organisations) {
    if (Row.Name == Name) {
      return &Row;
    }
  }
  return nullptr;
}

} // namespace mulberryramp
