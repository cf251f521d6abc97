#include "cell/load_shapes.hpp"

#include <functional>

namespace mulberryramp::test {

namespace {

constexpr std::size_t AdmittedPercent = 40;
constexpr std::uint32_t MaxAttempts = 4;
constexpr std::size_t PayloadPadding = 200;

} // namespace

JobQueue loadQueue(const JobShape &Shape) {
  JobQueue Queue;
  Queue.Host = "host";
  Queue.Prefix = Shape.Prefix;
  Queue.Pool = "pool";
  Queue.Priority = Shape.Priority;
  Queue.MaxAttempts = MaxAttempts;
  Queue.SlackFactor = 2;
  Queue.LatencyTarget = Millis{1000};
  Queue.Advice =
      AdvisorOptions{Shape.DecisionMs, Shape.PerWorkerMs, Millis{2000}};
  return Queue;
}

std::string loadPayload(const JobShape &Shape) {
  return "work " + std::to_string(Shape.RunTimeMs) +
         std::string(PayloadPadding, 'x');
}

bool isAdmittedByAdvisor(const std::string &Step, const std::string &Worker) {
  return std::hash<std::string>{}(Step + Worker) % 100 < AdmittedPercent;
}

} // namespace mulberryramp::test
