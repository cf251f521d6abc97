#pragma once

#include "mulberryramp/cell/call.hpp"

#include <optional>
#include <string>
#include <string_view>

/// @file
/// @brief Log lines of calls that were denied because of their key.

namespace mulberryramp {

/// @brief Bound on lines per second. A caller with an invalid key may repeat
/// its call without end, and the log must keep room for other lines.
inline constexpr std::uint32_t MaxDenialsPerSecond = 10;

/// @brief A call that was denied.
struct DeniedCall {
  NodeId From = 0; ///< Node that received the call.
  JobVerb Verb = JobVerb::Read;
  std::string_view Queue;  ///< Prefix of the queue.
  std::string_view Key;    ///< SHA-256 digest of the key; empty if none.
  std::string_view Reason; ///< Name of the reason.
  std::uint64_t Configuration = 0; ///< Version that the key was checked with.
};

/// @brief Writes and bounds the log lines of denied calls.
class DenialLog {
public:
  /// @brief Renders the line of a denied call. It holds no key, and nothing
  /// that the caller can choose freely.
  /// @return The line, which also tells how many calls were left out before
  /// it; nothing if the bound is reached.
  [[nodiscard]] std::optional<std::string> add(const DeniedCall &Call,
                                               Instant Now);

private:
  Instant SecondStart;
  std::uint32_t LinesInSecond = 0;
  std::uint64_t Omitted = 0;
};

} // namespace mulberryramp
