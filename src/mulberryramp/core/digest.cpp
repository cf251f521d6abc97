#include "mulberryramp/core/digest.hpp"

#include <openssl/evp.h>
#include <openssl/sha.h>

namespace mulberryramp {

static_assert(DigestBytes == SHA256_DIGEST_LENGTH);

namespace {

/// Number of bytes of a digest that a log line shows.
constexpr std::size_t AbbreviatedBytes = 4;

} // namespace

std::string sha256(std::string_view Text) {
  // The look-up of the algorithm takes longer than the digest of a key.
  static const EVP_MD *const Algorithm =
      EVP_MD_fetch(nullptr, "SHA256", nullptr);
  std::string Digest(DigestBytes, '\0');
  EVP_Digest(Text.data(), Text.size(),
             reinterpret_cast<unsigned char *>(Digest.data()), nullptr,
             Algorithm, nullptr);
  return Digest;
}

std::string abbreviateDigest(std::string_view Digest) {
  if (Digest.empty()) {
    return "-";
  }
  static constexpr std::string_view HexDigits = "0123456789abcdef";
  std::string Text;
  for (const char Byte : Digest.substr(0, AbbreviatedBytes)) {
    const auto Value = static_cast<unsigned char>(Byte);
    Text += HexDigits[Value >> 4U];
    Text += HexDigits[Value & 0xFU];
  }
  return Text;
}

} // namespace mulberryramp
