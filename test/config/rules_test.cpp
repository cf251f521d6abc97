#include "mulberryramp/config/rules.hpp"
#include "mulberryramp/config/rules_state.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryramp;

namespace {

/// @brief Renders the findings in a rules text; empty if it is valid.
std::string renderFindings(const std::string &Text) {
  const auto Parsed = parseRules("r", Text);
  return Parsed ? "" : Parsed.error().render();
}

/// @brief Makes a change with a key, by an operator named after the key.
RulesChange changeOf(const RulesState &State, const std::string &Key,
                     Revision Base, const std::string &Text) {
  RulesChange Change = makeChange(State, Base, Text);
  Change.ChangeKey = Key;
  Change.Operator = "op-" + Key;
  return Change;
}

} // namespace

TEST_GROUP(ConfigRules){};

TEST(ConfigRules, ParsesEveryKindOfRule) {
  const auto Parsed = parseRules(
      "r", "class name=urgent priority=100 preempts=yes # asked by Ana\n"
           "quota team=a cpus=10 weight=2 # asked by Ana: tenders\n"
           "policy customer=iftar weigh=packing # asked by Rahim\n"
           "spread kind=service max-per-rack=2 # asked by Ivo\n"
           "limit team=* queue=7 # asked by Ivo\n"
           "drain rack=r1 # asked by Ivo\n"
           "shape cpus=32 memory-mb=1000 # asked by Ivo\n"
           "retry budget-percent=10 # asked by Ivo\n");
  CHECK(Parsed.has_value());
  CHECK(findClass(*Parsed, "urgent")->MayPreempt);
  CHECK_EQUAL(10000, findQuota(*Parsed, "a")->Limit.MilliCpus);
  CHECK(placementPolicyFor(*Parsed, "iftar") == PlacementPolicy::BinPacking);
  CHECK_EQUAL(2U, maxPerRack(*Parsed, WorkKind::Service));
  CHECK_EQUAL(7U, queueLimit(*Parsed, "any"));
  CHECK(isDrained(*Parsed, "w", "r1", "c"));
  CHECK_FALSE(isDrained(*Parsed, "w", "r2", "c"));
}

TEST(ConfigRules, EveryRuleNeedsACommentNamingItsRequester) {
  STRCMP_EQUAL("r:1:15: the line needs a comment `# asked by NAME`\n",
               renderFindings("drain rack=r1 # because\n").c_str());
  STRCMP_EQUAL("r:1:14: the line needs a comment `# asked by NAME`\n",
               renderFindings("drain rack=r1").c_str());
  STRCMP_EQUAL("r:1:15: the line needs a comment `# asked by NAME`\n",
               renderFindings("drain rack=r1 # asked by ").c_str());
}

TEST(ConfigRules, ReportsAllFindingsTogether) {
  const std::string Report =
      renderFindings("class priority=9999 # asked by A\n"
                     "\n"
                     "jump high=1 # asked by A\n"
                     "policy customer=x weigh=fast colour=1 # asked by A\n");
  CHECK(Report.find("r:1:1: class needs name=") != std::string::npos);
  CHECK(Report.find("r:1:16: priority=9999") != std::string::npos);
  CHECK(Report.find("r:3:1: unknown rule `jump`") != std::string::npos);
  CHECK(Report.find("r:4:25: weigh=fast") != std::string::npos);
  CHECK(Report.find("r:4:30: this rule has no colour") != std::string::npos);
}

TEST(ConfigRules, DuplicateRuleForOneNameIsAFinding) {
  CHECK(renderFindings("limit team=a # asked by A\nlimit team=a # asked by B\n")
            .find("r:2:1: limit a has an earlier line") != std::string::npos);
}

TEST(ConfigRules, QuotaSharesAddUpToTheQuota) {
  const Resources Total{10, 11, 1, 0, 7};
  Resources Sum;
  for (std::size_t Index = 0; Index < 3; ++Index) {
    Sum += quotaShare(Total, 3, Index);
  }
  CHECK(Sum == Total);
}

TEST(ConfigRules, SecondChangeOfTheSameBaseRevisionConflicts) {
  RulesState State;
  const auto First = changeOf(State, "a", 0, "one\n");
  const auto Second = changeOf(State, "b", 0, "two\n");
  CHECK(applyChange(State, First).Verdict == ChangeVerdict::Accepted);
  const ChangeRecord Rejected = applyChange(State, Second);
  CHECK(Rejected.Verdict == ChangeVerdict::Conflict);
  STRCMP_EQUAL("op-a", Rejected.Winner.c_str());
  STRCMP_EQUAL("one\n", State.Text.c_str());
}

/// A resent change must not be applied a second time, also after the state was
/// restored from a snapshot.
TEST(ConfigRules, ResentChangeGetsItsFirstAnswerAfterManyChanges) {
  RulesState State;
  const auto First = changeOf(State, "first", 0, "x\n");
  applyChange(State, First);
  for (int Index = 0; Index < 500; ++Index) {
    const std::string Name = std::to_string(Index);
    applyChange(State,
                changeOf(State, Name, State.Number, State.Text + Name + "\n"));
  }
  auto Restored = decodeRulesState(encodeRulesState(State));
  CHECK(Restored.has_value());
  CHECK_EQUAL(1U, applyChange(*Restored, First).Number);
  CHECK_EQUAL(501U, Restored->Number);
}

TEST(ConfigRules, ChangeHoldsOnlyTheDifference) {
  RulesState State;
  applyChange(State, changeOf(State, "a", 0, "front\nold\nback\n"));
  const auto Change = changeOf(State, "b", 1, "front\nnew line\nback\n");
  STRCMP_EQUAL("new line", Change.Replacement.c_str());
  applyChange(State, Change);
  STRCMP_EQUAL("front\nnew line\nback\n", State.Text.c_str());
}

/// In repetitive texts the common prefix and suffix may overlap.
TEST(ConfigRules, ChangesBetweenRepetitiveTextsAreExact) {
  RulesState State;
  const char *Texts[] = {"aaaa", "aa", "aaaaaa", "", "baab", "bab"};
  for (const char *Text : Texts) {
    applyChange(State, changeOf(State, Text + std::to_string(State.Number),
                                State.Number, Text));
    STRCMP_EQUAL(Text, State.Text.c_str());
  }
}
