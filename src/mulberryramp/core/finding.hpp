#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace mulberryramp {

/// @brief One error in an input, with its place.
struct Finding {
  std::string Source;     ///< File name, or name of the input.
  std::size_t Line = 0;   ///< Line from 1; 0 if the input has no lines.
  std::size_t Column = 0; ///< Column from 1; 0 if the whole line is meant.
  std::string Text;       ///< What is wrong.
};

/// @brief Findings of one check, collected and reported together.
class Findings {
public:
  /// @brief Adds a finding.
  /// @param Item The finding.
  void add(Finding Item) { Items.push_back(std::move(Item)); }

  /// @brief Tells whether nothing was found.
  /// @return True if there is no finding.
  [[nodiscard]] bool empty() const noexcept { return Items.empty(); }

  /// @brief Lists the findings in the order they were made.
  /// @return The findings.
  [[nodiscard]] const std::vector<Finding> &items() const noexcept {
    return Items;
  }

  /// @brief Renders the report.
  /// @return A line `source:line:column: text` for each finding.
  [[nodiscard]] std::string render() const;

private:
  std::vector<Finding> Items;
};

} // namespace mulberryramp
