#include "mulberryramp/storage/identity.hpp"

#include <algorithm>
#include <charconv>
#include <string>
#include <vector>

namespace mulberryramp {

namespace internal {

constexpr const char *IdentityFile = "identity";

} // namespace internal

StorageStatus writeIdentity(FileSystem &Files, std::uint64_t Incarnation) {
  const std::string TempName = std::string{internal::IdentityFile} + ".tmp";
  return Files.write(TempName, std::to_string(Incarnation) + "\n")
      .and_then([&] { return Files.sync(TempName); })
      .and_then([&] { return Files.rename(TempName, internal::IdentityFile); })
      .and_then([&] { return Files.syncFolder("."); });
}

std::uint64_t newIncarnation(WallTime WallNow) noexcept {
  return static_cast<std::uint64_t>(WallNow.time_since_epoch().count());
}

tl::expected<std::uint64_t, StorageError> openIdentity(FileSystem &Files,
                                                       WallTime WallNow) {
  const auto Names = Files.list(".");
  if (!Names) {
    return tl::make_unexpected(Names.error());
  }
  const bool Exists = std::find(Names->begin(), Names->end(),
                                internal::IdentityFile) != Names->end();
  if (!Exists) {
    const std::uint64_t Generated = newIncarnation(WallNow);
    auto Written = writeIdentity(Files, Generated);
    if (!Written) {
      return tl::make_unexpected(Written.error());
    }
    return Generated;
  }
  const auto Text = Files.read(internal::IdentityFile);
  if (!Text) {
    return tl::make_unexpected(Text.error());
  }
  std::uint64_t Incarnation = 0;
  const auto [End, Error] =
      std::from_chars(Text->data(), Text->data() + Text->size(), Incarnation);
  if (Error != std::errc{} || Incarnation == 0) {
    return tl::make_unexpected(
        StorageError{"identity: not a valid incarnation number"});
  }
  return Incarnation;
}

StorageStatus bootstrapIdentity(FileSystem &Files) {
  const auto Names = Files.list(".");
  if (!Names) {
    return tl::make_unexpected(Names.error());
  }
  if (!Names->empty()) {
    return tl::make_unexpected(
        StorageError{"the data folder is not empty; a bootstrap voter needs an "
                     "empty data folder"});
  }
  return writeIdentity(Files, BootstrapIncarnation);
}

} // namespace mulberryramp
