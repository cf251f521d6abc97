#include "cli/commands.hpp"

#include "cli/session.hpp"
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
constexpr Millis WaitPollTimeout{5000};
constexpr const char *DaemonsVariable = "MULBERRYRAMP_DAEMONS";

constexpr const char *Help = R"(mulberryramp: tool of the cluster scheduler

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
the same --key has to repeat --issued-at, the time of the first sending in ms.

Exit status: 0 done, 1 no daemon answered, 2 wrong input, 3 failed, 4 not run,
5 unknown (ask again under the same key), 6 conflict, 7 still pending,
8 not found, 9 not passed on (ask again).
)";

std::vector<std::string> splitComma(const std::string &Text) {
  std::vector<std::string> Items;
  std::istringstream Source{Text};
  for (std::string Item; std::getline(Source, Item, ',');) {
    Items.push_back(Item);
  }
  return Items;
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
                           const std::vector<std::string> &Words) {
  std::vector<const char *> Arguments{"mulberryramp"};
  for (const std::string &Word : Words) {
    Arguments.push_back(Word.c_str());
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
        "no daemon is named; use --daemons HOST:PORT or " +
        std::string{DaemonsVariable});
  }
  return Daemons;
}

/// What every command needs: the daemons and the form of output.
class Command {
public:
  explicit Command(const cxxopts::ParseResult &Args)
      : Talk{daemonsOf(Args), Millis{Args["timeout-ms"].as<std::int64_t>()}},
        Form{Args.count("json") != 0 ? OutputFormat::Json
                                     : OutputFormat::Table} {}

  ExitStatus finish(const std::optional<DaemonResponse> &Answer,
                    bool NeedsOutcome) {
    if (!Answer) {
      std::cerr << "mulberryramp: no daemon answered: " << Talk.lastError()
                << '\n';
      return ExitStatus::Error;
    }
    printResult(Answer->Body, Form);
    return exitStatusOf(Answer->HttpStatus, Answer->Body, NeedsOutcome);
  }

  Session Talk;
  OutputFormat Form;
};

std::string requestPath(Session &Talk, const std::string &Customer,
                        const std::string &Key, const std::string &Suffix,
                        const std::string &Query) {
  return "/v1/requests/" + Talk.escape(Customer) + "/" + Talk.escape(Key) +
         Suffix + (Query.empty() ? "" : "?" + Query);
}

std::string homeQuery(Session &Talk, const std::string &Home) {
  return Home.empty() ? "" : "home=" + Talk.escape(Home);
}

std::string progressOf(const json &Body) {
  std::map<std::string, int> Counts;
  for (const json &Task : Body["request"]["tasks"]) {
    Counts[Task["state"].get<std::string>()] += 1;
  }
  std::string Line;
  for (const auto &[State, Count] : Counts) {
    Line += (Line.empty() ? "" : ", ") + std::to_string(Count) + " " + State;
  }
  return Line;
}

