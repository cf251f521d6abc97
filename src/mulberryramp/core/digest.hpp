#pragma once

#include <string>
#include <string_view>

namespace mulberryramp {

/// @brief Size of a SHA-256 digest, in bytes.
inline constexpr std::size_t DigestBytes = 32;

/// @brief Computes the SHA-256 digest of a text.
/// @return `DigestBytes` raw bytes.
[[nodiscard]] std::string sha256(std::string_view Text);

/// @brief Renders the first bytes of a digest for log lines.
/// @return Eight hexadecimal digits; "-" for an empty digest.
[[nodiscard]] std::string abbreviateDigest(std::string_view Digest);

} // namespace mulberryramp
