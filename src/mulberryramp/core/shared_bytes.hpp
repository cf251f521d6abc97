#pragma once

#include <memory>
#include <string>
#include <utility>

namespace mulberryramp {

/// @brief Immutable bytes with shared ownership.
///
/// A copy shares the bytes, so that a large snapshot exists once in memory
/// although the replica, a write in progress and transfers refer to it.
class SharedBytes {
public:
  SharedBytes() = default;
  // NOLINTBEGIN(google-explicit-constructor): a string is accepted as bytes.
  SharedBytes(std::string Bytes)
      : Bytes{std::make_shared<const std::string>(std::move(Bytes))} {}
  SharedBytes(const char *Text) : SharedBytes{std::string{Text}} {}
  operator const std::string &() const noexcept { return str(); }
  // NOLINTEND(google-explicit-constructor)

  /// @brief Returns the bytes; valid as long as any copy of this object.
  [[nodiscard]] const std::string &str() const noexcept {
    static const std::string Empty;
    return Bytes ? *Bytes : Empty;
  }
  [[nodiscard]] std::size_t size() const noexcept { return str().size(); }
  [[nodiscard]] bool empty() const noexcept { return str().empty(); }
  // NOLINTNEXTLINE(readability-identifier-naming): named as in std::string.
  [[nodiscard]] const char *c_str() const noexcept { return str().c_str(); }

  bool operator==(const SharedBytes &Other) const noexcept {
    return Bytes == Other.Bytes || str() == Other.str();
  }

private:
  std::shared_ptr<const std::string> Bytes;
};

} // namespace mulberryramp
