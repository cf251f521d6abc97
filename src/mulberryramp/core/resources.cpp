#include "mulberryramp/core/resources.hpp"

namespace mulberryramp {

std::string describeResources(const Resources &Amounts,
                              std::string_view Prefix) {
  const std::string Start{Prefix};
  return Start + "cpu=" + std::to_string(Amounts.MilliCpus) + " " + Start +
         "memory=" + std::to_string(Amounts.MemoryMb) + " " + Start +
         "accelerators=" + std::to_string(Amounts.Accelerators);
}

} // namespace mulberryramp
