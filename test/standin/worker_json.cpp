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

Resources resourcesFrom(const json &Item) {
  return {Item.at("milli_cpus"), Item.at("memory_mb"), Item.at("accelerators"),
          Item.at("slots"), Item.at("connections")};
}

StartOrder startFrom(const json &Item) {
  StartOrder Order;
  Order.Attempt = Item.at("attempt");
  Order.Customer = Item.at("customer");
  Order.Key = Item.at("key");
  Order.Ordinal = Item.at("ordinal");
  Order.TaskCount = Item.at("tasks");
  Order.Kind = parseName<WorkKind>(Item.at("kind").get<std::string>())
                   .value_or(WorkKind::Batch);
  Order.IsIdempotent = Item.at("idempotent");
  Order.Need = resourcesFrom(Item.at("need"));
  Order.Payload = Item.at("payload");
  Order.Checkpoint = Item.at("checkpoint");
  return Order;
}

StopOrder stopFrom(const json &Item) {
  return {Item.at("attempt"),
          parseName<StopMode>(Item.at("mode").get<std::string>())
              .value_or(StopMode::Stop)};
}

} // namespace

std::string renderPoll(const WorkerPoll &Poll) {
  json Out{{"name", Poll.Name},
           {"incarnation", Poll.Incarnation},
           {"centre", Poll.Centre},
           {"rack", Poll.Rack},
           {"epoch", Poll.Epoch},
           {"ack", Poll.Ack},
           {"full", Poll.IsFullReport},
           {"leaving", Poll.IsDraining},
           {"capacity", toJson(Poll.Capacity)}};
  for (const AttemptReport &Report : Poll.Reports) {
    json Item{{"attempt", Report.Attempt}, {"phase", nameOf(Report.Phase)}};
    if (!Report.Reason.empty()) {
      Item["reason"] = Report.Reason;
    }
    if (Report.Part) {
      Item["part"] = {{"index", Report.Part->Index},
                      {"count", Report.Part->Count},
                      {"data", Report.Part->Data}};
    }
    if (Report.UsedMilliCpus != 0) {
      Item["used_milli_cpus"] = Report.UsedMilliCpus;
      Item["used_memory_mb"] = Report.UsedMemoryMb;
    }
    Out["reports"].push_back(std::move(Item));
  }
  return Out.dump();
}

std::optional<WorkerReply> parseReply(const std::string &Body) {
  try {
    const json Item = json::parse(Body);
    WorkerReply Reply;
    Reply.Verdict =
        parseName<PollVerdict>(Item.at("verdict").get<std::string>())
            .value_or(PollVerdict::Refused);
    Reply.Leader = Item.value("leader", "");
    Reply.Reason = Item.value("reason", "");
    Reply.Epoch = Item.value("epoch", std::uint64_t{0});
    Reply.Sequence = Item.value("sequence", std::uint64_t{0});
    Reply.NeedsFullReport = Item.value("wants_full", false);
    Reply.Lease = Millis{Item.value("lease_ms", std::int64_t{0})};
    for (const json &Start : Item.value("starts", json::array())) {
      Reply.Starts.push_back(startFrom(Start));
    }
    for (const json &Stop : Item.value("stops", json::array())) {
      Reply.Stops.push_back(stopFrom(Stop));
    }
    for (const json &Forget : Item.value("forgets", json::array())) {
      Reply.Discards.push_back(Forget);
    }
    return Reply;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace mulberryramp::test
