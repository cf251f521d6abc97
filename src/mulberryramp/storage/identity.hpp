#pragma once

#include "mulberryramp/core/fwd.hpp"
#include "mulberryramp/storage/file_system.hpp"

#include <cstdint>

namespace mulberryramp {

/// @brief Incarnation of the first voters of a group.
inline constexpr std::uint64_t BootstrapIncarnation = 1;

/// @brief Writes the incarnation of a data folder.
[[nodiscard]] StorageStatus writeIdentity(FileSystem &Files,
                                          std::uint64_t Incarnation);

/// @brief Reads the incarnation of a data folder, or gives it a new one.
/// @param Files The data folder.
/// @param Wall Present time, for a new incarnation.
/// @return The incarnation, or why the folder cannot be used.
[[nodiscard]] tl::expected<std::uint64_t, StorageError>
openIdentity(FileSystem &Files, WallTime WallNow);

/// @brief Marks an empty data folder as one of the founders.
/// @param Files The data folder.
/// @return Nothing, or why it could not be marked.
[[nodiscard]] StorageStatus bootstrapIdentity(FileSystem &Files);

/// @brief Makes an incarnation for a daemon without a disk.
/// @param Wall Present time.
[[nodiscard]] std::uint64_t newIncarnation(WallTime WallNow) noexcept;

} // namespace mulberryramp
