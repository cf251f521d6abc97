#include "mulberryramp/cell/message.hpp"
#include "mulberryramp/job/state.hpp"
#include "mulberryramp/wire/codec.hpp"

namespace mulberryramp {

namespace {

template <typename Value>
std::optional<Value> toOptional(tl::expected<Value, CodecError> Decoded) {
  if (!Decoded) {
    return std::nullopt;
  }
  return std::move(*Decoded);
}

} // namespace

std::string encodeCellMessage(const CellMessage &Message) {
  return encode(Message);
}

std::optional<CellMessage> decodeCellMessage(std::string_view Bytes) {
  return toOptional(decode<CellMessage>(Bytes));
}

std::string encodeCommands(const std::vector<CellCommand> &Commands) {
  return encode(Commands);
}

std::optional<std::vector<CellCommand>> decodeCommands(std::string_view Bytes) {
  return toOptional(decodeStored<std::vector<CellCommand>>(Bytes));
}

std::string encodeCellState(const CellState &State) { return encode(State); }

std::optional<CellState> decodeCellState(std::string_view Bytes) {
  auto State = toOptional(decodeStored<CellState>(Bytes));
  if (State) {
    rebuildIndex(*State);
  }
  return State;
}

} // namespace mulberryramp
