#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wharf {

/// The parts of a list separated by commas.
std::vector<std::string> split_commas(std::string_view text);
/// A file's whole bytes, or nothing when it cannot be read.
std::optional<std::string> slurp(const std::string &path);

} // namespace wharf
