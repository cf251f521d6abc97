#include "mulberryramp/core/json_shape.hpp"

namespace mulberryramp {

JsonShape checkJsonShape(std::string_view Text) noexcept {
  int Depth = 0;
  // Each value but the first follows a bracket or a comma.
  std::size_t Values = 1;
  bool IsInText = false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    const char Character = Text[Index];
    if (Character == '"') {
      IsInText = !IsInText;
    } else if (IsInText) {
      Index += Character == '\\' ? 1 : 0;
    } else if (Character == '[' || Character == '{') {
      Depth += 1;
      Values += 1;
    } else if (Character == ']' || Character == '}') {
      Depth -= 1;
    } else if (Character == ',') {
      Values += 1;
    }
    if (Depth > MaxJsonDepth) {
      return JsonShape::TooDeep;
    }
    if (Values > MaxJsonValues) {
      return JsonShape::TooManyValues;
    }
  }
  return JsonShape::Accepted;
}

std::string describe(JsonShape Shape) {
  switch (Shape) {
  case JsonShape::TooDeep:
    return "is nested too deeply";
  case JsonShape::TooManyValues:
    return "has more than " + std::to_string(MaxJsonValues) + " values";
  case JsonShape::Accepted:
    break;
  }
  return {};
}

} // namespace mulberryramp
