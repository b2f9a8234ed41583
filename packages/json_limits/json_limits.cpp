#include "json_limits/json_limits.hpp"

#include <algorithm>

namespace wharf {

namespace {
/// A list of one value, or an object's member: the value itself, its node or its buffer, and their headers.
constexpr std::size_t bytes_a_value = 96;
} // namespace

std::size_t JsonShape::parsed_bytes() const { return values * bytes_a_value; }

JsonShape shape_of_json(std::string_view text) {
  JsonShape shape;
  shape.values = 1;
  std::size_t depth = 0;
  bool is_in_string = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char letter = text[at];
    if (is_in_string) {
      if (letter == '\\') ++at;
      is_in_string = letter != '"';
      continue;
    }
    if (letter == '"') {
      is_in_string = true;
    } else if (letter == '[' || letter == '{') {
      shape.depth = std::max(shape.depth, ++depth);
      ++shape.values;
    } else if (letter == ']' || letter == '}') {
      depth -= depth > 0 ? 1 : 0;
    } else if (letter == ',') {
      ++shape.values;
    }
  }
  return shape;
}

std::optional<std::string> nesting_fault(const JsonShape &shape) {
  if (shape.depth <= json_depth_most) return std::nullopt;
  return "$: lists and objects stand " + std::to_string(shape.depth) + " deep in each other, " +
         std::to_string(json_depth_most) + " at most are taken";
}

} // namespace wharf
