#include "cli/commands.hpp"

#include "cli/daemon_client.hpp"
#include "mulberryramp/config/rules.hpp"
#include "mulberryramp/core/time.hpp"
#include "mulberryramp/node/call.hpp"

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <map>
#include <random>
#include <sstream>

namespace mulberryramp {

namespace internal {

using nlohmann::json;

constexpr Millis DefaultTimeout{10000};
/// Longest wait of one status query; a longer --wait polls again.
constexpr Millis WaitPollTimeout{5000};
constexpr const char *DaemonsVariable = "MULBERRYRAMP_DAEMONS";

constexpr const char *Help =
    R"(mulberryramp: command line tool of the cluster scheduler

  mulberryramp submit   --customer C --team T [--key K] [--kind batch|service|gang]
                        [--class NAME] [--tasks N] [--milli-cpus N] [--memory-mb N]
                        [--accelerators N] [--connections N] [--payload TEXT]
                        [--once --issued-at MS] [--start-by MS] [--run-ms MS]
                        [--max-per-rack N] [--home CENTRE] [--wait]
  mulberryramp status   --customer C --key K [--home CENTRE] [--wait]
  mulberryramp answer   --customer C --key K [--home CENTRE]
  mulberryramp cancel   --customer C --key K [--home CENTRE]
  mulberryramp workers  [--home CENTRE]
  mulberryramp groups
  mulberryramp rules check   FILE
  mulberryramp rules apply   FILE --operator NAME --base REVISION [--change-key K]
  mulberryramp rules show
  mulberryramp rules history [--most N]
  mulberryramp rules status

Each command takes --daemons HOST:PORT[,HOST:PORT...] (or the variable
MULBERRYRAMP_DAEMONS), --json and --timeout-ms N.

--once marks a request as non-idempotent: it runs at most once. A resend under
the same --key must repeat --issued-at, the time of the first submission in ms
since the epoch.

Exit status: 0 done, 1 no daemon answered, 2 invalid input, 3 failed, 4 not run,
5 unknown (retry under the same key), 6 conflict, 7 still pending,
8 not found, 9 unavailable, the call was not forwarded (retry).
)";

std::vector<std::string> splitComma(const std::string &Text) {
  std::vector<std::string> Segments;
  std::istringstream Source{Text};
  for (std::string Segment; std::getline(Source, Segment, ',');) {
    Segments.push_back(Segment);
  }
  return Segments;
}

std::string randomKey() {
  std::random_device Source;
  std::ostringstream Key;
  Key << std::hex << Source() << Source() << Source() << Source();
  return Key.str();
}

cxxopts::Options commonOptions() {
  cxxopts::Options Options{"mulberryramp"};
  Options.add_options()("daemons", "", cxxopts::value<std::string>())(
      "json", "")("timeout-ms", "",
                  cxxopts::value<std::int64_t>()->default_value(
                      std::to_string(DefaultTimeout.count())))(
      "words", "", cxxopts::value<std::vector<std::string>>());
  Options.parse_positional({"words"});
  return Options;
}

cxxopts::ParseResult parse(cxxopts::Options &Options,
                           const std::vector<std::string> &Argv) {
  std::vector<const char *> Arguments{"mulberryramp"};
  for (const std::string &Arg : Argv) {
    Arguments.push_back(Arg.c_str());
  }
  return Options.parse(static_cast<int>(Arguments.size()), Arguments.data());
}

std::vector<std::string> daemonsOf(const cxxopts::ParseResult &Args) {
  const char *Variable = std::getenv(DaemonsVariable);
  std::string Text = Variable == nullptr ? "" : Variable;
  if (Args.count("daemons") != 0) {
    Text = Args["daemons"].as<std::string>();
  }
  auto Daemons = splitComma(Text);
  if (Daemons.empty()) {
    throw std::invalid_argument(
        "no daemon is specified; use --daemons HOST:PORT or " +
        std::string{DaemonsVariable});
  }
  return Daemons;
}

/// Client of the daemons and output format, as the common options set them.
class CommandContext {
public:
  explicit CommandContext(const cxxopts::ParseResult &Args)
      : Daemons{daemonsOf(Args), Millis{Args["timeout-ms"].as<std::int64_t>()}},
        Format{Args.count("json") != 0 ? OutputFormat::Json
                                       : OutputFormat::Table} {}

