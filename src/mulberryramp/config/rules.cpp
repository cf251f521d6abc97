#include "mulberryramp/config/rules.hpp"

#include "mulberryramp/core/names.hpp"

#include <algorithm>
#include <charconv>
#include <functional>
#include <limits>
#include <map>
#include <set>

namespace mulberryramp {

namespace internal {

/// In requests per team.
constexpr std::uint32_t DefaultQueueLimit = 5000;
constexpr std::string_view RequesterMarker = "asked by ";

struct Token {
  std::string_view Text;
  std::size_t Column = 0;
};

struct RuleValue {
  std::string_view Text;
  std::size_t Column = 0;
  bool IsUsed = false; ///< The rule has read the value.
};

std::vector<Token> tokenize(std::string_view Line) {
  std::vector<Token> Tokens;
  std::size_t At = 0;
  while (At < Line.size()) {
    const std::size_t Begin = Line.find_first_not_of(" \t", At);
    if (Begin == std::string_view::npos) {
      break;
    }
    At = std::min(Line.find_first_of(" \t", Begin), Line.size());
    Tokens.push_back({Line.substr(Begin, At - Begin), Begin + 1});
  }
  return Tokens;
}

/// Collects all findings instead of stopping at the first one.
class RulesParser {
public:
  explicit RulesParser(const std::string &Source) : Source{Source} {}

  void parse(std::string_view Text) {
    if (Text.size() > MaxRulesBytes) {
      Report.add({Source, 0, 0,
                  "longer than " + std::to_string(MaxRulesBytes) + " bytes"});
      return;
    }
    while (!Text.empty()) {
      LineNumber += 1;
      const std::size_t End = std::min(Text.find('\n'), Text.size());
      parseLine(Text.substr(0, End));
      Text.remove_prefix(std::min(End + 1, Text.size()));
    }
  }

  Rules RuleSet;
  Findings Report;

private:
  void addFinding(std::size_t Column, std::string Text) {
    Report.add({Source, LineNumber, Column, std::move(Text)});
  }

  void parseLine(std::string_view Line) {
    if (!Line.empty() && Line.back() == '\r') {
      Line.remove_suffix(1);
    }
    const std::size_t Hash = std::min(Line.find('#'), Line.size());
    const std::vector<Token> Tokens = tokenize(Line.substr(0, Hash));
    if (Tokens.empty()) {
      return;
    }
    checkComment(Line, Hash);
    Values.clear();
    for (std::size_t Index = 1; Index < Tokens.size(); ++Index) {
      parseValue(Tokens[Index]);
    }
    parseRule(Tokens.front());
    reportUnused();
  }

  void checkComment(std::string_view Line, std::size_t Hash) {
    const std::string_view Comment = Line.substr(Hash);
    const std::size_t At = Comment.find(RequesterMarker);
    const bool HasRequester =
        At != std::string_view::npos &&
        Comment.find_first_not_of(" \t:", At + RequesterMarker.size()) !=
            std::string_view::npos;
    if (!HasRequester) {
      addFinding(Hash + 1, "the line needs a comment `# asked by NAME`");
    }
  }

  void parseValue(const Token &Argument) {
    const std::size_t Equals = Argument.Text.find('=');
    if (Equals == std::string_view::npos || Equals == 0 ||
        Equals + 1 == Argument.Text.size()) {
      addFinding(Argument.Column,
                 "`" + std::string{Argument.Text} + "`: expected key=value");
      return;
    }
    const std::string Key{Argument.Text.substr(0, Equals)};
    const RuleValue Value{Argument.Text.substr(Equals + 1),
                          Argument.Column + Equals + 1, false};
    if (!Values.emplace(Key, Value).second) {
      addFinding(Argument.Column, Key + " is given twice");
    }
  }

  void reportUnused() {
    for (const auto &[Key, Value] : Values) {
      if (!Value.IsUsed) {
        addFinding(Value.Column - Key.size() - 1, "this rule has no " + Key);
      }
    }
  }

  RuleValue *find(const std::string &Key) {
    const auto It = Values.find(Key);
    if (It == Values.end()) {
      return nullptr;
    }
    It->second.IsUsed = true;
    return &It->second;
  }

  std::string text(const Token &Kind, const std::string &Key) {
    const RuleValue *Value = find(Key);
    if (Value == nullptr) {
      addFinding(Kind.Column, std::string{Kind.Text} + " needs " + Key + "=");
      return {};
    }
    return std::string{Value->Text};
  }

  template <typename Number>
  Number number(const std::string &Key, Number Default, Number MinValue,
                Number MaxValue) {
    const RuleValue *Value = find(Key);
    if (Value == nullptr) {
      return Default;
    }
    Number Parsed{};
    const char *End = Value->Text.data() + Value->Text.size();
    const auto [ParsedEnd, Error] =
        std::from_chars(Value->Text.data(), End, Parsed);
    if (Error != std::errc{} || ParsedEnd != End || Parsed < MinValue ||
        Parsed > MaxValue) {
      addFinding(Value->Column, Key + "=" + std::string{Value->Text} +
                                    ": expected a whole number from " +
                                    std::to_string(MinValue) + " to " +
                                    std::to_string(MaxValue));
      return Default;
    }
    return Parsed;
  }

