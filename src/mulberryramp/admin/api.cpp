#include "mulberryramp/admin/api.hpp"

#include "mulberryramp/admin/json_reader.hpp"
#include "mulberryramp/core/json_shape.hpp"
#include "mulberryramp/core/names.hpp"

#include <charconv>
#include <limits>
#include <optional>

namespace mulberryramp {

namespace internal {

using nlohmann::json;

constexpr std::int64_t MaxResourceAmount = 1'000'000'000;
/// Applies to durations and to times since the epoch.
constexpr std::int64_t MaxTimeMs = 10'000'000'000'000;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int MethodNotAllowed = 405;

ApiError makeError(int Status, std::string Source, std::string Text) {
  ApiError Error;
  Error.Status = Status;
  Error.Report.add({std::move(Source), 0, 0, std::move(Text)});
  return Error;
}

template <typename Enum>
Enum readNamed(JsonReader &Reader, const char *Key, Enum Default) {
  const std::string Name = Reader.text(Key, false, MaxNameBytes);
  if (Name.empty()) {
    return Default;
  }
  const auto Value = parseName<Enum>(Name);
  if (!Value) {
    Reader.add(Key, "`" + Name + "` is none of its values");
  }
  return Value.value_or(Default);
}

Resources readResources(JsonReader &Reader, std::int64_t DefaultSlots) {
  Resources Amounts;
  Amounts.MilliCpus = Reader.number("milli_cpus", 0, 0, MaxResourceAmount);
  Amounts.MemoryMb = Reader.number("memory_mb", 0, 0, MaxResourceAmount);
  Amounts.Accelerators = Reader.number("accelerators", 0, 0, MaxResourceAmount);
  Amounts.Slots = Reader.number("slots", DefaultSlots, 0, MaxResourceAmount);
  Amounts.Connections = Reader.number("connections", 0, 0, MaxResourceAmount);
  return Amounts;
}

WallTime readTime(JsonReader &Reader, const char *Key) {
  return WallTime{Millis{Reader.number(Key, 0, 0, MaxTimeMs)}};
}

void checkSubmit(JsonReader &Reader, const RequestSpec &Spec,
                 WallTime WallNow) {
  constexpr Millis MaxIssuedAhead{60000};
  if (Spec.Need.MilliCpus == 0 && Spec.Need.MemoryMb == 0 &&
      Spec.Need.Accelerators == 0) {
    Reader.add("need", "asks for no processor, memory or accelerator");
  }
  if (!Spec.IsIdempotent && Spec.IssuedAt == WallTime{}) {
    Reader.add("issued_at_ms", "is needed for a request that is not "
                               "idempotent; keep it on a resend");
  }
  if (Spec.IssuedAt > WallNow + MaxIssuedAhead) {
    Reader.add("issued_at_ms", "lies in the future");
  }
  if (!Spec.IsIdempotent && Spec.Kind == WorkKind::Service) {
    Reader.add("idempotent", "a service starts again after a loss, so it has "
                             "to be idempotent");
  }
}

tl::expected<ApiAction, ApiError> readSubmit(const json &Body,
                                             WallTime WallNow) {
  ApiError Error;
  JsonReader Reader{Body, "", Error.Report};
  SubmitCall Call;
  Call.ReceivedAt = WallNow;
  RequestSpec &Spec = Call.Spec;
  Call.Home = Reader.text("home", false, MaxNameBytes);
  Spec.Customer = Reader.text("customer", true, MaxNameBytes);
  Spec.Team = Reader.text("team", true, MaxNameBytes);
  Spec.Key = Reader.text("key", true, MaxNameBytes);
  Spec.ClassName = Reader.text("class", false, MaxNameBytes);
  if (Spec.ClassName.empty()) {
    Spec.ClassName = "normal";
  }
  Spec.Kind = readNamed(Reader, "kind", WorkKind::Batch);
  Spec.TaskCount = static_cast<std::uint32_t>(
      Reader.number("tasks", 1, 1, MaxTasksPerRequest));
  Spec.IsIdempotent = Reader.flag("idempotent", true);
  Spec.IssuedAt = readTime(Reader, "issued_at_ms");
  Spec.StartBy = readTime(Reader, "start_by_ms");
  Spec.DeclaredRunTime = Millis{Reader.number("run_ms", 0, 0, MaxTimeMs)};
  Spec.MaxPerRack = static_cast<std::uint32_t>(
      Reader.number("max_per_rack", 0, 0, MaxTasksPerRequest));
  Spec.Payload = Reader.text("payload", false, MaxPayloadBytes);
  if (const json *Need = Reader.member("need")) {
    JsonReader Inner{*Need, Reader.pathOf("need"), Error.Report};
    Spec.Need = readResources(Inner, 1);
    Inner.rejectUnknownMembers();
  }
  checkSubmit(Reader, Spec, WallNow);
  Reader.rejectUnknownMembers();
  if (!Error.Report.empty()) {
    return tl::make_unexpected(Error);
  }
  return CallRequest{std::move(Call)};
}

AttemptReport readReport(const json &Value, const std::string &Path,
                         Findings &Report) {
  JsonReader Reader{Value, Path, Report};
  AttemptReport Parsed;
  Parsed.Attempt = Reader.unsignedNumber("attempt", true);
  Parsed.Phase = readNamed(Reader, "phase", AttemptPhase::Running);
  Parsed.Reason = Reader.text("reason", false, MaxAnswerBytes);
  Parsed.UsedMilliCpus =
      Reader.number("used_milli_cpus", 0, 0, MaxResourceAmount);
  Parsed.UsedMemoryMb =
      Reader.number("used_memory_mb", 0, 0, MaxResourceAmount);
  if (const json *Part = Reader.member("part")) {
    JsonReader Inner{*Part, Reader.pathOf("part"), Report};
    AnswerPart Decoded;
    Decoded.Index =
        static_cast<std::uint32_t>(Inner.number("index", 0, 0, MaxAnswerParts));
    Decoded.Count =
        static_cast<std::uint32_t>(Inner.number("count", 1, 1, MaxAnswerParts));
    Decoded.Data = Inner.text("data", false, MaxAnswerBytes);
    Inner.rejectUnknownMembers();
    Parsed.Part = std::move(Decoded);
  }
  Reader.rejectUnknownMembers();
  return Parsed;
}

tl::expected<ApiAction, ApiError> readPoll(const json &Body) {
  ApiError Error;
  JsonReader Reader{Body, "", Error.Report};
  WorkerPoll Poll;
  Poll.Name = Reader.text("name", true, MaxNameBytes);
  Poll.Incarnation = Reader.unsignedNumber("incarnation", true);
  Poll.Centre = Reader.text("centre", true, MaxNameBytes);
  Poll.Rack = Reader.text("rack", true, MaxNameBytes);
  Poll.Epoch = Reader.unsignedNumber("epoch", true);
  Poll.Ack = Reader.unsignedNumber("ack", true);
  Poll.IsFullReport = Reader.flag("full", false);
  Poll.IsDraining = Reader.flag("leaving", false);
  if (const json *Capacity = Reader.member("capacity")) {
    JsonReader Inner{*Capacity, Reader.pathOf("capacity"), Error.Report};
    Poll.Capacity = readResources(Inner, 0);
    Inner.rejectUnknownMembers();
  } else {
    Reader.add("capacity", "is missing");
  }
  const json *Reports = Reader.member("reports");
  if (Reports != nullptr &&
      (!Reports->is_array() || Reports->size() > MaxReportsPerPoll)) {
    Reader.add("reports", "expected an array of at most " +
                              std::to_string(MaxReportsPerPoll));
  } else if (Reports != nullptr) {
    for (std::size_t Index = 0; Index < Reports->size(); ++Index) {
      Poll.Reports.push_back(
          readReport((*Reports)[Index],
                     Reader.pathOf("reports") + "/" + std::to_string(Index),
                     Error.Report));
    }
  }
  Reader.rejectUnknownMembers();
  if (!Error.Report.empty()) {
    return tl::make_unexpected(Error);
  }
  return ApiAction{std::move(Poll)};
}

tl::expected<ApiAction, ApiError> readRulesChange(const json &Body) {
  ApiError Error;
  JsonReader Reader{Body, "", Error.Report};
  RulesApplyCall Call;
  Call.ChangeKey = Reader.text("change_key", true, MaxNameBytes);
  Call.Operator = Reader.text("operator", true, MaxNameBytes);
  Call.Base = Reader.unsignedNumber("base", true);
  Call.Text = Reader.text("text", false, MaxRulesBytes);
  Reader.rejectUnknownMembers();
  if (!Error.Report.empty()) {
    return tl::make_unexpected(Error);
  }
  return ApiAction{CallRequest{std::move(Call)}};
}

std::vector<std::string> splitPath(std::string_view Path) {
  std::vector<std::string> Segments;
  while (!Path.empty()) {
    Path.remove_prefix(Path.front() == '/' ? 1 : 0);
    const std::size_t End = std::min(Path.find('/'), Path.size());
    Segments.emplace_back(Path.substr(0, End));
    Path.remove_prefix(End);
  }
  return Segments;
}

std::string queryText(const HttpRequest &Request, const char *Key) {
  const auto It = Request.Query.find(Key);
  return It == Request.Query.end() ? "" : It->second;
}

std::optional<std::int64_t> queryNumber(const HttpRequest &Request,
                                        const char *Key, std::int64_t Default,
                                        std::int64_t MaxValue) {
  const std::string Text = queryText(Request, Key);
  if (Text.empty()) {
    return Default;
  }
  std::int64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  const bool IsValid = Error == std::errc{} &&
                       End == Text.data() + Text.size() && Value >= 0 &&
                       Value <= MaxValue;
  return IsValid ? std::optional{Value} : std::nullopt;
}

tl::expected<ApiAction, ApiError>
readStatus(const HttpRequest &Request,
           const std::vector<std::string> &Segments) {
  StatusCall Call;
  Call.Customer = Segments[2];
  Call.Key = Segments[3];
  Call.Home = queryText(Request, "home");
  const auto Wait = queryNumber(Request, "wait_ms", 0, MaxCallWait.count());
  if (!Wait) {
    return tl::make_unexpected(
        makeError(BadRequest, "wait_ms",
                  "expected a whole number from 0 to " +
                      std::to_string(MaxCallWait.count())));
  }
  Call.Wait = Millis{*Wait};
  return ApiAction{CallRequest{std::move(Call)}};
}

tl::expected<ApiAction, ApiError> readHistory(const HttpRequest &Request) {
  constexpr std::int64_t MaxHistoryRecords = 1000;
  const auto Limit = queryNumber(Request, "most", 20, MaxHistoryRecords);
  if (!Limit) {
    return tl::make_unexpected(makeError(
        BadRequest, "most", "expected a whole number from 0 to 1000"));
  }
  return ApiAction{
      CallRequest{RulesHistoryCall{static_cast<std::uint32_t>(*Limit)}}};
}

tl::expected<ApiAction, ApiError>
readGet(const HttpRequest &Request, const std::vector<std::string> &Segments) {
  const std::string &Path = Request.Path;
  if (Path == "/healthz") {
    return ApiAction{HealthQuery{}};
  }
  if (Path == "/readyz") {
    return ApiAction{ReadyQuery{}};
  }
  if (Path == "/metrics") {
    return ApiAction{MetricsQuery{}};
  }
  if (Path == "/v1/status") {
    return ApiAction{CallRequest{NodeStatusCall{}}};
  }
  if (Path == "/v1/rules") {
    return ApiAction{CallRequest{RulesShowCall{}}};
  }
  if (Path == "/v1/rules/history") {
    return readHistory(Request);
  }
  if (Path == "/v1/rules/status") {
    return ApiAction{CallRequest{RulesStatusCall{}}};
  }
  if (Path == "/v1/workers") {
    return ApiAction{CallRequest{WorkersCall{queryText(Request, "home")}}};
  }
  if (Segments.size() == 4 && Segments[0] == "v1" &&
      Segments[1] == "requests") {
    return readStatus(Request, Segments);
  }
  return tl::make_unexpected(makeError(NotFound, Path, "no such resource"));
}

tl::expected<ApiAction, ApiError>
readPost(const HttpRequest &Request, const std::vector<std::string> &Segments,
         WallTime WallNow) {
  const bool IsCancel = Segments.size() == 5 && Segments[0] == "v1" &&
                        Segments[1] == "requests" && Segments[4] == "cancel";
  if (IsCancel) {
    return ApiAction{CallRequest{
        CancelCall{queryText(Request, "home"), Segments[2], Segments[3]}}};
  }
  if (const JsonShape Shape = checkJsonShape(Request.Body);
      Shape != JsonShape::Accepted) {
    return tl::make_unexpected(makeError(BadRequest, "body", describe(Shape)));
  }
  const json Body = json::parse(Request.Body, nullptr, false);
  if (Body.is_discarded()) {
    return tl::make_unexpected(makeError(BadRequest, "body", "is not JSON"));
  }
  if (Request.Path == "/v1/requests") {
    return readSubmit(Body, WallNow);
  }
  if (Request.Path == "/v1/worker/poll") {
    return readPoll(Body);
  }
  if (Request.Path == "/v1/rules") {
    return readRulesChange(Body);
  }
  return tl::make_unexpected(
      makeError(NotFound, Request.Path, "no such resource"));
}

json toJson(const Resources &Amounts) {
  return {{"milli_cpus", Amounts.MilliCpus},
          {"memory_mb", Amounts.MemoryMb},
          {"accelerators", Amounts.Accelerators},
          {"slots", Amounts.Slots},
          {"connections", Amounts.Connections}};
}

json toJson(const TaskView &Task) {
  json Out{{"ordinal", Task.Ordinal},
           {"state", nameOf(Task.State)},
           {"attempts", Task.Attempts}};
  if (!Task.WorkerName.empty()) {
    Out["worker"] = Task.WorkerName;
  }
  if (Task.State == TaskState::Done) {
    Out["answer"] = Task.Answer;
  }
  if (!Task.Reason.empty()) {
    Out["reason"] = Task.Reason;
  }
  return Out;
}

json toJson(const RequestView &Request) {
  json Tasks = json::array();
  for (const TaskView &Task : Request.Tasks) {
    Tasks.push_back(toJson(Task));
  }
  return {{"customer", Request.Customer},
          {"key", Request.Key},
          {"home", Request.Home},
          {"class", Request.ClassName},
          {"kind", nameOf(Request.Kind)},
          {"outcome", nameOf(Request.Result)},
          {"reason", Request.Reason},
          {"cancelled", Request.IsCancelled},
          {"accepted_at_ms", Request.AcceptedAt.time_since_epoch().count()},
          {"tasks", std::move(Tasks)}};
}

json toJson(const ChangeRecord &Record) {
  return {{"change_key", Record.ChangeKey},
          {"operator", Record.Operator},
          {"base", Record.Base},
          {"revision", Record.Number},
          {"verdict", nameOf(Record.Verdict)},
          {"winner", Record.Winner},
          {"added", Record.Added},
          {"removed", Record.Removed},
          {"at_ms", Record.At.time_since_epoch().count()}};
}

json toJson(const WorkerInfo &Worker) {
  return {{"name", Worker.Name},
          {"rack", Worker.Rack},
          {"capacity", toJson(Worker.Capacity)},
          {"granted", toJson(Worker.AssignedResources)},
          {"tasks", Worker.TaskCount},
          {"leaving", Worker.IsDraining},
          {"drained", Worker.IsDrained},
          {"confirmed", Worker.IsConfirmed},
          {"quarantined", Worker.IsQuarantined}};
}

json toJson(const GroupInfo &Group) {
  json Voters = json::array();
  for (const Member &Voter : Group.Voters) {
    Voters.push_back(
        {{"node", Voter.Node}, {"incarnation", Voter.Incarnation}});
  }
  return {{"group", Group.Group},    {"role", Group.Role},
          {"leader", Group.Leader},  {"term", Group.CurrentTerm},
          {"last", Group.LastIndex}, {"commit", Group.CommitIndex},
          {"ready", Group.IsReady},  {"voters", std::move(Voters)}};
}

json toJson(const NodeRulesStatus &Status) {
  return {{"node", Status.Node},
          {"current", Status.IsCurrent},
          {"heard", Status.IsReachable}};
}

json toJson(const StartOrder &Order) {
  return {{"attempt", Order.Attempt},
          {"customer", Order.Customer},
          {"key", Order.Key},
          {"ordinal", Order.Ordinal},
          {"tasks", Order.TaskCount},
          {"kind", nameOf(Order.Kind)},
          {"idempotent", Order.IsIdempotent},
          {"need", toJson(Order.Need)},
          {"payload", Order.Payload},
          {"checkpoint", Order.Checkpoint}};
}

json toJson(const StopOrder &Order) {
  return {{"attempt", Order.Attempt}, {"mode", nameOf(Order.Mode)}};
}

template <typename Container> json toJsonArray(const Container &Elements) {
  json List = json::array();
  for (const auto &Element : Elements) {
    List.push_back(toJson(Element));
  }
  return List;
}

/// Outcome that a caller may rely on. It is `unknown` unless the result holds
/// the record of the request, so that `not run` is never reported without one.
std::string_view outcomeOf(const CallResult &Result) {
  if (Result.RequestInfo) {
    return nameOf(Result.RequestInfo->Result);
  }
  return nameOf(Outcome::Unknown);
}

/// Replaces invalid UTF-8, for which `json::dump` throws by default.
std::string dump(const json &Value) {
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace internal

tl::expected<ApiAction, ApiError> parseApiRequest(const HttpRequest &Request,
                                                  WallTime WallNow) {
  const std::vector<std::string> Segments = internal::splitPath(Request.Path);
  if (Request.Method == "GET") {
    return internal::readGet(Request, Segments);
  }
  if (Request.Method == "POST") {
    return internal::readPost(Request, Segments, WallNow);
  }
  return tl::make_unexpected(internal::makeError(
      internal::MethodNotAllowed, Request.Method, "expected GET or POST"));
}

int httpStatusOf(const CallResult &Result) {
  switch (Result.Status) {
  case CallStatus::Done:
    return 200;
  case CallStatus::Refused:
    return 422;
  case CallStatus::Invalid:
    return 400;
  case CallStatus::Conflict:
    return 409;
  case CallStatus::NotFound:
    return 404;
  case CallStatus::Unavailable:
    return 503;
  case CallStatus::Unknown:
    return 504;
  }
  return 500;
}

std::string renderResult(const CallResult &Result) {
  internal::json Out{{"status", nameOf(Result.Status)}};
  if (!Result.Reason.empty()) {
    Out["reason"] = Result.Reason;
  }
  if (Result.Status != CallStatus::Done || Result.RequestInfo) {
    Out["outcome"] = internal::outcomeOf(Result);
  }
  if (Result.RequestInfo) {
    Out["request"] = internal::toJson(*Result.RequestInfo);
  }
  if (Result.Change) {
    Out["change"] = internal::toJson(*Result.Change);
  }
  if (!Result.History.empty()) {
    Out["history"] = internal::toJsonArray(Result.History);
  }
  if (Result.Rules) {
    Out["rules"] = {{"revision", Result.Rules->Number},
                    {"text", Result.Rules->Text},
                    {"current", Result.Rules->IsCurrent}};
  }
  if (!Result.RulesStatus.empty()) {
    Out["in_force"] = internal::toJsonArray(Result.RulesStatus);
  }
  if (!Result.Workers.empty()) {
    Out["workers"] = internal::toJsonArray(Result.Workers);
  }
  if (!Result.Groups.empty()) {
    Out["groups"] = internal::toJsonArray(Result.Groups);
  }
  return internal::dump(Out);
}

std::string renderFindings(const Findings &Report) {
  internal::json List = internal::json::array();
  for (const Finding &Entry : Report.items()) {
    List.push_back({{"place", Entry.Source},
                    {"line", Entry.Line},
                    {"column", Entry.Column},
                    {"text", Entry.Text}});
  }
  return internal::dump({{"status", nameOf(CallStatus::Invalid)},
                         {"reason", Report.render()},
                         {"findings", std::move(List)}});
}

std::string renderReply(const WorkerReply &Reply) {
  internal::json Out{{"verdict", nameOf(Reply.Verdict)}};
  if (!Reply.Leader.empty()) {
    Out["leader"] = Reply.Leader;
  }
  if (!Reply.Reason.empty()) {
    Out["reason"] = Reply.Reason;
  }
  if (Reply.Verdict == PollVerdict::Accepted) {
    Out["epoch"] = Reply.Epoch;
    Out["sequence"] = Reply.Sequence;
    Out["lease_ms"] = Reply.Lease.count();
    Out["wants_full"] = Reply.NeedsFullReport;
  }
  if (!Reply.Starts.empty()) {
    Out["starts"] = internal::toJsonArray(Reply.Starts);
  }
  if (!Reply.Stops.empty()) {
    Out["stops"] = internal::toJsonArray(Reply.Stops);
  }
  if (!Reply.Discards.empty()) {
    Out["forgets"] = Reply.Discards;
  }
  return internal::dump(Out);
}

} // namespace mulberryramp