  ExitStatus finish(const std::optional<DaemonResponse> &Answer,
                    bool NeedsOutcome) {
    if (!Answer) {
      std::cerr << "mulberryramp: no daemon answered: " << Daemons.lastError()
                << '\n';
      return ExitStatus::Error;
    }
    printResult(Answer->Body, Format);
    return exitStatusOf(Answer->HttpStatus, Answer->Body, NeedsOutcome);
  }

  DaemonClient Daemons;
  OutputFormat Format;
};

std::string requestPath(DaemonClient &Daemons, const std::string &Customer,
                        const std::string &Key, const std::string &Suffix,
                        const std::string &Query) {
  return "/v1/requests/" + Daemons.escape(Customer) + "/" +
         Daemons.escape(Key) + Suffix + (Query.empty() ? "" : "?" + Query);
}

std::string homeQuery(DaemonClient &Daemons, const std::string &Home) {
  return Home.empty() ? "" : "home=" + Daemons.escape(Home);
}

std::string progressOf(const json &Body) {
  std::map<std::string, int> Counts;
  for (const json &Task : Body["request"]["tasks"]) {
    Counts[Task["state"].get<std::string>()] += 1;
  }
  std::string Progress;
  for (const auto &[State, Count] : Counts) {
    Progress +=
        (Progress.empty() ? "" : ", ") + std::to_string(Count) + " " + State;
  }
  return Progress;
}

bool isWaitOver(const DaemonResponse &Answer) {
  if (Answer.HttpStatus != 200 ||
      Answer.Body.value("outcome", "") != "pending") {
    return Answer.HttpStatus != 503 && Answer.HttpStatus != 504;
  }
  const json &Request = Answer.Body["request"];
  const bool IsService = Request["kind"] == "service";
  return IsService && std::all_of(Request["tasks"].begin(),
                                  Request["tasks"].end(), [](const json &Task) {
                                    return Task["state"] == "assigned";
                                  });
}

/// Polls until the outcome is known, all tasks of a service are assigned, a
/// call fails with an error that a retry does not mend, or the timeout has
/// passed. Prints progress whenever it changes.
std::optional<DaemonResponse> waitFor(CommandContext &Context,
                                      const std::string &Customer,
                                      const std::string &Key,
                                      const std::string &Home, Millis Timeout) {
  const Instant Deadline = SuspendAwareClock::now() + Timeout;
  std::string LastProgress;
  std::optional<DaemonResponse> Answer;
  while (true) {
    const Millis Remaining =
        std::max(Deadline - SuspendAwareClock::now(), Millis{0});
    std::string Query =
        "wait_ms=" +
        std::to_string(std::min(Remaining, WaitPollTimeout).count());
    const std::string HomeParameter = homeQuery(Context.Daemons, Home);
    Query += HomeParameter.empty() ? "" : "&" + HomeParameter;
    Answer = Context.Daemons.get(
        requestPath(Context.Daemons, Customer, Key, "", Query));
    if ((Answer && isWaitOver(*Answer)) || Remaining == Millis{0}) {
      return Answer;
    }
    if (Answer && Answer->Body.contains("request")) {
      const std::string Progress = progressOf(Answer->Body);
      if (Progress != LastProgress) {
        std::cerr << Key << ": " << Progress << '\n';
        LastProgress = Progress;
      }
    }
  }
}

void addRequestOptions(cxxopts::Options &Options) {
  Options.add_options()("customer", "", cxxopts::value<std::string>())(
      "key", "", cxxopts::value<std::string>())(
      "home", "", cxxopts::value<std::string>()->default_value(""))("wait", "");
}

ExitStatus runSubmit(const std::vector<std::string> &Argv) {
  cxxopts::Options Options = commonOptions();
  addRequestOptions(Options);
  using Number = std::int64_t;
  Options.add_options()("team", "", cxxopts::value<std::string>())(
      "kind", "", cxxopts::value<std::string>()->default_value("batch"))(
      "class", "", cxxopts::value<std::string>()->default_value("normal"))(
      "tasks", "", cxxopts::value<Number>()->default_value("1"))(
      "milli-cpus", "", cxxopts::value<Number>()->default_value("1000"))(
      "memory-mb", "", cxxopts::value<Number>()->default_value("256"))(
      "accelerators", "", cxxopts::value<Number>()->default_value("0"))(
      "connections", "", cxxopts::value<Number>()->default_value("0"))(
      "payload", "", cxxopts::value<std::string>()->default_value(""))(
      "once", "")("issued-at", "", cxxopts::value<Number>())(
      "start-by", "", cxxopts::value<Number>()->default_value("0"))(
      "run-ms", "", cxxopts::value<Number>()->default_value("0"))(
      "max-per-rack", "", cxxopts::value<Number>()->default_value("0"));
  const auto Args = parse(Options, Argv);
  const bool IsOnce = Args.count("once") != 0;
  const bool HasKey = Args.count("key") != 0;
  if (IsOnce && HasKey && Args.count("issued-at") == 0) {
    throw std::invalid_argument("--once with --key needs --issued-at");
  }
  const std::string Key = HasKey ? Args["key"].as<std::string>() : randomKey();
  const Number IssuedAt = Args.count("issued-at") != 0
                              ? Args["issued-at"].as<Number>()
                              : wallNow().time_since_epoch().count();
  const std::string Customer = Args["customer"].as<std::string>();
  const std::string Home = Args["home"].as<std::string>();
  json Body{{"customer", Customer},
            {"team", Args["team"].as<std::string>()},
            {"key", Key},
            {"kind", Args["kind"].as<std::string>()},
            {"class", Args["class"].as<std::string>()},
            {"tasks", Args["tasks"].as<Number>()},
            {"idempotent", !IsOnce},
            {"issued_at_ms", IssuedAt},
            {"start_by_ms", Args["start-by"].as<Number>()},
            {"run_ms", Args["run-ms"].as<Number>()},
            {"max_per_rack", Args["max-per-rack"].as<Number>()},
            {"payload", Args["payload"].as<std::string>()},
            {"need",
             {{"milli_cpus", Args["milli-cpus"].as<Number>()},
              {"memory_mb", Args["memory-mb"].as<Number>()},
              {"accelerators", Args["accelerators"].as<Number>()},
              {"connections", Args["connections"].as<Number>()}}}};
  if (!Home.empty()) {
    Body["home"] = Home;
  }
  CommandContext Context{Args};
  const auto Answer = Context.Daemons.post("/v1/requests", Body);
  if (!Answer || Answer->HttpStatus != 200) {
    std::cerr << "key " << Key << ", issued at " << IssuedAt << '\n';
    return Context.finish(Answer, false);
  }
  if (Args.count("wait") == 0) {
    return Context.finish(Answer, false);
  }
  return Context.finish(waitFor(Context, Customer, Key, Home,
                                Millis{Args["timeout-ms"].as<Number>()}),
                        Body["kind"] != "service");
}

ExitStatus runStatus(const std::vector<std::string> &Argv) {
  cxxopts::Options Options = commonOptions();
  addRequestOptions(Options);
  const auto Args = parse(Options, Argv);
  CommandContext Context{Args};
  const std::string Customer = Args["customer"].as<std::string>();
  const std::string Key = Args["key"].as<std::string>();
  const std::string Home = Args["home"].as<std::string>();
  if (Args.count("wait") != 0) {
    return Context.finish(
        waitFor(Context, Customer, Key, Home,
                Millis{Args["timeout-ms"].as<std::int64_t>()}),
        true);
  }
  return Context.finish(
      Context.Daemons.get(requestPath(Context.Daemons, Customer, Key, "",
                                      homeQuery(Context.Daemons, Home))),
      false);
}

ExitStatus runAnswer(const std::vector<std::string> &Argv) {
  cxxopts::Options Options = commonOptions();
  addRequestOptions(Options);
  const auto Args = parse(Options, Argv);
  CommandContext Context{Args};
  const auto Answer = Context.Daemons.get(
      requestPath(Context.Daemons, Args["customer"].as<std::string>(),
                  Args["key"].as<std::string>(), "",
                  homeQuery(Context.Daemons, Args["home"].as<std::string>())));
  if (!Answer || !Answer->Body.contains("request") ||
      Context.Format == OutputFormat::Json) {
    return Context.finish(Answer, true);
  }
  for (const json &Task : Answer->Body["request"]["tasks"]) {
    if (Task.contains("answer")) {
      std::cout << Task["answer"].get<std::string>() << '\n';
    }
  }
  return exitStatusOf(Answer->HttpStatus, Answer->Body, true);
}

ExitStatus runCancel(const std::vector<std::string> &Argv) {
  cxxopts::Options Options = commonOptions();
  addRequestOptions(Options);
  const auto Args = parse(Options, Argv);
  CommandContext Context{Args};
  const auto Answer = Context.Daemons.post(
      requestPath(Context.Daemons, Args["customer"].as<std::string>(),
                  Args["key"].as<std::string>(), "/cancel",
                  homeQuery(Context.Daemons, Args["home"].as<std::string>())),
      json::object());
  return Context.finish(Answer, false);
}

ExitStatus runGet(const std::vector<std::string> &Argv,
                  const std::string &Path) {
  cxxopts::Options Options = commonOptions();
  Options.add_options()("home", "",
                        cxxopts::value<std::string>()->default_value(""))(
      "most", "", cxxopts::value<std::int64_t>()->default_value("20"));
  const auto Args = parse(Options, Argv);
  CommandContext Context{Args};
  std::string Query;
  if (Path == "/v1/workers") {
    Query = homeQuery(Context.Daemons, Args["home"].as<std::string>());
  } else if (Path == "/v1/rules/history") {
    Query = "most=" + std::to_string(Args["most"].as<std::int64_t>());
  }
  return Context.finish(
      Context.Daemons.get(Path + (Query.empty() ? "" : "?" + Query)), false);
}

std::string readRulesFile(const std::string &Name) {
  std::ifstream Source{Name};
  if (!Source) {
    throw std::invalid_argument(Name + ": cannot be read");
  }
  return {std::istreambuf_iterator<char>{Source}, {}};
}

ExitStatus runRulesFile(const std::vector<std::string> &Argv, bool IsApply) {
  cxxopts::Options Options = commonOptions();
  Options.add_options()("operator", "", cxxopts::value<std::string>())(
      "base", "", cxxopts::value<Revision>())("change-key", "",
                                              cxxopts::value<std::string>());
  const auto Args = parse(Options, Argv);
  if (Args.count("words") != 1) {
    throw std::invalid_argument("expected one rules file");
  }
  const auto Name = Args["words"].as<std::vector<std::string>>().front();
  const std::string Text = readRulesFile(Name);
  const auto Parsed = parseRules(Name, Text);
  if (!Parsed) {
    std::cerr << Parsed.error().render();
    return ExitStatus::Usage;
  }
  if (!IsApply) {
    std::cout << Name << ": rules are valid\n";
    return ExitStatus::Done;
  }
  const std::string ChangeKey = Args.count("change-key") != 0
                                    ? Args["change-key"].as<std::string>()
                                    : randomKey();
  CommandContext Context{Args};
  const auto Answer = Context.Daemons.post(
      "/v1/rules", {{"change_key", ChangeKey},
                    {"operator", Args["operator"].as<std::string>()},
                    {"base", Args["base"].as<Revision>()},
                    {"text", Text}});
  if (!Answer || Answer->HttpStatus >= 500) {
    std::cerr << "change key " << ChangeKey << '\n';
  }
  return Context.finish(Answer, false);
}

ExitStatus runRules(std::vector<std::string> Argv) {
  if (Argv.empty()) {
    throw std::invalid_argument(
        "rules needs check, apply, show, history or status");
  }
  const std::string Subcommand = Argv.front();
  Argv.erase(Argv.begin());
  if (Subcommand == "check" || Subcommand == "apply") {
    return runRulesFile(Argv, Subcommand == "apply");
  }
  if (Subcommand == "show") {
    return runGet(Argv, "/v1/rules");
  }
  if (Subcommand == "history" || Subcommand == "status") {
    return runGet(Argv, "/v1/rules/" + Subcommand);
  }
  throw std::invalid_argument("unknown command `rules " + Subcommand + "`");
}

} // namespace internal

