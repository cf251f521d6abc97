#pragma once

#include <cstddef>
#include <cstdint>

/// @file
/// @brief Forward declarations and limits of the config module: settings of
/// the deployment and operators' rules.

namespace mulberryramp {

using Revision = std::uint64_t;

inline constexpr std::size_t MaxRulesBytes = std::size_t{256} * 1024;

struct Settings;
struct Rules;
struct RulesState;

} // namespace mulberryramp
