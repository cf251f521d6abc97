#include "mulberryramp/replica/membership_codec.hpp"

#include "mulberryramp/wire/codec.hpp"

namespace mulberryramp {

std::string encodeMembership(const Membership &Voters) {
  return encode(Voters);
}

Membership decodeMembership(std::string_view Data) {
  return decodeStored<Membership>(Data).value_or(Membership{});
}

} // namespace mulberryramp
