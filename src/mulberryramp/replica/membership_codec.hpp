#pragma once

#include "mulberryramp/storage/records.hpp"

#include <string>
#include <string_view>

namespace mulberryramp {

/// @brief Encodes voters as the data of a membership or recovery entry.
[[nodiscard]] std::string encodeMembership(const Membership &Voters);

/// @brief Decodes voters from the data of a membership or recovery entry.
/// @return The voters; empty if the data is malformed.
[[nodiscard]] Membership decodeMembership(std::string_view Data);

} // namespace mulberryramp
