#include "mulberryramp/cell/denial_log.hpp"

#include "mulberryramp/core/digest.hpp"

#include <utility>

namespace mulberryramp {

std::optional<std::string> DenialLog::add(const DeniedCall &Call, Instant Now) {
  if (Now - SecondStart >= Millis{1000}) {
    SecondStart = Now;
    LinesInSecond = 0;
  }
  if (LinesInSecond >= MaxDenialsPerSecond) {
    Omitted += 1;
    return std::nullopt;
  }
  LinesInSecond += 1;
  return "event=denied from=" + std::to_string(Call.From) +
         " verb=" + std::string{nameOf(Call.Verb)} +
         " queue=" + std::string{Call.Queue} +
         " key=" + abbreviateDigest(Call.Key) +
         " reason=" + std::string{Call.Reason} +
         " configuration=" + std::to_string(Call.Configuration) +
         " omitted=" + std::to_string(std::exchange(Omitted, 0));
}

} // namespace mulberryramp
