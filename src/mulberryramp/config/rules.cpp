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

constexpr std::uint32_t DefaultQueueLimit = 5000;
constexpr std::string_view RequesterMarker = "asked by ";

struct Word {
  std::string_view Text;
  std::size_t Column = 0;
};

struct RuleValue {
  std::string_view Text;
  std::size_t Column = 0;
  bool IsUsed = false;
};

std::vector<Word> tokenize(std::string_view Line) {
  std::vector<Word> Words;
  std::size_t At = 0;
  while (At < Line.size()) {
    const std::size_t Begin = Line.find_first_not_of(" \t", At);
    if (Begin == std::string_view::npos) {
      break;
    }
    At = std::min(Line.find_first_of(" \t", Begin), Line.size());
    Words.push_back({Line.substr(Begin, At - Begin), Begin + 1});
  }
  return Words;
}

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
      Line += 1;
      const std::size_t End = std::min(Text.find('\n'), Text.size());
      parseLine(Text.substr(0, End));
      Text.remove_prefix(std::min(End + 1, Text.size()));
    }
  }

  Rules All;
  Findings Report;

private:
  void add(std::size_t Column, std::string Text) {
    Report.add({Source, Line, Column, std::move(Text)});
  }

  void parseLine(std::string_view Whole) {
    if (!Whole.empty() && Whole.back() == '\r') {
      Whole.remove_suffix(1);
    }
    const std::size_t Hash = std::min(Whole.find('#'), Whole.size());
    const std::vector<Word> Words = tokenize(Whole.substr(0, Hash));
    if (Words.empty()) {
      return;
    }
    checkComment(Whole, Hash);
    Values.clear();
    for (std::size_t Index = 1; Index < Words.size(); ++Index) {
      takeValue(Words[Index]);
    }
    takeRule(Words.front());
    reportUnused();
  }

  void checkComment(std::string_view Whole, std::size_t Hash) {
    const std::string_view Comment = Whole.substr(Hash);
    const std::size_t At = Comment.find(RequesterMarker);
    const bool Named =
        At != std::string_view::npos &&
        Comment.find_first_not_of(" \t:", At + RequesterMarker.size()) !=
            std::string_view::npos;
    if (!Named) {
      add(Hash + 1, "the line needs a comment `# asked by NAME`");
    }
  }

  void takeValue(const Word &Item) {
    const std::size_t Equals = Item.Text.find('=');
    if (Equals == std::string_view::npos || Equals == 0 ||
        Equals + 1 == Item.Text.size()) {
      add(Item.Column, "`" + std::string{Item.Text} + "`: expected key=value");
      return;
    }
    const std::string Key{Item.Text.substr(0, Equals)};
    const RuleValue Value{Item.Text.substr(Equals + 1),
                          Item.Column + Equals + 1, false};
    if (!Values.emplace(Key, Value).second) {
      add(Item.Column, Key + " is given twice");
    }
  }

  void reportUnused() {
    for (const auto &[Key, Value] : Values) {
      if (!Value.IsUsed) {
        add(Value.Column - Key.size() - 1, "this rule has no " + Key);
      }
    }
  }

  RuleValue *find(const std::string &Key) {
    const auto Found = Values.find(Key);
    if (Found == Values.end()) {
      return nullptr;
    }
    Found->second.IsUsed = true;
    return &Found->second;
  }

  std::string text(const Word &Kind, const std::string &Key) {
    const RuleValue *Value = find(Key);
    if (Value == nullptr) {
      add(Kind.Column, std::string{Kind.Text} + " needs " + Key + "=");
      return {};
    }
    return std::string{Value->Text};
  }

  template <typename Number>
  Number number(const std::string &Key, Number Default, Number Least,
                Number Most) {
    const RuleValue *Value = find(Key);
    if (Value == nullptr) {
      return Default;
    }
    Number Parsed{};
    const char *End = Value->Text.data() + Value->Text.size();
    const auto [Stop, Error] = std::from_chars(Value->Text.data(), End, Parsed);
    if (Error != std::errc{} || Stop != End || Parsed < Least ||
        Parsed > Most) {
      add(Value->Column, Key + "=" + std::string{Value->Text} +
                             ": expected a whole number from " +
                             std::to_string(Least) + " to " +
                             std::to_string(Most));
      return Default;
    }
    return Parsed;
  }

  Millis millis(const std::string &Key, Millis Default) {
    constexpr std::int64_t MostMs = 7LL * 24 * 3600 * 1000;
    return Millis{number<std::int64_t>(Key, Default.count(), 0, MostMs)};
  }

  bool flag(const std::string &Key) {
    const RuleValue *Value = find(Key);
    if (Value == nullptr) {
      return false;
    }
    if (Value->Text != "yes" && Value->Text != "no") {
      add(Value->Column,
          Key + "=" + std::string{Value->Text} + ": expected yes or no");
    }
    return Value->Text == "yes";
  }

  template <typename Enum>
  Enum enumValue(const Word &Kind, const std::string &Key) {
    const std::string Name = text(Kind, Key);
    const auto Parsed = parseName<Enum>(Name);
    if (!Parsed && !Name.empty()) {
      std::string Choices;
      for (const std::string_view Choice : nameTable(Enum{})) {
        Choices += (Choices.empty() ? "" : ", ") + std::string{Choice};
      }
      add(Values.at(Key).Column,
          Key + "=" + Name + ": expected one of " + Choices);
    }
    return Parsed.value_or(Enum{});
  }

  Resources parseResources(Resources Default) {
    constexpr std::int64_t Most = 1'000'000'000;
    Resources Sum = Default;
    Sum.MilliCpus =
        number<std::int64_t>("cpus", Default.MilliCpus / 1000, 0, Most) * 1000;
    Sum.MemoryMb = number<std::int64_t>("memory-mb", Default.MemoryMb, 0, Most);
    Sum.Accelerators =
        number<std::int64_t>("accelerators", Default.Accelerators, 0, Most);
    Sum.Slots = number<std::int64_t>("slots", Default.Slots, 0, Most);
    Sum.Connections =
        number<std::int64_t>("connections", Default.Connections, 0, Most);
    return Sum;
  }

  void checkUnique(const Word &Kind, const std::string &Name) {
    if (!SeenKeys.insert({std::string{Kind.Text}, Name}).second) {
      add(Kind.Column,
          std::string{Kind.Text} + " " + Name + " has an earlier line already");
    }
  }

  void takeRule(const Word &Kind) {
    static const std::map<std::string_view, void (RulesParser::*)(const Word &)>
        Kinds{{"class", &RulesParser::takeClass},
              {"quota", &RulesParser::takeQuota},
              {"policy", &RulesParser::takePolicy},
              {"spread", &RulesParser::takeSpread},
              {"limit", &RulesParser::takeLimit},
              {"drain", &RulesParser::takeDrain},
              {"shape", &RulesParser::takeShape},
              {"retry", &RulesParser::takeRetry}};
    const auto Found = Kinds.find(Kind.Text);
    if (Found == Kinds.end()) {
      add(Kind.Column, "unknown rule `" + std::string{Kind.Text} + "`");
      for (auto &[Key, Value] : Values) {
        Value.IsUsed = true;
      }
      return;
    }
    (this->*Found->second)(Kind);
  }

  void takeClass(const Word &Kind) {
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
    All.Classes.push_back(std::move(Rule));
  }

  void takeQuota(const Word &Kind) {
    constexpr std::int64_t Any = 1'000'000'000;
    QuotaRule Rule;
    Rule.Team = text(Kind, "team");
    Rule.Limit = parseResources({Any * 1000, Any, Any, Any, Any});
    Rule.Weight = number<std::int64_t>("weight", 1, 1, 1000);
    checkUnique(Kind, Rule.Team);
    All.Quotas.push_back(std::move(Rule));
  }

  void takePolicy(const Word &Kind) {
    PolicyRule Rule;
    Rule.Customer = text(Kind, "customer");
    Rule.Policy = enumValue<PlacementPolicy>(Kind, "weigh");
    checkUnique(Kind, Rule.Customer);
    All.Policies.push_back(std::move(Rule));
  }

  void takeSpread(const Word &Kind) {
    SpreadRule Rule;
    Rule.Kind = enumValue<WorkKind>(Kind, "kind");
    Rule.MaxPerRack = number<std::uint32_t>("max-per-rack", 0, 0, 10000);
    checkUnique(Kind, std::string{nameOf(Rule.Kind)});
    All.Spreads.push_back(Rule);
  }

  void takeLimit(const Word &Kind) {
    QueueLimitRule Rule;
    Rule.Team = text(Kind, "team");
    Rule.MaxRequests =
        number<std::uint32_t>("queue", DefaultQueueLimit, 0, 1'000'000);
    checkUnique(Kind, Rule.Team);
    All.Limits.push_back(std::move(Rule));
  }

  void takeDrain(const Word &Kind) {
    int Count = 0;
    for (std::size_t Index = 0; Index < enumeratorCount<DrainScope>();
         ++Index) {
      const auto Scope = static_cast<DrainScope>(Index);
      if (const RuleValue *Value = find(std::string{nameOf(Scope)})) {
        All.Drains.push_back({Scope, std::string{Value->Text}});
        Count += 1;
      }
    }
    if (Count != 1) {
      add(Kind.Column, "drain needs one of worker=, rack= or centre=");
    }
  }

  void takeShape(const Word &Kind) {
    checkUnique(Kind, "");
    All.MaxWorkerSize = MaxWorkerSizeRule{parseResources({})};
  }

  void takeRetry(const Word &Kind) {
    checkUnique(Kind, "");
    All.Retry.BudgetPercent = number<std::uint32_t>(
        "budget-percent", All.Retry.BudgetPercent, 0, 100);
  }

  std::string Source;
  std::size_t Line = 0;
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
  return std::move(Parser.All);
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
  const auto Found =
      std::find_if(RuleSet.Quotas.begin(), RuleSet.Quotas.end(),
                   [Team](const QuotaRule &Rule) { return Rule.Team == Team; });
  return Found == RuleSet.Quotas.end() ? nullptr : &*Found;
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

Resources quotaShare(const Resources &Whole, std::size_t Centres,
                     std::size_t Index) {
  const auto Part = [&](std::int64_t Amount) {
    const auto Count = static_cast<std::int64_t>(Centres);
    const bool Extra = static_cast<std::int64_t>(Index) < Amount % Count;
    return Amount / Count + (Extra ? 1 : 0);
  };
  return {Part(Whole.MilliCpus), Part(Whole.MemoryMb), Part(Whole.Accelerators),
          Part(Whole.Slots), Part(Whole.Connections)};
}

} // namespace mulberryramp
