#include "mulberryramp/core/finding.hpp"

namespace mulberryramp {

std::string Findings::render() const {
  std::string Report;
  for (const Finding &Item : Items) {
    Report += Item.Source;
    if (Item.Line != 0) {
      Report += ':' + std::to_string(Item.Line);
    }
    if (Item.Column != 0) {
      Report += ':' + std::to_string(Item.Column);
    }
    Report += ": " + Item.Text + '\n';
  }
  return Report;
}

} // namespace mulberryramp