  Millis millis(const std::string &Key, Millis Default) {
    constexpr std::int64_t MaxMs = 7LL * 24 * 3600 * 1000;
    return Millis{number<std::int64_t>(Key, Default.count(), 0, MaxMs)};
  }

  bool flag(const std::string &Key) {
    const RuleValue *Value = find(Key);
    if (Value == nullptr) {
      return false;
    }
    if (Value->Text != "yes" && Value->Text != "no") {
      addFinding(Value->Column,
                 Key + "=" + std::string{Value->Text} + ": expected yes or no");
    }
    return Value->Text == "yes";
  }

  template <typename Enum>
  Enum enumValue(const Token &Kind, const std::string &Key) {
    const std::string Name = text(Kind, Key);
    const auto Parsed = parseName<Enum>(Name);
    if (!Parsed && !Name.empty()) {
      std::string Choices;
      for (const std::string_view Choice : nameTable(Enum{})) {
        Choices += (Choices.empty() ? "" : ", ") + std::string{Choice};
      }
      addFinding(Values.at(Key).Column,
                 Key + "=" + Name + ": expected one of " + Choices);
    }
    return Parsed.value_or(Enum{});
  }

  Resources parseResources(Resources Default) {
    constexpr std::int64_t MaxValue = 1'000'000'000;
    Resources Amounts = Default;
    Amounts.MilliCpus =
        number<std::int64_t>("cpus", Default.MilliCpus / 1000, 0, MaxValue) *
        1000;
    Amounts.MemoryMb =
        number<std::int64_t>("memory-mb", Default.MemoryMb, 0, MaxValue);
    Amounts.Accelerators =
        number<std::int64_t>("accelerators", Default.Accelerators, 0, MaxValue);
    Amounts.Slots = number<std::int64_t>("slots", Default.Slots, 0, MaxValue);
    Amounts.Connections =
        number<std::int64_t>("connections", Default.Connections, 0, MaxValue);
    return Amounts;
  }

  void checkUnique(const Token &Kind, const std::string &Name) {
    if (!SeenKeys.insert({std::string{Kind.Text}, Name}).second) {
      addFinding(Kind.Column, std::string{Kind.Text} + " " + Name +
                                  " has an earlier line already");
    }
  }

  void parseRule(const Token &Kind) {
    static const std::map<std::string_view,
                          void (RulesParser::*)(const Token &)>
        Kinds{{"class", &RulesParser::parseClass},
              {"quota", &RulesParser::parseQuota},
              {"policy", &RulesParser::parsePolicy},
              {"spread", &RulesParser::parseSpread},
              {"limit", &RulesParser::parseLimit},
              {"drain", &RulesParser::parseDrain},
              {"shape", &RulesParser::parseMaxWorkerSize},
              {"retry", &RulesParser::parseRetry}};
    const auto It = Kinds.find(Kind.Text);
    if (It == Kinds.end()) {
      addFinding(Kind.Column, "unknown rule `" + std::string{Kind.Text} + "`");
      for (auto &[Key, Value] : Values) {
        Value.IsUsed = true;
      }
      return;
    }
    (this->*It->second)(Kind);
  }

  void parseClass(const Token &Kind) {
    ClassRule Rule;
    Rule.Name = text(Kind, "name");
    Rule.Priority = number<std::int32_t>("priority", Rule.Priority, 0, 1000);
    Rule.MaxAttempts =
        number<std::uint32_t>("attempts", Rule.MaxAttempts, 1, 100);
    Rule.Backoff = millis("backoff-ms", Rule.Backoff);
    Rule.AgingInterval = millis("ages-every-ms", Rule.AgingInterval);
    Rule.StartDeadline = millis("start-within-ms", Rule.StartDeadline);
    Rule.MayPreempt = flag("preempts");
    checkUnique(Kind, Rule.Name);
    RuleSet.Classes.push_back(std::move(Rule));
  }

  void parseQuota(const Token &Kind) {
    constexpr std::int64_t Unlimited = 1'000'000'000;
    QuotaRule Rule;
    Rule.Team = text(Kind, "team");
    Rule.Limit = parseResources(
        {Unlimited * 1000, Unlimited, Unlimited, Unlimited, Unlimited});
    Rule.Weight = number<std::int64_t>("weight", 1, 1, 1000);
    checkUnique(Kind, Rule.Team);
    RuleSet.Quotas.push_back(std::move(Rule));
  }

  void parsePolicy(const Token &Kind) {
    PolicyRule Rule;
    Rule.Customer = text(Kind, "customer");
    Rule.Policy = enumValue<PlacementPolicy>(Kind, "weigh");
    checkUnique(Kind, Rule.Customer);
    RuleSet.Policies.push_back(std::move(Rule));
  }

