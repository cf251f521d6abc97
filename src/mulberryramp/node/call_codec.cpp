#include "mulberryramp/node/call.hpp"
#include "mulberryramp/wire/codec.hpp"

namespace mulberryramp {

std::string encodeMessage(const PeerMessage &Message) {
  return encode(Message);
}

std::optional<PeerMessage> decodeMessage(std::string_view Payload) {
  auto Message = decode<PeerMessage>(Payload);
  if (!Message) {
    return std::nullopt;
  }
  return std::move(*Message);
}

} // namespace mulberryramp
