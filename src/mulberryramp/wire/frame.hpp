#pragma once

#include "mulberryramp/wire/fwd.hpp"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace mulberryramp {

/// @brief Reason why a byte stream is not a valid sequence of frames.
enum class FrameError {
  UnknownVersion, ///< The magic or the version does not match.
  Oversized       ///< The payload is longer than `MaxFrameBytes`.
};

/// @brief Builds a frame: magic, version and length in big-endian order, then
/// the payload.
/// @param Payload At most `MaxFrameBytes` bytes; undefined if longer.
[[nodiscard]] std::string makeFrame(std::string_view Payload);

/// @brief Splits a byte stream into frames.
class FrameReader {
public:
  /// @brief Appends the next bytes of the stream.
  void feed(std::string_view Bytes) { Buffer.append(Bytes); }

  /// @brief Returns the memory that the buffer takes, in bytes.
  [[nodiscard]] std::size_t heldBytes() const noexcept {
    return Buffer.capacity();
  }

  /// @brief Tells whether the buffer holds a part of a frame.
  [[nodiscard]] bool hasPartialFrame() const noexcept {
    return !Buffer.empty();
  }

  /// @brief Removes the next complete frame from the buffer.
  /// @return The payload, nothing if more bytes are needed, or an error after
  /// which the stream must be closed.
  [[nodiscard]] tl::expected<std::optional<std::string>, FrameError> next();

private:
  std::string Buffer;
};

} // namespace mulberryramp
