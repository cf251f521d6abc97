#include "mulberryramp/core/finding.hpp"

namespace mulberryramp {

std::string Findings::render() const {
  std::string Report;
  for (const Finding &Error : Items) {
    Report += Error.Source;
    if (Error.Line != 0) {
      Report += ':' + std::to_string(Error.Line);
    }
    if (Error.Column != 0) {
      Report += ':' + std::to_string(Error.Column);
    }
    Report += ": " + Error.Text + '\n';
  }
  return Report;
}

} // namespace mulberryramp
