#include "mulberryramp/config/rules_state.hpp"

#include "mulberryramp/wire/codec.hpp"

#include <algorithm>
#include <set>

namespace mulberryramp {

namespace internal {

std::multiset<std::string> lineSet(std::string_view Text) {
  std::multiset<std::string> Lines;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    if (End != 0) {
      Lines.emplace(Text.substr(0, End));
    }
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Lines;
}

std::vector<std::string> difference(const std::multiset<std::string> &Lhs,
                                    const std::multiset<std::string> &Rhs) {
  std::vector<std::string> OnlyInLhs;
  std::set_difference(Lhs.begin(), Lhs.end(), Rhs.begin(), Rhs.end(),
                      std::back_inserter(OnlyInLhs));
  return OnlyInLhs;
}

std::string lastAcceptedOperator(const RulesState &State) {
  const auto It =
      std::find_if(State.History.rbegin(), State.History.rend(),
                   [](const ChangeRecord &Record) {
                     return Record.Verdict == ChangeVerdict::Accepted;
                   });
  return It == State.History.rend() ? "" : It->Operator;
}

std::string applyPatch(std::string_view Base, const RulesChange &Change) {
  const std::size_t Front =
      std::min<std::size_t>(Change.PrefixBytes, Base.size());
  const std::size_t Back =
      std::min<std::size_t>(Change.SuffixBytes, Base.size() - Front);
  std::string Text{Base.substr(0, Front)};
  Text += Change.Replacement;
  Text += Base.substr(Base.size() - Back);
  return Text;
}

template <typename T> std::optional<T> tryDecode(std::string_view Data) {
  auto Value = decodeStored<T>(Data);
  return Value ? std::optional<T>{std::move(*Value)} : std::nullopt;
}

} // namespace internal

RulesChange makeChange(const RulesState &State, Revision Base,
                       std::string_view Text) {
  RulesChange Change;
  Change.Base = Base;
  if (Base != State.Number) {
    return Change;
  }
  const std::string_view Old = State.Text;
  const auto Front =
      std::mismatch(Old.begin(), Old.end(), Text.begin(), Text.end());
  const auto PrefixBytes = static_cast<std::size_t>(Front.first - Old.begin());
  const std::string_view OldRest = Old.substr(PrefixBytes);
  const std::string_view NewRest = Text.substr(PrefixBytes);
  const auto Back = std::mismatch(OldRest.rbegin(), OldRest.rend(),
                                  NewRest.rbegin(), NewRest.rend());
  const auto SuffixBytes =
      static_cast<std::size_t>(Back.first - OldRest.rbegin());
  Change.PrefixBytes = PrefixBytes;
  Change.SuffixBytes = SuffixBytes;
  Change.Replacement = NewRest.substr(0, NewRest.size() - SuffixBytes);
  return Change;
}

ChangeRecord applyChange(RulesState &State, const RulesChange &Change) {
  const auto Existing =
      std::find_if(State.History.begin(), State.History.end(),
                   [&Change](const ChangeRecord &Applied) {
                     return Applied.ChangeKey == Change.ChangeKey;
                   });
  if (Existing != State.History.end()) {
    return *Existing;
  }
  ChangeRecord Record;
  Record.ChangeKey = Change.ChangeKey;
  Record.Operator = Change.Operator;
  Record.Base = Change.Base;
  Record.At = Change.At;
  if (Change.Base != State.Number) {
    Record.Verdict = ChangeVerdict::Conflict;
    Record.Winner = internal::lastAcceptedOperator(State);
  } else {
    std::string Text = internal::applyPatch(State.Text, Change);
    const auto Before = internal::lineSet(State.Text);
    const auto After = internal::lineSet(Text);
    Record.Added = internal::difference(After, Before);
    Record.Removed = internal::difference(Before, After);
    State.Number += 1;
    State.Text = std::move(Text);
  }
  Record.Number = State.Number;
  State.History.push_back(Record);
  if (State.History.size() > MaxRulesHistory) {
    State.History.erase(State.History.begin());
  }
  return Record;
}

std::string encodeChange(const RulesChange &Change) { return encode(Change); }

std::optional<RulesChange> decodeChange(std::string_view Data) {
  return internal::tryDecode<RulesChange>(Data);
}

std::string encodeRulesState(const RulesState &State) { return encode(State); }

std::optional<RulesState> decodeRulesState(std::string_view Data) {
  if (Data.empty()) {
    return RulesState{};
  }
  return internal::tryDecode<RulesState>(Data);
}

} // namespace mulberryramp
