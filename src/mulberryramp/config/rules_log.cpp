#include "mulberryramp/config/rules_log.hpp"

#include "mulberryramp/wire/codec.hpp"

#include <algorithm>
#include <set>

namespace mulberryramp {

namespace internal {

std::multiset<std::string> linesOf(std::string_view Text) {
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

std::vector<std::string> difference(const std::multiset<std::string> &Left,
                                    const std::multiset<std::string> &Right) {
  std::vector<std::string> Only;
  std::set_difference(Left.begin(), Left.end(), Right.begin(), Right.end(),
                      std::back_inserter(Only));
  return Only;
}

std::string operatorInForce(const RulesLog &State) {
  const auto Found =
      std::find_if(State.Changes.rbegin(), State.Changes.rend(),
                   [](const ChangeRecord &Item) {
                     return Item.Verdict == ChangeVerdict::Accepted;
                   });
  return Found == State.Changes.rend() ? "" : Found->Operator;
}

std::string changedText(std::string_view Base, const RulesChange &Change) {
  const std::size_t Front =
      std::min<std::size_t>(Change.FrontBytes, Base.size());
  const std::size_t Back =
      std::min<std::size_t>(Change.BackBytes, Base.size() - Front);
  std::string Text{Base.substr(0, Front)};
  Text += Change.Middle;
  Text += Base.substr(Base.size() - Back);
  return Text;
}

template <typename T> std::optional<T> decodeOrNothing(std::string_view Data) {
  auto Value = decode<T>(Data);
  return Value ? std::optional<T>{std::move(*Value)} : std::nullopt;
}

} // namespace internal

RulesChange makeChange(const RulesLog &State, Revision Base,
                       std::string_view Text) {
  RulesChange Change;
  Change.Base = Base;
  if (Base != State.Number) {
    return Change;
  }
  const std::string_view Old = State.Text;
  const auto Front =
      std::mismatch(Old.begin(), Old.end(), Text.begin(), Text.end());
  const auto FrontBytes = static_cast<std::size_t>(Front.first - Old.begin());
  const std::string_view OldRest = Old.substr(FrontBytes);
  const std::string_view NewRest = Text.substr(FrontBytes);
  const auto Back = std::mismatch(OldRest.rbegin(), OldRest.rend(),
                                  NewRest.rbegin(), NewRest.rend());
  const auto BackBytes =
      static_cast<std::size_t>(Back.first - OldRest.rbegin());
  Change.FrontBytes = FrontBytes;
  Change.BackBytes = BackBytes;
  Change.Middle = NewRest.substr(0, NewRest.size() - BackBytes);
  return Change;
}

ChangeRecord applyChange(RulesLog &State, const RulesChange &Change) {
  const auto Known = std::find_if(State.Changes.begin(), State.Changes.end(),
                                  [&Change](const ChangeRecord &Item) {
                                    return Item.ChangeKey == Change.ChangeKey;
                                  });
  if (Known != State.Changes.end()) {
    return *Known;
  }
  ChangeRecord Record;
  Record.ChangeKey = Change.ChangeKey;
  Record.Operator = Change.Operator;
  Record.Base = Change.Base;
  Record.At = Change.At;
  if (Change.Base != State.Number) {
    Record.Verdict = ChangeVerdict::Conflict;
    Record.Winner = internal::operatorInForce(State);
  } else {
    std::string Text = internal::changedText(State.Text, Change);
    const auto Before = internal::linesOf(State.Text);
    const auto After = internal::linesOf(Text);
    Record.Added = internal::difference(After, Before);
    Record.Removed = internal::difference(Before, After);
    State.Number += 1;
    State.Text = std::move(Text);
  }
  Record.Number = State.Number;
  State.Changes.push_back(Record);
  if (State.Changes.size() > MaxRulesChanges) {
    State.Changes.erase(State.Changes.begin());
  }
  return Record;
}

std::string encodeChange(const RulesChange &Change) { return encode(Change); }

std::optional<RulesChange> decodeChange(std::string_view Data) {
  return internal::decodeOrNothing<RulesChange>(Data);
}

std::string encodeRulesLog(const RulesLog &State) { return encode(State); }

std::optional<RulesLog> decodeRulesLog(std::string_view Data) {
  if (Data.empty()) {
    return RulesLog{};
  }
  return internal::decodeOrNothing<RulesLog>(Data);
}

} // namespace mulberryramp
