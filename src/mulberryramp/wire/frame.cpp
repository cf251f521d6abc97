#include "mulberryramp/wire/frame.hpp"

namespace mulberryramp {

namespace internal {

/// First two bytes of each frame: "MR".
constexpr std::uint16_t FrameMagic = 0x4D52;
/// Capacity above which an empty buffer is freed.
constexpr std::size_t MaxIdleBufferBytes = std::size_t{64} * 1024;

void putBigEndian(std::string &Out, std::uint32_t Value, int Bytes) {
  for (int Shift = (Bytes - 1) * 8; Shift >= 0; Shift -= 8) {
    Out.push_back(static_cast<char>((Value >> Shift) & 0xFFU));
  }
}

std::uint32_t readBigEndian(std::string_view Source) {
  std::uint32_t Value = 0;
  for (const char Byte : Source) {
    Value = (Value << 8U) | static_cast<std::uint8_t>(Byte);
  }
  return Value;
}

} // namespace internal

std::string makeFrame(std::string_view Payload) {
  std::string Frame;
  Frame.reserve(FrameHeaderBytes + Payload.size());
  internal::putBigEndian(Frame, internal::FrameMagic, 2);
  internal::putBigEndian(Frame, FrameVersion, 2);
  internal::putBigEndian(Frame, static_cast<std::uint32_t>(Payload.size()), 4);
  Frame.append(Payload);
  return Frame;
}

tl::expected<std::optional<std::string>, FrameError> FrameReader::next() {
  if (Buffer.size() < FrameHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view View{Buffer};
  const bool IsSupported =
      internal::readBigEndian(View.substr(0, 2)) == internal::FrameMagic &&
      internal::readBigEndian(View.substr(2, 2)) == FrameVersion;
  if (!IsSupported) {
    return tl::make_unexpected(FrameError::UnknownVersion);
  }
  const std::size_t Length = internal::readBigEndian(View.substr(4, 4));
  if (Length > MaxFrameBytes) {
    return tl::make_unexpected(FrameError::Oversized);
  }
  if (Buffer.size() < FrameHeaderBytes + Length) {
    return std::nullopt;
  }
  std::string Payload = Buffer.substr(FrameHeaderBytes, Length);
  Buffer.erase(0, FrameHeaderBytes + Length);
  if (Buffer.empty() && Buffer.capacity() > internal::MaxIdleBufferBytes) {
    Buffer = std::string{};
  }
  return Payload;
}

} // namespace mulberryramp
