#include "bosun/words.hpp"

#include <fstream>
#include <sstream>

namespace wharf {

std::vector<std::string> split_commas(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const auto comma = text.find(',');
    parts.emplace_back(text.substr(0, comma));
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  return parts;
}

std::optional<std::string> slurp(const std::string &path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream bytes;
  bytes << file.rdbuf();
  return bytes.str();
}

} // namespace wharf