  void parseSpread(const Token &Kind) {
    SpreadRule Rule;
    Rule.Kind = enumValue<WorkKind>(Kind, "kind");
    Rule.MaxPerRack = number<std::uint32_t>("max-per-rack", 0, 0, 10000);
    checkUnique(Kind, std::string{nameOf(Rule.Kind)});
    RuleSet.Spreads.push_back(Rule);
  }

  void parseLimit(const Token &Kind) {
    QueueLimitRule Rule;
    Rule.Team = text(Kind, "team");
    Rule.MaxRequests =
        number<std::uint32_t>("queue", DefaultQueueLimit, 0, 1'000'000);
    checkUnique(Kind, Rule.Team);
    RuleSet.Limits.push_back(std::move(Rule));
  }

  void parseDrain(const Token &Kind) {
    int Count = 0;
    for (std::size_t Index = 0; Index < enumeratorCount<DrainScope>();
         ++Index) {
      const auto Scope = static_cast<DrainScope>(Index);
      if (const RuleValue *Value = find(std::string{nameOf(Scope)})) {
        RuleSet.Drains.push_back({Scope, std::string{Value->Text}});
        Count += 1;
      }
    }
    if (Count != 1) {
      addFinding(Kind.Column, "drain needs one of worker=, rack= or centre=");
    }
  }

  void parseMaxWorkerSize(const Token &Kind) {
    checkUnique(Kind, "");
    RuleSet.MaxWorkerSize = MaxWorkerSizeRule{parseResources({})};
  }

  void parseRetry(const Token &Kind) {
    checkUnique(Kind, "");
    RuleSet.Retry.BudgetPercent = number<std::uint32_t>(
        "budget-percent", RuleSet.Retry.BudgetPercent, 0, 100);
  }

  std::string Source;
  std::size_t LineNumber = 0;
  std::map<std::string, RuleValue> Values;
  std::set<std::pair<std::string, std::string>> SeenKeys;
};

} // namespace internal

tl::expected<Rules, Findings> parseRules(const std::string &Source,
                                         std::string_view Text) {
  internal::RulesParser Parser{Source};
  Parser.parse(Text);
  if (!Parser.Report.empty()) {
    return tl::make_unexpected(Parser.Report);
  }
  return std::move(Parser.RuleSet);
}

std::optional<ClassRule> findClass(const Rules &RuleSet,
                                   std::string_view Name) {
  for (const ClassRule &Rule : RuleSet.Classes) {
    if (Rule.Name == Name) {
      return Rule;
    }
  }
  if (Name == "normal") {
    ClassRule Rule;
    Rule.Name = Name;
    return Rule;
  }
  return std::nullopt;
}

const QuotaRule *findQuota(const Rules &RuleSet, std::string_view Team) {
  const auto It =
      std::find_if(RuleSet.Quotas.begin(), RuleSet.Quotas.end(),
                   [Team](const QuotaRule &Rule) { return Rule.Team == Team; });
  return It == RuleSet.Quotas.end() ? nullptr : &*It;
}

std::uint32_t queueLimit(const Rules &RuleSet, std::string_view Team) {
  std::uint32_t Limit = internal::DefaultQueueLimit;
  for (const QueueLimitRule &Rule : RuleSet.Limits) {
    if (Rule.Team == Team) {
      return Rule.MaxRequests;
    }
    if (Rule.Team == "*") {
      Limit = Rule.MaxRequests;
    }
  }
  return Limit;
}

PlacementPolicy placementPolicyFor(const Rules &RuleSet,
                                   std::string_view Customer) {
  for (const PolicyRule &Rule : RuleSet.Policies) {
    if (Rule.Customer == Customer) {
      return Rule.Policy;
    }
  }
  return PlacementPolicy::QueueTime;
}

std::uint32_t maxPerRack(const Rules &RuleSet, WorkKind Kind) {
  for (const SpreadRule &Rule : RuleSet.Spreads) {
    if (Rule.Kind == Kind) {
      return Rule.MaxPerRack;
    }
  }
  return 0;
}

bool isDrained(const Rules &RuleSet, std::string_view Worker,
               std::string_view Rack, std::string_view Centre) {
  return std::any_of(RuleSet.Drains.begin(), RuleSet.Drains.end(),
                     [&](const DrainRule &Rule) {
                       switch (Rule.Scope) {
                       case DrainScope::Worker:
                         return Rule.Name == Worker;
                       case DrainScope::Rack:
                         return Rule.Name == Rack;
                       case DrainScope::Centre:
                         return Rule.Name == Centre;
                       }
                       return false;
                     });
}

Resources quotaShare(const Resources &Total, std::size_t Centres,
                     std::size_t Index) {
  const auto Share = [&](std::int64_t Amount) {
    const auto Count = static_cast<std::int64_t>(Centres);
    const bool GetsRemainder =
        static_cast<std::int64_t>(Index) < Amount % Count;
    return Amount / Count + (GetsRemainder ? 1 : 0);
  };
  return {Share(Total.MilliCpus), Share(Total.MemoryMb),
          Share(Total.Accelerators), Share(Total.Slots),
          Share(Total.Connections)};
}

} // namespace mulberryramp
