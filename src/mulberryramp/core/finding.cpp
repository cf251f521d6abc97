#include "mulberryramp/core/finding.hpp"

#include <utility>

namespace mulberryramp {

void Findings::add(Finding Error) {
  if (isFull()) {
    OmittedCount += 1;
  } else {
    Items.push_back(std::move(Error));
  }
}

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
  if (OmittedCount != 0) {
    Report += std::to_string(OmittedCount) + " further errors\n";
  }
  return Report;
}

} // namespace mulberryramp
