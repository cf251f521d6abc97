#include "cell/wire_standin.hpp"

#include "mulberryramp/core/names.hpp"

#include <sstream>
#include <vector>

namespace mulberryramp::test {

namespace {

using platform::Json;

std::optional<TaskName> readTask(const std::string &Text) {
  std::vector<std::string> Fields;
  std::istringstream Source{Text};
  for (std::string Field; std::getline(Source, Field, '.');) {
    Fields.push_back(std::move(Field));
  }
  if (Fields.size() != 4) {
    return std::nullopt;
  }
  const auto Number = [&Fields](std::size_t Index) {
    return static_cast<std::uint32_t>(std::stoul(Fields[Index]));
  };
  return TaskName{Fields[0], Number(1), Number(2), Number(3)};
}

} // namespace

std::string encodeTaskName(const TaskName &Task) {
  return Task.Job + "." + std::to_string(Task.Run) + "." +
         std::to_string(Task.Step) + "." + std::to_string(Task.Task);
}

std::optional<WorkerOrder> decodeOrder(const std::string &Path,
                                       const std::string &Body) {
  const Json Source = Json::parse(Body, nullptr, false);
  if (!Source.is_object()) {
    return std::nullopt;
  }
  WorkerOrder Order;
  Order.FencingToken = Source.value("fencing_token", std::uint64_t{0});
  Order.Expires = Source.value("expires_ms", std::int64_t{0});
  if (Path == "/api/hold") {
    Order.LastAckedEnd = Source.value("ack_cursor", std::uint64_t{0});
    Order.Wait = Millis{Source.value("wait_ms", std::int64_t{0})};
    return Order;
  }
  const auto Task = readTask(Source.value("task", std::string{}));
  if (!Task) {
    return std::nullopt;
  }
  Order.Task = *Task;
  Order.Attempt = Source.value("attempt", 0U);
  Order.Payload = Source.value("spec", std::string{});
  Order.Checkpoint = Source.value("checkpoint", std::string{});
  Order.Ticket = Source.value("ticket", std::string{});
  if (Path == "/api/run-start") {
    Order.Kind = WorkerOrderKind::Start;
  } else if (Path == "/api/run-stop") {
    Order.Kind = WorkerOrderKind::Stop;
  } else if (Path == "/api/pace") {
    Order.Kind = WorkerOrderKind::Pace;
  } else {
    return std::nullopt;
  }
  return Order;
}

std::string encodeAnswer(const OrderResult &Result, int &Status) {
  Json Body{{"clock_ms", Result.Clock.value_or(0)}};
  Status = Result.Verdict == OrderVerdict::Done ? 200 : 409;
  if (Status != 200) {
    Body["reason"] = nameOf(Result.Reason);
  }
  if (Result.StartTimeMs != 0) {
    Body["born"] = Result.StartTimeMs;
    Body["running"] = Json::array();
    for (const RunningTask &Running : Result.Running) {
      Body["running"].push_back({encodeTaskName(Running.Task), Running.Attempt,
                                 Running.Checkpoint, Running.Percent,
                                 Running.Gauge});
    }
    Body["finished"] = Json::array();
    for (const ReportedEnd &End : Result.Ends) {
      Body["finished"].push_back({End.Number, encodeTaskName(End.Task),
                                  End.Attempt, nameOf(End.Kind),
                                  End.Checkpoint});
    }
  }
  return Body.dump();
}

} // namespace mulberryramp::test
