#pragma once

#include "mulberryramp/core/fwd.hpp"
#include "mulberryramp/storage/file_system.hpp"

#include <cstdint>

namespace mulberryramp {

/// @brief Incarnation of the bootstrap voters of a group.
inline constexpr std::uint64_t BootstrapIncarnation = 1;

/// @brief Stores the incarnation of a data folder durably, replacing any
/// earlier one.
[[nodiscard]] StorageStatus writeIdentity(FileSystem &Files,
                                          std::uint64_t Incarnation);

/// @brief Reads the incarnation of a data folder, or stores a new one if the
/// folder has none.
/// @param Files The data folder.
/// @param WallNow Current wall clock time, for a new incarnation.
/// @return The incarnation, or why the folder cannot be used.
[[nodiscard]] tl::expected<std::uint64_t, StorageError>
openIdentity(FileSystem &Files, WallTime WallNow);

/// @brief Marks an empty data folder as that of a bootstrap voter.
/// @param Files The data folder.
/// @return Nothing, or an error if the folder is not empty or not writable.
[[nodiscard]] StorageStatus bootstrapIdentity(FileSystem &Files);

/// @brief Derives a new incarnation from the current time, so that later
/// ones are larger as long as the clock is not set back.
/// @param WallNow Current wall clock time.
[[nodiscard]] std::uint64_t newIncarnation(WallTime WallNow) noexcept;

} // namespace mulberryramp