ExitStatus runCli(const std::vector<std::string> &Argv) {
  using internal::runGet;
  const bool IsHelp =
      Argv.empty() ||
      std::any_of(Argv.begin(), Argv.end(), [](const std::string &Arg) {
        return Arg == "--help" || Arg == "-h" || Arg == "help";
      });
  if (IsHelp) {
    std::cout << internal::Help;
    return Argv.empty() ? ExitStatus::Usage : ExitStatus::Done;
  }
  const std::vector<std::string> Rest{Argv.begin() + 1, Argv.end()};
  const std::map<std::string, std::function<ExitStatus()>> Commands{
      {"submit", [&] { return internal::runSubmit(Rest); }},
      {"status", [&] { return internal::runStatus(Rest); }},
      {"answer", [&] { return internal::runAnswer(Rest); }},
      {"cancel", [&] { return internal::runCancel(Rest); }},
      {"workers", [&] { return runGet(Rest, "/v1/workers"); }},
      {"groups", [&] { return runGet(Rest, "/v1/status"); }},
      {"rules", [&] { return internal::runRules(Rest); }}};
  const auto It = Commands.find(Argv.front());
  if (It == Commands.end()) {
    throw std::invalid_argument("unknown command `" + Argv.front() +
                                "`; see --help");
  }
  return It->second();
}

} // namespace mulberryramp
