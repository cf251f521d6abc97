#pragma once

#include "mulberryramp/wire/fwd.hpp"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace mulberryramp {

/// @brief Why a byte stream is no sequence of frames.
enum class FrameError { UnknownVersion, Oversized };

/// @brief Puts a payload into a frame: magic, version, length, payload.
/// @param Payload At most `MaxFrameBytes` bytes; undefined if longer.
/// @return The frame.
[[nodiscard]] std::string makeFrame(std::string_view Payload);

/// @brief Cuts a byte stream into frames.
class FrameReader {
public:
  /// @brief Appends bytes from the stream.
  /// @param Bytes The bytes.
  void feed(std::string_view Bytes) { Buffer.append(Bytes); }

  /// @brief Takes the next whole frame.
  /// @return The payload, nothing if more bytes are needed, or an error after
  /// which the stream has to be closed.
  [[nodiscard]] tl::expected<std::optional<std::string>, FrameError> next();

private:
  std::string Buffer;
};

} // namespace mulberryramp
