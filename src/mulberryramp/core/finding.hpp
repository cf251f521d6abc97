#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief One error in an input, with its location.
struct Finding {
  std::string Source;     ///< File name, or a name for other inputs.
  std::size_t Line = 0;   ///< Line from 1; 0 if the input has no lines.
  std::size_t Column = 0; ///< Column from 1; 0 refers to the whole line.
  std::string Text;       ///< Description of the error.
};

/// @brief Maximum number of errors that one validation keeps.
inline constexpr std::size_t MaxFindings = 1000;

/// @brief Errors of one validation, collected and reported together. Errors
/// beyond `MaxFindings` are only counted.
class Findings {
public:
  void add(Finding Error);

  /// @brief Tells whether further errors are only counted.
  [[nodiscard]] bool isFull() const noexcept {
    return Items.size() >= MaxFindings;
  }

  /// @brief Tells whether the validation found no error.
  [[nodiscard]] bool empty() const noexcept { return Items.empty(); }

  /// @brief Returns the findings in the order of `add`.
  [[nodiscard]] const std::vector<Finding> &items() const noexcept {
    return Items;
  }

  /// @brief Renders the findings as text.
  /// @return One line `source:line:column: text` per finding; a line or column
  /// of 0 is omitted. If errors were only counted, a last line has their
  /// number.
  [[nodiscard]] std::string render() const;

private:
  std::vector<Finding> Items;
  std::size_t OmittedCount = 0;
};

} // namespace mulberryramp
