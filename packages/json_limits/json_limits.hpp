#pragma once
// Bounds on JSON from outside, looked at before it is parsed: what a few bytes make of memory and stack.
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace wharf {

/// How deep lists and objects may stand in each other.
constexpr std::size_t json_depth_most = 64;

/// What parsing a text would make of it.
struct JsonShape {
  std::size_t depth = 0, values = 0;
  /// An upper estimate of the bytes that the parsed value takes, the text itself not counted.
  std::size_t parsed_bytes() const;
};

/// Counts brackets and values outside of strings; the text need not be valid.
JsonShape shape_of_json(std::string_view text);

/// Why a text nests too deep to be parsed; nothing when it does not.
std::optional<std::string> nesting_fault(const JsonShape &shape);

} // namespace wharf
