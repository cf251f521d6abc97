#include "standin/worker_json.hpp"

#include "mulberryramp/core/names.hpp"

#include <nlohmann/json.hpp>

namespace mulberryramp::test {

namespace {

using nlohmann::json;

json toJson(const Resources &Amounts) {
  return {{"milli_cpus", Amounts.MilliCpus},
          {"memory_mb", Amounts.MemoryMb},
          {"accelerators", Amounts.Accelerators},
          {"slots", Amounts.Slots},
          {"connections", Amounts.Connections}};
}

Resources resourcesFrom(const json &Value) {
  return {Value.at("milli_cpus"), Value.at("memory_mb"),
          Value.at("accelerators"), Value.at("slots"), Value.at("connections")};
}

StartOrder startFrom(const json &Value) {
  StartOrder Order;
  Order.Attempt = Value.at("attempt");
  Order.Customer = Value.at("customer");
  Order.Key = Value.at("key");
  Order.Ordinal = Value.at("ordinal");
  Order.TaskCount = Value.at("tasks");
  Order.Kind = parseName<WorkKind>(Value.at("kind").get<std::string>())
                   .value_or(WorkKind::Batch);
  Order.IsIdempotent = Value.at("idempotent");
  Order.Need = resourcesFrom(Value.at("need"));
  Order.Payload = Value.at("payload");
  Order.Checkpoint = Value.at("checkpoint");
  return Order;
}

StopOrder stopFrom(const json &Value) {
  return {Value.at("attempt"),
          parseName<StopMode>(Value.at("mode").get<std::string>())
              .value_or(StopMode::Stop)};
}

} // namespace

std::string renderPoll(const WorkerPoll &Poll) {
  json Document{{"name", Poll.Name},
                {"incarnation", Poll.Incarnation},
                {"centre", Poll.Centre},
                {"rack", Poll.Rack},
                {"epoch", Poll.Epoch},
                {"ack", Poll.Ack},
                {"full", Poll.IsFullReport},
                {"leaving", Poll.IsDraining},
                {"capacity", toJson(Poll.Capacity)}};
  for (const AttemptReport &Report : Poll.Reports) {
    json Value{{"attempt", Report.Attempt}, {"phase", nameOf(Report.Phase)}};
    if (!Report.Reason.empty()) {
      Value["reason"] = Report.Reason;
    }
    if (Report.Part) {
      Value["part"] = {{"index", Report.Part->Index},
                       {"count", Report.Part->Count},
                       {"data", Report.Part->Data}};
    }
    if (Report.UsedMilliCpus != 0) {
      Value["used_milli_cpus"] = Report.UsedMilliCpus;
      Value["used_memory_mb"] = Report.UsedMemoryMb;
    }
    Document["reports"].push_back(std::move(Value));
  }
  return Document.dump();
}

std::optional<WorkerReply> parseReply(const std::string &Body) {
  try {
    const json Value = json::parse(Body);
    WorkerReply Reply;
    Reply.Verdict =
        parseName<PollVerdict>(Value.at("verdict").get<std::string>())
            .value_or(PollVerdict::Refused);
    Reply.Leader = Value.value("leader", "");
    Reply.Reason = Value.value("reason", "");
    Reply.Epoch = Value.value("epoch", std::uint64_t{0});
    Reply.Sequence = Value.value("sequence", std::uint64_t{0});
    Reply.NeedsFullReport = Value.value("wants_full", false);
    Reply.Lease = Millis{Value.value("lease_ms", std::int64_t{0})};
    for (const json &Start : Value.value("starts", json::array())) {
      Reply.Starts.push_back(startFrom(Start));
    }
    for (const json &Stop : Value.value("stops", json::array())) {
      Reply.Stops.push_back(stopFrom(Stop));
    }
    for (const json &Discard : Value.value("forgets", json::array())) {
      Reply.Discards.push_back(Discard);
    }
    return Reply;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace mulberryramp::test
