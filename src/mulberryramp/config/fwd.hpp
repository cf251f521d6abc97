#pragma once

#include <cstddef>
#include <cstdint>

/// @file
/// @brief Forward declarations and limits of the config module.
///
/// The module parses and checks the settings files of the daemons and the
/// scheduling rules of the operators, and keeps the replicated revisions of
/// the rules. It does no file or network access and doesn't depend on the
/// modules `node`, `system` and `cell`.

namespace mulberryramp {

/// @brief Number of a revision of the rules; 0 before the first one.
using Revision = std::uint64_t;

/// @brief Maximum size of the text of the rules.
inline constexpr std::size_t MaxRulesBytes = std::size_t{256} * 1024;

struct Settings;
struct Rules;
struct RulesState;

} // namespace mulberryramp