bool isTerminal(const DaemonResponse &Answer) {
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

/// Asks until the outcome is there or the time is over; prints progress when
/// it changes.
std::optional<DaemonResponse> waitFor(Command &Run, const std::string &Customer,
                                      const std::string &Key,
                                      const std::string &Home, Millis Timeout) {
  const Instant Until = SuspendAwareClock::now() + Timeout;
  std::string Shown;
  std::optional<DaemonResponse> Answer;
  while (true) {
    const Millis Left = std::max(Until - SuspendAwareClock::now(), Millis{0});
    std::string Query =
        "wait_ms=" + std::to_string(std::min(Left, WaitPollTimeout).count());
    const std::string Named = homeQuery(Run.Talk, Home);
    Query += Named.empty() ? "" : "&" + Named;
    Answer = Run.Talk.get(requestPath(Run.Talk, Customer, Key, "", Query));
    if ((Answer && isTerminal(*Answer)) || Left == Millis{0}) {
      return Answer;
    }
    if (Answer && Answer->Body.contains("request")) {
      const std::string Line = progressOf(Answer->Body);
      if (Line != Shown) {
        std::cerr << Key << ": " << Line << '\n';
        Shown = Line;
      }
    }
  }
}

void addIdentity(cxxopts::Options &Options) {
  Options.add_options()("customer", "", cxxopts::value<std::string>())(
      "key", "", cxxopts::value<std::string>())(
      "home", "", cxxopts::value<std::string>()->default_value(""))("wait", "");
}

ExitStatus runSubmit(const std::vector<std::string> &Words) {
  cxxopts::Options Options = commonOptions();
  addIdentity(Options);
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
  const auto Args = parse(Options, Words);
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
  Command Run{Args};
  const auto Answer = Run.Talk.post("/v1/requests", Body);
  if (!Answer || Answer->HttpStatus != 200) {
    std::cerr << "key " << Key << ", issued at " << IssuedAt << '\n';
    return Run.finish(Answer, false);
  }
  if (Args.count("wait") == 0) {
    return Run.finish(Answer, false);
  }
  return Run.finish(waitFor(Run, Customer, Key, Home,
                            Millis{Args["timeout-ms"].as<Number>()}),
                    Body["kind"] != "service");
}

ExitStatus runStatus(const std::vector<std::string> &Words) {
  cxxopts::Options Options = commonOptions();
  addIdentity(Options);
  const auto Args = parse(Options, Words);
  Command Run{Args};
  const std::string Customer = Args["customer"].as<std::string>();
  const std::string Key = Args["key"].as<std::string>();
  const std::string Home = Args["home"].as<std::string>();
  if (Args.count("wait") != 0) {
    return Run.finish(waitFor(Run, Customer, Key, Home,
                              Millis{Args["timeout-ms"].as<std::int64_t>()}),
                      true);
  }
  return Run.finish(Run.Talk.get(requestPath(Run.Talk, Customer, Key, "",
                                             homeQuery(Run.Talk, Home))),
                    false);
}

ExitStatus runAnswer(const std::vector<std::string> &Words) {
  cxxopts::Options Options = commonOptions();
  addIdentity(Options);
  const auto Args = parse(Options, Words);
  Command Run{Args};
  const auto Answer = Run.Talk.get(
      requestPath(Run.Talk, Args["customer"].as<std::string>(),
                  Args["key"].as<std::string>(), "",
                  homeQuery(Run.Talk, Args["home"].as<std::string>())));
  if (!Answer || !Answer->Body.contains("request") ||
      Run.Form == OutputFormat::Json) {
    return Run.finish(Answer, true);
  }
  for (const json &Task : Answer->Body["request"]["tasks"]) {
    if (Task.contains("answer")) {
      std::cout << Task["answer"].get<std::string>() << '\n';
    }
  }
  return exitStatusOf(Answer->HttpStatus, Answer->Body, true);
}

ExitStatus runCancel(const std::vector<std::string> &Words) {
  cxxopts::Options Options = commonOptions();
  addIdentity(Options);
  const auto Args = parse(Options, Words);
  Command Run{Args};
  const auto Answer = Run.Talk.post(
      requestPath(Run.Talk, Args["customer"].as<std::string>(),
                  Args["key"].as<std::string>(), "/cancel",
                  homeQuery(Run.Talk, Args["home"].as<std::string>())),
      json::object());
  return Run.finish(Answer, false);
}

ExitStatus runGet(const std::vector<std::string> &Words,
                  const std::string &Path) {
  cxxopts::Options Options = commonOptions();
  Options.add_options()("home", "",
                        cxxopts::value<std::string>()->default_value(""))(
      "most", "", cxxopts::value<std::int64_t>()->default_value("20"));
  const auto Args = parse(Options, Words);
  Command Run{Args};
  std::string Query;
  if (Path == "/v1/workers") {
    Query = homeQuery(Run.Talk, Args["home"].as<std::string>());
  } else if (Path == "/v1/rules/history") {
    Query = "most=" + std::to_string(Args["most"].as<std::int64_t>());
  }
  return Run.finish(Run.Talk.get(Path + (Query.empty() ? "" : "?" + Query)),
                    false);
}

std::string readRulesFile(const std::string &Name) {
  std::ifstream Source{Name};
  if (!Source) {
    throw std::invalid_argument(Name + ": cannot be read");
  }
  return {std::istreambuf_iterator<char>{Source}, {}};
}

ExitStatus runRulesFile(const std::vector<std::string> &Words, bool IsApply) {
  cxxopts::Options Options = commonOptions();
  Options.add_options()("operator", "", cxxopts::value<std::string>())(
      "base", "", cxxopts::value<Revision>())("change-key", "",
                                              cxxopts::value<std::string>());
  const auto Args = parse(Options, Words);
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
    std::cout << Name << ": rules are good\n";
    return ExitStatus::Done;
  }
  const std::string ChangeKey = Args.count("change-key") != 0
                                    ? Args["change-key"].as<std::string>()
                                    : randomKey();
  Command Run{Args};
  const auto Answer = Run.Talk.post(
      "/v1/rules", {{"change_key", ChangeKey},
                    {"operator", Args["operator"].as<std::string>()},
                    {"base", Args["base"].as<Revision>()},
                    {"text", Text}});
  if (!Answer || Answer->HttpStatus >= 500) {
    std::cerr << "change key " << ChangeKey << '\n';
  }
  return Run.finish(Answer, false);
}

ExitStatus runRules(std::vector<std::string> Words) {
  if (Words.empty()) {
    throw std::invalid_argument(
        "rules needs check, apply, show, history or status");
  }
  const std::string Verb = Words.front();
  Words.erase(Words.begin());
  if (Verb == "check" || Verb == "apply") {
    return runRulesFile(Words, Verb == "apply");
  }
  if (Verb == "show") {
    return runGet(Words, "/v1/rules");
  }
  if (Verb == "history" || Verb == "status") {
    return runGet(Words, "/v1/rules/" + Verb);
  }
  throw std::invalid_argument("unknown command `rules " + Verb + "`");
}

} // namespace internal

ExitStatus runCli(const std::vector<std::string> &Words) {
  using internal::runGet;
  const bool WantsHelp =
      Words.empty() ||
      std::any_of(Words.begin(), Words.end(), [](const std::string &Word) {
        return Word == "--help" || Word == "-h" || Word == "help";
      });
  if (WantsHelp) {
    std::cout << internal::Help;
    return Words.empty() ? ExitStatus::Usage : ExitStatus::Done;
  }
  const std::vector<std::string> Rest{Words.begin() + 1, Words.end()};
  const std::map<std::string, std::function<ExitStatus()>> Commands{
      {"submit", [&] { return internal::runSubmit(Rest); }},
      {"status", [&] { return internal::runStatus(Rest); }},
      {"answer", [&] { return internal::runAnswer(Rest); }},
      {"cancel", [&] { return internal::runCancel(Rest); }},
      {"workers", [&] { return runGet(Rest, "/v1/workers"); }},
      {"groups", [&] { return runGet(Rest, "/v1/status"); }},
      {"rules", [&] { return internal::runRules(Rest); }}};
  const auto Found = Commands.find(Words.front());
  if (Found == Commands.end()) {
    throw std::invalid_argument("unknown command `" + Words.front() +
                                "`; see --help");
  }
  return Found->second();
}

} // namespace mulberryramp
