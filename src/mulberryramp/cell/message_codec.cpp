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

std::vector<EncodedCommands>
encodeEntries(const std::vector<CellCommand> &Commands, std::size_t MaxBytes) {
  std::vector<EncodedCommands> Entries;
  std::string Body; // Elements of the array of the current entry.
  std::size_t Count = 0;
  const auto FinishEntry = [&] {
    // An array is encoded as its length, followed by its elements.
    std::string Data;
    internal::StringBuffer Buffer{Data};
    internal::Packer{Buffer}.pack_array(static_cast<std::uint32_t>(Count));
    Data += Body;
    Entries.push_back({std::move(Data), Count});
    Body.clear();
    Count = 0;
  };
  for (const CellCommand &Command : Commands) {
    const std::size_t BytesBefore = Body.size();
    encodeTo(Body, Command);
    if (Count != 0 && Body.size() > MaxBytes) {
      std::string Last = Body.substr(BytesBefore);
      Body.resize(BytesBefore);
      FinishEntry();
      Body = std::move(Last);
    }
    Count += 1;
  }
  if (Count != 0) {
    FinishEntry();
  }
  return Entries;
}

std::optional<std::vector<CellCommand>> decodeCommands(std::string_view Bytes) {
  return toOptional(decodeStored<std::vector<CellCommand>>(Bytes));
}

std::string encodeCellState(const CellState &State) {
  std::string Bytes;
  // A string that grows would be copied several times.
  Bytes.reserve(State.JobBytes + State.JobBytes / 16);
  encodeTo(Bytes, State);
  return Bytes;
}

std::optional<CellState> decodeCellState(std::string_view Bytes) {
  auto State = toOptional(decodeStored<CellState>(Bytes));
  if (State) {
    rebuildIndex(*State);
  }
  return State;
}

} // namespace mulberryramp
