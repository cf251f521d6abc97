#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

/// @file
/// @brief Forward declarations and limits of the wire module.
///
/// The module encodes values as msgpack and splits byte streams between daemons
/// into frames. It depends on core only and performs no I/O.

namespace mulberryramp {

/// @brief Maximum payload of a frame and of a decoded value, in bytes.
inline constexpr std::size_t MaxFrameBytes = std::size_t{8} * 1024 * 1024;
/// @brief Bytes before the payload: magic, version and length.
inline constexpr std::size_t FrameHeaderBytes = 8;
/// @brief Version of the frame format; frames of other versions are rejected.
inline constexpr std::uint16_t FrameVersion = 1;

struct CodecError;
class FrameReader;

} // namespace mulberryramp
