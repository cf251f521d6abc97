#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

/// @file
/// @brief Forward declarations and limits of the wire module: msgpack codec
/// and frames between daemons.

namespace mulberryramp {

inline constexpr std::size_t MaxFrameBytes = std::size_t{8} * 1024 * 1024;
inline constexpr std::size_t FrameHeaderBytes = 8;
inline constexpr std::uint16_t FrameVersion = 1;

struct CodecError;
class FrameReader;

} // namespace mulberryramp
